package entry

import (
	"maps"
	"math"
	"net"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// A replica may end and start again at its address and under its ID, with another software version. What this node
// observes of replicas shows whether a connection leads to the incarnation of the known entry (coordination/incarnations).

// identityLogInterval is the minimum time between two log lines on one incarnation with the same outcome.
const identityLogInterval = 2 * time.Second

// identityOutcome is what was found out about the process at a replica's address.
type identityOutcome string

// Outcomes in logs and metrics.
const (
	// identityDoubted means that the incarnation may have ended.
	identityDoubted identityOutcome = "doubted"
	// identityConfirmed means that the process stated the start of the incarnation, and identityReplaced that it stated
	// another one.
	identityConfirmed identityOutcome = "confirmed"
	identityReplaced  identityOutcome = "replaced"
)

// replicaIdentities holds what this node knows of the processes at the replicas' addresses. The node's mutex guards it.
type replicaIdentities struct {
	*incarnations.Tracker
	churn *incarnations.Churn
	// refusals are those of this node's connections and of others that peers told of. An entry that may be a successor's
	// ends them.
	refusals  *incarnations.Refusals
	reporters reporters
	loggedAt  map[identityLine]structs.Instant
}

// identityLine is a kind of log line on one incarnation.
type identityLine struct {
	incarnation incarnations.Incarnation
	outcome     identityOutcome
}

func newReplicaIdentities() *replicaIdentities {
	tracker := incarnations.NewTracker()
	tracker.PresumeUp()
	return &replicaIdentities{Tracker: tracker, churn: incarnations.NewChurn(), refusals: incarnations.NewRefusals(), reporters: newReporters(), loggedAt: map[identityLine]structs.Instant{}}
}

// forget drops what is known of the incarnations that are not kept.
func (i *replicaIdentities) forget(isKept func(incarnations.Incarnation) bool) {
	i.Forget(isKept)
	i.refusals.Forget(isKept)
	maps.DeleteFunc(i.reporters.unanswered, func(incarnation incarnations.Incarnation, _ structs.Instant) bool { return !isKept(incarnation) })
	maps.DeleteFunc(i.loggedAt, func(line identityLine, _ structs.Instant) bool { return !isKept(line.incarnation) })
}

// forgetFormerIncarnations drops what is known of incarnations that are not in the table any more. The caller holds the
// mutex.
func (n *Node) forgetFormerIncarnations() {
	isKept := func(incarnation incarnations.Incarnation) bool {
		known, found := n.table.Get(incarnation.Replica)
		return found && incarnations.Of(known) == incarnation
	}
	n.identities.forget(isKept)
	maps.DeleteFunc(n.unresolvedOrigins.queriedAt, func(incarnation incarnations.Incarnation, _ structs.Instant) bool { return !isKept(incarnation) })
}

// mayLog reports whether a line may be logged now, and records it if so.
func (i *replicaIdentities) mayLog(now structs.Instant, line identityLine) bool {
	if last, found := i.loggedAt[line]; found && now-last < identityLogInterval {
		return false
	}
	i.loggedAt[line] = now
	return true
}

// incarnationOf returns the incarnation for which a connection to the replica is opened.
func incarnationOf(replica replicas.Replica) replicahttp.Incarnation {
	return replicahttp.Incarnation(incarnations.Of(replica))
}

func connectionOf(conn *replicahttp.Conn) incarnations.Connection {
	return incarnations.Connection{Incarnation: incarnations.Incarnation(conn.Incarnation()), OpenedAt: conn.OpenedAt}
}

// addDirect adds a direct connection that was just opened to the replica to the pool's connections.
func (n *Node) addDirect(opened net.Conn, replica replicas.Replica) *replicahttp.Conn {
	return n.recordOpened(n.pool.AddDirect(opened, incarnationOf(replica), n.now()))
}

// addForwarded is addDirect for a connection that the peer forwards.
func (n *Node) addForwarded(opened net.Conn, replica replicas.Replica, forwarder string) *replicahttp.Conn {
	return n.recordOpened(n.pool.AddForwarded(opened, incarnationOf(replica), n.now(), forwarder))
}

func (n *Node) recordOpened(conn *replicahttp.Conn) *replicahttp.Conn {
	connection := connectionOf(conn)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.identities.Opened(connection, n.isListedLocked(connection.Incarnation))
	return conn
}

// identityOf returns what is known of whether the connection leads to the incarnation for which it was opened.
func (n *Node) identityOf(conn *replicahttp.Conn) incarnations.Verdict {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.verdictLocked(connectionOf(conn))
}

func (n *Node) verdictLocked(connection incarnations.Connection) incarnations.Verdict {
	return n.identities.Verdict(n.now(), connection, n.isListedLocked(connection.Incarnation))
}

// isListedLocked reports whether the incarnation's entry is known and did not vanish.
func (n *Node) isListedLocked(incarnation incarnations.Incarnation) bool {
	known, found := n.table.Get(incarnation.Replica)
	return found && incarnations.Of(known) == incarnation && !n.table.IsUnconfirmed(known.ID)
}

// observeView records that the known replicas are those of the store as of the instant. The caller holds the mutex.
func (n *Node) observeView(asOf structs.Instant) {
	n.replicaFreshness.Observe(asOf)
	if !n.era.isInRestoreWindow(n.now()) {
		n.identities.ObserveView(asOf)
	}
}

// recordAnswerHead records that the head of an answer to a request arrived that was written over the connection at the
// instant. The process at its other end was alive then; when it sent the bytes is not known.
func (n *Node) recordAnswerHead(answer *replicahttp.Answer, conn *replicahttp.Conn, sentAt structs.Instant) {
	if !n.isFromReplica(answer) {
		return
	}
	connection := connectionOf(conn)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	isListed := n.isListedLocked(connection.Incarnation)
	n.identities.Received(sentAt, connection, isListed)
	n.identities.Alive(sentAt, connection, isListed)
}

const (
	// minBlockedRead is the time after which a read has certainly waited for bytes: they were not buffered when it began.
	minBlockedRead = 5 * time.Millisecond
	// aliveInterval is the minimum time between two records that a connection is alive while its stream goes on.
	aliveInterval = 100 * time.Millisecond
)

// readEnded records that a read of the body, which began at the instant, returned bytes, or that the replica closed the
// connection. A read that had to wait shows that the process was alive when it began.
func (c *call) readEnded(beganAt structs.Instant, isClosed bool) {
	n := c.node
	if n.now()-beganAt < minBlockedRead || !isClosed && beganAt-c.connectionAliveAt < aliveInterval {
		return
	}
	c.connectionAliveAt = beganAt
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.identities.Alive(beganAt, c.connection, n.isListedLocked(c.connection.Incarnation))
}

// recordDoubt records a sign that the incarnation may have ended.
func (n *Node) recordDoubt(incarnation incarnations.Incarnation) {
	n.mutex.Lock()
	n.identities.Doubt(n.now(), incarnation)
	n.mutex.Unlock()
	n.reportIdentity(identityDoubted, incarnation, eventlog.Event{})
}

// isAnyDoubtedLocked reports whether one of the replicas may have ended.
func (n *Node) isAnyDoubtedLocked(pool []replicas.Replica) bool {
	return slices.ContainsFunc(pool, func(replica replicas.Replica) bool { return n.doubtAgeLocked(replica) > 0 })
}

// ranLocked returns the time throughout which all of the replicas are known to have run, each as one process. It is false if
// there is none.
func (n *Node) ranLocked(pool []replicas.Replica) (ran streamorigins.Span, isKnown bool) {
	ran = streamorigins.Span{Since: math.MinInt64, Until: math.MaxInt64}
	for _, replica := range pool {
		incarnation := incarnations.Of(replica)
		since, until, isKnown := n.identities.Ran(incarnation, n.isListedLocked(incarnation))
		if !isKnown {
			return streamorigins.Span{}, false
		}
		ran = streamorigins.Span{Since: max(ran.Since, since), Until: min(ran.Until, until)}
	}
	return ran, len(pool) > 0
}

// doubtAgeLocked returns the time since the latest sign that the replica may have ended, or zero if there is none since
// it was last known to live.
func (n *Node) doubtAgeLocked(replica replicas.Replica) time.Duration {
	return n.verdictLocked(incarnations.Connection{Incarnation: incarnations.Of(replica), OpenedAt: n.now()}).DoubtAge
}

// reportIdentity counts what was found out about the incarnation, and logs it with the fields of the event.
func (n *Node) reportIdentity(outcome identityOutcome, incarnation incarnations.Incarnation, event eventlog.Event) {
	n.counter("streams.identity_" + string(outcome)).Inc(1)
	n.mutex.Lock()
	known, _ := n.table.Get(incarnation.Replica)
	mayLog := n.identities.mayLog(n.now(), identityLine{incarnation: incarnation, outcome: outcome})
	verdict := n.verdictLocked(incarnations.Connection{Incarnation: incarnation, OpenedAt: n.now()})
	n.mutex.Unlock()
	if !mayLog {
		return
	}
	event.Kind, event.Replica, event.Service, event.Outcome = "replica.identity", incarnation.Replica, known.Service, string(outcome)
	event.StartedAt, event.ReplicaVersion, event.IdentityAgeMS = incarnation.StartedAt, known.Version, verdict.Age.Milliseconds()
	n.log.Write(event)
}

// registerIdentityMetrics registers the gauges of the incarnations of replicas.
func (n *Node) registerIdentityMetrics() {
	n.registerGauges(map[string]func() int64{
		"streams.identity_doubts": func() int64 {
			doubted := int64(0)
			for _, replica := range n.table.All() {
				if n.doubtAgeLocked(replica) > 0 {
					doubted++
				}
			}
			return doubted
		},
		"streams.identity_churn": func() int64 { return int64(n.identities.churn.Services(n.now(), n.identities.ListedUntil())) },
	})
}
