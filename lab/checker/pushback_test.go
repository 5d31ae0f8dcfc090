package checker

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

var pushback = Pushback{Contact: 3 * time.Second, Drain: 2 * time.Second, Excused: func(node string, _, _ time.Time) bool { return node == "excused" }}

// arrivedFrom returns a request of the node that is answered at once with the pushback.
func arrivedFrom(node string, seconds float64, pushback platformsim.Pushback) Sent {
	at := time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
	return Sent{Node: node, SentAt: at, Arrival: platformsim.Arrival{ID: fmt.Sprint(node, seconds), At: at, HeadAt: at, Pushback: pushback, Rejected: pushback.RetryAfter != ""}}
}

// Guards against a rate limit that is checked by node instead of for all nodes together, or before
// nodes can know it.
func TestRateLimitReportsExcessRequests(t *testing.T) {
	limited := platformsim.Pushback{Limit: "1"}
	for name, example := range map[string]struct {
		nodes   []string
		from    float64
		gap     float64
		exceeds bool
	}{
		"eleven in four seconds":    {[]string{"a", "b"}, 4, 0.37, false},
		"twelve in four seconds":    {[]string{"a", "b"}, 4, 0.34, true},
		"before it can be known":    {[]string{"a", "b"}, 1, 0.1, false},
		"of a node without a limit": {[]string{"c"}, 4, 0.3, false},
		"of an excused node":        {[]string{"excused"}, 4, 0.1, false},
	} {
		t.Run(name, func(t *testing.T) {
			sent := []Sent{arrivedFrom("a", 0, limited), arrivedFrom("b", 0, limited), arrivedFrom("excused", 0, limited), arrivedFrom("a", 60, limited)}
			for i := range 12 {
				request := arrivedFrom(example.nodes[i%len(example.nodes)], example.from+float64(i)*example.gap, limited)
				if request.Node == "c" {
					request.HeadAt = time.Time{}
				}
				sent = append(sent, request)
			}
			gomega.NewWithT(t).Expect(pushback.RateLimit(sent) != "").To(gomega.Equal(example.exceeds))
		})
	}
}

// Guards against reporting requests within the drain time or of nodes without notice, and against
// missing later ones.
func TestLeavingReportsRequestsToALeavingReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	leaving, nothing := platformsim.Pushback{Leaving: "1"}, platformsim.Pushback{}
	sent := []Sent{arrivedFrom("a", 1, leaving), arrivedFrom("a", 2.9, leaving), arrivedFrom("b", 9, nothing), arrivedFrom("excused", 0, leaving), arrivedFrom("excused", 9, leaving)}
	g.Expect(pushback.Leaving(sent)).To(gomega.BeEmpty())
	g.Expect(pushback.Leaving(append(sent, arrivedFrom("a", 3.1, nothing)))).To(gomega.HaveLen(1))
}

// Guards against counting requests outside the pause or of other nodes, and against missing an excess.
func TestPausesReportsRequestsDuringAPause(t *testing.T) {
	g := gomega.NewWithT(t)
	pause, nothing := platformsim.Pushback{RetryAfter: "3"}, platformsim.Pushback{}
	sent := []Sent{arrivedFrom("a", 0, pause), arrivedFrom("a", 0.4, nothing), arrivedFrom("a", 1, nothing), arrivedFrom("a", 2, nothing), arrivedFrom("b", 2, nothing), arrivedFrom("a", 3.1, nothing)}
	g.Expect(pushback.Pauses(sent)).To(gomega.BeEmpty())
	g.Expect(pushback.Pauses(append(sent, arrivedFrom("a", 2.5, nothing)))).To(gomega.HaveLen(1))
}
