package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// The Analyzer runs a one-sided CUSUM test (Page 1954) for each route: it sums the log-likelihood
// ratio between a bad-answer share that justifies a rollback and the current share of the other
// versions. The sum never falls below zero, so that versions that turn bad later or under load are
// detected as fast as others.
const (
	// alarmThreshold is the sum at which the target is bad. A good target reaches it in about
	// exp(-11.5) = 1 of 100,000 answers.
	alarmThreshold = 11.5
	// otherReplicasThreshold is the sum that must remain without the replica that contributes most,
	// so that one faulty replica does not condemn its version.
	otherReplicasThreshold = 7.5
	// singleReplicaFactor multiplies alarmThreshold while only one replica of the target
	// contributes to the sum.
	singleReplicaFactor = 1.5
	// minDegradation is by how much the bad-answer share of a bad version exceeds the baseline.
	minDegradation   = 0.2
	minBaselineShare = 0.02
	maxBadShare      = 0.95
	// slowMeanWeight and fastMeanWeight are the weights of a new answer in the two moving averages
	// of the baseline. The higher average applies, so that faults of the network show in the
	// baseline as soon as in the target's answers.
	slowMeanWeight = 0.01
	fastMeanWeight = 0.08
	// maxTimes is the number of recent times kept for a route, minTimes the number from which
	// answers are compared, and timesPerUpdate the number of new times between two updates of the
	// limit.
	maxTimes       = 256
	minTimes       = 24
	timesPerUpdate = 32
	// An answer is slow if it takes longer than slowFactor times the slowQuantile of the other
	// versions' times. The quantile is high because replicas of one service differ in speed, by up to 2.8
	// times: with 0.9 good versions were rolled back in 18 of 200 plays, with 0.95 in 7, with 0.97 in one.
	slowQuantile = 0.97
	slowFactor   = 1.25
	// maxReplicaSums bounds the replicas of a route in the record. The score depends on the largest sum
	// only.
	maxReplicaSums = 8
)

// Sample is the result of one request, as far as it depends on the replica.
type Sample struct {
	Route   string
	Replica string
	// AssignedAt is when the request was assigned.
	AssignedAt structs.Instant
	// Target is true if the replica has the target version.
	Target bool
	Failed bool
	// FirstEventTime is the time to the first event, divided by the size of the prompt for answers in
	// events. EventInterval is the time between two events, or the duration of a plain answer. Zero means
	// unknown.
	FirstEventTime, EventInterval time.Duration
}

// Analyzer compares the answers of the target with those of other versions on the same routes at the
// same time. Create it with NewAnalyzer. It is not safe for concurrent use.
type Analyzer struct {
	routes map[string]*routeAnalyzer
}

// NewAnalyzer returns an analyzer without samples.
func NewAnalyzer() *Analyzer { return &Analyzer{routes: map[string]*routeAnalyzer{}} }

// routeAnalyzer compares the answers on one route.
type routeAnalyzer struct {
	firstTimes, stepTimes recentTimes
	// slowMean and fastMean are the moving averages of the baseline's bad-answer share.
	slowMean, fastMean float64
	// sum is the evidence against the target, replicaSums the contributions of its replicas.
	sum         float64
	replicaSums map[string]float64
}

// Observe records the sample and reports whether it counts as bad.
func (a *Analyzer) Observe(sample Sample) bool {
	route, found := a.routes[sample.Route]
	if !found {
		route = &routeAnalyzer{replicaSums: map[string]float64{}}
		a.routes[sample.Route] = route
	}
	isBad := sample.Failed || route.firstTimes.isSlow(sample.FirstEventTime) || route.stepTimes.isSlow(sample.EventInterval)
	if sample.Target {
		route.addEvidence(sample.Replica, isBad)
		return isBad
	}
	if !sample.Failed {
		route.firstTimes.add(sample.FirstEventTime)
		route.stepTimes.add(sample.EventInterval)
	}
	route.slowMean += slowMeanWeight * (badShare(isBad) - route.slowMean)
	route.fastMean += fastMeanWeight * (badShare(isBad) - route.fastMean)
	return isBad
}

// badShare returns the bad-answer share of a single answer.
func badShare(isBad bool) float64 {
	if isBad {
		return 1
	}
	return 0
}

// addEvidence adds an answer of the target to the sums.
func (r *routeAnalyzer) addEvidence(replica string, isBad bool) {
	baseline := max(r.slowMean, r.fastMean, minBaselineShare)
	degraded := min(baseline+minDegradation, maxBadShare)
	baseline = min(baseline, degraded-minDegradation/2)
	logRatio := math.Log((1 - degraded) / (1 - baseline))
	if isBad {
		logRatio = math.Log(degraded / baseline)
	}
	r.sum += logRatio
	r.replicaSums[replica] += logRatio
	if r.sum <= 0 {
		r.sum = 0
		clear(r.replicaSums)
	}
}

// RegressionScore returns the highest score of the routes and its route. The target is bad from a
// score of 1 on.
func (a *Analyzer) RegressionScore() (score float64, route string) {
	for name, analyzer := range a.routes {
		if found := analyzer.regressionScore(); found > score || found == score && found > 0 && name < route {
			score, route = found, name
		}
	}
	return score, route
}

func (r *routeAnalyzer) regressionScore() float64 {
	if len(r.replicaSums) == 1 {
		return r.sum / (alarmThreshold * singleReplicaFactor)
	}
	highest := 0.0
	for _, sum := range r.replicaSums {
		highest = max(highest, sum)
	}
	return min(r.sum/alarmThreshold, (r.sum-highest)/otherReplicasThreshold)
}

// State returns the analysis of the routes with evidence and of the route with the highest score.
func (a *Analyzer) State(evidenceByRoute map[string]rollouts.Evidence) map[string]rollouts.Analysis {
	_, highest := a.RegressionScore()
	states := map[string]rollouts.Analysis{}
	for name, route := range a.routes {
		if _, hasEvidence := evidenceByRoute[name]; hasEvidence || name == highest {
			states[name] = route.state()
		}
	}
	return states
}

func (r *routeAnalyzer) state() rollouts.Analysis {
	replicas := slices.SortedFunc(maps.Keys(r.replicaSums), func(x, y string) int {
		return cmp.Or(cmp.Compare(r.replicaSums[y], r.replicaSums[x]), cmp.Compare(x, y))
	})
	sums := map[string]float64{}
	for _, replica := range replicas[:min(len(replicas), maxReplicaSums)] {
		sums[replica] = r.replicaSums[replica]
	}
	return rollouts.Analysis{
		Sum: r.sum, SumByReplica: sums, SlowMean: r.slowMean, FastMean: r.fastMean,
		FirstEventLimit: r.firstTimes.slowLimit, EventIntervalLimit: r.stepTimes.slowLimit,
	}
}

// Restore continues from the analysis of another scheduling node. On routes that both analyzed, as during
// a partition, the higher score applies.
func (a *Analyzer) Restore(states map[string]rollouts.Analysis) {
	for name, state := range states {
		if !isValid(state) {
			continue
		}
		restored := &routeAnalyzer{
			firstTimes: recentTimes{slowLimit: state.FirstEventLimit}, stepTimes: recentTimes{slowLimit: state.EventIntervalLimit},
			slowMean: state.SlowMean, fastMean: state.FastMean, sum: state.Sum, replicaSums: map[string]float64{},
		}
		maps.Copy(restored.replicaSums, state.SumByReplica)
		route, found := a.routes[name]
		switch {
		case !found:
			a.routes[name] = restored
		case restored.regressionScore() > route.regressionScore():
			route.sum, route.replicaSums = restored.sum, restored.replicaSums
		}
	}
}

// isValid reports whether scores can be computed from the analysis.
func isValid(state rollouts.Analysis) bool {
	isFinite := func(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }
	for _, sum := range state.SumByReplica {
		if !isFinite(sum) {
			return false
		}
	}
	return state.Sum >= 0 && isFinite(state.Sum) && isFinite(state.SlowMean) && isFinite(state.FastMean)
}

// recentTimes holds the latest times of the baseline's answers.
type recentTimes struct {
	times []time.Duration
	// next is the index to overwrite once times is full.
	next        int
	sinceUpdate int
	// slowLimit is the time above which an answer is slow; zero if there are too few times. It may be that of
	// another scheduling node at first.
	slowLimit time.Duration
}

// add adds a time; zero is ignored.
func (t *recentTimes) add(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	if len(t.times) < maxTimes {
		t.times = append(t.times, elapsed)
	} else {
		t.times[t.next] = elapsed
		t.next = (t.next + 1) % maxTimes
	}
	if t.sinceUpdate++; len(t.times) < minTimes || t.sinceUpdate < timesPerUpdate {
		return
	}
	t.sinceUpdate = 0
	sorted := slices.Clone(t.times)
	slices.Sort(sorted)
	t.slowLimit = time.Duration(slowFactor * float64(sorted[int(slowQuantile*float64(len(sorted)))]))
}

func (t *recentTimes) isSlow(elapsed time.Duration) bool {
	return t.slowLimit > 0 && elapsed > t.slowLimit
}
