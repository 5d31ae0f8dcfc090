package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/thornwalk/thornwalk/state/memorybudget"
	"github.com/thornwalk/thornwalk/transport/answerend"
	"github.com/thornwalk/thornwalk/transport/httphead"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// What a node holds of requests and answers is limited for each of them, and by one budget for all together. If the
// budget is exhausted, those that hold most are ended: a request that has not run is rejected, the outcome of any other
// is unknown unless it can go on at another replica.

const (
	// freeHeldBytes are held of a body or an event without a reservation. Most are smaller.
	freeHeldBytes = 4 << 10
	// retryAfterMemoryFull is the Retry-After of requests that are ended for the budget.
	retryAfterMemoryFull = time.Second
	// reasonMemoryFull is the reason of the end of such requests.
	reasonMemoryFull = "memory-full"
)

// Names of what is wrong with an answer, beside those of httphead, in logs and metrics.
const (
	violationUnsigned      = "unsigned"
	violationEncoded       = "encoded"
	violationNotAStream    = "not-a-stream"
	violationOtherAnswers  = "other-answers"
	violationNoID          = "no-id"
	violationBodyTooLong   = "body-too-long"
	violationBodyMalformed = "body-malformed"
	violationEventTooLong  = "event-too-long"
	violationEventID       = "event-id-too-long"
	violationEventOrder    = "event-ids-not-rising"
	violationEventGap      = "event-missing"
	violationNothingSent   = "nothing-before-close"
	violationEndNotProven  = "end-not-proven"
)

// invalidAnswerError means that the bytes that a replica sent are no answer to the request.
type invalidAnswerError struct{ violation string }

func (e *invalidAnswerError) Error() string { return "read answer: " + e.violation }

var (
	errUnsigned     = &invalidAnswerError{violationUnsigned}
	errEncoded      = &invalidAnswerError{violationEncoded}
	errNotAStream   = &invalidAnswerError{violationNotAStream}
	errBodyTooLong  = &invalidAnswerError{violationBodyTooLong}
	errEventTooLong = &invalidAnswerError{violationEventTooLong}
	// errEventIDTooLong is the error of an event whose ID can't be kept.
	errEventIDTooLong = &invalidAnswerError{violationEventID}
	// errEventOrder is the error of an event whose ID is not higher than the one before in the same answer.
	errEventOrder = &invalidAnswerError{violationEventOrder}
	// errEventGap is the error of a continuation that begins with a later event than the next one.
	errEventGap = &invalidAnswerError{violationEventGap}
)

// violationOf returns the name of what is wrong with an answer of which the read failed with err.
func violationOf(err error) string {
	var head *httphead.Error
	var invalid *invalidAnswerError
	switch {
	case errors.Is(err, answerend.ErrNotServing):
		return violationEndNotProven
	case errors.Is(err, answerend.ErrNothingSent):
		return violationNothingSent
	case errors.As(err, &head):
		return string(head.Violation)
	case errors.As(err, &invalid):
		return invalid.violation
	case errors.Is(err, replicahttp.ErrOnlyStrayAnswers):
		return violationOtherAnswers
	case errors.Is(err, replicahttp.ErrNoID):
		return violationNoID
	default:
		return violationBodyMalformed
	}
}

// maxDetailBytes bounds what a log line has of an error.
const maxDetailBytes = 160

// shortened returns the text of the error, at most maxDetailBytes.
func shortened(err error) string {
	text := err.Error()
	return text[:min(len(text), maxDetailBytes)]
}

// headLimits returns the limits of the heads of an answer for which memory is reserved.
func (s *Settings) headLimits(memory *memorybudget.Account) httphead.Limits {
	return httphead.Limits{
		Bytes: s.AnswerHeaderBytes, Lines: s.AnswerHeaderLines,
		Duration: time.Duration(s.AnswerHeaderTimeout) * time.Millisecond, Reserve: memory.Reserve,
	}
}

// readHeld reads to the end. It reserves the memory that it holds, and fails with errBodyTooLong at maxBytes or with
// memorybudget.ErrEvicted. If expected is positive, it is the length that the sender has announced.
func readHeld(reader io.Reader, memory *memorybudget.Account, expected, maxBytes int64) ([]byte, error) {
	content := make([]byte, 0, min(max(expected+1, 512), freeHeldBytes))
	for {
		count, err := reader.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		switch {
		case err == io.EOF && int64(len(content)) < maxBytes:
			return content, nil
		case err != nil && err != io.EOF:
			return content, err
		case int64(len(content)) >= maxBytes:
			return nil, errBodyTooLong
		}
		if len(content) < cap(content) {
			continue
		}
		if content, err = grow(content, memory, expected, maxBytes); err != nil {
			return nil, err
		}
	}
}

// grow returns the content in a larger buffer. While it is copied, both buffers are reserved.
func grow(content []byte, memory *memorybudget.Account, expected, maxBytes int64) ([]byte, error) {
	size := 2 * int64(cap(content))
	if expected >= int64(cap(content)) {
		size = expected + 1 // room for the read that finds the end
	}
	size = min(size, maxBytes)
	if err := memory.Reserve(size); err != nil {
		return nil, err
	}
	larger := append(make([]byte, 0, size), content...)
	if cap(content) > freeHeldBytes {
		memory.Release(int64(cap(content)))
	}
	return larger, nil
}

// interruptBody ends the read of the request's body, which holds most of the budget. Once the body is read, a deadline
// would look as if the caller had left.
func (c *call) interruptBody() {
	_ = http.NewResponseController(c.writer).SetReadDeadline(time.Unix(1, 0))
}

// isEvicted reports whether the request was ended for the budget.
func (c *call) isEvicted() bool { return c.memory != nil && c.memory.IsEvicted() }

// endEvicted ends a request that was ended for the budget.
func (c *call) endEvicted() {
	if c.executions > 0 {
		c.endOutcomeUnknown(http.StatusBadGateway, reasonMemoryFull)
		return
	}
	c.writer.Header().Set("Connection", "close")
	c.endNotRun(http.StatusServiceUnavailable, reasonMemoryFull, retryAfterMemoryFull)
}

// interruptWrite ends a write of the answer to the caller, which may be slow.
func (c *call) interruptWrite() {
	_ = http.NewResponseController(c.writer).SetWriteDeadline(time.Unix(1, 0))
}

// resumeWrites lets writes to the caller go on after interruptWrite, unless one was interrupted.
func (c *call) resumeWrites() {
	if c.writer != nil { // a search for a successor has no caller
		_ = http.NewResponseController(c.writer).SetWriteDeadline(time.Time{})
	}
}

// keepServerError keeps the answer with a server error until the request ends.
func (c *call) keepServerError(answer *bufferedAnswer) {
	if len(answer.body) > freeHeldBytes && c.memory.Reserve(int64(len(answer.body))) != nil {
		return
	}
	c.serverError = answer
}

// registerHeldMemoryMetrics registers the gauges of the memory that requests and answers hold.
func (n *Node) registerHeldMemoryMetrics() {
	n.registerGauges(map[string]func() int64{
		"buffers.held_bytes":     func() int64 { held, _ := n.memory.Held(); return held },
		"buffers.max_held_bytes": func() int64 { _, most := n.memory.Held(); return most },
		"buffers.evicted":        n.memory.Evicted,
	})
}
