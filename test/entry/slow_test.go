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
type lateTimers struct{ late atomic.Int64 }

func (l *lateTimers) sleep(pause time.Duration) time.Duration {
	time.Sleep(pause)
	return time.Duration(l.late.Load())
}

// playSpeeds plays a deployment in which the speed of each node can be set.
func playSpeeds(t *testing.T, test func(s *scene, speeds map[string]*lateTimers)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &scene{WithT: gomega.NewWithT(t), fabric: memnet.New()}
		speeds := map[string]*lateTimers{}
		for _, host := range hosts {
			speeds[host] = &lateTimers{}
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
func TestASchedulingNodeThatTurnsSlowGivesWay(t *testing.T) {
	playSpeeds(t, func(s *scene, speeds map[string]*lateTimers) {
		first := s.scheduler()
		speeds[first].late.Store(int64(3 * time.Millisecond))
		time.Sleep(500 * time.Millisecond)
		second := s.scheduler()
		s.Expect(second).NotTo(gomega.Equal(first))
		for _, host := range hosts {
			s.Expect(s.lab.Node(host).Status().Scheduler).To(gomega.Equal(second), host)
			s.Expect(s.get(host, http.MethodGet, "/safe/x", nil).status).To(gomega.Equal(http.StatusOK), host)
		}
		speeds[first].late.Store(0)
		time.Sleep(2 * time.Second)
		s.Expect(s.scheduler()).To(gomega.Equal(second), "the schedule does not move at once")
		time.Sleep(5 * time.Second)
		s.Expect(s.scheduler()).To(gomega.Equal(first))
	})
}

// Where every node is slow, one of them has to schedule, and the same for all.
func TestSlowNodesScheduleWhereAllAreSlow(t *testing.T) {
	playSpeeds(t, func(s *scene, speeds map[string]*lateTimers) {
		for _, host := range hosts {
			speeds[host].late.Store(int64(5 * time.Millisecond))
		}
		time.Sleep(2 * time.Second)
		before := len(s.events("scheduler"))
		time.Sleep(20 * time.Second)
		s.Expect(s.events("scheduler")).To(gomega.HaveLen(before), "the schedule does not go round")
		for _, host := range hosts {
			s.Expect(s.lab.Node(host).Status().Scheduler).To(gomega.Equal(s.scheduler()), host)
			s.Expect(s.get(host, http.MethodGet, "/safe/x", nil).status).To(gomega.Equal(http.StatusOK), host)
		}
	})
}
