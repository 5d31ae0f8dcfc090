package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// replicaState is what the scheduler knows about one replica. It is one record instead of several maps
// because a round of decisions visits every replica: with a map for each part a round over 166 replicas took
// twice as long.
type replicaState struct {
	// entry is the replica's entry in the store, empty if it was never listed.
	entry replicas.Replica
	// superseded is true if a newer replica has the same address.
	superseded bool
	// listed is false if the replica is known only by its in-flight requests.
	listed bool
	// assigned counts this scheduler's assignments, and external the in-flight requests that nodes
	// report from other schedulers.
	assigned, external int
	unreported         unreportedLoad
	// prefilling holds the assignments whose prompts may still be unread.
	prefilling []*assignment
	// speed was learned while the replica was warm, and coldSpeed while it was cold.
	speed, coldSpeed speed
	workTime         workTime
	warmUp           warmUp
	limit            rateLimit
	rejections       rejectionLimit
	// leaving is true if the replica has announced that it takes no new requests.
	leaving bool
	// mayBeSuccessor is true if the incarnation of the entry has ended, and the next one may have started.
	mayBeSuccessor bool
	health         health
	ejected        bool
	// index is the replica's index in poolSnapshot.replicas, in the latest snapshot that has it there.
	index int
}

// unreportedLoad is work at a replica that no node reports, because the sender has ended or is
// partitioned.
type unreportedLoad struct {
	count      int
	observedAt structs.Instant
}

// speed is the learned speed of a replica.
type speed struct {
	// stepTime is the mean time between two tokens of a stream, or the mean time of an answer for a
	// plain service; zero if unknown.
	stepTime time.Duration
	prefill  prefillEstimator
}

// replicaState returns the state of the replica, and creates it if needed.
func (s *Scheduler) replicaState(id string) *replicaState {
	state, found := s.replicaStates[id]
	if !found {
		state = &replicaState{}
		s.replicaStates[id] = state
		s.replicaSetVersion++
	}
	return state
}

// forgetUnused forgets what was learned about a replica that is no longer listed, and removes its
// state once it has no requests in flight.
func (s *Scheduler) forgetUnused(id string) {
	state := s.replicaStates[id]
	if state.listed {
		return
	}
	if state.assigned <= 0 && state.external <= 0 {
		delete(s.replicaStates, id)
		s.replicaSetVersion++
		return
	}
	state.forget()
}

// forget resets what was learned about an incarnation. In-flight requests stay until their end is
// reported.
func (r *replicaState) forget() {
	r.speed, r.coldSpeed, r.health, r.unreported, r.ejected = speed{}, speed{}, health{}, unreportedLoad{}, false
	r.limit, r.rejections, r.leaving = rateLimit{}, rejectionLimit{}, false
	r.mayBeSuccessor, r.warmUp.hasEnded, r.warmUp.startedUntil = false, false, 0
	r.workTime.forget()
}

// reportedInFlight counts the requests at the replica that nodes report.
func (r *replicaState) reportedInFlight() int { return r.assigned + r.external }

// inFlight counts the requests at the replica, including recent unreported load.
func (r *replicaState) inFlight(now structs.Instant) int {
	if now-r.unreported.observedAt < unreportedLoadTTL {
		return r.reportedInFlight() + r.unreported.count
	}
	return r.reportedInFlight()
}

// unreadTokens counts the prompt tokens of recent assignments whose answers have not started. It drops
// the other assignments from prefilling.
func (r *replicaState) unreadTokens(now structs.Instant) int {
	tokens := 0
	unread := r.prefilling[:0]
	for _, assignment := range r.prefilling {
		if assignment.started || now-assignment.assignedAt >= maxPrefillTime {
			continue
		}
		tokens += assignment.promptTokens
		unread = append(unread, assignment)
	}
	clear(r.prefilling[len(unread):])
	r.prefilling = unread
	return tokens
}

// slowdown returns the ratio of the step time to the fastest of the service. An unknown replica counts
// as slow once others are known: slow replicas finish their first request last, so they stay unknown
// for longest.
func (s *speed) slowdown(fastest time.Duration) float64 {
	if fastest <= 0 {
		return 1
	}
	if s.stepTime <= 0 {
		return unknownSlowdown
	}
	return float64(s.stepTime) / float64(fastest)
}

// fastestStep returns the shortest known step time of the listed replicas while warm, or zero if none
// is known.
func (p *servicePool) fastestStep() time.Duration {
	var fastest time.Duration
	for _, state := range p.replicas {
		if step := state.speed.stepTime; step > 0 && (fastest == 0 || step < fastest) {
			fastest = step
		}
	}
	return fastest
}
