package entry

import (
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/coordination/stops"
	"github.com/thornwalk/thornwalk/structs"
)

// waits holds the requests that wait for their body or a slot. It is safe for concurrent use.
type waits struct {
	mutex   sync.Mutex
	waiting map[*wait]struct{}
}

// wait is a request that waits.
type wait struct {
	waits    *waits
	kind     stops.Kind
	facts    stops.Request
	deadline structs.Instant
	// giveUp ends the wait. It is called at most once, with the mutex held, and not after end.
	giveUp    func()
	isGivenUp bool
}

// beginWait records that the request waits until end is called.
func (c *call) beginWait(giveUp func()) *wait {
	n := c.node
	w := &wait{waits: &n.waits, kind: c.kind(), facts: c.facts(), deadline: c.deadline, giveUp: giveUp}
	n.waits.mutex.Lock()
	defer n.waits.mutex.Unlock()
	if n.waits.waiting == nil {
		n.waits.waiting = map[*wait]struct{}{}
	}
	n.waits.waiting[w] = struct{}{}
	if since := n.stoppingFor(); since > 0 {
		w.giveUpIfLate(n.stopPlan(), since, n.now(), n.times.Expect(n.now(), w.kind))
	}
	return w
}

// end records that the wait has ended, and reports whether it was given up.
func (w *wait) end() bool {
	w.waits.mutex.Lock()
	defer w.waits.mutex.Unlock()
	delete(w.waits.waiting, w)
	return w.isGivenUp
}

// giveUpIfLate gives the wait up if the request may not be written any more.
func (w *wait) giveUpIfLate(plan stops.Plan, since time.Duration, now structs.Instant, expected stops.Expectation) {
	request := w.facts
	request.Remaining, request.Expected = max(w.deadline-now, 0), expected
	if !w.isGivenUp && since >= plan.Decide(since, request).WriteBy {
		w.isGivenUp = true
		w.giveUp()
	}
}

// giveUpLate gives up the waits of the requests that may not be written any more, as the node is stopping.
func (s *waits) giveUpLate(n *Node) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	plan, since, now := n.stopPlan(), n.stoppingFor(), n.now()
	expected := map[stops.Kind]stops.Expectation{}
	for waiting := range s.waiting {
		if _, isKnown := expected[waiting.kind]; !isKnown {
			expected[waiting.kind] = n.times.Expect(now, waiting.kind)
		}
		waiting.giveUpIfLate(plan, since, now, expected[waiting.kind])
	}
}
