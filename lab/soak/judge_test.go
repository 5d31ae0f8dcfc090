package soak

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A request that a stopping node read or passed on may not be cut; one that crossed
// the close of its resting connection was never read, and its caller knows at once.
func TestOnlyWhatCrossedACloseMayBeLostInAPlannedStop(t *testing.T) {
	g := gomega.NewWithT(t)
	begun := time.Now()
	lost := func(id string, after time.Duration) seen {
		return seen{id: id, route: "status", outcome: outcomeLost, span: span{begun, begun.Add(after)}}
	}
	i := &injector{stops: map[int][]span{0: {{begun.Add(-time.Second), begun.Add(time.Second)}}}}
	c := &callers{all: []seen{lost("crossed", 2*time.Millisecond), lost("held", 400*time.Millisecond), lost("ran", 2*time.Millisecond)}}
	result := &Result{Counts: map[string]int{}}
	var violations []string
	judgeRequests(result, c, i, map[string]int{"ran": 1}, func(_ string, arguments ...any) {
		violations = append(violations, arguments[0].(string))
	})
	g.Expect(violations).To(gomega.Equal([]string{"held", "ran"}))
	i.disturbed = []span{{begun.Add(-time.Second), begun.Add(time.Second)}}
	g.Expect(i.cutByStop(c.all[1])).To(gomega.BeFalse(), "something unplanned happened too")
}
