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

// keptCaller is a caller that keeps its connection to n1 for as long as it can.
type keptCaller struct {
	scenario *scenario
	client   *http.Client
}

func (s *scenario) newKeptCaller() *keptCaller {
	return &keptCaller{scenario: s, client: &http.Client{Transport: &http.Transport{DialContext: s.dialFromCaller, MaxIdleConnsPerHost: 1}}}
}

// send sends the request once. The transport of the client repeats one itself only if no byte of it was written.
func (k *keptCaller) send(id, path, deadlineMS, body string) (status int, answered bool) {
	request, err := http.NewRequest(http.MethodPost, "http://"+entrylab.CallersAddress("n1")+path, strings.NewReader(body))
	k.scenario.Expect(err).NotTo(gomega.HaveOccurred())
	request.GetBody = nil
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
}

// stopUnderLoad stops n1 while its callers go on, and returns the requests.
func (s *scenario) stopUnderLoad(course lateStop) []lateRequest {
	for _, replica := range s.plainReplicas {
		replica.Step, replica.Slots = course.step, course.slots
		replica.Register(s.deployment.Store, "ready") // with its slots
	}
	s.keepRunning()
	var group sync.WaitGroup
	var mutex sync.Mutex
	var requests []lateRequest
	stopped := make(chan bool)
	startedAt := time.Now()
	go func() { s.deployment.Node("n1").Stop(); close(stopped) }()
	idle := make(chan *keptCaller, 1024)
	for number := 0; time.Since(startedAt) < lateStopCourse; number++ {
		group.Go(func() {
			var caller *keptCaller
			select {
			case caller = <-idle:
			default:
				caller = s.newKeptCaller()
			}
			sent := lateRequest{id: fmt.Sprintf("late-%d", number), sentAfter: time.Since(startedAt)}
			sent.status, sent.answered = caller.send(sent.id, course.path, course.deadlineMS, "body of "+sent.id)
			sent.took = time.Since(startedAt) - sent.sentAfter
			idle <- caller
			mutex.Lock()
			defer mutex.Unlock()
			requests = append(requests, sent)
		})
		time.Sleep(lateStopInterval)
	}
	group.Wait()
	<-stopped
	return requests
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

// keepRunning begins a stream at n1 that lasts longer than the grace.
func (s *scenario) keepRunning() {
	for _, engine := range s.engines {
		engine.Step, engine.Events = longStreamStep, longStreamEvents
	}
	s.configure(func(configuration *entrylab.Configuration) {
		for i := range configuration.Routes {
			// A plain request of a second would wait for the others, as if it delayed the events of their streams.
			configuration.Routes[i].Target, configuration.Routes[i].TargetGap = slowTarget, 0
			if configuration.Routes[i].Name == "stream" {
				configuration.Routes[i].Timeout = int(longStreamTimeout.Milliseconds())
			}
		}
	})
	time.Sleep(time.Second)
	go s.do("n1", http.MethodPost, "/stream/", deadline(fmt.Sprint(longStreamTimeout.Milliseconds())))
	time.Sleep(10 * time.Millisecond)
}

// Guards against requests that a stopping node takes although it ends before their answers: they ran, and their callers got
// nothing, also where a request must not be repeated.
func TestPlannedStopAnswersWhatItTook(t *testing.T) {
	for _, course := range []lateStop{
		{"at most once, short", "/once/", "1000", 30 * time.Millisecond, 16},
		{"at most once, 1.5 s", "/once/", "4000", 1500 * time.Millisecond, 64},
		{"at most once, 2.5 s", "/once/", "4000", 2500 * time.Millisecond, 64},
		{"repeatable, 2.5 s", "/safe/", "4000", 2500 * time.Millisecond, 64},
		{"at most once, waits for its turn", "/once/", "4000", 300 * time.Millisecond, 2},
		{"repeatable, waits for its turn", "/safe/", "4000", 300 * time.Millisecond, 2},
	} {
		t.Run(course.name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				requests := s.stopUnderLoad(course)
				runs, cut := s.runCounts(), 0
				for _, request := range requests {
					ran := runs[request.id] > 0
					if !request.answered && (ran || request.took > crossingTime) {
						cut++
						t.Logf("%s, sent %.2f s after the signal, got no answer in %v; ran: %t", request.id, request.sentAfter.Seconds(), request.took, ran)
					}
					s.Expect(runs[request.id]).To(gomega.BeNumerically("<=", 2), request.id)
					if request.status == http.StatusServiceUnavailable && course.path == "/once/" {
						s.Expect(ran).To(gomega.BeFalse(), "%s was told that it had not run", request.id)
					}
				}
				s.Expect(len(requests)).To(gomega.BeNumerically(">", 100))
				t.Log(describeLate(requests, cut))
				s.Expect(cut).To(gomega.Equal(0), "requests that the node had read and that got no answer, of %d", len(requests))
			})
		})
	}
}
