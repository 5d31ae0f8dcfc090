package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// A suspended machine resumes where it stopped: its timers and its monotonic clock don't include
// the suspension. These tests move the node's clock that includes it forward.

const suspensionTime = 4 * time.Second

// suspendableClock is the clock of a node. The time it was suspended for is in nanoseconds.
type suspendableClock struct{ suspended atomic.Int64 }

// suspendableClocks holds a clock for each host. It is safe for concurrent use.
type suspendableClocks struct {
	mutex  sync.Mutex
	byHost map[string]*suspendableClock
}

// clockOf returns the host's clock, which it creates on the first call.
func (c *suspendableClocks) clockOf(host string) *suspendableClock {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.byHost[host] == nil {
		c.byHost[host] = &suspendableClock{}
	}
	return c.byHost[host]
}

// now returns a function that returns the host's time since this call, suspensions included.
func (c *suspendableClocks) now(host string) func() time.Duration {
	clock, started := c.clockOf(host), time.Now()
	return func() time.Duration { return time.Since(started) + time.Duration(clock.suspended.Load()) }
}

// suspend adds a suspension to the host's clock.
func (c *suspendableClocks) suspend(host string) {
	c.clockOf(host).suspended.Add(int64(suspensionTime))
}

// runWithSuspensions runs the test with a suspendable clock for each node.
func runWithSuspensions(t *testing.T, test func(s *scenario, c *suspendableClocks)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &suspendableClocks{byHost: map[string]*suspendableClock{}}
		s := &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New(), now: c.now}
		s.start(hosts, []string{"east", "west"}, nil)
		for _, host := range []string{"e1", "e2"} {
			s.engines = append(s.engines, s.addReplica(host, "engines", 6, 50*time.Millisecond))
		}
		s.awaitReady()
		defer s.stop(hosts)
		time.Sleep(time.Second)
		test(s, c)
	})
}

// Guards against a resumed scheduling node that uses its old assignments, and against requests that
// run twice or are lost.
func TestSuspendedSchedulingNodeDropsItsSchedule(t *testing.T) {
	runWithSuspensions(t, func(s *scenario, c *suspendableClocks) {
		scheduler := s.scheduler()
		var group sync.WaitGroup
		for i := range 12 { // more than the engines' slots, so that some are queued
			group.Go(func() {
				s.Expect(s.do(s.followers()[i%2], http.MethodPost, "/stream/", nil).status).To(gomega.BeElementOf(200, 503))
			})
		}
		time.Sleep(50 * time.Millisecond)
		c.suspend(scheduler)
		group.Wait()
		suspensions := s.loggedEvents("process.paused")
		s.Expect(suspensions).To(gomega.HaveLen(1), "detected once")
		s.Expect(suspensions[0].Node).To(gomega.Equal(scheduler))
		s.Expect(suspensions[0].AgeMS).To(gomega.BeNumerically(">=", suspensionTime.Milliseconds()))
		for i := range 6 {
			s.Expect(s.do(hosts[i%3], http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
		}
		for id, count := range s.runCounts() {
			s.Expect(count).To(gomega.Equal(1), id)
		}
	})
}

// Guards against requests that end seconds after their deadline because their timers did not run
// during the suspension.
func TestRequestsThatExpiredDuringASuspensionEndAtOnce(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			runWithSuspensions(t, func(s *scenario, c *suspendableClocks) {
				s.setBehavior(append(append([]*platformsim.Replica{}, s.plainReplicas...), s.engines...), always(platformsim.Silent))
				node := s.followers()[0]
				var group sync.WaitGroup
				group.Go(func() {
					got := s.do(node, http.MethodPost, path, nil)
					s.Expect(got.status).To(gomega.Equal(http.StatusGatewayTimeout))
					s.Expect(got.took).To(gomega.BeNumerically("<", 900*time.Millisecond), "within one check of the clock after the machine resumed")
				})
				time.Sleep(200 * time.Millisecond)
				c.suspend(node)
				group.Wait()
			})
		})
	}
}

// Guards against a resumed node that serves by stale data for more than a second.
func TestResumedNodeAppliesMissedChanges(t *testing.T) {
	runWithSuspensions(t, func(s *scenario, c *suspendableClocks) {
		node := s.followers()[0]
		others := []string{}
		for _, host := range hosts {
			if host != node {
				others = append(others, host)
			}
		}
		s.fabric.Partition([]string{node}, append(others, "store"))
		s.configure(func(configuration *entrylab.Configuration) { configuration.Routes = configuration.Routes[:2] })
		s.deployment.Store.Delete("servers/" + s.plainReplicas[0].ID)
		c.suspend(node)
		s.fabric.Heal()
		time.Sleep(time.Second)
		status := s.deployment.Node(node).Status()
		s.Expect(status.Version).To(gomega.Equal(s.version))
		for _, replica := range status.Replicas {
			s.Expect(replica.ID).NotTo(gomega.Equal(s.plainReplicas[0].ID))
		}
		s.Expect(s.do(node, http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
	})
}
