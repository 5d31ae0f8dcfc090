package structs

import "time"

// Verdict is the scheduler's decision on a request.
type Verdict string

const (
	// VerdictDispatch sends the request to Plan.Replica.
	VerdictDispatch Verdict = "dispatch"
	// VerdictReject rejects the request; it ends with OutcomeNotRun.
	VerdictReject Verdict = "refuse"
)

// Reason is the cause of a rejection. Logs, metrics and error responses contain it verbatim.
type Reason string

const (
	// ReasonNone is the reason of a dispatched request.
	ReasonNone Reason = ""
	// ReasonShed means that the request's tier is shed because of load.
	ReasonShed Reason = "shed"
	// ReasonFloor means that the zone's shed floor excludes the tier: a higher tier is being shed.
	ReasonFloor Reason = "floor"
	// ReasonDeadline means that no engine, even an idle one, could answer before the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonExpired means that the deadline passed while the request was queued.
	ReasonExpired Reason = "expired"
	// ReasonQueueFull means that the tier's queue at this node is full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonNoReplica means that no replica of the service is usable.
	ReasonNoReplica Reason = "no-replica"
	// ReasonRate means that the tenant has used up its rate limit.
	ReasonRate Reason = "tenant-rate"
	// ReasonConcurrency means that the tenant has reached its concurrency limit.
	ReasonConcurrency Reason = "tenant-concurrency"
	// ReasonStopping means that the node is stopping.
	ReasonStopping Reason = "stopping"
)

// Candidate is a replica that the scheduler considered for a request, with its estimates. All times
// count from the decision.
type Candidate struct {
	Replica ReplicaID `json:"replica"`
	// Wait is the estimated time until the replica starts the request.
	Wait time.Duration `json:"wait_ns"`
	// FirstToken is the estimated time to the first token, Completion to the end of the answer.
	FirstToken time.Duration `json:"first_token_ns"`
	Completion time.Duration `json:"completion_ns"`
	// CachedTokens is the number of prompt tokens that the replica is expected to have cached.
	CachedTokens int `json:"cached_tokens"`
	// Score is the estimated cost; lower is better.
	Score float64 `json:"score"`
}

// Plan is the scheduler's decision on one request.
type Plan struct {
	Request *Request `json:"-"`
	Verdict Verdict  `json:"verdict"`
	// Reason is ReasonNone unless the verdict is VerdictReject.
	Reason Reason `json:"reason,omitempty"`
	// Replica is the replica to send the request to; the zero value for rejections.
	Replica Replica `json:"replica"`
	// RetryAfter is the wait suggested to the caller of a rejected request; zero suggests none.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// Candidates holds the best candidates by score, and the chosen one.
	Candidates []Candidate `json:"candidates,omitempty"`
	// Chosen is an index into Candidates; -1 for rejections.
	Chosen int `json:"chosen"`
}
