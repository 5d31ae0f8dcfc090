package entry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

const (
	kindStreaming = catalog.KindStreaming
	kindSafe      = catalog.KindSafe
)

// maxPlainResponseBytes bounds a plain service's response, which is buffered in memory.
const maxPlainResponseBytes = 8 << 20

// relay forwards the replica's response to the caller.
func (c *call) relay(answer *replicahttp.Answer, replica replicas.Replica, sentTime time.Time) (result, admission.Observation) {
	names := &c.node.dependencies.Headers
	success := answer.StatusCode >= http.StatusOK && answer.StatusCode < http.StatusMultipleChoices
	switch {
	case c.isRejection(answer):
		return c.handleRejection(answer, replica)
	case answer.Header.Get(names.Signature) == "" || success && answer.Header.Get("Content-Encoding") != "":
		return c.recordIncomplete(nil), admission.Observation{}
	case success && strings.HasPrefix(answer.Header.Get("Content-Type"), eventStreamType):
		return c.relayStream(answer, replica, sentTime)
	}
	return c.relayBuffered(answer, replica, success)
}

// isRejection reports whether the response proves that the replica did not run the request.
func (c *call) isRejection(answer *replicahttp.Answer) bool {
	return answer.Header.Get(c.node.dependencies.Headers.NotRun) != "" || answer.StatusCode == http.StatusMisdirectedRequest
}

// eventStreamType is the content type of event streams.
const eventStreamType = "text/event-stream"

// handleRejection handles a response that proves that the replica did not run the request.
func (c *call) handleRejection(answer *replicahttp.Answer, replica replicas.Replica) (result, admission.Observation) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRejectionBytes))
	if answer.StatusCode == http.StatusMisdirectedRequest {
		c.node.recordUnreachable(replica.ID)
	}
	return resultRejected, admission.Observation{}
}

// maxRejectionBytes bounds what is read of a rejection.
const maxRejectionBytes = 64 << 10

// relayBuffered reads the complete response before sending any of it, so that a truncated
// response never reaches the caller.
func (c *call) relayBuffered(answer *replicahttp.Answer, replica replicas.Replica, success bool) (result, admission.Observation) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxPlainResponseBytes))
	if err != nil || len(body) == maxPlainResponseBytes {
		return c.recordIncomplete(err), admission.Observation{}
	}
	failed := answer.StatusCode >= http.StatusInternalServerError
	c.node.recordSuccess(replica.ID)
	if failed && !c.headSent && c.route.Repeatable() && c.sends+1 < c.route.MaxAttempts && c.ctx.Err() == nil {
		return resultServerError, admission.Observation{}
	}
	if c.headSent {
		return resultIncomplete, admission.Observation{}
	}
	c.copyHeader(answer)
	if len(body) > 0 || c.request.Method != http.MethodHead {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.headSent = true
	c.writer.WriteHeader(answer.StatusCode)
	if _, err := c.writer.Write(body); err != nil {
		return resultCallerLeft, admission.Observation{}
	}
	c.recordAnswer(answer.StatusCode, replica.ID)
	return resultAnswered, admission.Observation{Failed: failed}
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
