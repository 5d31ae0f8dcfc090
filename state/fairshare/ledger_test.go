package fairshare

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"
)

// fluid is an exact weighted max-min model of a resource that completes one unit of work per second:
// at every instant the tenants with a backlog are served in proportion to their weights.
type fluid struct {
	weights, backlog, served []float64
}

// advance serves the tenants for the duration. Between two instants at which a backlog ends, the rates
// are constant.
func (f *fluid) advance(duration float64) {
	const negligible = 1e-12 // backlog left by rounding
	for duration > 0 {
		total := 0.0
		for i, backlog := range f.backlog {
			if backlog > 0 {
				total += f.weights[i]
			}
		}
		if total == 0 {
			return
		}
		step := duration
		for i, backlog := range f.backlog {
			if backlog > 0 {
				step = min(step, backlog*total/f.weights[i])
			}
		}
		for i, backlog := range f.backlog {
			if backlog <= 0 {
				continue
			}
			work := step * f.weights[i] / total
			f.served[i] += work
			if f.backlog[i] = backlog - work; f.backlog[i] < negligible {
				f.backlog[i] = 0
			}
		}
		duration -= step
	}
}

// arrival is a request of a tenant that arrives at a time.
type arrival struct {
	at, work float64
	tenant   int
}

// load is a random sequence of arrivals at a resource that completes one unit of work per second.
type load struct {
	weights, largest []float64
	arrivals         []arrival
}

// drawLoad draws tenants whose demand is 0.2 to 2 times their share of the resource, which is overloaded
// by a tenth in total, in bursts of several requests, over that many seconds.
func drawLoad(random *rand.Rand, seconds float64) *load {
	tenants := 2 + random.IntN(9)
	l := &load{weights: make([]float64, tenants), largest: make([]float64, tenants)}
	demand, totalWeight, totalDemand := make([]float64, tenants), 0.0, 0.0
	for i := range tenants {
		l.weights[i] = math.Exp(3 * (random.Float64() - 0.5))
		l.largest[i] = 0.02 + 0.2*random.Float64()
		totalWeight += l.weights[i]
		demand[i] = l.weights[i] * (0.2 + 1.8*random.Float64())
		totalDemand += demand[i]
	}
	for i := range tenants {
		rate := 1.1 * demand[i] / totalDemand
		burst := 1 + random.IntN(4)
		meanGap := float64(burst) * l.largest[i] / 2 / rate
		for at := random.ExpFloat64() * meanGap; at < seconds; at += random.ExpFloat64() * meanGap {
			for range burst {
				l.arrivals = append(l.arrivals, arrival{at: at, work: l.largest[i] * random.Float64(), tenant: i})
			}
		}
	}
	return l
}

// sharer decides whose request is dispatched next.
type sharer interface {
	enqueue(tenant int)
	// next returns the tenant with the lowest start tag among those with queued requests.
	next(queued [][]float64) int
	dispatch(tenant int, cost float64)
	complete(tenant int, correction float64)
}

// ledgerSharer is the ledger.
type ledgerSharer struct {
	ledger   *Ledger[int]
	accounts []*Account[int]
	// uncorrected is true if the estimates are not corrected.
	uncorrected bool
}

func newLedgerSharer(tenants int) sharer {
	return &ledgerSharer{ledger: New[int](), accounts: make([]*Account[int], tenants)}
}

func newUncorrectedSharer(tenants int) sharer {
	return &ledgerSharer{ledger: New[int](), accounts: make([]*Account[int], tenants), uncorrected: true}
}

func newForgetfulSharer(tenants int) sharer {
	return &forgetfulSharer{finishTags: make([]float64, tenants), queued: make([]int, tenants)}
}

func (s *ledgerSharer) enqueue(tenant int) { s.accounts[tenant] = s.ledger.Enqueue(tenant) }

func (s *ledgerSharer) next(queued [][]float64) int {
	best, bestTag := -1, 0.0
	s.ledger.BeginOrder()
	for tenant, work := range queued {
		if len(work) == 0 {
			continue
		}
		if tag := s.accounts[tenant].NextTag(0); best < 0 || tag < bestTag {
			best, bestTag = tenant, tag
		}
	}
	return best
}

func (s *ledgerSharer) dispatch(tenant int, cost float64) { s.accounts[tenant].Dispatch(cost) }

func (s *ledgerSharer) complete(tenant int, correction float64) {
	if s.uncorrected {
		correction = 0
	}
	s.accounts[tenant].Complete(correction)
}

// forgetfulSharer forgets the share of a tenant whose queue empties.
type forgetfulSharer struct {
	virtualTime float64
	finishTags  []float64
	queued      []int
}

func (s *forgetfulSharer) enqueue(tenant int) {
	if s.queued[tenant] == 0 {
		s.finishTags[tenant] = s.virtualTime
	}
	s.queued[tenant]++
}

func (s *forgetfulSharer) next(queued [][]float64) int {
	best := -1
	for tenant, work := range queued {
		if len(work) > 0 && (best < 0 || s.finishTags[tenant] < s.finishTags[best]) {
			best = tenant
		}
	}
	return best
}

func (s *forgetfulSharer) dispatch(tenant int, cost float64) {
	s.virtualTime = max(s.virtualTime, s.finishTags[tenant])
	s.finishTags[tenant] += cost
	s.queued[tenant]--
}

func (s *forgetfulSharer) complete(tenant int, correction float64) {
	s.finishTags[tenant] += correction
}

// deviation is how far a run was from fairness, in units of the stated bounds.
type deviation struct {
	// pairs is the largest difference of the work by weight dispatched of two tenants that are
	// backlogged throughout an interval.
	pairs float64
	// lag is the most that a tenant was behind the fluid model, by the sum of the largest requests of
	// all tenants.
	lag float64
}

// run serves the load one request at a time, and compares it with the fluid model at each end of a
// request. Costs at the dispatch are estimates, which are too high by a factor of each tenant, between 1
// and maxFactor. They are corrected reportDelay requests later, as with several slots.
func (l *load) run(random *rand.Rand, s sharer, maxFactor float64, reportDelay int) deviation {
	tenants := len(l.weights)
	model := &fluid{weights: l.weights, backlog: make([]float64, tenants), served: make([]float64, tenants)}
	queued, served := make([][]float64, tenants), make([]float64, tenants)
	pending := slices.SortedFunc(slices.Values(l.arrivals), func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	pairs := newPairTracker(l.weights)
	sumLargest, factors := 0.0, make([]float64, tenants)
	for i, largest := range l.largest {
		sumLargest += largest
		factors[i] = 1 + (maxFactor-1)*random.Float64()
	}
	var unreported []func()
	report := func(remaining int) {
		for ; len(unreported) > remaining; unreported = unreported[1:] {
			unreported[0]()
		}
	}
	var worst deviation
	now, modelAt := 0.0, 0.0
	arriveUntil := func(end float64) {
		for len(pending) > 0 && pending[0].at <= end {
			next := pending[0]
			pending = pending[1:]
			model.advance(next.at - modelAt)
			modelAt = next.at
			model.backlog[next.tenant] += next.work
			s.enqueue(next.tenant)
			queued[next.tenant] = append(queued[next.tenant], next.work)
		}
		model.advance(end - modelAt)
		modelAt = end
	}
	for {
		arriveUntil(now)
		tenant := s.next(queued)
		if tenant < 0 {
			if report(0); len(pending) == 0 {
				return worst
			}
			pairs.update(queued)
			now = pending[0].at
			continue
		}
		work := queued[tenant][0]
		estimate := work * factors[tenant]
		pairs.update(queued)
		s.dispatch(tenant, estimate/l.weights[tenant])
		queued[tenant] = queued[tenant][1:]
		pairs.record(tenant, work)
		now += work
		served[tenant] += work
		arriveUntil(now)
		unreported = append(unreported, func() { s.complete(tenant, (work-estimate)/l.weights[tenant]) })
		report(reportDelay)
		for i := range served {
			worst.lag = max(worst.lag, (model.served[i]-served[i])/sumLargest)
		}
		worst.pairs = max(worst.pairs, pairs.worst(l.largest))
	}
}

// pairTracker measures, for pairs of tenants, the range of the difference of the work by weight
// dispatched since both are backlogged.
type pairTracker struct {
	weights, dispatched []float64
	lowest, highest     [][]float64
}

func newPairTracker(weights []float64) *pairTracker {
	t := &pairTracker{weights: weights, dispatched: make([]float64, len(weights))}
	for range weights {
		t.lowest, t.highest = append(t.lowest, make([]float64, len(weights))), append(t.highest, make([]float64, len(weights)))
	}
	return t
}

func (t *pairTracker) difference(a, b int) float64 {
	return t.dispatched[a]/t.weights[a] - t.dispatched[b]/t.weights[b]
}

// update restarts the pairs that are not both backlogged.
func (t *pairTracker) update(queued [][]float64) {
	for a := range queued {
		for b := range a {
			if len(queued[a]) == 0 || len(queued[b]) == 0 {
				t.lowest[a][b] = t.difference(a, b)
				t.highest[a][b] = t.lowest[a][b]
			}
		}
	}
}

// record adds dispatched work.
func (t *pairTracker) record(tenant int, work float64) {
	t.dispatched[tenant] += work
	for a := range t.weights {
		for b := range a {
			t.lowest[a][b] = min(t.lowest[a][b], t.difference(a, b))
			t.highest[a][b] = max(t.highest[a][b], t.difference(a, b))
		}
	}
}

// worst returns the largest range as a share of the stated bound.
func (t *pairTracker) worst(largest []float64) float64 {
	worst := 0.0
	for a := range t.weights {
		for b := range a {
			worst = max(worst, (t.highest[a][b]-t.lowest[a][b])/(largest[a]/t.weights[a]+largest[b]/t.weights[b]))
		}
	}
	return worst
}

const (
	drawnLoads  = 60
	loadSeconds = 120
)

// worstDeviation returns the largest deviations over drawn loads, and the number of loads in which a
// tenant was behind the fluid model by more than maxLag.
func worstDeviation(newSharer func(tenants int) sharer, maxFactor float64, reportDelay int, maxLag float64) (worst deviation, failed int) {
	for seed := range uint64(drawnLoads) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := drawLoad(random, loadSeconds)
		found := l.run(random, newSharer(len(l.weights)), maxFactor, reportDelay)
		worst = deviation{pairs: max(worst.pairs, found.pairs), lag: max(worst.lag, found.lag)}
		if found.lag > maxLag {
			failed++
		}
	}
	return worst, failed
}

// Guards against shares that differ from weighted max-min fairness for random arrivals, weights and work:
// the stated bound between two backlogged tenants, and a tenant that falls behind the exact model by more
// than one request of each tenant. A ledger that forgets the share of a tenant whose queue empties must
// fail the same comparison.
func TestDispatchedWorkFollowsTheFluidModel(t *testing.T) {
	g := gomega.NewWithT(t)
	worst, failed := worstDeviation(newLedgerSharer, 1, 0, 1)
	t.Logf("worst over %d loads: %+v", drawnLoads, worst)
	g.Expect(worst.pairs).To(gomega.BeNumerically("<=", 1+1e-9))
	g.Expect(failed).To(gomega.BeZero(), fmt.Sprint(worst))
	worst, failed = worstDeviation(newForgetfulSharer, 1, 0, 1)
	t.Logf("worst of the broken variant: %+v, %d loads beyond the bound", worst, failed)
	g.Expect(failed).To(gomega.BeNumerically(">", 0), fmt.Sprint(worst))
}

// Guards against wrong estimates that take a share from a tenant for good. A ledger without corrections
// must fail the same comparison.
func TestWrongEstimatesAreCorrected(t *testing.T) {
	g := gomega.NewWithT(t)
	// Up to four requests in progress count for up to three times their work.
	const maxFactor, reportDelay, maxLag = 3, 4, 1 + 4*(3-1)
	worst, failed := worstDeviation(newLedgerSharer, maxFactor, reportDelay, maxLag)
	t.Logf("worst over %d loads: %+v", drawnLoads, worst)
	g.Expect(failed).To(gomega.BeZero(), fmt.Sprint(worst))
	worst, failed = worstDeviation(newUncorrectedSharer, maxFactor, reportDelay, maxLag)
	t.Logf("worst of the broken variant: %+v, %d loads beyond the bound", worst, failed)
	g.Expect(failed).To(gomega.BeNumerically(">", 0), fmt.Sprint(worst))
}

// Guards against memory that grows with the number of tenants that ever sent a request.
func TestIdleTenantsHaveNoAccount(t *testing.T) {
	g := gomega.NewWithT(t)
	ledger := New[int]()
	busy := ledger.Enqueue(-1)
	for tenant := range 2000 {
		account := ledger.Enqueue(tenant)
		account.Dispatch(1)
		account.Complete(0)
		ledger.Enqueue(-1)
		busy.Dispatch(2)
		busy.Complete(0)
		g.Expect(ledger.Len()).To(gomega.BeNumerically("<=", minPruneAt+1))
	}
	busy.Withdraw()
	g.Expect(ledger.Len()).To(gomega.BeZero(), "no tenant has requests")
}

// Guards against a successor that starts all tenants equal, or gives those without a lead a claim.
func TestLevelsContinueAtAnotherLedger(t *testing.T) {
	g := gomega.NewWithT(t)
	ledger := New[string]()
	ledger.Enqueue("first")
	ahead, behind := ledger.Enqueue("ahead"), ledger.Enqueue("behind")
	ahead.Dispatch(3)
	behind.Dispatch(1)
	levels := ledger.Levels(10)
	g.Expect(levels).To(gomega.Equal([]Level[string]{{"ahead", 3}, {"behind", 1}}))
	g.Expect(ledger.Levels(1)).To(gomega.Equal(levels[:1]), "the largest")
	successor := New[string]()
	for _, level := range levels {
		successor.Advance(level.Tenant, level.Lead)
	}
	g.Expect(successor.Levels(10)).To(gomega.Equal(levels))
	successor.Equalize()
	g.Expect(successor.Levels(10)).To(gomega.BeEmpty())
}
