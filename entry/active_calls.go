package entry

import (
	"context"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// age returns for how long this node has had the request.
func (c *call) age() time.Duration { return c.node.now() - c.arrived }

// remaining returns what is left of the caller's or the route's time, and zero once it is over.
func (c *call) remaining() time.Duration { return max(c.deadline-c.node.now(), 0) }

// activeCalls has the requests of callers in progress. Their contexts end by timers, which stand
// still while the machine is suspended; the callers' time goes on.
type activeCalls struct {
	mutex sync.Mutex
	calls map[*call]context.CancelFunc
}

// add enters the request, and returns what takes it out.
func (s *activeCalls) add(c *call, cancel context.CancelFunc) func() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.calls == nil {
		s.calls = map[*call]context.CancelFunc{}
	}
	s.calls[c] = cancel
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.calls, c)
	}
}

// endOverdue ends the requests whose time is over, and returns how many these are.
func (s *activeCalls) cancelExpired(now structs.Instant) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ended := 0
	for c, cancel := range s.calls {
		if now >= c.deadline {
			cancel()
			ended++
		}
	}
	return ended
}
