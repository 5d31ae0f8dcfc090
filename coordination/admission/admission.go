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

// Request is what the scheduler knows of a request that wants a place.
type Request struct {
	// ID is unique over all nodes and tries.
	ID string
	// Node is the process that asks, with its incarnation.
	Node    string
	Service string
	// Route names the operators' route, on which versions of a service are compared.
	Route string
	// Zone is the asking node's.
	Zone     string
	Priority int
	// Prompt counts tokens and Answer is a guess at those of the answer; both are
	// zero for plain services.
	Prompt int
	Answer int
	// Stride is the tokens in one event of the answer, and Pause the longest time
	// between two events at which the answer is still in time; zero means any.
	Stride int
	Pause  time.Duration
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
	// Content is equal for requests that ask for the same.
	Content fingerprint.Fingerprint
	// Tried names replicas that the request came to before and that must not be
	// chosen again.
	Tried []string
	// Doubted names replicas that the asking node finds failing; they are chosen
	// only if there is no other.
	Doubted []string
}

// After returns the request as it is once so much time has passed.
func (r Request) After(passed time.Duration) Request {
	r.Deadline = max(r.Deadline-passed, 0)
	r.Target = max(r.Target-passed, 0)
	r.Patience = max(r.Patience-passed, 0)
	return r
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
	// ReasonSuspect means that another try of the request, under which a replica ended, runs.
	ReasonSuspect Reason = "suspect"
	// ReasonBarred means that too many replicas ended under the request.
	ReasonBarred Reason = "barred"
)

// Decision ends the wait of a request.
type Decision struct {
	ID      string
	Replica replicas.Replica
	// Reason is empty if the replica was given.
	Reason Reason
	// Trial is true if the request is barred and was given the replica all the same.
	Trial bool
	// RetryAfter tells a refused caller when to come back.
	RetryAfter time.Duration
	Waited     time.Duration
	// Ahead is how many requests were before it, Free the places that were free and
	// Expected the wait that was predicted.
	Ahead, Free int
	Expected    time.Duration
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
	// Whole is true if the replica gave its whole answer, be it a failure.
	Whole bool
}

// waiting is a request without a place.
type waiting struct {
	Request
	arrived structs.Instant
	// doubt is the request's Doubted, shared with others of its node.
	doubt *doubtList
}

// place is a request in progress.
type place struct {
	content fingerprint.Fingerprint
	node    string
	service string
	route   string
	replica string
	version string
	prompt  int
	since   structs.Instant
	// begun is true once the prompt was read, and overdue once the answer should
	// have begun and did not.
	begun, overdue bool
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
	trial    *rollout.Exposure
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
	contents *poison.Ledger
	running  map[fingerprint.Fingerprint]int
}

// New returns an empty scheduler that bars no request.
func New() *Scheduler {
	return &Scheduler{
		contents: poison.NewLedger(poison.Policy{}), running: map[fingerprint.Fingerprint]int{},
		services: map[string]*service{}, places: map[string]*place{}, waits: map[string]*waiting{},
		states: map[string]*replicaState{}, foreign: map[string]map[string]int{}, doubts: map[string]*doubtList{},
	}
}

// SetContents has the scheduler go by the ledger of requests that replicas ended under.
func (s *Scheduler) SetContents(contents *poison.Ledger) { s.contents = contents }

// SetReplicas replaces the known replicas.
func (s *Scheduler) SetReplicas(all []replicas.Replica) {
	for _, pool := range s.services {
		pool.replicas = nil
	}
	for _, state := range s.states {
		state.listed = false
	}
	for _, replica := range all {
		state := s.state(replica.ID)
		if state.replica.ID != "" && !state.replica.IsSameLife(replica) {
			state.forget() // nothing that was learned of the life before holds
		}
		state.replica, state.listed = replica, true
		pool := s.service(replica.Service)
		pool.replicas = append(pool.replicas, state)
	}
	for id := range s.states {
		s.forgetUnused(id)
	}
}

// SetAvoided replaces the replicas that no request is sent to.
func (s *Scheduler) SetAvoided(ids map[string]bool) {
	for id, state := range s.states {
		state.avoided = ids[id]
	}
}

// SetForeign records how many requests the node has in progress at each replica
// that were not placed by this scheduler.
func (s *Scheduler) SetForeign(node string, counts map[string]int) {
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
	s.SetForeign(node, nil)
	delete(s.doubts, node)
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
	held.doubt = s.shareDoubt(&held.Request)
	s.waits[request.ID] = held
	pool := s.service(request.Service)
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
	state := s.state(held.replica)
	state.hidden = hiddenLoad{count: max(0, load-state.reported()), at: now}
}

// Ended is a request with a place that ended.
type Ended struct {
	Content                 fingerprint.Fingerprint
	Service, Route, Replica string
	// Version is the replica's.
	Version string
	// Prompt counts tokens.
	Prompt int
	// Placed is when it got its place.
	Placed structs.Instant
}

// Finish frees the place of a request and learns from how it ended. It returns false if
// the request had no place here.
func (s *Scheduler) Finish(now structs.Instant, id string, seen Observation) (Ended, bool) {
	held, found := s.places[id]
	if !found {
		return Ended{}, false
	}
	ended := Ended{Content: held.content, Service: held.service, Route: held.route, Replica: held.replica, Version: held.version, Prompt: held.prompt, Placed: held.since}
	s.release(id)
	if !seen.Left && !held.overdue {
		s.judge(now, held.service, held.replica, seen.Failed)
	}
	if seen.Failed || seen.Left || seen.Duration <= 0 {
		return ended, true
	}
	pool := s.service(held.service)
	pool.duration = smooth(pool.duration, seen.Duration)
	s.learn(held, seen)
	return ended, true
}

// Observe learns from a request of the service that another scheduler placed at the
// replica, so that this one knows the replicas when it takes over.
func (s *Scheduler) Observe(service, replica string, prompt int, seen Observation) {
	if seen.Failed || seen.Left || seen.Duration <= 0 {
		return
	}
	pool := s.service(service)
	pool.duration = smooth(pool.duration, seen.Duration)
	s.learn(&place{service: service, replica: replica, prompt: prompt}, seen)
}

// learn takes the pace of the replica from a request that ended well.
func (s *Scheduler) learn(held *place, seen Observation) {
	learned := &s.state(held.replica).speed
	if seen.Events > 0 && held.prompt > 0 && !held.overdue {
		learned.reading.observe(held.prompt, seen.FirstEvent)
	}
	step := seen.Duration
	switch {
	case seen.Events > 1:
		step = (seen.Duration - seen.FirstEvent) / time.Duration(seen.Events-1) / time.Duration(max(seen.Stride, 1))
	case seen.Events == 1:
		return
	}
	learned.step = smooth(learned.step, step)
}

func smooth(before, seen time.Duration) time.Duration {
	if before == 0 {
		return seen
	}
	return before + time.Duration(smoothing*float64(seen-before))
}

// occupy enters a request that was given a place.
func (s *Scheduler) occupy(id string, held *place) {
	s.places[id] = held
	s.running[held.content]++
	state := s.state(held.replica)
	state.used++
	state.reading = append(state.reading, held)
}

func (s *Scheduler) release(id string) {
	held := s.places[id]
	delete(s.places, id)
	if s.running[held.content]--; s.running[held.content] <= 0 {
		delete(s.running, held.content)
	}
	held.begun = true // its prompt is no longer read
	s.state(held.replica).used--
	s.forgetUnused(held.replica)
}

func (s *Scheduler) service(name string) *service {
	pool, found := s.services[name]
	if !found {
		pool = &service{duration: initialDuration, failures: leastShare}
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
