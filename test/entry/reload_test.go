package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
)

// Guards against requests that are cut, refused or run twice as the settings change under them, in a planned stop too.
func TestReloadsUnderRequestsChangeNoAnswer(t *testing.T) {
	for name, change := range map[string]func(*entry.Settings){
		"nothing":         func(*entry.Settings) {},
		"shorter grace":   func(settings *entry.Settings) { settings.StopGrace = 2000 },
		"longer grace":    func(settings *entry.Settings) { settings.StopGrace = 20_000 },
		"other addresses": func(settings *entry.Settings) { settings.Callers, settings.PeerPort = "other:1", 1 },
		"other name":      func(settings *entry.Settings) { settings.Name = "other" },
		"other zone":      func(settings *entry.Settings) { settings.Zone = "north" },
		"smaller memory":  func(settings *entry.Settings) { settings.MemoryLimitMB, settings.BufferMB = 32, 1 },
		"tenant shares on": func(settings *entry.Settings) {
			settings.TenantShares, settings.PlannedReturns = entry.SharesEqual, true
		},
	} {
		for _, stops := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stopping %t", name, stops), func(t *testing.T) {
				settings := map[string]entry.Settings{}
				remember := func(own *entry.Settings) { settings[own.Name] = *own }
				runAdjusted(t, remember, func(s *scenario) {
					for _, replica := range s.plainReplicas {
						replica.Step, replica.Slots = 900*time.Millisecond, 16
						replica.Register(s.deployment.Store, "ready")
					}
					time.Sleep(time.Second)
					stopped := make(<-chan bool)
					if stops {
						stopped = s.stopInBackground("n1")
					}
					var group sync.WaitGroup
					for i := range 12 {
						path := []string{"/once/", "/safe/", "/stream/"}[i%3]
						if path == "/stream/" && i > 3 {
							continue // two engines with two slots each
						}
						group.Go(func() {
							got := s.do("n1", http.MethodPost, path, nil)
							s.Expect(got.status).To(gomega.Equal(200))
							s.Expect(got.complete).To(gomega.BeTrue())
						})
						time.Sleep(50 * time.Millisecond)
					}
					changed := settings["n1"]
					change(&changed)
					s.deployment.Node("n1").Reload(&changed)
					time.Sleep(100 * time.Millisecond)
					group.Go(func() { s.Expect(s.do("n1", http.MethodPost, "/once/", nil).status).To(gomega.Equal(200)) })
					group.Wait()
					for id, count := range s.runCounts() {
						s.Expect(count).To(gomega.Equal(1), id)
					}
					if stops {
						<-stopped
					}
				})
			})
		}
	}
}

// Guards against slots that are given twice, as a reload makes the scheduling node take a node for one that has ended.
func TestReloadWithAnotherNameKeepsSlots(t *testing.T) {
	settings := map[string]entry.Settings{}
	remember := func(own *entry.Settings) { settings[own.Name] = *own }
	runAdjusted(t, remember, func(s *scenario) {
		time.Sleep(time.Second)
		node, scheduler := s.followers()[0], s.scheduler()
		for _, replica := range s.plainReplicas {
			replica.Step = 3500 * time.Millisecond
		}
		var group sync.WaitGroup
		s.takeAllSlots(&group, node)
		time.Sleep(50 * time.Millisecond)
		changed := settings[node]
		changed.Name, changed.Host, changed.PeerPort = "other", "other", 1
		s.deployment.Node(node).Reload(&changed)
		time.Sleep(2500 * time.Millisecond)
		status := s.deployment.Node(scheduler).Status()
		s.Expect(status.Live).To(gomega.ContainElement(node))
		s.Expect(status.Live).NotTo(gomega.ContainElement("other"))
		got := s.do(scheduler, http.MethodPost, "/once/", deadline("500"))
		s.Expect(got.status).To(gomega.Equal(503), "no slot is free")
		group.Wait()
	})
}

// stopInBackground stops the node. The channel is closed once it has ended.
func (s *scenario) stopInBackground(host string) <-chan bool {
	stopped := make(chan bool)
	go func() { s.deployment.Node(host).Stop(); close(stopped) }()
	return stopped
}
