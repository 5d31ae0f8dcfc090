package soak

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a planned stop that loses requests which the node had read or forwarded. A request
// that met the close of an idle connection was never read and may be lost.
func TestPlannedStopMayLoseOnlyRequestsThatCrossedAClose(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	lost := func(id string, after time.Duration) callResult {
		return callResult{outgoing: outgoing{id: id, route: "status"}, outcome: outcomeLost, span: span{start, start.Add(after)}}
	}
	i := &injector{plannedStops: map[int][]span{0: {{start.Add(-time.Second), start.Add(time.Second)}}}}
	c := &callers{results: []callResult{lost("crossed", 2*time.Millisecond), lost("queued", 400*time.Millisecond), lost("ran", 2*time.Millisecond)}}
	result := &Result{Counts: map[string]int{}}
	var violations []string
	checkRequests(result, c, i, map[string]int{"ran": 1}, func(_ string, arguments ...any) {
		violations = append(violations, arguments[0].(string))
	})
	g.Expect(violations).To(gomega.Equal([]string{"queued", "ran"}))
	i.unplanned = []span{{start.Add(-time.Second), start.Add(time.Second)}}
	g.Expect(i.lostInPlannedStop(c.results[1])).To(gomega.BeFalse(), "something unplanned happened too")
}
