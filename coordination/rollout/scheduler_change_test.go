package rollout

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// Guards against a doubtful version that gets every request because the scheduling node changed, and the evidence
// against it is forgotten although the record still counts its answers.
func TestDoubtfulVersionIsNotSwitchedToAfterAChangeOfTheSchedulingNode(t *testing.T) {
	for _, changes := range []bool{false, true} {
		t.Run(fmt.Sprint("the scheduling node changes: ", changes), func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := startCanary(g)
			recordAnswers(c, 600, false)
			doubt := func() float64 { score, _ := c.RegressionScore(); return score }
			for i := 0; doubt() <= maxAcceptedScore; i++ {
				c.RecordResult(Sample{Route: "r", Replica: fmt.Sprint(true, i%4), Target: true, Failed: i%4 != 3, EventInterval: 20 * time.Millisecond}, true)
			}
			g.Expect(doubt()).To(gomega.BeNumerically("<", 1))
			next, due := c.Propose(10*time.Second, inputsAt(10*time.Second))
			g.Expect(due).To(gomega.BeTrue())
			g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseCanary))
			c.WriteCommitted(10*time.Second, next, 7)
			if changes {
				c = NewController(testPolicy, 16*time.Second, c.Record())
			}
			if next, due = c.Propose(17*time.Second, inputsAt(17*time.Second)); due {
				g.Expect(next.Phase).NotTo(gomega.Equal(rollouts.PhaseSwitching))
			}
		})
	}
}

// writeCanaryRecord commits the record that is due.
func writeCanaryRecord(g *gomega.WithT, c *Controller, now time.Duration, position structs.StorePosition) {
	next, due := c.Propose(now, inputsAt(now))
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseCanary))
	c.WriteCommitted(now, next, position)
}

// recordBadTargetAnswers records failures of the target until the score is above the limit.
func recordBadTargetAnswers(c *Controller, limit float64) {
	for i := 0; ; i++ {
		if score, _ := c.RegressionScore(); score > limit {
			return
		}
		c.RecordResult(Sample{Route: "r", Replica: fmt.Sprint(true, i%4), Target: true, Failed: true, EventInterval: 20 * time.Millisecond}, true)
	}
}

// Guards against a scheduling node that continues with another score, or that takes slow answers for good ones
// until it has seen enough answers of the other versions.
func TestAnalysisContinuesAfterAChangeOfTheSchedulingNode(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startCanary(g)
	recordAnswers(c, 600, false)
	c.RecordResult(Sample{Route: "r", Replica: "old", Failed: true}, true)
	recordBadTargetAnswers(c, 0.3)
	writeCanaryRecord(g, c, 10*time.Second, 7)
	successor := NewController(testPolicy, 11*time.Second, c.Record())
	score, route := c.RegressionScore()
	continued, continuedRoute := successor.RegressionScore()
	g.Expect(continued).To(gomega.Equal(score))
	g.Expect(continuedRoute).To(gomega.Equal(route))
	state := successor.analyzer.State(successor.record.EvidenceByRoute)
	g.Expect(state).To(gomega.Equal(c.analyzer.State(c.record.EvidenceByRoute)))
	g.Expect(state["r"].FastMean).To(gomega.BeNumerically(">", 0))
	slow := Sample{Route: "r", Replica: "slow", Target: true, AssignedAt: 11 * time.Second, EventInterval: time.Second}
	successor.RecordResult(slow, true)
	g.Expect(successor.pending.routes["r"].Bad).To(gomega.Equal(1))
}

// Guards against a good version that is rolled back, or judged anew, because the scheduling node changed.
func TestGoodVersionIsSwitchedToAfterAChangeOfTheSchedulingNode(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startCanary(g)
	recordAnswers(c, 600, false)
	writeCanaryRecord(g, c, 15*time.Second, 7)
	c = NewController(testPolicy, 16*time.Second, c.Record())
	next, due := c.Propose(17*time.Second, inputsAt(17*time.Second))
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseSwitching))
	g.Expect(next.AnalysisByRoute).To(gomega.BeEmpty(), "of no use after the canary phase")
}

// Guards against counts that let a target pass although its score is missing, as after a write by an earlier
// version, or can't be read.
func TestCountsWithoutAnalysisDoNotLetATargetPass(t *testing.T) {
	for name, damage := range map[string]func(*rollouts.Record){
		"none":             func(r *rollouts.Record) { r.AnalysisByRoute = nil },
		"not of the route": func(r *rollouts.Record) { r.AnalysisByRoute = map[string]rollouts.Analysis{"other": {}} },
		"sum":              func(r *rollouts.Record) { r.AnalysisByRoute = map[string]rollouts.Analysis{"r": {Sum: math.NaN()}} },
		"negative sum":     func(r *rollouts.Record) { r.AnalysisByRoute = map[string]rollouts.Analysis{"r": {Sum: -1}} },
		"average": func(r *rollouts.Record) {
			r.AnalysisByRoute = map[string]rollouts.Analysis{"r": {FastMean: math.Inf(1)}}
		},
		"replica": func(r *rollouts.Record) {
			r.AnalysisByRoute = map[string]rollouts.Analysis{"r": {SumByReplica: map[string]float64{"a": math.NaN()}}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := startCanary(g)
			recordAnswers(c, 600, false)
			writeCanaryRecord(g, c, 10*time.Second, 7)
			record := c.Record()
			damage(&record)
			for name, c := range map[string]*Controller{"successor": NewController(testPolicy, 16*time.Second, record), "other side of a partition": c} {
				record.Position++
				c.ApplyRecord(record)
				next, due := c.Propose(17*time.Second, inputsAt(17*time.Second))
				g.Expect(due && next.Phase == rollouts.PhaseSwitching).To(gomega.BeFalse(), name)
				if due {
					c.WriteRejected(17 * time.Second)
				}
				for i := range 600 {
					c.RecordResult(Sample{Route: "r", Replica: fmt.Sprint(i % 4), Target: i%10 == 0, AssignedAt: 17 * time.Second, EventInterval: 20 * time.Millisecond}, true)
				}
				next, due = c.Propose(18*time.Second, inputsAt(18*time.Second))
				g.Expect(due).To(gomega.BeTrue(), name)
				g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseSwitching), name)
			}
		})
	}
}

// Guards against evidence that is lost because the scheduling node of the other side of a partition wrote the
// record.
func TestHigherScoreAppliesAfterAPartition(t *testing.T) {
	for _, test := range []struct{ own, other float64 }{{0.3, 0.7}, {0.7, 0.3}} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			g := gomega.NewWithT(t)
			own, other := startCanary(g), startCanary(g)
			for c, limit := range map[*Controller]float64{own: test.own, other: test.other} {
				recordAnswers(c, 600, false)
				recordBadTargetAnswers(c, limit)
			}
			writeCanaryRecord(g, other, 10*time.Second, 7)
			own.ApplyRecord(other.Record())
			score, _ := own.RegressionScore()
			g.Expect(score).To(gomega.BeNumerically(">", maxAcceptedScore))
			next, due := own.Propose(17*time.Second, inputsAt(17*time.Second))
			g.Expect(due && next.Phase == rollouts.PhaseSwitching).To(gomega.BeFalse())
		})
	}
}

// Guards against more writes to the store because the record holds the analysis.
func TestNewScoreAloneIsNotWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startCanary(g)
	recordAnswers(c, 600, false)
	writeCanaryRecord(g, c, 10*time.Second, 7)
	recordBadTargetAnswers(c, 0.3)
	c.pending.requests = 0
	_, due := c.Propose(11*time.Second, inputsAt(11*time.Second))
	g.Expect(due).To(gomega.BeFalse())
}

// Guards against a record that grows with the replicas or routes of a service.
func TestAnalysisInTheRecordIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startCanary(g)
	for i := range 100 {
		for j := range 12 {
			c.RecordResult(Sample{Route: fmt.Sprint("route", i), Replica: fmt.Sprint(j), Target: true, Failed: i == 99, EventInterval: time.Millisecond}, true)
		}
	}
	_, worst := c.RegressionScore()
	g.Expect(worst).To(gomega.Equal("route99"))
	states := c.analyzer.State(c.pending.routes)
	g.Expect(states).To(gomega.HaveLen(maxRoutes + 1))
	g.Expect(states[worst].SumByReplica).To(gomega.HaveLen(maxReplicaSums))
}

// changedAnalyzer continues from the record's analysis after each change of the scheduling node.
type changedAnalyzer struct {
	*Analyzer
	samples         int
	evidenceByRoute map[string]rollouts.Evidence
}

// samplesPerChange is the number of samples between two changes of the scheduling node.
const samplesPerChange = 1000

func (a *changedAnalyzer) Observe(sample Sample) bool {
	a.evidenceByRoute[sample.Route] = rollouts.Evidence{}
	if a.samples++; a.samples%samplesPerChange == 0 {
		successor := NewAnalyzer()
		successor.Restore(a.State(a.evidenceByRoute))
		a.Analyzer = successor
	}
	return a.Analyzer.Observe(sample)
}

// Guards against bad versions that are missed, and good ones that are rolled back, because the scheduling node
// changes during the rollout. Slow versions are missed more often than without changes, as each scheduling node
// soon replaces the limit of slow answers by one of the few times that it has seen.
func TestAnalyzerSeparatesVersionsWhileTheSchedulingNodeChanges(t *testing.T) {
	const maxFalseRollbacks, maxMissed, maxMissedSlowUnderLoad = 4, 2, 14
	g := gomega.NewGomega(func(message string, _ ...int) { t.Error(message) })
	newChanged := func() detector {
		return &changedAnalyzer{Analyzer: NewAnalyzer(), evidenceByRoute: map[string]rollouts.Evidence{}}
	}
	for _, name := range sortedNames(goodScenarios) {
		rolledBack, _, _ := runScenario(newChanged, seeds, 0.005, goodScenarios[name])
		t.Logf("good, %s: rolled back %d of %d", name, rolledBack, seeds)
		g.Expect(rolledBack).To(gomega.BeNumerically("<=", maxFalseRollbacks), name)
	}
	for _, name := range sortedNames(badScenarios) {
		found, answers, bad := runScenario(newChanged, seeds, 0.005, badScenarios[name])
		t.Logf("bad, %s: found %d of %d after %d answers, %d of them bad", name, found, seeds, answers, bad)
		allowed := maxMissed
		if name == slowUnderLoad {
			allowed = maxMissedSlowUnderLoad
		}
		g.Expect(seeds-found).To(gomega.BeNumerically("<=", allowed), name)
	}
}
