package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Engines that are silent for a while, go on, and end as planned a few seconds later.

// endEngine ends the engine in an orderly way. An engine that drains states it first; any other one deletes its entry
// and serves for as long. An engine that restarts does so under its ID.
func (s *silentScenario) endEngine(index int, drains, restarts bool) {
	engine, host := s.engines[index], s.engineHosts[index]
	if drains {
		engine.Register(s.deployment.Store, "draining")
	} else {
		s.deployment.Store.Delete("servers/" + engine.ID)
	}
	time.Sleep(500 * time.Millisecond)
	engine.Crash()
	switch {
	case restarts:
		next := &platformsim.Replica{ID: engine.ID, Service: engine.Service, Zone: engine.Zone, Version: engine.Version, Slots: engine.Slots, Events: engine.Events, Step: engine.Step, StartedAt: time.Now().UnixMilli()}
		s.Expect(s.deployment.AddReplica(host, next)).To(gomega.Succeed())
	case drains:
		s.deployment.Store.Delete("servers/" + engine.ID)
	}
}

// Guards against a request that is refused as one that crashes replicas because engines were silent under it, went on,
// and ended as planned later.
func TestPlannedEndOfASilentEngineIsNoCrash(t *testing.T) {
	const silent, sameContent = 3, "/resume/popular"
	for _, end := range []struct{ drains, restarts bool }{{true, false}, {true, true}, {false, false}} {
		t.Run(fmt.Sprintf("drains %v, restarts under its ID %v", end.drains, end.restarts), func(t *testing.T) {
			runSilent(t, func(s *silentScenario) {
				var group sync.WaitGroup
				send := func(count int, path string) {
					for i := range count {
						group.Go(func() {
							s.do(hosts[i%len(hosts)], http.MethodGet, path, func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "8000") })
						})
					}
				}
				send(silentStreams, sameContent)
				s.silence(s.engineHosts[:silent], 1900*time.Millisecond)
				group.Wait()
				send(silentStreams, "/resume/other") // the engines show that they go on
				group.Wait()
				for i := range silent {
					s.endEngine(i, end.drains, end.restarts)
				}
				time.Sleep(3 * time.Second)
				s.Expect(s.loggedEvents("content")).To(gomega.BeEmpty(), "requests that are suspect or blocked")
				s.Expect(s.do("n1", http.MethodGet, sameContent, nil).status).To(gomega.Equal(http.StatusOK))
			})
		})
	}
}
