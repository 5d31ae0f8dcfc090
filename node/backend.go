package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/thornwalk/thornwalk/faultpoint"
	"github.com/thornwalk/thornwalk/internal/wait"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/openai"
	"github.com/thornwalk/thornwalk/state/answer"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/backendhttp"
	"github.com/thornwalk/thornwalk/transport/oneshot"
)

const (
	// resumeWindow is how long resuming an answer is tried without progress, every
	// resumeInterval.
	resumeWindow   = 10 * time.Second
	resumeInterval = 100 * time.Millisecond
	// maxReorderedEvents bounds the events that wait for an earlier one.
	maxReorderedEvents = 256
	// maxAnswerBytes bounds the data of one answer.
	maxAnswerBytes = 32 << 20
	// cancelTimeout bounds the call that cancels a request at its engine.
	cancelTimeout = time.Second
	// serviceChunkBytes is the size of one read of a response body.
	serviceChunkBytes = 32 << 10
)

// generate sends the request to an engine and reads the complete answer, resuming
// it when the stream breaks. If nothing was sent, it returns OutcomePending and
// an error that wraps oneshot.ErrNotSent.
func (n *Node) generate(exec *execution, replica structs.Replica, beforeFirstByte func() error) (structs.Outcome, error) {
	body, err := exec.call.generation.EngineBody(requestEngineModel(exec), int(exec.request.Rank), exec.request.MaxTokens)
	if err != nil {
		return structs.OutcomeNotRun, errkind.Wrap(errkind.BadRequest, err)
	}
	path := openai.PathCompletions
	if exec.call.generation.Chat {
		path = openai.PathChat
	}
	stream, err := n.adapter.Generate(exec.ctx, replica.Address, &backendhttp.Generation{ID: exec.request.ID, Path: path, Body: body, BeforeFirstByte: beforeFirstByte})
	if errors.Is(err, oneshot.ErrNotSent) {
		return structs.OutcomePending, err
	}
	reader := &eventReader{node: n, request: exec.request, address: replica.Address, answer: exec.answer}
	outcome, err := reader.read(exec.ctx, stream, err)
	exec.tokens = reader.tokens
	if exec.ctx.Err() != nil && n.working.Err() == nil && outcome == structs.OutcomeUnknown {
		n.cancelAtEngine(replica.Address, exec.request.ID)
	}
	return outcome, err
}

// requestEngineModel returns the name under which the engine serves the model.
func requestEngineModel(exec *execution) string {
	if exec.request.Adapter != "" {
		return exec.request.Adapter
	}
	return exec.request.Model
}

// cancelAtEngine cancels the request at the engine. Errors are ignored.
func (n *Node) cancelAtEngine(address, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(n.ctx), cancelTimeout)
	defer cancel()
	if n.ctx.Err() != nil {
		return // Kill has ended the node, which must then send nothing
	}
	_ = n.adapter.Cancel(ctx, address, id)
}

// eventReader reads the answer of one request from its engine. It appends the
// events to the answer in the order of their numbers, each once, and drops those
// of other requests.
type eventReader struct {
	node    *Node
	request *structs.Request
	address string
	answer  *answer.Answer
	// lastNumber is the number of the last event that was appended.
	lastNumber int
	// outOfOrder holds events by number until those before them arrive.
	outOfOrder map[int][]byte
	tokens     int
	bytes      int
}

// read reads until the answer is complete or can't be resumed. If the stream is
// nil, err is the error of opening it, and read starts by resuming the answer.
func (r *eventReader) read(ctx context.Context, stream *backendhttp.Stream, err error) (structs.Outcome, error) {
	lastProgress := time.Now()
	for {
		if stream != nil {
			before := r.lastNumber
			err = r.readStream(ctx, stream)
			stream.Close()
			if err == nil {
				return structs.OutcomeAnswered, nil
			}
			if r.lastNumber > before {
				lastProgress = time.Now()
			}
		}
		if fatal := engineError(err); fatal != nil {
			return structs.OutcomeUnknown, fatal
		}
		if time.Since(lastProgress) > resumeWindow || !wait.Sleep(ctx, resumeInterval) {
			return structs.OutcomeUnknown, errkind.New(errkind.OutcomeUnknown, "read answer of the engine: stream broke and was not resumed: %v", err)
		}
		r.node.count("answer.resumed")
		stream, err = r.node.adapter.Resume(ctx, r.address, r.request.ID, r.lastNumber)
	}
}

// engineError returns an error if err is a StatusError, after which resuming the
// answer can't succeed, and nil otherwise.
func engineError(err error) error {
	var status *backendhttp.StatusError
	if !errors.As(err, &status) {
		return nil
	}
	return errkind.New(errkind.OutcomeUnknown, "read answer of the engine: %s", status.Error())
}

// readStream reads one stream; nil means that the answer is complete.
func (r *eventReader) readStream(ctx context.Context, stream *backendhttp.Stream) error {
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			if len(r.outOfOrder) > 0 {
				clear(r.outOfOrder)
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			clear(r.outOfOrder)
			return err
		}
		if err := r.handleEvent(ctx, event); err != nil {
			return err
		}
	}
}

// handleEvent appends the event to the answer, with those that waited for it, or
// stores it until the events before it arrive.
func (r *eventReader) handleEvent(ctx context.Context, event backendhttp.Event) error {
	chunk, err := openai.ParseChunk(event.Data)
	if err != nil || chunk.ID != r.request.ID || event.Number <= r.lastNumber {
		r.node.count("answer.dropped-events")
		return nil
	}
	if event.Number > r.lastNumber+1 {
		if r.outOfOrder == nil {
			r.outOfOrder = map[int][]byte{}
		}
		if len(r.outOfOrder) >= maxReorderedEvents {
			clear(r.outOfOrder)
			return io.ErrUnexpectedEOF
		}
		r.outOfOrder[event.Number] = event.Data
		return nil
	}
	if err := r.appendEvent(ctx, event.Data, chunk); err != nil {
		return err
	}
	for {
		data, found := r.outOfOrder[r.lastNumber+1]
		if !found {
			return nil
		}
		delete(r.outOfOrder, r.lastNumber+1)
		if chunk, err = openai.ParseChunk(data); err != nil {
			return err
		}
		if err := r.appendEvent(ctx, data, chunk); err != nil {
			return err
		}
	}
}

// appendEvent appends the event that is next in order to the answer.
func (r *eventReader) appendEvent(ctx context.Context, data []byte, chunk *openai.Chunk) error {
	if err := faultpoint.Reach(ctx, r.node.deps.Faults, faultpoint.Stream, r.request.ID); err != nil {
		return err
	}
	r.lastNumber++
	r.bytes += len(data)
	if r.bytes > maxAnswerBytes {
		return &backendhttp.StatusError{Status: http.StatusBadGateway, Body: "answer is too large"}
	}
	if chunk.HasText() {
		r.tokens++
		if r.tokens == 1 {
			r.node.recordFirstToken(r.request)
		}
	}
	if chunk.Usage != nil {
		r.tokens = max(r.tokens, chunk.Usage.CompletionTokens)
	}
	r.answer.Append(append([]byte(nil), data...))
	return nil
}

func (n *Node) recordFirstToken(request *structs.Request) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.scheduler.FirstToken(n.now(), request.ID)
	n.recordDuration("ttft."+request.Tier, n.now()-request.Arrived)
}

// callService sends the request to a plain service and reads its response. A
// response that breaks can't be resumed and has an unknown outcome.
func (n *Node) callService(exec *execution, replica structs.Replica, beforeFirstByte func() error) (structs.Outcome, error) {
	service := exec.call.service
	response, err := n.adapter.Call(exec.ctx, replica.Address, &backendhttp.ServiceCall{
		ID: exec.request.ID, Method: service.method, Path: service.path, Header: service.header, Body: exec.call.body, BeforeFirstByte: beforeFirstByte,
	})
	if errors.Is(err, oneshot.ErrNotSent) {
		return structs.OutcomePending, err
	}
	if err != nil {
		return structs.OutcomeUnknown, errkind.New(errkind.OutcomeUnknown, "%v", err)
	}
	defer response.Body.Close()
	exec.answer.SetHead(answer.ResponseHead{Status: response.StatusCode, Header: response.Header})
	return n.copyBody(exec, response.Body)
}

func (n *Node) copyBody(exec *execution, body io.Reader) (structs.Outcome, error) {
	total := 0
	for {
		if err := faultpoint.Reach(exec.ctx, n.deps.Faults, faultpoint.Stream, exec.request.ID); err != nil {
			return structs.OutcomeUnknown, errkind.New(errkind.OutcomeUnknown, "%v", err)
		}
		chunk := make([]byte, serviceChunkBytes)
		count, err := body.Read(chunk)
		if total += count; count > 0 {
			exec.answer.Append(chunk[:count])
		}
		if errors.Is(err, io.EOF) {
			return structs.OutcomeAnswered, nil
		}
		if err == nil && total > maxAnswerBytes {
			err = errors.New("answer is too large")
		}
		if err != nil {
			return structs.OutcomeUnknown, errkind.New(errkind.OutcomeUnknown, "read response of the service: broke after %d bytes: %v", total, err)
		}
	}
}
