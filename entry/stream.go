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
	streamBuffer = 4096
	// maximumEvent bounds the bytes of one event.
	maximumEvent = 1 << 20
	// stallFirst and stallNext are the silences after which a resumable stream
	// is continued at another replica.
	stallFirst = 1500 * time.Millisecond
	stallNext  = 1200 * time.Millisecond
)

// relayStream passes whole events on as they come. The head goes out with the
// first event, so that a replica which fails before it can be replaced.
func (c *call) relayStream(answer *replicahttp.Answer, replica replicas.Replica, sent time.Time) (result, admission.Observation) {
	var seen admission.Observation
	var pending []byte
	buffer := make([]byte, streamBuffer)
	flusher := http.NewResponseController(c.writer)
	last := sent
	for {
		c.limitSilence(answer, seen.Events)
		count, err := answer.Body.Read(buffer)
		pending = append(pending, buffer[:count]...)
		whole := lastEventEnd(pending)
		if whole > 0 {
			if seen.Events == 0 {
				seen.FirstEvent = time.Since(sent)
				c.firstEvent = seen.FirstEvent
			} else {
				c.longestPause = max(c.longestPause, time.Since(last))
			}
			last = time.Now()
			ready := c.newEvents(pending[:whole], &seen.Events)
			pending = append(pending[:0], pending[whole:]...)
			if !c.sendEvents(answer, ready, flusher) {
				return resultLeft, seen
			}
		}
		if len(pending) > maximumEvent {
			return c.broken(replica.ID, err), seen
		}
		if err == nil {
			continue
		}
		if !answer.Ended(err) || len(pending) > 0 {
			return c.broken(replica.ID, err), seen
		}
		break
	}
	c.node.noteAnswered(replica.ID)
	c.sendHead(answer)
	c.node.observe("pause_ms", c.longestPause)
	c.answered(answer.StatusCode, replica.ID)
	return resultAnswered, seen
}

// limitSilence bounds the wait for the next bytes where the stream can go on
// at another replica.
func (c *call) limitSilence(answer *replicahttp.Answer, events int) {
	if !c.route.Resumable || c.sends+1 >= c.route.MaxAttempts {
		return
	}
	limit := stallNext
	if events == 0 {
		limit = stallFirst
	}
	answer.SetReadDeadline(time.Now().Add(limit))
}

// sendHead sends the head of the first replica's answer, once.
func (c *call) sendHead(answer *replicahttp.Answer) {
	if c.headSent {
		return
	}
	c.copyHead(answer)
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
	eventEnd      = []byte("\n\n")
	eventEndLines = []byte("\r\n\r\n")
	idField       = "id:"
)

// lastEventEnd returns the length of the whole events at the front of the text.
func lastEventEnd(text []byte) int {
	end := 0
	if at := bytes.LastIndex(text, eventEnd); at >= 0 {
		end = at + len(eventEnd)
	}
	if at := bytes.LastIndex(text, eventEndLines); at >= 0 {
		end = max(end, at+len(eventEndLines))
	}
	return end
}

// newEvents counts the events, notes the last number, and leaves out those that
// the caller already has from an earlier replica.
func (c *call) newEvents(text []byte, count *int) []byte {
	fresh := make([]byte, 0, len(text))
	for len(text) > 0 {
		end := firstEventEnd(text)
		event := text[:end]
		text = text[end:]
		*count++
		id := eventID(event)
		if id != "" && c.lastEvent != "" && c.resumed && !follows(id, c.lastEvent) {
			continue
		}
		if id != "" {
			c.lastEvent = id
		}
		fresh = append(fresh, event...)
	}
	return fresh
}

func firstEventEnd(text []byte) int {
	plain, lines := bytes.Index(text, eventEnd), bytes.Index(text, eventEndLines)
	switch {
	case lines >= 0 && (plain < 0 || lines < plain):
		return lines + len(eventEndLines)
	case plain >= 0:
		return plain + len(eventEnd)
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
func follows(id, before string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(before, 10, 64)
	return errA != nil || errB != nil || a > b
}
