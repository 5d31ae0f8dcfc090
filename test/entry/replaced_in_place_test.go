package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// These tests replace engines in place: one ends and starts again at its address and under its ID, with another
// software version. Its entry follows once the store takes it.

const (
	// inPlaceDelay is the time from the end of an engine to its next start, and inPlaceInterval that between the ends of
	// two engines.
	inPlaceDelay    = 2 * time.Second
	inPlaceInterval = 1800 * time.Millisecond
	// inPlaceOutage is how long the store is away meanwhile.
	inPlaceOutage = 9 * time.Second
	// entryWriteDelay is the time from the return of the store to the write of a replica that waits for it.
	entryWriteDelay = time.Second
	storePoll       = 50 * time.Millisecond
	// Engines that start again within a moment are back after quickDelay, and write their entries quickEntryDelay later.
	// The ends of two of them are quickInterval apart.
	quickDelay      = 300 * time.Millisecond
	quickEntryDelay = 900 * time.Millisecond
	quickInterval   = 150 * time.Millisecond
	quickPasses     = 5
	// minGoOnWithReports is the least share of resumed streams that go on if engines give reports, as for minGoOnShare.
	minGoOnWithReports = 0.5
)

// inPlaceScenario is a versionsScenario with a store that may be away.
type inPlaceScenario struct {
	*versionsScenario
	isStoreAway bool
}

// setStoreAway takes the store down or brings it back.
func (s *inPlaceScenario) setStoreAway(isAway bool) {
	s.mutex.Lock()
	s.isStoreAway = isAway
	s.mutex.Unlock()
	s.deployment.Store.SetDown(isAway)
}

func (s *inPlaceScenario) isAway() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isStoreAway
}

// replaceInPlace ends the engine and starts it again, with the version, after inPlaceDelay.
func (s *inPlaceScenario) replaceInPlace(index int, version string) {
	next := s.startInPlace(index, version, inPlaceDelay)
	for s.isAway() {
		time.Sleep(storePoll)
		if !s.isAway() {
			time.Sleep(entryWriteDelay)
		}
	}
	next.Register(s.deployment.Store, "ready")
}

// replaceQuickly ends all engines and starts them again with the other version, one after the other, several times.
func (s *inPlaceScenario) replaceQuickly() {
	for range quickPasses {
		for index := range mixingEngines {
			s.mutex.Lock()
			version := map[string]string{"v1": "v2", "v2": "v1"}[s.mixed[index].Version]
			s.mutex.Unlock()
			s.group.Go(func() {
				next := s.startInPlace(index, version, quickDelay)
				time.Sleep(quickEntryDelay)
				next.Register(s.deployment.Store, "ready")
			})
			time.Sleep(quickInterval)
		}
	}
}

// startInPlace ends the engine and starts it again, with the version, after the delay. It returns the new one, which has
// no entry yet.
func (s *inPlaceScenario) startInPlace(index int, version string, delay time.Duration) *platformsim.Replica {
	s.mutex.Lock()
	ended := s.mixed[index]
	s.mutex.Unlock()
	ended.Crash()
	time.Sleep(delay)
	next := &platformsim.Replica{
		ID: ended.ID, Service: ended.Service, Zone: ended.Zone, Version: version, Slots: ended.Slots, Events: ended.Events, Step: ended.Step,
		StartedAt: time.Now().UnixMilli(), GivesReports: ended.GivesReports,
	}
	next.SetBehavior(breakOff(2))
	s.Expect(s.deployment.StartReplica(ended.ID[len("i-"):], next)).To(gomega.Succeed())
	s.mutex.Lock()
	s.mixed[index] = next
	s.mutex.Unlock()
	return next
}

// replaceAll replaces the engines of the version by ones of the other, one after the other.
func (s *inPlaceScenario) replaceAll(from, to string) {
	s.mutex.Lock()
	all := slices.Clone(s.mixed)
	s.mutex.Unlock()
	for index, replica := range all {
		if replica.Version != from {
			continue
		}
		s.group.Go(func() { s.replaceInPlace(index, to) })
		time.Sleep(inPlaceInterval)
	}
}

// withoutStore runs the change while the store is away.
func (s *inPlaceScenario) withoutStore(change func()) {
	s.setStoreAway(true)
	time.Sleep(500 * time.Millisecond)
	change()
	time.Sleep(inPlaceOutage)
	s.setStoreAway(false)
}

// replaceDuringOutages replaces engines forth and back while the store is down now and then.
func (s *inPlaceScenario) replaceDuringOutages() {
	s.group.Go(func() {
		for range 3 {
			s.replaceAll("v1", "v2.1")
			s.replaceAll("v2.1", "v1")
		}
	})
	for range 4 {
		s.setStoreAway(true)
		time.Sleep(2500 * time.Millisecond)
		s.setStoreAway(false)
		time.Sleep(1200 * time.Millisecond)
	}
}

// restartScheduler kills the scheduling node and starts it again.
func (s *inPlaceScenario) restartScheduler() {
	host := s.scheduler()
	s.deployment.Node(host).Kill()
	time.Sleep(500 * time.Millisecond)
	s.Expect(s.deployment.StartNode(host, []string{"east", "west"}[slices.Index(hosts, host)%2])).To(gomega.Succeed())
}

// inPlaceCase is a course in which engines are replaced in place.
type inPlaceCase struct {
	fault        func(s *inPlaceScenario)
	minGoOnShare float64
}

var inPlaceCases = map[string]inPlaceCase{
	"the store is up":   {fault: func(s *inPlaceScenario) { s.replaceAll("v1", "v2") }, minGoOnShare: 0.5},
	"the store is down": {fault: func(s *inPlaceScenario) { s.withoutStore(func() { s.replaceAll("v1", "v2") }) }},
	"no node reaches the store": {fault: func(s *inPlaceScenario) {
		s.fabric.Partition(hosts, []string{"store"})
		s.replaceAll("v1", "v2")
		time.Sleep(inPlaceOutage)
		s.fabric.Heal()
	}},
	"the scheduling node does not reach the store": {fault: func(s *inPlaceScenario) {
		s.fabric.Partition([]string{s.scheduler()}, []string{"store"})
		s.replaceAll("v1", "v2")
		time.Sleep(inPlaceOutage)
		s.fabric.Heal()
	}},
	"the store is down now and then":      {fault: func(s *inPlaceScenario) { s.replaceDuringOutages() }},
	"engines start again within a moment": {fault: func(s *inPlaceScenario) { s.replaceQuickly() }},
	"engines start again within a moment, nodes are killed in turn": {fault: func(s *inPlaceScenario) {
		s.group.Go(func() { killNodesInTurn(s.versionsScenario) })
		s.replaceQuickly()
	}},
	"the scheduling node restarts while the store is down": {fault: func(s *inPlaceScenario) {
		s.withoutStore(func() {
			s.group.Go(s.restartScheduler)
			s.replaceAll("v1", "v2")
		})
	}},
}

// runInPlace plays the course and returns its counts.
func runInPlace(t *testing.T, testCase inPlaceCase, givesReports bool, check func(s *inPlaceScenario, counts mixingCounts)) {
	course := mixingCase{newer: 7, breaks: 2, givesReports: givesReports}
	runMixing(t, course, func(base *versionsScenario) {
		s := &inPlaceScenario{versionsScenario: base}
		course.fault = func(*versionsScenario) { testCase.fault(s) }
		s.streamRepeatedly(course)
		counts := s.counts()
		t.Logf("%+v, go on %.3f of new ones", counts, counts.goOnShare())
		check(s, counts)
	})
}

// Guards against streams that go on at a replica which another software version has replaced under its ID, before its
// new entry is known.
func TestStreamsDoNotGoOnAtReplicasReplacedInPlace(t *testing.T) {
	for name, testCase := range inPlaceCases {
		for kind, givesReports := range map[string]bool{"": false, ", engines give reports": true} {
			minGoOnShare := testCase.minGoOnShare
			if givesReports {
				minGoOnShare = max(minGoOnShare, minGoOnWithReports)
			}
			t.Run(name+kind, func(t *testing.T) {
				t.Parallel()
				runInPlace(t, testCase, givesReports, func(s *inPlaceScenario, counts mixingCounts) {
					s.Expect(counts.mixed).To(gomega.BeNumerically("<=", mixedStreamsAllowed), "streams with events of two versions")
					s.Expect(counts.goOnShare()).To(gomega.BeNumerically(">=", minGoOnShare), "resumed streams that go on")
				})
			})
		}
	}
}

// reports returns the number of reports that the engines gave.
func (s *versionsScenario) reports() int {
	reports := 0
	for _, engine := range s.mixed {
		reports += engine.Reports()
	}
	return reports
}

// Guards against queries for reports on behalf of streams that don't go on anywhere, or more than one for each that does.
func TestReportsAreAskedForStreamsThatGoOnOnly(t *testing.T) {
	for name, breaks := range map[string]int{"no stream is broken off": 0, "a fifth is broken off": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			course := mixingCase{newer: 5, breaks: breaks, givesReports: true}
			runMixing(t, course, func(s *versionsScenario) {
				if breaks == 0 {
					for _, engine := range s.mixed {
						engine.SetBehavior(nil)
					}
				}
				s.streamRepeatedly(course)
				counts := s.counts()
				t.Logf("%+v, %d reports", counts, s.reports())
				s.Expect(counts.complete).To(gomega.Equal(counts.sent))
				s.Expect(s.reports()).To(gomega.BeNumerically("<=", breaks*counts.resumed), "one for each send that goes on")
			})
		})
	}
}
