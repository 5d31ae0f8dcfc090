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
	// resumeWindow is how long a broken answer is asked for again, and
	// resumePause the time between tries.
	resumeWindow   = 10 * time.Second
	resumeInterval = 100 * time.Millisecond
	// reorderLimit bounds events that wait for an earlier one.
	maxReorderedEvents = 256
	// maximumAnswerBytes bounds one answer.
	maxAnswerBytes = 32 << 20
	// cancelTimeout bounds the message that ends a request at its engine.
	cancelTimeout = time.Second
	// serviceChunk is the size of the pieces in which a service's body is read.
	serviceChunkBytes = 32 << 10
)

// generate dispatches to an engine and reads the answer to its end, resuming it
// when the stream breaks. Errors that wrap oneshot.ErrNotSent prove that
// nothing was sent.
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
	if exec.ctx.Err() != nil && outcome == structs.OutcomeUnknown {
		n.cancelAtEngine(replica.Address, exec.request.ID)
	}
	return outcome, err
}

func requestEngineModel(exec *execution) string {
	if exec.request.Adapter != "" {
		return exec.request.Adapter
	}
	return exec.request.Model
}

// cancelAt ends the request at the engine, best effort.
func (n *Node) cancelAtEngine(address, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(n.ctx), cancelTimeout)
	defer cancel()
	if n.ctx.Err() != nil {
		return // the process is gone as far as others can tell
	}
	_ = n.adapter.Cancel(ctx, address, id)
}

// eventReader reads the answer of one request from its engine. Events are
// taken in the order of their numbers, each once; those of another request are
// dropped.
type eventReader struct {
	node       *Node
	request    *structs.Request
	address    string
	answer     *answer.Answer
	lastNumber int
	outOfOrder map[int][]byte
	tokens     int
	bytes      int
}

// read reads to the end. The stream may be nil with the error that opening it
// gave; it is then resumed like a broken one.
func (r *eventReader) read(ctx context.Context, stream *backendhttp.Stream, err error) (structs.Outcome, error) {
	since := time.Now()
	for {
		if stream != nil {
			before := r.lastNumber
			err = r.readStream(ctx, stream)
			stream.Close()
			if err == nil {
				return structs.OutcomeAnswered, nil
			}
			if r.lastNumber > before {
				since = time.Now()
			}
		}
		if refused := engineError(err); refused != nil {
			return structs.OutcomeUnknown, refused
		}
		if time.Since(since) > resumeWindow || !wait.For(ctx, resumeInterval) {
			return structs.OutcomeUnknown, errkind.New(errkind.OutcomeUnknown, "the answer broke off: %v", err)
		}
		r.node.count("answer.resumed")
		stream, err = r.node.adapter.Resume(ctx, r.address, r.request.ID, r.lastNumber)
	}
}

// asRefusal returns an error if the engine itself refused, so that trying again
// is of no use: it does not know the request, or it answered with an error.
func engineError(err error) error {
	var status *backendhttp.StatusError
	if !errors.As(err, &status) {
		return nil
	}
	return errkind.New(errkind.OutcomeUnknown, "the engine answered %s", status.Error())
}

// consume reads one stream; nil means that the answer is whole.
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

// accept passes the next event on.
func (r *eventReader) appendEvent(ctx context.Context, data []byte, chunk *openai.Chunk) error {
	if err := faultpoint.Reach(ctx, r.node.deps.Faults, faultpoint.Stream, r.request.ID); err != nil {
		return err
	}
	r.lastNumber++
	r.bytes += len(data)
	if r.bytes > maxAnswerBytes {
		return &backendhttp.StatusError{Status: http.StatusBadGateway, Body: "the answer is too large"}
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

// callService dispatches to a plain service and reads its response. It can't be
// resumed: a response that breaks off ends as unknown.
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
			err = errors.New("the answer is too large")
		}
		if err != nil {
			return structs.OutcomeUnknown, errkind.New(errkind.OutcomeUnknown, "the response broke off after %d bytes: %v", total, err)
		}
	}
}
