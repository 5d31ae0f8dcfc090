package cluster

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/lab/checker"
	"github.com/thornwalk/thornwalk/lab/standin"
	"github.com/thornwalk/thornwalk/node"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/openai"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/network"
)

// discardLog discards the servers' messages about connections that tests break.
var discardLog = log.New(io.Discard, "", 0)

// KeyHash returns the value of the setting key_hash for a bearer key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Submission is a request to be sent by a Caller.
type Submission struct {
	Marker    string
	Address   string
	Zone      string
	TenantKey string
	Route     string
	Service   string
	// Plain is true for a call of a plain service.
	Plain        bool
	Tier         string
	Rank         structs.Rank
	Prompt       string
	OutputTokens int
	Stream       bool
	Key          string
	Ticket       string
	Deadline     time.Duration
}

// requestBody is the body of a request. Engines read Output as the length of the
// answer.
type requestBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	Output    int           `json:"lab_output_tokens,omitempty"`
	LabMarker string        `json:"lab_marker"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// MarkerOf returns the marker in the body of an execution, or the request id if there
// is none.
func MarkerOf(execution standin.Execution) string {
	var body requestBody
	if json.Unmarshal([]byte(execution.Body), &body) != nil || body.LabMarker == "" {
		return execution.RequestID
	}
	return body.LabMarker
}

// Caller sends submissions over one network. It is safe for concurrent use.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller on the network. It uses a new connection for each request.
func NewCaller(callerNetwork network.Network) *Caller {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return callerNetwork.Dial(ctx, address)
	}
	return &Caller{client: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}
}

// Send sends the submission, blocks until it has ended and returns the observation.
func (c *Caller) Send(ctx context.Context, s *Submission) checker.Observation {
	o := checker.Observation{Marker: s.Marker, Zone: s.Zone, Service: s.Service, Tier: s.Tier, Rank: s.Rank, Deadline: s.Deadline, SentAt: time.Now()}
	request, err := s.newRequest(ctx)
	if err != nil {
		return o
	}
	response, err := c.client.Do(request)
	if err == nil {
		defer response.Body.Close()
		s.readResponse(response, &o)
	} else if isConnectionRefused(err) {
		// Without a connection to the node, the request cannot have run.
		o.Outcome, o.Code = structs.OutcomeNotRun, "no-connection"
	} else {
		o.Outcome, o.Code = structs.OutcomeUnknown, "connection-broke"
	}
	o.EndedAt = time.Now()
	o.HungUp = ctx.Err() != nil
	return o
}

func isConnectionRefused(err error) bool {
	var operation *net.OpError
	return strings.Contains(err.Error(), "connection refused") || (errors.As(err, &operation) && operation.Op == "dial")
}

func (s *Submission) newRequest(ctx context.Context) (*http.Request, error) {
	path := openai.PathChat
	if s.Plain {
		path = "/services/" + s.Service + "/permits"
	}
	body, err := json.Marshal(requestBody{
		Model: s.Route, Messages: []chatMessage{{Role: "user", Content: s.Prompt}}, Stream: s.Stream, Output: s.OutputTokens, LabMarker: s.Marker,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+s.TenantKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(node.HeaderRoute, s.Route)
	for name, value := range map[string]string{node.HeaderIdempotencyKey: s.Key, node.HeaderTicket: s.Ticket} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	return request, nil
}

// readResponse reads the response and checks that an answer is complete and belongs to
// the submission.
func (s *Submission) readResponse(response *http.Response, o *checker.Observation) {
	o.RequestID = response.Header.Get(node.HeaderRequestID)
	o.Code = response.Header.Get(node.HeaderErrorCode)
	if o.Code != "" {
		_, known := errkind.ByCode(o.Code)
		o.Outcome = parseOutcome(response.Header.Get(node.HeaderOutcome))
		if o.Outcome == structs.OutcomePending && known {
			o.Outcome = structs.OutcomeUnknown
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return
	}
	var text string
	var ended bool
	switch {
	case s.Plain:
		text, ended = readPlain(response)
		o.Complete = ended && strings.Contains(text, s.Marker)
	case s.Stream:
		text, ended = readStream(response, o)
		o.Complete = ended && isCompleteText(text, o.RequestID, s.OutputTokens)
	default:
		text, ended = readCompletion(response)
		o.Complete = ended && isCompleteText(text, o.RequestID, s.OutputTokens)
	}
	if ended {
		o.Outcome = structs.OutcomeAnswered
	} else if o.Outcome == structs.OutcomePending {
		o.Outcome = structs.OutcomeUnknown
	}
}

// parseOutcome returns the outcome with the text, or OutcomePending for unknown texts.
func parseOutcome(text string) structs.Outcome {
	for _, outcome := range []structs.Outcome{structs.OutcomeAnswered, structs.OutcomeNotRun, structs.OutcomeUnknown} {
		if outcome.String() == text {
			return outcome
		}
	}
	return structs.OutcomePending
}

func readPlain(response *http.Response) (string, bool) {
	content, err := io.ReadAll(response.Body)
	var answer standin.ServiceAnswer
	return string(content), err == nil && json.Unmarshal(content, &answer) == nil
}

func readCompletion(response *http.Response) (string, bool) {
	var completion openai.Completion
	if err := json.NewDecoder(response.Body).Decode(&completion); err != nil || len(completion.Choices) != 1 || completion.Choices[0].Message == nil {
		return "", false
	}
	return completion.Choices[0].Message.Content, true
}

// readStream returns the joined text of the events. It returns false if the stream ends
// without its end marker.
func readStream(response *http.Response, o *checker.Observation) (string, bool) {
	var text strings.Builder
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 1<<20)
	isError := false
	for scanner.Scan() {
		line := scanner.Text()
		isError = isError || line == "event: error"
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case !isData:
		case data == openai.DoneEvent:
			return text.String(), true
		case isError:
			var body openai.ErrorBody
			if json.Unmarshal([]byte(data), &body) == nil {
				o.Code, o.Outcome = body.Error.Code, parseOutcome(body.Error.Outcome)
			}
		default:
			if chunk, err := openai.ParseChunk([]byte(data)); err == nil && len(chunk.Choices) > 0 && chunk.Choices[0].Delta != nil {
				text.WriteString(chunk.Choices[0].Delta.Content)
			}
		}
	}
	return text.String(), false
}

// isCompleteText reports whether the text is the complete answer of an engine to the
// request.
func isCompleteText(text, requestID string, tokens int) bool {
	var expected strings.Builder
	for number := 1; number <= tokens; number++ {
		expected.WriteString(standin.TokenText(requestID, number))
	}
	return text == expected.String()
}

// GetTicket requests a ticket from the node at the address.
func (c *Caller) GetTicket(ctx context.Context, address, tenantKey string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+node.PathTickets, nil)
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	response, err := c.client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var reply struct {
		Ticket string `json:"ticket"`
	}
	return reply.Ticket, json.NewDecoder(response.Body).Decode(&reply)
}
