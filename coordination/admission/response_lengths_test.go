package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// runningRequest is a request that a replica runs.
type runningRequest struct {
	id     string
	answer int
	endsAt structs.Instant
}

// servedUnderOverload simulates four replicas with four slots each, which get twice as many requests of
// one route as they can serve. One answer in ten is ten times as long as the others. It returns the
// served share of the short and of the long ones.
func servedUnderOverload(policy Policy, span time.Duration) (short, long float64) {
	const (
		shortAnswer, longAnswer = 60, 600
		step                    = 5 * ms
		// meanTime is the mean time of an answer: sixteen slots serve 16/meanTime requests a second.
		meanTime = time.Duration(0.9*shortAnswer+0.1*longAnswer) * step
		gap      = meanTime / 16 / 2
	)
	random := rand.New(rand.NewPCG(1, 2))
	s := New()
	s.SetPolicy(policy)
	s.SetReplicas(0, replicasWithSlots(4, 4, 4, 4))
	submitted, served := map[int]int{}, map[int]int{}
	answers := map[string]int{}
	var inFlight []runningRequest
	next := structs.Instant(0)
	for now := structs.Instant(0); now < span; now += 2 * ms {
		for ; next <= now; next += gap {
			request := newRequest(fmt.Sprint("q", next), 2)
			request.AnswerTokens, request.WasRejected, request.Deadline = shortAnswer, false, 15*time.Second
			if random.IntN(10) == 0 {
				request.AnswerTokens = longAnswer
			}
			answers[request.ID] = request.AnswerTokens
			submitted[request.AnswerTokens]++
			s.Submit(now, request)
		}
		var unfinished []runningRequest
		for _, running := range inFlight {
			if running.endsAt > now {
				unfinished = append(unfinished, running)
				continue
			}
			s.Finish(now, running.id, Observation{Duration: time.Duration(running.answer) * step, Events: running.answer, TokensPerEvent: 1, FirstEvent: step})
		}
		inFlight = unfinished
		for _, id := range assignedIDs(s.Decide(now)) {
			inFlight = append(inFlight, runningRequest{id: id, answer: answers[id], endsAt: now + time.Duration(answers[id])*step})
			served[answers[id]]++
		}
	}
	return float64(served[shortAnswer]) / float64(submitted[shortAnswer]), float64(served[longAnswer]) / float64(submitted[longAnswer])
}

// Guards against starving long answers under lasting overload: their served share must be at least half
// that of all requests.
func TestLongestAnswersAreServedUnderOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, policy := range []Policy{{}, {FeasibleOrder: true}} {
		short, long := servedUnderOverload(policy, time.Minute)
		all := 0.9*short + 0.1*long
		t.Logf("%+v: served share: %.2f of the short answers, %.2f of the long ones", policy, short, long)
		g.Expect(all).To(gomega.BeNumerically(">", 0.4), "the slots are used")
		g.Expect(long).To(gomega.BeNumerically(">", all/2))
	}
}
