package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/quota"
	"github.com/thornwalk/thornwalk/coordination/retrybudget"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// newActiveService returns an active scheduling service with one replica of that many slots.
func newActiveService(slots int) *schedulingService {
	start := time.Now()
	service := newSchedulingService(func() time.Duration { return time.Since(start) }, retrybudget.Policy{Slack: 40, Window: time.Minute}, true)
	service.setActive(true)
	service.update(func(scheduler *admission.Scheduler) {
		scheduler.SetReplicas(0, []replicas.Replica{{ID: "r", Service: "s", Slots: slots}})
	})
	return service
}

// newTenantRetry returns a retry of a tenant with a quota of ten requests.
func newTenantRetry(id string) *assignRequest {
	return &assignRequest{
		Request: admission.Request{ID: id, Node: "n", Service: "s", Patience: time.Second, Target: time.Second, Deadline: time.Second},
		Repeat:  true, Tenant: "t", Limit: quota.Limit{Rate: 0.001, Burst: 10}, Cost: 1,
	}
}

// Guards against a slot, a permit of the retry budget or quota that a cancelled request takes because it is handled
// after its cancellation, also when the scheduling state is cleared or the scheduling node changes between them.
func TestCancellationHoldsForARequestThatIsHandledLater(t *testing.T) {
	for name, between := range map[string]func(*schedulingService){
		"at once":                           func(*schedulingService) {},
		"cancellation sent again":           func(s *schedulingService) { s.finish(&finishRequest{ID: "p.1.a", NotRun: true}) },
		"at the end of the resend window":   func(*schedulingService) { time.Sleep(finishRetryWindow) },
		"after a long suspension":           func(*schedulingService) { time.Sleep(time.Hour) },
		"another node schedules for a time": func(s *schedulingService) { s.setActive(false); s.setActive(true) },
		"after a reset": func(s *schedulingService) {
			s.reset([]replicas.Replica{{ID: "r", Service: "s", Slots: 16}}, nil)
		},
		"beside as many others as are remembered": func(s *schedulingService) {
			for i := range maxCancellations - 1 {
				s.finish(&finishRequest{ID: fmt.Sprint("p.", i, ".b"), NotRun: true})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				service := newActiveService(16)
				defer service.timer.Stop()
				service.finish(&finishRequest{ID: "p.1.a", NotRun: true})
				between(service)
				request := newTenantRetry("p.1.a")
				level := func() float64 { return service.quotas.Level(service.clock(), "t", request.Limit) }
				permits, levelBefore := service.retryStats()["s"], level()
				started := time.Now()
				reply := service.assign(t.Context(), request)
				g.Expect(time.Since(started)).To(gomega.BeZero())
				g.Expect(reply.Reason).To(gomega.Equal(reasonUnreachable))
				g.Expect(service.counts()["s"].InFlight["r"]).To(gomega.BeZero())
				g.Expect(service.counts()["s"].Queued).To(gomega.BeZero())
				g.Expect(service.charges).To(gomega.BeEmpty())
				g.Expect(service.retryStats()["s"]).To(gomega.Equal(permits))
				g.Expect(level()).To(gomega.Equal(levelBefore))
			})
		})
	}
}

// Guards against requests that are rejected because of the cancellation of another one: a request that is asked
// again has another ID, and the end of a request that ran cancels nothing.
func TestCancellationHoldsForOneRequestOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		service := newActiveService(16)
		defer service.timer.Stop()
		service.finish(&finishRequest{ID: "p.1.a", NotRun: true})
		service.finish(&finishRequest{ID: "p.2.a"})
		for _, id := range []string{"p.1.b", "p.2.a", "p.11.a"} {
			g.Expect(service.assign(t.Context(), newTenantRetry(id)).Reason).To(gomega.BeEmpty(), id)
		}
		g.Expect(service.counts()["s"].InFlight["r"]).To(gomega.Equal(3))
	})
}

// Guards against memory that grows with cancellations whose requests never arrive.
func TestRememberedCancellationsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var remembered cancellations
	for i := range 5 * maxCancellations {
		remembered.add(0, fmt.Sprint(i))
		g.Expect(len(remembered.current) + len(remembered.previous)).To(gomega.BeNumerically("<=", 2*maxCancellations))
	}
	g.Expect(remembered.has(0, fmt.Sprint(5*maxCancellations-1))).To(gomega.BeTrue())
	g.Expect(remembered.has(0, "0")).To(gomega.BeFalse())
	latest := fmt.Sprint(5*maxCancellations - 1)
	g.Expect(remembered.has(cancellationRetention+1, latest)).To(gomega.BeTrue())
	g.Expect(remembered.has(2*cancellationRetention+2, latest)).To(gomega.BeFalse())
	g.Expect(remembered.current).To(gomega.BeEmpty())
	g.Expect(remembered.previous).To(gomega.BeEmpty())
}

// Guards against calls of cancelled requests that stay open until their connection ends. A connection serves a limited
// number of calls at a time and is stuck once all of them stay open.
func TestCallOfACancelledQueuedRequestReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		service := newActiveService(1)
		defer service.timer.Stop()
		connection, closeConnection := context.WithCancel(t.Context())
		defer closeConnection()
		g.Expect(service.assign(connection, newTenantRetry("running")).Reason).To(gomega.BeEmpty())
		replies := make(chan *assignReply, 1)
		go func() { replies <- service.assign(connection, newTenantRetry("queued")) }()
		time.Sleep(100 * time.Millisecond)
		service.finish(&finishRequest{ID: "queued", NotRun: true})
		time.Sleep(time.Minute)
		g.Expect(replies).To(gomega.HaveLen(1))
		g.Expect((<-replies).Reason).To(gomega.Equal(reasonUnreachable))
	})
}
