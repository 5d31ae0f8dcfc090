package emulator

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/workload"
)

func run(g *gomega.WithT, deployment workload.Deployment, seed uint64, duration time.Duration, policies ...string) []Result {
	experiment := Experiment{Deployment: deployment, Load: 1.5, Seed: seed, Duration: duration, Policies: policies, Conditions: DefaultConditions}
	results, err := experiment.Run()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return results
}

// Guards against results that depend on anything but the seed.
func TestSameSeedGivesTheSameBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	first, err := json.Marshal(run(g, workload.Coop(), 5, 20*time.Second, Policies...))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	second, err := json.Marshal(run(g, workload.Coop(), 5, 20*time.Second, Policies...))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(second)).To(gomega.Equal(string(first)))
}

// Guards against misspelled policies that are silently ignored.
func TestUnknownPolicyIsRejected(t *testing.T) {
	experiment := Experiment{Deployment: workload.Coop(), Load: 1, Seed: 1, Duration: time.Second, Policies: []string{"hope"}}
	_, err := experiment.Run()
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring("choose among")))
}

// Guards against regressions of goodput, wasted prefill and shedding under overload.
// docs/EXPERIMENTS.md has the goals.
func TestOverload(t *testing.T) {
	for _, deployment := range []workload.Deployment{workload.Agency(), workload.Coop()} {
		for _, seed := range []uint64{1, 2} {
			g := gomega.NewWithT(t)
			results := run(g, deployment, seed, 120*time.Second, Policies...)
			thornwalk, oracle := results[4], results[5]
			top := deployment.Kinds[0].Tier
			g.Expect(thornwalk.Goodput[top]).To(gomega.BeNumerically(">=", 0.99), "%s seed %d", deployment.Name, seed)
			g.Expect([]int{thornwalk.DispatchedTwice, thornwalk.FalseNotRun, thornwalk.ShedInversions}).To(gomega.Equal([]int{0, 0, 0}))
			g.Expect(thornwalk.GoodputTotal).To(gomega.BeNumerically(">=", 0.95*oracle.GoodputTotal))
			for _, baseline := range results[:4] {
				g.Expect(thornwalk.Goodput[top]).To(gomega.BeNumerically(">=", baseline.Goodput[top]))
				g.Expect(thornwalk.GoodputTotal).To(gomega.BeNumerically(">", 0.99*baseline.GoodputTotal))
				g.Expect(2 * thornwalk.WastedPrefillTokens).To(gomega.BeNumerically("<=", baseline.WastedPrefillTokens))
			}
		}
	}
}
