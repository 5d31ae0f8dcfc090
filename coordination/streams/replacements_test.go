package streams

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
	"github.com/thornwalk/thornwalk/structs"
)

// The courses here are drawn: two replicas that are replaced in place by processes of the other version, a store that is
// away now and then, two nodes that read it late, restart, and hear of each other's doubts late or not, and streams that
// begin, break, go on in the answer or are resumed at either node. Any node may schedule: the replica of a send is drawn.
// The decisions are those of incarnations, streamorigins and this package.

const (
	courseStep   = 250 * time.Millisecond
	courseLength = 120 * time.Second
	courseWindow = 12 * time.Second
	// maxLateness bounds how late a view, an answer or a sign of an end reaches a node.
	maxLateness = time.Second
	// shortOutage is the length up to which an outage may stay unnoticed.
	shortOutage = time.Second
)

// courseProcess is one process of a replica.
type courseProcess struct {
	entry replicas.Replica
	ended bool
}

// courseReplica is a replica and its entry in the store.
type courseReplica struct {
	process *courseProcess
	// listed is the entry, and writeIn the time for which the store is up until the process writes its own.
	listed  replicas.Replica
	writeIn time.Duration
	startAt structs.Instant
}

// courseConnection is a connection that a node opened by an entry.
type courseConnection struct {
	incarnations.Connection
	entry   replicas.Replica
	process *courseProcess
}

type courseNode struct {
	tracker     *incarnations.Tracker
	table       map[string]replicas.Replica
	registry    *streamorigins.Registry
	history     *streamorigins.VersionHistory
	viewAt      structs.Instant
	connections []*courseConnection
	life        int
}

// courseStream is a stream and the versions of its events.
type courseStream struct {
	key     streamorigins.Key
	origin  streamorigins.Origin
	node    int
	life    int
	begunBy *courseProcess
	begunAt structs.Instant
	// isAssumed is true if its origin was recorded without proof.
	isAssumed bool
	// entryVersion is the version of the entry by which the connection was opened.
	entryVersion string
}

type later struct {
	at  structs.Instant
	run func()
}

// replacementVariant is a deliberately broken design.
type replacementVariant struct {
	name string
	// trustsEntries takes what the node lists for proven, and datesAnswersAtArrival the arrival of an answer for the
	// instant of its proof. recordsEntries records the version of the entry as a certain origin. presumesRuns takes all
	// that a node lists for running, whatever it heard of them.
	trustsEntries, datesAnswersAtArrival, recordsEntries, presumesRuns bool
	// takesVersionsForProcesses takes processes of one version at an address for one that ran all the time.
	takesVersionsForProcesses bool
	// archivesEntries stores the version of the entry for an uncertain origin, and trustsLatest takes the origin that was stored
	// last where two streams have one name.
	archivesEntries, trustsLatest bool
	// endsAll has all nodes end at once now and then, and reuses names of streams. It is no broken design.
	endsAll bool
	// omitsStarts is no broken design: the replicas state no start and give no reports.
	omitsStarts bool
}

type course struct {
	variant  replacementVariant
	random   *rand.Rand
	now      structs.Instant
	replicas map[string]*courseReplica
	nodes    [2]*courseNode
	streams  []*courseStream
	pending  []later
	isAway   bool
	awayTill structs.Instant
	begun    int
	// proven and assumed are the continuations, mixed those at another version, by whether all was proven.
	proven, assumed             int
	mixedProven, mixedAssumed   int
	uncertain, refused, resumed int
	// archive has the origins that the store keeps.
	archive map[streamorigins.Key]streamorigins.Finding
	// namesakes and stored are the streams of each name, and those of which the store has an origin.
	namesakes map[streamorigins.Key]int
	stored    map[streamorigins.Key]map[*courseStream]bool
	// byArchive are the continuations by an origin in the store, and mixedByArchive those at another version although the connection
	// was proven.
	byArchive, mixedByArchive int
	// byHistory are the continuations without a record within courseWindow, and mixedByHistory those at another version.
	byHistory, mixedByHistory int
}

func newCourse(seed uint64, variant replacementVariant) *course {
	c := &course{
		variant: variant, random: rand.New(rand.NewPCG(seed, 79)), replicas: map[string]*courseReplica{},
		archive: map[streamorigins.Key]streamorigins.Finding{}, namesakes: map[streamorigins.Key]int{}, stored: map[streamorigins.Key]map[*courseStream]bool{},
	}
	for _, id := range []string{"a", "b"} {
		entry := replicas.Replica{ID: id, Service: "engines", Version: "v1", StartedAt: 1}
		if variant.omitsStarts {
			entry.StartedAt = 0
		}
		c.replicas[id] = &courseReplica{process: &courseProcess{entry: entry}, listed: entry}
	}
	for i := range c.nodes {
		c.startNode(i)
	}
	return c
}

func (c *course) startNode(i int) {
	life := 0
	if c.nodes[i] != nil {
		life = c.nodes[i].life + 1
	}
	c.nodes[i] = &courseNode{
		tracker: incarnations.NewTracker(), table: map[string]replicas.Replica{}, life: life,
		registry: streamorigins.NewRegistry(1000), history: streamorigins.NewVersionHistory(), viewAt: -1,
	}
}

func (c *course) chance(share float64) bool { return c.random.Float64() < share }

// soon runs the function up to maxLateness later, in the same life of the node.
func (c *course) soon(i int, run func(*courseNode)) {
	node := c.nodes[i]
	at := c.now + time.Duration(c.random.Int64N(int64(maxLateness)))
	c.pending = append(c.pending, later{at, func() {
		if c.nodes[i] == node {
			run(node)
		}
	}})
}

func (c *course) id() string { return []string{"a", "b"}[c.random.IntN(2)] }

func (c *course) step() {
	c.now += courseStep
	var left []later
	due := c.pending
	c.pending = nil
	for _, event := range due {
		if event.at <= c.now {
			event.run()
		} else {
			left = append(left, event)
		}
	}
	c.pending = append(left, c.pending...)
	c.moveStore()
	for _, id := range []string{"a", "b"} {
		c.moveReplica(c.replicas[id])
	}
	if c.variant.endsAll && c.chance(0.02) {
		for i := range c.nodes {
			c.startNode(i)
		}
	}
	for i := range c.nodes {
		c.moveNode(i)
	}
	c.moveStreams()
}

func (c *course) moveStore() {
	switch {
	case c.isAway && c.now >= c.awayTill:
		c.isAway = false
	case !c.isAway && c.chance(0.01):
		length := 2*courseStep + time.Duration(c.random.Int64N(int64(12*time.Second)))
		c.isAway, c.awayTill = true, c.now+length
		for i := range c.nodes {
			if length > shortOutage || c.chance(0.5) {
				c.nodes[i].tracker.Interrupt(c.now)
			}
		}
	}
}

// endChance is the chance that a process ends within a step, and window the time in which a stream may have begun. Where no
// start tells processes apart, it takes two replacements within one outage to mislead a node, and an end that it noticed counts
// for a while.
func (c *course) endChance(process *courseProcess) float64 {
	switch {
	case !c.variant.omitsStarts:
		return 0.01
	case c.isAway && process.entry.Version == "v2":
		return 0.2
	case c.isAway:
		return 0.03
	}
	return 0.001
}

func (c *course) window() time.Duration {
	if c.variant.omitsStarts {
		return 2 * courseWindow
	}
	return courseWindow
}

func (c *course) moveReplica(r *courseReplica) {
	switch {
	case r.process != nil && c.chance(c.endChance(r.process)):
		former := r.process
		former.ended, r.process = true, nil
		r.startAt = c.now + 2*courseStep + time.Duration(c.random.Int64N(int64(3*time.Second)))
		for i := range c.nodes {
			c.soon(i, func(node *courseNode) { c.noticeEnd(node, former) })
		}
	case r.process == nil && c.now >= r.startAt:
		next := r.listed
		if !c.variant.omitsStarts {
			next.StartedAt = int64(c.now)
		}
		next.Version = map[string]string{"v1": "v2", "v2": "v1"}[next.Version]
		if c.chance(0.3) {
			next.Version = r.listed.Version
		}
		r.process = &courseProcess{entry: next}
		r.writeIn = time.Duration(c.random.Int64N(int64(incarnations.EntryDelay)))
	}
	if r.process != nil && r.listed != r.process.entry && !c.isAway {
		if r.writeIn -= courseStep; r.writeIn <= 0 {
			r.listed = r.process.entry
		}
	}
}

// noticeEnd makes the node find its connections to the process broken; the other node may hear of it.
func (c *course) noticeEnd(node *courseNode, former *courseProcess) {
	var left []*courseConnection
	for _, connection := range node.connections {
		if connection.process != former {
			left = append(left, connection)
			continue
		}
		node.tracker.Doubt(c.now, connection.Incarnation)
		for i := range c.nodes {
			if c.nodes[i] != node && c.chance(0.8) {
				c.soon(i, func(other *courseNode) { other.tracker.Doubt(c.now, connection.Incarnation) })
			}
		}
	}
	node.connections = left
}

func (c *course) moveNode(i int) {
	if c.chance(0.002) {
		c.startNode(i)
	}
	node := c.nodes[i]
	if !c.isAway && c.chance(0.6) {
		asOf, view := c.now, []replicas.Replica{c.replicas["a"].listed, c.replicas["b"].listed}
		c.soon(i, func(node *courseNode) { c.applyView(node, asOf, view) })
	}
	node.history.Confirm(c.now, c.viewAge(node))
	if id := c.id(); c.chance(0.3) {
		c.connect(node, id)
	}
	for _, connection := range node.connections {
		if !connection.process.ended && c.chance(0.1) {
			writtenAt, isReport := c.now, !c.variant.omitsStarts && c.chance(0.2)
			c.soon(i, func(node *courseNode) { c.readAnswer(node, connection, writtenAt, isReport) })
		}
	}
}

func (c *course) viewAge(node *courseNode) time.Duration {
	if node.viewAt < 0 {
		return -1
	}
	return c.now - node.viewAt
}

func (c *course) applyView(node *courseNode, asOf structs.Instant, view []replicas.Replica) {
	if asOf <= node.viewAt {
		return
	}
	node.viewAt = asOf
	for _, entry := range view {
		node.table[entry.ID] = entry
	}
	node.history.Update(c.now, view)
	node.tracker.ObserveView(asOf)
}

func (c *course) readAnswer(node *courseNode, connection *courseConnection, writtenAt structs.Instant, isReport bool) {
	if c.variant.datesAnswersAtArrival {
		writtenAt = c.now
	}
	switch {
	case !isReport:
		node.tracker.Received(writtenAt, connection.Connection, c.isListed(node, connection))
		node.tracker.Alive(writtenAt, connection.Connection, c.isListed(node, connection))
	case connection.process.entry.StartedAt == connection.entry.StartedAt:
		node.tracker.ConfirmByReport(writtenAt, connection.Incarnation)
	default:
		node.tracker.Doubt(c.now, connection.Incarnation)
	}
}

func (c *course) isListed(node *courseNode, connection *courseConnection) bool {
	listed := node.table[connection.entry.ID]
	return incarnations.Of(listed) == connection.Incarnation
}

// connect opens a connection by the node's entry, or returns one that is open, or nil.
func (c *course) connect(node *courseNode, id string) *courseConnection {
	entry, isKnown := node.table[id]
	process := c.replicas[id].process
	if !isKnown || process == nil {
		return nil
	}
	for _, connection := range node.connections {
		if connection.Incarnation == incarnations.Of(entry) && !connection.process.ended && c.chance(0.7) {
			return connection
		}
	}
	connection := &courseConnection{Connection: incarnations.Connection{Incarnation: incarnations.Of(entry), OpenedAt: c.now}, entry: entry, process: process}
	node.connections = append(node.connections, connection)
	return connection
}

func (c *course) verdict(node *courseNode, connection *courseConnection) incarnations.Proof {
	if c.variant.trustsEntries {
		return incarnations.ProofEntry
	}
	return node.tracker.Verdict(c.now, connection.Connection, c.isListed(node, connection)).Proof
}

func (c *course) moveStreams() {
	if i := c.random.IntN(2); c.chance(0.5) {
		c.begin(i)
	}
	for _, stream := range c.streams {
		if stream.origin.Version == "" && c.chance(0.1) {
			c.makeCertain(stream)
		}
		if c.chance(0.05) {
			c.goOn(stream)
		}
	}
	if len(c.streams) > 30 {
		c.streams = c.streams[len(c.streams)-30:]
	}
}

func (c *course) begin(i int) {
	node := c.nodes[i]
	connection := c.connect(node, c.id())
	if connection == nil {
		return
	}
	c.begun++
	proof := c.verdict(node, connection)
	name := c.begun
	if c.variant.endsAll && c.chance(0.05) {
		name-- // a caller uses the name again
	}
	stream := &courseStream{key: streamorigins.KeyOf("", fmt.Sprint(name)), node: i, life: node.life, begunBy: connection.process, begunAt: c.now}
	stream.origin = streamorigins.Origin{Service: "engines", Version: connection.entry.Version}
	c.namesakes[stream.key]++
	stream.entryVersion = connection.entry.Version
	stream.isAssumed = proof == incarnations.ProofAssumed
	if proof == incarnations.ProofNone && !c.variant.recordsEntries {
		stream.origin.Version = ""
		c.uncertain++
	}
	c.streams = append(c.streams, stream)
	c.record(stream)
}

// record records the origin at the stream's node, and late or not at the other.
func (c *course) record(stream *courseStream) {
	record := streamorigins.Record{Key: stream.key, Origin: stream.origin}
	c.nodes[stream.node].registry.Put(c.now, record)
	if c.variant.endsAll {
		c.store(stream, record)
	}
	if c.chance(0.8) {
		c.soon(1-stream.node, func(node *courseNode) { node.registry.Put(c.now, record) })
	}
}

// store has the store keep a certain origin, late. A write whose outcome is unknown is repeated.
func (c *course) store(stream *courseStream, record streamorigins.Record) {
	if c.variant.archivesEntries && record.Origin.Version == "" {
		record.Origin.Version = stream.entryVersion
	}
	if record.Origin.Version == "" {
		return
	}
	write := func() {
		finding := streamorigins.Finding{Origin: record.Origin, Knowledge: streamorigins.Known}
		if !c.variant.trustsLatest {
			finding = finding.Join(c.archive[record.Key])
		}
		c.archive[record.Key] = finding
		if c.stored[record.Key] == nil {
			c.stored[record.Key] = map[*courseStream]bool{}
		}
		c.stored[record.Key][stream] = true
	}
	for range 1 + c.random.IntN(2) {
		at := c.now + time.Duration(c.random.Int64N(int64(maxLateness)))
		c.pending = append(c.pending, later{at, write})
	}
}

// makeCertain records the version once a connection to the process that began the stream is proven.
func (c *course) makeCertain(stream *courseStream) {
	node := c.nodes[stream.node]
	if node.life != stream.life {
		return
	}
	for _, connection := range node.connections {
		proof := c.verdict(node, connection)
		if connection.process == stream.begunBy && proof != incarnations.ProofNone && proof != incarnations.ProofAssumed {
			stream.origin.Version = connection.entry.Version
			c.record(stream)
			return
		}
	}
}

// goOn continues the stream in its answer, or resumes it at either node.
func (c *course) goOn(stream *courseStream) {
	i, origin, isAssumed, isByHistory, isByArchive := stream.node, stream.origin, stream.isAssumed, false, false
	if c.nodes[i].life != stream.life || c.chance(0.5) {
		i = c.random.IntN(2)
		var refusal Refusal
		evidence := c.evidence(c.nodes[i], stream)
		if origin, refusal = Bind(evidence.Evidence); refusal != RefusalNone {
			c.refused++
			return
		}
		c.resumed++
		// The history rests on this node's having heard of each replacement.
		isByHistory = evidence.Knowledge == streamorigins.Unknown && c.now-stream.begunAt <= c.window()
		isAssumed = isAssumed || evidence.Knowledge == streamorigins.Unknown
		isByArchive = evidence.isArchived
	}
	node := c.nodes[i]
	connection := c.connect(node, c.id())
	if connection == nil {
		return
	}
	listed, isListed := node.table[connection.entry.ID]
	if !MayGoOnAt(origin, connection.entry, listed, isListed) {
		return
	}
	proof := c.verdict(node, connection)
	if proof == incarnations.ProofNone {
		return
	}
	isAssumed = isAssumed || proof == incarnations.ProofAssumed
	isMixed := connection.process.entry.Version != stream.begunBy.entry.Version
	if isByHistory {
		c.byHistory++
		if isMixed {
			c.mixedByHistory++
		}
	}
	if isByArchive && !isAssumed && len(c.stored[stream.key]) == c.namesakes[stream.key] {
		c.byArchive++
		if isMixed {
			c.mixedByArchive++
		}
	}
	switch {
	case isMixed && isAssumed:
		c.mixedAssumed++
	case isMixed:
		c.mixedProven++
	case isAssumed:
		c.assumed++
	default:
		c.proven++
	}
}

// courseEvidence is the evidence on a stream; isArchived is true if it is from the store.
type courseEvidence struct {
	Evidence
	isArchived bool
}

func (c *course) evidence(node *courseNode, stream *courseStream) courseEvidence {
	finding := streamorigins.Finding{}
	for _, asked := range c.nodes {
		if asked == node || c.chance(0.8) {
			origin, knowledge := asked.registry.Get(c.now, stream.key)
			finding = finding.Join(streamorigins.Finding{Origin: origin, Knowledge: knowledge})
		}
	}
	isArchived := finding.Knowledge == streamorigins.Unknown && !c.isAway
	if isArchived {
		finding = c.archive[stream.key]
	}
	return courseEvidence{isArchived: isArchived && finding.IsCertain(), Evidence: Evidence{Origin: finding.Origin, Knowledge: finding.Knowledge, Services: []string{"engines"}, OnlyVersion: func(service string) (string, bool) {
		node.history.Confirm(c.now, c.viewAge(node))
		node.history.SetDoubted(service, false)
		for _, entry := range node.table {
			verdict := node.tracker.Verdict(c.now, incarnations.Connection{Incarnation: incarnations.Of(entry), OpenedAt: c.now}, true)
			if verdict.DoubtAge > 0 && !c.variant.presumesRuns {
				node.history.SetDoubted(service, true)
			}
		}
		ran, isKnown := c.ran(node)
		node.history.SetRan(service, ran, isKnown)
		return node.history.OnlyVersion(c.now, service, c.window())
	}}}
}

// ran returns the time throughout which both replicas are known to have run.
func (c *course) ran(node *courseNode) (streamorigins.Span, bool) {
	ran := streamorigins.Span{Since: math.MinInt64, Until: c.now}
	for _, entry := range node.table {
		since, until, isKnown := node.tracker.Ran(incarnations.Of(entry), true)
		if c.variant.takesVersionsForProcesses {
			since = math.MinInt64
			until, isKnown = node.tracker.RanUntil(incarnations.Of(entry), true)
		}
		if !isKnown && !c.variant.presumesRuns {
			return streamorigins.Span{}, false
		}
		if !c.variant.presumesRuns {
			ran = streamorigins.Span{Since: max(ran.Since, since), Until: min(ran.Until, until)}
		}
	}
	return ran, true
}

// playCourses returns the sums over the courses of the seeds.
func playCourses(seeds uint64, variant replacementVariant) course {
	sum := course{}
	for seed := range seeds {
		c := newCourse(seed, variant)
		for c.now < courseLength {
			c.step()
		}
		sum.begun += c.begun
		sum.proven, sum.assumed = sum.proven+c.proven, sum.assumed+c.assumed
		sum.mixedProven, sum.mixedAssumed = sum.mixedProven+c.mixedProven, sum.mixedAssumed+c.mixedAssumed
		sum.byArchive, sum.mixedByArchive = sum.byArchive+c.byArchive, sum.mixedByArchive+c.mixedByArchive
		sum.byHistory, sum.mixedByHistory = sum.byHistory+c.byHistory, sum.mixedByHistory+c.mixedByHistory
		sum.uncertain, sum.refused, sum.resumed = sum.uncertain+c.uncertain, sum.refused+c.refused, sum.resumed+c.resumed
	}
	return sum
}

func (c *course) String() string {
	return fmt.Sprintf("%d streams, %d of uncertain origin; %d resumed, %d refused; went on %d by proof and %d by assumption, at another version %d and %d; by the history %d, at another version %d; by the store %d, at another version %d",
		c.begun, c.uncertain, c.resumed, c.refused, c.proven, c.assumed, c.mixedProven, c.mixedAssumed, c.byHistory, c.mixedByHistory, c.byArchive, c.mixedByArchive)
}

const courseSeeds = 400

// Guards against streams that go on at another version, although both their origin and the connection were proven, on
// courses of replacements in place, outages of the store, restarts of nodes and late or lost messages.
func TestProvenContinuationsKeepTheVersionOnDrawnCourses(t *testing.T) {
	g := gomega.NewWithT(t)
	sum := playCourses(courseSeeds, replacementVariant{})
	t.Log(sum.String())
	g.Expect(sum.mixedProven).To(gomega.BeZero())
	g.Expect(sum.proven).To(gomega.BeNumerically(">", courseSeeds))
}

// Guards against streams without a record that go on at another version, because a node that did not see the store takes
// a version for the only one of the service.
func TestContinuationsByTheHistoryKeepTheVersionOnDrawnCourses(t *testing.T) {
	g := gomega.NewWithT(t)
	sum := playCourses(courseSeeds, replacementVariant{})
	t.Log(sum.String())
	g.Expect(sum.mixedByHistory).To(gomega.BeZero())
	g.Expect(sum.byHistory).To(gomega.BeNumerically(">", courseSeeds/2))
	broken := playCourses(courseSeeds, replacementVariant{name: "what a node lists is taken for running", presumesRuns: true})
	t.Log(broken.String())
	g.Expect(broken.mixedByHistory).To(gomega.BeNumerically(">", 0))
}

// Guards against the same where replicas state no start, so that a former and a later process of one version count as one
// incarnation with a process of another version in between.
func TestContinuationsByTheHistoryKeepTheVersionWithoutStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	sum := playCourses(courseSeeds, replacementVariant{omitsStarts: true})
	t.Log(sum.String())
	g.Expect(sum.mixedByHistory).To(gomega.BeZero())
	g.Expect(sum.byHistory).To(gomega.BeNumerically(">", courseSeeds/2))
	broken := playCourses(courseSeeds, replacementVariant{omitsStarts: true, takesVersionsForProcesses: true})
	t.Log(broken.String())
	g.Expect(broken.mixedByHistory).To(gomega.BeNumerically(">", sum.mixedByHistory))
}

// Guards against streams that go on at another version after all nodes ended at once, by an origin that the store kept: it writes
// late and twice, is away now and then, and callers use names twice. Where the store has no origin of one of two streams with one
// name, nobody can tell them apart; that is not judged.
func TestContinuationsByTheStoreKeepTheVersionOnDrawnCourses(t *testing.T) {
	g := gomega.NewWithT(t)
	sum := playCourses(courseSeeds, replacementVariant{endsAll: true})
	t.Log(sum.String())
	g.Expect(sum.mixedByArchive).To(gomega.BeZero())
	g.Expect(sum.byArchive).To(gomega.BeNumerically(">", courseSeeds))
	for _, variant := range []replacementVariant{
		{name: "the version of the entry is stored for an uncertain origin", endsAll: true, archivesEntries: true},
		{name: "the latest stored origin counts", endsAll: true, trustsLatest: true},
	} {
		broken := playCourses(courseSeeds, variant)
		t.Log(variant.name, broken.String())
		g.Expect(broken.mixedByArchive).To(gomega.BeNumerically(">", 0))
	}
}

// Guards against courses that find nothing.
func TestDrawnCoursesFindBrokenVariants(t *testing.T) {
	for _, variant := range []replacementVariant{
		{name: "what a node lists is taken for proven", trustsEntries: true},
		{name: "answers prove what was so at their arrival", datesAnswersAtArrival: true},
		{name: "the version of the entry is recorded as certain", recordsEntries: true},
	} {
		t.Run(variant.name, func(t *testing.T) {
			sum := playCourses(courseSeeds, variant)
			t.Log(sum.String())
			gomega.NewWithT(t).Expect(sum.mixedProven).To(gomega.BeNumerically(">", 0))
		})
	}
}
