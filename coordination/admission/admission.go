package admission

import (
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// Request is what the scheduler knows of a request that wants a place.
type Request struct {
	// ID is unique over all nodes and tries.
	ID string
	// Node is the process that asks, with its incarnation.
	Node     string
	Service  string
	Priority int
	// Prompt counts tokens and Answer is a guess at those of the answer; both are
	// zero for plain services.
	Prompt int
	Answer int
	// Yields is true if the request leaves some places free for more urgent ones.
	Yields bool
	// Deadline is the time until nobody waits for the answer any more.
	Deadline time.Duration
	// Target is what is left of the time within which the first part of the
	// answer earns its full credit.
	Target time.Duration
	// Patience is the longest time to wait for a place.
	Patience time.Duration
	// Returned is true if the request was refused before and came back.
	Returned bool
	// Avoid names replicas that must not be chosen.
	Avoid []string
}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonNone is the reason of a decision that gives a place.
	ReasonNone Reason = ""
	// ReasonNoReplica means that the service has no usable replica.
	ReasonNoReplica Reason = "no-replica"
	// ReasonNoPlace means that no place became free in time.
	ReasonNoPlace Reason = "no-place"
	// ReasonDeadline means that no replica is fast enough for the answer.
	ReasonDeadline Reason = "too-long-for-deadline"
	// ReasonBacklog means that the work ahead takes longer than the request can wait.
	ReasonBacklog Reason = "backlog"
)

// Decision ends the wait of a request.
type Decision struct {
	ID      string
	Replica replicas.Replica
	// Reason is empty if the replica was given.
	Reason Reason
	// RetryAfter tells a refused caller when to come back.
	RetryAfter time.Duration
	Waited     time.Duration
}

// Observation is how a request with a place ended.
type Observation struct {
	// FirstEvent is the time from the send to the first part of the answer, and
	// Duration to its end; zero if there was none.
	FirstEvent time.Duration
	Duration   time.Duration
	// Events counts the parts of a stream and Stride the tokens in one of them.
	Events int
	Stride int
	// Left is true if the caller gave up, which says nothing of the replica.
	Left bool
	// Failed is true if the replica broke off, failed or was silent.
	Failed bool
}

// waiting is a request without a place.
type waiting struct {
	Request
	arrived structs.Instant
}

// place is a request in progress.
type place struct {
	node    string
	service string
	replica string
	prompt  int
	since   structs.Instant
	// begun is true once the prompt was read.
	begun bool
}

// service is the state of one pool.
type service struct {
	queue    []*waiting
	duration time.Duration
}

// speed is what was learned of one replica.
type speed struct {
	// step is the mean time between two tokens of a stream, or the mean time of
	// an answer of a plain service.
	step    time.Duration
	samples int
}

// Tuning constants, chosen by runs on the bench; see docs/decisions.
const (
	// reservedShare is the share of a service's places kept for the more urgent.
	reservedShare = 0.06
	// fixedTokens is the fixed cost of a request, in prompt tokens.
	fixedTokens = 2000
	// runningTokens is the cost that each running request adds.
	runningTokens = 300
	// prefillTime is how long a prompt of a newly placed request counts as unread.
	prefillTime = time.Second
	// hiddenMemory is how long work that no node reports is reckoned with.
	hiddenMemory = 800 * time.Millisecond
	// initialDuration is the assumed time of a request until one was observed.
	initialDuration = 500 * time.Millisecond
	// minimumRetry and maximumRetry bound what a refused caller is told.
	minimumRetry = 300 * time.Millisecond
	maximumRetry = 2 * time.Second
	// retryShare is the part of the time left after which a caller may come back.
	retryShare = 0.32
	// refuseShare is the part of the target within which a request that would be
	// late is refused, and startShare that by which it must have started.
	refuseShare = 0.18
	startShare  = 0.75
	// smoothing is the weight of a new observation.
	smoothing = 0.15
	// fitShare is the part of the time left that an answer may be expected to take.
	fitShare = 0.95
	// maximumQueue bounds the waiting requests of a service.
	maximumQueue = 4000
	// placeLimit is the age at which a place is taken for lost.
	placeLimit = 60 * time.Second
)

// Scheduler holds the queues and the places of all services.
type Scheduler struct {
	services map[string]*service
	places   map[string]*place
	waits    map[string]*waiting
	replicas map[string][]replicas.Replica
	used     map[string]int
	foreign  map[string]map[string]int
	speeds   map[string]*speed
	avoided  map[string]bool
	hidden   map[string]hiddenLoad
	conducts map[string]*conduct
}

// hiddenLoad is work at a replica that no node reports: it was sent by a process
// that ended, or by nodes that are cut off.
type hiddenLoad struct {
	count int
	at    structs.Instant
}

// New returns an empty scheduler.
func New() *Scheduler {
	return &Scheduler{
		services: map[string]*service{}, places: map[string]*place{}, waits: map[string]*waiting{},
		replicas: map[string][]replicas.Replica{}, used: map[string]int{}, foreign: map[string]map[string]int{},
		speeds: map[string]*speed{}, avoided: map[string]bool{}, hidden: map[string]hiddenLoad{}, conducts: map[string]*conduct{},
	}
}

// SetReplicas replaces the known replicas.
func (s *Scheduler) SetReplicas(all []replicas.Replica) {
	s.replicas = map[string][]replicas.Replica{}
	known := make(map[string]bool, len(all))
	for _, replica := range all {
		known[replica.ID] = true
		s.replicas[replica.Service] = append(s.replicas[replica.Service], replica)
	}
	for id := range s.speeds {
		if !known[id] {
			delete(s.speeds, id)
		}
	}
	for id := range s.hidden {
		if !known[id] {
			delete(s.hidden, id)
		}
	}
	for id := range s.conducts {
		if !known[id] {
			delete(s.conducts, id)
		}
	}
}

// SetAvoided replaces the replicas that no request is sent to.
func (s *Scheduler) SetAvoided(ids map[string]bool) { s.avoided = ids }

// SetForeign records how many requests the node has in progress at each replica
// that were not placed by this scheduler.
func (s *Scheduler) SetForeign(node string, counts map[string]int) {
	if len(counts) == 0 {
		delete(s.foreign, node)
		return
	}
	s.foreign[node] = counts
}

// DropNode forgets the requests of a node that ended.
func (s *Scheduler) DropNode(node string) {
	delete(s.foreign, node)
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
	held := &waiting{Request: request, arrived: now}
	s.waits[request.ID] = held
	pool := s.service(request.Service)
	pool.queue = append(pool.queue, held)
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

// Begun records that the answer to a request began. Load is the number of
// requests that the replica then said to have, or negative; what exceeds the
// known ones is work that no node reports.
func (s *Scheduler) Begun(now structs.Instant, id string, load int) {
	held, found := s.places[id]
	if !found {
		return
	}
	held.begun = true
	if load < 0 {
		return
	}
	s.hidden[held.replica] = hiddenLoad{count: max(0, load-s.reported(held.replica)), at: now}
}

// Finish frees the place of a request and learns from how it ended.
func (s *Scheduler) Finish(now structs.Instant, id string, seen Observation) {
	held, found := s.places[id]
	if !found {
		return
	}
	s.release(id)
	if !seen.Left {
		s.judge(now, held.service, held.replica, seen.Failed)
	}
	if seen.Failed || seen.Left || seen.Duration <= 0 {
		return
	}
	pool := s.service(held.service)
	pool.duration = smooth(pool.duration, seen.Duration)
	step := seen.Duration
	if seen.Events > 1 {
		step = (seen.Duration - seen.FirstEvent) / time.Duration(seen.Events-1) / time.Duration(max(seen.Stride, 1))
	} else if seen.Events == 1 {
		return
	}
	learned, known := s.speeds[held.replica]
	if !known {
		learned = &speed{step: step}
		s.speeds[held.replica] = learned
	}
	learned.step = smooth(learned.step, step)
	learned.samples++
}

func smooth(before, seen time.Duration) time.Duration {
	if before == 0 {
		return seen
	}
	return before + time.Duration(smoothing*float64(seen-before))
}

func (s *Scheduler) release(id string) {
	held := s.places[id]
	delete(s.places, id)
	if s.used[held.replica]--; s.used[held.replica] <= 0 {
		delete(s.used, held.replica)
	}
}

func (s *Scheduler) service(name string) *service {
	pool, found := s.services[name]
	if !found {
		pool = &service{duration: initialDuration}
		s.services[name] = pool
	}
	return pool
}

// Decide places and refuses what can be decided now.
func (s *Scheduler) Decide(now structs.Instant) []Decision {
	var decisions []Decision
	names := make([]string, 0, len(s.services))
	for name, pool := range s.services {
		if len(pool.queue) > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		decisions = s.decideService(now, name, decisions)
	}
	return decisions
}

// Sweep frees places so old that their end must have been lost.
func (s *Scheduler) Sweep(now structs.Instant) {
	for id, held := range s.places {
		if now-held.since > placeLimit {
			s.release(id)
		}
	}
}

func (s *Scheduler) decideService(now structs.Instant, name string, decisions []Decision) []Decision {
	pool := s.services[name]
	room := s.measure(now, name)
	sortQueue(now, pool.queue)
	kept := pool.queue[:0]
	ahead := 0
	for _, held := range pool.queue {
		decision, done := s.decideOne(now, held, room, ahead)
		if !done {
			kept = append(kept, held)
			ahead++
			continue
		}
		delete(s.waits, held.ID)
		decisions = append(decisions, decision)
	}
	clear(pool.queue[len(kept):])
	pool.queue = kept
	return decisions
}

// sortQueue orders by priority, then those that can still be in time, the
// shortest answers first, then the late ones by arrival.
func sortQueue(now structs.Instant, queue []*waiting) {
	sort.SliceStable(queue, func(i, j int) bool {
		a, b := queue[i], queue[j]
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		aLate, bLate := now > a.arrived+a.Target, now > b.arrived+b.Target
		if aLate != bLate {
			return bLate
		}
		if !aLate && a.Answer != b.Answer {
			return a.Answer < b.Answer
		}
		return a.arrived+a.Target < b.arrived+b.Target
	})
}

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
	used    int
	unread  int
	slow    float64
	// step is the learned time between two tokens; zero if it is not known.
	step time.Duration
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
		if replica.Draining || s.isAside(now, replica.ID) {
			continue
		}
		choice := &option{replica: replica, used: s.usage(now, replica.ID), slow: s.slowness(replica.ID, fastest), step: s.step(replica.ID)}
		if s.onTrial(replica.ID) {
			choice.replica.Slots = 1
		}
		byID[replica.ID] = choice
		measured.options = append(measured.options, choice)
		measured.total += replica.Slots
		if !s.avoided[replica.ID] {
			measured.free += max(0, replica.Slots-choice.used)
		}
	}
	for _, held := range s.places {
		if choice, found := byID[held.replica]; found && !held.begun && now-held.since < prefillTime {
			choice.unread += held.prompt
		}
	}
	return measured
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
		if learned, known := s.speeds[replica.ID]; known && (fastest == 0 || learned.step < fastest) {
			fastest = learned.step
		}
	}
	return fastest
}

func (s *Scheduler) step(id string) time.Duration {
	if learned, known := s.speeds[id]; known {
		return learned.step
	}
	return 0
}

// slowness is how much longer a replica takes than the fastest of its service.
func (s *Scheduler) slowness(id string, fastest time.Duration) float64 {
	learned, known := s.speeds[id]
	if !known || fastest <= 0 {
		return 1
	}
	return float64(learned.step) / float64(fastest)
}

func (s *Scheduler) decideOne(now structs.Instant, held *waiting, room *room, ahead int) (Decision, bool) {
	decision := Decision{ID: held.ID, Waited: now - held.arrived}
	if len(room.options) == 0 {
		decision.Reason, decision.RetryAfter = ReasonNoReplica, minimumRetry
		return decision, decision.Waited >= held.Patience
	}
	left := held.Deadline - decision.Waited
	if held.Answer > 0 && !room.canServe(held.Answer, left) {
		decision.Reason, decision.RetryAfter = ReasonDeadline, maximumRetry
		return decision, true
	}
	if chosen := s.choose(held, room, left); chosen != nil {
		chosen.used++
		chosen.unread += held.Prompt
		room.free--
		s.used[chosen.replica.ID]++
		s.places[held.ID] = &place{node: held.Node, service: held.Service, replica: chosen.replica.ID, prompt: held.Prompt, since: now}
		decision.Replica = chosen.replica
		return decision, true
	}
	expected := room.wait(ahead)
	decision.RetryAfter = retryAfter(expected, left)
	if decision.Waited >= held.Patience {
		decision.Reason = ReasonNoPlace
		return decision, true
	}
	late := decision.Waited+expected > time.Duration(float64(held.Target)*startShare)
	if !held.Returned && late && decision.Waited >= time.Duration(float64(held.Target)*refuseShare) || ahead > maximumQueue {
		decision.Reason = ReasonBacklog
		return decision, true
	}
	return Decision{}, false
}

// retryAfter tells a refused caller to come back when the work ahead is done,
// as late as it can be without taking the caller's time for the answer.
func retryAfter(expected, left time.Duration) time.Duration {
	longest := time.Duration(float64(left) * retryShare)
	return min(max(expected, minimumRetry, longest/2), max(longest, minimumRetry))
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

// choose returns the best replica with a free place, or nil.
func (s *Scheduler) choose(held *waiting, room *room, left time.Duration) *option {
	if held.Yields && float64(room.free) <= reservedShare*float64(room.total) && held.Prompt > 0 {
		return nil
	}
	var best *option
	var bestCost float64
	for _, choice := range room.options {
		if choice.used >= choice.replica.Slots || s.avoided[choice.replica.ID] || contains(held.Avoid, choice.replica.ID) || !choice.fits(held.Answer, left) {
			continue
		}
		cost := choice.cost(held.Prompt)
		if best == nil || cost < bestCost {
			best, bestCost = choice, cost
		}
	}
	return best
}

// cost is the expected time of a prompt at the replica, in tokens that the
// fastest replica reads meanwhile.
func (o *option) cost(prompt int) float64 {
	return o.slow * float64(fixedTokens+o.unread+prompt+o.used*runningTokens)
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
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
		for _, replica := range s.replicas[name] {
			used[replica.ID] = s.reported(replica.ID)
		}
		counts[name] = Count{Waiting: len(pool.queue), Used: used}
	}
	return counts
}
