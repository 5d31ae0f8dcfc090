package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// detector is implemented by the Analyzer and by the method it is compared with. The target is bad from
// a score of 1 on.
type detector interface {
	Observe(sample Sample) bool
	RegressionScore() (float64, string)
}

// rankDetector ranks each answer of the target among the latest answers of the other versions on its
// route, with failures as the slowest, and tests the ranks against those of a slower version (Lehmann's
// alternative of order three).
type rankDetector struct{ routes map[string]*rankRoute }

type rankRoute struct {
	others []float64
	sum    float64
}

func newRankDetector() *rankDetector { return &rankDetector{routes: map[string]*rankRoute{}} }

func (d *rankDetector) Observe(sample Sample) bool {
	const maxOthers, minOthers, order = 128, 24, 3
	route, found := d.routes[sample.Route]
	if !found {
		route = &rankRoute{}
		d.routes[sample.Route] = route
	}
	elapsed := float64(sample.EventInterval)
	if sample.Failed {
		elapsed = math.Inf(1)
	}
	if !sample.Target {
		route.others = append(route.others, elapsed)
		route.others = route.others[max(0, len(route.others)-maxOthers):]
		return false
	}
	if len(route.others) < minOthers {
		return false
	}
	faster, equal := 0, 0
	for _, other := range route.others {
		switch {
		case other < elapsed:
			faster++
		case other == elapsed:
			equal++
		}
	}
	rank := (float64(faster) + float64(equal)/2 + 0.5) / float64(len(route.others)+1)
	route.sum = max(0, route.sum+math.Log(order)+(order-1)*math.Log(rank))
	return false
}

func (d *rankDetector) RegressionScore() (float64, string) {
	highest := 0.0
	for _, route := range d.routes {
		highest = max(highest, route.sum/alarmThreshold)
	}
	return highest, ""
}

// drawnAnswer is one answer of a simulated rollout, into which a scenario injects faults.
type drawnAnswer struct {
	random *rand.Rand
	// index is the position of the answer in its run.
	index, route   int
	isTarget       bool
	replica        int
	failed, slowed bool
}

const (
	answersPerRun      = 4000
	routesPerRun       = 5
	replicasPerVersion = 4
	// On average one of replicasPerFastOne replicas is fast.
	replicasPerFastOne = 3
)

// scenario injects faults: it makes answers fail or take six times as long.
type scenario func(a *drawnAnswer)

// failing makes the given share of the target's answers fail.
func failing(share float64) scenario {
	return func(a *drawnAnswer) { a.failed = a.failed || a.isTarget && a.random.Float64() < share }
}

// slow delays the given share of the target's answers.
func slow(share float64) scenario {
	return func(a *drawnAnswer) { a.slowed = a.slowed || a.isTarget && a.random.Float64() < share }
}

// from injects the faults from answer start on.
func from(start int, inner scenario) scenario {
	return func(a *drawnAnswer) {
		if a.index >= start {
			inner(a)
		}
	}
}

// onRoute injects the faults on one route.
func onRoute(route int, inner scenario) scenario {
	return func(a *drawnAnswer) {
		if a.route == route {
			inner(a)
		}
	}
}

// inBursts injects the faults during every second burst, as for faults under load.
func inBursts(inner scenario) scenario {
	return func(a *drawnAnswer) {
		if a.index/80%2 == 0 {
			inner(a)
		}
	}
}

// atReplica injects the faults at one replica.
func atReplica(replica int, inner scenario) scenario {
	return func(a *drawnAnswer) {
		if a.replica == replica {
			inner(a)
		}
	}
}

// everywhere applies a fault to the given share of answers of all versions, from answer start to end.
func everywhere(start, end int, share float64, apply func(a *drawnAnswer)) scenario {
	return func(a *drawnAnswer) {
		if a.index >= start && a.index < end && a.random.Float64() < share {
			apply(a)
		}
	}
}

func fails(a *drawnAnswer)  { a.failed = true }
func delays(a *drawnAnswer) { a.slowed = true }

var goodScenarios = map[string]scenario{
	"nothing":                              func(*drawnAnswer) {},
	"one of the target's replicas fails":   atReplica(1, failing(0.4)),
	"one of the target's replicas is slow": atReplica(2, slow(0.8)),
	"one crashes with what it ran": func(a *drawnAnswer) {
		a.failed = a.failed || a.isTarget && a.replica == 0 && a.index >= 2000 && a.index < 2120
	},
	"a partition between zones fails half": everywhere(1500, 2000, 0.5, fails),
	"a slow node delays a fifth":           everywhere(500, 2500, 0.2, delays),
	"replicas of all versions crash":       everywhere(1000, 1100, 0.8, fails),
	"one route fails often everywhere":     onRoute(3, everywhere(0, answersPerRun, 0.14, fails)),
}

var badScenarios = map[string]scenario{
	"fails three in ten":           failing(0.3),
	"fails three in ten, later":    from(2000, failing(0.3)),
	"fails half on one route":      onRoute(2, failing(0.5)),
	"fails half on one route late": from(1500, onRoute(4, failing(0.5))),
	"slow four in ten":             slow(0.4),
	"slow always, later":           from(2500, slow(1)),
	slowUnderLoad:                  inBursts(slow(0.5)),
	"fails half under load":        inBursts(failing(0.5)),
}

// drawTimeFactors draws one factor for each replica; they differ by up to 2.8 times within one service.
func drawTimeFactors(random *rand.Rand) []float64 {
	timeFactors := make([]float64, replicasPerVersion)
	for i := range timeFactors {
		timeFactors[i] = 1.7
		if random.IntN(replicasPerFastOne) == 0 {
			timeFactors[i] = 0.6
		}
	}
	return timeFactors
}

// result is the result of one run: the number of the target's answers until the rollback, and of the bad
// ones among them. Both are zero if there was no rollback.
type result struct{ answers, bad int }

// simulate runs one rollout. The failureShare of all answers fails in addition to the injected
// faults.
func simulate(seed uint64, d detector, failureShare float64, inject scenario) result {
	random := rand.New(rand.NewPCG(seed, 7))
	timeFactors := map[bool][]float64{false: drawTimeFactors(random), true: drawTimeFactors(random)}
	var counts result
	for i := range answersPerRun {
		a := &drawnAnswer{random: random, index: i, route: random.IntN(routesPerRun), isTarget: random.IntN(10) == 0, replica: random.IntN(replicasPerVersion)}
		a.failed = random.Float64() < failureShare
		inject(a)
		elapsed := 20 * math.Exp(0.4*random.NormFloat64()) * timeFactors[a.isTarget][a.replica]
		if a.slowed {
			elapsed *= 6
		}
		sample := Sample{Route: fmt.Sprint("r", a.route), Replica: fmt.Sprint(a.isTarget, a.replica), Target: a.isTarget, Failed: a.failed, EventInterval: time.Duration(elapsed * float64(time.Millisecond))}
		d.Observe(sample)
		if !a.isTarget {
			continue
		}
		counts.answers++
		if a.failed || a.slowed {
			counts.bad++
		}
		if score, _ := d.RegressionScore(); score >= 1 {
			return counts
		}
	}
	if score, _ := d.RegressionScore(); score > maxAcceptedScore {
		return counts
	}
	return result{}
}

// seeds is the number of runs of the Analyzer in each scenario, rankSeeds that of the rankDetector.
const (
	seeds     = 200
	rankSeeds = 40
)

// runScenario returns the number of runs with a rollback and, over these, the medians of the target's
// answers and of the bad ones until the rollback.
func runScenario(newDetector func() detector, runs int, failureShare float64, inject scenario) (rolledBack, answers, bad int) {
	var answerCounts, badCounts []int
	results := make([]result, runs)
	var group sync.WaitGroup
	for seed := range results {
		group.Go(func() { results[seed] = simulate(uint64(seed), newDetector(), failureShare, inject) })
	}
	group.Wait()
	for _, counts := range results {
		if counts.answers == 0 {
			continue
		}
		rolledBack++
		answerCounts, badCounts = append(answerCounts, counts.answers), append(badCounts, counts.bad)
	}
	if rolledBack > 0 {
		slices.Sort(answerCounts)
		slices.Sort(badCounts)
		answers, bad = answerCounts[len(answerCounts)/2], badCounts[len(badCounts)/2]
	}
	return rolledBack, answers, bad
}

func sortedNames(scenarios map[string]scenario) []string {
	var sorted []string
	for name := range scenarios {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return sorted
}

// slowUnderLoad is the scenario that is missed most often: fast replicas that are slow under load are
// about as fast as slow replicas of the other versions.
const slowUnderLoad = "slow half under load"

// In each scenario few runs may roll a good version back or miss a bad one, and a bad one must be found
// within 50 bad answers. The log compares the Analyzer with the rankDetector.
func TestAnalyzerSeparatesGoodAndBadVersions(t *testing.T) {
	const (
		maxFalseRollbacks      = 4
		maxMissed              = 0
		maxMissedSlowUnderLoad = 12
		maxBadAnswers          = 50
	)
	g := gomega.NewGomega(func(message string, _ ...int) { t.Error(message) })
	newCUSUM := func() detector { return NewAnalyzer() }
	newRanks := func() detector { return newRankDetector() }
	var lines []string
	for _, name := range sortedNames(goodScenarios) {
		for _, failureShare := range []float64{0.005, 0.05} {
			falseRollbacks, _, _ := runScenario(newCUSUM, seeds, failureShare, goodScenarios[name])
			rankRollbacks, _, _ := runScenario(newRanks, rankSeeds, failureShare, goodScenarios[name])
			lines = append(lines, fmt.Sprintf("good, %s, failure share %.3f: rolled back %d of %d (ranks %d of %d)", name, failureShare, falseRollbacks, seeds, rankRollbacks, rankSeeds))
			g.Expect(falseRollbacks).To(gomega.BeNumerically("<=", maxFalseRollbacks), name)
		}
	}
	for _, name := range sortedNames(badScenarios) {
		found, answers, bad := runScenario(newCUSUM, seeds, 0.005, badScenarios[name])
		rankFound, rankAnswers, _ := runScenario(newRanks, rankSeeds, 0.005, badScenarios[name])
		lines = append(lines, fmt.Sprintf("bad, %s: found %d of %d after %d answers, %d of them bad (ranks %d of %d, after %d)", name, found, seeds, answers, bad, rankFound, rankSeeds, rankAnswers))
		allowed := maxMissed
		if name == slowUnderLoad {
			allowed = maxMissedSlowUnderLoad
		}
		g.Expect(seeds-found).To(gomega.BeNumerically("<=", allowed), name)
		g.Expect(bad).To(gomega.BeNumerically("<", maxBadAnswers), name)
	}
	t.Log("\n" + strings.Join(lines, "\n"))
}
