package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
)

// withoutRoute drops the route from the configuration.
func withoutRoute(name string) func(*entrylab.Configuration) {
	return func(c *entrylab.Configuration) {
		kept := c.Routes[:0]
		for _, route := range c.Routes {
			if route.Name != name {
				kept = append(kept, route)
			}
		}
		c.Routes = kept
	}
}

// A node that the store refuses must hear of a drain from its peers, although other
// peers are behind too.
func TestNodesRefusedByTheStoreReceiveADrainFromPeers(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.deployment.Store.Refuse("n1", true)
		s.deployment.Store.Refuse("n2", true)
		s.breakWatches()
		time.Sleep(time.Second)
		s.plainReplicas[0].Register(s.deployment.Store, "draining")
		time.Sleep(1500 * time.Millisecond)
		before := len(s.plainReplicas[0].Runs())
		for i := range 9 {
			s.Expect(s.do(hosts[i%3], http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
		}
		s.Expect(s.plainReplicas[0].Runs()).To(gomega.HaveLen(before))
	})
}

// The nodes that follow the store for all must be replaced at once when it turns away
// just them.
func TestOtherNodesWatchTheStoreWhenItIsUnreachableForTheWatchers(t *testing.T) {
	runScenario(t, func(s *scenario) {
		for _, node := range s.followers() {
			s.fabric.CutGroups([]string{"store"}, []string{node})
		}
		time.Sleep(100 * time.Millisecond)
		s.plainReplicas[0].Register(s.deployment.Store, "draining")
		time.Sleep(1900 * time.Millisecond)
		for i := range 6 {
			s.Expect(s.do(hosts[i%3], http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
		}
		s.Expect(s.plainReplicas[0].Runs()).To(gomega.BeEmpty())
	})
}

// What the asking node knows holds even where the scheduling node did not hear of it.
func TestNodeSendsNothingToAReplicaThatItKnowsIsDraining(t *testing.T) {
	runScenario(t, func(s *scenario) {
		scheduler := s.scheduler()
		s.deployment.Store.Refuse(scheduler, true)
		s.breakWatches()
		time.Sleep(time.Second)
		s.plainReplicas[0].Register(s.deployment.Store, "draining")
		time.Sleep(30 * time.Millisecond)
		for _, node := range s.followers() {
			s.Expect(s.do(node, http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
		}
		s.Expect(s.plainReplicas[0].Runs()).To(gomega.BeEmpty())
	})
}

// breakWatches lets the store forget its history, which ends every watch.
func (s *scenario) breakWatches() {
	s.deployment.Store.Put("other/key", []byte("x"))
	s.deployment.Store.Compact()
}

// While the store compacts, watches hear nothing and do not fail.
func TestConfigurationIsAppliedWhileWatchesAreSilent(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.deployment.Store.SetSilent(true)
		s.configure(withoutRoute("safe"))
		time.Sleep(1900 * time.Millisecond)
		for _, node := range hosts {
			s.Expect(s.do(node, http.MethodGet, "/safe/", nil).status).To(gomega.Equal(404), node)
		}
	})
}

// A store that answers late made reads time out, after which a watch that hung kept
// the node from trying again for as long as it may wait.
func TestNodeReadsTheStoreWhileItsWatchHangs(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.fabric.CutGroups([]string{"n1"}, []string{"n2", "n3"})
		s.deployment.Store.SetSilent(true)
		s.deployment.Store.SetDelay(20 * time.Second)
		time.Sleep(3 * time.Second)
		s.deployment.Store.SetDelay(0)
		s.configure(withoutRoute("safe"))
		time.Sleep(4500 * time.Millisecond)
		s.Expect(s.do("n1", http.MethodGet, "/safe/", nil).status).To(gomega.Equal(404))
	})
}

// A store whose answers take longer than a read may at first is read all the same.
func TestSlowStoreIsRead(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.deployment.Store.SetSilent(true)
		s.deployment.Store.SetDelay(1100 * time.Millisecond)
		time.Sleep(3 * time.Second)
		s.configure(withoutRoute("safe"))
		time.Sleep(5 * time.Second)
		for _, node := range hosts {
			s.Expect(s.do(node, http.MethodGet, "/safe/", nil).status).To(gomega.Equal(404), node)
		}
	})
}

func TestConfigurationNeverReverts(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.version = 9
		s.configure(withoutRoute("safe"))
		time.Sleep(500 * time.Millisecond)
		s.version = 4
		s.configure(nil)
		time.Sleep(3 * time.Second)
		for _, node := range hosts {
			s.Expect(s.deployment.Node(node).Status().Version).To(gomega.Equal(int64(10)))
			s.Expect(s.do(node, http.MethodGet, "/safe/", nil).status).To(gomega.Equal(404))
		}
	})
}

func TestConfigurationThatDoesNotParseIsIgnored(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.deployment.Store.Put("op/config", []byte(`{"version": 7, "routes": [{"name":"x","kind":"odd","path_prefix":"/"}]`))
		s.deployment.Store.Put("servers/i-bad", []byte(`not json`))
		time.Sleep(2 * time.Second)
		s.Expect(s.do("n1", http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
	})
}

func TestNodesServeDuringAStoreOutage(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.deployment.Store.SetDown(true)
		s.breakWatches()
		for range 10 {
			time.Sleep(time.Second)
			for _, node := range hosts {
				s.Expect(s.do(node, http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
			}
		}
	})
}

// Entries run out while the store is down, because replicas can't renew them.
func TestReplicasWhoseEntriesExpiredDuringAStoreOutageAreKept(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.deployment.Store.SetDown(true)
		s.breakWatches()
		time.Sleep(4 * time.Second)
		for _, replica := range s.plainReplicas {
			s.deployment.Store.Delete("servers/" + replica.ID)
		}
		s.deployment.Store.SetDown(false)
		time.Sleep(2 * time.Second)
		s.Expect(s.do("n1", http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
		for _, replica := range s.plainReplicas {
			replica.Register(s.deployment.Store, "ready")
		}
		time.Sleep(8 * time.Second)
		s.Expect(s.do("n1", http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
	})
}

// A replica that does not write its entry again soon after the store's return is gone.
func TestReplicaWhoseEntryStaysMissingAfterAStoreOutageIsRemoved(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.deployment.Store.SetDown(true)
		s.breakWatches()
		time.Sleep(4 * time.Second)
		s.deployment.Store.Delete("servers/" + s.plainReplicas[0].ID)
		s.deployment.Store.SetDown(false)
		time.Sleep(4600 * time.Millisecond)
		before := len(s.plainReplicas[0].Runs())
		for i := range 6 {
			s.Expect(s.do(hosts[i%3], http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
		}
		s.Expect(s.plainReplicas[0].Runs()).To(gomega.HaveLen(before))
	})
}

// The store forgot its history, which says nothing of its replicas; one that left
// without a word a second later was taken for one that might come back.
func TestReplicaDeletedAfterAStoreCompactionIsRemoved(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.breakWatches()
		time.Sleep(time.Second)
		s.deployment.Store.Delete("servers/" + s.plainReplicas[0].ID)
		time.Sleep(1900 * time.Millisecond)
		for i := range 6 {
			s.Expect(s.do(hosts[i%3], http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
		}
		s.Expect(s.plainReplicas[0].Runs()).To(gomega.BeEmpty())
	})
}

func TestReplicaDeletedWhileTheStoreIsHealthyIsRemoved(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.deployment.Store.Delete("servers/" + s.plainReplicas[0].ID)
		time.Sleep(1500 * time.Millisecond)
		for i := range 6 {
			s.Expect(s.do(hosts[i%3], http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
		}
		s.Expect(s.plainReplicas[0].Runs()).To(gomega.BeEmpty())
	})
}

func TestNodeWithoutConfigurationRejectsWithRetryAfter(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.deployment.Store.SetDown(true)
		for _, node := range hosts {
			s.deployment.Node(node).Kill()
		}
		s.Expect(s.deployment.StartNode("n1", "east")).To(gomega.Succeed())
		time.Sleep(time.Second)
		got := s.do("n1", http.MethodGet, "/safe/", nil)
		s.Expect(got.status).To(gomega.Equal(503))
		s.Expect(got.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		s.Expect(s.deployment.Node("n1").Ready()).To(gomega.BeFalse())
	})
}

func TestRestartedNodePullsTheConfigurationFromPeersDuringAStoreOutage(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.deployment.Store.SetDown(true)
		s.breakWatches()
		s.deployment.Node("n2").Kill()
		s.Expect(s.deployment.StartNode("n2", "west")).To(gomega.Succeed())
		time.Sleep(1500 * time.Millisecond)
		s.Expect(s.deployment.Node("n2").Ready()).To(gomega.BeTrue())
		s.Expect(s.do("n2", http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
	})
}
