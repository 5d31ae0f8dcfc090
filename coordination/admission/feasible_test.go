package admission

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/structs"
)

// newFeasibleScheduler returns a scheduler with the feasible order and one replica with that many slots.
func newFeasibleScheduler(slots int) *Scheduler {
	s := New()
	s.SetPolicy(Policy{FeasibleOrder: true})
	s.SetReplicas(0, replicasWithSlots(slots))
	return s
}

// occupy assigns that many requests, named run0 and so on, which do not end.
func occupy(s *Scheduler, count int) {
	for i := range count {
		s.Submit(0, newRequest(fmt.Sprint("run", i), 0))
	}
	s.Decide(0)
}

// newCaller returns a request of a caller that was not rejected before.
func newCaller(id string, priority int) Request {
	request := newRequest(id, priority)
	request.WasRejected = false
	return request
}

// learnResponseTime makes the scheduler expect responses after that time.
func learnResponseTime(s *Scheduler, response time.Duration) {
	for range 2 * minPrefillWeight {
		s.pool("s").responseTimes.observe(0, Observation{Duration: response})
	}
}

// reasons returns the reasons of the decisions by ID.
func reasons(decisions []Decision) map[string]Reason {
	reasons := map[string]Reason{}
	for _, decision := range decisions {
		reasons[decision.ID] = decision.Reason
	}
	return reasons
}

// Guards against a change of the order and the rejections while Policy.FeasibleOrder is off: they are
// compared with the rules as they were before it existed, whatever the scheduler has learned for it.
func TestWithoutFeasibleOrderDecisionsAreAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		s.SetReplicas(0, replicasWithSlots(slots))
		occupy(s, slots)
		learnResponseTime(s, time.Duration(rapid.IntRange(1, 2000).Draw(t, "response"))*ms)
		pool := s.pool("s")
		pool.overloads = map[int]overload{0: {isLasting: true}, 1: {isLasting: true}}
		type expected struct {
			Request
			at structs.Instant
		}
		var queue []expected
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			request := newRequest(fmt.Sprint(i), rapid.IntRange(0, 1).Draw(t, "priority"))
			request.WasRejected, request.HasReservation = rapid.Bool().Draw(t, "returned"), rapid.Bool().Draw(t, "reserved")
			request.AnswerTokens = rapid.SampledFrom([]int{0, 50, 100}).Draw(t, "answer")
			request.Target = time.Duration(rapid.IntRange(0, 1500).Draw(t, "target")) * ms
			request.Patience = time.Duration(rapid.IntRange(500, 3000).Draw(t, "patience")) * ms
			queue = append(queue, expected{request, structs.Instant(rapid.IntRange(0, 1000).Draw(t, "at")) * ms})
			s.Submit(queue[i].at, request)
		}
		now := structs.Instant(rapid.IntRange(1000, 2000).Draw(t, "now")) * ms
		slices.SortStableFunc(queue, func(a, b expected) int {
			if a.Priority != b.Priority {
				return cmp.Compare(a.Priority, b.Priority)
			}
			aLate, bLate := now > a.at+a.Target, now > b.at+b.Target
			switch {
			case aLate != bLate && bLate:
				return -1
			case aLate != bLate:
				return 1
			case !aLate && a.AnswerTokens != b.AnswerTokens:
				return cmp.Compare(a.AnswerTokens, b.AnswerTokens)
			}
			return cmp.Compare(a.at+a.Target, b.at+b.Target)
		})
		var rejected, kept []string
		for _, request := range queue {
			waited := now - request.at
			wait := pool.meanDuration * time.Duration(len(kept)+1) / time.Duration(slots)
			startsLate := waited+wait > time.Duration(float64(request.Target)*maxStartShare)
			if waited >= request.Patience || !request.WasRejected && startsLate && waited >= time.Duration(float64(request.Target)*backlogRejectShare) {
				rejected = append(rejected, request.ID)
			} else {
				kept = append(kept, request.ID)
			}
		}
		var rejectedIDs, keptIDs []string
		for _, decision := range s.Decide(now) {
			rejectedIDs = append(rejectedIDs, decision.ID)
		}
		for _, request := range pool.queue {
			keptIDs = append(keptIDs, request.ID)
		}
		if !slices.Equal(rejectedIDs, rejected) || !slices.Equal(keptIDs, kept) {
			t.Fatalf("rejected %v and kept %v; by the earlier rules %v and %v", rejectedIDs, keptIDs, rejected, kept)
		}
	})
}

// Guards against a wrong expected finish: it is the time of the first part of the response by prompt
// tokens, the time between assignment and send, and the deviation. A message that was sent again seconds
// later must not spoil it.
func TestExpectedFinishIsLearned(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFeasibleScheduler(1)
	now := structs.Instant(0)
	run := func(prompt int, firstEvent, transfer time.Duration) {
		request := newRequest(fmt.Sprint(now), 0)
		request.PromptTokens = prompt
		s.Submit(now, request)
		g.Expect(assignedIDs(s.Decide(now))).To(gomega.HaveLen(1))
		now += 500*ms + transfer
		s.Finish(now, request.ID, Observation{FirstEvent: firstEvent, Duration: 500 * ms, Events: 20, TokensPerEvent: 4})
	}
	g.Expect(s.pool("s").responseTimes.safeEstimate()).To(gomega.Equal(responseEstimate{}))
	for i := range 40 {
		prompt := 500 * (i%4 + 1)
		run(prompt, 50*ms+time.Duration(prompt)*20*time.Microsecond, 15*ms)
	}
	g.Expect(s.pool("s").responseTimes.safeEstimate().of(3000)).To(gomega.BeNumerically("~", (50+60+15)*ms, ms))
	for i := range 40 {
		jitter := 30 * ms
		if i%2 == 0 {
			jitter = -jitter
		}
		run(1000, 70*ms+jitter, 15*ms)
	}
	g.Expect(s.pool("s").responseTimes.safeEstimate().of(1000)).To(gomega.BeNumerically("~", (70+15+30)*ms, 8*ms))
	before := s.pool("s").responseTimes.transfer
	run(1000, 70*ms, 8*time.Second)
	g.Expect(s.pool("s").responseTimes.transfer).To(gomega.BeNumerically("<", before+maxTransferTime/5))
}

// Guards against serving a request that can't meet its target any more before one that can, and against
// the opposite error where the response time is unknown: then a request is late once its target has passed.
func TestRequestsInTimeGoBeforeThoseThatCannotMeetTheirTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, known := range []bool{true, false} {
		s := newFeasibleScheduler(1)
		occupy(s, 1)
		if known {
			learnResponseTime(s, 300*ms)
		}
		s.Submit(0, newRequest("old", 0))
		s.Submit(750*ms, newRequest("new", 0))
		s.Finish(800*ms, "run0", Observation{CallerLeft: true})
		first := "old"
		if known {
			first = "new"
		}
		g.Expect(assignedIDs(s.Decide(800*ms))).To(gomega.Equal([]string{first}), fmt.Sprint("known: ", known))
	}
}

// Guards against treating all requests as late, or rejecting them at once, where the response time is
// unknown: new requests are rejected early as without the feasible order.
func TestUnknownResponseTimeRejectsEarlyAsBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, feasible := range []bool{false, true} {
		s := New()
		s.SetPolicy(Policy{FeasibleOrder: feasible})
		s.SetReplicas(0, replicasWithSlots(1))
		occupy(s, 1)
		for i := range 4 {
			s.Submit(0, newCaller(fmt.Sprint("c", i), 0))
		}
		g.Expect(s.Decide(0)).To(gomega.BeEmpty())
		g.Expect(s.Decide(170 * ms)).To(gomega.BeEmpty())
		g.Expect(reasons(s.Decide(180*ms))).To(gomega.HaveLen(3), "the mean duration is 500 ms: only the first can start within 750 ms")
	}
}

// Guards against idle slots: requests whose targets have all passed use free slots at once, also while the
// service is overloaded.
func TestLateRequestsUseFreeSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFeasibleScheduler(3)
	occupy(s, 3)
	for i := range 3 {
		s.Submit(0, newRequest(fmt.Sprint("late", i), 0))
	}
	now := structs.Instant(1500 * ms)
	for i := range 3 {
		s.Finish(now, fmt.Sprint("run", i), Observation{CallerLeft: true})
	}
	s.pool("s").overloads = map[int]overload{0: {isLasting: true}}
	g.Expect(assignedIDs(s.Decide(now))).To(gomega.ConsistOf("late0", "late1", "late2"))
}

// overloadedScheduler returns a scheduler whose only slot is occupied and whose priority 0 was overloaded at
// the returned instant, when no request is queued.
func overloadedScheduler(g *gomega.WithT) (*Scheduler, structs.Instant) {
	s := newFeasibleScheduler(1)
	occupy(s, 1)
	s.pool("s").meanDuration = 10 * ms
	now := structs.Instant(0)
	for i := 0; !s.pool("s").overloads[0].isLasting; i++ {
		g.Expect(now).To(gomega.BeNumerically("<", 4*time.Second), "overload was not detected")
		now += 50 * ms
		s.Submit(now, newRequest(fmt.Sprint("wait", i), 0))
		s.Decide(now)
	}
	for id := range s.queued {
		s.Cancel(id)
	}
	return s, now
}

// Guards against waiting in vain: while the service is overloaded, late requests are rejected at once,
// also those of callers that returned, but not the first in the queue, which gets the next slot. Otherwise
// late requests wait.
func TestLateRequestsAreRejectedAtOnceWhileOverloaded(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := overloadedScheduler(g)
	late, returned := newCaller("late", 0), newRequest("returned", 0)
	late.Target, returned.Target = 100*ms, 100*ms
	learnResponseTime(s, 200*ms)
	s.Submit(now, newCaller("in-time", 0))
	s.Submit(now, late)
	s.Submit(now, returned)
	decisions := s.Decide(now)
	g.Expect(reasons(decisions)).To(gomega.Equal(map[string]Reason{"late": ReasonBacklog, "returned": ReasonBacklog}))
	for _, decision := range decisions {
		g.Expect(decision.RetryAfter).To(gomega.BeNumerically(">", 0))
		g.Expect(decision.LatestReturn).To(gomega.BeNumerically(">=", decision.RetryAfter))
	}

	s = newFeasibleScheduler(1)
	occupy(s, 1)
	learnResponseTime(s, 200*ms)
	s.Submit(0, newRequest("in-time", 0))
	s.Submit(0, late)
	g.Expect(s.Decide(0)).To(gomega.BeEmpty(), "not overloaded")
}

// Guards against callers that wait for all of their patience although those ahead alone need longer,
// against new ones that wait for a slot that comes too late, also as the first in the queue, and against
// rejecting a returned caller there by an expected wait.
func TestRequestsWithoutProspectAreRejectedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFeasibleScheduler(1)
	occupy(s, 1)
	s.pool("s").meanDuration = 3 * time.Second
	s.Submit(0, newRequest("first", 0))
	s.Submit(0, newRequest("second", 0))
	g.Expect(reasons(s.Decide(0))).To(gomega.Equal(map[string]Reason{"second": ReasonBacklog}))
	g.Expect(s.Decide(time.Second)).To(gomega.BeEmpty())

	s.Cancel("first")
	s.Submit(2*time.Second, newCaller("new", 0))
	g.Expect(s.Decide(2 * time.Second)).To(gomega.BeEmpty())
	g.Expect(reasons(s.Decide(2180 * ms))).To(gomega.Equal(map[string]Reason{"new": ReasonBacklog}))
}

// Guards against an order that alternates: a priority becomes overloaded only if requests always wait too
// long for some time, not in a burst, stays so while they wait at all, and leaves the state once they do
// not. Waits while slots are free do not count.
func TestOverloadHasHysteresis(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := New().pool("s")
	full := &poolSnapshot{}
	now := structs.Instant(10 * time.Second)
	below, above, between := overloadEnterShare-0.05, overloadEnterShare+0.05, overloadLeaveShare+0.05
	// play has the oldest request wait for that share of its target in each round, and returns how often
	// the state changed.
	play := func(span time.Duration, snapshot *poolSnapshot, shares ...float64) int {
		changes, round := 0, 0
		for end := now + span; now < end; now += 10 * ms {
			before := pool.overloads[3].isLasting
			request := &queuedRequest{Request: Request{Priority: 3, Target: time.Second}, lengths: pool.lengthsOf("")}
			request.submittedAt = now - shareOf(request.Target, shares[round%len(shares)])
			// A second request with a longer target must not undo what the first one shows.
			patient := &queuedRequest{Request: Request{Priority: 3, Target: 4 * time.Second}, submittedAt: now - 2*time.Second, lengths: pool.lengthsOf("")}
			pool.queue = []*queuedRequest{request}
			if shares[0] == above {
				pool.queue = append(pool.queue, patient)
			}
			pool.sortFeasible(now)
			pool.updateOverload(now, snapshot)
			if pool.overloads[3].isLasting != before {
				changes++
			}
			round++
		}
		return changes
	}
	enterTime := shareOf(time.Second, overloadEnterTime)
	g.Expect(play(10*time.Second, full, below)).To(gomega.Equal(0))
	g.Expect(play(enterTime-20*ms, full, above)).To(gomega.Equal(0), "a burst")
	g.Expect(play(10*time.Second, full, below, above)).To(gomega.Equal(0), "a wait that varies")
	g.Expect(play(10*time.Second, &poolSnapshot{freeSlots: 1, totalSlots: 4}, above)).To(gomega.Equal(0), "slots are free")
	g.Expect(play(enterTime+20*ms, full, above)).To(gomega.Equal(1))
	g.Expect(play(10*time.Second, full, between, above, below)).To(gomega.Equal(0), "between the bounds")
	g.Expect(pool.overloads[3].isLasting).To(gomega.BeTrue())
	g.Expect(play(10*time.Second, full, overloadLeaveShare-0.01)).To(gomega.Equal(1))
	g.Expect(pool.overloads).To(gomega.BeEmpty(), "states of other priorities are not kept")
}

// Guards against an overload of long ago, after which no request was queued or the feasible order was off:
// late requests were rejected at once by it.
func TestOverloadOfLongAgoIsForgotten(t *testing.T) {
	for _, switched := range []bool{false, true} {
		g := gomega.NewWithT(t)
		s, now := overloadedScheduler(g)
		if switched {
			s.SetPolicy(Policy{})
			s.SetPolicy(Policy{FeasibleOrder: true})
		}
		now += time.Hour
		learnResponseTime(s, 200*ms)
		late := newCaller("late", 0)
		late.Target = 100 * ms
		s.Submit(now, newRequest("first", 0))
		s.Submit(now, late)
		g.Expect(s.Decide(now)).To(gomega.BeEmpty())
	}
}

// Guards against a wrong order among equals: the oldest first, the newest first while overloaded, and
// callers that returned when told before both.
func TestNewestGoFirstWhileOverloaded(t *testing.T) {
	g := gomega.NewWithT(t)
	order := func(s *Scheduler, now structs.Instant) []string {
		reserved := newRequest("reserved", 0)
		reserved.HasReservation = true
		s.Submit(now, newCaller("old", 0))
		s.Submit(now+5*ms, reserved)
		s.Submit(now+10*ms, newCaller("new", 0))
		s.Decide(now + 10*ms)
		var ids []string
		for _, request := range s.pool("s").queue {
			ids = append(ids, request.ID)
		}
		return ids
	}
	s, now := overloadedScheduler(g)
	g.Expect(order(s, now)).To(gomega.Equal([]string{"reserved", "new", "old"}))
	s = newFeasibleScheduler(1)
	occupy(s, 1)
	g.Expect(order(s, 0)).To(gomega.Equal([]string{"reserved", "old", "new"}))
}

// Guards against breaking strict priorities: a request of a higher priority goes first, also if it is late
// and a lower one in time, and is not rejected because a lower priority is overloaded.
func TestFeasibleOrderKeepsPriorities(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFeasibleScheduler(1)
	occupy(s, 1)
	s.pool("s").overloads = map[int]overload{2: {isLasting: true}}
	urgent := newRequest("urgent", 0)
	urgent.Target = 0
	s.Submit(0, newCaller("low", 2))
	s.Submit(0, newRequest("urgent-in-time", 0))
	s.Submit(0, urgent)
	g.Expect(s.Decide(ms)).To(gomega.BeEmpty())
	s.Finish(2*ms, "run0", Observation{CallerLeft: true})
	g.Expect(assignedIDs(s.Decide(2 * ms))).To(gomega.Equal([]string{"urgent-in-time"}))
	s.Finish(3*ms, "urgent-in-time", Observation{CallerLeft: true})
	g.Expect(assignedIDs(s.Decide(3 * ms))).To(gomega.Equal([]string{"urgent"}))
}

// Guards against a request that becomes late because it is kept from a free slot for the sake of other
// streams.
func TestStreamProtectionEndsBeforeARequestIsLate(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFeasibleScheduler(2)
	occupy(s, 1)
	learnResponseTime(s, 500*ms)
	s.replicaState("r0").speed.stepTime = 20 * ms
	request := newRequest("a", 0)
	request.MaxEventGap = 10 * ms
	s.Submit(0, request)
	g.Expect(s.Decide(440*ms)).To(gomega.BeEmpty(), "it waits for a replica without streams")
	g.Expect(assignedIDs(s.Decide(460 * ms))).To(gomega.Equal([]string{"a"}))
}
