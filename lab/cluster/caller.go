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

// quiet takes the servers' complaints of connections that tests break.
var quiet = log.New(io.Discard, "", 0)

// KeyHash returns the setting key_hash of a bearer key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Submission is one request as a caller sends it.
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

// labBody is the body of a completion request of the lab.
type labBody struct {
	Model     string          `json:"model"`
	Messages  []openaiMessage `json:"messages"`
	Stream    bool            `json:"stream"`
	Output    int             `json:"lab_output_tokens,omitempty"`
	LabMarker string          `json:"lab_marker"`
}

type openaiMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// MarkerOf returns the marker in the body of an execution.
func MarkerOf(execution standin.Execution) string {
	var body labBody
	if json.Unmarshal([]byte(execution.Body), &body) != nil || body.LabMarker == "" {
		return execution.RequestID
	}
	return body.LabMarker
}

// Caller sends submissions from one network.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller on the network. Connections are not kept.
func NewCaller(outside network.Network) *Caller {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) { return outside.Dial(ctx, address) }
	return &Caller{client: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}
}

// Send sends the submission and observes its end.
func (c *Caller) Send(ctx context.Context, s *Submission) checker.Observation {
	o := checker.Observation{Marker: s.Marker, Zone: s.Zone, Service: s.Service, Tier: s.Tier, Rank: s.Rank, Deadline: s.Deadline, SentAt: time.Now()}
	request, err := s.request(ctx)
	if err != nil {
		return o
	}
	response, err := c.client.Do(request)
	if err == nil {
		defer response.Body.Close()
		s.observe(response, &o)
	} else if isRefused(err) {
		// No connection to the node: the caller knows by itself that nothing ran.
		o.Outcome, o.Code = structs.OutcomeNotRun, "no-connection"
	} else {
		o.Outcome, o.Code = structs.OutcomeUnknown, "connection-broke"
	}
	o.EndedAt = time.Now()
	o.HungUp = ctx.Err() != nil
	return o
}

func isRefused(err error) bool {
	var operation *net.OpError
	return strings.Contains(err.Error(), "connection refused") || (errors.As(err, &operation) && operation.Op == "dial")
}

func (s *Submission) request(ctx context.Context) (*http.Request, error) {
	path := openai.PathChat
	if s.Plain {
		path = "/services/" + s.Service + "/permits"
	}
	body, err := json.Marshal(labBody{
		Model: s.Route, Messages: []openaiMessage{{Role: "user", Content: s.Prompt}}, Stream: s.Stream, Output: s.OutputTokens, LabMarker: s.Marker,
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

// observe reads the response and checks that an answer is whole and one's own.
func (s *Submission) observe(response *http.Response, o *checker.Observation) {
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
		o.Whole = ended && strings.Contains(text, s.Marker)
	case s.Stream:
		text, ended = readStream(response, o)
		o.Whole = ended && wholeText(text, o.RequestID, s.OutputTokens)
	default:
		text, ended = readCompletion(response)
		o.Whole = ended && wholeText(text, o.RequestID, s.OutputTokens)
	}
	if ended {
		o.Outcome = structs.OutcomeAnswered
	} else if o.Outcome == structs.OutcomePending {
		o.Outcome = structs.OutcomeUnknown
	}
}

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

// readStream joins the events; a stream is whole if it ends with its mark.
func readStream(response *http.Response, o *checker.Observation) (string, bool) {
	var text strings.Builder
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 1<<20)
	failed := false
	for scanner.Scan() {
		line := scanner.Text()
		failed = failed || line == "event: error"
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case !isData:
		case data == openai.DoneEvent:
			return text.String(), true
		case failed:
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

// wholeText compares the text with what the engine gives for the request.
func wholeText(text, requestID string, tokens int) bool {
	var wanted strings.Builder
	for number := 1; number <= tokens; number++ {
		wanted.WriteString(standin.TokenText(requestID, number))
	}
	return text == wanted.String()
}

// GetTicket asks the node at the address for a ticket.
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
