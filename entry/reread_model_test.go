package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
)

// These tests visit every reachable state of rereads under a model of the watch loop, whose steps are the
// sections that it runs under the mutex. Requests, restores and changes of the role come between any two
// steps. Courses of any length are covered: only the order of a request and the start of the read in
// progress matters, so that there are finitely many states if the eras are bounded.

// maxModelEra bounds the eras: a course has up to two restores.
const maxModelEra = 3

// modelReasonCount is the number of reasons.
const modelReasonCount = 8

// loopPhase is the next step of the watch loop.
type loopPhase int

const (
	loopAtTop loopPhase = iota
	loopChecksWatching
	loopEndsWatching
	loopChoosesScope
	loopBeginsRead
	loopReads
	loopAppliedRead
	loopRecordsRead
	loopFailed
	loopBeginsWatch
	loopWatches
	loopGotUpdate
	loopGotError
	loopGotOtherEra
	loopEndedCanceledWatch
	loopEndedWatch
	loopFoundHistoryGone
	loopAppliesUpdate
)

// owedRead is a complete read that the latest request of a reason is due, independent of rereads.
type owedRead struct {
	isOwed bool
	// isDuringRead is true if the request was made after the read in progress began.
	isDuringRead bool
	era          int64
}

// rereadVariant replaces a part of rereads or of its use by a broken one; nil functions leave it as it is.
type rereadVariant struct {
	name       string
	beginWatch func(r *rereads, cancel context.CancelFunc) bool
	endWatch   func(r *rereads, hasUpdate bool) bool
	answer     func(r *rereads, era int64) []rereadRequest
	request    func(r *rereads, reason rereadReason, era int64)
	// appliesEarlierEras is true if the node applies complete reads of earlier eras.
	appliesEarlierEras bool
	// readsAfterWatch is true if the loop reads after each watch.
	readsAfterWatch bool
	// violation is part of the violation that the check finds.
	violation string
}

// rereadModel is a node, its store, and the reads that it owes.
type rereadModel struct {
	variant *rereadVariant
	state   rereads

	phase                loopPhase
	watches, isStoreDown bool
	era, storeEra        int64
	isScopeAll           bool
	// callEra is the era of the response or of the watch's position.
	callEra         int64
	isWatchCanceled bool

	owed [modelReasonCount]owedRead
	// needsFirstRead is true until a complete read, at the start and after the loop has found that the
	// node does not watch the store.
	needsFirstRead bool
}

// modelKey identifies the states of the model that have the same courses. Its fields are zero where the
// loop sets those of the model before it uses them.
type modelKey struct {
	phase                                loopPhase
	watches, isStoreDown                 bool
	era, storeEra                        int64
	isScopeAll                           bool
	callEra                              int64
	isWatchCanceled, hasCancel, wasEnded bool
	needsFirstRead                       bool
	owed                                 [modelReasonCount]owedRead
	pending                              [modelReasonCount]owedRead
}

func (m *rereadModel) key() modelKey {
	key := modelKey{
		phase: m.phase, watches: m.watches, isStoreDown: m.isStoreDown, era: m.era, storeEra: m.storeEra,
		isWatchCanceled: m.isWatchCanceled, hasCancel: m.state.cancelWatch != nil, needsFirstRead: m.needsFirstRead, owed: m.owed,
	}
	key.wasEnded = key.hasCancel && m.state.isWatchCanceled
	isReading := slices.Contains([]loopPhase{loopReads, loopAppliedRead, loopRecordsRead}, m.phase)
	key.isScopeAll = m.isScopeAll && (isReading || m.phase == loopBeginsRead)
	if m.phase >= loopAppliedRead && m.phase != loopFailed || m.phase == loopChecksWatching {
		key.callEra = m.callEra
	}
	for i, reason := range rereadReasons {
		key.owed[i].isDuringRead = m.owed[i].isDuringRead && isReading
		if request, found := m.state.pending[reason]; found {
			key.pending[i] = owedRead{isOwed: true, isDuringRead: isReading && request.newCount > 0, era: request.era}
		}
		if reason != rereadNewEra {
			key.owed[i].era, key.pending[i].era = 0, 0
		}
	}
	return key
}

func (m *rereadModel) clone() *rereadModel {
	clone := *m
	clone.state.pending = map[rereadReason]rereadRequest{}
	for reason, request := range m.state.pending {
		clone.state.pending[reason] = request
	}
	if m.state.cancelWatch != nil {
		clone.state.cancelWatch = clone.cancel
	}
	return &clone
}

func (m *rereadModel) cancel() { m.isWatchCanceled = true }

// request requests a complete read.
func (m *rereadModel) request(reason rereadReason) {
	m.owed[slices.Index(rereadReasons, reason)] = owedRead{isOwed: true, isDuringRead: true, era: m.era}
	if m.variant.request != nil {
		m.variant.request(&m.state, reason, m.era)
		return
	}
	m.state.request(0, reason, m.era)
}

// enterEra makes the era the known one.
func (m *rereadModel) enterEra(era int64) {
	m.era, m.storeEra = era, max(m.storeEra, era)
	m.request(rereadNewEra)
}

// fail records a failed call to the store.
func (m *rereadModel) fail() {
	isFirst := !m.isStoreDown
	m.isStoreDown = true
	if isFirst {
		m.request(rereadStoreFailed)
	}
}

func (m *rereadModel) isReadOwed() bool {
	return slices.ContainsFunc(m.owed[:], func(o owedRead) bool { return o.isOwed })
}

func (m *rereadModel) shouldCallStore() bool { return m.watches || m.isStoreDown }

// beginRead begins a read.
func (m *rereadModel) beginRead() error {
	if !m.isReadOwed() && !m.needsFirstRead {
		return errors.New("a read begins without a reason")
	}
	if !m.state.isPending() {
		m.request(rereadWatchStarted)
	}
	m.state.beginRead()
	for i := range m.owed {
		m.owed[i].isDuringRead = false
	}
	m.phase = loopReads
	return nil
}

// applyRead applies the response of a read.
func (m *rereadModel) applyRead(era int64) {
	if era < m.era && !m.variant.appliesEarlierEras {
		m.phase = loopFailed
		return
	}
	if era > m.era {
		m.enterEra(era)
	}
	m.callEra, m.phase = era, loopAppliedRead
}

// recordRead records the read as the answer of requests.
func (m *rereadModel) recordRead() error {
	for i, o := range m.owed {
		isAnswered := !o.isDuringRead
		if rereadReasons[i] == rereadNewEra {
			isAnswered = o.era <= m.callEra
		}
		if isAnswered {
			m.owed[i] = owedRead{}
		}
	}
	answer := m.state.answer
	if m.variant.answer != nil {
		answer = func(era int64) []rereadRequest { return m.variant.answer(&m.state, era) }
	}
	for _, request := range answer(m.callEra) {
		if _, isPending := m.state.pending[request.reason]; !isPending && m.owed[slices.Index(rereadReasons, request.reason)].isOwed {
			return fmt.Errorf("request %s of era %d is answered by a read of era %d that does not satisfy it", request.reason, request.era, m.callEra)
		}
	}
	for reason := range m.state.pending {
		if !m.owed[slices.Index(rereadReasons, reason)].isOwed {
			return fmt.Errorf("request %s stays pending after the read that satisfies it", reason)
		}
	}
	m.needsFirstRead, m.phase = false, loopBeginsWatch
	return nil
}

// beginWatch begins a watch, or leaves the watches.
func (m *rereadModel) beginWatch() error {
	begin := m.state.beginWatch
	if m.variant.beginWatch != nil {
		begin = func(cancel context.CancelFunc) bool { return m.variant.beginWatch(&m.state, cancel) }
	}
	if !begin(m.cancel) {
		m.phase = loopAtTop
		return nil
	}
	if m.isReadOwed() {
		return errors.New("a watch begins before the requested read")
	}
	m.isWatchCanceled, m.phase = false, loopWatches
	return nil
}

// endWatch ends the watch, whose call has returned.
func (m *rereadModel) endWatch() {
	hasUpdate, end := m.phase == loopGotUpdate, m.state.endWatch
	if m.variant.endWatch != nil {
		end = func() bool { return m.variant.endWatch(&m.state, hasUpdate) }
	}
	isCanceled := end() && !m.isStoreDown
	switch {
	case m.phase == loopGotOtherEra:
		m.phase = loopFoundHistoryGone
	case m.phase == loopGotError && isCanceled:
		m.phase = loopEndedCanceledWatch
	case m.phase == loopGotError:
		m.phase = loopFailed
	default:
		m.phase = loopEndedWatch
	}
	m.isWatchCanceled = false
}

// modelStep is a step of the model.
type modelStep struct {
	name string
	run  func(m *rereadModel) error
}

// loopSteps returns the next steps of the watch loop. The first one is that of a reachable store that
// ends a watch only if it is canceled.
func (m *rereadModel) loopSteps() []modelStep {
	goTo := func(name string, phase loopPhase) modelStep {
		return modelStep{name, func(m *rereadModel) error { m.phase = phase; return nil }}
	}
	do := func(name string, run func(m *rereadModel)) modelStep {
		return modelStep{name, func(m *rereadModel) error { run(m); return nil }}
	}
	switch m.phase {
	case loopAtTop:
		return []modelStep{do("check role", func(m *rereadModel) {
			m.phase = loopChoosesScope
			if !m.shouldCallStore() {
				m.phase = loopEndsWatching
			}
		})}
	case loopEndsWatching:
		return []modelStep{do("end watching", func(m *rereadModel) { m.state.drop(); m.needsFirstRead, m.phase = true, loopAtTop })}
	case loopChoosesScope:
		return []modelStep{do("choose scope", func(m *rereadModel) { m.isScopeAll, m.phase = m.watches, loopBeginsRead })}
	case loopBeginsRead:
		return []modelStep{{"begin read", (*rereadModel).beginRead}}
	case loopReads:
		var steps []modelStep
		for era := m.storeEra; era >= 1; era-- {
			steps = append(steps, do(fmt.Sprintf("response of era %d", era), func(m *rereadModel) { m.applyRead(era) }))
		}
		return append(steps, goTo("read fails", loopFailed), goTo("read is rejected without a failure", loopAtTop))
	case loopFailed:
		return []modelStep{do("record failure", func(m *rereadModel) { m.fail(); m.phase = loopAtTop })}
	case loopAppliedRead:
		return []modelStep{do("record success", func(m *rereadModel) {
			m.isStoreDown, m.phase = false, loopRecordsRead
			if !m.isScopeAll {
				m.phase = loopAtTop
			}
		})}
	case loopRecordsRead:
		return []modelStep{{"record read", func(m *rereadModel) error {
			err := m.recordRead()
			if m.phase == loopBeginsWatch {
				m.phase = loopChecksWatching
			}
			return err
		}}}
	case loopChecksWatching:
		check := do("check role before watch", func(m *rereadModel) {
			m.phase = loopBeginsWatch
			if !m.shouldCallStore() {
				m.phase, m.needsFirstRead = loopAtTop, true
			}
		})
		return []modelStep{check, do("read is due", func(m *rereadModel) { m.request(rereadDue); m.phase = loopAtTop })}
	case loopBeginsWatch:
		return []modelStep{{"begin watch", (*rereadModel).beginWatch}}
	case loopWatches:
		steps := []modelStep{goTo("watch returns update", loopGotUpdate), goTo("watch fails", loopGotError), goTo("watch finds other era", loopGotOtherEra)}
		if m.isWatchCanceled {
			steps[0], steps[1] = steps[1], steps[0]
		}
		return steps
	case loopGotUpdate, loopGotError, loopGotOtherEra:
		return []modelStep{do("end watch", (*rereadModel).endWatch)}
	case loopFoundHistoryGone:
		return []modelStep{do("record gone history", func(m *rereadModel) { m.request(rereadHistoryGone); m.phase = loopAtTop })}
	case loopEndedCanceledWatch:
		return []modelStep{goTo("leave canceled watch", loopAtTop)}
	case loopEndedWatch:
		return []modelStep{do("record success of watch", func(m *rereadModel) { m.isStoreDown, m.phase = false, loopAppliesUpdate })}
	case loopAppliesUpdate:
		return []modelStep{do("apply update", func(m *rereadModel) {
			m.phase = loopChecksWatching
			if m.callEra < m.era || m.variant.readsAfterWatch {
				m.phase = loopAtTop
			}
		})}
	}
	panic(fmt.Sprintf("no step in phase %d", m.phase))
}

// otherSteps returns the steps that other goroutines, peers and the store may make now.
func (m *rereadModel) otherSteps() []modelStep {
	steps := []modelStep{
		{"restore window ends", func(m *rereadModel) error { m.request(rereadRestoreWindowEnded); return nil }},
		{"role changes", func(m *rereadModel) error { m.watches = !m.watches; return nil }},
	}
	if m.isStoreDown {
		steps = append(steps, modelStep{"peer reaches store", func(m *rereadModel) error { m.isStoreDown = false; return nil }})
	} else {
		steps = append(steps, modelStep{"another call fails", func(m *rereadModel) error { m.fail(); return nil }})
	}
	if m.era < maxModelEra {
		steps = append(steps, modelStep{"another call or peer reports a new era", func(m *rereadModel) error { m.enterEra(m.era + 1); return nil }})
	}
	if m.storeEra < maxModelEra {
		steps = append(steps, modelStep{"store is restored", func(m *rereadModel) error { m.storeEra++; return nil }})
	}
	return steps
}
