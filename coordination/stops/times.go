package stops

import (
	"slices"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

const (
	// observedRequests is the number of the latest requests of a kind that an expectation follows.
	observedRequests = 32
	// maxKinds bounds the kinds of which times are kept. Beyond it, all are forgotten: configurations come and go.
	maxKinds = 4096
	// typicalShare and longShare are the shares of requests that take no longer than the typical and the long time.
	typicalShare = 0.5
	longShare    = 0.9
	// A request that has run for longer than a long one is expected to take overdueFactor times its age: when a service
	// turns slow, those that run tell it before the first of them ends.
	overdueFactor = 2
	// longMargin and longMarginShare are added to the long time, as the times of a service vary.
	longMargin      = 50 * time.Millisecond
	longMarginShare = 0.1
)

// Kind identifies requests that take similar times.
type Kind struct{ Service, Route string }

// Expectation is how long requests of a kind wait and run. The times are zero unless it is known.
type Expectation struct {
	IsKnown bool
	// Wait is how long a request waits for a slot, nearly always at most.
	Wait time.Duration
	// TypicalWork is the time from the write to the complete answer of most requests, LongWork that of nearly all.
	TypicalWork, LongWork time.Duration
}

// Times observes how long requests wait and run. The zero value has observed none. It is safe for concurrent use.
type Times struct {
	mutex sync.Mutex
	kinds map[Kind]*observations
}

// observations are those of one kind.
type observations struct {
	waits, works samples
	// running has the starts of requests that run.
	running map[*Run]structs.Instant
}

// Run is a request that was written to a replica.
type Run struct{ kind Kind }

// samples is a ring buffer of the latest values.
type samples struct {
	values []time.Duration
	next   int
}

func (s *samples) add(value time.Duration) {
	if len(s.values) < observedRequests {
		s.values = append(s.values, value)
		return
	}
	s.values[s.next] = value
	s.next = (s.next + 1) % observedRequests
}

// quantile returns the value that the share of the values does not exceed; zero if there are none. It sorts them.
func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(share*float64(len(values))), len(values)-1)]
}

// of returns the observations of the kind, and creates them if needed. The mutex must be held.
func (t *Times) of(kind Kind) *observations {
	found, isKnown := t.kinds[kind]
	if !isKnown {
		if t.kinds == nil || len(t.kinds) >= maxKinds {
			t.kinds = map[Kind]*observations{}
		}
		found = &observations{running: map[*Run]structs.Instant{}}
		t.kinds[kind] = found
	}
	return found
}

// Waited records that a request waited for a slot for so long.
func (t *Times) Waited(kind Kind, wait time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.of(kind).waits.add(wait)
}

// Begin records that a request is written to a replica.
func (t *Times) Begin(now structs.Instant, kind Kind) *Run {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	run := &Run{kind: kind}
	t.of(kind).running[run] = now
	return run
}

// End records the end of the run, unless it was recorded before. The time of one without a complete answer counts only if
// it exceeds the typical one, as the answer would have taken even longer. Without a typical one it tells nothing.
func (t *Times) End(now structs.Instant, run *Run, isComplete bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	observed := t.kinds[run.kind]
	if observed == nil {
		return
	}
	startedAt, isRunning := observed.running[run]
	if !isRunning {
		return
	}
	delete(observed.running, run)
	if took := now - startedAt; isComplete || observed.exceedsTypical(took) {
		observed.works.add(took)
	}
}

// exceedsTypical reports whether a typical time is known that the time exceeds.
func (o *observations) exceedsTypical(took time.Duration) bool {
	values := slices.Clone(o.works.values)
	return len(values) > 0 && took > quantile(values, typicalShare)
}

// Expect returns what is expected of a request of the kind.
func (t *Times) Expect(now structs.Instant, kind Kind) Expectation {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	observed := t.kinds[kind]
	if observed == nil || len(observed.works.values) == 0 {
		return Expectation{}
	}
	works := slices.Clone(observed.works.values)
	usual := quantile(works, longShare)
	for _, startedAt := range observed.running {
		if age := now - startedAt; age > usual {
			works = append(works, overdueFactor*age)
		}
	}
	long := quantile(works, longShare)
	return Expectation{
		IsKnown:     true,
		Wait:        quantile(slices.Clone(observed.waits.values), longShare),
		TypicalWork: quantile(works, typicalShare),
		LongWork:    long + longMargin + time.Duration(longMarginShare*float64(long)),
	}
}
