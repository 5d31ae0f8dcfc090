package structs

import "time"

// Instant is monotonic time since the start of the process that measured it. Instants of different
// processes are not comparable.
type Instant = time.Duration

// Rank orders tiers: zero is served first and shed last.
type Rank int

// MaxInstant is the latest Instant.
const MaxInstant Instant = 1<<63 - 1

// Request is the scheduler's view of a caller's request. It is immutable once submitted.
type Request struct {
	// ID identifies the request at its node and at the back end.
	ID string
	// Tenant and Route are the names of settings branches.
	Tenant string
	Route  string
	// Service names the service whose replicas may serve the request.
	Service string
	// Model and Adapter are empty for plain services. Adapter is also empty for the base model.
	Model   string
	Adapter string
	// Tier is the name of the tier, Rank its order.
	Tier string
	Rank Rank
	// Weight is the tenant's relative share within its tier; queues count zero as one.
	Weight float64
	// PromptTokens is the estimated length of the prompt; zero for plain services.
	PromptTokens int
	// MaxTokens is the upper bound of the answer's length in tokens.
	MaxTokens int
	// Prefix is the hash chain of the prompt: element i is the hash of its first i+1 blocks of
	// BlockTokens tokens. Empty for plain services.
	Prefix []uint64
	// Arrived and Deadline are Instants of the node that accepted the request.
	Arrived  Instant
	Deadline Instant
	// Repeatable is true if the request may run twice without harm.
	Repeatable bool
}

// BlockTokens is the number of prompt tokens per element of a prefix chain, the unit in which engines
// cache prompts.
const BlockTokens = 64

// Outcome is how a request ended: answered, not run or unknown. The zero value is OutcomePending.
type Outcome int

const (
	// OutcomePending marks a request that has not ended.
	OutcomePending Outcome = iota
	// OutcomeAnswered means that the caller received the complete answer.
	OutcomeAnswered
	// OutcomeNotRun means that no byte of the request reached a back end: a retry is safe.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown
)

// String returns the outcome as headers, logs and metrics contain it.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	default:
		return "pending"
	}
}
