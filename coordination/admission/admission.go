package admission

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/coordination/poison"
	"github.com/thornwalk/thornwalk/coordination/rollout"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// queuedRequest is a request that has no replica yet.
type queuedRequest struct {
	Request
	submittedAt structs.Instant
	// suspects is made from Doubted and shared with other requests of the node.
	suspects *suspectList
	// lengths belongs to the route, and band is the band of the expected answer in it.
	lengths *responseLengths
	band    lengthBand
	// sortLength is the effective length in the current round.
	sortLength int
	// tenant identifies the request's tenant. startTag is the start tag by its share in the current round.
	tenant   tenantHash
	startTag float64
	share    share
	// late is true if the request counts as late in the current round, and responseTime is its expected
	// response time, which is zero if it is unknown or Policy.FeasibleOrder is off.
	late         bool
	responseTime time.Duration
	// isOverloaded is true if its priority, or its tenant in that, is overloaded in the current round.
	isOverloaded bool
	// isConfined is true if the request is bound to a version and the service has replicas of others in the
	// current round.
	isConfined bool
}

// isBound reports whether only replicas of one version may run the request.
func (r *queuedRequest) isBound() bool { return r.Version != "" }

// markConfined determines which queued requests are confined to a part of the replicas.
func (p *servicePool) markConfined() {
	for _, request := range p.queue {
		request.isConfined = request.isBound() && slices.ContainsFunc(p.replicas, func(state *replicaState) bool {
			return state.entry.Version != request.Version
		})
	}
}

// assignment is a request that was assigned to a replica and has not ended.
type assignment struct {
	fingerprint fingerprint.Fingerprint
	// parts are the keys of the shared parts of the prompt.
	parts     []fingerprint.Fingerprint
	node      string
	service   string
	route     string
	replicaID string
	// startedAt identifies the replica's incarnation.
	startedAt    int64
	version      string
	promptTokens int
	assignedAt   structs.Instant
	// started is true once the answer has started, and late if it did not start in time.
	started, late bool
	// isAccepted is true once a brittle replica can no longer reject the request, and isRejected if it
	// rejected it.
	isAccepted, isRejected bool
	// isCold is true if the replica was cold at the assignment.
	isCold bool
	// mayBeSuccessor is true if the replica had ended before, so that another incarnation may have got the request.
	mayBeSuccessor bool
	workTime       responseWorkTime
	share          share
}

// servicePool is the queue and the replicas of one service.
type servicePool struct {
	queue []*queuedRequest
	// replicas holds the listed replicas only.
	replicas     []*replicaState
	meanDuration time.Duration
	// failureShare is the smoothed share of requests that fail.
	failureShare  float64
	versionPolicy rollouts.VersionPolicy
	// canaryBudget may be nil.
	canaryBudget   *rollout.CanaryBudget
	lengthsByRoute map[string]*responseLengths
	work           workEstimator
	// ledgers has the tenants' shares by priority, and no ledger in which all tenants are equal.
	ledgers map[int]*shareLedger
	// slowStart is nil until it is set; cold replicas get no requests until then.
	slowStart *SlowStart
	// responseTimes and overloads, by priority and as of overloadsAt, are used by Policy.FeasibleOrder. With
	// Policy.TenantShares tenantOverloads has the tenants that are overloaded by themselves.
	responseTimes   responseTimes
	overloads       map[int]overload
	tenantOverloads map[tenantPriority]overload
	overloadsAt     structs.Instant
	// oldestFirst keeps the oldest of equal requests first under overload, for comparisons in tests.
	oldestFirst bool
}

// Scheduler holds the queues and the assignments of all services.
type Scheduler struct {
	pools       map[string]*servicePool
	assignments map[string]*assignment
	queued      map[string]*queuedRequest
	// replicaStates has every replica that is listed or has requests in flight.
	replicaStates map[string]*replicaState
	// externalByNode has, by node and replica, the in-flight requests that other schedulers assigned.
	externalByNode map[string]map[string]int
	// suspectsByNode has the suspect list of each node's latest request with suspected replicas.
	suspectsByNode map[string]*suspectList
	// replicaSetVersion is incremented when a replica is added to or removed from replicaStates.
	replicaSetVersion int
	// snapshotBuffer is the memory of the current snapshot, reused by each snapshot.
	snapshotBuffer []replicaSnapshot
	poisonTracker  *poison.Tracker
	policy         Policy
	// decidedAt is the time of the latest round of decisions.
	decidedAt structs.Instant
	// assignmentCounts counts the assignments by fingerprint and by part.
	assignmentCounts map[fingerprint.Fingerprint]int
	// regionByZone may lack zones.
	regionByZone   map[string]string
	evacuatedZones map[string]bool
	// coldTrafficAllowed was last set at coldTrafficSince.
	coldTrafficAllowed bool
	coldTrafficSince   structs.Instant
	// followerShare is the share of all nodes that use this scheduler's assignments, zero if it is not
	// the active scheduler. It is the active one since activeSince.
	followerShare float64
	settledShare  settledShare
	activeSince   structs.Instant
	pauses        map[pauseKey]replicaPauses
	// isolatedNodes are the processes that can't reach replicas.
	isolatedNodes map[string]bool
	// keptWarmUps are the warm-ups of a scheduler that this one replaced, by replica, until SetReplicas.
	keptWarmUps map[string]keptWarmUp
	// mayHaveSuccessors is true if the incarnation of an entry may have been replaced.
	mayHaveSuccessors bool
}

// New returns a scheduler without replicas and requests, which blocks no requests.
func New() *Scheduler {
	return &Scheduler{
		poisonTracker: poison.NewTracker(poison.Policy{}), assignmentCounts: map[fingerprint.Fingerprint]int{},
		pools: map[string]*servicePool{}, assignments: map[string]*assignment{}, queued: map[string]*queuedRequest{},
		replicaStates: map[string]*replicaState{}, pauses: map[pauseKey]replicaPauses{}, externalByNode: map[string]map[string]int{}, suspectsByNode: map[string]*suspectList{},
	}
}

// SetPoisonTracker sets the tracker of requests that crash replicas. The scheduler records trials in
// it and uses it without locking.
func (s *Scheduler) SetPoisonTracker(tracker *poison.Tracker) { s.poisonTracker = tracker }

// SetIsolatedNodes sets the processes that can't reach replicas. Their late answers don't count against
// these.
func (s *Scheduler) SetIsolatedNodes(processes map[string]bool) { s.isolatedNodes = processes }

// SetRegions sets the region of each zone. Zones that are not in the map count as one region.
func (s *Scheduler) SetRegions(regionByZone map[string]string) { s.regionByZone = regionByZone }

// localityFactor returns the factor on a replica's cost for its distance.
func (s *Scheduler) localityFactor(fromZone, toZone string) float64 {
	switch {
	case fromZone == toZone:
		return 1
	case s.regionByZone[fromZone] == s.regionByZone[toZone]:
		return otherZoneFactor
	}
	return otherRegionFactor
}

// SetReplicas replaces the listed replicas. What was learned about a replica is kept if the new list
// has the same incarnation.
func (s *Scheduler) SetReplicas(now structs.Instant, all []replicas.Replica) {
	for _, pool := range s.pools {
		pool.replicas = nil
	}
	for _, state := range s.replicaStates {
		state.listed = false
	}
	for _, replica := range all {
		state := s.replicaState(replica.ID)
		if state.entry.ID != "" && !state.entry.IsSameIncarnation(replica) {
			state.forget()
		}
		if state.entry.Position != replica.Position {
			s.beginWarmUp(now, state, replica)
		}
		state.entry, state.listed = replica, true
		pool := s.pool(replica.Service)
		pool.replicas = append(pool.replicas, state)
	}
	s.keptWarmUps = nil
	s.markSuperseded()
	for id := range s.replicaStates {
		s.forgetUnused(id)
	}
}

// markSuperseded marks replicas whose address belongs to a replica with a newer entry: they have
// ended, but their entries have not expired yet. They stay listed, as the newer entry may be removed
// first. Requests sent to them reach the newer replica, which rejects them, and use up the retry budget: 4 to
// 9 of 60 requests did while six of eight replicas had restarted.
func (s *Scheduler) markSuperseded() {
	newest := map[string]structs.StorePosition{}
	for _, state := range s.replicaStates {
		if address := state.entry.Address; state.listed && address != "" {
			newest[address] = max(newest[address], state.entry.Position)
		}
	}
	for _, state := range s.replicaStates {
		state.superseded = state.listed && state.entry.Position < newest[state.entry.Address]
	}
}

// SetEjected replaces the set of ejected replicas. They get requests only if no healthy replica of their
// service can be used.
func (s *Scheduler) SetEjected(ids map[string]bool) {
	for id, state := range s.replicaStates {
		state.ejected = ids[id]
	}
}

// SetExternalInFlight replaces, by replica, the number of the node's in-flight requests that other
// schedulers assigned.
func (s *Scheduler) SetExternalInFlight(node string, counts map[string]int) {
	before := s.externalByNode[node]
	delete(s.externalByNode, node)
	if len(counts) > 0 {
		s.externalByNode[node] = counts
	}
	for id, count := range counts {
		s.replicaState(id).external += count
	}
	for id, count := range before {
		s.replicaState(id).external -= count
		s.forgetUnused(id)
	}
}

// DropNode removes all requests and reports of a node that ended.
func (s *Scheduler) DropNode(node string) {
	s.SetExternalInFlight(node, nil)
	delete(s.suspectsByNode, node)
	s.dropPauses(node)
	for id, assignment := range s.assignments {
		if assignment.node == node {
			assignment.settleDropped(s.decidedAt)
			s.removeAssignment(id)
		}
	}
	for id, request := range s.queued {
		if request.Node == node {
			s.Cancel(id)
		}
	}
}

// Nodes returns the nodes that have requests queued or in flight.
func (s *Scheduler) Nodes() map[string]bool {
	nodes := map[string]bool{}
	for _, assignment := range s.assignments {
		nodes[assignment.node] = true
	}
	for _, request := range s.queued {
		nodes[request.Node] = true
	}
	for node := range s.externalByNode {
		nodes[node] = true
	}
	return nodes
}

// Submit queues the request. It is decided by Decide. It sorts request.Doubted.
func (s *Scheduler) Submit(now structs.Instant, request Request) {
	pool := s.pool(request.Service)
	queued := &queuedRequest{Request: request, submittedAt: now, lengths: pool.lengthsOf(request.Route), tenant: hashOf(request.Tenant)}
	queued.band = queued.lengths.record(request.AnswerTokens)
	queued.suspects = s.shareSuspects(&queued.Request)
	s.queued[request.ID] = queued
	pool.queue = append(pool.queue, queued)
	pool.canaryBudget.RecordEligible(request.Route)
}

// Cancel removes a request from the queue without a decision. It does nothing if the request is not
// queued.
func (s *Scheduler) Cancel(id string) {
	request, found := s.queued[id]
	if !found {
		return
	}
	delete(s.queued, id)
	request.share.withdraw()
	pool := s.pool(request.Service)
	for i, other := range pool.queue {
		if other == request {
			pool.queue = append(pool.queue[:i], pool.queue[i+1:]...)
			return
		}
	}
}

// pool returns the pool of the service, and creates it if needed.
func (s *Scheduler) pool(service string) *servicePool {
	pool, found := s.pools[service]
	if !found {
		pool = &servicePool{meanDuration: initialMeanDuration, failureShare: minUsualShare, lengthsByRoute: map[string]*responseLengths{}}
		s.pools[service] = pool
	}
	return pool
}

// ServiceStatus is the state of one service as operators see it.
type ServiceStatus struct {
	Queued int `json:"waiting"`
	// InFlight counts the reported requests by replica.
	InFlight map[string]int `json:"used"`
	// WorkTimeFactors has the factors by replica of those that recently reported their work time.
	WorkTimeFactors map[string]float64 `json:"work_time_factors,omitempty"`
}

// Counts returns the state of every service by name.
func (s *Scheduler) Counts(now structs.Instant) map[string]ServiceStatus {
	counts := map[string]ServiceStatus{}
	for name, pool := range s.pools {
		inFlight := map[string]int{}
		for _, state := range pool.replicas {
			inFlight[state.entry.ID] = state.reportedInFlight()
		}
		counts[name] = ServiceStatus{Queued: len(pool.queue), InFlight: inFlight, WorkTimeFactors: pool.workTimeFactors(now)}
	}
	return counts
}
