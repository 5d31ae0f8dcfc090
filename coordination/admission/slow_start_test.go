package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// warming is the bound of a service whose cold replicas bear 19 requests in a second.
var testSlowStart = NewSlowStart(19, 3*time.Second)

// coldPool returns replicas that say to stay cold for so long, in the zone "east".
func coldPool(count int, left time.Duration) []replicas.Replica {
	all := replicasWithSlots(make([]int, count)...)
	for i := range all {
		all[i].Slots, all[i].Zone, all[i].Warmup, all[i].Position = 1000, "east", left, structs.StorePosition(i+1)
	}
	return all
}

// ask submits so many requests and returns how many got a place.
func submitAndAssign(s *Scheduler, now structs.Instant, count int) int {
	for range count {
		s.Submit(now, newRequest(fmt.Sprint(now, "-", len(s.queued), "-", len(s.assignments)), 0))
	}
	return len(assignedIDs(s.Decide(now)))
}

func TestColdReplicaGetsLimitedRequestsUntilWarm(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetSlowStart("s", testSlowStart)
	s.SetReplicas(0, coldPool(1, 2*time.Second))
	g.Expect(submitAndAssign(s, 0, 50)).To(gomega.BeZero(), "this scheduler does not lead")
	s.SetColdTrafficAllowed(0, true)
	given := 0
	for now := structs.Instant(0); now < time.Second; now += 10 * ms {
		given += len(assignedIDs(s.Decide(now)))
	}
	g.Expect(given).To(gomega.BeNumerically("~", testSlowStart.Rate, 1))
	g.Expect(assignedIDs(s.Decide(2*time.Second))).To(gomega.HaveLen(50-given), "it is warm")
}

// As long as the configuration is not known, nobody knows what a cold replica bears.
func TestColdReplicaGetsNothingWithoutSlowStartSetting(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetColdTrafficAllowed(0, true)
	s.SetReplicas(0, coldPool(1, 2*time.Second))
	g.Expect(submitAndAssign(s, time.Second, 10)).To(gomega.BeZero())
	s.SetSlowStart("s", SlowStart{})
	g.Expect(assignedIDs(s.Decide(time.Second))).To(gomega.HaveLen(10), "there is none")
}

func TestWarmReplicasTakeWhatColdOnesMayNot(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetSlowStart("s", testSlowStart)
	s.SetColdTrafficAllowed(0, true)
	all := coldPool(2, 2*time.Second)
	all[1].Warmup = 0
	s.SetReplicas(0, all)
	submitAndAssign(s, time.Second, 100)
	g.Expect(s.replicaStates["r0"].assigned).To(gomega.BeNumerically("<=", testSlowStart.Burst))
	g.Expect(s.replicaStates["r0"].assigned + s.replicaStates["r1"].assigned).To(gomega.Equal(100))
}

func TestEvacuatedZoneGetsNothingAndIsColdAfterLift(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetSlowStart("s", testSlowStart)
	s.SetColdTrafficAllowed(0, true)
	s.SetReplicas(0, coldPool(1, 0))
	s.SetEvacuatedZones(0, map[string]bool{"east": true, "nowhere": true})
	s.Submit(0, newRequest("a", 0))
	decisions := s.Decide(0)
	g.Expect(decisions).To(gomega.HaveLen(1))
	g.Expect(decisions[0].Reason).To(gomega.Equal(ReasonEvacuated), "it is refused at once")
	back := time.Minute
	s.SetEvacuatedZones(back, map[string]bool{"nowhere": true})
	g.Expect(submitAndAssign(s, back, 50)).To(gomega.BeNumerically("<=", testSlowStart.Burst), "the banks were idle")
	g.Expect(submitAndAssign(s, back+testSlowStart.ColdTime-ms, 50)).To(gomega.BeNumerically("<=", testSlowStart.Burst))
	g.Expect(submitAndAssign(s, back+testSlowStart.ColdTime, 10)).To(gomega.Equal(58), "it is warm")
}

// What a cold replica is seen to do says nothing of it once it is warm.
func TestColdSpeedIsLearnedSeparately(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetSlowStart("s", testSlowStart)
	s.SetReplicas(0, coldPool(1, 2*time.Second))
	s.Observe(time.Second, "s", "r0", 0, Observation{Duration: 900 * ms})
	g.Expect(s.replicaStates["r0"].speed.stepTime).To(gomega.BeZero())
	g.Expect(s.replicaStates["r0"].coldSpeed.stepTime).To(gomega.Equal(900 * ms))
	s.Observe(3*time.Second, "s", "r0", 0, Observation{Duration: 30 * ms})
	g.Expect(s.replicaStates["r0"].speed.stepTime).To(gomega.Equal(30 * ms))
}

// coldFleet is schedulers that lead in any order before one cold replica, as a run of the check
// draws it.
type coldFleet struct {
	schedulers []*Scheduler
	// leading are one or two of them: a second one leads while it does not know of the first.
	active     []int
	now        structs.Instant
	assignedAt []structs.Instant
	// keeps is true if a scheduler keeps its banks from one time it leads to the next.
	keepsBuckets bool
}

func newColdFleet() *coldFleet {
	f := &coldFleet{}
	for range 4 {
		f.schedulers = append(f.schedulers, f.newScheduler())
	}
	f.activate(0)
	return f
}

func (f *coldFleet) newScheduler() *Scheduler {
	s := New()
	s.SetSlowStart("s", testSlowStart)
	s.SetReplicas(f.now, coldPool(1, time.Hour))
	return s
}

// begin has the scheduler lead.
func (f *coldFleet) allowColdTraffic(which int) {
	held := f.schedulers[which].replicaStates["r0"].warmUp
	f.schedulers[which].SetColdTrafficAllowed(f.now, true)
	if f.keepsBuckets {
		f.schedulers[which].coldTrafficSince = 0
		f.schedulers[which].replicaStates["r0"].warmUp = held
	}
}

func (f *coldFleet) activate(which int) {
	for _, other := range f.active {
		f.schedulers[other].SetColdTrafficAllowed(f.now, false)
	}
	f.allowColdTraffic(which)
	f.active = []int{which}
}

func (f *coldFleet) activateSecond(which int) {
	if len(f.active) == 1 && f.active[0] != which {
		f.allowColdTraffic(which)
		f.active = append(f.active, which)
	}
}

func (f *coldFleet) ask(which, count int) {
	placed := submitAndAssign(f.schedulers[which], f.now, count)
	for range placed {
		f.assignedAt = append(f.assignedAt, f.now)
	}
	for id := range f.schedulers[which].queued {
		f.schedulers[which].Cancel(id)
	}
}

// check looks at every second.
func (f *coldFleet) check() error {
	for _, from := range f.assignedAt {
		count := 0
		for _, at := range f.assignedAt {
			if at >= from && at < from+time.Second {
				count++
			}
		}
		if count > 19 {
			return fmt.Errorf("%d requests in the second from %v", count, from)
		}
	}
	return nil
}

// Whoever leads and however often that changes, a cold replica gets no more than the bound.
func TestSlowStartHoldsAcrossSchedulers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newColdFleet()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			f.now += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * ms
			which := rapid.IntRange(0, len(f.schedulers)-1).Draw(t, "scheduler")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				f.activate(which)
			case 1:
				f.activateSecond(which)
			case 2:
				f.schedulers[which] = f.newScheduler() // a process that starts again
				f.activate(which)
			default:
				f.ask(which, rapid.IntRange(1, 30).Draw(t, "requests"))
			}
		}
		if err := f.check(); err != nil {
			t.Fatal(err)
		}
	})
}

// The check must see what it is for: banks that a scheduler keeps while others lead break the bound.
func TestKeptBucketsExceedSlowStart(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, keeps := range []bool{false, true} {
		f := newColdFleet()
		f.keepsBuckets = keeps
		for which := range f.schedulers {
			f.activate(which)
			f.now += time.Second
			f.ask(which, 0)
			f.schedulers[which].coldTokens(f.now, f.schedulers[which].replicaStates["r0"], f.schedulers[which].pool("s"))
		}
		for range 4 {
			for which := range f.schedulers {
				f.activate(which)
				f.ask(which, 30)
				f.now += 100 * ms
			}
		}
		g.Expect(f.check() != nil).To(gomega.Equal(keeps))
	}
}
