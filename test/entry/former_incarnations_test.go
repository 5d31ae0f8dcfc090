package entry

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// These tests replace a replica in place, under its ID, while the store is away, and check what of its former
// incarnation counts for the next one.

// successorScenario is a scenario in which the replica p1 says something, ends and starts again without it.
type successorScenario struct {
	*scenario
	former, successor     *platformsim.Replica
	startedAt, returnedAt time.Time
}

// runSuccessor sends 150 requests a second for 24 s, of which one replica can serve 100. The store is away from the third second on; then p1 ends, starts
// again after two seconds, and writes its entry when the store is back, after 16 s.
func runSuccessor(t *testing.T, begin func(former *platformsim.Replica), test func(s *successorScenario)) {
	t.Helper()
	runScenario(t, func(base *scenario) {
		s := &successorScenario{scenario: base, former: base.plainReplicas[0]}
		begin(s.former)
		var group sync.WaitGroup
		group.Go(func() {
			time.Sleep(3 * time.Second)
			s.deployment.Store.SetDown(true)
			time.Sleep(time.Second)
			s.former.Crash()
			time.Sleep(2 * time.Second)
			s.successor, s.startedAt = startInPlace(base, "p1", s.former), time.Now()
			time.Sleep(10 * time.Second)
			s.deployment.Store.SetDown(false)
			s.returnedAt = time.Now()
			s.successor.Register(s.deployment.Store, "ready")
		})
		for i := range 24 * 150 {
			group.Go(func() { s.do(hosts[i%len(hosts)], http.MethodGet, "/safe/x", nil) })
			time.Sleep(time.Second / 150)
		}
		group.Wait()
		test(s)
	})
}

// arrivalsIn returns the requests a second that arrived at the successor in the span.
func (s *successorScenario) arrivalsIn(from time.Time, span time.Duration) float64 {
	count := 0
	for _, arrival := range s.successor.Arrived() {
		if !arrival.At.Before(from) && arrival.At.Before(from.Add(span)) {
			count++
		}
	}
	return float64(count) / span.Seconds()
}

// Guards against a replica that is held back without the store for what its former incarnation asked for, beyond its own
// first answers, and against one that is held back once its entry is known.
func TestSuccessorIsNotHeldBackForItsFormerIncarnation(t *testing.T) {
	const fullShare = 45 // requests a second, those that the other replica can't serve
	for name, test := range map[string]struct {
		begin func(former *platformsim.Replica)
		// isUnusedWithoutEntry is true for a former incarnation that left, after which nothing more is sent to it and
		// nothing shows that another one has started.
		isUnusedWithoutEntry bool
	}{
		"a rate limit": {begin: func(r *platformsim.Replica) { r.SetPushback(platformsim.Pushback{Limit: "1"}) }},
		"a pause": {begin: func(r *platformsim.Replica) {
			r.SetBehavior(always(platformsim.Shed))
			r.SetPushback(platformsim.Pushback{RetryAfter: "2"})
		}},
		"a rejection limit":      {begin: func(r *platformsim.Replica) { r.SetBrittleness(&platformsim.Brittleness{MaxRejections: 1, Room: 1}) }},
		"failures":               {begin: func(r *platformsim.Replica) { r.SetBehavior(always(platformsim.Fail)) }},
		"answers that are cut":   {begin: func(r *platformsim.Replica) { r.SetBehavior(always(platformsim.Cut)) }},
		"work that takes longer": {begin: func(r *platformsim.Replica) { r.SetWorkTime(400) }},
		"that it leaves":         {begin: func(r *platformsim.Replica) { r.SetPushback(platformsim.Pushback{Leaving: "1"}) }, isUnusedWithoutEntry: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSuccessor(t, test.begin, func(s *successorScenario) {
				without, with := s.arrivalsIn(s.startedAt.Add(4*time.Second), 6*time.Second), s.arrivalsIn(s.returnedAt.Add(time.Second), 6*time.Second)
				t.Logf("%.1f requests a second without the entry, %.1f with it", without, with)
				s.Expect(with).To(gomega.BeNumerically(">=", fullShare))
				if test.isUnusedWithoutEntry {
					s.Expect(without).To(gomega.BeZero())
				} else {
					s.Expect(without).To(gomega.BeNumerically(">=", fullShare))
				}
			})
		})
	}
}

// Guards against a poison request that is not blocked as its replicas start again in place while the store is away, so
// that all their ends are of one known incarnation.
func TestPoisonRequestIsBlockedWithoutEntriesOfSuccessors(t *testing.T) {
	testCase := crashCase{route: "stream", interval: 300 * time.Millisecond, sameID: true}
	runCrashes(t, testCase, func(s *crashScenario) {
		s.deployment.Store.SetDown(true)
		s.sendPoisonRepeatedly(testCase)
		s.group.Wait()
		s.expectBlocked(t)
		s.deployment.Store.SetDown(false)
	})
}

// replaceInPlaceByTarget orders a roll-out of v2 and takes the store down. Then p1 is replaced in place by a replica of v2,
// and p2 takes the time for a request. It returns the replacement after six seconds of requests.
func (s *rolloutScenario) replaceInPlaceByTarget(step time.Duration) *platformsim.Replica {
	s.orderRollout("v2", nil)
	s.Expect(s.awaitRolloutState("running", 2*time.Second)).To(gomega.BeTrue())
	time.Sleep(2 * time.Second)
	s.deployment.Store.SetDown(true)
	time.Sleep(500 * time.Millisecond)
	former := s.plainReplicas[0]
	former.Crash()
	s.plainReplicas[1].SetStep(step)
	time.Sleep(time.Second)
	s.mutex.Lock()
	s.repliesByStatus = map[int]int{}
	s.mutex.Unlock()
	next := startInPlace(s.scenario, "p1", former)
	s.newReplicas = append(s.newReplicas, next)
	time.Sleep(6 * time.Second)
	return next
}

// Guards against a target that gets more than its canary share, as it has replaced one of the old replicas in place while
// the store is away.
func TestTargetThatReplacesAReplicaInPlaceStaysWithinItsBudget(t *testing.T) {
	runRollout(t, func(s *rolloutScenario) {
		before := arrivalCount(s.plainReplicas)
		next := s.replaceInPlaceByTarget(40 * time.Millisecond) // p2 serves 50 of 120 requests a second
		t.Logf("%d requests at the replacement", next.Arrivals())
		s.expectCanaryWithinBudget(before)
		s.deployment.Store.SetDown(false)
	})
}

// Guards against a target that gets more than its canary share, as it has replaced one of the old replicas in place while
// the store is away, although the others have room for all requests, and against requests that are not answered for that.
func TestTargetThatReplacesAReplicaInPlaceIsSparedWhereOthersHaveRoom(t *testing.T) {
	runRollout(t, func(s *rolloutScenario) {
		s.plainReplicas = append(s.plainReplicas, s.addReplica("p3", "registry", 0, 20*time.Millisecond))
		before := arrivalCount(s.plainReplicas)
		next := s.replaceInPlaceByTarget(20 * time.Millisecond)
		t.Logf("%d requests at the replacement", next.Arrivals())
		s.expectCanaryWithinBudget(before)
		s.mutex.Lock()
		s.Expect(s.repliesByStatus).To(gomega.HaveLen(1), "answers by status")
		s.Expect(s.repliesByStatus[http.StatusOK]).To(gomega.BeNumerically(">", 500))
		s.mutex.Unlock()
		s.deployment.Store.SetDown(false)
	})
}
