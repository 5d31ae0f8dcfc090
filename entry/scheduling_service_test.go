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

// Guards against a round of decisions for each change, which would overload the scheduling node.
func TestDecisionsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		start := time.Now()
		service := newSchedulingService(func() time.Duration { return time.Since(start) }, retrybudget.Policy{Window: time.Second}, true)
		service.update(func(scheduler *admission.Scheduler) {
			scheduler.SetReplicas(0, []replicas.Replica{{ID: "r", Service: "s", Slots: 100}})
		})
		done := make(chan *assignReply, 50)
		for i := range 50 {
			go func() {
				done <- service.assign(t.Context(), &assignRequest{Request: admission.Request{
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
		service.timer.Stop()
	})
}

// Guards against a request counting several times for the retry budget after failed connects, which
// would raise the number of retries beyond the operators' bound.
func TestARequestCountsOnceForTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		start := time.Now()
		service := newSchedulingService(func() time.Duration { return time.Since(start) }, retrybudget.Policy{Ratio: 1, Window: 10 * time.Second}, true)
		defer service.timer.Stop()
		service.setActive(true)
		count := 0
		submit := func(first, retry bool) string {
			count++
			_, rejection := service.submit(&assignRequest{First: first, Repeat: retry, Request: admission.Request{ID: fmt.Sprint(count), Node: "n", Service: "s"}})
			if rejection != nil {
				return rejection.Reason
			}
			return ""
		}
		g.Expect(submit(true, false)).To(gomega.BeEmpty())
		for range 5 { // failed connects
			g.Expect(submit(false, false)).To(gomega.BeEmpty())
		}
		g.Expect(submit(false, true)).To(gomega.BeEmpty())
		g.Expect(submit(false, true)).To(gomega.Equal(reasonRetryBudget))
	})
}
