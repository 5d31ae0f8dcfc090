package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/retrybudget"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// Guards against retries that are refused because assignments that were returned unsent have used up the retry
// budget, and against a budget that is exceeded: what a replica rejected has arrived at it, nodes of the version before
// don't say what was unsent, and a message may be lost, repeated or arrive in another term.
func TestOnlyUnsentRetryGivesItsPermitBack(t *testing.T) {
	unsent := finishRequest{NotRun: true, Unsent: true}
	for name, test := range map[string]struct {
		finishes []finishRequest
		between  func(*schedulingService)
		credited bool
	}{
		"returned unsent":                 {[]finishRequest{unsent}, nil, true},
		"returned unsent, sent again":     {[]finishRequest{unsent, unsent, unsent}, nil, true},
		"not run, node of earlier code":   {[]finishRequest{{NotRun: true}}, nil, false},
		"rejected by the replica":         {[]finishRequest{{NotRun: true, Rejected: true}}, nil, false},
		"unsent and rejected":             {[]finishRequest{{NotRun: true, Rejected: true, Unsent: true}}, nil, false},
		"unsent but it ran":               {[]finishRequest{{Unsent: true}}, nil, false},
		"ended, then a contradicting one": {[]finishRequest{{}, unsent}, nil, false},
		"lost":                            {nil, nil, false},
		"another node scheduled meanwhile": {[]finishRequest{unsent}, func(s *schedulingService) {
			s.setActive(false)
			s.setActive(true)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				start := time.Now()
				service := newSchedulingService(func() time.Duration { return time.Since(start) }, retrybudget.Policy{Ratio: 0.2, Slack: 40, Window: time.Hour}, false)
				defer service.timer.Stop()
				service.setActive(true)
				service.update(func(scheduler *admission.Scheduler) {
					scheduler.SetReplicas(0, []replicas.Replica{{ID: "r", Service: "s", Slots: 100}})
				})
				count := 0
				ask := func(isRepeat bool) (string, string) {
					count++
					id := fmt.Sprint(count)
					return id, service.assign(t.Context(), &assignRequest{First: !isRepeat, Repeat: isRepeat, Request: admission.Request{
						ID: id, Node: "n", Service: "s", Patience: time.Second, Target: time.Second, Deadline: time.Second,
					}}).Reason
				}
				for range 10 {
					ask(false)
				}
				id, reason := ask(true)
				g.Expect(reason).To(gomega.BeEmpty())
				_, reason = ask(true)
				g.Expect(reason).To(gomega.BeEmpty())
				if test.between != nil {
					test.between(service)
				}
				for _, finish := range test.finishes {
					finish.ID = id
					service.finish(&finish)
				}
				permitted := 0
				for range 5 {
					if _, reason := ask(true); reason == "" {
						permitted++
					}
				}
				g.Expect(permitted == 1).To(gomega.Equal(test.credited))
				g.Expect(permitted).To(gomega.BeNumerically("<=", 1))
			})
		})
	}
}

// Guards against a permit that is used up by a grant that the node that asked never got, as its connection ended at the
// moment of the decision.
func TestGrantThatIsNotDeliveredGivesItsPermitBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		service := newActiveService(16)
		defer service.timer.Stop()
		ended, end := context.WithCancel(t.Context())
		end()
		delivered := 0
		for i := range 10 {
			if service.assign(ended, newTenantRetry(fmt.Sprint(i))).Reason == "" {
				delivered++
			}
			time.Sleep(2 * minDecideInterval)
		}
		g.Expect(service.retryStats()["s"].Retries).To(gomega.Equal(delivered))
		g.Expect(service.counts()["s"].InFlight["r"]).To(gomega.Equal(delivered))
		g.Expect(service.charges).To(gomega.HaveLen(delivered))
	})
}
