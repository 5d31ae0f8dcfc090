package admission

import "time"

const (
	// reservedSlotShare is the share of a service's slots that requests with Yields leave free.
	reservedSlotShare = 0.06
	// requestCostTokens is the fixed cost of a request, in prompt tokens.
	requestCostTokens = 2000
	// inFlightCostTokens is the cost of each request in flight, in prompt tokens.
	inFlightCostTokens = 300
	// streamDelayCostTokens is the cost of delaying one stream too long, in prompt tokens.
	streamDelayCostTokens = 2000
	// unknownSlowdown is the slowdown of a replica of unknown speed among known ones. It lies between those
	// of the fast and the slow replicas in known deployments, 1 to 4.4.
	unknownSlowdown = 2
	// maxPrefillTime is how long the prompt of a new assignment counts as unread if no answer starts.
	maxPrefillTime = time.Second
	// slotHandoverTime is the time from the end of an answer to the start of the next request in its
	// slot.
	slotHandoverTime = 12 * time.Millisecond
	// unreportedLoadTTL is how long observed unreported load counts.
	unreportedLoadTTL = 800 * time.Millisecond
	// initialMeanDuration is the assumed duration of a service's requests until one has ended.
	initialMeanDuration = 500 * time.Millisecond
	// minRetryAfter is the shortest Decision.RetryAfter. maxRetryAfter applies where the expected wait is
	// unknown, and bounds the one for pauses.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryAfterShare is the share of the remaining time after which a caller should come back at the
	// latest.
	retryAfterShare = 0.32
	// A new request is rejected for backlog once it has waited backlogRejectShare of its target, if it
	// is not expected to be assigned within maxStartShare of it.
	backlogRejectShare = 0.18
	maxStartShare      = 0.75
	// firstEventTimeout is the time after which an answer that has not started counts as a failure.
	firstEventTimeout = 1200 * time.Millisecond
	// otherZoneFactor is the factor on the cost of a replica in another zone of the node's region: a
	// partition between zones breaks such requests.
	otherZoneFactor = 2.0
	// otherRegionFactor is that of a replica in another region, where latency and traffic cost more.
	otherRegionFactor = 6.0
	// smoothingWeight is the weight of a new observation in moving averages.
	smoothingWeight = 0.15
	// maxDeadlineShare is the share of the remaining time that an answer may be expected to take.
	maxDeadlineShare = 0.95
	// maxQueueLength is the number of queued requests of a service beyond which requests are rejected.
	maxQueueLength = 4000
	// maxAssignmentAge is the age at which the end of an assignment counts as lost.
	maxAssignmentAge = 60 * time.Second
)
