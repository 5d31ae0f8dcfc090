package entry

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// These tests run engines of two software versions side by side and break streams off, which then go on
// within the answer or are resumed by their callers at other nodes.

const (
	// mixingCourseTime is the time for which streams are begun, one each mixingInterval.
	mixingCourseTime = 20 * time.Second
	mixingInterval   = 20 * time.Millisecond
	// brokenStreams is the number of streams of which one is broken off.
	brokenStreams = 5
	// mixedStreamsAllowed is the number of streams that may hold events of two versions, over all nodes.
	mixedStreamsAllowed = 2
	// streamTries is the number of tries of a caller, and streamDeadline the time for all of them.
	streamTries    = 4
	streamDeadline = 3 * time.Second
	mixingEngines  = 10
	// crashEntryTime is how long the entry of an engine that has crashed stays.
	crashEntryTime = 4 * time.Second
)

// callerStream is a stream as its caller sees it, over all tries.
type callerStream struct {
	events platformsim.Events
	// began is true once the caller has an event. wasResumed is true if it resumed the stream at least once, and
	// wentOn if an event arrived after that.
	began, wasResumed, wentOn bool
	complete                  bool
}

// add adds the events of one try.
func (c *callerStream) add(body string, resumed bool) {
	events := platformsim.ReadEvents(body)
	c.events.Add(events)
	c.began, c.wentOn = c.began || events.LastID > 0, c.wentOn || resumed && events.LastID > 0
}

// versionsScenario is a scenario whose engines have two versions.
type versionsScenario struct {
	*scenario
	mixed   []*platformsim.Replica
	group   sync.WaitGroup
	mutex   sync.Mutex
	streams []*callerStream
	// omitsResumed makes callers resume streams without naming the request that began them.
	omitsResumed bool
	// givesReports makes the engines answer queries for reports.
	givesReports bool
}

// mixingCase describes a course.
type mixingCase struct {
	// newer is the number of engines with the second version.
	newer int
	// breaks is 1 if the first send of a broken stream breaks off, 2 if all of the first try do, and 3 if those of the
	// second try do too.
	breaks int
	// fault runs from the fifth second on; it may be nil.
	fault func(s *versionsScenario)
	// minGoOnShare is the least share of resumed streams that go on, in relation to the share of new streams
	// that begin.
	minGoOnShare float64
	omitsResumed bool
	// givesReports makes the engines answer queries for reports.
	givesReports bool
}

// runMixing starts the engines and runs the test.
func runMixing(t *testing.T, testCase mixingCase, test func(s *versionsScenario)) {
	t.Helper()
	runScenario(t, func(base *scenario) {
		s := &versionsScenario{scenario: base, omitsResumed: testCase.omitsResumed, givesReports: testCase.givesReports}
		for _, replica := range s.engines {
			replica.Crash()
			s.deployment.Store.Delete("servers/" + replica.ID)
		}
		for i := range mixingEngines {
			version := "v1"
			if (i+1)*testCase.newer/mixingEngines > i*testCase.newer/mixingEngines { // spread over the engines
				version = "v2"
			}
			s.startEngine(fmt.Sprint("m", i), version, breakOff(testCase.breaks))
		}
		time.Sleep(time.Second)
		test(s)
		s.group.Wait()
	})
}

// startEngine starts an engine of the version on the host.
func (s *versionsScenario) startEngine(host, version string, behave func(*http.Request) platformsim.Behavior) *platformsim.Replica {
	replica := &platformsim.Replica{ID: "i-" + host, Service: "engines", Zone: "east", Version: version, Slots: 4, Events: 6, Step: 60 * time.Millisecond, GivesReports: s.givesReports}
	if s.givesReports {
		replica.StartedAt = time.Now().UnixMilli()
	}
	replica.SetBehavior(behave)
	s.Expect(s.deployment.AddReplica(host, replica)).To(gomega.Succeed())
	s.mutex.Lock()
	s.mixed = append(s.mixed, replica)
	s.mutex.Unlock()
	return replica
}

// breakOff cuts sends of the streams whose path says so: the first one of a caller's first try, both of them, or
// also those of its second try.
func breakOff(breaks int) func(*http.Request) platformsim.Behavior {
	return func(request *http.Request) platformsim.Behavior {
		id := request.Header.Get("X-Attempt-Id")
		isFirstTry, isSecondTry := strings.HasSuffix(id, "-0"), strings.HasSuffix(id, "-1")
		isFirstSend := request.Header.Get("Last-Event-Id") == ""
		breaks := isFirstTry && (isFirstSend || breaks > 1) || isSecondTry && breaks > 2
		if strings.Contains(request.URL.Path, "broken") && breaks {
			return platformsim.Cut
		}
		return platformsim.Answer
	}
}

// stream sends a stream and resumes it at the other nodes until it is complete.
func (s *versionsScenario) stream(first int, path string) *callerStream {
	stream := &callerStream{}
	began, started := "", time.Now()
	for try := range streamTries {
		id := fmt.Sprintf("%s-%d", path, try)
		left := streamDeadline - time.Since(started)
		if left <= 0 {
			break
		}
		resumed := stream.began
		got := s.do(hosts[(first+try)%len(hosts)], http.MethodPost, "/resume/"+path, func(request *http.Request) {
			request.Body, request.ContentLength = io.NopCloser(strings.NewReader(path)), int64(len(path))
			request.Header.Set("X-Attempt-Id", id)
			request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
			if resumed {
				request.Header.Set("Last-Event-Id", strconv.Itoa(stream.events.LastID))
				if !s.omitsResumed {
					request.Header.Set("Resumes", began)
				}
			}
		})
		stream.wasResumed = stream.wasResumed || resumed
		if got.status == http.StatusOK {
			stream.add(got.body, resumed)
		}
		if !resumed && stream.began {
			began = id
		}
		if got.status == http.StatusOK && got.complete {
			stream.complete = true
			break
		}
		wait, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		time.Sleep(max(time.Duration(wait*float64(time.Second)), 2*time.Millisecond))
	}
	return stream
}

// streamRepeatedly begins streams at the nodes in turn for mixingCourseTime and waits for their ends.
func (s *versionsScenario) streamRepeatedly(testCase mixingCase) {
	started, faulted := time.Now(), testCase.fault == nil
	for i := 0; time.Since(started) < mixingCourseTime; i++ {
		path := fmt.Sprint("sound", i)
		if i%brokenStreams == 0 {
			path = fmt.Sprint("broken", i)
		}
		s.group.Go(func() {
			stream := s.stream(i, path)
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.streams = append(s.streams, stream)
		})
		time.Sleep(mixingInterval)
		if !faulted && time.Since(started) > 5*time.Second {
			faulted = true
			s.group.Go(func() { testCase.fault(s) })
		}
	}
	s.group.Wait()
}

// mixingCounts are the numbers of streams of a course.
type mixingCounts struct {
	sent, began, resumed, wentOn, mixed, complete int
}

func (s *versionsScenario) counts() mixingCounts {
	counts := mixingCounts{sent: len(s.streams)}
	for _, stream := range s.streams {
		for _, count := range []struct {
			applies bool
			counter *int
		}{
			{stream.began, &counts.began}, {stream.wasResumed, &counts.resumed}, {stream.wentOn, &counts.wentOn},
			{len(stream.events.Versions) > 1, &counts.mixed}, {stream.complete, &counts.complete},
		} {
			if count.applies {
				*count.counter++
			}
		}
	}
	return counts
}

// goOnShare returns the share of the resumed streams that went on, divided by the share of new streams that began.
func (c mixingCounts) goOnShare() float64 {
	if c.resumed == 0 {
		return 1
	}
	return float64(c.wentOn) / float64(c.resumed) / (float64(c.began) / float64(c.sent))
}

// onScenario returns the fault as one of a versionsScenario.
func onScenario(fault func(*scenario)) func(*versionsScenario) {
	return func(s *versionsScenario) { fault(s.scenario) }
}

// killNodesInTurn kills and restarts each node, twice.
func killNodesInTurn(s *versionsScenario) {
	for i := range 2 * len(hosts) {
		host := hosts[i%len(hosts)]
		s.deployment.Node(host).Kill()
		time.Sleep(500 * time.Millisecond)
		s.Expect(s.deployment.StartNode(host, []string{"east", "west"}[i%len(hosts)%2])).To(gomega.Succeed())
		time.Sleep(1500 * time.Millisecond)
	}
}

// replaceEngines replaces the engines of the first version by ones of the second, one after the other.
func replaceEngines(s *versionsScenario) {
	s.mutex.Lock()
	all := slices.Clone(s.mixed)
	s.mutex.Unlock()
	for i, replica := range all {
		if replica.Version != "v1" {
			continue
		}
		s.startEngine(fmt.Sprint("r", i), "v2", breakOff(2))
		replica.Register(s.deployment.Store, "draining")
		time.Sleep(time.Second)
		s.deployment.Store.Delete("servers/" + replica.ID)
		s.group.Go(func() {
			time.Sleep(2 * time.Second)
			replica.Crash()
		})
	}
}

// crashEngines has every second engine crash, one after the other. Their entries are gone crashEntryTime later.
func crashEngines(s *versionsScenario) {
	for i := 0; i < mixingEngines; i += 2 {
		engine := s.mixed[i]
		engine.Crash()
		s.group.Go(func() {
			time.Sleep(crashEntryTime)
			s.deployment.Store.Delete("servers/" + engine.ID)
		})
		time.Sleep(2 * time.Second)
	}
}

// Guards against streams that hold events of two software versions of a service, whether they go on within
// the answer or are resumed by the caller at another node, and against resumed streams that are refused.
func TestStreamsGoOnOnlyAtTheVersionThatBeganThem(t *testing.T) {
	for name, testCase := range map[string]mixingCase{
		"broken off once":                   {newer: 5, breaks: 1, minGoOnShare: 0.95},
		"broken off twice":                  {newer: 5, breaks: 2, minGoOnShare: 0.95},
		"resumed twice":                     {newer: 5, breaks: 3, minGoOnShare: 0.95},
		"two engines of the second version": {newer: 2, breaks: 2, minGoOnShare: 0.95},
		"the scheduling node is killed":     {newer: 5, breaks: 2, fault: onScenario(killScheduler), minGoOnShare: 0.95},
		"the scheduling node is paused":     {newer: 5, breaks: 2, fault: onScenario(pauseScheduler), minGoOnShare: 0.95},
		"a node is partitioned":             {newer: 5, breaks: 2, fault: onScenario(partitionNodesFor(3 * time.Second)), minGoOnShare: 0.95},
		"nodes are killed in turn":          {newer: 5, breaks: 2, fault: killNodesInTurn, minGoOnShare: 0.95},
		"all nodes are killed":              {newer: 5, breaks: 2, fault: onScenario(restartAllNodes), minGoOnShare: 0.5},
		"the store is down":                 {newer: 5, breaks: 2, fault: onScenario(failStore), minGoOnShare: 0.95},
		"engines crash":                     {newer: 5, breaks: 2, fault: crashEngines, minGoOnShare: 0.95},
		"engines are replaced":              {newer: 2, breaks: 2, fault: replaceEngines, minGoOnShare: 0.5},
		"callers don't name the first try":  {newer: 5, breaks: 2, omitsResumed: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runMixing(t, testCase, func(s *versionsScenario) {
				s.streamRepeatedly(testCase)
				counts := s.counts()
				t.Logf("%+v, go on %.3f of new ones", counts, counts.goOnShare())
				s.Expect(counts.mixed).To(gomega.BeNumerically("<=", mixedStreamsAllowed), "streams with events of two versions")
				s.Expect(counts.goOnShare()).To(gomega.BeNumerically(">=", testCase.minGoOnShare), "resumed streams that go on")
			})
		})
	}
}

// Guards against resumed streams that are refused although the service has had one version only, also if the
// caller does not name the request that began the stream.
func TestStreamsGoOnWhereTheServiceHasOneVersion(t *testing.T) {
	for name, testCase := range map[string]mixingCase{
		"named":                     {breaks: 2, minGoOnShare: 0.95},
		"nodes are killed in turn":  {breaks: 2, fault: killNodesInTurn, minGoOnShare: 0.95},
		"callers don't name them":   {breaks: 2, omitsResumed: true, minGoOnShare: 0.95},
		"the scheduling node fails": {breaks: 2, omitsResumed: true, fault: onScenario(killScheduler), minGoOnShare: 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			goOnWithOneVersion(t, testCase)
		})
	}
}

// Guards against resumed streams that are refused for too long after an outage of the store, where the service has had
// one version only and callers don't name the request that began the stream.
func TestStreamsGoOnAfterAnOutageWhereTheServiceHasOneVersion(t *testing.T) {
	goOnWithOneVersion(t, mixingCase{breaks: 2, omitsResumed: true, fault: onScenario(failStore), minGoOnShare: 0.5})
}

// useNewerVersionElsewhere partitions a node from the others and the store, which list engines of the second version in
// place of the first one until the partition ends.
func useNewerVersionElsewhere(s *versionsScenario) {
	first := slices.Clone(s.mixed)
	s.fabric.Partition(hosts[:1], append([]string{"store"}, hosts[1:]...))
	time.Sleep(3500 * time.Millisecond) // the node's view is old
	for i := range mixingEngines {
		s.startEngine(fmt.Sprint("x", i), "v2", breakOff(2))
	}
	for _, replica := range first {
		replica.Register(s.deployment.Store, "draining")
	}
	time.Sleep(5 * time.Second)
	for _, replica := range first {
		replica.Register(s.deployment.Store, "ready")
	}
	for i := range mixingEngines {
		s.deployment.Store.Delete(fmt.Sprint("servers/i-x", i))
	}
	time.Sleep(time.Second)
	s.fabric.Heal()
}

// Guards against streams that their callers don't name and that go on at another version, because a node whose view of the
// store is old takes the version that it knows for the only one.
func TestUnnamedStreamsDoNotGoOnAtAVersionOfAnotherPartition(t *testing.T) {
	testCase := mixingCase{breaks: 2, omitsResumed: true, fault: useNewerVersionElsewhere}
	runMixing(t, testCase, func(s *versionsScenario) {
		time.Sleep(10 * time.Second) // so that no stream of an earlier version can be resumed
		s.streamRepeatedly(testCase)
		counts, atSecond := s.counts(), 0
		for _, stream := range s.streams {
			if slices.Contains(stream.events.Versions, "v2") {
				atSecond++
			}
		}
		t.Logf("%+v, %d streams with events of the second version, go on %.3f of new ones", counts, atSecond, counts.goOnShare())
		s.Expect(atSecond).To(gomega.BeNumerically(">", mixingEngines), "streams with events of the second version")
		s.Expect(counts.mixed).To(gomega.BeNumerically("<=", mixedStreamsAllowed), "streams with events of two versions")
	})
}

// goOnWithOneVersion plays the course at a service that has had one version for long.
func goOnWithOneVersion(t *testing.T, testCase mixingCase) {
	runMixing(t, testCase, func(s *versionsScenario) {
		time.Sleep(10 * time.Second) // so that no stream of an earlier version can be resumed
		s.streamRepeatedly(testCase)
		counts := s.counts()
		t.Logf("%+v, go on %.3f of new ones", counts, counts.goOnShare())
		s.Expect(counts.goOnShare()).To(gomega.BeNumerically(">=", testCase.minGoOnShare), "resumed streams that go on")
	})
}
