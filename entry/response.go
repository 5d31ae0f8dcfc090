package entry

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/memorybudget"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

const (
	kindStreaming = catalog.KindStreaming
	kindSafe      = catalog.KindSafe
)

// defaultMaxAnswerBytes bounds a plain service's response, which is buffered in memory, unless the settings do.
const defaultMaxAnswerBytes = 8 << 20

// relay forwards the replica's response to the caller.
func (c *call) relay(answer *replicahttp.Answer, replica replicas.Replica, sentTime time.Time) (result, admission.Observation) {
	success := answer.StatusCode >= http.StatusOK && answer.StatusCode < http.StatusMultipleChoices
	switch {
	case c.isRejection(answer):
		return c.handleRejection(answer, replica)
	case !c.isSigned(answer) || success && answer.Header.Get("Content-Encoding") != "":
		return c.recordIncomplete(c.unusableError(answer)), admission.Observation{}
	case success && isEventStream(answer):
		return c.relayStream(answer, replica, sentTime)
	}
	return c.relayBuffered(answer, replica)
}

// isRejection reports whether the response proves that the replica did not run the request.
func (c *call) isRejection(answer *replicahttp.Answer) bool {
	return c.isRejectionHead(answer.Response)
}

func (c *call) isRejectionHead(head *http.Response) bool {
	return head.Header.Get(c.node.dependencies.Headers.NotRun) != "" || head.StatusCode == http.StatusMisdirectedRequest
}

// acceptsWithoutID reports whether an answer that does not echo the request's ID is used. A rejection is on a new
// connection, where it can be no earlier request's: another server at the replica's address may not know the header.
// Answers without a signature are not used in any case, and accepted here for the sake of their reason.
func (c *call) acceptsWithoutID(head *http.Response, isReused bool) bool {
	if c.isRejectionHead(head) {
		return !isReused
	}
	return head.Header.Get(c.node.dependencies.Headers.Signature) == ""
}

// eventStreamType is the content type of event streams.
const eventStreamType = "text/event-stream"

// isEventStream reports whether the answer is an event stream.
func isEventStream(answer *replicahttp.Answer) bool {
	return strings.HasPrefix(answer.Header.Get("Content-Type"), eventStreamType)
}

// handleRejection handles a response that proves that the replica did not run the request.
func (c *call) handleRejection(answer *replicahttp.Answer, replica replicas.Replica) (result, admission.Observation) {
	timer := time.AfterFunc(rejectionBodyTimeout, answer.Abandon)
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRejectionBytes))
	timer.Stop()
	if answer.StatusCode == http.StatusMisdirectedRequest {
		c.node.recordUnreachable(replica)
		c.node.recordOtherServer(replica)
	}
	return resultRejected, admission.Observation{}
}

// maxRejectionBytes and rejectionBodyTimeout bound what is read of a rejection. Its body matters only for the further use
// of the connection.
const (
	maxRejectionBytes    = 64 << 10
	rejectionBodyTimeout = 100 * time.Millisecond
)

// relayBuffered reads the complete response before sending any of it, so that a truncated
// response never reaches the caller.
func (c *call) relayBuffered(answer *replicahttp.Answer, replica replicas.Replica) (result, admission.Observation) {
	isUsable := c.isUsable(answer)
	body, err := c.readPlainBody(answer, replica, readerFunc(func(buffer []byte) (int, error) { return c.readWatched(answer, buffer, false, isUsable) }))
	if err == nil && c.answerMemory.IsEvicted() {
		err = memorybudget.ErrEvicted
	}
	if err != nil {
		return c.recordIncomplete(err), admission.Observation{}
	}
	failed := answer.StatusCode >= http.StatusInternalServerError
	c.node.recordSuccess(replica.ID)
	if c.headSent {
		return resultIncomplete, admission.Observation{}
	}
	whole := &bufferedAnswer{Answer: answer, body: body, replica: replica.ID}
	if failed && c.mayHaveSuccessor() {
		c.keepServerError(whole)
		return resultServerError, admission.Observation{}
	}
	if !c.sendBuffered(whole) {
		return resultCallerLeft, admission.Observation{}
	}
	return resultAnswered, admission.Observation{Failed: failed}
}

// readPlainBody reads the body of a plain answer of the replica to its end.
func (c *call) readPlainBody(answer *replicahttp.Answer, replica replicas.Replica, body io.Reader) ([]byte, error) {
	limit := cmp.Or(c.node.settings.Load().AnswerBodyBytes, defaultMaxAnswerBytes)
	content, err := readHeld(body, c.answerMemory, answer.ContentLength, int64(limit))
	if err != nil {
		return content, err
	}
	return content, c.checkEnd(answer, replica, len(content) > 0)
}

// readerFunc is a function as an io.Reader.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(buffer []byte) (int, error) { return f(buffer) }

// bufferedAnswer is a complete answer of a replica.
type bufferedAnswer struct {
	*replicahttp.Answer
	body    []byte
	replica string
}

// sendBuffered sends the answer to the caller. It returns false if the caller left.
func (c *call) sendBuffered(answer *bufferedAnswer) bool {
	c.copyHeader(answer.Answer)
	if len(answer.body) > 0 || c.request.Method != http.MethodHead {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	c.headSent = true
	c.writer.WriteHeader(answer.StatusCode)
	if _, err := c.writer.Write(answer.body); err != nil {
		return false
	}
	c.recordAnswer(answer.StatusCode, answer.replica)
	return true
}

// copyHeader sets the caller's response headers to those of the replica's.
func (c *call) copyHeader(answer *replicahttp.Answer) {
	header := c.writer.Header()
	for name, values := range withoutHopByHop(answer.Header) {
		header[name] = values
	}
	if _, isSet := answer.Header["Content-Type"]; !isSet {
		header["Content-Type"] = nil
	}
	if c.node.stoppingSince.Load() != 0 {
		header.Set("Connection", "close")
	}
}

// splitList returns the trimmed elements of a comma-separated list.
func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i, part := range parts {
		parts[i] = strings.TrimSpace(part)
	}
	return parts
}
