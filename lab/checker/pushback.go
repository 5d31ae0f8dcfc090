package checker

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Bounds of what a replica may get that says in its answers to hold requests back.
const (
	// toldAfter is the time after an answer from which its node goes by it.
	toldAfter = 500 * time.Millisecond
	// limitWindow is the time over which a rate limit is counted; limitFactor times what that
	// allows, and limitSlack requests on top, may come in it.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// mostInPause is how many requests of one node may reach a replica that asked it to pause.
	mostInPause = 2
)

// Sent is a request that reached a replica, with the node that sent it and when its caller did.
type Sent struct {
	platformsim.Arrival
	Node string
	// Asked is when the caller sent it to the node.
	Asked time.Time
}

// Pushback judges whether nodes keep what a replica says in its answers.
type Pushback struct {
	// Contact is the time from the first answer with a limit on in which nodes hear of it, and
	// Drain that in which a replica that leaves may still get requests.
	Contact, Drain time.Duration
	// Excused returns whether a node may not have kept what it was told, in the time given.
	Excused func(node string, from, to time.Time) bool
}

// RateLimit returns what a replica got beyond the limit that it names, from the first answer that
// names it to the last one: the worst excess in words, or "".
func (p Pushback) RateLimit(sent []Sent) string {
	sorted := byArrival(sent)
	told, rate := firstTold(sorted, func(one Sent) bool { return one.Said.Limit != "" }), 0.0
	var from, to time.Time
	for _, one := range sorted {
		if one.Said.Limit == "" {
			continue
		}
		if from.IsZero() {
			from = one.HeadAt.Add(p.Contact)
		}
		to = one.HeadAt
		if named, err := strconv.ParseFloat(one.Said.Limit, 64); err == nil {
			rate = max(rate, named)
		}
	}
	var marks []Mark
	for _, one := range sorted {
		heard, isTold := told[one.Node]
		if !isTold || one.At.Before(heard.Add(toldAfter)) || one.At.Before(from) || one.At.After(to) || p.Excused(one.Node, heard, one.At) {
			continue
		}
		marks = append(marks, Mark{At: one.At, Amount: 1})
	}
	allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
	if begins, count := Worst(marks, limitWindow); count > allowed {
		return fmt.Sprintf("%.0f requests of %.0f in %v from %v on", count, allowed, limitWindow, begins)
	}
	return ""
}

// Leaving returns the requests that a replica got from nodes that it had told that it leaves.
func (p Pushback) Leaving(sent []Sent) []string {
	sorted := byArrival(sent)
	told := firstTold(sorted, func(one Sent) bool { return one.Said.Leaving != "" })
	var late []string
	for _, one := range sorted {
		heard, isTold := told[one.Node]
		if isTold && one.Asked.After(heard.Add(p.Drain)) && !p.Excused(one.Node, heard, one.At) {
			late = append(late, fmt.Sprintf("%s came from %s %v after that was told", one.ID, one.Node, one.At.Sub(heard)))
		}
	}
	return late
}

// Pauses returns the pauses in which a replica got too many requests of the node that it had asked.
func (p Pushback) Pauses(sent []Sent) []string {
	sorted := byArrival(sent)
	var broken []string
	for _, asked := range sorted {
		seconds, err := strconv.ParseFloat(asked.Said.RetryAfter, 64)
		if !asked.Refused || err != nil {
			continue
		}
		begins, ends := asked.HeadAt.Add(toldAfter), asked.HeadAt.Add(time.Duration(seconds*float64(time.Second)))
		count := 0
		for _, one := range sorted {
			if one.Node == asked.Node && one.At.After(begins) && one.At.Before(ends) {
				count++
			}
		}
		if count > mostInPause && !p.Excused(asked.Node, asked.HeadAt, ends) {
			broken = append(broken, fmt.Sprintf("%d requests came from %s in a pause of %v from %v on", count, asked.Node, ends.Sub(asked.HeadAt), asked.HeadAt))
		}
	}
	return broken
}

func byArrival(sent []Sent) []Sent {
	sorted := append([]Sent{}, sent...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].At.Before(sorted[j].At) })
	return sorted
}

// firstTold returns when each node first got an answer that says so.
func firstTold(sent []Sent, says func(Sent) bool) map[string]time.Time {
	told := map[string]time.Time{}
	for _, one := range sent {
		if one.HeadAt.IsZero() || !says(one) {
			continue
		}
		if known, found := told[one.Node]; !found || one.HeadAt.Before(known) {
			told[one.Node] = one.HeadAt
		}
	}
	return told
}
