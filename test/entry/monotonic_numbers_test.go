package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/state/rollouts"
)

// numbers are those that operators see of a node and that must not fall while its process lives.
type numbers struct {
	version, era, revision int64
}

// isBefore reports whether one of the numbers is lower; a revision counts within its era.
func (n numbers) isBefore(other numbers) bool {
	return n.version < other.version || n.era < other.era || n.era == other.era && n.revision < other.revision
}

// watchNumbers reads the status of all nodes until done is closed and returns what fell.
func watchNumbers(s *scenario, done <-chan struct{}) []string {
	var fallen []string
	latest := map[*entry.Node]numbers{}
	for {
		select {
		case <-done:
			return fallen
		case <-time.After(10 * time.Millisecond):
		}
		for _, host := range hosts {
			node := s.deployment.Node(host)
			status := node.Status()
			now := numbers{status.Version, status.Era, status.Revision}
			if now.isBefore(latest[node]) && len(fallen) < 10 {
				fallen = append(fallen, fmt.Sprintf("%s: %+v after %+v", host, now, latest[node]))
			}
			latest[node] = now
		}
	}
}

// Guards against versions, eras or revisions that operators see fall, while nodes and the store fail.
func TestNumbersThatOperatorsSeeDoNotFall(t *testing.T) {
	for name, fault := range map[string]func(s *restoreScenario){
		"the store is restored":                 func(s *restoreScenario) { s.restore(0) },
		"the store is restored after an outage": func(s *restoreScenario) { s.restore(2 * time.Second) },
		"the store is restored twice":           func(s *restoreScenario) { s.restore(time.Second); time.Sleep(1500 * time.Millisecond); s.restore(0) },
		"the store is restored while a node is cut off": func(s *restoreScenario) {
			s.fabric.Partition([]string{"n1"}, []string{"n2", "n3", "store"})
			s.restore(0)
			time.Sleep(2 * time.Second)
			s.fabric.Heal()
		},
		"nodes restart":                 func(s *restoreScenario) { restartNodesInTurn(s.scenario) },
		"nodes restart after a restore": func(s *restoreScenario) { s.restore(0); restartNodesInTurn(s.scenario) },
		"the scheduling node is paused": func(s *restoreScenario) { pauseScheduler(s.scenario) },
		"the store is down now and then": func(s *restoreScenario) {
			for range 3 {
				s.deployment.Store.SetDown(true)
				time.Sleep(1200 * time.Millisecond)
				s.deployment.Store.SetDown(false)
				time.Sleep(800 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runRestore(t, func(s *restoreScenario) {
				var fallen []string
				endWatch := runInBackground(func(done <-chan struct{}) { fallen = watchNumbers(s.scenario, done) })
				defer endWatch()
				s.write("op/config", func() { s.configure(func(c *entrylab.Configuration) { c.Routes = slices.Clone(c.Routes[:4]) }) })
				s.registerRepeatedly()
				time.Sleep(time.Second)
				fault(s)
				s.repeatWritesAfterDelay()
				s.registerRepeatedly()
				time.Sleep(8 * time.Second)
				endWatch()
				s.Expect(fallen).To(gomega.BeEmpty())
			})
		})
	}
}

// rolloutProgress is what operators see of a roll-out at one node. Its numbers must not fall while the process lives.
type rolloutProgress struct {
	phase                       rollouts.Phase
	requests, exposed, evidence int
}

// watchRollout reads the progress of the roll-out at all nodes until done is closed and returns what fell.
func watchRollout(s *rolloutScenario, done <-chan struct{}) []string {
	var fallen []string
	latest := map[*entry.Node]rolloutProgress{}
	for {
		select {
		case <-done:
			return fallen
		case <-time.After(20 * time.Millisecond):
		}
		for _, host := range hosts {
			node := s.deployment.Node(host)
			record := node.Status().Rollouts["registry"]
			evidence := record.EvidenceByRoute["safe"]
			now, before := rolloutProgress{record.Phase, record.Requests, record.Exposed, evidence.Good + evidence.Bad + evidence.BaselineGood + evidence.BaselineBad}, latest[node]
			if (now.phase < before.phase || now.requests < before.requests || now.exposed < before.exposed || now.evidence < before.evidence) && len(fallen) < 10 {
				fallen = append(fallen, fmt.Sprintf("%s: %+v after %+v", host, now, before))
			}
			latest[node] = now
		}
	}
}

// expectSteadyProgress checks that no progress of a roll-out falls in a course in which the fault occurs.
func expectSteadyProgress(t *testing.T, fault func(s *rolloutScenario)) {
	t.Helper()
	runRollout(t, func(s *rolloutScenario) {
		s.orderRollout("v2", nil)
		s.Expect(s.awaitRolloutState("running", 2*time.Second)).To(gomega.BeTrue())
		var fallen []string
		endWatch := runInBackground(func(done <-chan struct{}) { fallen = watchRollout(s, done) })
		defer endWatch()
		time.Sleep(3 * time.Second)
		fault(s)
		s.awaitRolloutState("completed", 2*rolloutDuration)
		time.Sleep(2 * time.Second)
		endWatch()
		s.Expect(s.rolloutState()).To(gomega.Equal("completed"))
		s.Expect(fallen).To(gomega.BeEmpty())
	})
}

// Guards against the step or the counts of a roll-out that operators see fall, while nodes and the store fail.
func TestProgressOfARolloutDoesNotFall(t *testing.T) {
	for name, fault := range map[string]func(s *rolloutScenario){
		"nothing fails": func(*rolloutScenario) {},
		"the store loses answers": func(s *rolloutScenario) {
			s.deployment.Store.SetLoseAnswers(true)
			time.Sleep(2 * time.Second)
			s.deployment.Store.SetLoseAnswers(false)
		},
		"the scheduling node is paused": func(s *rolloutScenario) { pauseScheduler(s.scenario) },
		"nodes restart":                 func(s *rolloutScenario) { restartNodesInTurn(s.scenario) },
		"a node is cut off":             func(s *rolloutScenario) { partitionNodesFor(3 * time.Second)(s.scenario) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectSteadyProgress(t, fault)
		})
	}
}

// Guards against a roll-out whose step or counts fall to those of the backup, although nodes know the later ones, so that
// its target gets the requests between them once more.
func TestProgressOfARolloutDoesNotFallAfterARestore(t *testing.T) {
	for name, outage := range map[string]time.Duration{"at once": 0, "after an outage": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectSteadyProgress(t, func(s *rolloutScenario) { s.restoreAfterASecond(outage) })
		})
	}
}

// restoreAfterASecond restores the store from a copy that is a second old, after an outage that may be zero. The order
// and the replicas are older than the copy.
func (s *rolloutScenario) restoreAfterASecond(outage time.Duration) {
	backup := s.deployment.Store.Backup()
	time.Sleep(time.Second)
	s.deployment.Store.SetDown(outage > 0)
	time.Sleep(outage)
	s.deployment.Store.Restore(backup)
	s.deployment.Store.SetDown(false)
}
