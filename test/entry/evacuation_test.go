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
	// emptiedLimit is the time in which an order of the operators has to be kept everywhere.
	evacuationLimit = 5 * time.Second
	// coldLimit is what a cold replica bears in any second: coldRate a second, half as many more
	// and five on top.
	coldRate         = 10.0
	maxColdPerSecond = 20
	coldTime         = 3 * time.Second
	// evacuateEast is the operators' key of the zone.
	evacuateEastKey = "op/evacuate/east"
)

// evacuationScene is five nodes and six replicas of one service in two zones, under load.
type evacuationScenario struct {
	scenario
	nodes           []string
	east, west      []*platformsim.Replica
	mutex           sync.Mutex
	repliesByStatus map[int]int
	// before is a copy of the store from before the order.
	backup *platformsim.StoreCopy
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

func (s *evacuationScenario) configureCold() {
	s.configure(func(c *entrylab.Configuration) {
		c.Routes = []entrylab.Route{{Name: "safe", Host: "service.example", PathPrefix: "/safe/", Kind: "safe", Timeout: 4000, Target: 400, Service: "pool", Attempts: 2}}
		c.Services = append(c.Services, entrylab.Service{Name: "pool", ColdTime: coldTime.Seconds(), ColdRate: coldRate})
	})
}

// zoneReplica starts a replica that serves 80 requests a second.
func (s *evacuationScenario) addZoneReplica(host, zone string, warmup time.Duration) *platformsim.Replica {
	replica := &platformsim.Replica{ID: "i-" + host, Service: "pool", Zone: zone, Slots: 4, Step: 50 * time.Millisecond, Warmup: warmup}
	s.Expect(s.deployment.AddReplica(host, replica)).To(gomega.Succeed())
	return replica
}

// load sends requests to the nodes in turn until the time is over.
func (s *evacuationScenario) load(passed time.Duration, perSecond int) {
	var group sync.WaitGroup
	pause := time.Second / time.Duration(perSecond)
	for i := range int(passed / pause) {
		node := s.nodes[i%len(s.nodes)]
		group.Go(func() {
			status := s.do(node, http.MethodGet, "/safe/x", nil).status
			s.mutex.Lock()
			s.repliesByStatus[status]++
			s.mutex.Unlock()
		})
		time.Sleep(pause)
	}
	group.Wait()
}

// arrivedAfter counts the requests that came to the replicas after the moment.
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

// most returns the largest number of requests that came to one of the replicas in a second of the
// span.
func maxArrivalsPerSecond(replicas []*platformsim.Replica, from time.Time, span time.Duration) int {
	largest := 0
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
			largest = max(largest, count)
		}
	}
	return largest
}

// What may happen while a zone is emptied, each of which a node could miss the order by.
func TestEvacuatedZoneReceivesNoRequests(t *testing.T) {
	for name, course := range map[string]func(s *evacuationScenario){
		"calm":                     func(*evacuationScenario) {},
		"the store goes away":      func(s *evacuationScenario) { s.deployment.Store.SetDown(true) },
		"history is forgotten":     func(s *evacuationScenario) { s.deployment.Store.Compact() },
		"the scheduling node ends": func(s *evacuationScenario) { s.deployment.Node(s.scheduler()).Kill() },
		"a node starts": func(s *evacuationScenario) {
			s.deployment.Node("n5").Kill()
			s.Expect(s.deployment.StartNode("n5", "east")).To(gomega.Succeed())
		},
		"the store turns two nodes away": func(s *evacuationScenario) {
			s.deployment.Store.Refuse("n1", true)
			s.deployment.Store.Refuse("n2", true)
		},
		"all nodes start again": func(s *evacuationScenario) {
			for i, node := range s.nodes {
				s.deployment.Node(node).Kill()
				s.Expect(s.deployment.StartNode(node, []string{"east", "west"}[i%2])).To(gomega.Succeed())
			}
		},
		"a copy that lacks the order": func(s *evacuationScenario) {
			s.deployment.Store.Restore(s.backup)
			time.AfterFunc(time.Second, func() { s.deployment.Store.PutJSON(evacuateEastKey, struct{}{}) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			runEvacuation(t, func(s *evacuationScenario) {
				s.load(time.Second, 50)
				s.Expect(arrivalsAfter(s.east, time.Time{})).To(gomega.BeNumerically(">", 0))
				s.backup = s.deployment.Store.Copy()
				s.deployment.Store.PutJSON(evacuateEastKey, struct{}{})
				acknowledged := time.Now()
				time.Sleep(300 * time.Millisecond)
				course(s)
				s.load(evacuationLimit+2*time.Second, 50)
				s.Expect(arrivalsAfter(s.east, acknowledged.Add(evacuationLimit))).To(gomega.BeZero())
				s.Expect(arrivalsAfter(s.west, acknowledged.Add(evacuationLimit))).To(gomega.BeNumerically(">=", 90), "the other zone serves")
			})
		})
	}
}

// Taken back, the zone serves again, and its replicas, which may be cold, get few requests at first.
func TestReplicasSlowStartAfterAnEvacuationIsLifted(t *testing.T) {
	runEvacuation(t, func(s *evacuationScenario) {
		s.deployment.Store.PutJSON(evacuateEastKey, struct{}{})
		s.load(2*time.Second, 300)
		s.deployment.Store.Delete(evacuateEastKey)
		back := time.Now()
		s.load(2*coldTime, 300)
		s.Expect(arrivalsAfter(s.east, back)).To(gomega.BeNumerically(">", 3*maxColdPerSecond))
		s.Expect(maxArrivalsPerSecond(s.east, back, coldTime-time.Second)).To(gomega.BeNumerically("<=", maxColdPerSecond))
		s.Expect(maxArrivalsPerSecond(s.east, back.Add(coldTime), coldTime)).To(gomega.BeNumerically(">", maxColdPerSecond), "warm again")
	})
}

// A replica that starts beside full ones is where places are free.
func TestReplicasThatStartUnderLoadSlowStart(t *testing.T) {
	for name, course := range map[string]func(s *evacuationScenario){
		"calm": func(*evacuationScenario) {},
		"scheduling nodes end one after the other": func(s *evacuationScenario) {
			for range 3 {
				time.Sleep(400 * time.Millisecond)
				node := s.scheduler()
				s.deployment.Node(node).Kill()
				s.Expect(s.deployment.StartNode(node, "east")).To(gomega.Succeed())
			}
		},
		"a zone is cut off": func(s *evacuationScenario) {
			s.fabric.CutGroups([]string{"n1", "n3", "n5"}, []string{"n2", "n4"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			runEvacuation(t, func(s *evacuationScenario) {
				s.load(time.Second, 400)
				begun := time.Now()
				var cold []*platformsim.Replica
				for i := range 2 {
					cold = append(cold, s.addZoneReplica(fmt.Sprint("c", i), "west", coldTime))
				}
				go course(s)
				s.load(2*coldTime, 600)
				s.Expect(maxArrivalsPerSecond(cold, begun, coldTime-time.Second)).To(gomega.BeNumerically("<=", maxColdPerSecond))
				s.Expect(arrivalsAfter(cold, begun.Add(coldTime))).To(gomega.BeNumerically(">", 0))
			})
		})
	}
}

// An order for a zone that nobody knows changes nothing, and one that was emptied, taken back and
// emptied again within a round is emptied.
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
			told := s.deployment.Node(node).Status().Evacuations
			s.Expect(told).To(gomega.HaveLen(2), node)
		}
		s.deployment.Store.PutJSON("op/evacuate/west", struct{}{})
		time.Sleep(time.Second)
		refused := s.do("n1", http.MethodGet, "/safe/x", nil)
		s.Expect(refused.status).To(gomega.Equal(http.StatusServiceUnavailable), "both zones are emptied")
		s.Expect(refused.took).To(gomega.BeNumerically("<", 100*time.Millisecond), "at once")
		s.Expect(refused.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	})
}
