package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/poison"
	"github.com/thornwalk/thornwalk/coordination/rollout"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// waiting is a request without a place.
type waiting struct {
	Request
	arrived structs.Instant
	// doubt is the request's Doubted, shared with others of its node.
	doubt *doubtList
	// sizes is what is known of the lengths of its route's answers, of which it is in the band.
	sizes *sizes
	band  band
	// size is the length that it is ordered by in this round.
	size int
}

// place is a request in progress.
type place struct {
	content fingerprint.Fingerprint
	node    string
	service string
	route   string
	replica string
	// born is that of the replica's life.
	born    int64
	version string
	prompt  int
	since   structs.Instant
	// begun is true once the prompt was read, and overdue once the answer should
	// have begun and did not.
	begun, overdue bool
	// isCold is true if the replica was cold when the request got the place.
	isCold bool
}

// service is the state of one pool.
type service struct {
	queue []*waiting
	// replicas are the listed ones.
	replicas []*replicaState
	duration time.Duration
	// failures is the smoothed share of its requests that fail.
	failures float64
	// versions says which versions get requests, and trial what those get that are judged.
	versions rollouts.VersionPolicy
	trial    *rollout.CanaryBudget
	// routes has what is known of the lengths of answers by route.
	routes map[string]*sizes
	// warming bounds what cold replicas get; nil means that it is not known.
	warming *SlowStart
}

// Scheduler holds the queues and the places of all services.
type Scheduler struct {
	services map[string]*service
	places   map[string]*place
	waits    map[string]*waiting
	// states has every replica that is listed or that requests are in progress at.
	states map[string]*replicaState
	// foreign is what each node has in progress by replica that others placed.
	foreign map[string]map[string]int
	// doubts has the list of the latest request of each node that doubts replicas.
	doubts map[string]*doubtList
	// changes counts the changes of which states there are.
	changes int
	// options is used by one round after the other.
	options []option
	// contents says which requests replicas ended under, and running counts the places of
	// the requests that ask for the same.
	poisonTracker *poison.Tracker
	running       map[fingerprint.Fingerprint]int
	// regions has the region of each zone; a zone that it lacks is one by itself.
	regions map[string]string
	// emptied are the zones whose replicas get nothing.
	emptied map[string]bool
	// warms is true if cold replicas may be given requests, which began or ended at warmsSince.
	warms      bool
	warmsSince structs.Instant
	// part is that of all nodes which follow this scheduler, zero if it does not lead, which it
	// does since leadsSince.
	part       float64
	leadsSince structs.Instant
	// pauses are those that replicas asked nodes for.
	pauses map[asker]pauses
}

// New returns an empty scheduler that bars no request.
func New() *Scheduler {
	return &Scheduler{
		poisonTracker: poison.NewTracker(poison.Policy{}), running: map[fingerprint.Fingerprint]int{},
		services: map[string]*service{}, places: map[string]*place{}, waits: map[string]*waiting{},
		states: map[string]*replicaState{}, pauses: map[asker]pauses{}, foreign: map[string]map[string]int{}, doubts: map[string]*doubtList{},
	}
}

// SetPoisonTracker has the scheduler go by the ledger of requests that replicas ended under.
func (s *Scheduler) SetPoisonTracker(contents *poison.Tracker) { s.poisonTracker = contents }

// SetRegions tells which region each zone is in.
func (s *Scheduler) SetRegions(regions map[string]string) { s.regions = regions }

// distance is how much more a replica costs by where it stands.
func (s *Scheduler) distance(from, to string) float64 {
	switch {
	case from == to:
		return 1
	case s.regions[from] == s.regions[to]:
		return otherZoneFactor
	}
	return otherRegionFactor
}

// SetReplicas replaces the known replicas.
func (s *Scheduler) SetReplicas(now structs.Instant, all []replicas.Replica) {
	for _, pool := range s.services {
		pool.replicas = nil
	}
	for _, state := range s.states {
		state.listed = false
	}
	for _, replica := range all {
		state := s.state(replica.ID)
		if state.replica.ID != "" && !state.replica.IsSameIncarnation(replica) {
			state.forget() // nothing that was learned of the life before holds
		}
		if state.replica.Position != replica.Position {
			state.warmth.until = now + replica.Warmup
		}
		state.replica, state.listed = replica, true
		pool := s.service(replica.Service)
		pool.replicas = append(pool.replicas, state)
	}
	s.supersede()
	for id := range s.states {
		s.forgetUnused(id)
	}
}

// supersede leaves out each replica whose address has passed to one with a newer entry: it has
// ended, and its own entry has not lapsed yet. What is sent to it comes to the other, which
// refuses it, and counts against the share of repeats: of 60 requests while six of eight
// replicas had started again, 4 to 9 arrived so, and none since, in the test of whole nodes.
// Both stay listed, as the newer entry may vanish first.
func (s *Scheduler) supersede() {
	newest := map[string]structs.StorePosition{}
	for _, state := range s.states {
		if address := state.replica.Address; state.listed && address != "" {
			newest[address] = max(newest[address], state.replica.Position)
		}
	}
	for _, state := range s.states {
		state.superseded = state.listed && state.replica.Position < newest[state.replica.Address]
	}
}

// SetEjected replaces the replicas that no request is sent to.
func (s *Scheduler) SetEjected(ids map[string]bool) {
	for id, state := range s.states {
		state.avoided = ids[id]
	}
}

// SetExternalInFlight records how many requests the node has in progress at each replica
// that were not placed by this scheduler.
func (s *Scheduler) SetExternalInFlight(node string, counts map[string]int) {
	before := s.foreign[node]
	delete(s.foreign, node)
	if len(counts) > 0 {
		s.foreign[node] = counts
	}
	for id, count := range counts {
		s.state(id).foreign += count
	}
	for id, count := range before {
		s.state(id).foreign -= count
		s.forgetUnused(id)
	}
}

// DropNode forgets the requests of a node that ended.
func (s *Scheduler) DropNode(node string) {
	s.SetExternalInFlight(node, nil)
	delete(s.doubts, node)
	s.dropPauses(node)
	for id, held := range s.places {
		if held.node == node {
			s.release(id)
		}
	}
	for id, held := range s.waits {
		if held.Node == node {
			s.Cancel(id)
		}
	}
}

// Nodes returns the nodes that hold places or wait for them.
func (s *Scheduler) Nodes() map[string]bool {
	nodes := map[string]bool{}
	for _, held := range s.places {
		nodes[held.node] = true
	}
	for _, held := range s.waits {
		nodes[held.Node] = true
	}
	for node := range s.foreign {
		nodes[node] = true
	}
	return nodes
}

// Submit queues the request. The next Decide may end its wait.
func (s *Scheduler) Submit(now structs.Instant, request Request) {
	pool := s.service(request.Service)
	held := &waiting{Request: request, arrived: now, sizes: pool.sizesOf(request.Route)}
	held.band = held.sizes.note(request.Answer)
	held.doubt = s.shareDoubt(&held.Request)
	s.waits[request.ID] = held
	pool.queue = append(pool.queue, held)
	pool.trial.Ask(request.Route)
}

// Cancel ends the wait of a request without a decision.
func (s *Scheduler) Cancel(id string) {
	held, found := s.waits[id]
	if !found {
		return
	}
	delete(s.waits, id)
	pool := s.service(held.Service)
	for i, other := range pool.queue {
		if other == held {
			pool.queue = append(pool.queue[:i], pool.queue[i+1:]...)
			return
		}
	}
}

func (s *Scheduler) service(name string) *service {
	pool, found := s.services[name]
	if !found {
		pool = &service{duration: initialDuration, failures: leastShare, routes: map[string]*sizes{}}
		s.services[name] = pool
	}
	return pool
}

// Count is the state of one service for operators.
type Count struct {
	Waiting int            `json:"waiting"`
	Used    map[string]int `json:"used"`
}

// Counts returns the state of every service.
func (s *Scheduler) Counts() map[string]Count {
	counts := map[string]Count{}
	for name, pool := range s.services {
		used := map[string]int{}
		for _, state := range pool.replicas {
			used[state.replica.ID] = state.reported()
		}
		counts[name] = Count{Waiting: len(pool.queue), Used: used}
	}
	return counts
}
