package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a check that misses a tenant that is refused because of the excess of another one, or a
// refused request of higher priority, that judges requests during faults, or that judges none.
func TestSharesAreJudgedWithoutFaultsOnly(t *testing.T) {
	start := time.Now()
	// calls returns requests of which the given number is refused, at times from the offset on.
	calls := func(route, key string, offset time.Duration, count, refused int) []callResult {
		var results []callResult
		for number := range count {
			from := start.Add(offset + time.Duration(number)*time.Millisecond)
			result := callResult{outgoing: outgoing{route: route, key: key}, outcome: outcomeAnswered, span: span{from, from.Add(time.Millisecond)}}
			if number < refused {
				result.outcome = outcomeNotRun
			}
			results = append(results, result)
		}
		return results
	}
	const beforeSurge, inFault, inStop, calm = 0, 3 * time.Second, 8 * time.Second, 15 * time.Second
	for _, test := range []struct {
		name                     string
		contested, urgent, surge int // refused of 80 in the calm time
		seed                     uint64
		previous                 string
		violations               []string
	}{
		{"at the bound", 8, 8, 70, 1, "", nil},
		{"below the share and refused", 40, 0, 40, 1, "", []string{"below share"}},
		{"just below the bound", 9, 0, 40, 1, "", []string{"below share"}},
		{"higher priority refused", 0, 40, 40, 1, "", []string{"higher priority"}},
		{"shares are off", 40, 0, 40, 2, "", nil},
		{"the previous version has no shares", 40, 0, 40, 1, "previous", nil},
		{"priorities hold with shares off", 0, 40, 40, 2, "previous", []string{"higher priority"}},
		{"engines that are not full", 0, 0, 0, 1, "", []string{"not full"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			i := &injector{startedAt: start, unplanned: []span{{start.Add(2 * time.Second), start.Add(6 * time.Second)}}, plannedStops: map[int][]span{1: {{start.Add(6 * time.Second), start.Add(7 * time.Second)}}}}
			c := &callers{}
			for _, offset := range []time.Duration{beforeSurge, inFault, inStop} {
				c.results = append(c.results, calls(contestedRoute, tenantKey, offset, 50, 50)...)
				c.results = append(c.results, calls(urgentRoute, tenantKey, offset, 50, 50)...)
			}
			c.results = append(c.results, calls("status", tenantKey, calm, 50, 50)...)
			c.results = append(c.results, calls(contestedRoute, tenantKey, calm, 80, test.contested)...)
			c.results = append(c.results, calls(urgentRoute, tenantKey, calm, 80, test.urgent)...)
			c.results = append(c.results, calls(contestedRoute, surgeTenantKey, calm, 80, test.surge)...)
			var violations []string
			checkShares(&Result{Worst: map[string]string{}}, &Options{Seed: test.seed, Previous: test.previous}, c, i, func(format string, arguments ...any) {
				violations = append(violations, fmt.Sprintf(format, arguments...))
			})
			g.Expect(violations).To(gomega.HaveLen(len(test.violations)))
			for number, violation := range test.violations {
				g.Expect(violations[number]).To(gomega.ContainSubstring(violation))
			}
		})
	}
	g := gomega.NewWithT(t)
	var violations []string
	checkShares(&Result{Worst: map[string]string{}}, &Options{Seed: 1}, &callers{}, &injector{}, func(format string, arguments ...any) {
		violations = append(violations, fmt.Sprintf(format, arguments...))
	})
	g.Expect(violations).To(gomega.ContainElement(gomega.ContainSubstring("below share: only 0 requests")))
}
