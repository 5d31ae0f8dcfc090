package incarnations

import (
	"maps"
	"math"
	"time"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// EntryDelay is how much later than the start of a replica, or than the store's return, the store may still list the
	// replica's former incarnation.
	EntryDelay = 4 * time.Second
	// maxViewGap is the time between two views of the store from which on it may have been away in between, and
	// maxViewAge the age up to which a view counts as current.
	maxViewGap = 1500 * time.Millisecond
	maxViewAge = 1500 * time.Millisecond
	// settleTime is how long after the store's return it may still list former incarnations.
	settleTime = EntryDelay + maxViewGap
	// minReplacementTime is the least time in which a replica ends and its successor accepts connections.
	minReplacementTime = 250 * time.Millisecond
)

// Incarnation is one run of a replica's process.
type Incarnation struct {
	Replica string
	// StartedAt is the start in Unix milliseconds by the replica's clock; zero if it states none.
	StartedAt int64
	// Version is that of the replica's software if it states no start, empty otherwise: it tells the incarnations apart
	// between which streams must not go on.
	Version string
}

// Of returns the incarnation that the entry describes.
func Of(replica replicas.Replica) Incarnation {
	incarnation := Incarnation{Replica: replica.ID, StartedAt: replica.StartedAt}
	if replica.StartedAt == 0 {
		incarnation.Version = replica.Version
	}
	return incarnation
}

// Connection is a connection that was opened to the address of an incarnation while this node had its entry.
type Connection struct {
	Incarnation Incarnation
	OpenedAt    structs.Instant
}

// Proof is what shows that a connection leads to the incarnation for which it was opened.
type Proof string

const (
	// ProofNone means that nothing shows it.
	ProofNone Proof = ""
	// ProofEntry means that the store listed the incarnation when a successor that had started before the connection
	// would have replaced the entry.
	ProofEntry Proof = "entry"
	// ProofAnswers means that a request, written after this connection was opened, was answered over one that leads to
	// the incarnation.
	ProofAnswers Proof = "answers"
	// ProofReport means that the process, asked after this connection was opened, stated the start of the incarnation.
	ProofReport Proof = "report"
	// ProofUnbroken means that a connection which leads to the incarnation was alive less than minReplacementTime before
	// this one was opened.
	ProofUnbroken Proof = "unbroken"
	// ProofAssumedUnbroken means that a connection which was assumed to lead to the incarnation when it was opened was
	// alive less than minReplacementTime before this one was opened, or is this one. It is wrong if that assumption was.
	ProofAssumedUnbroken Proof = "assumed-unbroken"
	// ProofAssumed means that a successor, if there is one, started at most EntryDelay + maxViewGap + maxViewAge before,
	// and that nothing has failed at the incarnation since it was last known to live.
	ProofAssumed Proof = "assumed"
)

// Verdict is what is known of a connection.
type Verdict struct {
	Proof Proof
	// Age is the time since the latest statement on the incarnation, or zero if there is none.
	Age time.Duration
	// DoubtAge is the time since the latest sign that the incarnation may have ended, or zero if it is known to have
	// lived on after it.
	DoubtAge time.Duration
}

// IsProven reports whether the connection leads to the incarnation for certain.
func (v Verdict) IsProven() bool {
	return v.Proof != ProofNone && v.Proof != ProofUnbroken && !v.IsAssumed()
}

// IsAssumed reports whether nothing but an assumption shows that the connection leads to the incarnation.
func (v Verdict) IsAssumed() bool { return v.Proof == ProofAssumed || v.Proof == ProofAssumedUnbroken }

// IsUnbrokenFromProof reports whether the connection is proven or follows a proven one without a break.
func (v Verdict) IsUnbrokenFromProof() bool { return v.IsProven() || v.Proof == ProofUnbroken }

// knowledge is what is known of one incarnation beside the views of the store.
type knowledge struct {
	// confirmedAt is the latest instant at which it is known to have been the process at its address, by the proof; the
	// proof is ProofNone if there is no such instant.
	confirmedAt structs.Instant
	proof       Proof
	// doubtedAt is the instant of the latest sign that it may have ended, if isDoubted.
	doubtedAt structs.Instant
	isDoubted bool
	// alive is the latest instant at which a connection was alive that is proven or unbroken, and assumedAlive the same
	// for connections that were assumed to lead to the incarnation when they were opened, or follow such ones.
	alive, assumedAlive lastAlive
}

// lastAlive is the latest instant at which a connection was alive, if there is one.
type lastAlive struct {
	at    structs.Instant
	isSet bool
}

func (l *lastAlive) observe(at structs.Instant) {
	if !l.isSet || at > l.at {
		l.at, l.isSet = at, true
	}
}

// covers reports whether a connection was alive less than minReplacementTime before the instant, or later.
func (l lastAlive) covers(openedAt structs.Instant) bool {
	return l.isSet && openedAt <= l.at+minReplacementTime
}

// Tracker keeps what is known of incarnations. It is not safe for concurrent use.
type Tracker struct {
	// viewAsOf is the instant of the latest complete view of the store, and steadySince that from which on there were
	// views without a gap.
	hasView               bool
	viewAsOf, steadySince structs.Instant
	// interruptedAt is when views were last known to be no proof, if isInterrupted; later views end that.
	interruptedAt structs.Instant
	isInterrupted bool
	// presumesUp is true while the store is presumed to have been up before the views began.
	presumesUp bool
	// settledAsOf is the instant of the latest view by which the store had been up for settleTime, or was presumed to, if
	// wasSettled.
	settledAsOf structs.Instant
	wasSettled  bool
	// healthyAt is when a peer last told that it had watched the store for settleTime without a failure, if hasHealthyPeer.
	healthyAt      structs.Instant
	hasHealthyPeer bool
	// coversUntil is the instant before which no successor of a listed incarnation can have started, if hasCover. An
	// outage of up to maxViewGap may have delayed the entry unnoticed.
	coversUntil structs.Instant
	hasCover    bool
	// livedUntil is an instant until which the process of a listed incarnation had not ended, if hasLived. The entry of
	// one that has ended stays for a while, and its successor may start at the end of it.
	livedUntil structs.Instant
	hasLived   bool
	known      map[Incarnation]knowledge
	// rows has the latest row of connections that were opened for each incarnation.
	rows map[Incarnation]row
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{known: map[Incarnation]knowledge{}, rows: map[Incarnation]row{}}
}

// ObserveView records that the known entries are those of the store as of the instant, or later ones: an instant that is too
// late makes proofs of entries that prove nothing. Earlier views have no effect.
func (t *Tracker) ObserveView(asOf structs.Instant) {
	if t.hasView && asOf <= t.viewAsOf || t.isInterrupted && asOf <= t.interruptedAt {
		return
	}
	if !t.hasView || t.isInterrupted || asOf-t.viewAsOf > maxViewGap {
		t.steadySince = asOf
		t.presumesUp = t.presumesUp && (!t.hasView || t.isInterrupted)
	}
	t.hasView, t.isInterrupted, t.viewAsOf = true, false, asOf
	if t.isSettled() {
		t.settledAsOf, t.wasSettled = asOf, true
	}
	if covered := asOf - EntryDelay - maxViewGap; covered >= t.steadySince {
		t.coversUntil, t.hasCover = covered, true
	}
	if lived := asOf - 2*(EntryDelay+maxViewGap); lived >= t.steadySince {
		t.livedUntil, t.hasLived = lived, true
	}
}

// Interrupt records that entries may have been replaced unseen: the store failed, or this process was suspended. One
// that is told late does not hide a later one.
func (t *Tracker) Interrupt(now structs.Instant) {
	t.presumesUp = false
	if !t.isInterrupted || now > t.interruptedAt {
		t.interruptedAt, t.isInterrupted = now, true
	}
}

// Restore records that the store was restored from a backup, before a view of it: it may list incarnations again that it
// had listed as replaced before. What former views proved of entries does not hold for these.
func (t *Tracker) Restore(now structs.Instant) {
	t.Interrupt(now)
	t.hasCover, t.hasLived = false, false
}

// Doubt records a sign that the incarnation may have ended: a connection that it closed, refused or did not answer.
func (t *Tracker) Doubt(at structs.Instant, incarnation Incarnation) {
	known := t.known[incarnation]
	if !known.isDoubted || at > known.doubtedAt {
		known.doubtedAt, known.isDoubted = at, true
	}
	t.known[incarnation] = known
}

// ConfirmByReport records that the process at the incarnation's address stated its start in answer to a request that
// was written at the instant. The process may have ended by the time the answer is read.
func (t *Tracker) ConfirmByReport(writtenAt structs.Instant, incarnation Incarnation) {
	t.confirm(writtenAt, incarnation, ProofReport)
}

// Received records that bytes of the response to a request that was written over the connection at the instant
// arrived. The process may have ended by the time they are read. isListed is as for Verdict.
func (t *Tracker) Received(writtenAt structs.Instant, connection Connection, isListed bool) {
	if t.Verdict(writtenAt, connection, isListed).IsProven() {
		t.confirm(writtenAt, connection.Incarnation, ProofAnswers)
	}
}

// Alive records that the process at the other end of the connection was alive at the instant. isListed is as for
// Verdict.
func (t *Tracker) Alive(at structs.Instant, connection Connection, isListed bool) {
	t.extendRow(at, connection)
	if verdict := t.Verdict(at, connection, isListed); verdict.Proof != ProofAssumed {
		t.keepAlive(at, connection.Incarnation, verdict)
	}
}

// Opened records that the connection was opened just now. What is assumed of it then is assumed for as long as it lives.
func (t *Tracker) Opened(connection Connection, isListed bool) {
	t.keepAlive(connection.OpenedAt, connection.Incarnation, t.Verdict(connection.OpenedAt, connection, isListed))
}

// keepAlive records that a connection with the verdict was alive at the instant.
func (t *Tracker) keepAlive(at structs.Instant, incarnation Incarnation, verdict Verdict) {
	known := t.known[incarnation]
	switch {
	case verdict.IsUnbrokenFromProof():
		known.alive.observe(at)
	case verdict.IsAssumed():
		known.assumedAlive.observe(at)
	default:
		return
	}
	t.known[incarnation] = known
}

// ListedUntil returns the instant before which no successor of a listed incarnation can have started. It is the earliest
// one if there is none.
func (t *Tracker) ListedUntil() structs.Instant {
	if !t.hasCover {
		return math.MinInt64
	}
	return t.coversUntil
}

// KnownUntil returns the latest instant such that connections opened by then are proven or unbroken, or if assumes is
// true, assumed to be unbroken. It is false if there is none.
func (t *Tracker) KnownUntil(now structs.Instant, incarnation Incarnation, isListed, assumes bool) (structs.Instant, bool) {
	until, isKnown := structs.Instant(0), false
	if verdict := t.Verdict(now, Connection{Incarnation: incarnation, OpenedAt: math.MinInt64}, isListed); verdict.IsProven() {
		until, isKnown = now-verdict.Age, true
	}
	alive := t.known[incarnation].alive
	if assumed := t.known[incarnation].assumedAlive; assumes && assumed.isSet {
		alive.observe(assumed.at)
	}
	if alive.isSet && (!isKnown || alive.at+minReplacementTime > until) {
		until, isKnown = alive.at+minReplacementTime, true
	}
	return until, isKnown
}

// RanUntil returns the latest instant until which the incarnation is known to have run, by the same evidence as ProofAnswers,
// ProofReport and ProofUnbroken, or by the store's entry. It is false if there is none. isListed is as for Verdict.
func (t *Tracker) RanUntil(incarnation Incarnation, isListed bool) (structs.Instant, bool) {
	known := t.known[incarnation]
	until, isKnown := known.confirmedAt, known.proof != ProofNone
	if known.alive.isSet && (!isKnown || known.alive.at > until) {
		until, isKnown = known.alive.at, true
	}
	if isListed && t.hasLived && (!isKnown || t.livedUntil > until) {
		until, isKnown = t.livedUntil, true
	}
	return until, isKnown
}

// Ran returns a time throughout which one process is known to have been the incarnation. It is false if there is none. An
// incarnation that states a start is one process. Successors of one that states none may count as the same incarnation, with
// others in between; only connections show then that one process ran all the time. isListed is as for Verdict.
func (t *Tracker) Ran(incarnation Incarnation, isListed bool) (since, until structs.Instant, isKnown bool) {
	if incarnation.StartedAt != 0 {
		until, isKnown = t.RanUntil(incarnation, isListed)
		return math.MinInt64, until, isKnown
	}
	known, isKnown := t.provenRow(incarnation, isListed)
	return known.since, known.until, isKnown
}

func (t *Tracker) confirm(at structs.Instant, incarnation Incarnation, proof Proof) {
	known := t.known[incarnation]
	if known.proof == ProofNone || at > known.confirmedAt {
		known.confirmedAt, known.proof = at, proof
	}
	t.known[incarnation] = known
}

// Verdict returns what is known of the connection. isListed is true if this node has the incarnation's entry, and the
// store listed it in the latest view.
func (t *Tracker) Verdict(now structs.Instant, connection Connection, isListed bool) Verdict {
	known := t.known[connection.Incarnation]
	stated, proof := known.confirmedAt, known.proof
	isDoubted := known.isDoubted && (proof == ProofNone || known.doubtedAt >= stated)
	if isListed && t.hasLived && known.doubtedAt < t.livedUntil {
		isDoubted = false
	}
	if isListed && t.hasCover && (proof == ProofNone || t.coversUntil > stated) {
		stated, proof = t.coversUntil, ProofEntry
	}
	verdict := Verdict{}
	if proof != ProofNone {
		verdict.Age = now - stated
	}
	if isDoubted {
		verdict.DoubtAge = max(now-known.doubtedAt, 1)
	}
	switch {
	case proof != ProofNone && connection.OpenedAt <= stated:
		verdict.Proof = proof
	case known.alive.covers(connection.OpenedAt):
		verdict.Proof = ProofUnbroken
	case !isDoubted && proof != ProofNone && verdict.Age <= minReplacementTime:
		verdict.Proof = ProofUnbroken
	case known.assumedAlive.covers(connection.OpenedAt):
		verdict.Proof = ProofAssumedUnbroken
	case !isDoubted && isListed && t.isCurrent(now):
		verdict.Proof = ProofAssumed
	}
	return verdict
}

// isCurrent reports whether the latest view is recent, and the store was up for so long that it lists no incarnation
// which was replaced before.
func (t *Tracker) isCurrent(now structs.Instant) bool {
	return t.hasView && !t.isInterrupted && now-t.viewAsOf <= maxViewAge && t.isSettled()
}

// isSettled reports whether the store had been up for settleTime by the latest view, or is presumed to.
func (t *Tracker) isSettled() bool {
	return t.presumesUp || t.viewAsOf-t.steadySince >= settleTime || t.hasHealthyPeer && t.viewAsOf-t.healthyAt <= maxViewAge
}

// PresumeUp has the tracker of a new process presume that the store was up before the first view, until there is a sign
// to the contrary. Otherwise no stream that began elsewhere could go on at the process for settleTime, and none at all
// after a start of all nodes. If the store has just come back, ProofAssumed is wrong of what was replaced meanwhile.
func (t *Tracker) PresumeUp() { t.presumesUp = true }

// Suspended records that this process was suspended between the instants. What it knew is interrupted, but the store is
// presumed to have been up meanwhile if it was before, as by PresumeUp.
func (t *Tracker) Suspended(since, until structs.Instant) {
	t.Interrupt(until)
	t.presumesUp = t.wasSettled && t.settledAsOf >= since-maxViewGap
}

// ObserveHealthy records that a peer has watched the store for the time without a failure: if this process did not reach
// it, it was not away.
func (t *Tracker) ObserveHealthy(now structs.Instant, watched time.Duration) {
	if watched >= settleTime {
		t.healthyAt, t.hasHealthyPeer = now, true
	}
}

// Forget drops what is known of the incarnations that are not kept.
func (t *Tracker) Forget(isKept func(Incarnation) bool) {
	maps.DeleteFunc(t.known, func(incarnation Incarnation, _ knowledge) bool { return !isKept(incarnation) })
	maps.DeleteFunc(t.rows, func(incarnation Incarnation, _ row) bool { return !isKept(incarnation) })
}
