package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
)

const (
	// lateStopInterval is the time between two requests of a course, each over a connection that its caller kept.
	lateStopInterval = 60 * time.Millisecond
	// lateStopCourse is longer than the grace.
	lateStopCourse = 9 * time.Second
	// crossingTime is how soon a caller notices that its request met a connection that the node was closing.
	crossingTime = 200 * time.Millisecond
	// A stream of longStreamEvents with longStreamStep between them outlasts the grace. Its events show that the path to the
	// replicas is not silent, while the requests of a course wait for their answers.
	longStreamStep    = 200 * time.Millisecond
	longStreamEvents  = 80
	longStreamTimeout = 20 * time.Second
	// slowTarget is the target latency of the routes in milliseconds: the slow requests of a course meet it.
	slowTarget = 4000
)

// lateRequest is a request that was sent while its node stopped.
type lateRequest struct {
	id string
	// sentAfter is the time from the signal to the send.
	sentAfter time.Duration
	status    int
	// answered is false if the connection ended without a complete answer, took the time until then.
	answered bool
	took     time.Duration
}

// keptCaller is a caller that keeps its connection to the node for as long as it can.
type keptCaller struct {
	scenario *scenario
	node     string
	client   *http.Client
}

func (s *scenario) newKeptCaller(node string) *keptCaller {
	return &keptCaller{scenario: s, node: node, client: &http.Client{Transport: &http.Transport{DialContext: s.dialFromCaller, MaxIdleConnsPerHost: 1}}}
}

// delayedBody is a body that comes some time after its head.
type delayedBody struct {
	io.Reader
	delay time.Duration
}

func (b *delayedBody) Read(buffer []byte) (int, error) {
	time.Sleep(b.delay)
	b.delay = 0
	return b.Reader.Read(buffer)
}

// send sends the request once, with its body after the delay. The transport of the client repeats one itself only if no byte
// of it was written.
func (k *keptCaller) send(id, path, deadlineMS string, bodyDelay time.Duration) (status int, answered bool) {
	body := "body of " + id
	request, err := http.NewRequest(http.MethodPost, "http://"+entrylab.CallersAddress(k.node)+path, &delayedBody{strings.NewReader(body), bodyDelay})
	k.scenario.Expect(err).NotTo(gomega.HaveOccurred())
	request.ContentLength = int64(len(body))
	request.Host = "service.example"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", deadlineMS)
	request.Header.Set("Authorization", "Bearer key-1")
	response, err := k.client.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, err == nil
}

// lateStop is a course in which n1 stops while callers go on sending.
type lateStop struct {
	name, path, deadlineMS string
	// step is the time that a request takes at the replica, which has slots of them.
	step  time.Duration
	slots int
	// bodyDelay is how much later than its head a body comes, and slowStep the time that requests take from slowAfter on,
	// zero if it does not change.
	bodyDelay, slowStep time.Duration
}

// slowAfter is when the service turns slow, after the signal.
const slowAfter = 4500 * time.Millisecond

// stoppedCourse is what was seen in a course: the time of the signal, the requests after it, and the stream that lasted
// longer than the grace.
type stoppedCourse struct {
	signalAt time.Time
	requests []lateRequest
	stream   reply
}

// stopUnderLoad stops n1 while its callers go on.
func (s *scenario) stopUnderLoad(course lateStop) stoppedCourse {
	for _, replica := range s.plainReplicas {
		replica.Step, replica.Slots = course.step, course.slots
		replica.Register(s.deployment.Store, "ready") // with its slots
	}
	for _, host := range []string{"q1", "q2"} {
		s.plainReplicas = append(s.plainReplicas, s.addReplica(host, shortStreams, 6, 50*time.Millisecond))
	}
	stream := s.keepRunning()
	stopped := make(chan bool)
	startedAt := time.Now()
	go func() { s.deployment.Node("n1").Stop(); close(stopped) }()
	if course.slowStep > 0 {
		time.AfterFunc(slowAfter, func() {
			for _, replica := range s.plainReplicas {
				replica.SetStep(course.slowStep)
			}
		})
	}
	requests := s.sendLate("n1", course)
	<-stopped
	return stoppedCourse{startedAt, requests, <-stream}
}

// sendLate has callers that keep their connections send requests to the node for lateStopCourse.
func (s *scenario) sendLate(node string, course lateStop) []lateRequest {
	var group sync.WaitGroup
	var mutex sync.Mutex
	var requests []lateRequest
	startedAt := time.Now()
	idle := make(chan *keptCaller, 1024)
	for number := 0; time.Since(startedAt) < lateStopCourse; number++ {
		group.Go(func() {
			var caller *keptCaller
			select {
			case caller = <-idle:
			default:
				caller = s.newKeptCaller(node)
			}
			sent := lateRequest{id: fmt.Sprintf("late-%s-%d", node, number), sentAfter: time.Since(startedAt)}
			sent.status, sent.answered = caller.send(sent.id, course.path, course.deadlineMS, course.bodyDelay)
			sent.took = time.Since(startedAt) - sent.sentAfter
			idle <- caller
			mutex.Lock()
			defer mutex.Unlock()
			requests = append(requests, sent)
		})
		time.Sleep(lateStopInterval)
	}
	group.Wait()
	return requests
}

// checkAnswers checks that each request that its node had read got an answer that is true, and returns the number of those
// that did not.
func (s *scenario) checkAnswers(t *testing.T, requests []lateRequest, path string) (cut int) {
	runs := s.runCounts()
	for _, request := range requests {
		ran := runs[request.id] > 0
		if !request.answered && (ran || request.took > crossingTime) {
			cut++
			t.Logf("%s, sent %.2f s after the signal, got no answer in %v; ran: %t", request.id, request.sentAfter.Seconds(), request.took, ran)
		}
		s.Expect(runs[request.id]).To(gomega.BeNumerically("<=", 2), request.id)
		if path == "/once/" {
			s.Expect(runs[request.id]).To(gomega.BeNumerically("<=", 1), request.id)
			if request.status == http.StatusServiceUnavailable {
				s.Expect(ran).To(gomega.BeFalse(), "%s was told that it had not run", request.id)
			}
		}
	}
	return cut
}

// lateAfter is the time since the signal after which the balancer no longer sends requests to the node.
const lateAfter = 3 * time.Second

// describeLate returns how many of the late requests had which end, and when the last one was served.
func describeLate(requests []lateRequest, cut int) string {
	var late, served, refused, unknown int
	var lastServed, longestRefusal time.Duration
	for _, request := range requests {
		if request.sentAfter < lateAfter || !request.answered {
			continue
		}
		late++
		switch request.status {
		case http.StatusOK:
			served++
			lastServed = max(lastServed, request.sentAfter)
		case http.StatusServiceUnavailable:
			refused++
			longestRefusal = max(longestRefusal, request.took)
		case http.StatusGatewayTimeout, http.StatusBadGateway:
			unknown++
		}
	}
	return fmt.Sprintf("answered of those sent later than %v: %d; served %d, the last one sent at %v; not run %d, after %v at most; outcome unknown %d; cut %d of all",
		lateAfter, late, served, lastServed, refused, longestRefusal, unknown, cut)
}

// shortStreams is a service of streams of 0.3 s, and the name of its route.
const shortStreams = "short"

// keepRunning begins a stream at n1 that lasts longer than the grace.
func (s *scenario) keepRunning() <-chan reply {
	for _, engine := range s.engines {
		engine.Step, engine.Events = longStreamStep, longStreamEvents
	}
	s.configure(func(configuration *entrylab.Configuration) {
		for i := range configuration.Routes {
			// A plain request of a second would wait for the others, as if it delayed the events of their streams.
			configuration.Routes[i].Target, configuration.Routes[i].TargetGap = slowTarget, 0
			configuration.Routes[i].Timeout = int(longStreamTimeout.Milliseconds())
			if configuration.Routes[i].Name == "stream" {
				added := configuration.Routes[i]
				added.Name, added.PathPrefix, added.Service = shortStreams, "/"+shortStreams+"/", shortStreams
				configuration.Routes = append(configuration.Routes, added)
			}
		}
		configuration.Services = append(configuration.Services, entrylab.Service{Name: shortStreams})
	})
	time.Sleep(time.Second)
	stream := make(chan reply, 1)
	go func() {
		stream <- s.do("n1", http.MethodPost, "/stream/", deadline(fmt.Sprint(longStreamTimeout.Milliseconds())))
	}()
	time.Sleep(10 * time.Millisecond)
	return stream
}

// Guards against requests that a stopping node takes although it ends before their answers: they ran, and their callers got
// nothing, also where a request must not be repeated; against answers that are not true; and against requests that are
// refused for a deadline far behind the end, although they take 30 ms.
func TestPlannedStopAnswersWhatItTook(t *testing.T) {
	for _, course := range []lateStop{
		{name: "at most once, short", path: "/once/", deadlineMS: "1000", step: 30 * time.Millisecond, slots: 16},
		{name: "at most once, short, far deadline", path: "/once/", deadlineMS: "20000", step: 30 * time.Millisecond, slots: 16},
		{name: "at most once, 1.5 s", path: "/once/", deadlineMS: "4000", step: 1500 * time.Millisecond, slots: 64},
		{name: "at most once, 2.5 s", path: "/once/", deadlineMS: "4000", step: 2500 * time.Millisecond, slots: 64},
		{name: "repeatable, 2.5 s", path: "/safe/", deadlineMS: "4000", step: 2500 * time.Millisecond, slots: 64},
		{name: "at most once, waits for its turn", path: "/once/", deadlineMS: "4000", step: 300 * time.Millisecond, slots: 2},
		{name: "repeatable, waits for its turn", path: "/safe/", deadlineMS: "4000", step: 300 * time.Millisecond, slots: 2},
		{name: "body 1.5 s after its head", path: "/once/", deadlineMS: "4000", step: 30 * time.Millisecond, slots: 16, bodyDelay: 1500 * time.Millisecond},
		{name: "body 2.5 s after its head", path: "/once/", deadlineMS: "4000", step: 30 * time.Millisecond, slots: 16, bodyDelay: 2500 * time.Millisecond},
		{name: "streams", path: "/short/", deadlineMS: "4000", step: 30 * time.Millisecond, slots: 16},
		{name: "at most once, turns slow", path: "/once/", deadlineMS: "6000", step: 30 * time.Millisecond, slots: 64, slowStep: 2500 * time.Millisecond},
		{name: "repeatable, turns slow", path: "/safe/", deadlineMS: "6000", step: 30 * time.Millisecond, slots: 64, slowStep: 2500 * time.Millisecond},
	} {
		t.Run(course.name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, func(s *scenario) {
				stopped := s.stopUnderLoad(course)
				cut := s.checkAnswers(t, stopped.requests, course.path)
				s.Expect(len(stopped.requests)).To(gomega.BeNumerically(">", 100))
				t.Log(describeLate(stopped.requests, cut))
				s.Expect(cut).To(gomega.Equal(0), "requests that the node had read and that got no answer, of %d", len(stopped.requests))
				s.checkStopped(stopped)
			})
		})
	}
}

// stopEnd is when a grace of 8 s is over.
const stopEnd = 8 * time.Second

// checkStopped checks that the stream went on until the end and was broken off, that no request is logged as left by its
// caller, and that no replica got a deadline behind the end.
func (s *scenario) checkStopped(stopped stoppedCourse) {
	s.Expect(stopped.stream.status).To(gomega.Equal(http.StatusOK))
	s.Expect(stopped.stream.complete).To(gomega.BeFalse(), "the stream was broken off")
	s.Expect(stopped.stream.took).To(gomega.BeNumerically(">", 7*time.Second))
	brokenOff := 0
	for _, event := range s.loggedEvents("request.ended") {
		s.Expect(event.Reason).NotTo(gomega.Equal("caller-left"), event.Request)
		if event.Reason == "stopping" && event.IsClosed {
			brokenOff++
		}
	}
	s.Expect(brokenOff).To(gomega.Equal(1))
	ended := s.loggedEvents("process.stop")
	s.Expect(ended[len(ended)-1].Detail).To(gomega.ContainSubstring("broken off: 1"))
	for _, replica := range s.plainReplicas {
		for _, run := range replica.Runs() {
			s.Expect(run.At.Add(run.Deadline).Sub(stopped.signalAt)).To(gomega.BeNumerically("<", stopEnd), run.ID)
		}
	}
}

const (
	// idleCallers send their next request around the time at which the node closes idle connections, idleInterval apart.
	idleCallers   = 120
	idleInterval  = 2 * time.Millisecond
	firstIdleSend = 2400 * time.Millisecond
)

// Guards against a request that crosses the close of its idle connection and runs although its caller gets no answer: it
// must be answered, or not have run.
func TestRequestThatCrossesTheCloseOfAnIdleConnectionDoesNotRun(t *testing.T) {
	runScenario(t, func(s *scenario) {
		for _, replica := range s.plainReplicas {
			replica.Slots = idleCallers
			replica.Register(s.deployment.Store, "ready")
		}
		stream := s.keepRunning()
		callers := make([]*keptCaller, idleCallers)
		for i := range callers {
			callers[i] = s.newKeptCaller("n1")
			status, _ := callers[i].send(fmt.Sprint("before-", i), "/once/", "4000", 0)
			s.Expect(status).To(gomega.Equal(http.StatusOK))
		}
		stopped := make(chan bool)
		go func() { s.deployment.Node("n1").Stop(); close(stopped) }()
		var group sync.WaitGroup
		var mutex sync.Mutex
		var answered, closed int
		for i, caller := range callers {
			group.Go(func() {
				time.Sleep(firstIdleSend + time.Duration(i)*idleInterval)
				id := fmt.Sprint("crossing-", i)
				status, isAnswered := caller.send(id, "/once/", "4000", 0)
				mutex.Lock()
				defer mutex.Unlock()
				if isAnswered {
					answered++
					s.Expect(status).To(gomega.Equal(http.StatusOK))
				} else {
					closed++
					s.Expect(s.runCounts()[id]).To(gomega.BeZero(), id)
				}
			})
		}
		group.Wait()
		s.Expect(answered + closed).To(gomega.Equal(idleCallers))
		t.Logf("answered %d, connection closed without a run %d", answered, closed)
		<-stopped
		<-stream
	})
}
