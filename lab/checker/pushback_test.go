package checker

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

var pushback = Pushback{Contact: 3 * time.Second, Drain: 2 * time.Second, Excused: func(node string, _, _ time.Time) bool { return node == "excused" }}

// came returns a request of the node that is answered at once.
func came(node string, seconds float64, said platformsim.Pushback) Sent {
	at := time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
	return Sent{Node: node, Asked: at, Arrival: platformsim.Arrival{ID: fmt.Sprint(node, seconds), At: at, HeadAt: at, Said: said, Refused: said.RetryAfter != ""}}
}

// The limit is a sum over the nodes that know it, and begins once it can be known.
func TestRequestsBeyondARateLimitAreSeen(t *testing.T) {
	limited := platformsim.Pushback{Limit: "1"}
	for name, example := range map[string]struct {
		nodes  []string
		from   float64
		gap    float64
		broken bool
	}{
		"eleven in four seconds":     {[]string{"a", "b"}, 4, 0.37, false},
		"twelve in four seconds":     {[]string{"a", "b"}, 4, 0.34, true},
		"before it can be known":     {[]string{"a", "b"}, 1, 0.1, false},
		"of a node that wasn't told": {[]string{"c"}, 4, 0.3, false},
		"of an excused node":         {[]string{"excused"}, 4, 0.1, false},
	} {
		t.Run(name, func(t *testing.T) {
			sent := []Sent{came("a", 0, limited), came("b", 0, limited), came("excused", 0, limited), came("a", 60, limited)}
			for i := range 12 {
				one := came(example.nodes[i%len(example.nodes)], example.from+float64(i)*example.gap, limited)
				if one.Node == "c" {
					one.HeadAt = time.Time{}
				}
				sent = append(sent, one)
			}
			gomega.NewWithT(t).Expect(pushback.RateLimit(sent) != "").To(gomega.Equal(example.broken))
		})
	}
}

func TestRequestsToAReplicaThatLeavesAreSeen(t *testing.T) {
	g := gomega.NewWithT(t)
	leaving, nothing := platformsim.Pushback{Leaving: "1"}, platformsim.Pushback{}
	sent := []Sent{came("a", 1, leaving), came("a", 2.9, leaving), came("b", 9, nothing), came("excused", 0, leaving), came("excused", 9, leaving)}
	g.Expect(pushback.Leaving(sent)).To(gomega.BeEmpty())
	g.Expect(pushback.Leaving(append(sent, came("a", 3.1, nothing)))).To(gomega.HaveLen(1))
}

func TestRequestsInAPauseAreSeen(t *testing.T) {
	g := gomega.NewWithT(t)
	pause, nothing := platformsim.Pushback{RetryAfter: "3"}, platformsim.Pushback{}
	sent := []Sent{came("a", 0, pause), came("a", 0.4, nothing), came("a", 1, nothing), came("a", 2, nothing), came("b", 2, nothing), came("a", 3.1, nothing)}
	g.Expect(pushback.Pauses(sent)).To(gomega.BeEmpty())
	g.Expect(pushback.Pauses(append(sent, came("a", 2.5, nothing)))).To(gomega.HaveLen(1))
}
