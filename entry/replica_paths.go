package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/coordination/reachability"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/transport/network"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

const (
	// connectTimeout bounds the connects of one attempt. A direct connect gets directConnectTimeout of it
	// while peers could forward the connection.
	connectTimeout       = 300 * time.Millisecond
	directConnectTimeout = 200 * time.Millisecond
	// pathCheckInterval is the time between checks of the paths to replicas.
	pathCheckInterval = 250 * time.Millisecond
	// maxPathSilence is the time without a byte from any replica, while responses are awaited over direct
	// connections, after which paths are verified.
	maxPathSilence = 500 * time.Millisecond
	// pathsPerProbe is the number of forwarded paths of which one is probed in each check.
	pathsPerProbe = 16
)

// connectOutcome is how a connect to a replica ended.
type connectOutcome string

// Outcomes of connects.
const (
	connectEstablished connectOutcome = "established"
	connectRefused     connectOutcome = "refused"
	connectTimedOut    connectOutcome = "timed-out"
	connectFailed      connectOutcome = "failed"
)

// connectOutcomeOf returns the outcome of a connect that ended with err.
func connectOutcomeOf(err error) connectOutcome {
	var timeout net.Error
	switch {
	case err == nil:
		return connectEstablished
	case network.IsRefused(err):
		return connectRefused
	case errors.As(err, &timeout) && timeout.Timeout():
		return connectTimedOut
	default:
		return connectFailed
	}
}

// connect returns an idle or a new connection to the replica, direct or forwarded by a peer. An error
// proves that nothing was sent.
func (c *call) connect(granted *grant, maxIdle time.Duration) (*replicahttp.Conn, error) {
	node, replica := c.node, granted.Replica
	if idle := c.takeIdle(granted, maxIdle, node.pool.TakeIdle); idle != nil {
		return idle, nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, connectTimeout)
	defer cancel()
	node.mutex.Lock()
	isForwarded := node.paths.IsForwarded(node.now(), replica.ID)
	mayForward := len(node.forwarders(node.now())) > 0 && !node.zones.IsUnreachable(replica.Zone)
	node.mutex.Unlock()
	if !mayForward {
		return node.connectDirect(ctx, replica, connectTimeout)
	}
	var directErr error
	if !isForwarded {
		var conn *replicahttp.Conn
		if conn, directErr = node.connectDirect(ctx, replica, directConnectTimeout); directErr == nil || c.ctx.Err() != nil {
			return conn, directErr
		}
	}
	for {
		idle := c.takeIdle(granted, maxIdle, node.pool.TakeIdleForwarded)
		if idle == nil {
			break
		}
		if !node.isForwarderLeaving(idle.Forwarder) {
			return idle, nil
		}
		_ = idle.Close()
	}
	conn, err := node.connectThroughPeer(ctx, replica)
	if err != nil {
		return nil, errkind.Wrap(errkind.NoReplica, errors.Join(directErr, err))
	}
	return conn, nil
}

// takeIdle takes an idle connection with take that the request may use, or returns nil.
func (c *call) takeIdle(granted *grant, maxIdle time.Duration, take takeConnection) *replicahttp.Conn {
	idle := c.node.takeIdle(granted, maxIdle, take)
	if idle == nil || idle.MayCarry(c.id) {
		return idle
	}
	_ = idle.Close()
	return nil
}

// connectDirect opens a direct connection to the replica for requests.
func (n *Node) connectDirect(ctx context.Context, replica replicas.Replica, timeout time.Duration) (*replicahttp.Conn, error) {
	opened, err := n.dialReplica(ctx, replica, timeout)
	if err != nil {
		return nil, errkind.Wrap(errkind.NoReplica, fmt.Errorf("connect to %s: %w", replica.Address, err))
	}
	return n.addDirect(opened, replica), nil
}

// dialReplica opens a direct connection to the replica and records what the connect shows of the path.
func (n *Node) dialReplica(ctx context.Context, replica replicas.Replica, timeout time.Duration) (net.Conn, error) {
	dialContext, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	startedAt := n.now()
	conn, err := n.dependencies.Network.Dial(dialContext, replica.Address)
	if err == nil || ctx.Err() == nil {
		n.recordConnect(replica, err, n.now()-startedAt)
	}
	return conn, err
}

// recordConnect counts a direct connect to the replica that ended with err after the time, and records
// what it shows of the path.
func (n *Node) recordConnect(replica replicas.Replica, err error, took time.Duration) {
	outcome := connectOutcomeOf(err)
	n.counter("connects." + string(outcome)).Inc(1)
	n.mutex.Lock()
	change := n.paths.RecordConnect(n.now(), replica.ID, err == nil)
	n.mutex.Unlock()
	n.isPathSilent.Store(outcome == connectTimedOut)
	switch {
	case outcome == connectRefused:
		n.recordRefused(incarnations.Of(replica))
	case err == nil:
		n.recordAccepted(replica)
	}
	if outcome == connectTimedOut {
		// A request on an open connection may be lost as well.
		n.pool.ForgetDirect(incarnationOf(replica))
	}
	n.handlePathChange(replica.ID, change, eventlog.Event{Reason: string(outcome), TookMS: took.Milliseconds()})
}

// recordForwarded records that a peer opened a connection to the replica for this node.
func (n *Node) recordForwarded(replica string) {
	n.mutex.Lock()
	change := n.paths.RecordForwarded(replica)
	n.mutex.Unlock()
	n.handlePathChange(replica, change, eventlog.Event{})
}

// pathOutcomes are the names of changes of paths in the log.
var pathOutcomes = map[reachability.Change]string{
	reachability.PathLost: "lost", reachability.PathRegained: "regained", reachability.PathForwarded: "forwarded",
	reachability.Partitioned: "partitioned", reachability.Restored: "restored",
}

// handlePathChange logs a change of the path to the replica, with the fields of the event. At the start of
// a partition in which connects time out it closes the idle direct connections, as requests on them may be
// lost.
func (n *Node) handlePathChange(replica string, change reachability.Change, event eventlog.Event) {
	if change == reachability.Unchanged {
		return
	}
	if change == reachability.Partitioned && n.isPathSilent.Load() {
		n.pool.ForgetAllDirect()
	}
	n.mutex.Lock()
	event.Count = len(n.paths.Lost())
	n.mutex.Unlock()
	event.Kind, event.Outcome = "path", pathOutcomes[change]
	if change != reachability.Partitioned && change != reachability.Restored {
		event.Replica = replica
	}
	n.log.Write(event)
}

// registerPathMetrics registers the gauges of the replicas that the last connect did not reach, and of
// whether this node is partitioned from the replicas.
func (n *Node) registerPathMetrics() {
	n.registerGauges(map[string]func() int64{
		"replicas.unreached": func() int64 { return int64(len(n.paths.Lost())) },
		"replicas.partitioned": func() int64 {
			if n.paths.IsPartitioned() {
				return 1
			}
			return 0
		},
	})
}

// pathLoop probes the paths that peers forward, and verifies paths while replicas are silent, outside of
// the callers' requests.
func (n *Node) pathLoop() {
	for n.sleep(pathCheckInterval) {
		n.requestForwarders()
		for _, replica := range n.pathsToProbe() {
			if conn, err := n.dialReplica(n.ctx, replica, directConnectTimeout); err == nil {
				_ = conn.Close()
			}
		}
		n.mutex.Lock()
		isPartitioned := n.paths.IsPartitioned()
		n.mutex.Unlock()
		if replica, isSilent := n.exchanges.silentReplica(); isSilent && !isPartitioned {
			n.verifyPaths(replica)
		}
	}
}

// pathsToProbe returns the replicas to which this node probes its path now: random ones of those with
// forwarded paths, or of all replicas if the node is isolated.
func (n *Node) pathsToProbe() []replicas.Replica {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.paths.IsIsolated() {
		all := n.table.All()
		if len(all) == 0 {
			return nil
		}
		return []replicas.Replica{all[rand.IntN(len(all))]}
	}
	forwarded := n.paths.Forwarded()
	if len(forwarded) == 0 {
		return nil
	}
	var chosen []replicas.Replica
	for range 1 + len(forwarded)/pathsPerProbe {
		if replica, found := n.table.Get(forwarded[rand.IntN(len(forwarded))]); found {
			chosen = append(chosen, replica)
		}
	}
	return chosen
}

// verifyPaths connects to the replica, which is silent, and to a random other one. If this node reaches
// neither, peers are asked to.
func (n *Node) verifyPaths(silent replicas.Replica) {
	n.mutex.Lock()
	others := slices.DeleteFunc(n.table.All(), func(r replicas.Replica) bool { return r.ID == silent.ID })
	n.mutex.Unlock()
	verified := []replicas.Replica{silent}
	if len(others) > 0 {
		verified = append(verified, others[rand.IntN(len(others))])
	}
	defer n.exchanges.recordReceived() // the next check is due after another silence
	for _, replica := range verified {
		if conn, err := n.dialReplica(n.ctx, replica, directConnectTimeout); err == nil {
			_ = conn.Close()
			return
		}
	}
	for _, replica := range verified {
		if conn, _, err := n.openThroughPeer(n.ctx, replica); err == nil {
			_ = conn.Close()
		}
	}
}

// isPathForwarded reports whether the path to the replica is at fault, so that peers forward connections to it.
func (n *Node) isPathForwarded(replica string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.paths.IsForwarded(n.now(), replica)
}
