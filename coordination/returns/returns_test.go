package returns

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/structs"
)

// recorded is a planner with the counts of its outcomes.
type recorded struct {
	*Planner
	counts map[Outcome]int
}

func newRecorded() *recorded {
	r := &recorded{counts: map[Outcome]int{}}
	r.Planner = NewPlanner(func(outcome Outcome) { r.counts[outcome]++ })
	return r
}

// plan is Plan, which also reports whether the caller got a reservation.
func (r *recorded) plan(now structs.Instant, refusal Refusal) (time.Duration, bool) {
	before := r.counts[Planned]
	delay := r.Plan(now, refusal)
	return delay, r.counts[Planned] > before
}

func contentOf(id any) fingerprint.Fingerprint {
	return fingerprint.Of("", "GET", "h", fmt.Sprint(id), nil)
}

// refusalOf returns the refusal of a plain request with a deadline of 2.5 s at a service that completes
// 600 requests per second.
func refusalOf(id any) Refusal {
	return Refusal{Service: "s", Priority: 2, Fingerprint: contentOf(id), ExpectedWait: 150 * time.Millisecond, LatestReturn: 800 * time.Millisecond, CompletionRate: 600}
}

// Guards against refused callers that all come back in one instant, and against planned returns that
// leave new arrivals less than half of the completions.
func TestReturnsOfOneRoundAreSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRecorded()
	const now = 3037 * time.Millisecond
	planned, unplanned, instants := map[int64]int{}, map[int64]int{}, map[time.Duration]int{}
	for i := range 200 {
		delay, isPlanned := r.plan(now, refusalOf(i))
		g.Expect(delay).To(gomega.And(gomega.BeNumerically(">=", MinDelay), gomega.BeNumerically("<=", 800*time.Millisecond)))
		counts := unplanned
		if isPlanned {
			counts = planned
		}
		counts[bucketOf(now+delay)]++
		instants[delay]++
	}
	t.Logf("planned by bucket %v, unplanned %v", planned, unplanned)
	for bucket, count := range planned {
		g.Expect(count).To(gomega.BeNumerically("<=", 30), "600 per second complete 60 in bucket %d", bucket)
	}
	// From MinDelay to the latest useful time there are 400 ms, in which 120 returns can be planned.
	g.Expect(r.counts[Planned]).To(gomega.BeNumerically(">=", 110))
	for bucket, count := range unplanned {
		evenly := float64(r.counts[Unplanned]) / 4.1 // 41 delays of 10 ms
		g.Expect(float64(count)).To(gomega.BeNumerically("<=", evenly+2), "bucket %d", bucket)
	}
	for delay, count := range instants {
		g.Expect(count).To(gomega.BeNumerically("<=", 7), "after %v", delay) // 3 or 4 planned, 2 or 3 unplanned
	}
}

// Guards against the bound on planned returns holding for one round but not for many: arrivals at
// twice the capacity, in rounds of 2 ms, with refusals of two priorities.
func TestPlannedReturnsKeepTheirBoundUnderLastingOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRecorded()
	source := rand.New(rand.NewPCG(1, 2))
	planned, all := map[int64]int{}, map[int64]int{}
	id := 0
	for now := time.Second; now < 31*time.Second; now += 2 * time.Millisecond {
		for source.Float64() < 0.55 { // 1.2 on average
			id++
			refusal := refusalOf(id)
			refusal.ExpectedWait = time.Duration(source.IntN(600)) * time.Millisecond
			delay, isPlanned := r.plan(now, refusal)
			all[bucketOf(now+delay)]++
			if isPlanned {
				g.Expect(delay).To(gomega.BeNumerically(">=", refusal.ExpectedWait))
				planned[bucketOf(now+delay)]++
			}
		}
	}
	most, mostInAll := 0, 0
	for bucket, count := range planned {
		most, mostInAll = max(most, count), max(mostInAll, all[bucket])
	}
	t.Logf("%d refusals, %d planned; at most %d planned and %d in all in a bucket, %.0f on average", id, r.counts[Planned], most, mostInAll, float64(id)/300)
	g.Expect(most).To(gomega.BeNumerically("<=", 30))
	g.Expect(float64(mostInAll)).To(gomega.BeNumerically("<=", 1.5*float64(id)/300))
	g.Expect(r.counts[Planned]).To(gomega.BeNumerically(">=", 8000)) // of 9,000 places in 30 s
}

// Guards against requests with a short deadline that get hardly any reservations: with 1.5 s, returns are
// useful from 0.4 to 0.47 s only, which is always less than a bucket.
func TestShortUsefulTimesUseTheirPlaces(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRecorded()
	planned := map[int64]int{}
	for now := time.Second; now < 6*time.Second; now += time.Millisecond {
		refusal := refusalOf(now)
		refusal.LatestReturn, refusal.CompletionRate = 473*time.Millisecond, 800
		if delay, isPlanned := r.plan(now, refusal); isPlanned {
			g.Expect(delay).To(gomega.BeNumerically("<=", 470*time.Millisecond))
			planned[bucketOf(now+delay)]++
		}
	}
	t.Logf("%d planned of 5,000 refused, in %d buckets", r.counts[Planned], len(planned))
	g.Expect(r.counts[Planned]).To(gomega.BeNumerically(">=", 1900)) // of 40 places in each of 50 buckets
	for bucket, count := range planned {
		g.Expect(count).To(gomega.BeNumerically("<=", 40), "bucket %d", bucket)
	}
}

// Guards against a caller that is not recognized although it came when told, or that uses a reservation
// several times or at another time.
func TestReservationServesOnceWithinItsTime(t *testing.T) {
	for _, test := range []struct {
		offset    time.Duration
		isOnTime  bool
		isCounted Outcome
	}{
		{-51 * time.Millisecond, false, Early}, {-50 * time.Millisecond, true, OnTime}, {0, true, OnTime},
		{2 * time.Second, true, OnTime}, {2*time.Second + 1, false, ""},
	} {
		t.Run(test.offset.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newRecorded()
			delay, isPlanned := r.plan(time.Second, refusalOf("a"))
			g.Expect(isPlanned).To(gomega.BeTrue())
			at := time.Second + delay + test.offset
			g.Expect(r.Redeem(at, contentOf("b"))).To(gomega.BeFalse())
			g.Expect(r.Redeem(at, contentOf("a"))).To(gomega.Equal(test.isOnTime))
			g.Expect(r.Redeem(max(at, time.Second+delay), contentOf("a"))).To(gomega.BeFalse())
			delete(r.counts, Planned)
			expected := map[Outcome]int{}
			if test.isCounted != "" {
				expected[test.isCounted] = 1
			}
			g.Expect(r.counts).To(gomega.Equal(expected))
		})
	}
}

// Guards against callers that gain an earlier return, or take places from others, by coming back early
// again and again.
func TestCallerThatComesEarlyGainsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRecorded()
	for i := range 60 { // fills the first buckets, so that there is an earlier place later
		_, isPlanned := r.plan(time.Second, refusalOf(i))
		g.Expect(isPlanned).To(gomega.BeTrue())
	}
	delay, isPlanned := r.plan(time.Second, refusalOf("early"))
	g.Expect(isPlanned).To(gomega.BeTrue())
	told := time.Second + delay
	placesBefore := usedPlaces(r.Planner)
	for i := range 60 {
		r.Redeem(time.Second+time.Millisecond, contentOf(i)) // frees earlier places
	}
	for i := range 3 {
		now := time.Second + time.Duration(i+1)*20*time.Millisecond
		g.Expect(r.Redeem(now, contentOf("early"))).To(gomega.BeFalse())
		again := refusalOf("early")
		again.LatestReturn -= now - time.Second
		delay, isPlanned = r.plan(now, again)
		g.Expect(now+delay).To(gomega.BeNumerically(">=", told), "early return %d", i)
		g.Expect(isPlanned).To(gomega.BeTrue())
		told = now + delay
		g.Expect(usedPlaces(r.Planner)).To(gomega.BeNumerically("<=", placesBefore-60), "one place for all returns of a caller")
	}
	g.Expect(r.Redeem(told, contentOf("early"))).To(gomega.BeTrue())
	g.Expect(r.counts[Early]).To(gomega.Equal(63))
	g.Expect(r.counts[OnTime]).To(gomega.Equal(1))
}

// usedPlaces returns the number of places that are planned or passed over.
func usedPlaces(p *Planner) int {
	total := 0
	for _, tables := range p.tables {
		for _, table := range tables {
			for _, used := range table.used {
				total += int(used)
			}
		}
	}
	return total
}

// Guards against a second reservation for content that has one: their callers can't be distinguished,
// and one of them would use up both.
func TestRequestsOfEqualContentShareOneReservation(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRecorded()
	first, _ := r.plan(time.Second, refusalOf("a"))
	second, isPlanned := r.plan(time.Second, refusalOf("a"))
	g.Expect(isPlanned).To(gomega.BeFalse())
	g.Expect(second).To(gomega.BeNumerically(">=", first), "or it would spend the reservation of the first")
	g.Expect(r.Redeem(time.Second+first, contentOf("a"))).To(gomega.BeTrue())
	g.Expect(r.Redeem(time.Second+second, contentOf("a"))).To(gomega.BeFalse())
}

// Guards against delays that the Retry-After header rounds, or that the entry node replaces by its
// minimum, so that a caller comes back at another time than planned.
func TestDelaysAreExactInTheHeader(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRecorded()
	source := rand.New(rand.NewPCG(3, 4))
	now := time.Duration(0)
	for i := range 20_000 {
		now += time.Duration(source.Int64N(int64(3 * time.Millisecond)))
		refusal := Refusal{
			Service: "s", Priority: source.IntN(3), Fingerprint: contentOf(i), CompletionRate: math.Exp(source.Float64()*14 - 4),
			ExpectedWait: time.Duration(source.Int64N(int64(3 * time.Second))), LatestReturn: time.Duration(source.Int64N(int64(5 * time.Second))),
		}
		delay, isPlanned := r.plan(now, refusal)
		g.Expect(delay % (10 * time.Millisecond)).To(gomega.BeZero())
		g.Expect(delay).To(gomega.BeNumerically(">=", MinDelay))
		g.Expect(delay).To(gomega.BeNumerically("<=", max(refusal.LatestReturn, MinDelay)))
		if isPlanned {
			g.Expect(delay).To(gomega.BeNumerically(">=", refusal.ExpectedWait))
		}
	}
	g.Expect(r.counts[Planned]).To(gomega.BeNumerically(">", 1000))
}

// Guards against crashes, endless times and reservations that can't be kept when the figures of a
// refusal are unusable.
func TestUnusableFiguresGiveNoReservation(t *testing.T) {
	for name, change := range map[string]func(*Refusal){
		"zero rate":                  func(r *Refusal) { r.CompletionRate = 0 },
		"negative rate":              func(r *Refusal) { r.CompletionRate = -5 },
		"rate that is no number":     func(r *Refusal) { r.CompletionRate = math.NaN() },
		"infinite rate":              func(r *Refusal) { r.CompletionRate = math.Inf(1) },
		"negative infinite rate":     func(r *Refusal) { r.CompletionRate = math.Inf(-1) },
		"rate of one a minute":       func(r *Refusal) { r.CompletionRate = 1.0 / 60 },
		"latest below expected wait": func(r *Refusal) { r.ExpectedWait = time.Second },
		"latest below the minimum":   func(r *Refusal) { r.LatestReturn = 320 * time.Millisecond },
		"no latest":                  func(r *Refusal) { r.LatestReturn = 0 },
		"negative latest":            func(r *Refusal) { r.LatestReturn = -time.Second },
		"negative wait, no latest":   func(r *Refusal) { r.ExpectedWait, r.LatestReturn = -time.Second, 0 },
		"endless wait":               func(r *Refusal) { r.ExpectedWait = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newRecorded()
			refusal := refusalOf("a")
			change(&refusal)
			delay, isPlanned := r.plan(time.Hour, refusal)
			g.Expect(isPlanned).To(gomega.BeFalse())
			g.Expect(delay).To(gomega.And(gomega.BeNumerically(">=", MinDelay), gomega.BeNumerically("<=", max(refusal.LatestReturn, MinDelay))))
			g.Expect(r.Redeem(time.Hour+delay, refusal.Fingerprint)).To(gomega.BeFalse())
			g.Expect(r.counts).To(gomega.Equal(map[Outcome]int{Unplanned: 1}))
		})
	}
}

// Guards against overflows with a huge rate or an endless latest useful time.
func TestHugeFiguresAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRecorded()
	refusal := refusalOf("a")
	refusal.CompletionRate, refusal.LatestReturn = math.MaxFloat64, math.MaxInt64
	delay, isPlanned := r.plan(time.Hour, refusal)
	g.Expect(isPlanned).To(gomega.BeTrue())
	g.Expect(delay).To(gomega.Equal(MinDelay))
	refusal.Fingerprint, refusal.ExpectedWait = contentOf("b"), time.Minute
	delay, isPlanned = r.plan(time.Hour, refusal)
	g.Expect(isPlanned).To(gomega.BeFalse(), "the rate is not known a minute ahead")
	g.Expect(delay).To(gomega.BeNumerically(">=", time.Minute))
	r.Expire(2 * time.Hour)
	g.Expect(r.tables).To(gomega.BeEmpty())
}

// Guards against services with less than one planned return in a bucket getting one in each.
func TestReturnsToASlowServiceKeepTheirDistance(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRecorded()
	seconds := map[int]int{}
	for now := time.Duration(0); now < 30*time.Second; now += 30 * time.Millisecond {
		refusal := Refusal{Service: "s", Fingerprint: contentOf(now), LatestReturn: 4 * time.Second, CompletionRate: 4}
		if delay, isPlanned := r.plan(now, refusal); isPlanned {
			seconds[int((now+delay)/time.Second)]++
		}
	}
	g.Expect(r.counts[Planned]).To(gomega.BeNumerically(">=", 60))
	for second, count := range seconds {
		g.Expect(count).To(gomega.BeNumerically("<=", 2), "half of 4 per second, second %d", second)
	}
}

// Guards against callers of a higher priority that come back later because of those of a lower one.
func TestLowerPrioritiesDoNotDelayHigherOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	alone := newRecorded()
	both := newRecorded()
	for i := range 200 {
		low := refusalOf(fmt.Sprint("low", i))
		low.Priority = 3
		both.Plan(time.Second, low)
	}
	for i := range 130 {
		high := refusalOf(i)
		delay, isPlanned := alone.plan(time.Second, high)
		delayBeside, isPlannedBeside := both.plan(time.Second, high)
		g.Expect(delayBeside).To(gomega.Equal(delay))
		g.Expect(isPlannedBeside).To(gomega.Equal(isPlanned))
	}
	low := refusalOf("last")
	low.Priority = 3
	_, isPlanned := both.plan(time.Second, low)
	g.Expect(isPlanned).To(gomega.BeFalse(), "the places of higher priorities count for lower ones")
}

// Guards against memory that grows with refusals, services or priorities, or that is held for those no
// longer used.
func TestMemoryIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRecorded()
	first := Refusal{}
	firstAt := structs.Instant(0)
	for i := range 30_000 {
		refusal := refusalOf(i)
		refusal.Service, refusal.Priority, refusal.LatestReturn, refusal.CompletionRate = fmt.Sprint(i%7), i%1000, 9*time.Second, 1e6
		delay, isPlanned := r.plan(time.Second, refusal)
		if isPlanned && first.Service == "" {
			first, firstAt = refusal, time.Second+delay
		}
	}
	t.Logf("%d planned, %d tables, %d reservations", r.counts[Planned], r.tableCount, r.reservations.Len())
	g.Expect(r.tableCount).To(gomega.BeNumerically("<=", maxTables))
	g.Expect(r.reservations.Len()).To(gomega.BeNumerically("<=", 20_000))
	for i := range 25_000 {
		refusal := refusalOf(fmt.Sprint("more", i))
		refusal.Service, refusal.LatestReturn, refusal.CompletionRate = first.Service, 9*time.Second, 1e9
		refusal.Priority = first.Priority
		r.Plan(time.Second, refusal)
	}
	g.Expect(r.reservations.Len()).To(gomega.Equal(20_000))
	g.Expect(r.Redeem(firstAt, first.Fingerprint)).To(gomega.BeFalse(), "the oldest is dropped")

	r.Expire(time.Second + 9*time.Second + lateTolerance + maxPlannedDelay)
	g.Expect(r.tables).To(gomega.BeEmpty())
	g.Expect(r.tableCount).To(gomega.BeZero())
	g.Expect(r.reservations.Len()).To(gomega.BeZero())
}

// Guards against places of passed buckets that count again when the clock jumps ahead, as after a
// suspension, and against reservations that outlive the jump.
func TestClockThatJumpsAhead(t *testing.T) {
	for _, jump := range []time.Duration{3 * time.Second, 10 * time.Second, 10100 * time.Millisecond, 20 * time.Second, 100 * time.Hour} {
		t.Run(jump.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newRecorded()
			for i := range 200 {
				r.Plan(time.Second, refusalOf(i))
			}
			before := r.counts[Planned]
			now := time.Second + jump
			g.Expect(r.Redeem(now, contentOf(0))).To(gomega.BeFalse())
			g.Expect(usedPlaces(r.Planner)).To(gomega.BeZero())
			for i := range 200 {
				r.Plan(now, refusalOf(fmt.Sprint("later", i)))
			}
			g.Expect(r.counts[Planned]).To(gomega.Equal(2 * before))
		})
	}
}

// BenchmarkPlan measures one plan while all buckets are full, which takes the longest search.
func BenchmarkPlan(b *testing.B) {
	r := newRecorded()
	contents := make([]fingerprint.Fingerprint, 50_000)
	for i := range contents {
		contents[i] = contentOf(i)
	}
	now := time.Second
	for i := 0; b.Loop(); i++ {
		if i%200 == 0 {
			now += 2 * time.Millisecond
		}
		r.Plan(now, Refusal{Service: "s", Priority: i % 3, Fingerprint: contents[i%len(contents)], LatestReturn: 4800 * time.Millisecond, CompletionRate: 600})
	}
}
