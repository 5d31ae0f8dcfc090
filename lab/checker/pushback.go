package checker

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Bounds for requests to a replica that sends pushback.
const (
	// reactionTime is the time that a node may take to apply the pushback of an answer.
	reactionTime = 500 * time.Millisecond
	// A replica may receive limitFactor times its rate limit plus limitSlack requests within
	// limitWindow.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// maxInPause is how many requests a node may send to a replica during a pause.
	maxInPause = 2
)

// Sent is a request that reached a replica, with the node that sent it.
type Sent struct {
	platformsim.Arrival
	Node string
	// SentAt is when the caller sent the request to the node.
	SentAt time.Time
}

// Pushback checks that nodes follow the pushback in a replica's answers.
type Pushback struct {
	// Contact is how long nodes may take to learn of a limit after the first answer with one. Drain
	// is how long a node may send requests to a replica after the first answer to it with Leaving.
	Contact, Drain time.Duration
	// Excused reports whether the node may ignore pushback between the times.
	Excused func(node string, from, to time.Time) bool
}

// RateLimit describes the worst excess of requests over the rate limit that a replica sent, or
// returns "". It covers the time from the first answer with a limit, plus Contact, to the last one.
// The highest limit sent applies.
func (p Pushback) RateLimit(sent []Sent) string {
	sorted := byArrival(sent)
	notified, rate := firstNotified(sorted, func(request Sent) bool { return request.Pushback.Limit != "" }), 0.0
	var from, to time.Time
	for _, request := range sorted {
		if request.Pushback.Limit == "" {
			continue
		}
		if from.IsZero() {
			from = request.HeadAt.Add(p.Contact)
		}
		to = request.HeadAt
		if limit, err := strconv.ParseFloat(request.Pushback.Limit, 64); err == nil {
			rate = max(rate, limit)
		}
	}
	var marks []Mark
	for _, request := range sorted {
		notifiedAt, isNotified := notified[request.Node]
		if !isNotified || request.At.Before(notifiedAt.Add(reactionTime)) || request.At.Before(from) || request.At.After(to) || p.Excused(request.Node, notifiedAt, request.At) {
			continue
		}
		marks = append(marks, Mark{At: request.At, Amount: 1})
	}
	allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
	if start, count := Worst(marks, limitWindow); count > allowed {
		return fmt.Sprintf("%.0f requests of %.0f in %v from %v on", count, allowed, limitWindow, start)
	}
	return ""
}

// Leaving describes the requests that nodes sent to a replica more than Drain after it had answered
// them that it leaves.
func (p Pushback) Leaving(sent []Sent) []string {
	sorted := byArrival(sent)
	notified := firstNotified(sorted, func(request Sent) bool { return request.Pushback.Leaving != "" })
	var violations []string
	for _, request := range sorted {
		notifiedAt, isNotified := notified[request.Node]
		if isNotified && request.SentAt.After(notifiedAt.Add(p.Drain)) && !p.Excused(request.Node, notifiedAt, request.At) {
			violations = append(violations, fmt.Sprintf("%s came from %s %v after that was told", request.ID, request.Node, request.At.Sub(notifiedAt)))
		}
	}
	return violations
}

// Pauses describes the pauses during which the node that was asked to pause sent more than maxInPause
// requests.
func (p Pushback) Pauses(sent []Sent) []string {
	sorted := byArrival(sent)
	var violations []string
	for _, rejected := range sorted {
		seconds, err := strconv.ParseFloat(rejected.Pushback.RetryAfter, 64)
		if !rejected.Rejected || err != nil {
			continue
		}
		start, end := rejected.HeadAt.Add(reactionTime), rejected.HeadAt.Add(time.Duration(seconds*float64(time.Second)))
		count := 0
		for _, request := range sorted {
			if request.Node == rejected.Node && request.At.After(start) && request.At.Before(end) {
				count++
			}
		}
		if count > maxInPause && !p.Excused(rejected.Node, rejected.HeadAt, end) {
			violations = append(violations, fmt.Sprintf("%d requests came from %s in a pause of %v from %v on", count, rejected.Node, end.Sub(rejected.HeadAt), rejected.HeadAt))
		}
	}
	return violations
}

func byArrival(sent []Sent) []Sent {
	sorted := append([]Sent{}, sent...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].At.Before(sorted[j].At) })
	return sorted
}

// firstNotified returns by node the time of its first answer that matches.
func firstNotified(sent []Sent, matches func(Sent) bool) map[string]time.Time {
	notified := map[string]time.Time{}
	for _, request := range sent {
		if request.HeadAt.IsZero() || !matches(request) {
			continue
		}
		if earliest, found := notified[request.Node]; !found || request.HeadAt.Before(earliest) {
			notified[request.Node] = request.HeadAt
		}
	}
	return notified
}
