package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// These tests send requests that share one part of their prompts, under which replicas crash, and differ in all
// else. Sound requests share their caller and their first part.

const (
	poisonPart = "bad0bad0"
	firstPart  = "f1f1f1f1"
	// partCrashesBeforeBound is the number of crashes from which on the part must be blocked everywhere within
	// maxBlockDelay, and maxLatePartSends bounds the requests with the part that are sent after that.
	partCrashesBeforeBound = 5
	maxLatePartSends       = 3
	// minSoundShare is the least share of sound requests that are served on their first try, from twice
	// maxBlockDelay after that crash on, in relation to the share before.
	minSoundShare = 0.5
	// minJudgedRequests is the least number of sound requests whose share is judged.
	minJudgedRequests = 20
	partEngines       = 10
	soundInterval     = 100 * time.Millisecond
)

// partCase describes a course.
type partCase struct {
	route string
	// interval is the time between requests with the part; zero means that there are none.
	interval time.Duration
	// standsFirst makes the part the first of the prompt.
	standsFirst bool
	// otherCrashes makes a replica crash for another reason each 1.2 s, and allAtOnce all of them twice.
	otherCrashes, allAtOnce bool
	fault                   func(s *scenario)
}

// partScenario is a crashScenario with sound requests.
type partScenario struct {
	*crashScenario
	soundMutex sync.Mutex
	sound      []soundRequest
}

type soundRequest struct {
	sentAt time.Time
	served bool
}

func hasPoisonPart(header http.Header) bool {
	return strings.Contains(header.Get("X-Prompt-Prefix"), poisonPart)
}

func crashOnPoisonPart(request *http.Request) platformsim.Behavior {
	if hasPoisonPart(request.Header) {
		return platformsim.End
	}
	return platformsim.Answer
}

// runPartCrashes runs the test with ten engines that crash under the part.
func runPartCrashes(t *testing.T, test func(s *partScenario)) {
	t.Helper()
	runScenario(t, func(base *scenario) {
		s := &partScenario{crashScenario: newCrashScenario(base, partEngines, &entrylab.Restarter{Service: "engines", Events: 6, Behave: crashOnPoisonPart})}
		test(s)
		s.group.Wait()
	})
}

// sendParts sends a request with the parts of a prompt, each of 100 tokens, and returns its reply.
func (s *partScenario) sendParts(node, route string, parts ...string) reply {
	return s.do(node, http.MethodPost, "/"+route+"/prompt", func(request *http.Request) {
		request.Header.Set("X-Prompt-Prefix", strings.Join(parts, ":100,")+":100")
	})
}

// sendSound sends sound requests until the function returns false.
func (s *partScenario) sendSound(route string, goesOn func() bool) {
	for i := 0; goesOn(); i++ {
		sent := time.Now()
		s.group.Go(func() {
			got := s.sendParts(hosts[i%len(hosts)], route, firstPart, fmt.Sprintf("5%07x", i))
			s.soundMutex.Lock()
			defer s.soundMutex.Unlock()
			s.sound = append(s.sound, soundRequest{sentAt: sent, served: got.status == http.StatusOK && got.complete})
		})
		time.Sleep(soundInterval)
	}
}

// soundShare returns the share of the sound requests sent in the time that were served.
func (s *partScenario) soundShare(from, until time.Time) (share float64, served, sent int) {
	s.soundMutex.Lock()
	defer s.soundMutex.Unlock()
	for _, request := range s.sound {
		if request.sentAt.Before(from) || !request.sentAt.Before(until) {
			continue
		}
		sent++
		if request.served {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1)), served, sent
}

// run plays the course: sound requests for 4 s, then also those with the part for poisonDuration.
func (s *partScenario) run(testCase partCase) (began, ended time.Time) {
	done := make(chan struct{})
	isRunning := func() bool {
		select {
		case <-done:
			return false
		default:
			return true
		}
	}
	s.group.Go(func() { s.sendSound(testCase.route, isRunning) })
	time.Sleep(4 * time.Second)
	began = time.Now()
	s.group.Go(func() { s.crashForOtherReasons(testCase, began) })
	faulted := testCase.fault == nil
	for i := 0; time.Since(began) < poisonDuration; i++ {
		if testCase.interval == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		s.group.Go(func() {
			parts := []string{firstPart, poisonPart, fmt.Sprintf("6%07x", i)}
			if testCase.standsFirst {
				parts[0], parts[1] = parts[1], parts[0]
			}
			s.sendParts(hosts[i%len(hosts)], testCase.route, parts...)
		})
		time.Sleep(testCase.interval)
		if !faulted && len(s.crashTimes()) >= crashesToBlock {
			faulted = true
			s.group.Go(func() { testCase.fault(s.scenario) })
		}
	}
	close(done)
	ended = time.Now()
	s.group.Wait()
	return began, ended
}

func (s *partScenario) crashForOtherReasons(testCase partCase, began time.Time) {
	for i := 0; (testCase.otherCrashes || testCase.allAtOnce) && time.Since(began) < poisonDuration-time.Second; i++ {
		time.Sleep(1200 * time.Millisecond)
		if testCase.otherCrashes {
			s.restarters[i%len(s.restarters)].End()
		}
		if testCase.allAtOnce && i%8 == 1 {
			for _, restarter := range s.restarters {
				restarter.End()
			}
		}
	}
}

// expectPartBlocked checks the bounds on requests with the part and on sound ones.
func (s *partScenario) expectPartBlocked(t *testing.T, began, ended time.Time) {
	t.Helper()
	crashes := s.crashTimes()
	late := s.lateRuns(partCrashesBeforeBound, func(run platformsim.Run) bool { return hasPoisonPart(run.Header) })
	after := began
	if len(crashes) > 0 {
		after = crashes[min(partCrashesBeforeBound, len(crashes))-1]
	}
	before, servedBefore, sentBefore := s.soundShare(began.Add(-time.Hour), began)
	share, served, sent := s.soundShare(after.Add(2*maxBlockDelay), ended)
	t.Logf("%s: %d crashes, %d requests with the part late; sound ones served: %d of %d before, %d of %d after", t.Name(), len(crashes), late, servedBefore, sentBefore, served, sent)
	s.Expect(late).To(gomega.BeNumerically("<=", maxLatePartSends), "requests with the part after every node must have blocked it")
	if sent >= minJudgedRequests { // a part that is tried late leaves no time after its fifth crash
		s.Expect(share).To(gomega.BeNumerically(">=", minSoundShare*before), "sound requests served on their first try")
	}
}

// Guards against a part of prompts under which replica after replica crashes, though no two requests with it are
// alike, and against sound requests that are refused for it.
func TestPoisonPartIsBlocked(t *testing.T) {
	const shortInterval = 300 * time.Millisecond
	for name, testCase := range map[string]partCase{
		"each 0.3 s":                          {route: "stream", interval: shortInterval},
		"the part stands first":               {route: "stream", interval: shortInterval, standsFirst: true},
		"a stream that is resumed":            {route: "resume", interval: shortInterval},
		"each 60 ms":                          {route: "stream", interval: 60 * time.Millisecond},
		"each 3 s":                            {route: "stream", interval: 3 * time.Second},
		"the scheduling node is killed":       {route: "stream", interval: shortInterval, fault: killScheduler},
		"the scheduling node is paused":       {route: "stream", interval: shortInterval, fault: pauseScheduler},
		"the nodes are partitioned":           {route: "stream", interval: shortInterval, fault: partitionNodesFor(2 * time.Second)},
		"each node restarts":                  {route: "stream", interval: shortInterval, fault: restartNodesInTurn},
		"all nodes restart":                   {route: "stream", interval: shortInterval, fault: restartAllNodes},
		"the store is down":                   {route: "stream", interval: shortInterval, fault: failStore},
		"replicas crash for other reasons":    {route: "stream", interval: shortInterval, otherCrashes: true},
		"all replicas crash at once, besides": {route: "stream", interval: shortInterval, allAtOnce: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runPartCrashes(t, func(s *partScenario) {
				began, ended := s.run(testCase)
				s.expectPartBlocked(t, began, ended)
			})
		})
	}
}

// Guards against parts that are blocked because the requests with them run at many replicas that crash for other
// reasons.
func TestCommonPartsAreServedWhileReplicasCrashForOtherReasons(t *testing.T) {
	for name, testCase := range map[string]partCase{
		"one after the other": {route: "stream", otherCrashes: true},
		"all at once":         {route: "stream", allAtOnce: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runPartCrashes(t, func(s *partScenario) {
				began, ended := s.run(testCase)
				_, served, sent := s.soundShare(began, ended)
				refused := len(s.loggedEvents("content"))
				t.Logf("%d crashes; %d of %d sound requests served, %d lines of suspects", len(s.crashTimes()), served, sent, refused)
				for _, event := range s.loggedEvents("request.ended") {
					s.Expect(event.Reason).NotTo(gomega.BeElementOf("barred", "suspect"), "a sound request")
				}
			})
		})
	}
}
