package stops

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

const second = structs.Instant(time.Second)

var kind = Kind{Service: "s", Route: "r"}

// observe records that so many requests took the time each, one after the other, and returns when the last one ended.
func observe(times *Times, now structs.Instant, count int, took time.Duration) structs.Instant {
	for range count {
		run := times.Begin(now, kind)
		now += took
		times.End(now, run, true)
	}
	return now
}

// Guards against an expectation without an observation, and one that a single slow request determines.
func TestExpectationFollowsMostRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	var times Times
	g.Expect(times.Expect(0, kind)).To(gomega.Equal(Expectation{}))
	now := observe(&times, 0, 1, 5*time.Second)
	now = observe(&times, now, 20, 30*time.Millisecond)
	expected := times.Expect(now, kind)
	g.Expect(expected.IsKnown).To(gomega.BeTrue())
	g.Expect(expected.TypicalWork).To(gomega.Equal(30 * time.Millisecond))
	g.Expect(expected.LongWork).To(gomega.Equal(83 * time.Millisecond))
	now = observe(&times, now, observedRequests, 2*time.Second)
	g.Expect(times.Expect(now, kind).TypicalWork).To(gomega.Equal(2*time.Second), "the service is slower now")
	g.Expect(times.Expect(now, Kind{Service: "s", Route: "other"}).IsKnown).To(gomega.BeFalse())
}

// Guards against a service that turns slow and is expected to be fast until the first slow request ends; one request at a
// silent replica tells nothing of the others.
func TestRunningRequestsTellThatAServiceTurnedSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	var times Times
	now := observe(&times, 0, observedRequests, 30*time.Millisecond)
	times.Begin(now, kind)
	g.Expect(times.Expect(now+second, kind).LongWork).To(gomega.BeNumerically("<", 100*time.Millisecond))
	for range 8 {
		times.Begin(now, kind)
	}
	g.Expect(times.Expect(now+second, kind).LongWork).To(gomega.BeNumerically(">", 2*time.Second))
}

// Guards against requests that fail early and count as fast, and ones that never end and count as nothing.
func TestFailedRequestsDoNotCountAsFast(t *testing.T) {
	g := gomega.NewWithT(t)
	var times Times
	now := observe(&times, 0, observedRequests, time.Second)
	for range observedRequests {
		times.End(now+second/100, times.Begin(now, kind), false)
	}
	g.Expect(times.Expect(now, kind).TypicalWork).To(gomega.Equal(time.Second))
	for range observedRequests {
		run := times.Begin(now, kind)
		times.End(now+4*second, run, false)
		times.End(now+9*second, run, true)
	}
	g.Expect(times.Expect(now, kind).TypicalWork).To(gomega.Equal(4 * time.Second))
}

// Guards against memory that grows with each route that a configuration ever had.
func TestKindsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var times Times
	for number := range 3 * maxKinds {
		times.Waited(Kind{Route: fmt.Sprint(number)}, time.Second)
	}
	g.Expect(len(times.kinds)).To(gomega.BeNumerically("<=", maxKinds))
}
