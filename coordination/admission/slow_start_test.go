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

// testSlowStart is the limit for cold replicas that can handle 19 requests in any second.
var testSlowStart = NewSlowStart(19, 3*time.Second)

// coldPool returns replicas in zone "east" whose entries state the warm-up.
func coldPool(count int, warmUp time.Duration) []replicas.Replica {
	all := replicasWithSlots(make([]int, count)...)
	for i := range all {
		all[i].Slots, all[i].Zone, all[i].Warmup, all[i].Position = 1000, "east", warmUp, structs.StorePosition(i+1)
	}
	return all
}

// submitAndAssign submits requests and returns how many are assigned at once, with any queued before.
func submitAndAssign(s *Scheduler, now structs.Instant, count int) int {
	for range count {
		s.Submit(now, newRequest(fmt.Sprint(now, "-", len(s.queued), "-", len(s.assignments)), 0))
	}
	return len(assignedIDs(s.Decide(now)))
}

// Guards against overloading a replica that has just started.
func TestColdReplicaGetsLimitedRequestsUntilWarm(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetSlowStart("s", testSlowStart)
	s.SetReplicas(0, coldPool(1, 2*time.Second))
	g.Expect(submitAndAssign(s, 0, 50)).To(gomega.BeZero(), "cold traffic is not allowed")
	s.SetColdTrafficAllowed(0, true)
	assigned := 0
	for now := structs.Instant(0); now < time.Second; now += 10 * ms {
		assigned += len(assignedIDs(s.Decide(now)))
	}
	g.Expect(assigned).To(gomega.BeNumerically("~", testSlowStart.Rate, 1))
	g.Expect(assignedIDs(s.Decide(2*time.Second))).To(gomega.HaveLen(50-assigned), "the replica is warm")
}

// Guards against sending to a cold replica before its limit is configured.
func TestColdReplicaGetsNothingWithoutSlowStartSetting(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetColdTrafficAllowed(0, true)
	s.SetReplicas(0, coldPool(1, 2*time.Second))
	g.Expect(submitAndAssign(s, time.Second, 10)).To(gomega.BeZero())
	s.SetSlowStart("s", SlowStart{})
	g.Expect(assignedIDs(s.Decide(time.Second))).To(gomega.HaveLen(10), "the service has no limit")
}

// Guards against leaving requests queued for cold replicas while warm ones have free slots.
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

// Guards against sending to an evacuated zone, and against overloading its replicas after the lift.
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
	g.Expect(decisions[0].Reason).To(gomega.Equal(ReasonEvacuated), "it is rejected at once")
	lifted := time.Minute
	s.SetEvacuatedZones(lifted, map[string]bool{"nowhere": true})
	g.Expect(submitAndAssign(s, lifted, 50)).To(gomega.BeNumerically("<=", testSlowStart.Burst), "at most a full bucket")
	g.Expect(submitAndAssign(s, lifted+testSlowStart.ColdTime-ms, 50)).To(gomega.BeNumerically("<=", testSlowStart.Burst))
	g.Expect(submitAndAssign(s, lifted+testSlowStart.ColdTime, 10)).To(gomega.Equal(58), "the replica is warm")
}

// Guards against using the speed of the cold phase once the replica is warm.
func TestColdSpeedIsLearnedSeparately(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetSlowStart("s", testSlowStart)
	s.SetReplicas(0, coldPool(1, 2*time.Second))
	s.ObserveExternal(time.Second, "s", "r0", 0, Observation{Duration: 900 * ms})
	g.Expect(s.replicaStates["r0"].speed.stepTime).To(gomega.BeZero())
	g.Expect(s.replicaStates["r0"].coldSpeed.stepTime).To(gomega.Equal(900 * ms))
	s.ObserveExternal(3*time.Second, "s", "r0", 0, Observation{Duration: 30 * ms})
	g.Expect(s.replicaStates["r0"].speed.stepTime).To(gomega.Equal(30 * ms))
}

// coldFleet is a set of schedulers that are active in any order and assign requests to one cold replica.
type coldFleet struct {
	schedulers []*Scheduler
	// active holds one or two indexes: a second scheduler is active while it does not know the first.
	active     []int
	now        structs.Instant
	assignedAt []structs.Instant
	// keepsBuckets is the fault that the check must find: a scheduler that becomes active again does
	// not empty its buckets.
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

// allowColdTraffic allows the scheduler to send cold traffic.
func (f *coldFleet) allowColdTraffic(index int) {
	warmUp := f.schedulers[index].replicaStates["r0"].warmUp
	f.schedulers[index].SetColdTrafficAllowed(f.now, true)
	if f.keepsBuckets {
		f.schedulers[index].coldTrafficSince = 0
		f.schedulers[index].replicaStates["r0"].warmUp = warmUp
	}
}

// activate makes the scheduler the only active one.
func (f *coldFleet) activate(index int) {
	for _, other := range f.active {
		f.schedulers[other].SetColdTrafficAllowed(f.now, false)
	}
	f.allowColdTraffic(index)
	f.active = []int{index}
}

// activateSecond makes the scheduler active beside a single other one.
func (f *coldFleet) activateSecond(index int) {
	if len(f.active) == 1 && f.active[0] != index {
		f.allowColdTraffic(index)
		f.active = append(f.active, index)
	}
}

// submit submits requests to the scheduler and cancels those that are not assigned at once.
func (f *coldFleet) submit(index, count int) {
	assigned := submitAndAssign(f.schedulers[index], f.now, count)
	for range assigned {
		f.assignedAt = append(f.assignedAt, f.now)
	}
	for id := range f.schedulers[index].queued {
		f.schedulers[index].Cancel(id)
	}
}

// check returns an error if any second holds more requests than the limit.
func (f *coldFleet) check() error {
	for _, from := range f.assignedAt {
		count := 0
		for _, at := range f.assignedAt {
			if at >= from && at < from+time.Second {
				count++
			}
		}
		if count > 19 {
			return fmt.Errorf("%d requests in the second from %v, limit 19", count, from)
		}
	}
	return nil
}

// Guards against exceeding the limit of a cold replica while the active scheduler changes.
func TestSlowStartHoldsAcrossSchedulers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newColdFleet()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			f.now += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * ms
			index := rapid.IntRange(0, len(f.schedulers)-1).Draw(t, "scheduler")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				f.activate(index)
			case 1:
				f.activateSecond(index)
			case 2:
				f.schedulers[index] = f.newScheduler() // a restarted process
				f.activate(index)
			default:
				f.submit(index, rapid.IntRange(1, 30).Draw(t, "requests"))
			}
		}
		if err := f.check(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a check that finds nothing: buckets kept while others were active exceed the limit.
func TestKeptBucketsExceedSlowStart(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, keepsBuckets := range []bool{false, true} {
		f := newColdFleet()
		f.keepsBuckets = keepsBuckets
		for index := range f.schedulers {
			f.activate(index)
			f.now += time.Second
			f.submit(index, 0)
			f.schedulers[index].coldTokens(f.now, f.schedulers[index].replicaStates["r0"], f.schedulers[index].pool("s"))
		}
		for range 4 {
			for index := range f.schedulers {
				f.activate(index)
				f.submit(index, 30)
				f.now += 100 * ms
			}
		}
		g.Expect(f.check() != nil).To(gomega.Equal(keepsBuckets))
	}
}

// Guards against full traffic to a replica that started again in place while its new entry is not known.
func TestReplicaThatStartsAgainUnseenIsCold(t *testing.T) {
	ended := 10 * time.Second
	answered := ended + time.Second
	for name, test := range map[string]struct {
		before, after func(s *Scheduler)
		warmAt        structs.Instant
	}{
		"its first answer tells that it runs": {warmAt: answered + testSlowStart.ColdTime},
		"a later answer changes nothing": {after: func(s *Scheduler) {
			s.ObserveExternal(answered+time.Second, "s", "r0", 0, Observation{Duration: 10 * ms})
		}, warmAt: answered + testSlowStart.ColdTime},
		"an answer of before its end tells nothing": {before: func(s *Scheduler) {
			s.ObserveExternal(ended+100*ms, "s", "r0", 0, Observation{Duration: time.Second})
		}, warmAt: answered + testSlowStart.ColdTime},
		"its new entry says that it is warm": {after: func(s *Scheduler) {
			entry := coldPool(1, 0)
			entry[0].StartedAt, entry[0].Position = 7, 9
			s.SetReplicas(answered+time.Second, entry)
		}, warmAt: answered + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := New()
			s.SetSlowStart("s", testSlowStart)
			s.SetColdTrafficAllowed(0, true)
			s.SetReplicas(0, coldPool(1, 0))
			isCold := func(now structs.Instant) bool { return s.replicaStates["r0"].isCold(now, s.pool("s")) }
			g.Expect(isCold(ended)).To(gomega.BeFalse())
			s.RecordEnd(ended, "r0")
			if test.before != nil {
				test.before(s)
			}
			g.Expect(isCold(ended+time.Minute)).To(gomega.BeTrue(), "it may start at any moment")
			g.Expect(submitAndAssign(s, ended+500*ms, 50)).To(gomega.BeNumerically("<=", testSlowStart.Burst))
			for id := range s.assignments {
				s.RecordFirstEvent(answered, id, -1)
			}
			if test.after != nil {
				test.after(s)
			}
			g.Expect(isCold(test.warmAt - 1)).To(gomega.BeTrue())
			g.Expect(isCold(test.warmAt)).To(gomega.BeFalse())
		})
	}
}

// Guards against warm replicas that count as cold again, as their entries still state the warm-up, since a scheduler was
// replaced.
func TestReplacedSchedulerKnowsWhoIsWarm(t *testing.T) {
	for name, test := range map[string]struct {
		change func(entry *replicas.Replica)
		isCold bool
	}{
		"the same entry":  {func(*replicas.Replica) {}, false},
		"a later entry":   {func(entry *replicas.Replica) { entry.Position = 9 }, true},
		"another replica": {func(entry *replicas.Replica) { entry.ID = "other" }, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			former := New()
			entry := coldPool(1, 2*time.Second)
			former.SetReplicas(0, entry)
			s := New()
			s.KeepWarmUps(former)
			s.SetSlowStart("s", testSlowStart)
			test.change(&entry[0])
			s.SetReplicas(10*time.Second, entry)
			g.Expect(s.replicaStates[entry[0].ID].isCold(10*time.Second, s.pool("s"))).To(gomega.Equal(test.isCold))
		})
	}
}

// Guards against a replica that is warm too early, as its scheduler was replaced while it was cold.
func TestReplacedSchedulerKnowsWhoIsCold(t *testing.T) {
	g := gomega.NewWithT(t)
	former := New()
	former.SetSlowStart("s", testSlowStart)
	former.SetReplicas(0, coldPool(2, 0))
	former.RecordEnd(time.Second, "r0")
	former.SetEvacuatedZones(time.Second, map[string]bool{"east": true})
	former.SetEvacuatedZones(2*time.Second, nil)
	s := New()
	s.KeepWarmUps(former)
	s.SetSlowStart("s", testSlowStart)
	s.SetReplicas(3*time.Second, coldPool(2, 0))
	isCold := func(id string, now structs.Instant) bool { return s.replicaStates[id].isCold(now, s.pool("s")) }
	g.Expect(isCold("r0", time.Minute)).To(gomega.BeTrue(), "it may start at any moment")
	g.Expect(isCold("r1", 4*time.Second)).To(gomega.BeTrue(), "its zone was evacuated")
	g.Expect(isCold("r1", 5*time.Second)).To(gomega.BeFalse())
}
