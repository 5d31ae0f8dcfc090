// Package backendhttp is the client of model engines and plain services that use HTTP. It sends every
// request at most once, through package oneshot, and retries nothing; callers may repeat resumption,
// cancellation and reports.
package backendhttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/thornwalk/thornwalk/coordination/placement"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/openai"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/network"
	"github.com/thornwalk/thornwalk/transport/oneshot"
)

// Headers and paths of engines beyond the OpenAI-compatible API.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderLastEventID = "Last-Event-ID"
	PathLoad          = "/load"
	PathCacheEvents   = "/kv_events"
	PathRequests      = "/v1/requests/"
	PathLoadModel     = "/v1/models/load"
)

// maxLineBytes bounds one line of an event stream.
const maxLineBytes = 1 << 20

// maxEventBytes bounds the data of one event, which may have many lines.
const maxEventBytes = 4 << 20

var errEventTooLong = errors.New("read event: its data is too long")

// maxReportBytes bounds a load report or a batch of cache events.
const maxReportBytes = 4 << 20

// Adapter sends requests to backends. It is safe for concurrent use.
type Adapter struct {
	sender oneshot.Sender
}

// New returns an adapter that uses the network.
func New(network network.Network) *Adapter {
	return &Adapter{sender: oneshot.Sender{Network: network}}
}

// Generation is one request to an engine.
type Generation struct {
	ID   string
	Path string
	Body []byte
	// BeforeFirstByte runs once the connection is established; see oneshot.Sender.
	BeforeFirstByte func() error
}

// Generate dispatches the request. An error that wraps oneshot.ErrNotSent proves that the engine
// received nothing, a *StatusError is the engine's own rejection, and after any other error the
// outcome is unknown.
func (a *Adapter) Generate(ctx context.Context, address string, generation *Generation) (*Stream, error) {
	request, err := newRequest(ctx, http.MethodPost, address, generation.Path, generation.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", oneshot.ErrNotSent, err)
	}
	request.Header.Set(HeaderRequestID, generation.ID)
	response, err := a.sender.SendTracked(ctx, address, request, generation.BeforeFirstByte)
	if err != nil {
		return nil, err
	}
	return openStream(response)
}

// Resume reads the events of a request that the engine already has, starting after the given event
// number; zero reads all. A *StatusError with status 404 means that the engine does not know the
// request.
func (a *Adapter) Resume(ctx context.Context, address, id string, after int) (*Stream, error) {
	request, err := newRequest(ctx, http.MethodGet, address, PathRequests+id+"/events", nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(HeaderLastEventID, strconv.Itoa(after))
	response, err := a.sender.Send(ctx, address, request)
	if err != nil {
		return nil, err
	}
	return openStream(response)
}

// Cancel ends the request at the engine. It returns nil if the engine does not know the request.
func (a *Adapter) Cancel(ctx context.Context, address, id string) error {
	request, err := newRequest(ctx, http.MethodDelete, address, PathRequests+id, nil)
	if err != nil {
		return err
	}
	return a.sendAndDiscard(ctx, address, request)
}

// Report returns the load of the backend.
func (a *Adapter) Report(ctx context.Context, address string) (structs.LoadReport, error) {
	var report structs.LoadReport
	err := a.getJSON(ctx, address, PathLoad, &report)
	return report, err
}

// CacheEvents returns the cache events after the sequence number.
func (a *Adapter) CacheEvents(ctx context.Context, address string, after uint64) ([]structs.CacheEvent, error) {
	var events []structs.CacheEvent
	err := a.getJSON(ctx, address, PathCacheEvents+"?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

// LoadOrder is the body of an order to load a model.
type LoadOrder struct {
	Model string `json:"model"`
	Fence int64  `json:"fence"`
}

// Send implements placement.Sender. A response with status 409 is an error of kind StaleFence.
func (a *Adapter) Send(ctx context.Context, order placement.Order) error {
	body, err := json.Marshal(LoadOrder{Model: order.Model, Fence: order.Fence})
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err)
	}
	request, err := newRequest(ctx, http.MethodPost, order.Replica.Address, PathLoadModel, body)
	if err != nil {
		return err
	}
	err = a.sendAndDiscard(ctx, order.Replica.Address, request)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		return errkind.New(errkind.StaleFence, "load model %s on replica %s: the fence is stale", order.Model, order.Replica.ID)
	}
	return err
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	ID              string
	Method          string
	Path            string
	Header          http.Header
	Body            []byte
	BeforeFirstByte func() error
}

// Call dispatches the call. Errors are as for Generate, except that every status is a response of
// the service and no error.
func (a *Adapter) Call(ctx context.Context, address string, call *ServiceCall) (*http.Response, error) {
	request, err := newRequest(ctx, call.Method, address, call.Path, call.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", oneshot.ErrNotSent, err)
	}
	request.Header = call.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header.Set(HeaderRequestID, call.ID)
	return a.sender.SendTracked(ctx, address, request, call.BeforeFirstByte)
}

func (a *Adapter) getJSON(ctx context.Context, address, path string, value any) error {
	request, err := newRequest(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	response, err := a.sender.Send(ctx, address, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &StatusError{Status: response.StatusCode}
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(value)
}

// sendAndDiscard sends the request and ignores the response's body. Status 404 is no error.
func (a *Adapter) sendAndDiscard(ctx context.Context, address string, request *http.Request) error {
	response, err := a.sender.Send(ctx, address, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode != http.StatusNotFound {
		return statusError(response)
	}
	return nil
}

func newRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// StatusError is a response of a backend with a status that means failure.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// maxErrorBodyBytes bounds how much of the body a StatusError has.
const maxErrorBodyBytes = 2048

func statusError(response *http.Response) error {
	content, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	return &StatusError{Status: response.StatusCode, Body: strings.TrimSpace(string(content))}
}

// Event is one event of an answer. Numbers start at one and are consecutive.
type Event struct {
	Number int
	Data   []byte
}

// Stream reads the events of an answer. It is not safe for concurrent use.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

func openStream(response *http.Response) (*Stream, error) {
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, statusError(response)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &Stream{body: response.Body, scanner: scanner}, nil
}

// Next blocks until the next event and returns it. It returns io.EOF at the end of a complete
// answer, and io.ErrUnexpectedEOF or the connection's error if the stream broke before that.
func (s *Stream) Next() (Event, error) {
	var event Event
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && event.Data != nil:
			if string(event.Data) == openai.DoneEvent {
				return Event{}, io.EOF
			}
			return event, nil
		case string(field) == "id":
			event.Number, _ = strconv.Atoi(string(value)) // an invalid number is zero, which callers see as a gap
		case string(field) == "data":
			if len(event.Data)+len(value) > maxEventBytes {
				return Event{}, errEventTooLong
			}
			event.Data = append(event.Data, value...)
		}
	}
	if err := s.scanner.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, io.ErrUnexpectedEOF
}

// Close closes the connection.
func (s *Stream) Close() { _ = s.body.Close() }
