package admission

import "time"

// Engines prefill a prompt in chunks between the tokens of the other requests in their batch, so a
// long prompt, or several in a row, delays the streams beside it.
const (
	// maxChunkTokens is the assumed size of the largest chunk between two tokens.
	maxChunkTokens = 2048
	// maxPauseShare is the share of the longest allowed time between two events that an assignment
	// may be expected to cause.
	maxPauseShare = 0.85
	// streamProtectionShare is the share of its target for which a request waits for a replica where
	// it delays no streams too long.
	streamProtectionShare = 0.9
	// maxFirstEventShare is the share of its target by which the first event of a request must be
	// expected.
	maxFirstEventShare = 0.9
	// prefillDecay is the factor on the weight of earlier observations at each new one.
	prefillDecay = 0.97
	// minPrefillWeight is the weight of observations below which there is no estimate.
	minPrefillWeight = 6
)

// prefillEstimator estimates a replica's prefill time by linear least squares of the time to the first
// event over the prompt tokens. The weight of observations decays exponentially.
type prefillEstimator struct {
	weight, promptSum, timeSum, promptSquareSum, promptTimeSum float64
}

// observe adds the time from the send of a request to its first event.
func (e *prefillEstimator) observe(promptTokens int, firstEvent time.Duration) {
	e.observeWithDecay(promptTokens, firstEvent, prefillDecay)
}

// observeWithDecay is observe with another factor on the weight of earlier observations.
func (e *prefillEstimator) observeWithDecay(promptTokens int, firstEvent time.Duration, decay float64) {
	x, y := float64(promptTokens), float64(firstEvent)
	for _, sum := range []struct {
		total *float64
		term  float64
	}{{&e.weight, 1}, {&e.promptSum, x}, {&e.timeSum, y}, {&e.promptSquareSum, x * x}, {&e.promptTimeSum, x * y}} {
		*sum.total = *sum.total*decay + sum.term
	}
}

// timePerToken returns the slope of the fitted line, or zero if it is unknown. It is bounded so that the
// time of an empty prompt is not negative: where nearly all prompts have the same length, rounding errors
// determine the slope, and a larger one would give that length many times its mean time.
func (e *prefillEstimator) timePerToken() time.Duration {
	spread := e.weight*e.promptSquareSum - e.promptSum*e.promptSum
	if e.weight < minPrefillWeight || spread <= 0 {
		return 0
	}
	slope := min((e.weight*e.promptTimeSum-e.promptSum*e.timeSum)/spread, e.timeSum/e.promptSum)
	return max(time.Duration(slope), 0)
}

// fixedTime returns the time to the first event of an empty prompt for the given slope, or zero if it
// is unknown.
func (e *prefillEstimator) fixedTime(perToken time.Duration) time.Duration {
	if e.weight < minPrefillWeight {
		return 0
	}
	return max(time.Duration((e.timeSum-float64(perToken)*e.promptSum)/e.weight), 0)
}

// wouldMissTarget reports whether the first event of the request, which has waited that long, is
// expected too late if the replica has that many unread tokens before it. It returns false if the
// prefill time is unknown.
func (r *replicaSnapshot) wouldMissTarget(request *Request, waited time.Duration, unreadTokens int) bool {
	if request.PromptTokens == 0 || r.prefillTimePerToken == 0 {
		return false
	}
	firstEvent := r.prefillFixedTime + time.Duration(unreadTokens+request.PromptTokens)*r.prefillTimePerToken
	return waited+firstEvent > time.Duration(float64(request.Target)*maxFirstEventShare)
}

// maxEventGap estimates the longest time between two events of a stream at the replica, with that many
// tokens in an event, while it prefills one more prompt beside its unread ones.
func (r *replicaSnapshot) maxEventGap(promptTokens, tokensPerEvent int) time.Duration {
	tokens := min(r.unreadTokens+promptTokens, tokensPerEvent*maxChunkTokens)
	return time.Duration(tokensPerEvent)*r.currentStepTime + time.Duration(tokens)*r.prefillTimePerToken
}

// wouldDelayStreams reports whether the request's prompt is expected to delay the streams at the
// replica too long, judged by the request's own tokens per event and maximum event gap.
func (r *replicaSnapshot) wouldDelayStreams(request *Request) bool {
	if request.MaxEventGap <= 0 || r.inFlight == 0 {
		return false
	}
	return r.maxEventGap(request.PromptTokens, max(request.TokensPerEvent, 1)) > time.Duration(float64(request.MaxEventGap)*maxPauseShare)
}
