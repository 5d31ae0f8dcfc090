package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const deadAfter = time.Second

func newTestTable(name string) *Table {
	return NewTable(Member{Name: name, Zone: "z", Incarnation: FirstIncarnation(1)}, deadAfter, rand.New(rand.NewPCG(1, 1)))
}

// Guards against a member that stays suspect, or dies although it refuted the suspicion.
func TestUnrefutedSuspectsBecomeDead(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := newTestTable("a"), newTestTable("b")
	a.RecordMessage(0, b.Self())
	a.ProbeFailed(0, "b")
	b.Merge(0, a.Rumors(8)) // b learns that it is suspected and refutes it
	a.Merge(time.Millisecond, b.Rumors(8))
	a.Tick(2 * deadAfter)
	g.Expect(a.LiveNames()).To(gomega.Equal([]string{"a", "b"}))
	a.ProbeFailed(2*deadAfter, "b")
	a.Tick(2*deadAfter + deadAfter + 1)
	g.Expect(a.LiveNames()).To(gomega.Equal([]string{"a"}))
}

// Guards against old messages that make a dead process alive, and against a new process that
// stays dead.
func TestRestartedProcessIsAliveAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestTable("a")
	old := Member{Name: "b", Zone: "z", Incarnation: FirstIncarnation(5)}
	a.RecordMessage(0, old)
	a.Merge(0, []Rumor{{Member: old, Status: Dead}})
	a.RecordMessage(1, old) // a delayed message of the dead process
	g.Expect(a.LiveNames()).To(gomega.Equal([]string{"a"}))
	a.RecordMessage(2, Member{Name: "b", Zone: "z", Incarnation: FirstIncarnation(6)})
	g.Expect(a.LiveNames()).To(gomega.Equal([]string{"a", "b"}))
}

// Guards against malformed rumors and those of other zones entering the table.
func TestInvalidRumorsAndThoseOfOtherZonesAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestTable("a")
	a.Merge(0, []Rumor{{Member: Member{Name: "x", Zone: "elsewhere", Incarnation: 1}, Status: Alive}, {Member: Member{Zone: "z"}, Status: Alive}, {Member: Member{Name: "y", Zone: "z"}, Status: 9}})
	g.Expect(a.LiveNames()).To(gomega.Equal([]string{"a"}))
}

// Guards against members that are probed more rarely than others.
func TestProbeTargetsVisitEachMemberOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestTable("a")
	for _, name := range []string{"b", "c", "d", "e"} {
		a.RecordMessage(0, Member{Name: name, Zone: "z", Incarnation: FirstIncarnation(1)})
	}
	seen := map[string]int{}
	for range 2 {
		for _, target := range a.ProbeTargets(2) {
			seen[target.Name]++
		}
	}
	g.Expect(seen).To(gomega.Equal(map[string]int{"b": 1, "c": 1, "d": 1, "e": 1}))
}
