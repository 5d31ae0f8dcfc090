package entry

import (
	"bytes"
	"cmp"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
	"github.com/thornwalk/thornwalk/transport/unframed"
)

// Limits of a stream.
const (
	streamBufferBytes = 4096
	// defaultMaxEventBytes bounds the bytes of one event unless the settings do.
	defaultMaxEventBytes = 1 << 20
	// firstEventSilence and nextEventSilence are the times without bytes after which another replica is looked for,
	// at which a resumable stream could continue.
	firstEventSilence = 1500 * time.Millisecond
	nextEventSilence  = 1200 * time.Millisecond
)

// relayStream forwards complete events as they arrive. The head is sent with the first event, so
// that a replica that fails before it can be replaced.
func (c *call) relayStream(answer *replicahttp.Answer, replica replicas.Replica, sentTime time.Time) (result, admission.Observation) {
	var observed admission.Observation
	pending := eventBuffer{memory: c.answerMemory, maxBytes: cmp.Or(c.node.settings.Load().AnswerEventBytes, defaultMaxEventBytes)}
	buffer := make([]byte, streamBufferBytes)
	flusher := http.NewResponseController(c.writer)
	last := sentTime
	var order eventOrder
	for {
		count, err := c.readWatched(answer, buffer, observed.Events > 0, true)
		if errors.Is(err, errReplaced) {
			return c.recordIncomplete(err), observed
		}
		if count > 0 {
			c.recordReceived()
		}
		if memoryErr := pending.add(buffer[:count]); memoryErr != nil {
			return c.recordIncomplete(memoryErr), observed
		}
		if events := pending.completeEvents(); len(events) > 0 {
			if observed.Events == 0 {
				observed.FirstEvent = time.Since(sentTime)
				c.firstEventDelay = observed.FirstEvent
			} else {
				c.maxEventGap = max(c.maxEventGap, time.Since(last))
			}
			last = time.Now()
			c.relayedIDs.isNewAnswer = c.relayedIDs.isNewAnswer || observed.Events == 0
			ready, idErr := c.unsentEvents(events, &observed.Events, &order)
			pending.discard(len(events))
			if len(ready) > 0 {
				c.recordOrigin(replica)
			}
			if (idErr == nil || len(ready) > 0) && !c.sendEvents(answer, ready, flusher) {
				return resultCallerLeft, observed
			}
			if idErr != nil {
				return c.recordIncomplete(idErr), observed
			}
		}
		if pending.isTooLong() {
			return c.recordIncomplete(errEventTooLong), observed
		}
		if err == nil {
			continue
		}
		if !answer.Ended(err) || len(pending.content) > 0 {
			return c.recordIncomplete(err), observed
		}
		if endErr := c.checkEnd(answer, replica, observed.Events > 0); endErr != nil {
			return c.recordIncomplete(endErr), observed
		}
		break
	}
	c.node.recordSuccess(replica.ID)
	c.sendHead(answer)
	unframed.End(c.writer, c.request)
	c.node.recordDuration("pause_ms", c.maxEventGap)
	c.recordAnswer(answer.StatusCode, replica.ID)
	return resultAnswered, observed
}

// readWatched reads from the answer while the silence of its replica is watched. The error is errReplaced if the request
// has gone on at another replica; nothing that was read must be used then. An answer that is not usable does not keep a
// successor from answering.
func (c *call) readWatched(answer *replicahttp.Answer, buffer []byte, hasEvents, isUsable bool) (int, error) {
	c.silence.wait(c.silenceLimit(hasEvents))
	beganAt := c.node.now()
	count, err := answer.Body.Read(buffer)
	if count == 0 && err != nil && !answer.Ended(err) {
		c.silence.interrupted()
		if failureCauseOf(err) == causeClosed {
			c.readEnded(beganAt, true)
		}
		return 0, err
	}
	if !isUsable {
		c.silence.interrupted()
	} else if !c.silence.received() {
		return 0, errReplaced
	}
	c.readEnded(beganAt, false)
	return count, err
}

// sendHead sends the head of the response unless one was sent already.
func (c *call) sendHead(answer *replicahttp.Answer) {
	if c.headSent {
		return
	}
	c.copyHeader(answer)
	c.headSent = true
	unframed.Begin(c.request)
	c.writer.WriteHeader(answer.StatusCode)
}

// sendEvents sends the head, if needed, and the events. It returns false if the caller left.
func (c *call) sendEvents(answer *replicahttp.Answer, events []byte, flusher *http.ResponseController) bool {
	c.sendHead(answer)
	if len(events) == 0 {
		return true
	}
	if _, err := c.writer.Write(events); err != nil {
		return false
	}
	return flusher.Flush() == nil
}

var (
	eventEndLF   = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = "id:"
)

// completeEventsLength returns the length of the complete events at the start of the text.
func completeEventsLength(text []byte) int {
	end := 0
	if at := bytes.LastIndex(text, eventEndLF); at >= 0 {
		end = at + len(eventEndLF)
	}
	if at := bytes.LastIndex(text, eventEndCRLF); at >= 0 {
		end = max(end, at+len(eventEndCRLF))
	}
	return end
}

// maxEventIDBytes bounds the ID of an event, which is kept and sent to the replica at which the stream goes on.
const maxEventIDBytes = 1024

// unsentEvents returns the events that the caller does not have yet from an earlier replica. It
// counts all events and records the last ID. The error is errEventIDTooLong or that of the order if the event after
// them must not be relayed.
func (c *call) unsentEvents(text []byte, count *int, order *eventOrder) ([]byte, error) {
	fresh := make([]byte, 0, len(text))
	for len(text) > 0 {
		end := firstEventLength(text)
		event := text[:end]
		text = text[end:]
		*count++
		id := eventID(event)
		if len(id) > maxEventIDBytes {
			return fresh, errEventIDTooLong
		}
		if err := order.next(id); err != nil {
			return fresh, err
		}
		if id != "" && c.lastEventID != "" && c.resumed && !isLaterEventID(id, c.lastEventID) {
			continue
		}
		if id != "" {
			if c.relayedIDs.isUncheckedContinuation(id) {
				c.node.counter("streams.continuation_unchecked").Inc(1)
			}
			if err := c.relayedIDs.next(id); err != nil {
				return fresh, err
			}
			c.lastEventID, c.toEvent = id, id
			if c.fromEvent == "" {
				c.fromEvent = id
			}
		}
		fresh = append(fresh, event...)
	}
	return fresh, nil
}

// firstEventLength returns the length of the first event, or of the text if no event ends in it.
func firstEventLength(text []byte) int {
	lf, crlf := bytes.Index(text, eventEndLF), bytes.Index(text, eventEndCRLF)
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + len(eventEndCRLF)
	case lf >= 0:
		return lf + len(eventEndLF)
	default:
		return len(text)
	}
}

// eventID returns the value of the event's id field, or "".
func eventID(event []byte) string {
	for line := range strings.Lines(string(event)) {
		if value, found := strings.CutPrefix(line, idField); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// isLaterEventID reports whether the ID is greater than the earlier one or either is not a number.
func isLaterEventID(id, earlier string) bool {
	a, isNumber := numericEventID(id)
	b, isEarlierNumber := numericEventID(earlier)
	return !isNumber || !isEarlierNumber || a > b
}

// numericEventID returns the number that the ID is, if it is one.
func numericEventID(id string) (int64, bool) {
	number, err := strconv.ParseInt(id, 10, 64)
	return number, err == nil
}
