package admission

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// room is the state of a service's replicas during one Decide.
type room struct {
	options []*option
	// free counts places and total all slots.
	free, total int
	duration    time.Duration
}

// option is one replica with what is known of it.
type option struct {
	replica replicas.Replica
	// places is how many requests may be in progress there.
	places int
	used   int
	unread int
	slow   float64
	// step is the learned time between two tokens; zero if it is not known.
	step time.Duration
	// readTime is the learned time to read one token of a prompt, and fixedTime that to
	// the first event beside it; zero if unknown.
	readTime, fixedTime time.Duration
	// doubted is true if the replica is set aside or several nodes avoid it; it is
	// used only if every other one is doubted too.
	doubted bool
}

// trusts returns whether nothing speaks against sending the request there.
func (o *option) trusts(request *Request) bool {
	return !o.doubted && !slices.Contains(request.Doubted, o.replica.ID)
}

// fits returns whether the answer is likely to be whole before its deadline.
func (o *option) fits(answer int, left time.Duration) bool {
	return time.Duration(answer)*o.step <= time.Duration(float64(left)*fitShare)
}

func (s *Scheduler) measure(now structs.Instant, name string) *room {
	measured := &room{duration: s.services[name].duration}
	fastest := s.fastest(name)
	byID := map[string]*option{}
	for _, replica := range s.replicas[name] {
		if replica.Draining {
			continue
		}
		choice := &option{
			replica: replica, places: replica.Slots + s.onTheWay(name, replica.Slots), used: s.usage(now, replica.ID),
			slow:    s.slowness(replica.ID, fastest),
			doubted: s.avoided[replica.ID] || s.isAside(now, replica.ID),
		}
		if learned, known := s.speeds[replica.ID]; known {
			choice.step = learned.step
			choice.readTime, choice.fixedTime = learned.reading.perToken(), learned.reading.fixed()
		}
		if s.onTrial(replica.ID) {
			choice.places = 1
		}
		byID[replica.ID] = choice
		measured.options = append(measured.options, choice)
		if !choice.doubted {
			measured.total += choice.places
			measured.free += max(0, choice.places-choice.used)
		}
	}
	measured.trustAllIfNone()
	for _, held := range s.places {
		if choice, found := byID[held.replica]; found && !held.begun && now-held.since < prefillTime {
			choice.unread += held.prompt
		}
	}
	return measured
}

// onTheWay returns how many requests beyond its slots a replica of the service may
// be given. Between the end of an answer and the start of the next request in its
// slot lie the news of the end, the grant and the send; where answers take little
// longer than that, slots would stand empty. What comes early waits at the replica.
func (s *Scheduler) onTheWay(name string, slots int) int {
	return int(float64(slots) * float64(handover) / float64(max(s.services[name].duration, handover)))
}

// trustAllIfNone counts the places of all replicas if every one is doubted: a
// doubtful replica is better than none.
func (r *room) trustAllIfNone() {
	if r.total > 0 {
		return
	}
	for _, choice := range r.options {
		choice.doubted = false
		r.total += choice.places
		r.free += max(0, choice.places-choice.used)
	}
}

// untried returns the replicas that the request did not come to before.
func (r *room) untried(request *Request) []*option {
	if len(request.Tried) == 0 {
		return r.options
	}
	var options []*option
	for _, choice := range r.options {
		if !slices.Contains(request.Tried, choice.replica.ID) {
			options = append(options, choice)
		}
	}
	return options
}

// usage is the work at the replica, with what no node reports.
func (s *Scheduler) usage(now structs.Instant, id string) int {
	used := s.reported(id)
	if hidden, found := s.hidden[id]; found && now-hidden.at < hiddenMemory {
		used += hidden.count
	}
	return used
}

// reported is the work at the replica that nodes report.
func (s *Scheduler) reported(id string) int {
	used := s.used[id]
	for _, counts := range s.foreign {
		used += counts[id]
	}
	return used
}

func (s *Scheduler) fastest(name string) time.Duration {
	var fastest time.Duration
	for _, replica := range s.replicas[name] {
		if learned, known := s.speeds[replica.ID]; known && learned.step > 0 && (fastest == 0 || learned.step < fastest) {
			fastest = learned.step
		}
	}
	return fastest
}

// slowness is how much longer a replica takes than the fastest of its service. One
// that nothing is known of counts as slow, once others are known: slow replicas are
// the last to end a request, so that they stay unknown for longest.
func (s *Scheduler) slowness(id string, fastest time.Duration) float64 {
	learned, known := s.speeds[id]
	if fastest <= 0 {
		return 1
	}
	if !known || learned.step <= 0 {
		return unknownSlowness
	}
	return float64(learned.step) / float64(fastest)
}

// wait estimates the time until a place for a request with so many ahead.
func (r *room) wait(ahead int) time.Duration {
	return time.Duration(float64(r.duration) * float64(ahead+1) / float64(max(r.total, 1)))
}

// canServe returns whether any replica, even an idle one, is fast enough.
func (r *room) canServe(answer int, left time.Duration) bool {
	for _, choice := range r.options {
		if choice.fits(answer, left) {
			return true
		}
	}
	return false
}

// cost is the expected time of a prompt at the replica, in tokens that the
// fastest replica reads meanwhile.
func (o *option) cost(prompt int) float64 {
	return o.slow * float64(fixedTokens+o.unread+prompt+o.used*runningTokens)
}
