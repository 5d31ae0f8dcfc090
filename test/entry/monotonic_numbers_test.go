package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/entrylab"
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
func watchNumbers(s *scenario, done chan struct{}) []string {
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
				done, ended := make(chan struct{}), make(chan struct{})
				var fallen []string
				go func() { defer close(ended); fallen = watchNumbers(s.scenario, done) }()
				s.write("op/config", func() { s.configure(func(c *entrylab.Configuration) { c.Routes = slices.Clone(c.Routes[:4]) }) })
				s.registerRepeatedly()
				time.Sleep(time.Second)
				fault(s)
				s.repeatWritesAfterDelay()
				s.registerRepeatedly()
				time.Sleep(8 * time.Second)
				close(done)
				<-ended
				s.Expect(fallen).To(gomega.BeEmpty())
			})
		})
	}
}
