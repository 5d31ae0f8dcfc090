package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// Request is what the scheduler knows of a request that wants a place.
type Request struct {
	// ID is unique over all nodes and tries.
	ID string
	// Node is the process that asks, with its incarnation.
	Node    string
	Service string
	// Route names the operators' route, on which versions of a service are compared.
	Route string
	// Zone is the asking node's.
	Zone     string
	Priority int
	// Prompt counts tokens and Answer is a guess at those of the answer; both are
	// zero for plain services.
	Prompt int
	Answer int
	// Stride is the tokens in one event of the answer, and Pause the longest time
	// between two events at which the answer is still in time; zero means any.
	Stride int
	Pause  time.Duration
	// Yields is true if the request leaves some places free for more urgent ones.
	Yields bool
	// Deadline is the time until nobody waits for the answer any more.
	Deadline time.Duration
	// Target is what is left of the time within which the first part of the
	// answer earns its full credit.
	Target time.Duration
	// Patience is the longest time to wait for a place.
	Patience time.Duration
	// Returned is true if the request was refused before and came back.
	Returned bool
	// Content is equal for requests that ask for the same.
	Content fingerprint.Fingerprint
	// Tried names replicas that the request came to before and that must not be
	// chosen again.
	Tried []string
	// Doubted names replicas that the asking node finds failing; they are chosen
	// only if there is no other.
	Doubted []string
}

// WithElapsed returns the request as it is once so much time has passed.
func (r Request) WithElapsed(passed time.Duration) Request {
	r.Deadline = max(r.Deadline-passed, 0)
	r.Target = max(r.Target-passed, 0)
	r.Patience = max(r.Patience-passed, 0)
	return r
}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonNone is the reason of a decision that gives a place.
	ReasonNone Reason = ""
	// ReasonNoReplica means that the service has no usable replica.
	ReasonNoReplica Reason = "no-replica"
	// ReasonPaused means that every usable replica has asked the request's node to pause.
	ReasonPaused Reason = "replicas-pause"
	// ReasonNoPlace means that no place became free in time.
	ReasonNoPlace Reason = "no-place"
	// ReasonDeadline means that no replica is fast enough for the answer.
	ReasonDeadline Reason = "too-long-for-deadline"
	// ReasonBacklog means that the work ahead takes longer than the request can wait.
	ReasonBacklog Reason = "backlog"
	// ReasonSuspect means that another try of the request, under which a replica ended, runs.
	ReasonSuspect Reason = "suspect"
	// ReasonEmptied means that all usable replicas are in zones that the operators emptied.
	ReasonEmptied Reason = "zone-emptied"
	// ReasonBarred means that too many replicas ended under the request.
	ReasonBarred Reason = "barred"
)

// Decision ends the wait of a request.
type Decision struct {
	ID      string
	Replica replicas.Replica
	// Limit is what is known of the replica's rate limit. If there is one, the place counts
	// against it.
	Limit pushback.TimedLimit
	// Reason is empty if the replica was given.
	Reason Reason
	// Trial is true if the request is barred and was given the replica all the same.
	Trial bool
	// RetryAfter tells a refused caller when to come back.
	RetryAfter time.Duration
	Waited     time.Duration
	// QueuedAhead is how many requests were before it, Free the places that were free and
	// Expected the wait that was predicted.
	QueuedAhead, Free int
	Expected          time.Duration
}

// Observation is how a request with a place ended.
type Observation struct {
	// FirstEvent is the time from the send to the first part of the answer, and
	// Duration to its end; zero if there was none.
	FirstEvent time.Duration
	Duration   time.Duration
	// Events counts the parts of a stream and Stride the tokens in one of them.
	Events int
	Stride int
	// Left is true if the caller gave up, which says nothing of the replica.
	Left bool
	// Failed is true if the replica broke off, failed or was silent.
	Failed bool
	// Whole is true if the replica gave its whole answer, be it a failure.
	Whole bool
}
