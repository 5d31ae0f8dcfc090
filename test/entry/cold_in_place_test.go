package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// startInPlace starts a replica on the host under the ID of the former one, which has ended, without an entry.
func startInPlace(s *scenario, host string, former *platformsim.Replica) *platformsim.Replica {
	next := &platformsim.Replica{
		ID: former.ID, Service: former.Service, Zone: former.Zone, Version: former.Version, Slots: former.Slots, Events: former.Events, Step: former.Step,
		StartedAt: time.Now().UnixMilli(),
	}
	s.Expect(s.deployment.StartReplica(host, next)).To(gomega.Succeed())
	return next
}

// coldRateOf returns the most requests that arrive in a second at a replica that starts again in place, while it is
// cold, under full load.
func coldRateOf(s *evacuationScenario, disturb func(end, restart func())) int {
	var next *platformsim.Replica
	var startedAt time.Time
	former := s.east[0]
	go disturb(func() { former.Crash() }, func() {
		next, startedAt = startInPlace(&s.scenario, "x0", former), time.Now()
	})
	s.load(12*time.Second, 380)
	s.Expect(next).NotTo(gomega.BeNil())
	s.Expect(next.Arrivals()).To(gomega.BeNumerically(">", coldRate), "requests to the replica, cold or not")
	return maxArrivalsPerSecond([]*platformsim.Replica{next}, startedAt, coldTime-time.Second)
}

// Guards against full traffic to a replica that ended and started again in place while the store is away: it is cold,
// and its known entry says that it is warm.
func TestReplicaThatStartsAgainInPlaceIsColdWithoutTheStore(t *testing.T) {
	const untilEntry = 5 * time.Second
	cases := map[string]struct {
		untilRestart time.Duration
		away, back   func(s *evacuationScenario)
	}{
		"the store is down": {
			2 * time.Second, func(s *evacuationScenario) { s.deployment.Store.SetDown(true) },
			func(s *evacuationScenario) { s.deployment.Store.SetDown(false) },
		},
		"it starts again soon": {
			400 * time.Millisecond, func(s *evacuationScenario) { s.deployment.Store.SetDown(true) },
			func(s *evacuationScenario) { s.deployment.Store.SetDown(false) },
		},
		"no node reaches the store": {
			2 * time.Second, func(s *evacuationScenario) { s.fabric.Partition(s.nodes, []string{"store"}) },
			func(s *evacuationScenario) { s.fabric.Heal() },
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runEvacuation(t, func(s *evacuationScenario) {
				highest := coldRateOf(s, func(end, restart func()) {
					time.Sleep(time.Second)
					test.away(s)
					time.Sleep(time.Second)
					end()
					time.Sleep(test.untilRestart)
					restart()
					time.Sleep(untilEntry)
					test.back(s)
				})
				t.Logf("%d requests a second, answers by status %v", highest, s.repliesByStatus)
				s.Expect(highest).To(gomega.BeNumerically("<=", maxColdPerSecond), "requests a second")
				s.Expect(s.repliesByStatus).To(gomega.HaveLen(1), "the requests that it broke off are sent again")
			})
		})
	}
}
