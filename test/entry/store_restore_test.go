package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// These tests restore the store from a backup some seconds old. The restored store assigns
// revisions a second time, so that nodes can't order writes by revision alone.

const (
	// rewriteTime is the time in which replicas and operators repeat lost writes: two
	// heartbeats of replicas.
	rewriteTime = 2 * time.Second
	// entryExpiry is the time after which a restored entry is deleted that no replica renews.
	entryExpiry = 3600 * time.Millisecond
	// maxReplicaDelay bounds the time from a replica's write of its entry to its first request.
	maxReplicaDelay = time.Second
)

// restoreScenario is a scenario whose store is restored from a backup.
type restoreScenario struct {
	*scenario
	backup *platformsim.StoreBackup
	// writes are the writes, by key, that their writers repeat after a restore.
	writes map[string]func()
}

// runRestore runs the test one second after a backup of the store was taken.
func runRestore(t *testing.T, test func(s *restoreScenario)) {
	t.Helper()
	runScenario(t, func(base *scenario) {
		s := &restoreScenario{scenario: base, writes: map[string]func(){}}
		for i := range 5 {
			base.addReplica(fmt.Sprint("filler", i), "fillers", 0, time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		s.backup = s.deployment.Store.Backup()
		s.registerRepeatedly()
		time.Sleep(time.Second)
		test(s)
	})
}

// registerRepeatedly makes all replicas write their entries 20 times. A restored store assigns
// these revisions again.
func (s *restoreScenario) registerRepeatedly() {
	for range 20 {
		for _, replica := range append(append([]*platformsim.Replica{}, s.plainReplicas...), s.engines...) {
			replica.Register(s.deployment.Store, "ready")
		}
	}
}

// write calls put and records it as a write that is repeated after a restore.
func (s *restoreScenario) write(key string, put func()) {
	put()
	s.writes[key] = put
}

// restore restores the store from the backup after an outage, which may be 0.
func (s *restoreScenario) restore(outage time.Duration) {
	if outage > 0 {
		s.deployment.Store.SetDown(true)
		time.Sleep(outage)
	}
	s.deployment.Store.Restore(s.backup)
	s.deployment.Store.SetDown(false)
}

// repeatWritesAfterDelay waits for rewriteTime and repeats all recorded writes.
func (s *restoreScenario) repeatWritesAfterDelay() {
	time.Sleep(rewriteTime)
	s.repeatWrites()
}

// repeatWrites repeats all recorded writes.
func (s *restoreScenario) repeatWrites() {
	for _, put := range s.writes {
		put()
	}
}

// startReplica starts a replica that registers again after a restore.
func (s *restoreScenario) startReplica(host string) *platformsim.Replica {
	replica := &platformsim.Replica{ID: "i-" + host, Service: "registry", Zone: "east", Slots: 2, Step: 20 * time.Millisecond}
	s.Expect(s.deployment.AddReplica(host, replica)).To(gomega.Succeed())
	s.writes["servers/"+replica.ID] = func() { replica.Register(s.deployment.Store, "ready") }
	return replica
}

// removeReplica deletes the replica's entry without a drain.
func (s *restoreScenario) removeReplica(replica *platformsim.Replica) {
	s.write("servers/"+replica.ID, func() { s.deployment.Store.Delete("servers/" + replica.ID) })
}

// startReplicaAndChangeConfiguration starts a replica and removes the route "late" from the
// configuration. It returns the replica and the new version.
func (s *restoreScenario) startReplicaAndChangeConfiguration() (added *platformsim.Replica, version int64) {
	added = s.startReplica("new")
	s.configure(func(c *entrylab.Configuration) { c.Routes = c.Routes[:4] })
	return added, s.version
}

// expectVersion checks that every node has the version of the configuration.
func (s *restoreScenario) expectVersion(version int64) {
	for _, host := range hosts {
		s.Expect(s.deployment.Node(host).Status().Version).To(gomega.Equal(version), host)
	}
}

// countArrivals sends safe requests to the nodes in turn, which must all be answered, and
// returns how many of them arrived at the replica.
func (s *restoreScenario) countArrivals(replica *platformsim.Replica, requests int) int {
	before := replica.Arrivals()
	done := make(chan reply, requests)
	for i := range requests {
		go func() { done <- s.do(hosts[i%len(hosts)], http.MethodGet, "/safe/", nil) }()
		time.Sleep(4 * time.Millisecond) // five concurrent requests, more than the slots of two replicas
	}
	for range requests {
		s.Expect((<-done).status).To(gomega.Equal(http.StatusOK))
	}
	return replica.Arrivals() - before
}

// storeOutages are the times for which the store is down before it is restored.
var storeOutages = []time.Duration{0, time.Second, 6 * time.Second}

// Guards against nodes that ignore writes made after a restore as older than those they know.
func TestWritesAfterARestoreAreApplied(t *testing.T) {
	for _, outage := range storeOutages {
		t.Run(outage.String(), func(t *testing.T) {
			runRestore(t, func(s *restoreScenario) {
				s.restore(outage)
				s.repeatWritesAfterDelay()
				added, left := s.startReplica("late"), s.plainReplicas[0]
				s.removeReplica(left)
				time.Sleep(maxReplicaDelay)
				s.Expect(s.countArrivals(added, 30)).To(gomega.BeNumerically(">", 0), "requests to a replica started after the restore")
				time.Sleep(2 * time.Second)
				s.Expect(s.countArrivals(left, 30)).To(gomega.BeZero(), "requests to a replica removed three seconds before")
			})
		})
	}
}

// Guards against a restore that reverts changes made after the backup.
func TestChangesMissingFromTheBackupAreKept(t *testing.T) {
	for _, outage := range storeOutages {
		t.Run(outage.String(), func(t *testing.T) {
			runRestore(t, func(s *restoreScenario) {
				left, drained := s.plainReplicas[0], s.addReplica("drains", "registry", 0, 20*time.Millisecond)
				s.backup = s.deployment.Store.Backup()
				s.registerRepeatedly()
				s.removeReplica(left)
				s.write("servers/"+drained.ID, func() { drained.Register(s.deployment.Store, "draining") })
				added, version := s.startReplicaAndChangeConfiguration()
				time.Sleep(3 * time.Second)
				s.restore(outage)
				for range 4 { // 1.7 s at most, before the writers repeat their writes
					s.Expect(s.countArrivals(left, 6)).To(gomega.BeZero(), "requests to a removed replica")
					s.Expect(s.countArrivals(drained, 6)).To(gomega.BeZero(), "requests to a draining replica")
					s.Expect(s.countArrivals(added, 6)).To(gomega.BeNumerically(">", 0), "requests to a started replica")
					s.Expect(s.do("n1", http.MethodPost, "/late/", nil).status).To(gomega.Equal(http.StatusNotFound))
					time.Sleep(180 * time.Millisecond)
				}
				s.repeatWrites()
				time.Sleep(entryExpiry)
				s.Expect(s.countArrivals(left, 9)).To(gomega.BeZero(), "requests to a removed replica")
				s.Expect(s.countArrivals(drained, 9)).To(gomega.BeZero(), "requests to a draining replica")
				s.Expect(s.countArrivals(added, 9)).To(gomega.BeNumerically(">", 0), "requests to a started replica")
				s.expectVersion(version)
			})
		})
	}
}

// Guards against a node that starts during the restore window and knows just what the backup
// contains.
func TestNodeStartedAfterARestoreReceivesMissingChangesFromPeers(t *testing.T) {
	runRestore(t, func(s *restoreScenario) {
		left := s.plainReplicas[0]
		s.removeReplica(left)
		added, version := s.startReplicaAndChangeConfiguration()
		time.Sleep(2 * time.Second)
		s.restore(time.Second)
		time.Sleep(300 * time.Millisecond)
		for i, host := range hosts[1:] {
			s.deployment.Node(host).Kill()
			s.Expect(s.deployment.StartNode(host, []string{"west", "east"}[i])).To(gomega.Succeed())
		}
		time.Sleep(600 * time.Millisecond)
		s.Expect(s.countArrivals(left, 30)).To(gomega.BeZero(), "requests to a removed replica")
		s.Expect(s.countArrivals(added, 30)).To(gomega.BeNumerically(">", 0), "requests to a started replica")
		s.expectVersion(version)
	})
}

// Guards against a healthy replica that is never used again because its entry expired before
// the restore and is unchanged after it.
func TestReplicaListedAfterARestoreIsUsedAgain(t *testing.T) {
	runRestore(t, func(s *restoreScenario) {
		expired := s.plainReplicas[0]
		s.deployment.Store.Delete("servers/" + expired.ID)
		time.Sleep(2 * time.Second)
		s.restore(time.Second)
		time.Sleep(entryExpiry + 2*time.Second)
		s.Expect(s.countArrivals(expired, 30)).To(gomega.BeNumerically(">", 0))
	})
}

// Guards against lost changes when a second restore uses an older backup than the first one.
func TestTwoRestoresInARow(t *testing.T) {
	runRestore(t, func(s *restoreScenario) {
		older := s.backup
		first := s.startReplica("first")
		time.Sleep(time.Second)
		s.backup = s.deployment.Store.Backup()
		second, left := s.startReplica("second"), s.plainReplicas[0]
		s.removeReplica(left)
		time.Sleep(time.Second)
		s.restore(time.Second)
		time.Sleep(500 * time.Millisecond)
		s.backup = older
		s.restore(500 * time.Millisecond)
		s.Expect(s.countArrivals(left, 15)).To(gomega.BeZero())
		s.repeatWritesAfterDelay()
		time.Sleep(maxReplicaDelay)
		s.Expect(s.countArrivals(first, 30)).To(gomega.BeNumerically(">", 0))
		s.Expect(s.countArrivals(second, 30)).To(gomega.BeNumerically(">", 0))
		s.Expect(s.countArrivals(left, 30)).To(gomega.BeZero())
	})
}

// Guards against a roll-out completed after the backup that is forgotten or analyzed a second
// time, even if its order is written again.
func TestCompletedRolloutIsNotRepeatedAfterARestore(t *testing.T) {
	runRollout(t, func(s *rolloutScenario) {
		s.registerRepeatedly()
		s.orderRollout("v2", nil)
		time.Sleep(500 * time.Millisecond)
		backup := s.deployment.Store.Backup() // contains the order and its first record
		s.Expect(s.awaitRolloutState("completed", rolloutDuration)).To(gomega.BeTrue(), s.rolloutState())
		for _, replica := range s.plainReplicas {
			replica.Crash()
			s.deployment.Store.Delete("servers/" + replica.ID)
		}
		time.Sleep(time.Second)
		before := len(s.loggedEvents("rollout"))
		s.deployment.Store.Restore(backup)
		s.Expect(s.awaitRolloutState("completed", 2*time.Second)).To(gomega.BeTrue(), s.rolloutState())
		for _, replica := range s.plainReplicas {
			s.deployment.Store.Delete("servers/" + replica.ID)
		}
		for _, replica := range s.newReplicas {
			replica.Register(s.deployment.Store, "ready")
		}
		s.deployment.Store.Order(platformsim.RolloutOrder{Service: "registry", Target: "v2", Duration: rolloutDuration.Seconds()})
		for range 60 {
			s.Expect(s.rolloutState()).To(gomega.Equal("completed"))
			time.Sleep(100 * time.Millisecond)
		}
		for _, event := range s.loggedEvents("rollout")[before:] {
			s.Expect(event.Outcome).NotTo(gomega.Or(gomega.Equal("judging"), gomega.Equal("switching")), event.Node)
		}
	})
}

// registerRepeatedly makes all replicas write their entries 20 times.
func (s *rolloutScenario) registerRepeatedly() {
	for range 20 {
		for _, replica := range append(append([]*platformsim.Replica{}, s.plainReplicas...), s.engines...) {
			replica.Register(s.deployment.Store, "ready")
		}
	}
}

// Guards against a roll-out that is forgotten when a restore loses its order and record.
func TestRolloutMissingFromTheBackupIsWrittenAgain(t *testing.T) {
	runRollout(t, func(s *rolloutScenario) {
		backup := s.deployment.Store.Backup()
		s.registerRepeatedly()
		s.orderRollout("v2", s.failOneIn(2))
		s.Expect(s.awaitRolloutState("rolled_back", rolloutDuration)).To(gomega.BeTrue(), s.rolloutState())
		before := arrivalCount(s.newReplicas)
		s.deployment.Store.Restore(backup)
		s.Expect(s.awaitRolloutState("rolled_back", 2*time.Second)).To(gomega.BeTrue(), s.rolloutState())
		s.deployment.Store.Order(platformsim.RolloutOrder{Service: "registry", Target: "v2", Duration: rolloutDuration.Seconds()})
		for _, replica := range s.newReplicas {
			replica.Register(s.deployment.Store, "ready")
		}
		time.Sleep(6 * time.Second)
		s.Expect(s.rolloutState()).To(gomega.Equal("rolled_back"))
		s.Expect(arrivalCount(s.newReplicas)-before).To(gomega.BeNumerically("<=", 1), "requests at a version that was rolled back")
	})
}

// Guards against a version that is judged again, with requests, after a restore from a backup that has its order: nobody
// writes that again.
func TestRolloutInTheBackupIsNotRepeatedAfterARestore(t *testing.T) {
	runRollout(t, func(s *rolloutScenario) {
		s.orderRollout("v2", s.failOneIn(2))
		s.Expect(s.awaitRolloutState("rolled_back", rolloutDuration)).To(gomega.BeTrue(), s.rolloutState())
		time.Sleep(time.Second)
		s.deployment.Store.Restore(s.deployment.Store.Backup())
		before := arrivalCount(s.newReplicas)
		time.Sleep(15 * time.Second)
		s.Expect(s.rolloutState()).To(gomega.Equal("rolled_back"))
		s.Expect(arrivalCount(s.newReplicas)).To(gomega.Equal(before), "requests at a version that was rolled back")
	})
}

// Guards against a blocked poison request that is forgotten when a restore loses its record.
func TestPoisonRecordMissingFromTheBackupIsWrittenAgain(t *testing.T) {
	runCrashes(t, crashCase{route: "stream", interval: 300 * time.Millisecond}, func(s *crashScenario) {
		backup := s.deployment.Store.Backup()
		for i := 0; len(s.crashTimes()) < crashesToBlock; i++ {
			s.sendInBackground(hosts[i%len(hosts)], "stream", poisonPath)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		s.Expect(s.deployment.Store.Value("thornwalk/barred")).NotTo(gomega.BeEmpty())
		s.deployment.Store.Restore(backup)
		s.Expect(s.deployment.Store.Value("thornwalk/barred")).To(gomega.BeEmpty())
		time.Sleep(2 * time.Second)
		s.Expect(s.deployment.Store.Value("thornwalk/barred")).NotTo(gomega.BeEmpty())
		s.Expect(s.deployment.Node("n1").Status().Blocked).To(gomega.HaveLen(1))
	})
}

// Guards against store answers of an earlier era, or without one, that change what nodes know.
func TestStoreAnswersOfAnEarlierEraAreIgnored(t *testing.T) {
	for name, era := range map[string]int64{"an earlier era": 1, "no era": -1} {
		t.Run(name, func(t *testing.T) {
			runRestore(t, func(s *restoreScenario) {
				s.restore(0)
				s.repeatWritesAfterDelay()
				time.Sleep(restoreWindow)
				s.deployment.Store.SetEra(era)
				s.deployment.Store.Delete("servers/" + s.plainReplicas[0].ID) // an answer of an earlier era may lack the entry
				s.deployment.Store.Compact()
				time.Sleep(4 * time.Second)
				for _, host := range hosts {
					status := s.deployment.Node(host).Status()
					s.Expect(status.Era).To(gomega.Equal(int64(2)))
					s.Expect(status.Replicas).To(gomega.HaveLen(9))
				}
				s.Expect(s.loggedEvents("store.era")).To(gomega.ContainElement(gomega.HaveField("Outcome", "kept-out")))
				s.Expect(s.countArrivals(s.plainReplicas[0], 30)).To(gomega.BeNumerically(">", 0))
				s.deployment.Store.SetEra(2)
				time.Sleep(4 * time.Second)
				s.Expect(s.deployment.Node("n1").Status().Replicas).To(gomega.HaveLen(8))
			})
		})
	}
}

// restoreWindow is at least the nodes' restore window, in which they keep entries that the
// restored store lacks.
const restoreWindow = 4 * time.Second
