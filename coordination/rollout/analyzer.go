package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Whether the answers of the target are worse than those of the other versions is told by a
// cumulative sum (CUSUM, Page 1954) for each route: of the log-likelihood ratio of two
// shares of bad answers, the usual one on that route in these seconds and one that is worth
// a roll-back. It starts anew whenever it falls to zero, so that a version which turns bad
// later, or only under load, is found as soon as one that is bad at once.
const (
	// alarmSum is the sum at which the target is bad: with alarmSum 11.5 a good one reaches
	// it once in 100,000 answers or less (exp(-11.5)); a roll-out shows it some hundreds.
	alarmSum = 11.5
	// othersSum is what has to be left of the sum without the replica that weighs most in
	// it, so that one failing replica is not taken for its version: exp(-7.5), or one in
	// 1,800, is the chance that good ones show as much beside it. With 4 one play in ten
	// ended so, with 6.5 one in forty, with 7.5 one in a hundred. aloneFactor is how much
	// larger the sum has to be where the target has answered from one replica only.
	othersSum   = 7.5
	aloneFactor = 1.5
	// badMargin is by how much at least the share of bad answers of a bad version exceeds
	// the usual one.
	badMargin  = 0.2
	leastUsual = 0.02
	mostShare  = 0.95
	// slowWeight and fastWeight are the weights of one more answer in the two means of the
	// usual share; the larger mean counts, so that a fault of the network is seen in the
	// others' answers as soon as in the target's.
	slowWeight = 0.01
	fastWeight = 0.08
	// timesKept is how many times of the others' answers are remembered on a route,
	// timesNeeded from how many on times are compared, and timesRefresh after how many more
	// the limit is reckoned anew.
	timesKept    = 256
	timesNeeded  = 24
	timesRefresh = 32
	// slowQuantile of the others' times, slowFactor times longer, is where a slow answer
	// begins. Replicas differ by up to 2.8 times in one service, and the target's may be
	// slow ones by chance: with the quantile 0.9 good versions were rolled back in 18 of
	// 200 plays, with 0.95 in 7, with 0.97 in one.
	slowQuantile = 0.97
	slowFactor   = 1.25
)

// Sample is how one request ended, as far as it tells something of the replica.
type Sample struct {
	Route   string
	Replica string
	// Begun is when the request was placed.
	Begun structs.Instant
	// Target is true if the replica has the version that is judged.
	Target bool
	Failed bool
	// First is the time to the first part, for each token of the prompt where it has any,
	// and Step the time between two parts or that of a whole plain answer. Zero is unknown.
	First, Step time.Duration
}

// Analyzer compares the answers of two versions on the same routes in the same seconds. The
// zero value is not usable; it is not safe for concurrent use.
type Analyzer struct {
	routes map[string]*routeJudge
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Analyzer { return &Analyzer{routes: map[string]*routeJudge{}} }

// routeJudge is the judgement on one route.
type routeJudge struct {
	first, step times
	slow, fast  float64
	// sum is the evidence against the target, and parts what each of its replicas adds.
	sum   float64
	parts map[string]float64
}

// Observe enters one answer and returns whether it was bad.
func (j *Analyzer) Observe(answer Sample) bool {
	route, found := j.routes[answer.Route]
	if !found {
		route = &routeJudge{parts: map[string]float64{}}
		j.routes[answer.Route] = route
	}
	bad := answer.Failed || route.first.isSlow(answer.First) || route.step.isSlow(answer.Step)
	if answer.Target {
		route.weigh(answer.Replica, bad)
		return bad
	}
	if !answer.Failed {
		route.first.add(answer.First)
		route.step.add(answer.Step)
	}
	route.slow += slowWeight * (share(bad) - route.slow)
	route.fast += fastWeight * (share(bad) - route.fast)
	return bad
}

func share(bad bool) float64 {
	if bad {
		return 1
	}
	return 0
}

// weigh enters an answer of the target into the evidence.
func (r *routeJudge) weigh(replica string, bad bool) {
	usual := max(r.slow, r.fast, leastUsual)
	worse := min(usual+badMargin, mostShare)
	usual = min(usual, worse-badMargin/2)
	weight := math.Log((1 - worse) / (1 - usual))
	if bad {
		weight = math.Log(worse / usual)
	}
	r.sum += weight
	r.parts[replica] += weight
	if r.sum <= 0 {
		r.sum = 0
		clear(r.parts)
	}
}

// Doubt returns how far the evidence against the target is on the route that shows most:
// from 1 on it is bad.
func (j *Analyzer) Doubt() (doubt float64, route string) {
	for name, judged := range j.routes {
		if found := judged.doubt(); found > doubt || found == doubt && found > 0 && name < route {
			doubt, route = found, name
		}
	}
	return doubt, route
}

func (r *routeJudge) doubt() float64 {
	if len(r.parts) == 1 {
		return r.sum / (alarmSum * aloneFactor)
	}
	most := 0.0
	for _, part := range r.parts {
		most = max(most, part)
	}
	return min(r.sum/alarmSum, (r.sum-most)/othersSum)
}

// times remembers the latest times of the others' answers.
type times struct {
	kept  []time.Duration
	next  int
	since int
	// limit is where a slow answer begins; zero if too little is known.
	limit time.Duration
}

func (t *times) add(took time.Duration) {
	if took <= 0 {
		return
	}
	if len(t.kept) < timesKept {
		t.kept = append(t.kept, took)
	} else {
		t.kept[t.next] = took
		t.next = (t.next + 1) % timesKept
	}
	if t.since++; len(t.kept) < timesNeeded || t.since < timesRefresh {
		return
	}
	t.since = 0
	sorted := slices.Clone(t.kept)
	slices.Sort(sorted)
	t.limit = time.Duration(slowFactor * float64(sorted[int(slowQuantile*float64(len(sorted)))]))
}

func (t *times) isSlow(took time.Duration) bool { return t.limit > 0 && took > t.limit }
