package admission

import "time"

// Engines read a prompt in pieces between the tokens of the other requests in
// their batch, so that a long prompt, or several read one after the other, makes
// the streams beside it pause. How long depends on how fast the replica reads.
const (
	// pieceTokens is the largest piece of a prompt that an engine is taken to read
	// between two tokens.
	pieceTokens = 2048
	// calmShare is the part of the longest pause in time that a placement may be
	// expected to cause.
	calmShare = 0.85
	// calmPatience is the part of a request's target for which it waits for a replica
	// where it disturbs nobody.
	calmPatience = 0.9
	// inTimeShare is the part of a request's target by which its first event has to be
	// expected for it to count as in time.
	inTimeShare = 0.9
	// readingMemory is the weight that the earlier observations keep with each new one.
	readingMemory = 0.97
	// enoughReadings is the least weight of observations for an estimate.
	enoughReadings = 6
)

// reading estimates a replica's reading time a token from prompts and the times
// to their first events: the slope of a line of least squares, older observations
// counting less.
type reading struct {
	weight, prompts, times, squares, products float64
}

func (r *reading) observe(prompt int, first time.Duration) {
	x, y := float64(prompt), float64(first)
	for _, sum := range []struct {
		total *float64
		term  float64
	}{{&r.weight, 1}, {&r.prompts, x}, {&r.times, y}, {&r.squares, x * x}, {&r.products, x * y}} {
		*sum.total = *sum.total*readingMemory + sum.term
	}
}

// perToken returns the time to read one token, or zero if it is not known.
func (r *reading) perToken() time.Duration {
	spread := r.weight*r.squares - r.prompts*r.prompts
	if r.weight < enoughReadings || spread <= 0 {
		return 0
	}
	return max(time.Duration((r.weight*r.products-r.prompts*r.times)/spread), 0)
}

// fixed returns the time to the first event of an empty prompt, given the time to read
// one token, or zero if it is not known.
func (r *reading) fixed(perToken time.Duration) time.Duration {
	if r.weight < enoughReadings {
		return 0
	}
	return max(time.Duration((r.times-float64(perToken)*r.prompts)/r.weight), 0)
}

// late returns whether the first event of the request, which waited for so long, is
// expected too late if the replica starts now with so many tokens to read before it.
func (o *option) late(request *Request, waited time.Duration, unread int) bool {
	if request.Prompt == 0 || o.readTime == 0 {
		return false
	}
	first := o.fixedTime + time.Duration(unread+request.Prompt)*o.readTime
	return waited+first > time.Duration(float64(request.Target)*inTimeShare)
}

// pauseWith estimates the longest pause of the streams at the replica while it
// reads one more prompt beside those that it has still to read.
func (o *option) pauseWith(prompt, stride int) time.Duration {
	tokens := min(o.unread+prompt, stride*pieceTokens)
	return time.Duration(stride)*o.step + time.Duration(tokens)*o.readTime
}

// disturbs returns whether the request's prompt would make streams at the
// replica pause for too long.
func (o *option) disturbs(request *Request) bool {
	if request.Pause <= 0 || o.used == 0 {
		return false
	}
	return o.pauseWith(request.Prompt, max(request.Stride, 1)) > time.Duration(float64(request.Pause)*calmShare)
}
