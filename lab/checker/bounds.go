package checker

import (
	"fmt"
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Mark is an amount that counts against a bound at a point in time.
type Mark struct {
	At     time.Time
	Amount float64
}

// Worst returns the largest sum of marks within any window of the length, and the start of that
// window.
func Worst(marks []Mark, window time.Duration) (start time.Time, sum float64) {
	sorted := append([]Mark{}, marks...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].At.Before(sorted[j].At) })
	inside, first := 0.0, 0
	for _, mark := range sorted {
		inside += mark.Amount
		for mark.At.Sub(sorted[first].At) >= window {
			inside -= sorted[first].Amount
			first++
		}
		if inside > sum {
			start, sum = sorted[first].At, inside
		}
	}
	return start, sum
}

// RetryBound bounds the retries that a service may receive within a window: Ratio times its requests
// plus Slack. The requests are those of the window, of the preceding one or of the one that starts
// half a window earlier, whichever has the most.
type RetryBound struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Excess is the window whose retries exceed the allowed number most, or fall short of it least.
type Excess struct {
	Start            time.Time
	Retries, Allowed float64
}

// Over returns by how much the retries exceed the allowed number; negative if they fall short of it.
func (e Excess) Over() float64 { return e.Retries - e.Allowed }

func (e Excess) String() string {
	return fmt.Sprintf("%.0f repeats of %.0f allowed", e.Retries, e.Allowed)
}

// Retries returns a mark for each arrival that was not the first of its request.
func Retries(arrivals []platformsim.Arrival) []Mark {
	sorted := append([]platformsim.Arrival{}, arrivals...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].At.Before(sorted[j].At) })
	seen := map[string]bool{}
	var retries []Mark
	for _, arrival := range sorted {
		if seen[arrival.ID] {
			retries = append(retries, Mark{At: arrival.At, Amount: 1})
		}
		seen[arrival.ID] = true
	}
	return retries
}

// Worst returns the window of a service whose retries exceed the bound most, or come closest to it.
// It examines only windows that start at a retry; no other window contains more retries.
func (b RetryBound) Worst(requests []time.Time, arrivals []platformsim.Arrival) Excess {
	sortedRequests := append([]time.Time{}, requests...)
	sort.Slice(sortedRequests, func(i, j int) bool { return sortedRequests[i].Before(sortedRequests[j]) })
	retries := Retries(arrivals)
	worst, found := Excess{}, false
	for first, retry := range retries {
		inside := 0.0
		for _, other := range retries[first:] {
			if other.At.Sub(retry.At) >= b.Window {
				break
			}
			inside += other.Amount
		}
		excess := Excess{Start: retry.At, Retries: inside, Allowed: b.Ratio*float64(b.maxRequests(sortedRequests, retry.At)) + b.Slack}
		if !found || excess.Over() > worst.Over() {
			worst, found = excess, true
		}
	}
	return worst
}

// maxRequests returns the number of requests that Ratio applies to for the window with the start.
func (b RetryBound) maxRequests(sortedRequests []time.Time, start time.Time) int {
	count := 0
	for _, earlier := range []time.Duration{0, b.Window / 2, b.Window} {
		from := start.Add(-earlier)
		first := sort.Search(len(sortedRequests), func(i int) bool { return !sortedRequests[i].Before(from) })
		last := sort.Search(len(sortedRequests), func(i int) bool { return !sortedRequests[i].Before(from.Add(b.Window)) })
		count = max(count, last-first)
	}
	return count
}
