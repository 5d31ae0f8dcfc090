package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Guards against lost, slow or duplicated requests when the scheduling node fails.
func TestRequestsAreServedInTimeWhenTheSchedulingNodeFails(t *testing.T) {
	for _, fault := range []string{"killed", "partitioned", "paused"} {
		t.Run(fault, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				scheduler, others := s.scheduler(), s.followers()
				switch fault {
				case "killed":
					s.deployment.Node(scheduler).Kill()
				case "partitioned":
					s.fabric.Partition([]string{scheduler}, others)
				case "paused":
					s.fabric.Pause(scheduler)
				}
				for i := range 6 {
					got := s.do(others[i%2], http.MethodGet, "/safe/", nil)
					s.Expect(got.status).To(gomega.Equal(200))
					s.Expect(got.took).To(gomega.BeNumerically("<", 800*time.Millisecond))
				}
				s.fabric.Resume(scheduler)
				for id, count := range s.runCounts() {
					s.Expect(count).To(gomega.Equal(1), id)
				}
			})
		})
	}
}

// Guards against nodes that don't serve during a partition or stay apart after it.
func TestPartitionedNodesServe(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.fabric.Partition([]string{"n1"}, []string{"n2", "n3"})
		time.Sleep(time.Second)
		for range 3 {
			for _, node := range hosts {
				s.Expect(s.do(node, http.MethodPost, "/stream/", nil).status).To(gomega.Equal(200))
			}
		}
		s.fabric.Heal()
		time.Sleep(2 * time.Second)
		for _, node := range hosts {
			s.Expect(s.deployment.Node(node).Status().Live).To(gomega.HaveLen(2), node)
		}
	})
}

// Guards against requests that fail because a replica crashed before they were sent.
func TestCrashedReplicaIsAvoided(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.plainReplicas[0].Crash()
		for i := range 12 {
			s.Expect(s.do(hosts[i%3], http.MethodPost, "/once/", nil).status).To(gomega.Equal(200))
		}
	})
}

// Guards against a steady flow of requests to a replica that fails them all.
func TestReplicaThatFailsManyRequestsIsQuarantined(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.plainReplicas[0].SetBehavior(always(platformsim.Fail))
		for i := range 20 {
			s.do(hosts[i%3], http.MethodPost, "/once/", nil)
		}
		s.Expect(len(s.plainReplicas[0].Runs())).To(gomega.BeNumerically("<", 8))
	})
}

// Guards against requests that run at another replica which took over the address.
func TestReusedAddressRunsNoRequestOfThePreviousReplica(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.plainReplicas[0].ID = "i-other"
		for i := range 6 {
			s.Expect(s.do(hosts[i%3], http.MethodPost, "/once/", nil).status).To(gomega.Equal(200))
		}
		s.Expect(s.plainReplicas[0].Runs()).To(gomega.BeEmpty())
	})
}

// Guards against requests that are delayed by hanging connects to replicas behind a partition.
func TestPartitionBetweenZonesDelaysNoRequests(t *testing.T) {
	runScenario(t, func(s *scenario) {
		for _, host := range []string{"w1", "w2", "w3", "w4"} {
			replica := &platformsim.Replica{ID: "i-" + host, Service: "registry", Zone: "west", Slots: 2, Step: 20 * time.Millisecond}
			s.Expect(s.deployment.AddReplica(host, replica)).To(gomega.Succeed())
		}
		time.Sleep(time.Second)
		s.fabric.Partition([]string{"n2", "w1", "w2", "w3", "w4"}, []string{"n1", "n3", "p1", "p2"})
		time.Sleep(700 * time.Millisecond)
		var slow atomic.Int64
		for range 5 {
			var group sync.WaitGroup
			for i := range 8 { // more than the slots of the replicas on this side
				group.Go(func() {
					got := s.do([]string{"n1", "n3"}[i%2], http.MethodGet, "/safe/", nil)
					if got.status != 200 || got.took > 250*time.Millisecond {
						slow.Add(1)
					}
				})
			}
			group.Wait()
			time.Sleep(100 * time.Millisecond)
		}
		s.Expect(slow.Load()).To(gomega.BeZero())
		s.fabric.Heal()
		time.Sleep(time.Second)
		s.Expect(s.do("n2", http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
	})
}
