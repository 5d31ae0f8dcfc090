package stops

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a service whose first requests were rejected within milliseconds, or broke off, and that is expected to answer
// as fast: requests are taken shortly before the end then, and run without an answer.
func TestFirstRequestWithoutAnAnswerIsNoExpectation(t *testing.T) {
	g := gomega.NewWithT(t)
	var times Times
	kind := Kind{Service: "registry", Route: "once"}
	times.End(5*time.Millisecond, times.Begin(0, kind), false)
	g.Expect(times.Expect(time.Second, kind).IsKnown).To(gomega.BeFalse())
	plan := Plan{Grace: 8 * time.Second}
	request := Request{Remaining: time.Minute, Expected: times.Expect(time.Second, kind)}
	g.Expect(plan.Decide(7*time.Second, request).Take).To(gomega.BeFalse())
}
