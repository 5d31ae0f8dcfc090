package entry

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

const (
	// maxSettleTime is the time from the restore until the nodes use what the restored store lists: they
	// notice the restore when they retry the store, a second later at most, and the restore window
	// that they count from then is ended by housekeeping.
	maxSettleTime = time.Second + restoreWindow + housekeepingInterval
	// settleObservation exceeds the interval between complete reads.
	settleObservation = 70 * time.Second
	// housekeepingInterval is the interval of the nodes' housekeeping, which starts with the test.
	housekeepingInterval = 500 * time.Millisecond
	// halfBatchTime is half of the time in which a watch lets changes accumulate.
	halfBatchTime = 40 * time.Millisecond
)

// lostDeletion is what was deleted after the backup, and is listed again after the restore.
type lostDeletion int

const (
	// expiredEntries are those of the plain replicas, which serve all the time.
	expiredEntries lostDeletion = iota
	// liftedEvacuation is that of the zone of all replicas.
	liftedEvacuation
)

// restoredDeployment is a deployment whose restored store lists replicas that the nodes know as gone.
type restoredDeployment struct {
	*restoreScenario
	t          *testing.T
	nodes      []string
	restoredAt time.Time
	filler     *platformsim.Replica
}

// runLostDeletions runs the test right after a restore from a backup that was made before the loss's
// entries were deleted. The store lists otherReplicas more.
func runLostDeletions(t *testing.T, nodes []string, otherReplicas int, loss lostDeletion, test func(s *restoredDeployment)) {
	synctest.Test(t, func(t *testing.T) {
		base := &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}
		s := &restoredDeployment{restoreScenario: &restoreScenario{scenario: base, writes: map[string]func(){}}, t: t, nodes: nodes}
		s.start(nodes, []string{"east", "west"}, nil)
		defer s.stop(nodes)
		s.awaitReady()
		for i := range otherReplicas {
			(&platformsim.Replica{ID: fmt.Sprintf("far%04d", i), Service: "elsewhere", Address: "far:1", Zone: "east", Slots: 1}).Register(s.deployment.Store, "ready")
		}
		s.filler = s.addReplica("filler", "fillers", 0, time.Millisecond)
		time.Sleep(2 * time.Second)
		if loss == liftedEvacuation {
			s.deployment.Store.PutJSON(evacuateEastKey, struct{}{})
		}
		s.backup = s.deployment.Store.Backup()
		s.registerRepeatedly()
		if loss == liftedEvacuation {
			s.deployment.Store.Delete(evacuateEastKey)
		} else {
			for _, replica := range s.plainReplicas {
				s.deployment.Store.Delete("servers/" + replica.ID)
			}
		}
		time.Sleep(2 * time.Second)
		s.restore(time.Second)
		s.restoredAt = time.Now()
		test(s)
	})
}

// change writes the entry of a replica of another service.
func (s *restoredDeployment) change() { s.filler.Register(s.deployment.Store, "ready") }

// changeBeforeHousekeeping makes a change before each housekeeping that may end the restore window, so
// that the window ends while the nodes' watches let changes accumulate.
func (s *restoredDeployment) changeBeforeHousekeeping() {
	next := s.restoredAt.Add(restoreWindow).Truncate(housekeepingInterval)
	for ; !next.After(s.restoredAt.Add(maxSettleTime + housekeepingInterval)); next = next.Add(housekeepingInterval) {
		time.Sleep(time.Until(next) - halfBatchTime)
		s.change()
	}
}

// changeContinually makes changes until the restore window has ended.
func (s *restoredDeployment) changeContinually() {
	for time.Since(s.restoredAt) < maxSettleTime {
		s.change()
		time.Sleep(halfBatchTime)
	}
}

// quiet makes no changes.
func (*restoredDeployment) quiet() {}

// writeCases are the changes of the store while the restore window ends. Nodes check the revision instead
// of reading a store of more replicas than one answer contains.
var writeCases = []struct {
	name          string
	otherReplicas int
	write         func(s *restoredDeployment)
}{
	{"quiet store", 0, (*restoredDeployment).quiet},
	{"quiet store of many replicas", replicaCount, (*restoredDeployment).quiet},
	{"change as the window ends", 0, (*restoredDeployment).changeBeforeHousekeeping},
	{"change as the window ends, many replicas", replicaCount, (*restoredDeployment).changeBeforeHousekeeping},
	{"busy store", 0, (*restoredDeployment).changeContinually},
	{"busy store of many replicas", replicaCount, (*restoredDeployment).changeContinually},
}

// Guards against a service that stays without replicas after the restore window although the restored
// store lists them, because the complete read that the end of the window requests is lost.
func TestReplicasListedAfterARestoreAreUsedOnceTheWindowEnds(t *testing.T) {
	for _, test := range writeCases {
		t.Run(test.name, func(t *testing.T) {
			runLostDeletions(t, hosts, test.otherReplicas, expiredEntries, func(s *restoredDeployment) { s.expectReplicasUsed(test.write) })
		})
	}
}

// expectReplicasUsed checks that every node lists the plain replicas once the restore window has ended,
// and that no request is rejected from then on, while write changes the store.
func (s *restoredDeployment) expectReplicasUsed(write func(s *restoredDeployment)) {
	time.Sleep(housekeepingInterval)
	s.change() // later than all that the backup contains
	var writer sync.WaitGroup
	writer.Go(func() { write(s) })
	settled, rejected := s.observeSettling()
	writer.Wait()
	s.logEras()
	s.t.Logf("all nodes list the replicas %v after the restore; %d requests rejected after %v, the last sent %v after the restore", settled, rejected.count, maxSettleTime, rejected.last)
	s.Expect(rejected.count).To(gomega.BeZero(), "requests rejected after the restore window")
	s.Expect(settled).To(gomega.BeNumerically("<=", maxSettleTime))
}

// Guards against requests to a zone whose evacuation a restored store lists again, after the restore
// window.
func TestEvacuationListedAfterARestoreIsInForceOnceTheWindowEnds(t *testing.T) {
	for _, test := range writeCases {
		t.Run(test.name, func(t *testing.T) {
			runLostDeletions(t, hosts, test.otherReplicas, liftedEvacuation, func(s *restoredDeployment) {
				time.Sleep(housekeepingInterval)
				s.change()
				var writer sync.WaitGroup
				writer.Go(func() { test.write(s) })
				evacuated := map[string]time.Duration{}
				arrivals := -1
				for len(evacuated) < len(hosts) && time.Since(s.restoredAt) < settleObservation {
					if time.Since(s.restoredAt) > maxSettleTime && arrivals < 0 {
						arrivals = s.arrivalsOf(9)
					}
					for _, host := range hosts {
						if _, found := evacuated[host]; !found && s.isEastEvacuated(host) {
							evacuated[host] = time.Since(s.restoredAt)
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				writer.Wait()
				t.Logf("the evacuation is in force after %v; %d of 9 requests sent after %v arrived in the zone", evacuated, max(arrivals, 0), maxSettleTime)
				s.Expect(arrivals).To(gomega.BeNumerically("<=", 0), "requests in the evacuated zone")
				for _, host := range hosts {
					s.Expect(evacuated).To(gomega.HaveKeyWithValue(host, gomega.And(
						gomega.BeNumerically(">=", restoreWindow), gomega.BeNumerically("<=", maxSettleTime))))
				}
			})
		})
	}
}

// isEastEvacuated reports whether the node regards the zone east as evacuated.
func (s *restoredDeployment) isEastEvacuated(host string) bool {
	for _, status := range s.deployment.Node(host).Status().Evacuations {
		if status.Zone == "east" {
			return status.Evacuated
		}
	}
	return false
}

// arrivalsOf sends requests to the nodes in turn and returns how many arrived at the plain replicas.
func (s *restoredDeployment) arrivalsOf(requests int) int {
	before := arrivalCount(s.plainReplicas)
	var sent sync.WaitGroup
	for i := range requests {
		sent.Go(func() { s.do(s.nodes[i%len(s.nodes)], http.MethodGet, "/safe/", nil) })
	}
	sent.Wait()
	return arrivalCount(s.plainReplicas) - before
}

// rejections are the requests without success that were sent more than maxSettleTime after the restore.
type rejections struct {
	count int
	last  time.Duration
}

// observeSettling sends a request to each node every 250 ms for settleObservation. It returns when every
// node had listed all plain replicas, or settleObservation if one never did.
func (s *restoredDeployment) observeSettling() (settled time.Duration, rejected rejections) {
	settled = settleObservation
	listed := map[string]bool{}
	var mutex sync.Mutex
	var requests sync.WaitGroup
	for age := time.Since(s.restoredAt); age < settleObservation; age = time.Since(s.restoredAt) {
		for _, host := range s.nodes {
			known := 0
			for _, replica := range s.deployment.Node(host).Status().Replicas {
				if replica.Service == "registry" {
					known++
				}
			}
			if known == len(s.plainReplicas) && !listed[host] {
				listed[host] = true
				s.t.Logf("%v after the restore: node %s lists the replicas, the scheduling node is %s", age, host, s.scheduler())
				if len(listed) == len(s.nodes) {
					settled = age
				}
			}
			requests.Go(func() {
				status := s.do(host, http.MethodGet, "/safe/", nil).status
				mutex.Lock()
				defer mutex.Unlock()
				if status != http.StatusOK && age > maxSettleTime {
					rejected.count++
					rejected.last = max(rejected.last, age)
				}
			})
		}
		time.Sleep(250 * time.Millisecond)
	}
	requests.Wait()
	return settled, rejected
}

// logEras logs the events of the restore window at the nodes.
func (s *restoredDeployment) logEras() {
	time.Sleep(10 * time.Millisecond) // lets the log writers finish
	s.t.Logf("restored at %v", s.restoredAt.UTC())
	for lines := bufio.NewScanner(s.logs.reader()); lines.Scan(); {
		if strings.Contains(lines.Text(), `"store.era"`) {
			s.t.Log(lines.Text())
		}
	}
}
