package entry

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// Guards against drains that reach nodes late after a restore window because complete pulls of many
// replicas time out on narrow links, and later changes are not pulled meanwhile.
func TestDrainsArriveInTimeOnNarrowLinksAfterARestore(t *testing.T) {
	for _, megabits := range []float64{5, 2} {
		t.Run(fmt.Sprint(megabits, " Mbps"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startFleet(t)
				defer s.stop(fleetHosts)
				for i := range 2 * replicaCount {
					(&platformsim.Replica{ID: fmt.Sprint("other", i), Service: "others", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Zone: "east", Slots: 1}).Register(s.deployment.Store, "ready")
				}
				s.awaitReady()
				time.Sleep(5 * time.Second)
				s.backup = s.deployment.Store.Backup()
				s.registerRepeatedly()
				for _, host := range fleetHosts {
					s.fabric.SetBandwidth(host, megabits*1e6)
				}
				time.Sleep(2 * time.Second)
				s.restore(0)
				time.Sleep(restoreWindow + 200*time.Millisecond)
				var delays []time.Duration
				for range 8 {
					revision := s.plainReplicas[1].Register(s.deployment.Store, "draining")
					writtenAt := time.Now()
					for time.Since(writtenAt) < 30*time.Second {
						time.Sleep(50 * time.Millisecond)
						if !slices.ContainsFunc(fleetHosts, func(host string) bool {
							return !slices.ContainsFunc(s.deployment.Node(host).Status().Replicas, func(known replicas.Replica) bool {
								return known.ID == s.plainReplicas[1].ID && known.Position.Revision() >= revision
							})
						}) {
							break
						}
					}
					delays = append(delays, time.Since(writtenAt))
					time.Sleep(500 * time.Millisecond)
				}
				t.Log("each drain known to all nodes after", delays)
				s.Expect(slices.Max(delays)).To(gomega.BeNumerically("<", 2*time.Second))
			})
		})
	}
}
