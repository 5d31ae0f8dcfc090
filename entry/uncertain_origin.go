package entry

import (
	"errors"
	"time"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/coordination/streams"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// A stream may begin at a replica of which nothing shows that it is still the incarnation of the known entry. Its origin
// is then uncertain, and recorded as such, until something shows where the connection led over which it began.

const (
	// maxUnresolvedOrigins bounds the uncertain origins that this node resolves later.
	maxUnresolvedOrigins = 4096
	// originReportInterval is the minimum time between two queries for the report of a replica at which streams begin.
	originReportInterval = 2 * time.Second
)

// unresolvedOrigin is the origin of a stream if the connection over which it began leads to its incarnation.
type unresolvedOrigin struct {
	origin     streamorigins.Origin
	content    streamorigins.Key
	connection incarnations.Connection
	beganAt    structs.Instant
}

// unresolvedOrigins are the uncertain origins of streams that began at this node. The node's mutex guards them.
type unresolvedOrigins struct {
	byKey map[streamorigins.Key]unresolvedOrigin
	// queriedAt is when a replica was last asked for a report because of them.
	queriedAt map[incarnations.Incarnation]structs.Instant
}

func newUnresolvedOrigins() unresolvedOrigins {
	return unresolvedOrigins{byKey: map[streamorigins.Key]unresolvedOrigin{}, queriedAt: map[incarnations.Incarnation]structs.Instant{}}
}

// beginOrigin sets the origin of a stream whose first event the replica brought.
func (c *call) beginOrigin(replica replicas.Replica) {
	n := c.node
	c.originKey = streamorigins.KeyOf(c.tenantName(), c.id)
	n.mutex.Lock()
	listed, isListed := n.table.Get(replica.ID)
	c.origin = streams.OriginAt(replica, listed, isListed)
	isUncertain := c.origin.Version != "" && !n.mayRelyOnLocked(n.verdictLocked(c.connection), replica.Service)
	if isUncertain {
		c.unresolved = unresolvedOrigin{origin: c.origin, content: c.fingerprint, connection: c.connection, beganAt: n.now()}
		c.origin.Version = ""
		if len(n.unresolvedOrigins.byKey) < maxUnresolvedOrigins {
			n.unresolvedOrigins.byKey[c.originKey] = c.unresolved
		}
	}
	n.mutex.Unlock()
	if isUncertain {
		n.counter("streams.identity_uncertain").Inc(1)
		n.requestOriginReport(replica)
	}
}

// resolveOrigin makes the uncertain origin of the stream certain if the connection over which it began is known by now to
// lead to its incarnation. It returns false if it stays uncertain.
func (c *call) resolveOrigin() bool {
	c.node.mutex.Lock()
	defer c.node.mutex.Unlock()
	if !c.node.isResolvedLocked(c.unresolved) {
		return false
	}
	c.origin = c.unresolved.origin
	return true
}

// isResolvedLocked reports whether the origin is certain. What is only assumed does not make it so: the view may list an
// entry that is about to be replaced.
func (n *Node) isResolvedLocked(unresolved unresolvedOrigin) bool {
	if unresolved.origin.IsZero() {
		return false
	}
	return n.verdictLocked(unresolved.connection).IsUnbrokenFromProof()
}

// resolveOrigins records the origins that have become certain, here and at their keepers.
func (n *Node) resolveOrigins() {
	var resolved []streamorigins.Record
	n.mutex.Lock()
	now := n.now()
	for key, unresolved := range n.unresolvedOrigins.byKey {
		switch {
		case n.isResolvedLocked(unresolved):
			resolved = append(resolved, streamorigins.Record{Key: key, Content: unresolved.content, Origin: unresolved.origin})
			delete(n.unresolvedOrigins.byKey, key)
		case now-unresolved.beganAt > streamorigins.Retention:
			delete(n.unresolvedOrigins.byKey, key)
		}
	}
	n.mutex.Unlock()
	for _, record := range resolved {
		n.counter("streams.identity_resolved").Inc(1)
		n.keepOrigin(record)
	}
}

// requestOriginReport asks the replica for a report in the background, if that is due.
func (n *Node) requestOriginReport(replica replicas.Replica) {
	incarnation := incarnations.Of(replica)
	n.mutex.Lock()
	now := n.now()
	queriedAt, wasQueried := n.unresolvedOrigins.queriedAt[incarnation]
	isDue := n.givesReportsLocked(replica) && (!wasQueried || now-queriedAt >= originReportInterval)
	if isDue {
		n.unresolvedOrigins.queriedAt[incarnation] = now
	}
	n.mutex.Unlock()
	if isDue {
		go n.queryOriginReport(replica)
	}
}

// queryOriginReport asks the replica for a report over an idle or a new direct connection. No send fails if it names
// another start, so that the scheduling node hears of it here.
func (n *Node) queryOriginReport(replica replicas.Replica) {
	conn := n.pool.TakeIdle(incarnationOf(replica), maxIdleNonRepeatable, replicahttp.AnyTime)
	if conn == nil {
		opened, err := n.connectDirect(n.ctx, replica, reportQueryTimeout)
		if err != nil {
			return
		}
		conn = opened
	}
	err := n.queryReport(n.ctx, conn, replica)
	switch {
	case err == nil:
		n.pool.Keep(conn)
	case errors.Is(err, errAnotherStart):
		n.reportDoubt(replica)
	}
}
