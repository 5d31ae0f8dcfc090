package entry

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
)

// withoutRoute returns a function that removes the route from a configuration.
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

// Guards against requests to a draining replica from nodes that the store refuses while
// some of their peers are behind as well.
func TestNodesRefusedByTheStoreReceiveADrainFromPeers(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.deployment.Store.SetRejected("n1", true)
		s.deployment.Store.SetRejected("n2", true)
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

// Guards against missed updates when the store is unreachable for just the nodes that watch it.
func TestOtherNodesWatchTheStoreWhenItIsUnreachableForTheWatchers(t *testing.T) {
	runScenario(t, func(s *scenario) {
		for _, node := range s.followers() {
			s.fabric.Partition([]string{"store"}, []string{node})
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

// Guards against a follower that uses a draining replica because the scheduling node does
// not know of the drain.
func TestNodeSendsNothingToAReplicaThatItKnowsIsDraining(t *testing.T) {
	runScenario(t, func(s *scenario) {
		scheduler := s.scheduler()
		s.deployment.Store.SetRejected(scheduler, true)
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

// breakWatches compacts the store's history, which ends every watch.
func (s *scenario) breakWatches() {
	s.deployment.Store.Put("other/key", []byte("x"))
	s.deployment.Store.Compact()
}

// Guards against a missed configuration when watches deliver nothing and do not fail.
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

// Guards against a hanging watch that delays the retry of reads that timed out.
func TestNodeReadsTheStoreWhileItsWatchHangs(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.fabric.Partition([]string{"n1"}, []string{"n2", "n3"})
		s.deployment.Store.SetSilent(true)
		s.deployment.Store.SetDelay(20 * time.Second)
		time.Sleep(3 * time.Second)
		s.deployment.Store.SetDelay(0)
		s.configure(withoutRoute("safe"))
		time.Sleep(4500 * time.Millisecond)
		s.Expect(s.do("n1", http.MethodGet, "/safe/", nil).status).To(gomega.Equal(404))
	})
}

// Guards against reads that always time out at a store slower than the initial read timeout.
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

// Guards against a lower version that replaces a higher one.
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

// Guards against entries that don't parse and stop a node from serving.
func TestConfigurationThatDoesNotParseIsIgnored(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.deployment.Store.Put("op/config", []byte(`{"version": 7, "routes": [{"name":"x","kind":"odd","path_prefix":"/"}]`))
		s.deployment.Store.Put("servers/i-bad", []byte(`not json`))
		time.Sleep(2 * time.Second)
		s.Expect(s.do("n1", http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
	})
}

// Guards against nodes that stop serving when the store fails.
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

// Guards against the removal of replicas that could not renew their entries in an outage.
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

// Guards against requests to a replica that does not write its entry again soon after an outage.
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

// Guards against a compaction that is taken for an outage, after which a deleted replica
// is kept as unconfirmed.
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

// Guards against requests to a replica whose entry was deleted without a drain.
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

// Guards against a node that serves, or reports ready, before it has a configuration.
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

// Guards against a node that needs the store to restart beside its peers.
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

// Guards against nodes that take a store for lost, and learn of its changes late, as the changes since their last look
// take more bytes than one answer may have.
func TestLargeChangesOfOthersDoNotMakeTheStoreCountAsLost(t *testing.T) {
	runScenario(t, func(s *scenario) {
		const values, valueBytes, pause = 20, 1 << 20, 300 * time.Millisecond
		time.Sleep(time.Second)
		before := len(s.loggedEvents("store"))
		s.deployment.Store.Put("servers/odd", []byte("x")) // the watches return, and pause before the next calls
		time.Sleep(10 * time.Millisecond)
		value := bytes.Repeat([]byte("x"), valueBytes)
		for range values {
			s.deployment.Store.Put("servers/odd", value)
		}
		s.configure(withoutRoute("safe"))
		time.Sleep(pause)
		for _, node := range hosts {
			s.Expect(s.do(node, http.MethodGet, "/safe/", nil).status).To(gomega.Equal(http.StatusNotFound), node)
		}
		for _, event := range s.loggedEvents("store")[before:] {
			s.Expect(event.Outcome).NotTo(gomega.Equal("lost"), event.Detail)
		}
	})
}
