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

// lateTimers is how late the timers of a node are.
type delayedTimers struct{ delay atomic.Int64 }

func (l *delayedTimers) sleep(pause time.Duration) time.Duration {
	time.Sleep(pause)
	return time.Duration(l.delay.Load())
}

// playSpeeds plays a deployment in which the speed of each node can be set.
func runWithDelayedTimers(t *testing.T, test func(s *scenario, speeds map[string]*delayedTimers)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}
		speeds := map[string]*delayedTimers{}
		for _, host := range hosts {
			speeds[host] = &delayedTimers{}
		}
		s.sleep = func(host string) func(time.Duration) time.Duration { return speeds[host].sleep }
		s.start(hosts, []string{"east", "west"}, func(*entry.Settings) {})
		s.awaitReady()
		defer s.stop(hosts)
		time.Sleep(time.Second)
		test(s, speeds)
	})
}

// A scheduling node on a machine that turned slow kept the schedule for as long as its
// heartbeats came, and half of all decisions took 0.2 to 2 s.
func TestSlowSchedulingNodeIsReplaced(t *testing.T) {
	runWithDelayedTimers(t, func(s *scenario, speeds map[string]*delayedTimers) {
		first := s.scheduler()
		speeds[first].delay.Store(int64(3 * time.Millisecond))
		time.Sleep(500 * time.Millisecond)
		second := s.scheduler()
		s.Expect(second).NotTo(gomega.Equal(first))
		for _, host := range hosts {
			s.Expect(s.deployment.Node(host).Status().Scheduler).To(gomega.Equal(second), host)
			s.Expect(s.do(host, http.MethodGet, "/safe/x", nil).status).To(gomega.Equal(http.StatusOK), host)
		}
		speeds[first].delay.Store(0)
		time.Sleep(2 * time.Second)
		s.Expect(s.scheduler()).To(gomega.Equal(second), "the schedule does not move at once")
		time.Sleep(5 * time.Second)
		s.Expect(s.scheduler()).To(gomega.Equal(first))
	})
}

// Where every node is slow, one of them has to schedule, and the same for all.
func TestSchedulerDoesNotChangeWhenAllNodesAreSlow(t *testing.T) {
	runWithDelayedTimers(t, func(s *scenario, speeds map[string]*delayedTimers) {
		for _, host := range hosts {
			speeds[host].delay.Store(int64(5 * time.Millisecond))
		}
		time.Sleep(2 * time.Second)
		before := len(s.loggedEvents("scheduler"))
		time.Sleep(20 * time.Second)
		s.Expect(s.loggedEvents("scheduler")).To(gomega.HaveLen(before), "the schedule does not go round")
		for _, host := range hosts {
			s.Expect(s.deployment.Node(host).Status().Scheduler).To(gomega.Equal(s.scheduler()), host)
			s.Expect(s.do(host, http.MethodGet, "/safe/x", nil).status).To(gomega.Equal(http.StatusOK), host)
		}
	})
}
