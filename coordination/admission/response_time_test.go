package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// Guards against a slope that rounding errors or one other prompt determine where nearly all prompts have
// the same length. It was so steep that the expected time for just that length was many times the mean.
func TestPromptsOfOneLengthAreExpectedToTakeTheirMeanTime(t *testing.T) {
	g := gomega.NewWithT(t)
	const shortest, longest = 100 * ms, 140 * ms
	for _, prompt := range []int{543, 777, 1001, 1800, 2890} {
		for _, decay := range []float64{prefillDecay, responseDecay} {
			for _, other := range []int{prompt, prompt - 1, prompt + 1} {
				random := rand.New(rand.NewPCG(1, 6))
				estimator := prefillEstimator{}
				estimator.observeWithDecay(other, (shortest+longest)/2, decay)
				for i := range 2000 {
					estimator.observeWithDecay(prompt, shortest+structs.Instant(random.Int64N(int64(longest-shortest))), decay)
					perToken := estimator.timePerToken()
					if i < minPrefillWeight {
						continue
					}
					expected := estimator.fixedTime(perToken) + structs.Instant(prompt)*perToken
					g.Expect(expected).To(gomega.And(gomega.BeNumerically(">=", shortest-ms), gomega.BeNumerically("<=", longest+ms)), fmt.Sprint(prompt, " ", other, " ", decay, " ", i))
				}
			}
		}
	}
}
