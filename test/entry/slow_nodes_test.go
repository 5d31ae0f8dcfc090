package entry

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/memnet"
)

// delayedTimers delays the timers of a node by a duration in nanoseconds.
type delayedTimers struct{ delay atomic.Int64 }

// sleep sleeps for the duration and returns the delay.
func (d *delayedTimers) sleep(duration time.Duration) time.Duration {
	time.Sleep(duration)
	return time.Duration(d.delay.Load())
}

// runWithDelayedTimers runs the test with the timers of each node, by host.
func runWithDelayedTimers(t *testing.T, test func(s *scenario, timers map[string]*delayedTimers)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}
		timers := map[string]*delayedTimers{}
		for _, host := range hosts {
			timers[host] = &delayedTimers{}
		}
		s.sleep = func(host string) func(time.Duration) time.Duration { return timers[host].sleep }
		s.start(hosts, []string{"east", "west"}, func(*entry.Settings) {})
		s.awaitReady()
		defer s.stop(hosts)
		time.Sleep(time.Second)
		test(s, timers)
	})
}

// Guards against a slow node that keeps scheduling as long as its heartbeats arrive.
func TestSlowSchedulingNodeIsReplaced(t *testing.T) {
	runWithDelayedTimers(t, func(s *scenario, timers map[string]*delayedTimers) {
		first := s.scheduler()
		timers[first].delay.Store(int64(3 * time.Millisecond))
		time.Sleep(500 * time.Millisecond)
		second := s.scheduler()
		s.Expect(second).NotTo(gomega.Equal(first))
		for _, host := range hosts {
			s.Expect(s.deployment.Node(host).Status().Scheduler).To(gomega.Equal(second), host)
			s.Expect(s.do(host, http.MethodGet, "/safe/x", nil).status).To(gomega.Equal(http.StatusOK), host)
		}
		timers[first].delay.Store(0)
		time.Sleep(2 * time.Second)
		s.Expect(s.scheduler()).To(gomega.Equal(second), "the scheduling node does not change back at once")
		time.Sleep(5 * time.Second)
		s.Expect(s.scheduler()).To(gomega.Equal(first))
	})
}

// Guards against a scheduling node that keeps changing, or no scheduling node, when all nodes are slow.
func TestSchedulerDoesNotChangeWhenAllNodesAreSlow(t *testing.T) {
	runWithDelayedTimers(t, func(s *scenario, timers map[string]*delayedTimers) {
		for _, host := range hosts {
			timers[host].delay.Store(int64(5 * time.Millisecond))
		}
		time.Sleep(2 * time.Second)
		before := len(s.loggedEvents("scheduler"))
		time.Sleep(20 * time.Second)
		s.Expect(s.loggedEvents("scheduler")).To(gomega.HaveLen(before), "scheduler changes")
		for _, host := range hosts {
			s.Expect(s.deployment.Node(host).Status().Scheduler).To(gomega.Equal(s.scheduler()), host)
			s.Expect(s.do(host, http.MethodGet, "/safe/x", nil).status).To(gomega.Equal(http.StatusOK), host)
		}
	})
}
