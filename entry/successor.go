package entry

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/handover"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// The search for a successor of a silent replica. It runs with a copy of the call, of which nothing reaches the caller,
// up to the head of the successor's answer.

// mayHaveSuccessor reports whether the request may be sent to another replica in place of the silent one.
func (c *call) mayHaveSuccessor() bool {
	return c.mayRetry(resultIncomplete, c.executions+1, c.countedTries()+1)
}

// copyForSuccessor returns a copy of the call with which a successor is looked for. It has no caller.
func (c *call) copyForSuccessor(token handover.Token) *call {
	successor := *c
	successor.writer = nil
	successor.successorToken = token
	successor.bufferedEvents = nil
	successor.waited = 0
	successor.sends++
	successor.executions++
	successor.resumed = c.resumed || c.headSent
	successor.tried = append(slices.Clone(c.tried), c.currentReplica)
	return &successor
}

// findSuccessor requests an assignment and sends the request. It returns the send if the request goes on there.
func (c *call) findSuccessor() (*send, searchResult) {
	c.node.counter("successors.requested").Inc(1)
	request := c.newAssignRequest(c.tried, true)
	request.MayHaveRun, request.IsSearch = true, true
	if c.isHeld {
		request.Request.Held, request.Request.Patience = true, min(request.Request.Patience, successorInterval)
	}
	granted := c.node.requestAssignment(c.ctx, request)
	c.waited += granted.Waited
	granted.origin = c.origin
	if granted.Reason != "" {
		refusal := ""
		if c.ctx.Err() == nil {
			refusal = granted.Reason
			c.node.counter("successors.refused").Inc(1)
			c.node.counter("successors.refused." + refusal).Inc(1)
			c.logAssignment(granted)
		}
		return nil, searchResult{refusal: refusal, waited: c.waited, events: c.bufferedEvents}
	}
	c.logAssignment(granted)
	return c.trySuccessor(granted)
}

// trySuccessor sends the request to the assigned successor.
func (c *call) trySuccessor(granted *grant) (*send, searchResult) {
	refusedBefore, unprovenBefore := c.refusedConnects, c.unproven
	outcome, observed := resultNotSent, admission.Observation{CallerLeft: true}
	var begun *send
	if c.node.maySend(granted) && !slices.Contains(c.tried, granted.Replica.ID) {
		begun, outcome, observed = c.startSend(granted)
	}
	var serverError *bufferedAnswer
	if begun != nil {
		if outcome, serverError = c.judgeSuccessor(begun); outcome == resultAnswered {
			c.node.counter("successors.took_over").Inc(1)
			return begun, searchResult{waited: c.waited, events: c.bufferedEvents}
		}
		c.endExchange(begun, outcome)
		begun.release()
	}
	if outcome != resultNotSent {
		c.sends++
	}
	c.finish(granted, outcome, observed)
	c.logSend(granted, outcome)
	return nil, searchResult{
		replica: granted.Replica.ID, isSent: outcome != resultNotSent, mayHaveRun: outcome != resultNotSent && outcome != resultRejected,
		isConnectRefused: c.refusedConnects > refusedBefore, isUnproven: c.unproven > unprovenBefore, serverError: serverError, waited: c.waited, events: c.bufferedEvents,
	}
}

// judgeSuccessor returns resultAnswered if the request goes on at the successor, whose answer has begun. Its answer with a
// server error, if complete, is returned for the case that there is no other one.
func (c *call) judgeSuccessor(begun *send) (result, *bufferedAnswer) {
	answer, replica := begun.answer, begun.granted.Replica
	switch {
	case c.isRejection(answer):
		outcome, _ := c.handleRejection(answer, replica)
		return outcome, nil
	case c.isSigned(answer) && answer.StatusCode >= http.StatusInternalServerError:
		body, err := c.readPlainBody(answer, replica, answer.Body)
		if err != nil {
			return c.recordIncomplete(err), nil
		}
		c.node.recordSuccess(replica.ID)
		return resultServerError, &bufferedAnswer{Answer: answer, body: body, replica: replica.ID}
	case !c.isUsable(answer):
		return c.recordIncomplete(c.unusableError(answer)), nil
	}
	if !isEventStream(answer) {
		// The caller gets nothing of a plain answer before it is complete, so the other replica may go on until then.
		body, err := c.readPlainBody(answer, replica, answer.Body)
		if err != nil {
			return c.recordIncomplete(err), nil
		}
		answer.Body, answer.IsUnframed = io.NopCloser(bytes.NewReader(body)), false // its end is proven
	}
	if !c.silence.takeOver(c.successorToken, begun) {
		return resultNotNeeded, nil
	}
	return resultAnswered, nil
}

// isSigned reports whether the answer has the signature of a replica that ran the request.
func (c *call) isSigned(answer *replicahttp.Answer) bool {
	return answer.Header.Get(c.node.dependencies.Headers.Signature) != ""
}

// isUsable reports whether the head of the answer shows that the caller can get the answer, or a part of it.
func (c *call) isUsable(answer *replicahttp.Answer) bool {
	isSuccess := answer.StatusCode < http.StatusMultipleChoices
	switch {
	case !c.isSigned(answer), answer.StatusCode >= http.StatusInternalServerError:
		return false
	case c.isRejection(answer), isSuccess && answer.Header.Get("Content-Encoding") != "":
		return false
	case c.headSent: // the caller has a part of a stream
		return isSuccess && isEventStream(answer)
	}
	return true
}

// unusableError returns why an answer that is neither a rejection nor a server error is not usable.
func (c *call) unusableError(answer *replicahttp.Answer) error {
	switch {
	case !c.isSigned(answer):
		return errUnsigned
	case answer.Header.Get("Content-Encoding") != "":
		return errEncoded
	}
	return errNotAStream
}

// countSearch adds what happened in a search for a successor to the call.
func (c *call) countSearch(result searchResult) {
	c.waited += result.waited
	room := max(maxBufferedSearchEvents-len(c.bufferedEvents), 0)
	c.bufferedEvents = append(c.bufferedEvents, result.events[:min(len(result.events), room)]...)
	if result.refusal != "" {
		c.retryRefusal = result.refusal
	}
	if result.serverError != nil {
		c.keepServerError(result.serverError)
	}
	if result.replica != "" {
		c.tried = append(c.tried, result.replica)
	}
	if result.isConnectRefused {
		c.refusedConnects++
	}
	if result.isUnproven {
		c.unproven++
	}
	if result.isSent {
		c.sends++
	}
	if result.mayHaveRun {
		c.executions++
	}
}

// silenceLimit returns how long the current replica may be silent until a successor is looked for, or zero if none may
// be. hasEvents is true once the replica sent an event.
func (c *call) silenceLimit(hasEvents bool) time.Duration {
	switch {
	case c.successorToken != 0 || !c.route.Repeatable() || !c.mayHaveSuccessor():
		return 0
	case hasEvents:
		return nextEventSilence
	}
	return c.firstSilenceLimit()
}

// firstSilenceLimit returns how long a replica may be silent before its first event, or within a plain answer.
func (c *call) firstSilenceLimit() time.Duration {
	if c.route.Kind == kindSafe {
		return time.Duration(float64(c.remaining()) * plainSilenceShare)
	}
	return firstEventSilence
}

// successorLimit returns how long a successor may take to begin its answer until it is given up, or zero if it may take
// all the time, as no further replica may get the request.
func (c *call) successorLimit() time.Duration {
	if c.successorToken == 0 || !c.mayHaveSuccessor() {
		return 0
	}
	return c.firstSilenceLimit()
}
