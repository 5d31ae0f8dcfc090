package entry

import (
	"context"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// age returns the time since the request arrived at this node.
func (c *call) age() time.Duration { return c.node.now() - c.arrived }

// remaining returns the time left until the request's deadline; zero once it has passed.
func (c *call) remaining() time.Duration { return max(c.deadline-c.node.now(), 0) }

// activeCalls holds the callers' requests in progress. Their contexts end by timers, which stop
// while the machine is suspended although the deadlines don't; see cancelExpired.
type activeCalls struct {
	mutex sync.Mutex
	calls map[*call]context.CancelCauseFunc
	// isEnded is true once endAll was called.
	isEnded bool
}

// add enters the request and returns a function that removes it.
func (s *activeCalls) add(c *call, end context.CancelCauseFunc) func() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.calls == nil {
		s.calls = map[*call]context.CancelCauseFunc{}
	}
	s.calls[c] = end
	if s.isEnded {
		end(errStopping)
	}
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.calls, c)
	}
}

// cancelExpired cancels the requests whose deadline has passed and returns their number.
func (s *activeCalls) cancelExpired(now structs.Instant) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	cancelled := 0
	for c, end := range s.calls {
		if now >= c.deadline {
			end(nil)
			cancelled++
		}
	}
	return cancelled
}

// endAll ends the requests, and those that are added later, with errStopping, and returns their number.
func (s *activeCalls) endAll() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isEnded = true
	for _, end := range s.calls {
		end(errStopping)
	}
	return len(s.calls)
}

// interruptWrites ends the writes of responses to callers.
func (s *activeCalls) interruptWrites() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.calls {
		c.interruptWrite()
	}
}
