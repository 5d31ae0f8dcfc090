package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// running is a request that a replica works on.
type runningRequest struct {
	id     string
	answer int
	endsAt structs.Instant
}

// overload plays requests of one route on four replicas of four slots for so long, twice as many as
// these can serve. Nine in ten answers are short, one in ten is ten times as long. It returns the
// share of each that was served.
func servedUnderOverload(span time.Duration) (short, long float64) {
	const (
		shortAnswer, longAnswer = 60, 600
		step                    = 5 * ms
		// meanTime is that of an answer, so that sixteen slots serve 16/meanTime a second.
		meanTime = time.Duration(0.9*shortAnswer+0.1*longAnswer) * step
		gap      = meanTime / 16 / 2
	)
	random := rand.New(rand.NewPCG(1, 2))
	s := New()
	s.SetReplicas(0, replicasWithSlots(4, 4, 4, 4))
	asked, served := map[int]int{}, map[int]int{}
	answers := map[string]int{}
	var busy []runningRequest
	next := structs.Instant(0)
	for now := structs.Instant(0); now < span; now += 2 * ms {
		for ; next <= now; next += gap {
			asking := newRequest(fmt.Sprint("q", next), 2)
			asking.Answer, asking.Returned, asking.Deadline = shortAnswer, false, 15*time.Second
			if random.IntN(10) == 0 {
				asking.Answer = longAnswer
			}
			answers[asking.ID] = asking.Answer
			asked[asking.Answer]++
			s.Submit(now, asking)
		}
		var left []runningRequest
		for _, one := range busy {
			if one.endsAt > now {
				left = append(left, one)
				continue
			}
			s.Finish(now, one.id, Observation{Duration: time.Duration(one.answer) * step, Events: one.answer, Stride: 1, FirstEvent: step})
		}
		busy = left
		for _, id := range assignedIDs(s.Decide(now)) {
			busy = append(busy, runningRequest{id: id, answer: answers[id], endsAt: now + time.Duration(answers[id])*step})
			served[answers[id]]++
		}
	}
	return float64(served[shortAnswer]) / float64(asked[shortAnswer]), float64(served[longAnswer]) / float64(asked[longAnswer])
}

// Under an excess that lasts, the shortest first means the longest never: of the largest tenth of one
// kind of request a fifth was served, of all of that kind more than half. Users bound that at a half.
func TestLongestAnswersAreServedUnderOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	short, long := servedUnderOverload(time.Minute)
	all := 0.9*short + 0.1*long
	t.Logf("served: %.2f of the short, %.2f of the long", short, long)
	g.Expect(all).To(gomega.BeNumerically(">", 0.4), "the places are used")
	g.Expect(long).To(gomega.BeNumerically(">", all/2))
}
