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

// maximumAnswer bounds the answer of a plain service that is held in memory.
const maxPlainResponseBytes = 8 << 20

// relay passes the replica's answer on to the caller.
func (c *call) relay(answer *replicahttp.Answer, replica replicas.Replica, sent time.Time) (result, admission.Observation) {
	names := &c.node.deps.Headers
	proven := answer.Header.Get(names.NotRun) != "" || answer.StatusCode == http.StatusMisdirectedRequest
	success := answer.StatusCode >= http.StatusOK && answer.StatusCode < http.StatusMultipleChoices
	switch {
	case proven:
		return c.handleRejection(answer, replica)
	case answer.Header.Get(names.Signature) == "" || success && answer.Header.Get("Content-Encoding") != "":
		return c.recordIncomplete(replica.ID, nil), admission.Observation{}
	case success && strings.HasPrefix(answer.Header.Get("Content-Type"), eventStreamType):
		return c.relayStream(answer, replica, sent)
	}
	return c.relayBuffered(answer, replica, success)
}

// eventStream is the content type of series of events.
const eventStreamType = "text/event-stream"

// rejected handles the proof that the replica did not run the request.
func (c *call) handleRejection(answer *replicahttp.Answer, replica replicas.Replica) (result, admission.Observation) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRejectionBytes))
	if answer.StatusCode == http.StatusMisdirectedRequest {
		c.node.recordUnreachable(replica.ID)
	}
	return resultRejected, admission.Observation{}
}

// maximumStray bounds what is read of a rejection.
const maxRejectionBytes = 64 << 10

// relayWhole reads the whole answer before the caller gets any of it, so that
// one that is cut short is never passed on.
func (c *call) relayBuffered(answer *replicahttp.Answer, replica replicas.Replica, success bool) (result, admission.Observation) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxPlainResponseBytes))
	if err != nil || len(body) == maxPlainResponseBytes {
		return c.recordIncomplete(replica.ID, err), admission.Observation{}
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

// copyHead sets the headers of the replica's answer.
func (c *call) copyHeader(answer *replicahttp.Answer) {
	header := c.writer.Header()
	for name, values := range withoutHopByHop(answer.Header) {
		header[name] = values
	}
	if _, given := answer.Header["Content-Type"]; !given {
		header["Content-Type"] = nil
	}
	if c.node.stopping.Load() != 0 {
		header.Set("Connection", "close")
	}
}

func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i, part := range parts {
		parts[i] = strings.TrimSpace(part)
	}
	return parts
}
