package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// A replica that started recently is cold: it can handle only a few requests a second from all nodes
// together. Replicas also count as cold after the evacuation of their zone is lifted, and if they may have
// started without their new entry being known.
//
// The bound holds because cold replicas get requests only from active schedulers that reach most
// nodes. At most two of these exist at a time. Each uses half of the bound, from buckets that are empty
// when it becomes active.

// SlowStart limits the requests from one scheduler to each cold replica of a service. The zero value
// is no limit.
type SlowStart struct {
	// Rate refills the replica's token bucket, in requests a second, and Burst is the bucket's size.
	Rate, Burst float64
	// ColdTime is how long a replica counts as cold after the evacuation of its zone is lifted.
	ColdTime time.Duration
}

// burstShare is the share of a scheduler's bound that its bucket holds. A larger bucket is refilled at
// a lower rate.
const burstShare = 0.25

// concurrentSchedulers is the number of schedulers that share the bound.
const concurrentSchedulers = 2

// NewSlowStart returns the limit of one scheduler if all nodes together may send a cold replica the
// allowed number of requests in any second; zero means no limit. A scheduler whose share is less than
// one request sends none.
func NewSlowStart(allowed float64, coldTime time.Duration) SlowStart {
	if allowed <= 0 {
		return SlowStart{}
	}
	share := allowed / concurrentSchedulers
	burst := max(burstShare*share, 1)
	return SlowStart{Rate: max(share-burst, 0), Burst: min(burst, share), ColdTime: coldTime}
}

// isLimited reports whether cold replicas are limited.
func (l SlowStart) isLimited() bool { return l.Burst > 0 }

// warmUp holds until when a replica is cold, and limits its requests until then.
type warmUp struct {
	// until is the end of the warm-up that the replica's entry states, and liftedUntil the end of the
	// cold time since an evacuation of its zone was lifted.
	until, liftedUntil structs.Instant
	// endedAt is when the replica was last found to have ended, if hasEnded: its next incarnation may start
	// without a known entry. startedUntil is the end of the cold time of such an incarnation.
	hasEnded              bool
	endedAt, startedUntil structs.Instant
	bucket                tokenBucket
}

// RecordEnd records that the replica was found to have ended. If it starts again before its new entry is known, it is
// cold for the ColdTime of its service, and its version is not known.
func (s *Scheduler) RecordEnd(now structs.Instant, replicaID string) {
	if state, found := s.replicaStates[replicaID]; found && state.listed {
		state.mayBeSuccessor, state.warmUp.hasEnded, state.warmUp.endedAt = true, true, now
		s.mayHaveSuccessors = true
	}
}

// keptWarmUp is what another scheduler knew of the warm-up that the entry at the position states.
type keptWarmUp struct {
	position structs.StorePosition
	warmUp   warmUp
	// mayBeSuccessor is that of the replica's state.
	mayBeSuccessor bool
}

// KeepWarmUps takes over what the other scheduler knows of the warm-ups of its replicas, apart from the requests that it
// assigned to them. It must be called before SetReplicas.
func (s *Scheduler) KeepWarmUps(other *Scheduler) {
	s.keptWarmUps = map[string]keptWarmUp{}
	for id, state := range other.replicaStates {
		if state.listed {
			kept := keptWarmUp{position: state.entry.Position, warmUp: state.warmUp, mayBeSuccessor: state.mayBeSuccessor}
			kept.warmUp.bucket = tokenBucket{}
			s.keptWarmUps[id] = kept
		}
	}
	s.mayHaveSuccessors = other.mayHaveSuccessors
}

// beginWarmUp sets until when the replica with the new entry is cold.
func (s *Scheduler) beginWarmUp(now structs.Instant, state *replicaState, entry replicas.Replica) {
	if kept, found := s.keptWarmUps[entry.ID]; found && state.entry.ID == "" && kept.position == entry.Position {
		state.warmUp, state.mayBeSuccessor = kept.warmUp, kept.mayBeSuccessor
		return
	}
	state.warmUp.until = now + entry.Warmup
}

// ConfirmEntries records that the listed entries are those of the replicas that run now.
func (s *Scheduler) ConfirmEntries() {
	if !s.mayHaveSuccessors {
		return
	}
	for _, state := range s.replicaStates {
		state.mayBeSuccessor = false
	}
	s.mayHaveSuccessors = false
}

// recordAnswer records that the replica answers a request that was assigned at the instant. If it had ended before,
// its next incarnation has started by now.
func (r *replicaState) recordAnswer(now, assignedAt structs.Instant, pool *servicePool) {
	if r.warmUp.hasEnded && assignedAt >= r.warmUp.endedAt {
		r.warmUp.hasEnded, r.warmUp.startedUntil = false, now+pool.coldTime()
	}
}

// SetSlowStart sets the limit for cold replicas of the service. Until the first call they get no
// requests.
func (s *Scheduler) SetSlowStart(service string, limit SlowStart) {
	s.pool(service).slowStart = &limit
}

// SetColdTrafficAllowed sets whether this scheduler may assign requests to cold replicas. Every call
// empties the buckets of cold replicas, so call it only on a change.
func (s *Scheduler) SetColdTrafficAllowed(now structs.Instant, allowed bool) {
	s.coldTrafficAllowed, s.coldTrafficSince = allowed, now
}

// ColdTrafficAllowed reports whether this scheduler may assign requests to cold replicas.
func (s *Scheduler) ColdTrafficAllowed() bool { return s.coldTrafficAllowed }

// SetEvacuatedZones replaces the set of evacuated zones, whose replicas get no requests. Replicas in a
// zone that is no longer in the set count as cold for the ColdTime of their service, because they may
// have restarted without their new entry being known yet.
func (s *Scheduler) SetEvacuatedZones(now structs.Instant, zones map[string]bool) {
	for _, state := range s.replicaStates {
		if zone := state.entry.Zone; s.evacuatedZones[zone] && !zones[zone] {
			state.warmUp.liftedUntil = now + s.pool(state.entry.Service).coldTime()
		}
	}
	s.evacuatedZones = zones
}

func (p *servicePool) coldTime() time.Duration {
	if p.slowStart == nil {
		return 0
	}
	return p.slowStart.ColdTime
}

// isCold reports whether the replica of the pool is cold and limited, or its limit is not known yet.
func (r *replicaState) isCold(now structs.Instant, pool *servicePool) bool {
	if !r.warmUp.hasEnded && now >= max(r.warmUp.until, r.warmUp.liftedUntil, r.warmUp.startedUntil) {
		return false
	}
	return pool.slowStart == nil || pool.slowStart.isLimited()
}

// coldTokens returns how many requests the cold replica may be assigned now.
func (s *Scheduler) coldTokens(now structs.Instant, state *replicaState, pool *servicePool) int {
	if !s.coldTrafficAllowed || pool.slowStart == nil {
		return 0
	}
	state.warmUp.bucket.refill(now, s.coldTrafficSince, pool.slowStart.Rate, pool.slowStart.Burst)
	return state.warmUp.bucket.available()
}

// speedFor returns the speed learned while the replica was cold, or while it was warm.
func (r *replicaState) speedFor(isCold bool) *speed {
	if isCold {
		return &r.coldSpeed
	}
	return &r.speed
}
