package entry

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Guards against a caller that came back when told, at another node, and is assigned behind new
// requests of its tenant and priority that arrived shortly before.
func TestCallerThatComesBackWhenToldGoesAheadOfNewcomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fullPool{scenario: scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}}
		s.start(hosts, []string{"east", "west"}, func(settings *entry.Settings) {
			settings.PlannedReturns, settings.QueueOrder = true, entry.OrderFeasible
		})
		s.configure(addPool)
		replica := &platformsim.Replica{ID: "i-x1", Service: "pool", Zone: "east", Slots: fullPoolSlots, Step: fullPoolStep}
		s.Expect(s.deployment.AddReplica("x1", replica)).To(gomega.Succeed())
		s.awaitReady()
		defer s.stop(hosts)
		time.Sleep(time.Second)
		var group sync.WaitGroup
		for i := range fullPoolSlots { // one slot becomes free each 5 ms
			group.Go(func() { s.do("n1", http.MethodGet, fmt.Sprint("/pool/running", i), nil) })
			time.Sleep(5 * time.Millisecond)
		}
		told := s.refuse("n2", "/pool/a", "first")
		time.Sleep(told + 200*time.Millisecond)
		for i := range 3 {
			group.Go(func() {
				s.do(hosts[i%3], http.MethodGet, fmt.Sprint("/pool/new", i), withRequestID(fmt.Sprint("new", i)))
			})
		}
		time.Sleep(20 * time.Millisecond)
		s.Expect(s.do("n3", http.MethodGet, "/pool/a", withRequestID("returned")).status).To(gomega.Equal(200))
		group.Wait()
		var order []string
		for _, run := range replica.Runs() {
			order = append(order, run.ID)
		}
		t.Logf("%v", order[fullPoolSlots:])
		s.Expect(slices.Index(order, "returned")).To(gomega.Equal(fullPoolSlots), "the first after the running ones")
		s.Expect(s.returnCounts(hosts...)["on_time"]).To(gomega.Equal(1))
	})
}
