package node_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/cluster"
	"github.com/thornwalk/thornwalk/node"
	"github.com/thornwalk/thornwalk/state/settings"
	"github.com/thornwalk/thornwalk/transport/network"
)

const (
	// stopTime is the longest planned stop in these tests, and stopGrace the time after which new requests are rejected.
	stopTime  = 4 * time.Second
	stopGrace = time.Second
	// longAnswer is longer than a planned stop.
	longAnswer = 12 * time.Second
)

func withShortStops(options *cluster.Options) {
	options.DrainGrace = stopGrace
	options.Settings = options.Settings.Set(settings.SectionNode, "drain_timeout", fmt.Sprint(stopTime))
}

// stoppedCall is what a caller got of a request that was in progress when its node's planned stop was over.
type stoppedCall struct {
	response
	err     error
	outcome string
}

// sendUntilEnd sends the call over a connection of its own and reads until the response or the connection ends. It sends
// the last part of the text after the pause.
func (d *deployment) sendUntilEnd(text string, pause time.Duration, last string) stoppedCall {
	connection, err := d.fabric.Host(callerHost).Dial(context.Background(), d.node(0).CallerAddress())
	d.Expect(err).NotTo(gomega.HaveOccurred())
	defer connection.Close()
	_, err = io.WriteString(connection, text)
	d.Expect(err).NotTo(gomega.HaveOccurred())
	if last != "" {
		go func() {
			time.Sleep(pause)
			_, _ = io.WriteString(connection, last) // fails if the node has ended
		}()
	}
	got, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return stoppedCall{err: err}
	}
	body, err := io.ReadAll(got.Body)
	outcome := got.Header.Get(node.HeaderOutcome)
	if outcome == "" {
		outcome = got.Trailer.Get(node.HeaderOutcome)
	}
	return stoppedCall{response: response{status: got.StatusCode, body: string(body), isWhole: err == nil}, err: err, outcome: outcome}
}

func (c rawCall) text() string {
	return fmt.Sprintf("%s %s %s\r\nHost: service.example\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		c.method, c.path, c.version, c.key, c.lines, len(c.body), c.body)
}

// Guards against requests that the node has read and that get no answer as its planned stop is over: ones whose outcome is
// unknown, and ones that have not run, which their callers could send elsewhere at once.
func TestPlannedStopAnswersWhatItCannotFinish(t *testing.T) {
	silent := func(connection net.Conn) { time.Sleep(longAnswer) }
	begun := func(connection net.Conn) {
		_, _ = io.WriteString(connection, chunkedHead+"4\r\nbody\r\n")
		time.Sleep(longAnswer)
	}
	for name, test := range map[string]struct {
		serve   func(net.Conn)
		call    rawCall
		status  int
		outcome string
	}{
		"silent service":          {silent, plainCall("HTTP/1.1"), http.StatusBadGateway, "unknown"},
		"silent service, keyed":   {silent, keyed(plainCall("HTTP/1.1")), http.StatusBadGateway, "unknown"},
		"completion of an engine": {silent, engineCall("HTTP/1.1", false, 2000), http.StatusBadGateway, "unknown"},
		"stream of an engine":     {silent, engineCall("HTTP/1.1", true, 2000), http.StatusOK, "unknown"},
		"answer that has begun":   {begun, plainCall("HTTP/1.1"), http.StatusOK, ""},
	} {
		t.Run(name, func(t *testing.T) {
			runWithOptions(t, withShortStops, func(d *deployment) {
				d.serve = test.serve
				done := make(chan stoppedCall, 1)
				go func() { done <- d.sendUntilEnd(test.call.text(), 0, "") }()
				time.Sleep(200 * time.Millisecond)
				startedAt := time.Now()
				d.Expect(d.node(0).Drain(context.Background())).To(gomega.BeFalse())
				d.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<=", stopTime+100*time.Millisecond))
				got := <-done
				d.Expect(got.status).To(gomega.Equal(test.status), "%v", got.err)
				d.Expect(got.outcome).To(gomega.Equal(test.outcome))
				if test.outcome == "" {
					d.Expect(got.isWhole).To(gomega.BeFalse(), "only the end of the connection shows that a part is missing")
					return
				}
				d.Expect(got.isWhole).To(gomega.BeTrue())
			})
		})
	}
}

func keyed(call rawCall) rawCall {
	call.lines = node.HeaderIdempotencyKey + ": k\r\n"
	return call
}

// Guards against requests that still wait for a slot at the end of a planned stop and get no answer, although they have
// not run.
func TestPlannedStopGivesUpWhatWaits(t *testing.T) {
	runWithOptions(t, withShortStops, func(d *deployment) {
		const calls = 60 // more than the slots of the engine
		done := make(chan stoppedCall, calls)
		for range calls {
			go func() { done <- d.sendUntilEnd(engineCall("HTTP/1.1", false, 2000).text(), 0, "") }()
		}
		time.Sleep(200 * time.Millisecond)
		d.node(0).Drain(context.Background())
		outcomes := map[string]int{}
		for range calls {
			got := <-done
			outcomes[fmt.Sprintf("%d %s", got.status, got.outcome)]++
		}
		runs := len(d.cluster.Executions())
		d.Expect(outcomes).To(gomega.Equal(map[string]int{"502 unknown": runs, "503 not-run": calls - runs}))
		d.Expect(runs).To(gomega.BeNumerically("<", calls))
	})
}

// Guards against a request whose body is on its way as its node stops, and that gets no answer though it has not run.
func TestPlannedStopAnswersRequestsWhoseBodiesAreOnTheirWay(t *testing.T) {
	call := engineCall("HTTP/1.1", false, 10)
	head, body, _ := strings.Cut(call.text(), "\r\n\r\n")
	for name, pause := range map[string]time.Duration{"after the node rejects requests": 2 * stopGrace, "never": 2 * stopTime} {
		t.Run(name, func(t *testing.T) {
			runWithOptions(t, withShortStops, func(d *deployment) {
				done := make(chan stoppedCall, 1)
				go func() { done <- d.sendUntilEnd(head+"\r\n\r\n"+body[:10], pause, body[10:]) }()
				time.Sleep(200 * time.Millisecond)
				d.node(0).Drain(context.Background())
				got := <-done
				d.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable), "%v", got.err)
				d.Expect(got.outcome).To(gomega.Equal("not-run"))
			})
		})
	}
}

var eventNumber = regexp.MustCompile(`(?m)^id: (\d+)$`)

// Guards against a stream that another node relays and that ends for its caller as the node that reads it from the engine
// is stopped, although the engine goes on.
func TestRelayedStreamGoesOnAfterAPlannedStop(t *testing.T) {
	runWithOptions(t, withShortStops, func(d *deployment) {
		first := keyed(engineCall("HTTP/1.1", true, 200)) // some 10 s
		cut := make(chan stoppedCall, 1)
		go func() { cut <- d.sendUntilEnd(first.text(), 0, "") }()
		time.Sleep(200 * time.Millisecond)
		fetch := d.fetchCall("HTTP/1.1", first)
		fetch.lines = "Accept: text/event-stream\r\n"
		done := make(chan response, 1)
		go func() { done <- d.send(1, fetch) }()
		time.Sleep(200 * time.Millisecond)
		d.node(0).Drain(context.Background())
		d.Expect((<-cut).outcome).To(gomega.Equal("unknown"))
		got := <-done
		d.Expect(got.isWhole).To(gomega.BeTrue())
		d.Expect(got.body).To(gomega.HaveSuffix("data: [DONE]\n\n"))
		numbers := eventNumber.FindAllStringSubmatch(got.body, -1)
		d.Expect(len(numbers)).To(gomega.BeNumerically(">", 100), "of them some 80 were sent before the stop was over")
		for i, number := range numbers {
			d.Expect(number[1]).To(gomega.Equal(fmt.Sprint(i + 1)))
		}
	})
}

// slowLinks is a network on whose connections each write takes a while.
type slowLinks struct{ network.Network }

type slowConnection struct{ net.Conn }

func (s slowLinks) Dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := s.Network.Dial(ctx, address)
	return slowConnection{connection}, err
}

func (s slowConnection) Write(content []byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	return s.Conn.Write(content)
}

// Guards against the end of a keyed request that is lost as its node stops right after the answer: other nodes would say
// for as long as they keep the key that the request is in progress.
func TestEndOfAKeyedRequestIsNotLostByAPlannedStop(t *testing.T) {
	adjust := func(options *cluster.Options) {
		withShortStops(options)
		options.WrapNetwork = func(inner network.Network) network.Network { return slowLinks{inner} }
	}
	runWithOptions(t, adjust, func(d *deployment) {
		d.serve = func(connection net.Conn) {
			time.Sleep(2 * stopGrace)
			_, _ = io.WriteString(connection, wholeAnswers["length"])
		}
		call := keyed(plainCall("HTTP/1.1"))
		done := make(chan stoppedCall, 1)
		go func() { done <- d.sendUntilEnd(call.text(), 0, "") }()
		time.Sleep(200 * time.Millisecond)
		d.Expect(d.node(0).Drain(context.Background())).To(gomega.BeTrue())
		d.Expect((<-done).status).To(gomega.Equal(http.StatusOK))
		found := d.send(1, rawCall{version: "HTTP/1.1", method: http.MethodGet, path: node.PathRequests, key: call.key, lines: call.lines})
		var status node.RequestStatus
		d.Expect(json.Unmarshal([]byte(found.body), &status)).To(gomega.Succeed(), found.body)
		d.Expect(status.State).To(gomega.Equal("ended"))
		d.Expect(status.Outcome).To(gomega.Equal("answered"))
	})
}

// Guards against a caller that keeps its connection to a node that stops and gets nothing but refusals over it, as nothing
// tells it to open another one, which the balancer would lead elsewhere.
func TestCallersOfAStoppingNodeAreToldToOpenOtherConnections(t *testing.T) {
	runWithOptions(t, withShortStops, func(d *deployment) {
		d.serve = func(connection net.Conn) { _, _ = io.WriteString(connection, wholeAnswers["length"]) }
		connection, err := d.fabric.Host(callerHost).Dial(context.Background(), d.node(0).CallerAddress())
		d.Expect(err).NotTo(gomega.HaveOccurred())
		defer connection.Close()
		reader := bufio.NewReader(connection)
		send := func() *http.Response {
			_, err := io.WriteString(connection, plainCall("HTTP/1.1").text())
			d.Expect(err).NotTo(gomega.HaveOccurred())
			got, err := http.ReadResponse(reader, nil)
			d.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.Copy(io.Discard, got.Body)
			d.Expect(err).NotTo(gomega.HaveOccurred())
			return got
		}
		d.Expect(send().Close).To(gomega.BeFalse())
		stopped := make(chan bool, 1)
		go func() { stopped <- d.node(0).Drain(context.Background()) }()
		time.Sleep(stopGrace / 2)
		during := send()
		d.Expect(during.StatusCode).To(gomega.Equal(http.StatusOK))
		d.Expect(during.Close).To(gomega.BeTrue())
		d.Expect(<-stopped).To(gomega.BeTrue())
	})
}
