package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// A stream goes on only over a connection of which something shows that it leads to the incarnation whose version began
// the stream. New streams and plain requests need no proof.

const (
	// reportQueryTimeout bounds the query for a report of a replica.
	reportQueryTimeout = 300 * time.Millisecond
	maxReportBytes     = 64 << 10
	// A service whose replica answers without a start is not asked again for withoutReportsTime, unless another one stated
	// its start within that time. A replica that gives no report, of a service that does, is not asked for reportRetryTime.
	withoutReportsTime = 30 * time.Second
	reportRetryTime    = 2 * time.Second
	// maxUnprovable bounds the replicas that a request for an assignment excludes.
	maxUnprovable = 256
)

// reporters holds which replicas give reports. The node's mutex guards it.
type reporters struct {
	// withoutReports is when a replica of the service last answered without a start, withReports when one last stated its
	// start, and unanswered when the incarnation last gave no report, of a service whose others may.
	withoutReports map[string]structs.Instant
	withReports    map[string]structs.Instant
	unanswered     map[incarnations.Incarnation]structs.Instant
}

func newReporters() reporters {
	return reporters{withoutReports: map[string]structs.Instant{}, withReports: map[string]structs.Instant{}, unanswered: map[incarnations.Incarnation]structs.Instant{}}
}

// recordReport records that the replica stated its start.
func (r *reporters) recordReport(now structs.Instant, replica replicas.Replica) {
	r.withReports[replica.Service] = now
}

// recordNoStart records that the replica answered without its start.
func (r *reporters) recordNoStart(now structs.Instant, replica replicas.Replica) {
	if reported, hasReported := r.withReports[replica.Service]; hasReported && now-reported < withoutReportsTime {
		r.unanswered[incarnations.Of(replica)] = now
		return
	}
	r.withoutReports[replica.Service] = now
}

// givesReports reports whether the replica may be asked for a report with which its entry can be compared.
func (r *reporters) givesReports(now structs.Instant, replica replicas.Replica) bool {
	without, isWithout := r.withoutReports[replica.Service]
	failed, hasFailed := r.unanswered[incarnations.Of(replica)]
	isAsked := (!isWithout || now-without >= withoutReportsTime) && (!hasFailed || now-failed >= reportRetryTime)
	return replica.StartedAt != 0 && isAsked
}

// takeConnection takes an idle connection to the incarnation from the pool that has been idle for less than maxIdle and was
// opened by the instant.
type takeConnection func(incarnation replicahttp.Incarnation, maxIdle time.Duration, openedBy structs.Instant) *replicahttp.Conn

// takeIdle takes an idle connection for the assignment with take, for a stream that goes on preferably one of
// which is known where it leads.
func (n *Node) takeIdle(granted *grant, maxIdle time.Duration, take takeConnection) *replicahttp.Conn {
	incarnation := incarnationOf(granted.Replica)
	if !granted.origin.IsZero() {
		n.mutex.Lock()
		knownUntil, isKnown := n.knownUntilLocked(granted.Replica)
		n.mutex.Unlock()
		if isKnown {
			if idle := take(incarnation, maxIdle, knownUntil); idle != nil {
				return idle
			}
		}
	}
	return take(incarnation, maxIdle, replicahttp.AnyTime)
}

// knownUntilLocked returns the instant such that a stream may go on over connections to the replica opened by then, if
// there is one.
func (n *Node) knownUntilLocked(replica replicas.Replica) (structs.Instant, bool) {
	incarnation, now := incarnations.Of(replica), n.now()
	return n.identities.KnownUntil(now, incarnation, n.isListedLocked(incarnation), !n.identities.isChurning(now, replica.Service))
}

// unprovableReplicas returns replicas of the origin's version over a connection to which a stream can't go on now, as
// far as this node can show. The caller holds the mutex.
func (n *Node) unprovableReplicas(origin streamorigins.Origin) []string {
	var unprovable []string
	now := n.now()
	for _, replica := range n.table.All() {
		if replica.Service != origin.Service || replica.Version != origin.Version || replica.Draining {
			continue
		}
		verdict := n.verdictLocked(incarnations.Connection{Incarnation: incarnations.Of(replica), OpenedAt: now})
		if n.mayRelyOnLocked(verdict, replica.Service) || n.givesReportsLocked(replica) {
			continue
		}
		if knownUntil, isKnown := n.knownUntilLocked(replica); isKnown && n.pool.HasIdle(incarnationOf(replica), knownUntil) {
			continue
		}
		if unprovable = append(unprovable, replica.ID); len(unprovable) == maxUnprovable {
			break
		}
	}
	return unprovable
}

// errUnproven means that nothing shows which incarnation of the replica the connection leads to, errAnotherStart that
// its report shows that it is another one, errClosedAfterReport that the replica closed the connection after a report that
// shows it, and errClosedIdle that it closed the connection before it was used again.
var (
	errUnproven          = errors.New("nothing shows which incarnation it is")
	errAnotherStart      = errors.New("another one has started")
	errClosedAfterReport = errors.New("the replica closed the connection after its report")
	errClosedIdle        = errors.New("the replica closed the idle connection")
)

// maxClosedIdle bounds the idle connections that are tried in a row.
const maxClosedIdle = 3

// connectProven is connect for streams that go on: it returns a connection only if something shows which incarnation it
// leads to. The error is errUnproven if nothing does. For other requests any connection will do.
func (c *call) connectProven(granted *grant, maxIdle time.Duration) (*replicahttp.Conn, error) {
	conn, err := c.connect(granted, maxIdle)
	if err != nil {
		return nil, err
	}
	err = c.prove(conn, granted)
	for range maxClosedIdle {
		if !errors.Is(err, errClosedIdle) {
			break
		}
		if conn, err = c.connect(granted, maxIdle); err != nil {
			return nil, err
		}
		err = c.prove(conn, granted)
	}
	if errors.Is(err, errClosedAfterReport) {
		if conn, err = c.connect(granted, maxIdle); err != nil {
			return nil, err
		}
		err = c.requireProof(conn, granted)
	}
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// prove records what is known of the incarnation at the other end of the connection, and finds it out if the request
// needs it. After an error, the connection is closed.
func (c *call) prove(conn *replicahttp.Conn, granted *grant) error {
	n := c.node
	c.identity = n.identityOf(conn)
	if granted.origin.IsZero() || c.identity.IsProven() {
		return nil
	}
	n.mutex.Lock()
	givesReports := n.givesReportsLocked(granted.Replica)
	n.mutex.Unlock()
	if givesReports {
		if err := n.queryReport(c.ctx, conn, granted.Replica); err != nil {
			return err
		}
	}
	return c.requireProof(conn, granted)
}

// requireProof records what is known of the incarnation at the other end of the connection, and closes it if that is
// nothing.
func (c *call) requireProof(conn *replicahttp.Conn, granted *grant) error {
	c.identity = c.node.identityOf(conn)
	if !c.node.mayRelyOn(c.identity, granted.Replica.Service) {
		_ = conn.Close()
		return errUnproven
	}
	return nil
}

// givesReportsLocked reports whether the replica may be asked for a report.
func (n *Node) givesReportsLocked(replica replicas.Replica) bool {
	return n.dependencies.ParseReport != nil && n.identities.reporters.givesReports(n.now(), replica)
}

// recordUnanswered records that the incarnation gave no report, of a service whose others may.
func (n *Node) recordUnanswered(incarnation incarnations.Incarnation) {
	n.counter("streams.identity_reports.failed").Inc(1)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.identities.reporters.unanswered[incarnation] = n.now()
}

// queryReport asks the process at the other end of the connection for its start, and records the answer. After an error
// the connection is closed. A replica that gives no reports is no error.
func (n *Node) queryReport(callerContext context.Context, conn *replicahttp.Conn, replica replicas.Replica) error {
	ctx, cancel := context.WithTimeout(callerContext, reportQueryTimeout)
	defer cancel()
	incarnation := incarnations.Of(replica)
	sentAt, wasIdle := n.now(), conn.Reused // a query marks its connection as used
	answer, err := n.pool.Query(ctx, conn, &replicahttp.Request{
		Method: http.MethodGet, Target: n.dependencies.ReportPath, Host: replica.Address, Header: http.Header{}, IDHeader: n.dependencies.Headers.RequestID,
	}, maxReportBytes)
	if err != nil && callerContext.Err() != nil {
		return errUnproven
	}
	if err != nil && wasIdle && failureCauseOf(err) == causeClosed {
		return fmt.Errorf("%w: %w", errUnproven, errClosedIdle)
	}
	if err != nil {
		n.recordUnanswered(incarnation)
		if !errors.Is(err, errkind.TooLarge) { // otherwise it lives, whoever it is
			n.recordDoubt(incarnation)
		}
		return fmt.Errorf("%w: query its report: %w", errUnproven, err)
	}
	startedAt, err := n.dependencies.ParseReport(answer.StatusCode, answer.Body)
	switch {
	case err != nil && answer.StatusCode == http.StatusOK && !answer.IsOpen:
		// The report may have been cut.
		n.recordUnanswered(incarnation)
		return fmt.Errorf("%w: closed within its report: %w", errUnproven, err)
	case err != nil:
		n.counter("streams.identity_reports.none").Inc(1)
		n.mutex.Lock()
		n.identities.reporters.recordNoStart(n.now(), replica)
		n.mutex.Unlock()
		if !answer.IsOpen {
			return fmt.Errorf("%w: closed after an answer without its start: %w", errUnproven, err)
		}
		return nil
	case startedAt != replica.StartedAt:
		n.mutex.Lock()
		n.identities.Doubt(n.now(), incarnation)
		n.identities.churn.Observe(n.now(), replica.Service)
		n.identities.reporters.recordReport(n.now(), replica)
		n.mutex.Unlock()
		n.reportIdentity(identityReplaced, incarnation, eventlog.Event{Detail: fmt.Sprint("started at ", startedAt)})
		_ = conn.Close()
		n.pool.Forget(incarnationOf(replica))
		return fmt.Errorf("%w: %w at %d", errUnproven, errAnotherStart, startedAt)
	}
	n.mutex.Lock()
	n.identities.ConfirmByReport(sentAt, incarnation)
	n.identities.reporters.recordReport(n.now(), replica)
	n.mutex.Unlock()
	n.reportIdentity(identityConfirmed, incarnation, eventlog.Event{})
	n.resolveOrigins()
	if !answer.IsOpen {
		return errClosedAfterReport
	}
	return nil
}
