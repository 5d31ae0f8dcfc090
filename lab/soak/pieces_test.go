package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// piecesCount is the number of events of a whole stream in the cases.
const piecesCount = 6

// piecesBuilder makes up a stream by the texts that its caller reads.
type piecesBuilder struct {
	ids    platformsim.EventIDs
	stream *pieces
	text   strings.Builder
}

func newPiecesCase(ids platformsim.EventIDs, isResumable bool) *piecesBuilder {
	return &piecesBuilder{ids: ids, stream: &pieces{name: "s1", route: "chat", isResumable: isResumable, count: piecesCount, ids: ids}}
}

// event appends an event of the run, which began after the event with the number after, to the present try.
func (b *piecesBuilder) event(number, run, after int, change ...func(*platformsim.StreamEvent)) *piecesBuilder {
	event := platformsim.StreamEvent{Number: number, ID: b.ids.ID(number), Request: fmt.Sprintf("s1-%d", len(b.stream.tries)), Version: "v1", Incarnation: "i-0", Run: run}
	if after > 0 {
		event.After = b.ids.ID(after)
	}
	for _, apply := range change {
		apply(&event)
	}
	b.text.WriteString(event.Text())
	return b
}

// events appends the events from the first to the last one of a run that began before the first of them.
func (b *piecesBuilder) events(first, last, run int) *piecesBuilder {
	for number := first; number <= last; number++ {
		b.event(number, run, first-1)
	}
	return b
}

func (b *piecesBuilder) raw(text string) *piecesBuilder {
	b.text.WriteString(text)
	return b
}

// ends ends the present try, as complete or broken off.
func (b *piecesBuilder) ends(isComplete bool) *piecesBuilder {
	try := pieceTry{id: fmt.Sprintf("s1-%d", len(b.stream.tries)), status: http.StatusOK, isComplete: isComplete}
	b.stream.tries = append(b.stream.tries, parsePieces(try, b.text.String(), b.ids))
	b.text.Reset()
	return b
}

// Guards against a judge that overlooks a piece that is missing, comes twice, goes back, belongs to another request or
// run, or an early end, or that finds one of these in a stream that is whole, however its IDs are counted.
func TestPieceRulesFindBrokenStreams(t *testing.T) {
	version := func(name string) func(*platformsim.StreamEvent) {
		return func(event *platformsim.StreamEvent) { event.Version = name }
	}
	incarnation := func(name string) func(*platformsim.StreamEvent) {
		return func(event *platformsim.StreamEvent) { event.Incarnation = name }
	}
	request := func(id string) func(*platformsim.StreamEvent) {
		return func(event *platformsim.StreamEvent) { event.Request = id }
	}
	id := func(id int) func(*platformsim.StreamEvent) {
		return func(event *platformsim.StreamEvent) { event.ID = id }
	}
	for name, ids := range map[string]platformsim.EventIDs{"consecutive": nil, "steps of 3": {3, 6, 9, 12, 15, 18}, "changing steps": {2, 5, 6, 7, 12, 13}} {
		resumable := func() *piecesBuilder { return newPiecesCase(ids, true) }
		single := func() *piecesBuilder { return newPiecesCase(ids, false) }
		cases := []struct {
			name  string
			made  *piecesBuilder
			found []string
		}{
			{"whole", single().events(1, piecesCount, 1).ends(true), nil},
			{"broken off", single().events(1, 3, 1).ends(false), nil},
			{"broken off within an event", single().events(1, 3, 1).raw(platformsim.VersionComment + "v1\nid").ends(false), nil},
			{"broken off before the first event", single().ends(false), nil},
			{"resumed by its caller", resumable().events(1, 3, 1).ends(false).events(4, piecesCount, 2).ends(true), nil},
			{"resumed by a node", resumable().events(1, 3, 1).events(4, piecesCount, 2).ends(true), nil},
			{"resumed by both", resumable().events(1, 2, 1).events(3, 4, 2).ends(false).ends(false).events(5, piecesCount, 9).ends(true), nil},
			{"resumed after its last event", resumable().events(1, piecesCount, 1).ends(false).ends(true), nil},
			{"a piece is missing", single().events(1, 2, 1).event(4, 1, 0).ends(false), []string{"ORDER"}},
			{"the first piece is missing", single().event(2, 1, 0).ends(false), []string{"ORDER"}},
			{"a piece is missing at a continuation", resumable().events(1, 2, 1).ends(false).event(4, 2, 2).ends(false), []string{"ORDER"}},
			{"a piece comes twice", single().events(1, 2, 1).event(2, 1, 0).ends(false), []string{"ORDER"}},
			{"a piece comes twice at a continuation", resumable().events(1, 2, 1).ends(false).event(2, 2, 1).ends(false), []string{"ORDER"}},
			{"pieces go back", single().events(1, 4, 1).event(3, 1, 0).ends(false), []string{"ORDER"}},
			{"a stream begins anew", resumable().events(1, 2, 1).ends(false).events(1, piecesCount, 2).ends(true), []string{"ORDER"}},
			{"an early end that looks complete", single().events(1, 4, 1).ends(true), []string{"ORDER"}},
			{"an end that looks complete without a piece", single().ends(true), []string{"ORDER"}},
			{"a continuation that looks complete too early", resumable().events(1, 2, 1).ends(false).events(3, 4, 2).ends(true), []string{"ORDER"}},
			{"an end that looks complete within a piece", single().events(1, piecesCount, 1).raw("id: 7").ends(true), []string{"ORDER"}},
			{"broken off within the wrong piece", single().events(1, 2, 1).raw("id: 99").ends(false), []string{"ORDER"}},
			{"broken off behind the last piece", single().events(1, piecesCount, 1).raw(":").ends(false), []string{"ORDER"}},
			{"two runs where none may follow", single().events(1, 2, 1).events(3, piecesCount, 2).ends(true), []string{"ORDER"}},
			{"two replicas where none may follow", single().events(1, 2, 1).event(3, 1, 0, incarnation("i-1")).ends(false), []string{"ORDER"}},
			{"a run that began anew goes on", resumable().events(1, 2, 1).event(3, 2, 0).ends(false), []string{"ORDER"}},
			{"a run that began elsewhere goes on", resumable().events(1, 3, 1).event(4, 2, 2).ends(false), []string{"ORDER"}},
			{"two runs in turn", resumable().events(1, 2, 1).event(3, 2, 2).event(4, 1, 0).ends(false), []string{"ORDER"}},
			{"two versions", resumable().events(1, 2, 1).ends(false).event(3, 2, 2, version("v2")).ends(false), []string{"VERSIONS"}},
			{"two versions in one try", resumable().events(1, 2, 1).event(3, 2, 2, version("v2")).ends(false), []string{"VERSIONS"}},
			{"a piece of another request", single().events(1, 2, 1).event(3, 1, 0, request("s2-0")).ends(false), []string{"MIXED"}},
			{"a piece of the former request", resumable().events(1, 2, 1).ends(false).event(3, 2, 2, request("s1-0")).ends(false), []string{"MIXED"}},
			{"a piece with another's ID", single().events(1, 2, 1).event(3, 1, 0, id(40)).ends(false), []string{"ORDER", "MIXED"}},
			{"other bytes", single().events(1, 2, 1).raw("hello\n\n").ends(false), []string{"ORDER", "MIXED"}},
		}
		for _, made := range cases {
			t.Run(name+"/"+made.name, func(t *testing.T) {
				var found []string
				for _, rule := range pieceRules {
					if rule.check(made.made.stream) != "" && !slices.Contains(found, rule.name) {
						found = append(found, rule.name)
					}
				}
				gomega.NewWithT(t).Expect(found).To(gomega.Equal(made.found))
			})
		}
	}
}

// Guards against broken streams beyond those that are allowed which are no violation, and against allowed ones that are.
func TestPieceRulesAllowAsManyAsTheirBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	violations := func(made *piecesBuilder, count int) (lines []string) {
		streams := slices.Repeat([]*pieces{made.stream}, count)
		counts := checkPieces(streams, time.Now(), func(format string, arguments ...any) { lines = append(lines, fmt.Sprintf(format, arguments...)) })
		g.Expect(counts).To(gomega.HaveLen(1))
		return lines
	}
	mixed := newPiecesCase(nil, true).events(1, 2, 1).event(3, 2, 2, func(event *platformsim.StreamEvent) { event.Version = "v2" }).ends(false)
	g.Expect(violations(mixed, maxMixedStreams)).To(gomega.BeEmpty())
	g.Expect(violations(mixed, maxMixedStreams+1)).To(gomega.HaveLen(1 + maxMixedStreams + 1))
	early := newPiecesCase(nil, true).events(1, 2, 1).ends(true)
	g.Expect(violations(early, 1)).To(gomega.HaveLen(2))
	g.Expect(violations(early, 20)).To(gomega.HaveLen(1+maxShownPerRule), "the others are counted only")
}

// Guards against event IDs that do not rise, or that no seed draws, and against consecutive ones at the start of a
// stream whose later ones are not.
func TestEventIDsOfSeeds(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := map[string]int{}
	for seed := range uint64(200) {
		name, ids := drawEventIDs(seed)
		_, again := drawEventIDs(seed)
		g.Expect(again).To(gomega.Equal(ids), "the seed determines the IDs")
		seen[name]++
		if name == idsConsecutive {
			g.Expect(ids).To(gomega.BeEmpty())
			continue
		}
		steps := map[int]bool{}
		for number, id := range ids {
			before := 0
			if number > 0 {
				before = ids[number-1]
			}
			g.Expect(id).To(gomega.BeNumerically(">", before))
			steps[id-before] = true
		}
		g.Expect(ids[1] - ids[0]).To(gomega.BeNumerically(">", 1))
		g.Expect(len(steps) > 1).To(gomega.Equal(name == idsDrawnSteps))
	}
	g.Expect(seen[idsConsecutive]).To(gomega.BeNumerically(">", 50))
	g.Expect(seen[idsFixedSteps]).To(gomega.BeNumerically(">", 25))
	g.Expect(seen[idsDrawnSteps]).To(gomega.BeNumerically(">", 25))
}
