package entry

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// Bounds of a stream.
const (
	streamBufferBytes = 4096
	// maximumEvent bounds the bytes of one event.
	maxEventBytes = 1 << 20
	// stallFirst and stallNext are the silences after which a resumable stream
	// is continued at another replica.
	firstEventTimeout = 1500 * time.Millisecond
	nextEventTimeout  = 1200 * time.Millisecond
)

// relayStream passes whole events on as they come. The head goes out with the
// first event, so that a replica which fails before it can be replaced.
func (c *call) relayStream(answer *replicahttp.Answer, replica replicas.Replica, sent time.Time) (result, admission.Observation) {
	var seen admission.Observation
	var pending []byte
	buffer := make([]byte, streamBufferBytes)
	flusher := http.NewResponseController(c.writer)
	last := sent
	for {
		c.setEventTimeout(answer, seen.Events)
		count, err := answer.Body.Read(buffer)
		pending = append(pending, buffer[:count]...)
		whole := completeEventsLength(pending)
		if whole > 0 {
			if seen.Events == 0 {
				seen.FirstEvent = time.Since(sent)
				c.firstEventDelay = seen.FirstEvent
			} else {
				c.maxEventGap = max(c.maxEventGap, time.Since(last))
			}
			last = time.Now()
			ready := c.unsentEvents(pending[:whole], &seen.Events)
			pending = append(pending[:0], pending[whole:]...)
			if !c.sendEvents(answer, ready, flusher) {
				return resultCallerLeft, seen
			}
		}
		if len(pending) > maxEventBytes {
			return c.recordIncomplete(replica.ID, err), seen
		}
		if err == nil {
			continue
		}
		if !answer.Ended(err) || len(pending) > 0 {
			return c.recordIncomplete(replica.ID, err), seen
		}
		break
	}
	c.node.recordSuccess(replica.ID)
	c.sendHead(answer)
	c.node.recordDuration("pause_ms", c.maxEventGap)
	c.recordAnswer(answer.StatusCode, replica.ID)
	return resultAnswered, seen
}

// limitSilence bounds the wait for the next bytes where the stream can go on
// at another replica.
func (c *call) setEventTimeout(answer *replicahttp.Answer, events int) {
	if !c.route.Resumable || c.sends+1 >= c.route.MaxAttempts {
		return
	}
	limit := nextEventTimeout
	if events == 0 {
		limit = firstEventTimeout
	}
	answer.SetReadDeadline(time.Now().Add(limit))
}

// sendHead sends the head of the first replica's answer, once.
func (c *call) sendHead(answer *replicahttp.Answer) {
	if c.headSent {
		return
	}
	c.copyHeader(answer)
	c.headSent = true
	c.writer.WriteHeader(answer.StatusCode)
}

// sendEvents returns false if the caller is gone.
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

// lastEventEnd returns the length of the whole events at the front of the text.
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

// newEvents counts the events, notes the last number, and leaves out those that
// the caller already has from an earlier replica.
func (c *call) unsentEvents(text []byte, count *int) []byte {
	fresh := make([]byte, 0, len(text))
	for len(text) > 0 {
		end := firstEventLength(text)
		event := text[:end]
		text = text[end:]
		*count++
		id := eventID(event)
		if id != "" && c.lastEventID != "" && c.resumed && !isLaterEventID(id, c.lastEventID) {
			continue
		}
		if id != "" {
			c.lastEventID = id
		}
		fresh = append(fresh, event...)
	}
	return fresh
}

func firstEventLength(text []byte) int {
	plain, lines := bytes.Index(text, eventEndLF), bytes.Index(text, eventEndCRLF)
	switch {
	case lines >= 0 && (plain < 0 || lines < plain):
		return lines + len(eventEndCRLF)
	case plain >= 0:
		return plain + len(eventEndLF)
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

// follows returns whether the number comes after the other.
func isLaterEventID(id, before string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(before, 10, 64)
	return errA != nil || errB != nil || a > b
}
