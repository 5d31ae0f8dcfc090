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

// verdict is what both ways of judging give: from 1 on the target is bad.
type verdict interface {
	Observe(answer Sample) bool
	Doubt() (float64, string)
}

// rankJudge is the way that was weighed against Analyzer: the rank of each answer of the
// target among the latest of the others on its route, failures being the slowest, against
// the ranks of one that is slower throughout (Lehmann's alternative of order three).
type rankJudge struct{ routes map[string]*rankRoute }

type rankRoute struct {
	others []float64
	sum    float64
}

func newRankJudge() *rankJudge { return &rankJudge{routes: map[string]*rankRoute{}} }

func (j *rankJudge) Observe(answer Sample) bool {
	const kept, needed, order = 128, 24, 3
	route, found := j.routes[answer.Route]
	if !found {
		route = &rankRoute{}
		j.routes[answer.Route] = route
	}
	took := float64(answer.Step)
	if answer.Failed {
		took = math.Inf(1)
	}
	if !answer.Target {
		route.others = append(route.others, took)
		route.others = route.others[max(0, len(route.others)-kept):]
		return false
	}
	if len(route.others) < needed {
		return false
	}
	below, same := 0, 0
	for _, other := range route.others {
		switch {
		case other < took:
			below++
		case other == took:
			same++
		}
	}
	rank := (float64(below) + float64(same)/2 + 0.5) / float64(len(route.others)+1)
	route.sum = max(0, route.sum+math.Log(order)+(order-1)*math.Log(rank))
	return false
}

func (j *rankJudge) Doubt() (float64, string) {
	most := 0.0
	for _, route := range j.routes {
		most = max(most, route.sum/alarmSum)
	}
	return most, ""
}

// play is one drawn course of a roll-out: nine of ten answers are of the others.
type play struct {
	random *rand.Rand
	// count is the number of the answer and route its route.
	count, route   int
	target         bool
	replica        int
	failed, slowed bool
}

const (
	playAnswers  = 4000
	playRoutes   = 5
	playReplicas = 4
	speedKinds   = 3
)

// courseOf is what happens in a play: it makes answers fail or take six times as long.
type courseOf func(p *play)

func failing(share float64) courseOf {
	return func(p *play) { p.failed = p.failed || p.target && p.random.Float64() < share }
}

func slow(share float64) courseOf {
	return func(p *play) { p.slowed = p.slowed || p.target && p.random.Float64() < share }
}

func from(start int, course courseOf) courseOf {
	return func(p *play) {
		if p.count >= start {
			course(p)
		}
	}
}

func onRoute(route int, course courseOf) courseOf {
	return func(p *play) {
		if p.route == route {
			course(p)
		}
	}
}

// inBursts strikes in every second burst, as where only a full replica does it.
func inBursts(course courseOf) courseOf {
	return func(p *play) {
		if p.count/80%2 == 0 {
			course(p)
		}
	}
}

func atReplica(replica int, course courseOf) courseOf {
	return func(p *play) {
		if p.replica == replica {
			course(p)
		}
	}
}

// everywhere strikes all versions alike between two answers.
func everywhere(start, end int, share float64, how func(p *play)) courseOf {
	return func(p *play) {
		if p.count >= start && p.count < end && p.random.Float64() < share {
			how(p)
		}
	}
}

func fails(p *play)   { p.failed = true }
func lingers(p *play) { p.slowed = true }

var goodCourses = map[string]courseOf{
	"nothing":                              func(*play) {},
	"one of the target's replicas fails":   atReplica(1, failing(0.4)),
	"one of the target's replicas is slow": atReplica(2, slow(0.8)),
	"one crashes with what it ran": func(p *play) {
		p.failed = p.failed || p.target && p.replica == 0 && p.count >= 2000 && p.count < 2120
	},
	"a cut between zones fails half":   everywhere(1500, 2000, 0.5, fails),
	"a slow node delays a fifth":       everywhere(500, 2500, 0.2, lingers),
	"replicas of all versions crash":   everywhere(1000, 1100, 0.8, fails),
	"one route fails often everywhere": onRoute(3, everywhere(0, playAnswers, 0.14, fails)),
}

var badCourses = map[string]courseOf{
	"fails three in ten":           failing(0.3),
	"fails three in ten, later":    from(2000, failing(0.3)),
	"fails half on one route":      onRoute(2, failing(0.5)),
	"fails half on one route late": from(1500, onRoute(4, failing(0.5))),
	"slow four in ten":             slow(0.4),
	"slow always, later":           from(2500, slow(1)),
	slowUnderLoad:                  inBursts(slow(0.5)),
	"fails half under load":        inBursts(failing(0.5)),
}

// speeds of replicas differ by 2.8 times within one service.
func drawSpeeds(random *rand.Rand) []float64 {
	speeds := make([]float64, playReplicas)
	for i := range speeds {
		speeds[i] = 1.7
		if random.IntN(speedKinds) == 0 {
			speeds[i] = 0.6
		}
	}
	return speeds
}

// outcome tells how one play ended: the answers of the target until it was found bad, or
// zero, and those of them that were bad.
type outcome struct{ answers, bad int }

func course(seed uint64, way verdict, usual float64, strike courseOf) outcome {
	random := rand.New(rand.NewPCG(seed, 7))
	speeds := map[bool][]float64{false: drawSpeeds(random), true: drawSpeeds(random)}
	var seen outcome
	for i := range playAnswers {
		p := &play{random: random, count: i, route: random.IntN(playRoutes), target: random.IntN(10) == 0, replica: random.IntN(playReplicas)}
		p.failed = random.Float64() < usual
		strike(p)
		took := 20 * math.Exp(0.4*random.NormFloat64()) * speeds[p.target][p.replica]
		if p.slowed {
			took *= 6
		}
		answer := Sample{Route: fmt.Sprint("r", p.route), Replica: fmt.Sprint(p.target, p.replica), Target: p.target, Failed: p.failed, Step: time.Duration(took * float64(time.Millisecond))}
		way.Observe(answer)
		if !p.target {
			continue
		}
		seen.answers++
		if p.failed || p.slowed {
			seen.bad++
		}
		if doubt, _ := way.Doubt(); doubt >= 1 {
			return seen
		}
	}
	if doubt, _ := way.Doubt(); doubt > acceptedDoubt {
		return seen
	}
	return outcome{}
}

// seeds is how many plays of a course there are, and otherSeeds of the other way.
const (
	seeds      = 200
	otherSeeds = 40
)

// told runs a course with many seeds and returns how many were rolled back, and the median
// of the target's answers, and of the bad ones, until then.
func told(way func() verdict, plays int, usual float64, strike courseOf) (rolledBack, answers, bad int) {
	var all, wrong []int
	ends := make([]outcome, plays)
	var group sync.WaitGroup
	for seed := range ends {
		group.Go(func() { ends[seed] = course(uint64(seed), way(), usual, strike) })
	}
	group.Wait()
	for _, seen := range ends {
		if seen.answers == 0 {
			continue
		}
		rolledBack++
		all, wrong = append(all, seen.answers), append(wrong, seen.bad)
	}
	if rolledBack > 0 {
		slices.Sort(all)
		slices.Sort(wrong)
		answers, bad = all[len(all)/2], wrong[len(wrong)/2]
	}
	return rolledBack, answers, bad
}

func names(courses map[string]courseOf) []string {
	var sorted []string
	for name := range courses {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return sorted
}

// slowUnderLoad is the course that is missed most: of the answers of a version that is slow
// while it is full, those of fast replicas are as fast as those of slow ones before.
const slowUnderLoad = "slow half under load"

// A good version is rolled back in few of 200 plays of each course, and a bad one is missed
// in few, and found before it gave 50 bad answers. The other way of judging is told beside
// it.
func TestVersionsAreToldApart(t *testing.T) {
	const (
		allowedFalse               = 4
		allowedMissed              = 0
		allowedMissedSlowUnderLoad = 12
		mostBad                    = 50
	)
	g := gomega.NewGomega(func(message string, _ ...int) { t.Error(message) })
	cusum := func() verdict { return NewJudge() }
	ranks := func() verdict { return newRankJudge() }
	var lines []string
	for _, name := range names(goodCourses) {
		for _, usual := range []float64{0.005, 0.05} {
			wrong, _, _ := told(cusum, seeds, usual, goodCourses[name])
			byRank, _, _ := told(ranks, otherSeeds, usual, goodCourses[name])
			lines = append(lines, fmt.Sprintf("good, %s, usually %.3f: rolled back %d of %d (ranks %d of %d)", name, usual, wrong, seeds, byRank, otherSeeds))
			g.Expect(wrong).To(gomega.BeNumerically("<=", allowedFalse), name)
		}
	}
	for _, name := range names(badCourses) {
		found, answers, bad := told(cusum, seeds, 0.005, badCourses[name])
		byRank, rankAnswers, _ := told(ranks, otherSeeds, 0.005, badCourses[name])
		lines = append(lines, fmt.Sprintf("bad, %s: found %d of %d after %d answers, %d of them bad (ranks %d of %d, after %d)", name, found, seeds, answers, bad, byRank, otherSeeds, rankAnswers))
		allowed := allowedMissed
		if name == slowUnderLoad {
			allowed = allowedMissedSlowUnderLoad
		}
		g.Expect(seeds-found).To(gomega.BeNumerically("<=", allowed), name)
		g.Expect(bad).To(gomega.BeNumerically("<", mostBad), name)
	}
	t.Log("\n" + strings.Join(lines, "\n"))
}
