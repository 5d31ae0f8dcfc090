package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a check that misses a replica which is used late, or by some nodes only, after a restore
// that lists it, that counts the time of other faults as late, or that judges a run which shows nothing.
func TestRelistedReplicasAreJudgedFromTheirDueTime(t *testing.T) {
	start := time.Now()
	const restored = 4 * time.Second
	at := func(offset time.Duration) time.Time { return start.Add(offset) }
	delay := span{at(restored + 2*time.Second), at(restored + 7*time.Second)}
	for _, test := range []struct {
		name string
		// usedFrom is when each node uses the replicas, from the restore.
		usedFrom [nodeCount]time.Duration
		// sentFor is how long requests are sent, from the restore.
		sentFor    time.Duration
		delays     []span
		violations []string
	}{
		{"in time", [nodeCount]time.Duration{relistTime, relistTime, relistTime}, 9 * time.Second, nil, nil},
		{"late", [nodeCount]time.Duration{time.Minute, time.Minute, time.Minute}, 9 * time.Second, nil, []string{"node 0 answered 0 of", "node 1 answered 0 of", "node 2 answered 0 of"}},
		{"late by a second", [nodeCount]time.Duration{relistTime + time.Second, relistTime, relistTime}, 9 * time.Second, nil, []string{"node 0 answered 10 of 15"}},
		{"late at one node", [nodeCount]time.Duration{relistTime, time.Minute, relistTime}, 9 * time.Second, nil, []string{"node 1 answered 0 of"}},
		{"in time after a delay", [nodeCount]time.Duration{12 * time.Second, 13 * time.Second, 12 * time.Second}, 16 * time.Second, []span{delay}, nil},
		{"late after a delay", [nodeCount]time.Duration{relistTime, time.Minute, relistTime}, 16 * time.Second, []span{delay}, []string{"node 1 answered 0 of"}},
		{"late with a delay before the restore", [nodeCount]time.Duration{time.Minute, relistTime, relistTime}, 9 * time.Second, []span{{at(0), at(time.Second)}}, []string{"node 0 answered 0 of"}},
		{"never gone", [nodeCount]time.Duration{relistTime, 0, relistTime}, 9 * time.Second, nil, []string{"node 1 did not know"}},
		{"too few requests", [nodeCount]time.Duration{relistTime, relistTime, relistTime}, relistTime + time.Second, nil, []string{"node 0 answered 5 of 5", "node 1 answered 5 of 5", "node 2 answered 5 of 5"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c, i := &callers{}, &injector{restoredAt: at(restored), delays: test.delays}
			for offset := time.Duration(0); offset < test.sentFor; offset += 200 * time.Millisecond {
				for node, usedFrom := range test.usedFrom {
					call := callResult{outgoing: outgoing{route: relistedRoute, node: node}, outcome: outcomeNotRun, span: span{from: at(restored + offset)}}
					if offset >= usedFrom {
						call.outcome = outcomeAnswered
					}
					c.results = append(c.results, call)
				}
			}
			c.results = append(c.results, callResult{outgoing: outgoing{route: "once"}, outcome: outcomeNotRun, span: span{from: at(restored + relistTime)}})
			var violations []string
			checkRelisted(&Result{Worst: map[string]string{}}, c, i, func(format string, arguments ...any) {
				violations = append(violations, fmt.Sprintf(format, arguments...))
			})
			g.Expect(violations).To(gomega.HaveLen(len(test.violations)), "%v", violations)
			for number, violation := range test.violations {
				g.Expect(violations[number]).To(gomega.ContainSubstring(violation))
			}
		})
	}
}

// Guards against a due time that leaves out a fault which begins while the reads of the one before are still
// allowed to be late, or that a fault before the restore or after the judged time moves.
func TestDueTimeOfRelistedReplicasFollowsChainsOfDelays(t *testing.T) {
	g := gomega.NewWithT(t)
	restoredAt := time.Now()
	delay := func(from, to time.Duration) span { return span{restoredAt.Add(from), restoredAt.Add(to)} }
	due := func(delays ...span) time.Duration { return relistDue(restoredAt, delays).Sub(restoredAt) }
	second := time.Second
	g.Expect(due()).To(gomega.Equal(relistTime))
	g.Expect(due(delay(-2*second, -second))).To(gomega.Equal(relistTime))
	g.Expect(due(delay(-second, second))).To(gomega.Equal(second + relistTime))
	g.Expect(due(delay(10*second, 12*second), delay(second, 4*second))).To(gomega.Equal(12*second + relistTime))
	g.Expect(due(delay(relistTime+relistJudgedTime, 20*second))).To(gomega.Equal(relistTime))
}

// Guards against a store that one answer contains, against writes outside of the intended rates, and against a
// mix in which no run, or each one, has other faults that hide a lost read.
func TestRestoresAreDrawnWithinTheirBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(fillerCount).To(gomega.BeNumerically(">", 500))
	const seeds = 200
	delayed := 0
	for seed := range uint64(seeds) {
		drawn := drawRestore(seed)
		g.Expect(drawn).To(gomega.Equal(drawRestore(seed)))
		g.Expect(drawn.writeInterval).To(gomega.And(gomega.BeNumerically(">=", 30*time.Millisecond), gomega.BeNumerically("<", 200*time.Millisecond)))
		if drawn.isDelayed {
			delayed++
			g.Expect(drawn.kinds()).To(gomega.ContainElement(kindKill))
		} else {
			g.Expect(drawn.kinds()).NotTo(gomega.ContainElement(gomega.BeElementOf(kindKill, kindStoreDown)))
		}
	}
	g.Expect(delayed).To(gomega.BeNumerically("~", seeds*delayedShare, 20))
}
