package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

const (
	// evacuationLimit bounds the time until every node keeps an evacuation order.
	evacuationLimit = 5 * time.Second
	// coldRate is the rate limit of a cold replica, in requests per second.
	coldRate = 10.0
	// maxColdPerSecond bounds the requests to a cold replica in any second: 1.5 times coldRate
	// and 5 more.
	maxColdPerSecond = 20
	coldTime         = 3 * time.Second
	// evacuateEastKey is the store key of the operators' order for the zone east.
	evacuateEastKey = "op/evacuate/east"
)

// evacuationScenario is a deployment of five nodes and six replicas of one service in two zones.
type evacuationScenario struct {
	scenario
	nodes           []string
	east, west      []*platformsim.Replica
	mutex           sync.Mutex
	repliesByStatus map[int]int
	// backup is a backup of the store without the order.
	backup *platformsim.StoreBackup
}

func runEvacuation(t *testing.T, test func(s *evacuationScenario)) {
	synctest.Test(t, func(t *testing.T) {
		s := &evacuationScenario{scenario: scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}, repliesByStatus: map[int]int{}}
		s.nodes = []string{"n1", "n2", "n3", "n4", "n5"}
		s.start(s.nodes, []string{"east", "west"}, nil)
		s.configureCold()
		for i := range 3 {
			s.east = append(s.east, s.addZoneReplica(fmt.Sprint("x", i), "east", 0))
			s.west = append(s.west, s.addZoneReplica(fmt.Sprint("w", i), "west", 0))
		}
		s.awaitReady()
		defer s.stop(s.nodes)
		test(s)
	})
}

// configureCold writes a configuration whose service "pool" has a slow start.
func (s *evacuationScenario) configureCold() {
	s.configure(func(c *entrylab.Configuration) {
		c.Routes = []entrylab.Route{{Name: "safe", Host: "service.example", PathPrefix: "/safe/", Kind: "safe", Timeout: 4000, Target: 400, Service: "pool", Attempts: 2}}
		c.Services = append(c.Services, entrylab.Service{Name: "pool", ColdTime: coldTime.Seconds(), ColdRate: coldRate})
	})
}

// addZoneReplica starts a replica that serves 80 requests per second.
func (s *evacuationScenario) addZoneReplica(host, zone string, warmup time.Duration) *platformsim.Replica {
	replica := &platformsim.Replica{ID: "i-" + host, Service: "pool", Zone: zone, Slots: 4, Step: 50 * time.Millisecond, Warmup: warmup}
	s.Expect(s.deployment.AddReplica(host, replica)).To(gomega.Succeed())
	return replica
}

// load sends requests to the nodes in turn for the duration and waits for the replies.
func (s *evacuationScenario) load(duration time.Duration, perSecond int) {
	var group sync.WaitGroup
	interval := time.Second / time.Duration(perSecond)
	for i := range int(duration / interval) {
		node := s.nodes[i%len(s.nodes)]
		group.Go(func() {
			status := s.do(node, http.MethodGet, "/safe/x", nil).status
			s.mutex.Lock()
			s.repliesByStatus[status]++
			s.mutex.Unlock()
		})
		time.Sleep(interval)
	}
	group.Wait()
}

// arrivalsAfter returns the number of requests that arrived at the replicas after the time.
func arrivalsAfter(replicas []*platformsim.Replica, since time.Time) int {
	count := 0
	for _, replica := range replicas {
		for _, arrival := range replica.Arrived() {
			if arrival.At.After(since) {
				count++
			}
		}
	}
	return count
}

// maxArrivalsPerSecond returns the largest number of requests that arrived at one of the replicas
// within a second that starts in the span.
func maxArrivalsPerSecond(replicas []*platformsim.Replica, from time.Time, span time.Duration) int {
	highest := 0
	for _, replica := range replicas {
		arrived := replica.Arrived()
		for _, first := range arrived {
			if first.At.Before(from) || first.At.After(from.Add(span)) {
				continue
			}
			count := 0
			for _, arrival := range arrived {
				if !arrival.At.Before(first.At) && arrival.At.Before(first.At.Add(time.Second)) {
					count++
				}
			}
			highest = max(highest, count)
		}
	}
	return highest
}

// Guards against requests to an evacuated zone after faults in which a node may miss the order.
func TestEvacuatedZoneReceivesNoRequests(t *testing.T) {
	for name, fault := range map[string]func(s *evacuationScenario){
		"no fault":                 func(*evacuationScenario) {},
		"the store is down":        func(s *evacuationScenario) { s.deployment.Store.SetDown(true) },
		"the history is compacted": func(s *evacuationScenario) { s.deployment.Store.Compact() },
		"the scheduling node dies": func(s *evacuationScenario) { s.deployment.Node(s.scheduler()).Kill() },
		"a node starts": func(s *evacuationScenario) {
			s.deployment.Node("n5").Kill()
			s.Expect(s.deployment.StartNode("n5", "east")).To(gomega.Succeed())
		},
		"the store refuses two nodes": func(s *evacuationScenario) {
			s.deployment.Store.SetRejected("n1", true)
			s.deployment.Store.SetRejected("n2", true)
		},
		"all nodes restart": func(s *evacuationScenario) {
			for i, node := range s.nodes {
				s.deployment.Node(node).Kill()
				s.Expect(s.deployment.StartNode(node, []string{"east", "west"}[i%2])).To(gomega.Succeed())
			}
		},
		"a backup without the order": func(s *evacuationScenario) {
			s.deployment.Store.Restore(s.backup)
			time.AfterFunc(time.Second, func() { s.deployment.Store.PutJSON(evacuateEastKey, struct{}{}) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			runEvacuation(t, func(s *evacuationScenario) {
				s.load(time.Second, 50)
				s.Expect(arrivalsAfter(s.east, time.Time{})).To(gomega.BeNumerically(">", 0))
				s.backup = s.deployment.Store.Backup()
				s.deployment.Store.PutJSON(evacuateEastKey, struct{}{})
				ordered := time.Now()
				time.Sleep(300 * time.Millisecond)
				fault(s)
				s.load(evacuationLimit+2*time.Second, 50)
				s.Expect(arrivalsAfter(s.east, ordered.Add(evacuationLimit))).To(gomega.BeZero())
				s.Expect(arrivalsAfter(s.west, ordered.Add(evacuationLimit))).To(gomega.BeNumerically(">=", 90), "requests to the other zone")
			})
		})
	}
}

// Guards against a burst of requests to replicas, cold by then, when the evacuation is lifted.
func TestReplicasSlowStartAfterAnEvacuationIsLifted(t *testing.T) {
	runEvacuation(t, func(s *evacuationScenario) {
		s.deployment.Store.PutJSON(evacuateEastKey, struct{}{})
		s.load(2*time.Second, 300)
		s.deployment.Store.Delete(evacuateEastKey)
		lifted := time.Now()
		s.load(2*coldTime, 300)
		s.Expect(arrivalsAfter(s.east, lifted)).To(gomega.BeNumerically(">", 3*maxColdPerSecond))
		s.Expect(maxArrivalsPerSecond(s.east, lifted, coldTime-time.Second)).To(gomega.BeNumerically("<=", maxColdPerSecond))
		s.Expect(maxArrivalsPerSecond(s.east, lifted.Add(coldTime), coldTime)).To(gomega.BeNumerically(">", maxColdPerSecond), "after the slow start")
	})
}

// Guards against a burst of requests to a new replica, the only one with free slots under load.
func TestReplicasThatStartUnderLoadSlowStart(t *testing.T) {
	for name, fault := range map[string]func(s *evacuationScenario){
		"no fault": func(*evacuationScenario) {},
		"scheduling nodes die one after the other": func(s *evacuationScenario) {
			for range 3 {
				time.Sleep(400 * time.Millisecond)
				node := s.scheduler()
				s.deployment.Node(node).Kill()
				s.Expect(s.deployment.StartNode(node, "east")).To(gomega.Succeed())
			}
		},
		"the zones are partitioned": func(s *evacuationScenario) {
			s.fabric.Partition([]string{"n1", "n3", "n5"}, []string{"n2", "n4"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runEvacuation(t, func(s *evacuationScenario) {
				s.load(time.Second, 400)
				started := time.Now()
				var cold []*platformsim.Replica
				for i := range 2 {
					cold = append(cold, s.addZoneReplica(fmt.Sprint("c", i), "west", coldTime))
				}
				go fault(s)
				s.load(2*coldTime, 600)
				s.Expect(maxArrivalsPerSecond(cold, started, coldTime-time.Second)).To(gomega.BeNumerically("<=", maxColdPerSecond))
				s.Expect(arrivalsAfter(cold, started.Add(coldTime))).To(gomega.BeNumerically(">", 0))
			})
		})
	}
}

// Guards against an order for an unknown zone that affects others, and against a zone that is not
// evacuated after it was evacuated, lifted and evacuated again at short intervals.
func TestEvacuationOrdersInQuickSuccessionAndForUnknownZones(t *testing.T) {
	runEvacuation(t, func(s *evacuationScenario) {
		s.deployment.Store.PutJSON("op/evacuate/nowhere", "text")
		for range 5 {
			s.deployment.Store.PutJSON(evacuateEastKey, struct{}{})
			s.deployment.Store.Delete(evacuateEastKey)
		}
		s.deployment.Store.PutJSON(evacuateEastKey, struct{}{})
		last := time.Now()
		s.load(3*time.Second, 50)
		s.Expect(arrivalsAfter(s.east, last.Add(time.Second))).To(gomega.BeZero())
		s.Expect(s.repliesByStatus[http.StatusOK]).To(gomega.Equal(150))
		for _, node := range s.nodes {
			evacuations := s.deployment.Node(node).Status().Evacuations
			s.Expect(evacuations).To(gomega.HaveLen(2), node)
		}
		s.deployment.Store.PutJSON("op/evacuate/west", struct{}{})
		time.Sleep(time.Second)
		rejected := s.do("n1", http.MethodGet, "/safe/x", nil)
		s.Expect(rejected.status).To(gomega.Equal(http.StatusServiceUnavailable), "both zones are evacuated")
		s.Expect(rejected.took).To(gomega.BeNumerically("<", 100*time.Millisecond), "rejected without waiting")
		s.Expect(rejected.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	})
}
