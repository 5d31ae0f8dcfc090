package checker

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Guards against a window that is missed because it doesn't start at a whole second.
func TestWorstConsidersWindowsThatStartAtAnyMoment(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	marks := []Mark{{at(0), 5}, {at(9.5), 3}, {at(12), 4}, {at(19.4), 2}, {at(19.5), 7}}
	from, sum := Worst(marks, 10*time.Second)
	g.Expect(sum).To(gomega.Equal(13.0))
	g.Expect(from).To(gomega.Equal(at(12)))
}

// Guards against a bound that counts the requests of too few or too many windows.
func TestRetryBoundUsesTheBusiestOfThisAndThePrecedingWindows(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	var requests []time.Time
	for i := range 100 {
		requests = append(requests, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	var arrivals []platformsim.Arrival
	for i := range 12 {
		for range 3 {
			arrivals = append(arrivals, platformsim.Arrival{ID: strconv.Itoa(i), At: start.Add(12 * time.Second)})
		}
	}
	bound := RetryBound{Ratio: 0.2, Slack: 3, Window: 10 * time.Second}
	worst := bound.Worst(requests, arrivals)
	g.Expect(worst.Retries).To(gomega.Equal(24.0))
	g.Expect(worst.Allowed).To(gomega.Equal(0.2*80 + 3)) // the window from 2 s on has the most requests
	g.Expect(worst.Over()).To(gomega.BeNumerically(">", 0))
}
