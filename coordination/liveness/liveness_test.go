package liveness

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const dead = 400 * time.Millisecond

func names(members []*Member) []string {
	var all []string
	for _, member := range members {
		all = append(all, member.Name)
	}
	return all
}

func TestSilentSuspectedAndUnheardNodesAreNotLive(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable("self")
	g.Expect(table.Heard(0, Beat{Name: "a", Incarnation: 1}, dead)).To(gomega.BeTrue())
	g.Expect(table.Heard(100*time.Millisecond, Beat{Name: "a", Incarnation: 1}, dead)).To(gomega.BeFalse())
	g.Expect(table.Heard(0, Beat{Name: "self"}, dead)).To(gomega.BeFalse())
	table.Learn(0, Peer{Name: "b", Address: "x"})
	g.Expect(names(table.Live(200*time.Millisecond, dead))).To(gomega.Equal([]string{"a"}))
	g.Expect(names(table.All(0))).To(gomega.Equal([]string{"a", "b"}))
	table.Suspect("a")
	g.Expect(table.Live(200*time.Millisecond, dead)).To(gomega.BeEmpty())
	g.Expect(table.Heard(300*time.Millisecond, Beat{Name: "a", Incarnation: 1}, dead)).To(gomega.BeTrue())
	g.Expect(table.Live(300*time.Millisecond+dead, dead)).To(gomega.BeEmpty())
	g.Expect(table.Heard(time.Second, Beat{Name: "a", Incarnation: 2}, dead)).To(gomega.BeTrue())
	g.Expect(table.All(2 * forgetAfter)).To(gomega.BeEmpty())
}

// Seen on the bench: grown agency, a burst at a scheduling node of 0.192 cores.
func TestWeakAndLeavingNodesDoNotSchedule(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Candidates([]Beat{{Name: "weak", Cores: 0.2}, {Name: "b", Cores: 0.7}, {Name: "a", Cores: 0.8}, {Name: "left", Cores: 4, Leaving: true}})).To(gomega.Equal([]string{"a", "b"}))
	g.Expect(Candidates([]Beat{{Name: "a"}, {Name: "b"}})).To(gomega.Equal([]string{"a", "b"}))
	g.Expect(Candidates([]Beat{{Name: "a", Leaving: true}})).To(gomega.BeEmpty())
}
