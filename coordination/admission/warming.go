package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// A replica that started lately is cold: it bears few requests a second, counted over all nodes,
// and falls over under more. It may also be cold when the operators take its zone back.
//
// The bound holds by construction, as that of the retry budget does. A cold replica gets requests
// only from a scheduler that leads and reaches most nodes, and of these at most two exist at a
// time, one of which does not know of the other. Each has half of the bound, in a bank that begins
// empty when it starts to lead: whoever led before gave from a bank of its own.

// SlowStart bounds what each cold replica of a service gets. The zero value is no bound.
type SlowStart struct {
	// Rate is paid into the replica's bank, in requests a second, and Burst is what it holds.
	Rate, Burst float64
	// Time is how long a replica counts as cold whose zone is taken back.
	Time time.Duration
}

// burstPart is the part of its share of the bound that a scheduler's bank holds. The more it
// holds, the less is paid into it.
const burstPart = 0.25

// concurrentSchedulers is how many schedulers share the bound.
const concurrentSchedulers = 2

// NewSlowStart returns the bound of one scheduler where all nodes together may send a cold replica
// so many requests in any second; zero means any. A share too small for a whole request is none.
func NewSlowStart(allowed float64, coldTime time.Duration) SlowStart {
	if allowed <= 0 {
		return SlowStart{}
	}
	share := allowed / concurrentSchedulers
	burst := max(burstPart*share, 1)
	return SlowStart{Rate: max(share-burst, 0), Burst: min(burst, share), Time: coldTime}
}

// isBound returns whether cold replicas are spared at all.
func (w SlowStart) isBound() bool { return w.Burst > 0 }

// warmth is what is known of how cold a replica is.
type warmth struct {
	// until is when it is warm by its own account, and returns until when it counts as cold
	// since its zone was taken back.
	until, returns structs.Instant
	bank           bank
}

// SetSlowStart replaces the bound for the service's cold replicas. Until it was called they get
// nothing: how much they bear is not known.
func (s *Scheduler) SetSlowStart(service string, warming SlowStart) {
	s.service(service).warming = &warming
}

// SetColdTrafficAllowed tells whether this scheduler may send to cold replicas. Each call empties all banks, so
// it is made when that begins or ends.
func (s *Scheduler) SetColdTrafficAllowed(now structs.Instant, warms bool) {
	s.warms, s.warmsSince = warms, now
}

// ColdTrafficAllowed returns whether this scheduler may send to cold replicas.
func (s *Scheduler) ColdTrafficAllowed() bool { return s.warms }

// SetEvacuatedZones replaces the zones whose replicas get nothing. The replicas of one that is taken back
// count as cold for a while: they may have started meanwhile and not have told so yet.
func (s *Scheduler) SetEvacuatedZones(now structs.Instant, zones map[string]bool) {
	for _, state := range s.states {
		if zone := state.replica.Zone; s.emptied[zone] && !zones[zone] {
			state.warmth.returns = now + s.service(state.replica.Service).coldTime()
		}
	}
	s.emptied = zones
}

func (s *service) coldTime() time.Duration {
	if s.warming == nil {
		return 0
	}
	return s.warming.Time
}

// isCold returns whether the replica of the service gets requests from its bank only.
func (r *replicaState) isCold(now structs.Instant, pool *service) bool {
	if now >= max(r.warmth.until, r.warmth.returns) {
		return false
	}
	return pool.warming == nil || pool.warming.isBound()
}

// coldRoom returns how many requests the cold replica may be given now.
func (s *Scheduler) coldRoom(now structs.Instant, state *replicaState, pool *service) int {
	if !s.warms || pool.warming == nil {
		return 0
	}
	state.warmth.bank.fill(now, s.warmsSince, pool.warming.Rate, pool.warming.Burst)
	return state.warmth.bank.room()
}

// pace returns what was learned of the replica while it was as warm or cold as it is.
func (r *replicaState) pace(isCold bool) *speed {
	if isCold {
		return &r.coldSpeed
	}
	return &r.speed
}
