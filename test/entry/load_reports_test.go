package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// requestsWithWorkTimes is the number of requests that runWithWorkTimes sends.
const requestsWithWorkTimes = 40

// runWithWorkTimes has two equal engines learned, then sends requests one at a time while they report
// these work times, and calls check with how many each ran of these.
func runWithWorkTimes(t *testing.T, workTimes [2]int, check func(s *scenario, runs [2]int)) {
	synctest.Test(t, func(t *testing.T) {
		s := &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}
		s.start(hosts, []string{"east"}, nil)
		s.configure(func(c *entrylab.Configuration) {
			c.Routes = append(c.Routes, entrylab.Route{Name: "shared", Host: "service.example", PathPrefix: "/shared/", Kind: "streaming", Timeout: 4000, Target: 1000, Service: "pool", Attempts: 1})
			c.Services = append(c.Services, entrylab.Service{Name: "pool"})
		})
		var pool [2]*platformsim.Replica
		for i, host := range []string{"x0", "x1"} {
			pool[i] = &platformsim.Replica{ID: "i-" + host, Service: "pool", Zone: "east", Slots: 4, Events: 4, Step: 10 * time.Millisecond}
			s.Expect(s.deployment.AddReplica(host, pool[i])).To(gomega.Succeed())
		}
		s.awaitReady()
		defer s.stop(hosts)
		send := func(i int) {
			got := s.do(hosts[i%len(hosts)], http.MethodGet, fmt.Sprint("/shared/", i), nil)
			s.Expect(got.status).To(gomega.Equal(http.StatusOK))
			s.Expect(got.complete).To(gomega.BeTrue())
		}
		var group sync.WaitGroup
		for i := range 2 * pool[0].Slots { // occupies all slots, so that both speeds are learned
			group.Go(func() { send(i) })
		}
		group.Wait()
		var before [2]int
		for i, replica := range pool {
			before[i] = len(replica.Runs())
			s.Expect(before[i]).To(gomega.Equal(replica.Slots))
			replica.SetWorkTime(workTimes[i])
		}
		for i := range requestsWithWorkTimes {
			send(i)
			time.Sleep(50 * time.Millisecond)
		}
		check(s, [2]int{len(pool[0].Runs()) - before[0], len(pool[1].Runs()) - before[1]})
	})
}

// unreadableLoads returns how many load reports the nodes could not read, by their metrics.
func (s *scenario) unreadableLoads() int {
	total := 0
	for _, host := range hosts {
		request, err := http.NewRequest(http.MethodGet, "http://"+entrylab.OperatorsAddress(host)+"/metrics", nil)
		s.Expect(err).NotTo(gomega.HaveOccurred())
		if _, after, found := strings.Cut(s.send(request).body, "thornwalk_loads_unreadable "); found {
			line, _, _ := strings.Cut(after, "\n")
			count, err := strconv.Atoi(line)
			s.Expect(err).NotTo(gomega.HaveOccurred())
			total += count
		}
	}
	return total
}

// Guards against a work time that is lost between the replica's header and the choice of replicas at the
// scheduling node, and against a disturbed replica that gets nothing at all.
func TestDisturbedReplicaGetsFewerRequests(t *testing.T) {
	for disturbed := range 2 {
		workTimes := [2]int{100, 100}
		workTimes[disturbed] = 250
		runWithWorkTimes(t, workTimes, func(s *scenario, runs [2]int) {
			t.Logf("runs %v with work times %v", runs, workTimes)
			s.Expect(runs[disturbed]).To(gomega.BeNumerically("<", runs[1-disturbed]/2))
			if disturbed == 0 { // the first one in order gets requests whenever both cost the same
				s.Expect(runs[disturbed]).To(gomega.BeNumerically(">", 0))
			}
			s.Expect(s.unreadableLoads()).To(gomega.BeZero())
		})
	}
}

// Guards against load reports that fail requests or aren't counted when they can't be read.
func TestUnreadableLoadReportsAreCounted(t *testing.T) {
	runWithWorkTimes(t, [2]int{-1, 10_001}, func(s *scenario, runs [2]int) {
		s.Expect(runs[0] + runs[1]).To(gomega.Equal(requestsWithWorkTimes))
		s.Expect(s.unreadableLoads()).To(gomega.Equal(requestsWithWorkTimes))
	})
}
