package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/thornwalk/thornwalk/coordination/reachability"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/forward"
	"github.com/thornwalk/thornwalk/transport/network"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// A node that can't reach a replica sends its requests over connections that peers forward. The peer
// opens the connection to the replica itself and never asks another peer, so there is at most one hop. It
// has no part in the request: the sending node writes it, once, after the peer has confirmed the connection,
// and knows of its response what it would know over a direct connection.

const (
	// maxForwardedConnections bounds the connections that a node forwards. Each needs two descriptors and
	// about 40 KB.
	maxForwardedConnections = 256
	// forwardDialTimeout bounds the forwarder's connect to the replica, and forwardTimeout the whole call.
	forwardDialTimeout = 100 * time.Millisecond
	forwardTimeout     = 150 * time.Millisecond
	// maxForwarders is the number of peers that are asked for one connection.
	maxForwarders = 3
)

// forwardRequest asks a peer to forward the connection to a replica.
type forwardRequest struct {
	Replica, Address string
}

// forwardReply is the answer to a forwardRequest. The connection is forwarded only if the outcome is
// forwardConnected.
type forwardReply struct {
	Outcome forwardOutcome
}

// forwardOutcome is a peer's decision on a forwardRequest.
type forwardOutcome uint8

const (
	// forwardConnected means that the connection to the replica is open.
	forwardConnected forwardOutcome = iota + 1
	// forwardRefused means that the replica refused the connection while another one accepted the peer's.
	forwardRefused
	// forwardUnreached means that the peer did not reach the replica either.
	forwardUnreached
	// forwardUnavailable means that the peer forwards no connections now: it is about to end, isolated from
	// the replicas itself or forwards as many as it may.
	forwardUnavailable
	// forwardExcluded means that the replica must get no requests as far as the peer knows, or is
	// unknown to it.
	forwardExcluded
)

// String returns the name of the outcome in metrics and logs.
func (o forwardOutcome) String() string {
	names := [...]string{"unknown", "connected", "refused", "unreached", "unavailable", "excluded"}
	if int(o) < len(names) {
		return names[o]
	}
	return names[0]
}

// errNoForwarder means that no peer forwards connections.
var errNoForwarder = errors.New("no peer forwards connections to replicas")

// forwardError means that a peer did not forward a connection.
type forwardError struct {
	forwarder string
	outcome   forwardOutcome
}

func (e *forwardError) Error() string {
	return fmt.Sprintf("connection forwarded by %s: %s", e.forwarder, e.outcome)
}

// Unwrap makes network.IsRefused hold if the replica refused the connection.
func (e *forwardError) Unwrap() error {
	if e.outcome == forwardRefused {
		return syscall.ECONNREFUSED
	}
	return nil
}

// forwardCapacity returns the number of further connections that this node forwards. In a planned stop it
// forwards as long as it serves new requests of its own callers. The caller holds the mutex.
func (n *Node) forwardCapacity() int {
	if n.stoppingFor() > balancerUpdateTime || n.paths.IsIsolated() {
		return 0
	}
	return max(maxForwardedConnections-int(n.forwarded.Load()), 0)
}

// serveForward opens a connection to the replica for a peer. The returned function, nil if there is no
// connection, forwards it.
func (n *Node) serveForward(ctx context.Context, request *forwardRequest) (*forwardReply, func(net.Conn)) {
	outcome, replica := n.openForwarded(ctx, request)
	n.counter("forwards." + outcome.String()).Inc(1)
	if replica == nil {
		return &forwardReply{Outcome: outcome}, nil
	}
	return &forwardReply{Outcome: outcome}, func(peer net.Conn) {
		defer n.forwarded.Add(-1)
		forward.Splice(peer, replica)
	}
}

// openForwarded opens the connection of serveForward. If it is not nil, it counts as forwarded.
func (n *Node) openForwarded(ctx context.Context, request *forwardRequest) (forwardOutcome, net.Conn) {
	n.mutex.Lock()
	replica, isKnown := n.table.Get(request.Replica)
	mayForward := n.forwardCapacity() > 0
	isExcluded := !isKnown || replica.Address != request.Address || !n.acceptsRequestsLocked(replica)
	n.mutex.Unlock()
	switch {
	case !mayForward:
		return forwardUnavailable, nil
	case isExcluded:
		return forwardExcluded, nil
	}
	n.forwarded.Add(1)
	connection, err := n.dialReplica(ctx, replica, forwardDialTimeout)
	if err == nil {
		return forwardConnected, connection
	}
	n.forwarded.Add(-1)
	if network.IsRefused(err) && n.reachesAnother(ctx, replica.ID) {
		return forwardRefused, nil
	}
	return forwardUnreached, nil
}

// reachesAnother reports whether this node reaches a replica other than the one with the ID. A refused
// connection proves that the replica has ended only then: a path can refuse connections too.
func (n *Node) reachesAnother(ctx context.Context, except string) bool {
	n.mutex.Lock()
	others := slices.DeleteFunc(n.table.All(), func(r replicas.Replica) bool { return r.ID == except || r.Draining || n.paths.IsLost(r.ID) })
	n.mutex.Unlock()
	if len(others) == 0 {
		return false
	}
	connection, err := n.dialReplica(ctx, others[rand.IntN(len(others))], forwardDialTimeout)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// forwarders returns the peers that forward connections. In a large fleet these include peers that others
// named, and the scheduling node, which has most to do, only if there is no other. The caller holds the mutex.
func (n *Node) forwarders(now structs.Instant) []reachability.Forwarder {
	var found []reachability.Forwarder
	for _, member := range n.members.Live(now) {
		if member.ForwardCapacity > 0 {
			found = append(found, reachability.Forwarder{
				Name: member.Name, Address: member.Address, Zone: member.Zone, Free: member.ForwardCapacity,
				IsSlow: member.Slow, IsStopping: member.Leaving,
			})
		}
	}
	if !n.isLarge {
		return found
	}
	if now-n.namedForwarders.at < namedForwardersLifetime {
		for _, named := range n.namedForwarders.peers {
			if _, isMember := n.members.Get(named.Name); !isMember && named.Name != n.settings.Load().Name {
				found = append(found, named)
			}
		}
	}
	if len(found) > 1 {
		found = slices.DeleteFunc(found, func(f reachability.Forwarder) bool { return f.Name == n.scheduler })
	}
	return found
}

// namedForwarders are forwarding peers that other nodes named at the time.
type namedForwarders struct {
	peers []reachability.Forwarder
	at    structs.Instant
}

// In a large fleet a node knows few others. While it is isolated, it asks maxReferrers of them for the
// forwarders that they know, at most maxNamedForwarders each, every forwardersInterval. What they name is used for
// namedForwardersLifetime.
const (
	maxReferrers            = 2
	maxNamedForwarders      = 16
	forwardersInterval      = time.Second
	namedForwardersLifetime = 3 * time.Second
)

// forwardersRequest asks a peer for the forwarders that it knows, and forwardersReply has them.
type (
	forwardersRequest struct{}
	forwardersReply   struct{ Forwarders []reachability.Forwarder }
)

// serveForwarders names random ones of the forwarders that this node knows.
func (n *Node) serveForwarders(context.Context, *forwardersRequest) (*forwardersReply, error) {
	n.mutex.Lock()
	known := n.forwarders(n.now())
	n.mutex.Unlock()
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	return &forwardersReply{Forwarders: known[:min(len(known), maxNamedForwarders)]}, nil
}

// requestForwarders asks peers for the forwarders that they know, if that is due.
func (n *Node) requestForwarders() {
	n.mutex.Lock()
	now := n.now()
	isDue := n.isLarge && n.paths.IsIsolated() && now-n.namedForwarders.at >= forwardersInterval
	var asked []string
	if isDue {
		asked = n.referrers(now)
	}
	n.mutex.Unlock()
	var named []reachability.Forwarder
	for _, address := range asked[:min(len(asked), maxReferrers)] {
		ctx, cancel := context.WithTimeout(n.ctx, forwardTimeout)
		reply := &forwardersReply{}
		if err := n.peers.Call(ctx, address, peerwire.KindForwarders, &forwardersRequest{}, reply); err == nil {
			named = append(named, reply.Forwarders...)
		}
		cancel()
	}
	if len(named) == 0 {
		return
	}
	n.mutex.Lock()
	n.namedForwarders = namedForwarders{peers: named, at: n.now()}
	n.mutex.Unlock()
}

// referrers returns the addresses of the peers to ask for forwarders, in random order, but those in the zones of replicas
// first: they know the other nodes there, which are preferred as forwarders, while others know only the delegates that this
// node knows as well. The caller holds the mutex.
func (n *Node) referrers(now structs.Instant) []string {
	isNear := map[string]bool{}
	for _, replica := range n.table.All() {
		isNear[replica.Zone] = true
	}
	var near, others []string
	for _, member := range n.members.Live(now) {
		switch {
		case member.ForwardCapacity > 0 && isNear[member.Zone]:
			near = append(near, member.Address)
		case member.ForwardCapacity > 0 || member.Isolated:
			others = append(others, member.Address)
		}
	}
	for _, group := range [][]string{near, others} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	return append(near, others...)
}

// openThroughPeer opens a connection to the replica that a peer forwards, and returns the peer's name. Its
// error is a *forwardError of the last peer that was asked, or errNoForwarder.
func (n *Node) openThroughPeer(ctx context.Context, replica replicas.Replica) (net.Conn, string, error) {
	n.mutex.Lock()
	candidates, zone := n.forwarders(n.now()), n.settings.Load().Zone
	n.mutex.Unlock()
	var asked []string
	lastErr := errNoForwarder
	for len(asked) < maxForwarders && ctx.Err() == nil {
		isAsked := func(name string) bool { return slices.Contains(asked, name) }
		chosen, found := reachability.ChooseForwarder(candidates, zone, replica.Zone, isAsked, rand.IntN)
		if !found {
			break
		}
		asked = append(asked, chosen.Name)
		connection, err := n.openThrough(ctx, chosen, replica)
		if err == nil {
			return connection, chosen.Name, nil
		}
		lastErr = err
		var failed *forwardError
		if errors.As(err, &failed) && failed.outcome == forwardRefused {
			break // the replica has ended, so the other peers would not reach it either
		}
	}
	return nil, "", lastErr
}

// openThrough opens a connection to the replica that the peer forwards.
func (n *Node) openThrough(ctx context.Context, chosen reachability.Forwarder, replica replicas.Replica) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply := &forwardReply{}
	connection, err := n.peers.Open(ctx, chosen.Address, peerwire.KindForward, &forwardRequest{Replica: replica.ID, Address: replica.Address}, reply)
	if err != nil {
		reply.Outcome = forwardUnavailable
	}
	n.counter("connects.through-peer." + reply.Outcome.String()).Inc(1)
	if reply.Outcome == forwardConnected {
		n.recordForwarded(replica.ID)
		return forward.NewConn(connection), nil
	}
	if err == nil {
		_ = connection.Close()
	}
	return nil, &forwardError{forwarder: chosen.Name, outcome: reply.Outcome}
}

// connectThroughPeer returns a new connection to the replica that a peer forwards.
func (n *Node) connectThroughPeer(ctx context.Context, replica replicas.Replica) (*replicahttp.Conn, error) {
	connection, forwarder, err := n.openThroughPeer(ctx, replica)
	if err != nil {
		return nil, err
	}
	return n.addForwarded(connection, replica, forwarder), nil
}

// forgetEndingForwarders closes the idle connections that are forwarded by nodes that are stopping, so that
// these can end, and by nodes that are isolated or gone, so that no request is sent over them.
func (n *Node) forgetEndingForwarders() {
	if !n.pool.HasIdleForwarded() {
		return
	}
	n.mutex.Lock()
	isForwarder := map[string]bool{}
	for _, named := range n.forwarders(n.now()) {
		isForwarder[named.Name] = true
	}
	for _, member := range n.members.Live(n.now()) {
		// A node that forwards as many connections as it may has no capacity either.
		isForwarder[member.Name] = !member.Leaving && !member.Isolated
	}
	n.mutex.Unlock()
	n.pool.ForgetForwarded(func(name string) bool { return isForwarder[name] })
}

// isForwarderLeaving reports whether the node that forwards a connection stops: it may end before the answer to a request over
// it. A connection in steady use is never idle when forgetEndingForwarders looks.
func (n *Node) isForwarderLeaving(name string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	member, isKnown := n.members.Get(name)
	return isKnown && member.Leaving
}

// registerForwardMetrics registers the gauge of the connections that this node forwards for peers.
func (n *Node) registerForwardMetrics() {
	// Registration fails only for a name in use, and a node registers once.
	_ = n.metrics.Register("forwards.active", metrics.NewFunctionalGauge(n.forwarded.Load))
}
