package incarnations

import (
	"maps"
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
	// minReplacementTime is the least time in which a replica ends and its successor accepts connections.
	minReplacementTime = 250 * time.Millisecond
)

// Incarnation is one run of a replica's process.
type Incarnation struct {
	Replica string
	// StartedAt is the start in Unix milliseconds by the replica's clock; zero if it states none.
	StartedAt int64
}

// Of returns the incarnation that the entry describes.
func Of(replica replicas.Replica) Incarnation {
	return Incarnation{Replica: replica.ID, StartedAt: replica.StartedAt}
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
func (v Verdict) IsProven() bool { return v.Proof != ProofNone && v.Proof != ProofAssumed }

// knowledge is what is known of one incarnation beside the views of the store.
type knowledge struct {
	// confirmedAt is the latest instant at which it is known to have been the process at its address, by the proof; the
	// proof is ProofNone if there is no such instant.
	confirmedAt structs.Instant
	proof       Proof
	// doubtedAt is the instant of the latest sign that it may have ended, if isDoubted.
	doubtedAt structs.Instant
	isDoubted bool
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
	// coversUntil is the instant before which no successor of a listed incarnation can have started, if hasCover. An
	// outage of up to maxViewGap may have delayed the entry unnoticed.
	coversUntil structs.Instant
	hasCover    bool
	// livedUntil is an instant until which the process of a listed incarnation had not ended, if hasLived. The entry of
	// one that has ended stays for a while, and its successor may start at the end of it.
	livedUntil structs.Instant
	hasLived   bool
	known      map[Incarnation]knowledge
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker { return &Tracker{known: map[Incarnation]knowledge{}} }

// ObserveView records that the known entries are those of the store as of the instant. Earlier views have no effect.
func (t *Tracker) ObserveView(asOf structs.Instant) {
	if t.hasView && asOf <= t.viewAsOf || t.isInterrupted && asOf <= t.interruptedAt {
		return
	}
	if !t.hasView || t.isInterrupted || asOf-t.viewAsOf > maxViewGap {
		t.steadySince = asOf
	}
	t.hasView, t.isInterrupted, t.viewAsOf = true, false, asOf
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
	case !isDoubted && (isListed && t.isCurrent(now) || proof != ProofNone && verdict.Age <= minReplacementTime):
		verdict.Proof = ProofAssumed
	}
	return verdict
}

// isCurrent reports whether the latest view is recent, and views have been steady for so long that it lists no
// incarnation which was replaced before.
func (t *Tracker) isCurrent(now structs.Instant) bool {
	return t.hasView && !t.isInterrupted && now-t.viewAsOf <= maxViewAge && t.viewAsOf-t.steadySince >= EntryDelay+maxViewGap
}

// Forget drops what is known of the incarnations that are not kept.
func (t *Tracker) Forget(isKept func(Incarnation) bool) {
	maps.DeleteFunc(t.known, func(incarnation Incarnation, _ knowledge) bool { return !isKept(incarnation) })
}
