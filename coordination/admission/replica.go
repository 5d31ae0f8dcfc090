package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// replicaState is what the scheduler knows of one replica. It is one record, so that a
// round of decisions looks nothing up by id: with a map for each of its parts a round
// over 166 replicas took twice as long, and 1.6 ms while 295 nodes told of requests that
// others had placed.
type replicaState struct {
	replica replicas.Replica
	// superseded is true if another replica has taken the address.
	superseded bool
	// listed is false for a replica that is known only by what is in progress there.
	listed bool
	// used counts the places given here, and foreign what nodes tell of beside these.
	used, foreign int
	hidden        hiddenLoad
	// reading has the places whose prompts may not be read yet.
	reading []*place
	// speed was learned while the replica was warm, and coldSpeed while it was cold.
	speed, coldSpeed speed
	warmth           warmth
	limit            rateLimit
	// leaving is true if the replica said in an answer that it takes no new requests.
	leaving bool
	conduct conduct
	// avoided is true if several nodes find the replica failing.
	avoided bool
	// number is its place among the options of the latest room that it was in.
	number int
}

// hiddenLoad is work at a replica that no node reports: it was sent by a process
// that ended, or by nodes that are cut off.
type hiddenLoad struct {
	count int
	at    structs.Instant
}

// speed is what was learned of one replica.
type speed struct {
	// step is the mean time between two tokens of a stream, or the mean time of
	// an answer of a plain service; zero if it is not known.
	step    time.Duration
	reading reading
}

// state returns the record of the replica, which may be a new one.
func (s *Scheduler) state(id string) *replicaState {
	state, found := s.states[id]
	if !found {
		state = &replicaState{}
		s.states[id] = state
		s.changes++
	}
	return state
}

// forgetUnused drops what is known of a replica that is gone, once nothing is in progress
// there.
func (s *Scheduler) forgetUnused(id string) {
	state := s.states[id]
	if state.listed {
		return
	}
	if state.used <= 0 && state.foreign <= 0 {
		delete(s.states, id)
		s.changes++
		return
	}
	state.forget()
}

// forget drops what was learned of the replica. What is in progress there stays until it is
// told to have ended.
func (r *replicaState) forget() {
	r.speed, r.coldSpeed, r.conduct, r.hidden, r.avoided = speed{}, speed{}, conduct{}, hiddenLoad{}, false
	r.limit, r.leaving = rateLimit{}, false
}

// reported is the work at the replica that nodes report.
func (r *replicaState) reported() int { return r.used + r.foreign }

// usage is the work at the replica, with what no node reports.
func (r *replicaState) usage(now structs.Instant) int {
	if now-r.hidden.at < hiddenMemory {
		return r.reported() + r.hidden.count
	}
	return r.reported()
}

// unread counts the tokens of prompts that were sent lately and are not read yet.
func (r *replicaState) unread(now structs.Instant) int {
	tokens := 0
	kept := r.reading[:0]
	for _, held := range r.reading {
		if held.begun || now-held.since >= prefillTime {
			continue
		}
		tokens += held.prompt
		kept = append(kept, held)
	}
	clear(r.reading[len(kept):])
	r.reading = kept
	return tokens
}

// slowness is how much longer the replica takes than the fastest of its service. One
// that nothing is known of counts as slow, once others are known: slow replicas are
// the last to end a request, so that they stay unknown for longest.
func (s *speed) slowness(fastest time.Duration) float64 {
	if fastest <= 0 {
		return 1
	}
	if s.step <= 0 {
		return unknownSlowness
	}
	return float64(s.step) / float64(fastest)
}

// fastest returns the shortest step of the service's replicas, or zero if none is known.
func (s *service) fastest() time.Duration {
	var fastest time.Duration
	for _, state := range s.replicas {
		if step := state.speed.step; step > 0 && (fastest == 0 || step < fastest) {
			fastest = step
		}
	}
	return fastest
}
