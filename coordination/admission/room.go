package admission

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// room is the state of a service's replicas during one Decide.
type room struct {
	options []*option
	// trials are the replicas of a version that is judged, if the next request may go there.
	trials []*option
	// free counts places and total all slots, of the replicas that are not doubted, and
	// undoubted these replicas.
	free, total, undoubted int
	// capacity is how many requests the undoubted replicas serve at a time, on average, and banked
	// counts those that limited ones of these may be given beside that.
	capacity, banked float64
	// emptied counts the replicas left out as the operators emptied their zones.
	emptied  int
	duration time.Duration
	// views has what requests trust, by their lists of doubted replicas.
	views map[*doubtList]*trust
}

// option is one replica with what is known of it.
type option struct {
	state *replicaState
	// number is the place among the options of the room.
	number int
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
	// isCold is true if the replica started lately and bears few requests, and isLimited if it
	// names the rate that it takes.
	isCold, isLimited bool
}

// fits returns whether the answer is likely to be whole before its deadline.
func (o *option) fits(answer int, left time.Duration) bool {
	return time.Duration(answer)*o.step <= time.Duration(float64(left)*fitShare)
}

// measure describes the replicas of the service as they are now. What it returns holds
// until the next call.
func (s *Scheduler) measure(now structs.Instant, name string) *room {
	pool := s.services[name]
	measured := &room{duration: pool.duration, views: map[*doubtList]*trust{}, options: make([]*option, 0, len(pool.replicas))}
	fastest := pool.fastest()
	onTrial := pool.trial.Open(now)
	if cap(s.options) < len(pool.replicas) {
		s.options = make([]option, len(pool.replicas))
	}
	for i, state := range pool.replicas {
		use := pool.versions.AccessFor(state.replica.Version)
		if s.emptied[state.replica.Zone] {
			measured.emptied++
			continue
		}
		if state.superseded || state.leaving || state.replica.Draining || use == rollouts.AccessDenied || use == rollouts.AccessBudgeted && !onTrial {
			continue
		}
		isCold := state.isCold(now, pool)
		learned := state.pace(isCold)
		readTime := learned.reading.perToken()
		choice := &s.options[:cap(s.options)][i]
		*choice = option{
			state: state, places: state.replica.Slots + pool.onTheWay(state.replica.Slots), used: state.usage(now),
			unread: state.unread(now), slow: learned.slowness(fastest), step: learned.step,
			readTime: readTime, fixedTime: learned.reading.fixed(readTime),
			doubted: state.avoided || state.isAside(now), isCold: isCold, isLimited: state.limit.known.IsSet(),
		}
		if state.onTrial() {
			choice.places = 1
		}
		if isCold {
			choice.places = min(choice.places, choice.used+s.coldRoom(now, state, pool))
		}
		if choice.isLimited {
			choice.places = min(choice.places, choice.used+s.limitedRoom(now, state))
		}
		if use == rollouts.AccessBudgeted {
			measured.trials = append(measured.trials, choice)
			continue
		}
		choice.number, state.number = len(measured.options), len(measured.options)
		measured.options = append(measured.options, choice)
		if !choice.doubted {
			measured.enter(choice, s.part)
		}
	}
	measured.trustAllIfNone(s.part)
	measured.gatherTrials(pool.trial.Turn())
	return measured
}

// onTheWay returns how many requests beyond its slots a replica of the service may
// be given. Between the end of an answer and the start of the next request in its
// slot lie the news of the end, the grant and the send; where answers take little
// longer than that, slots would stand empty. What comes early waits at the replica.
func (s *service) onTheWay(slots int) int {
	return int(float64(slots) * float64(handover) / float64(max(s.duration, handover)))
}

// trustAllIfNone counts the places of all replicas if every one is doubted: a
// doubtful replica is better than none.
func (r *room) trustAllIfNone(part float64) {
	if r.total > 0 {
		return
	}
	r.undoubted, r.capacity, r.banked = 0, 0, 0
	for _, choice := range r.options {
		choice.doubted = false
		r.enter(choice, part)
	}
}

// enter counts the places of an undoubted replica. One that names its rate serves no more at a time
// than come in the time of a request.
func (r *room) enter(choice *option, part float64) {
	r.undoubted++
	r.total += choice.places
	r.free += max(0, choice.places-choice.used)
	capacity := float64(choice.places)
	if choice.isLimited {
		capacity = min(float64(choice.state.replica.Slots), choice.state.limit.paid(part)*r.duration.Seconds())
		r.banked += choice.state.limit.bank.held
	}
	r.capacity += capacity
}

// untried returns the replicas that the request did not come to before and that its node does not
// pause at.
func (r *room) untried(now structs.Instant, request *Request, paused pauses) []*option {
	if len(request.Tried)+len(paused) == 0 {
		return r.options
	}
	var options []*option
	for _, choice := range r.options {
		if id := choice.state.replica.ID; !slices.Contains(request.Tried, id) && !paused.hold(now, id) {
			options = append(options, choice)
		}
	}
	return options
}

// longestWait bounds the estimate of a wait.
const longestWait = time.Hour

// wait estimates the time until a place for a request with so many ahead.
func (r *room) wait(ahead int) time.Duration {
	if r.capacity <= 0 {
		return r.duration * time.Duration(ahead+1)
	}
	requests := max(float64(ahead+1)-r.banked, 0)
	return time.Duration(min(float64(r.duration)*requests/r.capacity, float64(longestWait)))
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
