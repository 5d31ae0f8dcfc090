package entry

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// These tests end all nodes at the same moment while engines of two software versions serve on. No node is left that
// remembers at which version a stream began.

const (
	allEndTime = 45 * time.Second
	// allEndInterval is the time between two streams, and allEndStep that between two events of one.
	allEndInterval = 50 * time.Millisecond
	allEndEvents   = 10
	allEndStep     = 150 * time.Millisecond
	// The nodes end allEnds times, allEndSpacing after their start and allEndShift later each time, so that what is done now and
	// then happens at any time before.
	allEnds       = 5
	allEndSpacing = 6 * time.Second
	allEndShift   = 370 * time.Millisecond
	// allEndPause is the time from the end of the nodes to their next start.
	allEndPause = 500 * time.Millisecond
	// allEndDeadline is the time for all tries of a caller, allEndRetry the time between two.
	allEndDeadline = 8 * time.Second
	allEndRetry    = 200 * time.Millisecond
)

// allEndCase describes a course in which all nodes end.
type allEndCase struct {
	// newer is the number of the engines with the second version, of mixingEngines.
	newer int
	// begin runs before the streams, and fault at each end of the nodes, before their next start; both may be nil.
	begin, fault func(s *versionsScenario)
	// minGoOnShare is the least share of the streams under way at an end of all nodes that go on.
	minGoOnShare float64
	givesReports bool
}

// streamOverAllEnds sends a stream and resumes it until it is complete. It reports whether the stream broke off after its
// first event within a moment of an end of all nodes.
func (s *versionsScenario) streamOverAllEnds(first int, path string, endedAt func() time.Time) (*callerStream, bool) {
	stream, isCut := &callerStream{}, false
	began, started := "", time.Now()
	for try := 0; time.Since(started) < allEndDeadline; try++ {
		id := fmt.Sprintf("%s-%d", path, try)
		left := allEndDeadline - time.Since(started)
		resumed := stream.began
		got := s.do(hosts[(first+try)%len(hosts)], http.MethodPost, "/resume/"+path, func(request *http.Request) {
			request.Body, request.ContentLength = io.NopCloser(strings.NewReader(path)), int64(len(path))
			request.Header.Set("X-Attempt-Id", id)
			request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
			if resumed {
				request.Header.Set("Last-Event-Id", strconv.Itoa(stream.events.LastID))
				request.Header.Set("Resumes", began)
			}
		})
		stream.wasResumed = stream.wasResumed || resumed
		if got.status == http.StatusOK {
			stream.add(got.body, resumed)
		}
		if !resumed && stream.began {
			began = id
			isCut = !got.complete && time.Since(endedAt()) < 100*time.Millisecond
		}
		if got.status == http.StatusOK && got.complete {
			stream.complete = true
			break
		}
		time.Sleep(allEndRetry)
	}
	return stream, isCut
}

// playAllEnds ends all nodes several times while streams run, and returns the counts of the streams that were under way then and
// those of all streams.
func playAllEnds(t *testing.T, testCase allEndCase) (cut, all mixingCounts) {
	t.Helper()
	runMixing(t, mixingCase{newer: testCase.newer}, func(s *versionsScenario) {
		for _, engine := range s.mixed {
			engine.Crash()
		}
		first := s.mixed
		s.mixed = nil
		for i, engine := range first {
			next := &platformsim.Replica{
				ID: fmt.Sprint("i-l", i), Service: engine.Service, Zone: engine.Zone, Version: engine.Version, Slots: engine.Slots,
				Events: allEndEvents, Step: allEndStep, GivesReports: testCase.givesReports,
			}
			if testCase.givesReports {
				next.StartedAt = time.Now().UnixMilli()
			}
			s.deployment.Store.Delete("servers/" + engine.ID)
			s.Expect(s.deployment.AddReplica(fmt.Sprint("l", i), next)).To(gomega.Succeed())
			s.mixed = append(s.mixed, next)
		}
		time.Sleep(5 * time.Second) // so that the first engines are gone
		if testCase.begin != nil {
			testCase.begin(s)
		}
		var endedAt time.Time
		lastEnd := func() time.Time {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return endedAt
		}
		var cutStreams []*callerStream
		s.group.Go(func() {
			for i := range allEnds {
				time.Sleep(allEndSpacing + time.Duration(i)*allEndShift)
				s.mutex.Lock()
				endedAt = time.Now()
				s.mutex.Unlock()
				for _, host := range hosts {
					s.deployment.Node(host).Kill()
				}
				if testCase.fault != nil {
					testCase.fault(s)
				}
				time.Sleep(allEndPause)
				for i, host := range hosts {
					s.Expect(s.deployment.StartNode(host, []string{"east", "west"}[i%2])).To(gomega.Succeed())
				}
			}
		})
		for i, started := 0, time.Now(); time.Since(started) < allEndTime; i++ {
			s.group.Go(func() {
				stream, isCut := s.streamOverAllEnds(i, fmt.Sprint("sound", i), lastEnd)
				s.mutex.Lock()
				defer s.mutex.Unlock()
				s.streams = append(s.streams, stream)
				if isCut {
					cutStreams = append(cutStreams, stream)
				}
			})
			time.Sleep(allEndInterval)
		}
		s.group.Wait()
		all = s.counts()
		s.streams = cutStreams
		cut = s.counts()
		t.Logf("under way when all nodes ended: %+v; all: %+v; %d store calls", cut, all, s.deployment.Store.Calls())
	})
	return cut, all
}

// swapVersions ends an engine of each version and starts it again in place with the other one. Their entries follow later.
func swapVersions(s *versionsScenario) {
	isSwapped := map[string]bool{}
	for index, engine := range s.mixed {
		if isSwapped[engine.Version] {
			continue
		}
		isSwapped[engine.Version] = true
		engine.Crash()
		next := &platformsim.Replica{
			ID: engine.ID, Service: engine.Service, Zone: engine.Zone, Version: map[string]string{"v1": "v2", "v2": "v1"}[engine.Version],
			Slots: engine.Slots, Events: engine.Events, Step: engine.Step, GivesReports: engine.GivesReports,
		}
		if next.GivesReports {
			next.StartedAt = time.Now().UnixMilli()
		}
		s.Expect(s.deployment.StartReplica(engine.ID[len("i-"):], next)).To(gomega.Succeed())
		s.mixed[index] = next
		s.group.Go(func() {
			time.Sleep(time.Second)
			next.Register(s.deployment.Store, "ready")
		})
	}
}

// Guards against streams that can't go on after all nodes ended at the same moment, while engines of two versions serve on, and
// against ones that go on at the other version, also where the store is away, loses answers or is restored from a copy.
func TestStreamsGoOnAfterAllNodesEnded(t *testing.T) {
	for name, testCase := range map[string]allEndCase{
		"half of the engines":                     {newer: 5, minGoOnShare: 0.5},
		"two engines of the second version":       {newer: 2, minGoOnShare: 0.5},
		"engines are replaced in place meanwhile": {newer: 5, fault: swapVersions, minGoOnShare: 0.5},
		"the store is down meanwhile": {newer: 5, fault: func(s *versionsScenario) {
			s.deployment.Store.SetDown(true)
			s.group.Go(func() {
				time.Sleep(allEndPause + time.Second)
				s.deployment.Store.SetDown(false)
			})
		}, minGoOnShare: 0.5},
		"the store is restored meanwhile": {newer: 5, fault: func(s *versionsScenario) { s.deployment.Store.Restore(s.deployment.Store.Backup()) }},
		"the store loses answers":         {newer: 5, begin: func(s *versionsScenario) { s.deployment.Store.SetLoseAnswers(true) }, minGoOnShare: 0.2},
	} {
		for kind, givesReports := range map[string]bool{"": false, ", engines give reports": true} {
			// Without reports nothing shows for several seconds which engines were replaced meanwhile.
			played := testCase
			if played.givesReports = givesReports; !givesReports {
				played.minGoOnShare = 0
			}
			t.Run(name+kind, func(t *testing.T) {
				t.Parallel()
				cut, all := playAllEnds(t, played)
				g := gomega.NewWithT(t)
				g.Expect(all.mixed).To(gomega.BeZero(), "streams with events of two versions")
				g.Expect(cut.resumed).To(gomega.BeNumerically(">", 20*allEnds))
				g.Expect(float64(cut.wentOn)/float64(cut.resumed)).To(gomega.BeNumerically(">=", played.minGoOnShare), "streams that go on")
			})
		}
	}
}

// Guards against calls of the store for the origins of streams while one version serves, and against many of them while two do.
func TestOriginsTakeFewStoreCalls(t *testing.T) {
	calls := map[int]int{}
	for _, newer := range []int{0, 5} {
		runMixing(t, mixingCase{newer: newer, breaks: 1}, func(s *versionsScenario) {
			before := s.deployment.Store.Calls()
			s.streamRepeatedly(mixingCase{newer: newer, breaks: 1})
			calls[newer] = s.deployment.Store.Calls() - before
		})
	}
	t.Logf("%v store calls in %v, by the engines of the second version", calls, mixingCourseTime)
	g := gomega.NewWithT(t)
	g.Expect(calls[0]).To(gomega.BeNumerically("<=", 40), "as without any stream")
	g.Expect(calls[5] - calls[0]).To(gomega.BeNumerically("<=", 5*int(mixingCourseTime/time.Second)))
}
