package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// Request describes a request that needs a replica.
type Request struct {
	// ID is unique over all nodes and attempts.
	ID string
	// Node is the process that asks, with its incarnation.
	Node    string
	Service string
	// Route is the configured route. Versions of a service are compared by route.
	Route string
	// Zone is the zone of Node.
	Zone string
	// Tenant shares a service that is full with others of its priority, in proportion to Weight, whose
	// mean over tenants is 1. Both are empty in messages of nodes without tenant shares.
	Tenant string  `msgpack:",omitempty"`
	Weight float64 `msgpack:",omitempty"`
	// Priority orders requests; lower values go first.
	Priority int
	// PromptTokens is the number of prompt tokens and AnswerTokens the expected number of answer tokens.
	// Both are zero for plain services.
	PromptTokens int `msgpack:"Prompt"`
	AnswerTokens int `msgpack:"Answer"`
	// TokensPerEvent is the number of tokens in one event of the answer, and MaxEventGap the longest time
	// between two events at which the answer is still in time; zero means no limit.
	TokensPerEvent int           `msgpack:"Stride"`
	MaxEventGap    time.Duration `msgpack:"Pause"`
	// Yields is true if the request leaves some slots free for more urgent ones.
	Yields bool
	// Deadline is the time left until the answer is of no use.
	Deadline time.Duration
	// Target is the time left for the first part of the answer to be in time.
	Target time.Duration
	// Patience is the longest time to wait for a replica.
	Patience time.Duration
	// WasRejected is true if the request was rejected before and sent again.
	WasRejected bool `msgpack:"Returned"`
	// HasReservation is true if the caller came back when it was told to. The scheduling node sets it.
	HasReservation bool `msgpack:"-"`
	// Fingerprint is equal for requests with the same content.
	Fingerprint fingerprint.Fingerprint `msgpack:"Content"`
	// Parts are the keys of the shared parts of the prompt, see promptparts.Key.
	Parts []fingerprint.Fingerprint `msgpack:",omitempty"`
	// Version is the only version of the replicas' software at which the request may run; empty means any. It is set
	// for streams whose callers have events. Scheduling nodes of earlier releases ignore it.
	Version string `msgpack:",omitempty"`
	// Held is true while another replica has the request and may still go on with it. It waits behind all requests
	// that no replica has, and delays none of them. Scheduling nodes of earlier releases ignore it.
	Held bool `msgpack:",omitempty"`
	// Tried holds the replicas that were tried before. They are not chosen again.
	Tried []string
	// Doubted holds the replicas that the node suspects. They are chosen only if there are no others.
	Doubted []string
}

// WithElapsed returns the request with its remaining times reduced by the elapsed time, to zero at
// least.
func (r Request) WithElapsed(elapsed time.Duration) Request {
	r.Deadline = max(r.Deadline-elapsed, 0)
	r.Target = max(r.Target-elapsed, 0)
	r.Patience = max(r.Patience-elapsed, 0)
	return r
}

// Reason says why a request was rejected.
type Reason string

// Reasons of rejections.
const (
	// ReasonNone means that the request was assigned.
	ReasonNone Reason = ""
	// ReasonNoReplica means that the service has no usable replica, or none that was not tried yet.
	ReasonNoReplica Reason = "no-replica"
	// ReasonNoVersion means that no usable replica, or none that was not tried yet, has the request's version.
	ReasonNoVersion Reason = "no-replica-of-version"
	// ReasonPaused means that every usable replica has asked the request's node to pause.
	ReasonPaused Reason = "replicas-pause"
	// ReasonNoSlot means that no slot became free in time.
	ReasonNoSlot Reason = "no-place"
	// ReasonDeadline means that no replica is fast enough to answer before the deadline.
	ReasonDeadline Reason = "too-long-for-deadline"
	// ReasonBacklog means that the expected wait is too long or the queue is full.
	ReasonBacklog Reason = "backlog"
	// ReasonSuspect means that the request is suspected of crashing replicas and is running elsewhere.
	ReasonSuspect Reason = "suspect"
	// ReasonEvacuated means that all usable replicas are in evacuated zones.
	ReasonEvacuated Reason = "zone-emptied"
	// ReasonBlocked means that the request is blocked because replicas crashed under it.
	ReasonBlocked Reason = "barred"
)

// Decision assigns or rejects a queued request.
type Decision struct {
	ID      string
	Replica replicas.Replica
	// Limit is the replica's rate limit as far as it is known. If it is set, the assignment counts
	// against it.
	Limit pushback.TimedLimit
	// Reason is ReasonNone if the request was assigned.
	Reason Reason
	// Trials are the keys of what was blocked and is tried with this assignment: the request, parts of its
	// prompt, or both.
	Trials []fingerprint.Fingerprint
	// BlockedBy is the key because of which the request was rejected as blocked or suspect.
	BlockedBy fingerprint.Fingerprint
	// RetryAfter is when a rejected caller should come back.
	RetryAfter time.Duration
	// LatestReturn is the longest useful RetryAfter of a request that was rejected for lack of slots, and
	// zero for other reasons. CompletionRate is the number of requests per second that the service is
	// expected to complete.
	LatestReturn   time.Duration
	CompletionRate float64
	// Waited is the time in the queue.
	Waited time.Duration
	// QueuedAhead is the number of requests before it, FreeSlots the number of free slots of healthy
	// replicas and ExpectedWait the expected wait, all at the time of the decision.
	QueuedAhead, FreeSlots int
	ExpectedWait           time.Duration
}

// Observation describes how an assigned request ended.
type Observation struct {
	// FirstEvent and Duration are the times from the send to the first part of the answer and to its
	// end; zero if there was none.
	FirstEvent time.Duration
	Duration   time.Duration
	// Events is the number of events of a stream, and TokensPerEvent the number of tokens in one.
	Events         int
	TokensPerEvent int `msgpack:"Stride"`
	// CallerLeft is true if the caller gave up, which doesn't count for or against the replica.
	CallerLeft bool `msgpack:"Left"`
	// Failed is true if the replica failed, broke off the answer or did not answer.
	Failed bool
	// Whole is true if the replica sent a complete answer, even one that reports a failure, and Succeeded if that
	// has a status of success.
	Whole     bool
	Succeeded bool `msgpack:",omitempty"`
	// WorkTime is the work time that the replica reported, in percent of its usual one, and HeadDelay the
	// time from the send to that report. WorkTime is zero if the replica reported none.
	WorkTime  int           `msgpack:",omitempty"`
	HeadDelay time.Duration `msgpack:",omitempty"`
}

// minProvenTime is how long a replica has written an answer once it is certain that the prompt does not crash it.
const minProvenTime = 250 * time.Millisecond

// ProvesPrompt reports whether the replica wrote an answer to the prompt and survived it.
func (o *Observation) ProvesPrompt() bool {
	return o.Succeeded || o.Events > 0 && o.Duration-o.FirstEvent >= minProvenTime
}
