package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/openai"
	"github.com/thornwalk/thornwalk/state/answer"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/unframed"
)

// keepAliveInterval is the time between comments in a stream without events, which
// keep proxies from closing the connection.
const keepAliveInterval = 15 * time.Second

// writeError responds with the error: its kind, its remedy, what it proves about
// the request, and when to retry.
func (n *Node) writeError(writer http.ResponseWriter, err error, requestID, sealed string) {
	n.writeOutcomeError(writer, err, outcomeOf(err), requestID, sealed)
}

// writeOutcomeError is writeError with an outcome other than that of the error's kind.
func (n *Node) writeOutcomeError(writer http.ResponseWriter, err error, outcome structs.Outcome, requestID, sealed string) {
	kind := errkind.Of(err)
	header := writer.Header()
	header.Set(HeaderErrorCode, kind.Code)
	header.Set(HeaderOutcome, outcome.String())
	setIfNotEmpty(header, HeaderRequestID, requestID)
	setIfNotEmpty(header, HeaderReceipt, sealed)
	var retry *retryAfterError
	if errors.As(err, &retry) || kind == errkind.Limited || kind == errkind.Stopping {
		after := time.Second
		if retry != nil {
			after = retry.after
		}
		header.Set("Retry-After", strconv.Itoa(max(1, int((after+time.Second-1)/time.Second))))
	}
	writeJSON(writer, kind.Status, errorBody(err, outcome, requestID, sealed))
}

func errorBody(err error, outcome structs.Outcome, requestID, sealed string) openai.ErrorBody {
	kind := errkind.Of(err)
	return openai.ErrorBody{Error: openai.ErrorDetail{
		Message: err.Error(), Type: kind.Code, Code: kind.Code, Outcome: outcome.String(), RequestID: requestID, Receipt: sealed,
	}}
}

func setIfNotEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// lastEventID returns the number of the last event that the caller received, or 0.
func lastEventID(request *http.Request) int {
	number, err := strconv.Atoi(request.Header.Get("Last-Event-ID"))
	if err != nil || number < 0 {
		return 0
	}
	return number
}

// writeGeneration sends the answer of an engine, as a stream after the event
// number from, or as one body. Like the other writers of answers, it aborts if the
// request's context ends: the caller may have closed its direction only and read on,
// and a handler that returns completes the response.
func (n *Node) writeGeneration(writer http.ResponseWriter, request *http.Request, ans *answer.Answer, stream, usage bool, from int) {
	if stream {
		n.writeStream(writer, request, ans, usage, from)
		return
	}
	view, err := ans.AwaitEnd(request.Context())
	if err != nil {
		unframed.Abort(request)
	}
	if view.Outcome != structs.OutcomeAnswered {
		n.writeOutcomeError(writer, view.Err, view.Outcome, view.RequestID, view.Receipt)
		return
	}
	completion, err := openai.Assemble(view.Parts)
	if err != nil {
		n.writeOutcomeError(writer, err, structs.OutcomeUnknown, view.RequestID, view.Receipt)
		return
	}
	setAnswerHeader(writer.Header(), &view)
	writer.Header().Set(HeaderOutcome, view.Outcome.String())
	writeJSON(writer, http.StatusOK, completion)
}

func setAnswerHeader(header http.Header, view *answer.Snapshot) {
	header.Set(HeaderRequestID, view.RequestID)
	setIfNotEmpty(header, HeaderReceipt, view.Receipt)
}

// writeStream sends events as they arrive. The headers, with the receipt, are sent
// when the request is dispatched. The outcome follows in the trailer, and an error
// also as the last event.
func (n *Node) writeStream(writer http.ResponseWriter, request *http.Request, ans *answer.Answer, usage bool, from int) {
	view, err := ans.Await(request.Context(), from, 0)
	if err != nil {
		unframed.Abort(request)
	}
	if view.Ended && view.Outcome != structs.OutcomeAnswered && len(view.Parts) == 0 {
		n.writeOutcomeError(writer, view.Err, view.Outcome, view.RequestID, view.Receipt)
		return
	}
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("Trailer", HeaderOutcome)
	setAnswerHeader(header, &view)
	controller := http.NewResponseController(writer)
	unframed.Begin(request)
	for {
		for _, part := range view.Parts {
			from++
			writeEvent(writer, from, part, usage)
		}
		if view.Ended {
			break
		}
		if controller.Flush() != nil {
			unframed.Abort(request)
		}
		if view, err = n.awaitNext(request, writer, ans, from); err != nil {
			unframed.Abort(request)
		}
	}
	header.Set(HeaderOutcome, view.Outcome.String())
	if view.Outcome == structs.OutcomeAnswered {
		fmt.Fprintf(writer, "data: %s\n\n", openai.DoneEvent)
	} else {
		fmt.Fprintf(writer, "event: error\ndata: %s\n\n", mustJSON(errorBody(view.Err, view.Outcome, view.RequestID, view.Receipt)))
	}
	unframed.End(writer, request)
}

// awaitNext waits for the next part and sends keep-alive comments meanwhile.
func (n *Node) awaitNext(request *http.Request, writer http.ResponseWriter, ans *answer.Answer, from int) (answer.Snapshot, error) {
	for {
		ctx, cancel := context.WithTimeout(request.Context(), keepAliveInterval)
		view, err := ans.Await(ctx, from, 1)
		cancel()
		if err == nil || request.Context().Err() != nil {
			return view, err
		}
		fmt.Fprint(writer, ": waiting\n\n")
		if err := http.NewResponseController(writer).Flush(); err != nil {
			return view, err
		}
	}
}

// writeEvent sends one event; chunks that only carry usage are skipped unless usage
// was requested.
func writeEvent(writer http.ResponseWriter, number int, part []byte, usage bool) {
	if !usage {
		if chunk, err := openai.ParseChunk(part); err == nil && chunk.Usage != nil && len(chunk.Choices) == 0 {
			return
		}
	}
	fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, part)
}

// writeService sends the answer of a plain service as it arrives. If the answer is
// not complete, the caller's connection is aborted.
func (n *Node) writeService(writer http.ResponseWriter, request *http.Request, ans *answer.Answer) {
	view, err := awaitHead(request.Context(), ans)
	if err != nil {
		unframed.Abort(request)
	}
	if view.Head == nil {
		n.writeOutcomeError(writer, view.Err, view.Outcome, view.RequestID, view.Receipt)
		return
	}
	header := writer.Header()
	for name, values := range forwardedHeader(view.Head.Header) {
		header[name] = values
	}
	setAnswerHeader(header, &view)
	header.Set("Trailer", HeaderOutcome)
	unframed.Begin(request)
	writer.WriteHeader(view.Head.Status)
	sent := 0
	for {
		for _, part := range view.Parts {
			_, _ = writer.Write(part) // a broken connection is detected by Flush
			sent++
		}
		if view.Ended {
			break
		}
		if http.NewResponseController(writer).Flush() != nil {
			unframed.Abort(request)
		}
		if view, err = ans.Await(request.Context(), sent, 1); err != nil {
			unframed.Abort(request)
		}
	}
	if view.Outcome != structs.OutcomeAnswered {
		unframed.Abort(request)
	}
	header.Set(HeaderOutcome, view.Outcome.String())
	unframed.End(writer, request)
}

// awaitHead waits until the answer has response headers or has ended.
func awaitHead(ctx context.Context, ans *answer.Answer) (answer.Snapshot, error) {
	for {
		view, changed := ans.Snapshot(0)
		if view.Head != nil || view.Ended {
			return view, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return view, ctx.Err()
		}
	}
}

// mustJSON returns the encoded value, which must be of a type that always encodes.
func mustJSON(value any) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err) // not reached for the types passed here
	}
	return content
}
