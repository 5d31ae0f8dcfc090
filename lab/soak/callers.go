package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

const (
	callersHost = "soak.example"
	callersKey  = "soak-key"
	// callersPatience is the deadline of a request, in milliseconds.
	callersPatience = "3000"
	// callersLimit is when a caller gives up in any case.
	callersLimit = 5 * time.Second
)

// outcome is what a caller knows of its request.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not run"
	outcomeUnknown  outcome = "unknown"
	// outcomeLost is a connection that ended without a whole answer.
	outcomeLost outcome = "lost"
	// outcomeWrong is a success with the wrong content.
	outcomeWrong outcome = "wrong"
)

// seen is one request as its caller saw it.
type seen struct {
	id, route string
	node      int
	outcome   outcome
	status    int
	detail    string
	span      span
}

// callers send requests and keep what became of them.
type callers struct {
	block  string
	client http.Client
	group  sync.WaitGroup
	mutex  sync.Mutex
	all    []seen
}

// mix are the routes that callers use, by turns.
var mix = []string{"once", "status", "report", "chat"}

// send sends requests at the rate until the time is over.
func (c *callers) send(ctx context.Context, duration time.Duration, rate float64) {
	interval := time.Duration(float64(time.Second) / rate)
	end := time.Now().Add(duration)
	for number := 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		route, node := mix[number%len(mix)], number/len(mix)%nodeCount
		c.group.Go(func() { c.keep(c.one(fmt.Sprintf("r%06d", number), route, node)) })
		time.Sleep(interval)
	}
	c.group.Wait()
}

func (c *callers) keep(result seen) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.all = append(c.all, result)
}

// one sends one request to the node and judges the answer.
func (c *callers) one(id, route string, node int) seen {
	result := seen{id: id, route: route, node: node, span: span{from: time.Now()}}
	method, body := http.MethodGet, []byte(nil)
	if route == "once" || route == "report" || route == "chat" {
		method, body = http.MethodPost, []byte("soak")
	}
	ctx, cancel := context.WithTimeout(context.Background(), callersLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at(c.block, node+1, callersPort)+"/"+route+"/", bytes.NewReader(body))
	if err != nil {
		result.outcome, result.detail = outcomeWrong, err.Error()
		return result
	}
	request.Host, request.GetBody = callersHost, nil
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", callersPatience)
	request.Header.Set("Authorization", "Bearer "+callersKey)
	response, err := c.client.Do(request)
	if err != nil {
		result.outcome, result.detail = outcomeOf(err), err.Error()
	} else {
		result.judge(response)
	}
	result.span.to = time.Now()
	return result
}

// outcomeOf tells a connection that never came up from one that was lost.
func outcomeOf(err error) outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return outcomeNotRun
	}
	return outcomeLost
}

// judge reads the answer.
func (s *seen) judge(response *http.Response) {
	defer response.Body.Close()
	s.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		s.outcome, s.detail = outcomeLost, err.Error()
	case s.status == http.StatusOK:
		s.outcome = outcomeAnswered
		if response.Header.Get("X-Server-Stamp") == "" || string(body) != wanted(s.id, s.route) {
			s.outcome, s.detail = outcomeWrong, fmt.Sprintf("%.80q", body)
		}
	case s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests || s.status == http.StatusRequestTimeout:
		s.outcome = outcomeNotRun
		if response.Header.Get("Retry-After") == "" {
			s.outcome, s.detail = outcomeWrong, "refused without a time to come back"
		}
	case s.status == http.StatusNotFound:
		s.outcome = outcomeNotRun
	default:
		s.outcome = outcomeUnknown
	}
}

// wanted is the whole answer to a request.
func wanted(id, route string) string {
	if route != "report" && route != "chat" {
		return platformsim.PlainBody(id)
	}
	var text strings.Builder
	for number := 1; number <= engineEvents; number++ {
		text.WriteString(platformsim.Event(id, number))
	}
	return text.String()
}
