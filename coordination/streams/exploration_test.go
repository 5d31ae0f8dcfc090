package streams

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
)

// The exploration visits every state that one stream can reach at two nodes and two versions, without a network:
// events, reports that arrive late or never, sends that break off, nodes that end and start again, versions that
// appear and go, scheduling nodes that ignore the version, and callers that resume the stream at either node, with
// and without its name. A version may appear in place, under the entry of another one: then a node that does not see it
// doubts a replica, and the origin of a stream that began there is uncertain, and may become certain later. The decisions
// are those of the package and of the registry.

const (
	modelNodes = 2
	// noVersion stands for no version in the model; versions are 1 and 2.
	noVersion     = 0
	modelVersions = 2
)

// modelNode is one node.
type modelNode struct {
	isRunning bool
	// record is what its registry has: noVersion, a version, uncertain or ambiguous.
	record int8
	// isDoubted is true if a replica of the service is doubted.
	isDoubted bool
	// coversStream is true if its version history covers the time since the stream can have begun; has are the
	// versions in the history.
	coversStream bool
	has          [modelVersions + 1]bool
}

const (
	ambiguous = 3
	uncertain = 4
	// modelRecords is the number of the records that are reported.
	modelRecords = uncertain + 1
)

// modelState is comparable, so that visited states are recognized.
type modelState struct {
	nodes [modelNodes]modelNode
	// listed are the versions that have replicas.
	listed [modelVersions + 1]bool
	// reports are the reports under way to each node, by version or uncertain.
	reports [modelNodes][modelRecords]bool
	// held are the versions of the caller's events.
	held [modelVersions + 1]bool
	// active is the node that serves the caller, plus one; zero if none does. bound is the version of the
	// stream's origin there, and sentTo the version of the replica that runs the stream.
	active        int8
	bound, sentTo int8
	tries         int8
}

const (
	maxModelTries = 3
)

// streamVariant is a deliberately broken design; nil functions and false fields leave it as it is.
type streamVariant struct {
	name string
	// bind replaces Bind.
	bind func(Evidence) (streamorigins.Origin, Refusal)
	// recordsAtAssignment records the version of a send, not of the first event.
	recordsAtAssignment bool
	// trustsScheduler leaves out the check before a send.
	trustsScheduler bool
	// ignoresCoverage takes the versions that a new process has seen for all there were.
	ignoresCoverage bool
	// overwrites makes the latest record count.
	overwrites bool
	// recordsUnproven records the version that a node knows of the replica, though its process may be another one.
	recordsUnproven bool
	// ignoresDoubts takes the versions that a node has seen for all there were, though it doubts a replica.
	// ignoresReplacements does so though a replica was replaced in place, perhaps more than once.
	ignoresDoubts, ignoresReplacements bool
}

func versionName(version int8) string {
	if version == noVersion || version == uncertain {
		return ""
	}
	return fmt.Sprint("v", version)
}

func versionOf(name string) int8 {
	if name == "" {
		return noVersion
	}
	return int8(name[1] - '0')
}

func originOf(version int8) streamorigins.Origin {
	if version == noVersion {
		return streamorigins.Origin{}
	}
	// An uncertain origin has the service only.
	return streamorigins.Origin{Service: "engines", Version: versionName(version)}
}

// put returns the registry's record after one more report, by the real registry.
func (v *streamVariant) put(record, version int8) int8 {
	if v.overwrites {
		return version
	}
	registry := streamorigins.NewRegistry(1)
	key := streamorigins.KeyOf("", "first")
	if record == ambiguous {
		registry.Put(0, streamorigins.Record{Key: key, Origin: originOf(1)})
		registry.Put(0, streamorigins.Record{Key: key, Origin: originOf(2)})
	} else if record != noVersion {
		registry.Put(0, streamorigins.Record{Key: key, Origin: originOf(record)})
	}
	registry.Put(0, streamorigins.Record{Key: key, Origin: originOf(version)})
	origin, knowledge := registry.Get(0, key)
	switch {
	case knowledge == streamorigins.Ambiguous:
		return ambiguous
	case origin.Version == "":
		return uncertain
	}
	return versionOf(origin.Version)
}

// evidence returns what the node knows when the caller resumes the stream. With isAsked, the other node is asked.
func (m *modelState) evidence(variant *streamVariant, node int, isNamed, isAsked bool) Evidence {
	evidence := Evidence{Services: []string{"engines"}, OnlyVersion: func(string) (string, bool) {
		known := &m.nodes[node]
		if known.isDoubted && !variant.ignoresDoubts {
			return "", false
		}
		if !known.coversStream && !variant.ignoresCoverage || known.has[1] == known.has[2] {
			return "", false
		}
		if known.has[1] {
			return versionName(1), true
		}
		return versionName(2), true
	}}
	if !isNamed {
		return evidence
	}
	record := m.nodes[node].record
	if other := 1 - node; record == noVersion && isAsked && m.nodes[other].isRunning {
		record = m.nodes[other].record
	}
	switch record {
	case noVersion:
	case ambiguous:
		evidence.Knowledge = streamorigins.Ambiguous
	default:
		evidence.Origin, evidence.Knowledge = originOf(record), streamorigins.Known
	}
	return evidence
}

// step is a successor with its description.
type step struct {
	name  string
	state modelState
}

func (m modelState) successors(variant *streamVariant) []step {
	var steps []step
	add := func(name string, state modelState) { steps = append(steps, step{name, state}) }
	if m.active == 0 && m.tries < maxModelTries {
		m.addTries(variant, add)
	}
	if m.active > 0 {
		m.addSends(variant, add)
	}
	m.addProof(variant, add)
	m.addReports(variant, add)
	m.addFaults(variant, add)
	return steps
}

// addTries adds the caller's tries: a new stream, or one that it resumes.
func (m modelState) addTries(variant *streamVariant, add func(string, modelState)) {
	for node := range m.nodes {
		if !m.nodes[node].isRunning {
			continue
		}
		next := m
		next.active, next.tries = int8(node+1), m.tries+1
		if !m.held[1] && !m.held[2] {
			next.bound = noVersion
			add(fmt.Sprint("begin at ", node), next)
			continue
		}
		for _, isNamed := range []bool{true, false} {
			for _, isAsked := range []bool{true, false} {
				bind := Bind
				if variant.bind != nil {
					bind = variant.bind
				}
				origin, refusal := bind(m.evidence(variant, node, isNamed, isAsked))
				if refusal != RefusalNone {
					refused := m
					refused.tries = m.tries + 1
					add(fmt.Sprint("refused at ", node), refused)
					continue
				}
				next.bound = versionOf(origin.Version)
				add(fmt.Sprintf("resume at %d, named %t, asked %t, bound to %d", node, isNamed, isAsked, next.bound), next)
			}
		}
	}
}

// addSends adds what the serving node does: sends to any version, as the scheduling node may ignore the
// stream's, events, breaks and the end of the try.
func (m modelState) addSends(variant *streamVariant, add func(string, modelState)) {
	node := int(m.active - 1)
	if m.sentTo == noVersion {
		for version := int8(1); version <= modelVersions; version++ {
			assigned := replicas.Replica{ID: "r", Service: "engines", Version: versionName(version)}
			if !m.listed[version] || m.bound != noVersion && !variant.trustsScheduler && !MayGoOnAt(originOf(m.bound), assigned, assigned, true) {
				continue
			}
			next := m
			next.sentTo = version
			if variant.recordsAtAssignment && m.bound == noVersion {
				next.record(variant, node, version)
			}
			add(fmt.Sprint("sent to ", version), next)
		}
		next := m
		next.active, next.bound = 0, noVersion
		add("the try ends", next)
		return
	}
	m.addEvents(variant, add)
	next := m
	next.sentTo = noVersion
	add("broken off", next)
}

// addEvents adds that the replica brings an event. The node can't always tell the version of the process that does.
func (m modelState) addEvents(variant *streamVariant, add func(string, modelState)) {
	node := int(m.active - 1)
	next := m
	next.held[m.sentTo] = true
	if m.bound != noVersion {
		add("event", next)
		return
	}
	origins := []int8{m.sentTo, uncertain}
	if variant.recordsAtAssignment {
		origins = origins[:1]
	}
	if variant.recordsUnproven {
		origins = append(origins, 1, 2)
	}
	for _, origin := range origins {
		next := next
		next.bound = origin
		if !variant.recordsAtAssignment {
			next.record(variant, node, origin)
		}
		add(fmt.Sprint("event, recorded as ", origin), next)
	}
}

// addProof adds that the uncertain origin of the served stream becomes certain.
func (m modelState) addProof(variant *streamVariant, add func(string, modelState)) {
	if m.active == 0 || m.bound != uncertain {
		return
	}
	for version := int8(1); version <= modelVersions; version++ {
		if m.held[version] {
			next := m
			next.bound = version
			next.record(variant, int(m.active-1), version)
			add(fmt.Sprint("the origin is certain: ", version), next)
		}
	}
}

// record records the origin at the node and reports it to the other.
func (m *modelState) record(variant *streamVariant, node int, version int8) {
	m.nodes[node].record = variant.put(m.nodes[node].record, version)
	m.reports[1-node][version] = true
}

// addReports adds that a report arrives, or is lost.
func (m modelState) addReports(variant *streamVariant, add func(string, modelState)) {
	for node := range m.nodes {
		for version := range int8(modelRecords) {
			if !m.reports[node][version] {
				continue
			}
			next := m
			next.reports[node][version] = false
			add(fmt.Sprint("report lost to ", node), next)
			if m.nodes[node].isRunning {
				next.nodes[node].record = variant.put(next.nodes[node].record, version)
				add(fmt.Sprint("report at ", node), next)
			}
		}
	}
}

// addFaults adds nodes that end and start, and versions that appear and go.
func (m modelState) addFaults(variant *streamVariant, add func(string, modelState)) {
	for node := range m.nodes {
		if m.nodes[node].isDoubted && m.nodes[node].isRunning {
			next := m
			next.nodes[node].isDoubted = false
			next.nodes[node].coversStream = m.nodes[node].coversStream && variant.ignoresReplacements
			for version := range next.listed {
				next.nodes[node].has[version] = next.nodes[node].has[version] || next.listed[version]
			}
			add(fmt.Sprintf("node %d sees the new entry", node), next)
		}
	}
	for node := range m.nodes {
		next := m
		next.nodes[node] = modelNode{isRunning: !m.nodes[node].isRunning}
		if next.nodes[node].isRunning {
			next.nodes[node].has = m.listed
		} else if m.active == int8(node+1) {
			next.active, next.bound, next.sentTo = 0, noVersion, noVersion
		}
		add(fmt.Sprintf("node %d runs: %t", node, next.nodes[node].isRunning), next)
	}
	for version := int8(1); version <= modelVersions; version++ {
		if m.listed[version] {
			next := m
			next.listed[version] = false
			add(fmt.Sprintf("version %d goes", version), next)
			continue
		}
		// Each running node sees the version, or its view is not current, which ends the coverage, or it notices the end of
		// the process that was replaced.
		for seen := range 1 << modelNodes {
			for _, isInPlace := range []bool{false, true} {
				next := m
				next.listed[version] = true
				for node := range next.nodes {
					known := &next.nodes[node]
					switch {
					case seen>>node&1 == 1 && known.isRunning:
						known.has[version] = true
					case isInPlace:
						known.isDoubted = true
					default:
						known.coversStream = false
					}
				}
				add(fmt.Sprintf("version %d appears, in place %t", version, isInPlace), next)
			}
		}
	}
}

// explore returns the number of states, and the shortest course to a stream with two versions or "".
func explore(variant *streamVariant) (int, string) {
	type origin struct {
		from modelState
		name string
	}
	var first modelState
	first.listed[1] = true
	for node := range first.nodes {
		first.nodes[node] = modelNode{isRunning: true, coversStream: true}
		first.nodes[node].has[1] = true
	}
	both := first
	both.listed[2] = true
	for node := range both.nodes {
		both.nodes[node].has[2] = true
	}
	visited := map[modelState]origin{first: {}, both: {}}
	queue := []modelState{first, both}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		if state.held[1] && state.held[2] {
			var names []string
			for at := state; visited[at].name != ""; at = visited[at].from {
				names = append([]string{visited[at].name}, names...)
			}
			return len(visited), strings.Join(names, "; ")
		}
		for _, next := range state.successors(variant) {
			if _, found := visited[next.state]; !found {
				visited[next.state] = origin{state, next.name}
				queue = append(queue, next.state)
			}
		}
	}
	return len(visited), ""
}

// Guards against any order of events, reports, ends of nodes and changes of versions in which a stream goes on at
// another version than the one that began it.
func TestStreamsKeepTheirVersionInEveryOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	states, course := explore(&streamVariant{})
	t.Logf("%d states", states)
	g.Expect(course).To(gomega.BeEmpty())
}

// Guards against an exploration that finds nothing: each broken variant must lead to a stream with two versions.
func TestExplorationFindsBrokenVariants(t *testing.T) {
	for _, variant := range []*streamVariant{
		{name: "a stream without a record goes on anywhere", bind: func(evidence Evidence) (streamorigins.Origin, Refusal) {
			if evidence.Knowledge == streamorigins.Unknown {
				return streamorigins.Origin{Service: "engines"}, RefusalNone
			}
			return Bind(evidence)
		}},
		{name: "an ambiguous record counts", overwrites: true, recordsAtAssignment: true},
		{name: "the origin is recorded with the assignment", recordsAtAssignment: true},
		{name: "the scheduling node's choice is not checked", trustsScheduler: true},
		{name: "a new process takes what it sees for all there was", ignoresCoverage: true},
		{name: "a stream without a record goes on while a replica is doubted", ignoresDoubts: true},
		{name: "a stream without a record goes on after a replica was replaced in place", ignoresReplacements: true},
		{name: "an origin is recorded without proof", recordsUnproven: true},
		{name: "an uncertain origin counts as no record", bind: func(evidence Evidence) (streamorigins.Origin, Refusal) {
			if evidence.Origin.Version == "" {
				return streamorigins.Origin{Service: "engines"}, RefusalNone
			}
			return Bind(evidence)
		}},
	} {
		t.Run(variant.name, func(t *testing.T) {
			states, course := explore(variant)
			t.Logf("%d states: %s", states, course)
			gomega.NewWithT(t).Expect(course).NotTo(gomega.BeEmpty())
		})
	}
}
