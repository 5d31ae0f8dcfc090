package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/retrybudget"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// A round of decisions for each change would keep the scheduling node busy until its
// memory runs out.
func TestManyChangesShareARoundOfDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		begun := time.Now()
		d := newDesk(func() time.Duration { return time.Since(begun) }, retrybudget.Policy{Window: time.Second}, true)
		d.update(func(s *admission.Scheduler) { s.SetReplicas([]replicas.Replica{{ID: "r", Service: "s", Slots: 100}}) })
		done := make(chan *placeReply, 50)
		for i := range 50 {
			go func() {
				done <- d.place(t.Context(), &placeRequest{Request: admission.Request{
					ID: fmt.Sprint(i), Node: "n", Service: "s", Patience: time.Second, Target: time.Second, Deadline: time.Second,
				}})
			}()
		}
		synctest.Wait()
		g.Expect(len(done)).To(gomega.BeNumerically("<=", 1))
		time.Sleep(decideInterval)
		synctest.Wait()
		g.Expect(done).To(gomega.HaveLen(50))
		for range 50 {
			g.Expect((<-done).Reason).To(gomega.BeEmpty())
		}
		d.timer.Stop()
	})
}
