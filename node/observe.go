package node

import (
	"io"
	"log"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/structs"
)

// discardLog discards the HTTP servers' messages about broken connections.
var discardLog = log.New(io.Discard, "", 0)

// The histograms sample reservoirSize values; reservoirDecay is the weight of
// recent values.
const (
	reservoirSize  = 1028
	reservoirDecay = 0.015
)

func (n *Node) count(name string) { metrics.GetOrRegisterCounter(name, n.metrics).Inc(1) }

// recordDuration adds a duration to the histogram of the name, in microseconds.
func (n *Node) recordDuration(name string, duration time.Duration) {
	histogram := n.metrics.GetOrRegister(name+".us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirDecay))
	})
	if typed, isHistogram := histogram.(metrics.Histogram); isHistogram {
		typed.Update(duration.Microseconds())
	}
}

func (n *Node) countOutcome(exec *execution, outcome structs.Outcome) {
	n.count("outcome." + exec.request.Tier + "." + outcome.String())
	if outcome == structs.OutcomeAnswered {
		n.recordDuration("answer."+exec.request.Tier, n.now()-exec.request.Arrived)
	}
}

// trafficMeter counts the bytes of the peer protocol by kind of message, and the
// requests of callers that are being served.
type trafficMeter struct {
	openCallers atomic.Int64
	out, in     [64]metrics.Counter
}

func newTrafficMeter(registry metrics.Registry) *trafficMeter {
	meter := &trafficMeter{}
	for kind := range meter.out {
		name := peerwire.Kind(kind).String()
		meter.out[kind] = metrics.GetOrRegisterCounter("peer.out."+name, registry)
		meter.in[kind] = metrics.GetOrRegisterCounter("peer.in."+name, registry)
	}
	return meter
}

// Count implements peer.Traffic.
func (m *trafficMeter) Count(kind peerwire.Kind, out bool, bytes int) {
	counters := &m.in
	if out {
		counters = &m.out
	}
	if int(kind) < len(counters) {
		counters[kind].Inc(int64(bytes))
	}
}

// Decision is a scheduling decision on a request, as written to the log and to
// operators.
type Decision struct {
	Time       time.Time           `json:"time"`
	Node       string              `json:"node"`
	RequestID  string              `json:"request_id"`
	Tenant     string              `json:"tenant"`
	Route      string              `json:"route"`
	Service    string              `json:"service"`
	Tier       string              `json:"tier"`
	Verdict    structs.Verdict     `json:"verdict"`
	Reason     structs.Reason      `json:"reason,omitempty"`
	Replica    structs.ReplicaID   `json:"replica,omitempty"`
	Waited     time.Duration       `json:"waited_ns"`
	RetryAfter time.Duration       `json:"retry_after_ns,omitempty"`
	Candidates []structs.Candidate `json:"candidates,omitempty"`
}

// decisionLog holds the latest decisions. It is safe for concurrent use.
type decisionLog struct {
	mutex sync.Mutex
	ring  []Decision
	next  int
}

func newDecisionLog(size int) *decisionLog { return &decisionLog{ring: make([]Decision, 0, size)} }

func (l *decisionLog) add(decision Decision) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, decision)
		return
	}
	l.ring[l.next] = decision
	l.next = (l.next + 1) % len(l.ring)
}

// forRequest returns the decisions on the request, the oldest first.
func (l *decisionLog) forRequest(requestID string) []Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []Decision
	for i := range l.ring {
		decision := l.ring[(l.next+i)%len(l.ring)]
		if decision.RequestID == requestID {
			found = append(found, decision)
		}
	}
	return found
}

// recordDecision logs, counts and stores the decision. The caller holds the mutex.
func (n *Node) recordDecision(plan structs.Plan) {
	request := plan.Request
	decision := Decision{
		Time: n.deps.WallTime(), Node: n.config.Name, RequestID: request.ID, Tenant: request.Tenant, Route: request.Route,
		Service: request.Service, Tier: request.Tier, Verdict: plan.Verdict, Reason: plan.Reason, Replica: plan.Replica.ID,
		Waited: n.now() - request.Arrived, RetryAfter: plan.RetryAfter, Candidates: plan.Candidates,
	}
	n.decisions.add(decision)
	n.count("decision." + string(plan.Verdict) + "." + request.Tier)
	if plan.Reason != structs.ReasonNone {
		n.count("refused." + string(plan.Reason))
	}
	n.recordDuration("waited."+request.Tier, decision.Waited)
	if n.deps.LogDecisions {
		klog.InfoS("route", "decision", decision)
	}
}
