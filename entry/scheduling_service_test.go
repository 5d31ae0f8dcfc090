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
func TestDecisionsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		begun := time.Now()
		d := newSchedulingService(func() time.Duration { return time.Since(begun) }, retrybudget.Policy{Window: time.Second}, true)
		d.update(func(s *admission.Scheduler) {
			s.SetReplicas(0, []replicas.Replica{{ID: "r", Service: "s", Slots: 100}})
		})
		done := make(chan *assignReply, 50)
		for i := range 50 {
			go func() {
				done <- d.assign(t.Context(), &assignRequest{Request: admission.Request{
					ID: fmt.Sprint(i), Node: "n", Service: "s", Patience: time.Second, Target: time.Second, Deadline: time.Second,
				}})
			}()
		}
		synctest.Wait()
		g.Expect(len(done)).To(gomega.BeNumerically("<=", 1))
		time.Sleep(minDecideInterval)
		synctest.Wait()
		g.Expect(done).To(gomega.HaveLen(50))
		for range 50 {
			g.Expect((<-done).Reason).To(gomega.BeEmpty())
		}
		d.timer.Stop()
	})
}

// While many replicas were down, each place that a request asked for after a connect that failed
// counted as one more request, and the share of repeats that the operators allow grew with it:
// 3,258 repeats in ten seconds for 8,047 requests, where 1,807 are allowed.
func TestARequestCountsOnceForTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		begun := time.Now()
		d := newSchedulingService(func() time.Duration { return time.Since(begun) }, retrybudget.Policy{Ratio: 1, Window: 10 * time.Second}, true)
		defer d.timer.Stop()
		d.setActive(true)
		asked := 0
		ask := func(first, repeat bool) string {
			asked++
			_, refused := d.submit(&assignRequest{First: first, Repeat: repeat, Request: admission.Request{ID: fmt.Sprint(asked), Node: "n", Service: "s"}})
			if refused != nil {
				return refused.Reason
			}
			return ""
		}
		g.Expect(ask(true, false)).To(gomega.BeEmpty())
		for range 5 { // connects that failed
			g.Expect(ask(false, false)).To(gomega.BeEmpty())
		}
		g.Expect(ask(false, true)).To(gomega.BeEmpty())
		g.Expect(ask(false, true)).To(gomega.Equal(reasonRetryBudget))
	})
}
