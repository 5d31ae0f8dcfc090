package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// longLoadOutcome counts the ends of one priority's requests.
type longLoadOutcome struct{ requested, inTime, late, refused, refusedEarly int }

// playLongResponses runs 40 slots for 40 s. Requests of priority 0 take 300 ms and need the mean share
// of the slots, and 0.2 more or less in a wave of 17 s. Requests of priority 2 have responses of 1.8 s,
// whose first event comes 150 ms after the assignment, and arrive at twice the rate that the slots that
// are left can serve. Rejected callers return once. The event gap that they allow makes requests of
// priority 2 wait for an idle replica as long as streams are protected. RefusedEarly counts refusals within
// a quarter of the target.
func playLongResponses(policy Policy, meanShare float64, seed uint64) map[int]longLoadOutcome {
	const (
		slots      = 40
		shortTime  = 300 * ms
		longTime   = 1800 * ms
		firstEvent = 150 * ms
	)
	random := rand.New(rand.NewPCG(seed, 2))
	s := New()
	s.SetPolicy(policy)
	s.SetReplicas(0, replicasWithSlots(4, 4, 4, 4, 4, 4, 4, 4, 4, 4))
	outcomes := map[int]longLoadOutcome{}
	submitted := map[string]Request{}
	submittedAt := map[string]structs.Instant{}
	type running struct {
		id               string
		startedAt, endAt structs.Instant
	}
	var inFlight []running
	next := map[int]structs.Instant{}
	var returning []Request
	returnAt := map[string]structs.Instant{}
	for now := structs.Instant(0); now < 40*time.Second; now += 4 * ms {
		used := meanShare + 0.2*math.Sin(2*math.Pi*now.Seconds()/17)
		rates := map[int]float64{0: slots * used / shortTime.Seconds(), 2: 2 * slots * (1 - used) / longTime.Seconds()}
		for _, priority := range []int{0, 2} {
			for ; next[priority] <= now; next[priority] += time.Duration(random.ExpFloat64() / rates[priority] * float64(time.Second)) {
				request := Request{ID: fmt.Sprint(priority, next[priority]), Node: "n", Service: "s", Route: fmt.Sprint(priority), Priority: priority, PromptTokens: 543, AnswerTokens: 70, Target: 600 * ms, Deadline: 6 * time.Second, Patience: 2700 * ms}
				if priority == 2 {
					request.AnswerTokens, request.Target, request.Deadline, request.Patience = 230+random.IntN(100), time.Second, 15*time.Second, 1800*ms
					request.Yields, request.MaxEventGap, request.TokensPerEvent = true, 30*ms, 4
				}
				submitted[request.ID], submittedAt[request.ID] = request, now
				s.Submit(now, request)
			}
		}
		var waiting []Request
		for _, request := range returning {
			if returnAt[request.ID] > now {
				waiting = append(waiting, request)
				continue
			}
			submitted[request.ID], submittedAt[request.ID] = request, now
			s.Submit(now, request)
		}
		returning = waiting
		var unfinished []running
		for _, r := range inFlight {
			if r.endAt > now {
				unfinished = append(unfinished, r)
				continue
			}
			s.Finish(now, r.id, Observation{Duration: now - r.startedAt, FirstEvent: firstEvent, Events: submitted[r.id].AnswerTokens / 4, TokensPerEvent: 4})
		}
		inFlight = unfinished
		for _, decision := range s.Decide(now) {
			request := submitted[decision.ID]
			outcome := outcomes[request.Priority]
			outcome.requested++
			waited := now - submittedAt[decision.ID]
			switch {
			case decision.Reason != ReasonNone:
				outcome.refused++
				if waited <= request.Target/4 {
					outcome.refusedEarly++
				}
				if !request.WasRejected {
					request.ID, request.WasRejected = "back"+request.ID, true
					returning = append(returning, request)
					returnAt[request.ID] = now + decision.RetryAfter
				}
			case waited+firstEvent <= request.Target:
				outcome.inTime++
			default:
				outcome.late++
			}
			outcomes[request.Priority] = outcome
			if decision.Reason == ReasonNone {
				took := shortTime
				if request.Priority == 2 {
					took = time.Duration(request.AnswerTokens) * longTime / 280
				}
				inFlight = append(inFlight, running{decision.ID, now, now + took})
			}
		}
	}
	return outcomes
}

// Guards against slots for requests of the lowest priority whose target has passed while newer ones that
// could be in time wait behind them and become late as well, and against a higher priority that loses by
// the measures against overload.
func TestLongResponsesOfTheLowestPriorityAreServedInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, meanShare := range []float64{0.5, 0.75} {
		sum := func(policy Policy) map[int]longLoadOutcome {
			outcomes := map[int]longLoadOutcome{}
			for seed := range uint64(2) {
				for priority, outcome := range playLongResponses(policy, meanShare, seed) {
					total := outcomes[priority]
					total.requested += outcome.requested
					total.inTime += outcome.inTime
					total.late += outcome.late
					total.refused += outcome.refused
					total.refusedEarly += outcome.refusedEarly
					outcomes[priority] = total
				}
			}
			return outcomes
		}
		before, after := sum(Policy{}), sum(Policy{FeasibleOrder: true})
		t.Logf("mean share %v by target: %+v", meanShare, before)
		t.Logf("mean share %v feasible:  %+v", meanShare, after)
		g.Expect(after[2].inTime).To(gomega.BeNumerically(">", before[2].inTime))
		g.Expect(after[2].late).To(gomega.BeNumerically("<", before[2].late))
		g.Expect(after[0].inTime).To(gomega.BeNumerically(">", before[0].inTime-before[0].requested/100), "the higher priority gets no less")
	}
}
