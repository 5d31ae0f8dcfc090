package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/quota"
	"github.com/thornwalk/thornwalk/coordination/retrybudget"
	"github.com/thornwalk/thornwalk/coordination/returns"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// fullService is a scheduling service in which all slots of the service "s" are taken.
type fullService struct {
	*gomega.WithT
	*schedulingService
	counts    map[returns.Outcome]int
	requests  int
	suspended time.Duration
}

const (
	fullServiceSlots = 20
	// queueWait is the longest time in the queue of the tests' requests.
	queueWait = 100 * time.Millisecond
)

func runFullService(t *testing.T, plannedReturns bool, test func(s *fullService)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		s := &fullService{WithT: gomega.NewWithT(t), counts: map[returns.Outcome]int{}}
		s.schedulingService = newSchedulingService(func() time.Duration { return time.Since(start) + s.suspended }, retrybudget.Policy{Ratio: 1, Window: 10 * time.Second}, true)
		defer func() { s.timer.Stop() }()
		s.onReturn = func(outcome returns.Outcome) { s.counts[outcome]++ }
		s.setPolicy(schedulingPolicy{plannedReturns: plannedReturns})
		s.setActive(true)
		s.fill()
		test(s)
	})
}

// fill adds the replica and takes all of its slots.
func (s *fullService) fill() {
	s.update(func(scheduler *admission.Scheduler) {
		scheduler.SetReplicas(s.clock(), []replicas.Replica{{ID: "r", Service: "s", Slots: fullServiceSlots}})
	})
	for i := range fullServiceSlots {
		s.Expect(s.decided(s.request(fmt.Sprint("running", i))).Reason).To(gomega.BeEmpty())
	}
}

// request returns a new request with the content.
func (s *fullService) request(content string) *assignRequest {
	s.requests++
	return &assignRequest{First: true, Request: admission.Request{
		ID: fmt.Sprint(s.requests), Node: "n", Service: "s", Fingerprint: fingerprint.Of("", "GET", "h", content, nil),
		Patience: queueWait, Target: time.Second, Deadline: 5 * time.Second,
	}}
}

// decided submits the requests together and returns the decision on the last one.
func (s *fullService) decided(requests ...*assignRequest) admission.Decision {
	decisions := s.decideAll(requests)
	return decisions[len(decisions)-1]
}

func (s *fullService) decideAll(requests []*assignRequest) []admission.Decision {
	var waiting []chan admission.Decision
	for _, request := range requests {
		decided, rejection := s.submit(request)
		s.Expect(rejection).To(gomega.BeNil())
		waiting = append(waiting, decided)
	}
	var decisions []admission.Decision
	for _, decided := range waiting {
		decisions = append(decisions, <-decided)
	}
	return decisions
}

// refuse has a request with the content refused and returns the time after which it should come back.
func (s *fullService) refuse(content string) time.Duration {
	decision := s.decided(s.request(content))
	s.Expect(decision.Reason).To(gomega.Equal(admission.ReasonNoSlot))
	return decision.RetryAfter
}

// returnsOnTime submits the content again and reports whether the scheduler got it as a planned return.
func (s *fullService) returnsOnTime(content string) bool {
	request := s.request(content)
	decided, rejection := s.submit(request)
	s.Expect(rejection).To(gomega.BeNil())
	<-decided
	return request.Request.HasReservation
}

// Guards against another Retry-After, or another order of the queue, in a deployment that has not
// switched planned returns on.
func TestWithoutPlannedReturnsRetryAfterIsAsBefore(t *testing.T) {
	runFullService(t, false, func(s *fullService) {
		var requests []*assignRequest
		for i := range 50 {
			requests = append(requests, s.request(fmt.Sprint("c", i)))
		}
		for _, decision := range s.decideAll(requests) {
			s.Expect(decision.Reason).To(gomega.Equal(admission.ReasonNoSlot))
			// Half of 0.32 of the time that remains after the wait in the queue, or the expected wait.
			remaining := float64(5*time.Second - decision.Waited)
			s.Expect(decision.RetryAfter).To(gomega.Equal(max(time.Duration(remaining*0.32)/2, decision.ExpectedWait)))
		}
		time.Sleep(2 * time.Second)
		s.Expect(s.returnsOnTime("c0")).To(gomega.BeFalse())
		s.Expect(s.counts).To(gomega.BeEmpty())
		s.Expect(s.recentRejections.Has(s.clock(), requests[1].Request.Fingerprint)).To(gomega.BeTrue())
	})
}

// Guards against a caller that came back when told and is not announced to the scheduler as such, and
// against callers that are announced without having come when told.
func TestCallerThatComesBackWhenToldHasAReservation(t *testing.T) {
	runFullService(t, true, func(s *fullService) {
		told := s.refuse("a")
		s.Expect(told).To(gomega.BeNumerically(">=", retryAfterRejected))
		time.Sleep(told)
		s.Expect(s.returnsOnTime("newcomer")).To(gomega.BeFalse())
		s.Expect(s.returnsOnTime("a")).To(gomega.BeTrue())
		s.Expect(s.counts[returns.OnTime]).To(gomega.Equal(1))
		s.Expect(s.recentRejections.Has(s.clock(), s.request("a").Request.Fingerprint)).To(gomega.BeTrue(), "as before")
	})
}

// Guards against callers that gain something by coming back before they were told.
func TestCallerThatComesBackEarlyHasNoReservation(t *testing.T) {
	runFullService(t, true, func(s *fullService) {
		s.refuse("a")
		for range 3 {
			s.Expect(s.returnsOnTime("a")).To(gomega.BeFalse())
		}
		s.Expect(s.counts).To(gomega.Equal(map[returns.Outcome]int{returns.Planned: 4, returns.Early: 3}))
	})
}

// Guards against reservations that retries within one request use up.
func TestRetriesOfANodeAreNoReturns(t *testing.T) {
	runFullService(t, true, func(s *fullService) {
		time.Sleep(s.refuse("a"))
		afterFailedConnect := s.request("a")
		afterFailedConnect.First, afterFailedConnect.Request.Tried = false, []string{"other"}
		retry := s.request("a")
		retry.First, retry.Repeat = false, true
		for _, request := range []*assignRequest{afterFailedConnect, retry} {
			_, rejection := s.submit(request)
			s.Expect(rejection).To(gomega.BeNil())
			s.Expect(request.Request.HasReservation).To(gomega.BeFalse())
			s.finish(&finishRequest{ID: request.Request.ID, NotRun: true})
		}
		s.Expect(s.returnsOnTime("a")).To(gomega.BeTrue())
	})
}

// Guards against places that are kept for callers which are not told a time, since their request may have
// run and its outcome is unknown.
func TestRequestsThatMayHaveRunAreNotPlanned(t *testing.T) {
	runFullService(t, true, func(s *fullService) {
		retry := s.request("a")
		retry.First, retry.Repeat, retry.MayHaveRun = false, true, true
		s.Expect(s.decided(retry).Reason).To(gomega.Equal(admission.ReasonNoSlot))
		s.Expect(s.counts).To(gomega.BeEmpty())
		retry = s.request("b")
		retry.First, retry.Repeat = false, true
		s.Expect(s.decided(retry).Reason).To(gomega.Equal(admission.ReasonNoSlot))
		s.Expect(s.counts).To(gomega.Equal(map[returns.Outcome]int{returns.Planned: 1}), "a replica rejected it")
	})
}

// Guards against planned times for rejections that more slots would not have avoided.
func TestOnlyRejectionsForLackOfSlotsArePlanned(t *testing.T) {
	runFullService(t, true, func(s *fullService) {
		elsewhere := s.request("a")
		elsewhere.Request.Service = "missing"
		s.Expect(s.decided(elsewhere).Reason).To(gomega.Equal(admission.ReasonNoReplica))
		tried := s.request("b")
		tried.Request.Tried = []string{"r"}
		s.Expect(s.decided(tried).Reason).To(gomega.Equal(admission.ReasonNoReplica))
		overQuota := s.request("c")
		overQuota.Tenant, overQuota.Cost, overQuota.Limit = "t", 1000, quota.Limit{Rate: 1, Burst: 1}
		s.submit(overQuota)
		overQuota = s.request("d")
		overQuota.Tenant, overQuota.Cost, overQuota.Limit = "t", 1000, quota.Limit{Rate: 1, Burst: 1}
		_, rejection := s.submit(overQuota)
		s.Expect(rejection).NotTo(gomega.BeNil())
		s.Expect(rejection.Reason).To(gomega.Equal(reasonQuota))
		s.Expect(rejection.RetryAfter).To(gomega.BeNumerically(">", 10*time.Second), "the quota's own time")
		s.Expect(s.counts).To(gomega.BeEmpty())
	})
}

// Guards against a quota rejection that uses up the reservation of the caller.
func TestQuotaRejectionKeepsTheReservation(t *testing.T) {
	runFullService(t, true, func(s *fullService) {
		limited := func(content string) *assignRequest {
			request := s.request(content)
			request.Tenant, request.Cost, request.Limit = "t", 1000, quota.Limit{Rate: 1, Burst: 1}
			return request
		}
		time.Sleep(s.refuse("a"))
		_, rejection := s.submit(limited("other")) // overdraws the quota
		s.Expect(rejection).To(gomega.BeNil())
		_, rejection = s.submit(limited("a"))
		s.Expect(rejection).NotTo(gomega.BeNil())
		s.Expect(s.returnsOnTime("a")).To(gomega.BeTrue())
	})
}

// Guards against a change of the settings that takes effect only after a restart, or that leaves
// reservations behind.
func TestPlannedReturnsAreSwitchedAtRunTime(t *testing.T) {
	runFullService(t, true, func(s *fullService) {
		told := s.refuse("a")
		s.setPolicy(schedulingPolicy{plannedReturns: true})
		time.Sleep(told)
		s.Expect(s.returnsOnTime("a")).To(gomega.BeTrue(), "a reload without a change keeps reservations")

		told = s.refuse("b")
		s.setPolicy(schedulingPolicy{})
		before := s.counts[returns.Planned]
		s.refuse("c")
		s.Expect(s.counts[returns.Planned]).To(gomega.Equal(before))
		time.Sleep(told)
		s.setPolicy(schedulingPolicy{plannedReturns: true})
		s.Expect(s.returnsOnTime("b")).To(gomega.BeFalse())
		s.refuse("d")
		s.Expect(s.counts[returns.Planned]).To(gomega.BeNumerically(">", before))
	})
}

// Guards against a reservation from before a suspension, in which another node scheduled, and against
// a planner that does not work after the clock jumped ahead.
func TestResetDropsPlannedReturns(t *testing.T) {
	runFullService(t, true, func(s *fullService) {
		told := s.refuse("a")
		s.suspended += told
		s.reset(nil, nil)
		s.fill()
		s.Expect(s.returnsOnTime("a")).To(gomega.BeFalse())
		s.refuse("b")
		s.suspended += 3 * time.Second // before the suspension is noticed
		s.Expect(s.returnsOnTime("b")).To(gomega.BeFalse())
		s.reset(nil, nil)
		s.fill()
		told = s.refuse("c")
		time.Sleep(told)
		s.Expect(s.returnsOnTime("c")).To(gomega.BeTrue())
	})
}

// Guards against callers that count as returned in time at a node that took over and knows nothing of
// their refusal, and against a node that fails on their return.
func TestReturnsAfterATakeoverAreNewArrivals(t *testing.T) {
	runFullService(t, true, func(s *fullService) {
		told := s.refuse("a")
		successor := &fullService{WithT: s.WithT, counts: map[returns.Outcome]int{}}
		successor.schedulingService = newSchedulingService(s.clock, retrybudget.Policy{Ratio: 1, Window: 10 * time.Second}, false)
		defer func() { successor.timer.Stop() }()
		successor.onReturn = func(outcome returns.Outcome) { successor.counts[outcome]++ }
		successor.setPolicy(schedulingPolicy{plannedReturns: true})
		successor.setActive(true)
		successor.fill()
		time.Sleep(told)
		s.setActive(false)
		s.Expect(successor.returnsOnTime("a")).To(gomega.BeFalse())
		s.Expect(successor.counts).To(gomega.Equal(map[returns.Outcome]int{returns.Planned: 1}))
	})
}

// Guards against a round of refusals that all of its callers come back from in one instant.
func TestReturnsOfOneRoundOfDecisionsAreSpread(t *testing.T) {
	runFullService(t, true, func(s *fullService) {
		var requests []*assignRequest
		for i := range 200 {
			requests = append(requests, s.request(fmt.Sprint("c", i)))
		}
		byBucket, atOnce := map[time.Duration]int{}, map[time.Duration]int{}
		var decision admission.Decision
		for _, decision = range s.decideAll(requests) {
			s.Expect(decision.Reason).NotTo(gomega.BeEmpty())
			at := s.clock() + decision.RetryAfter
			byBucket[at/(100*time.Millisecond)]++
			atOnce[decision.RetryAfter]++
		}
		planned, unplanned := s.counts[returns.Planned], s.counts[returns.Unplanned]
		s.Expect(planned + unplanned).To(gomega.Equal(200))
		most, mostAtOnce := 0, 0
		for _, count := range byBucket {
			most = max(most, count)
		}
		for _, count := range atOnce {
			mostAtOnce = max(mostAtOnce, count)
		}
		t.Logf("%.1f completions per second; %d planned, %d unplanned; at most %d in 100 ms, %d at one time", decision.CompletionRate, planned, unplanned, most, mostAtOnce)
		s.Expect(most).To(gomega.BeNumerically("<=", 40))
		s.Expect(mostAtOnce).To(gomega.BeNumerically("<=", 6))
	})
}
