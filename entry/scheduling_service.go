package entry

import (
	"context"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/poison"
	"github.com/thornwalk/thornwalk/coordination/quota"
	"github.com/thornwalk/thornwalk/coordination/rejections"
	"github.com/thornwalk/thornwalk/coordination/retrybudget"
	"github.com/thornwalk/thornwalk/coordination/returns"
	"github.com/thornwalk/thornwalk/coordination/rollout"
	"github.com/thornwalk/thornwalk/coordination/tenantstats"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// takeoverBurstShare is the share of a burst that new buckets hold at a scheduling node that
	// does not know what others granted.
	takeoverBurstShare = 0.1
	// minRestartTime is the minimum time between the end of all processes and the first requests of
	// the next ones, in which no quota was granted; processes take about 0.5 s. It is credited only until
	// restartCreditTime
	// after the start, as other nodes may have granted quotas later.
	minRestartTime    = 400 * time.Millisecond
	restartCreditTime = 3 * time.Second
	// quotaSettleTime is how long a new process waits for other nodes' quota usage. They answer its
	// first heartbeat; the time covers lost ones.
	quotaSettleTime = time.Second
)

// requestCharge is what a queued or assigned request was charged, to settle it at the end.
type requestCharge struct {
	tenant      string
	cost        float64
	fingerprint fingerprint.Fingerprint
	service     string
	priority    int
	// retryPermit is the permit of the retry budget until the request is assigned, and usedPermit is it from then on.
	retryPermit retrybudget.Permit
	usedPermit  retrybudget.UsedPermit
	// mayHaveRun is that of the assignRequest.
	mayHaveRun bool
}

// schedulingService is the scheduling side of a node: it assigns the requests of every node that
// regards this one as scheduling node, itself included. It is safe for concurrent use.
type schedulingService struct {
	mutex       sync.Mutex
	clock       func() structs.Instant
	scheduler   *admission.Scheduler
	quotas      *quota.Buckets
	retryBudget *retrybudget.Budget
	term        uint64
	// quotaShare is the share of the quotas that this node may grant, and isActive is true while
	// this node is the active scheduler.
	quotaShare float64
	isActive   bool
	// epoch counts the times that this node became active, last at activeSince.
	epoch       uint64
	activeSince structs.Instant
	// regions maps zones to regions.
	regions map[string]string
	// evacuatedZones get no requests, and slowStarts limits the traffic to cold replicas, by
	// service.
	evacuatedZones map[string]bool
	slowStarts     map[string]admission.SlowStart
	// isFirst is true if no other process can have granted quotas before.
	isFirst bool
	policy  schedulingPolicy
	shareLevelState
	// pending has, by ID, the channels on which the decisions on queued requests are sent.
	pending map[string]chan admission.Decision
	charges map[string]requestCharge
	// cancellations are kept when the state is cleared: a cancelled request stays so in every term.
	cancellations    cancellations
	recentRejections *rejections.Recent
	// returnPlanner is used if the policy has planned returns, and onReturn is called, with the mutex
	// held, with each of its outcomes.
	returnPlanner *returns.Planner
	onReturn      func(returns.Outcome)
	// stats counts by tenant for operators, since the state was last cleared or the role changed. It keeps
	// the explanations of rejections when the role changes.
	stats *tenantstats.Recorder
	// onRejection is called, with the mutex held, with the reason of each rejection.
	onRejection   func(reason string)
	rolloutPolicy rollout.Policy
	// poisonTracker holds the poison records. Reset keeps it: a crash stays true whichever node
	// schedules.
	poisonTracker *poison.Tracker
	// onPoisonTransition is called, with the mutex held, at each change of a request's poison
	// state.
	onPoisonTransition func(outcome string, record poisonrecords.Record)
	// controllers step the roll-outs of services while this node is active, and maxResponseTimes has
	// a decaying maximum of each service's response times.
	controllers      map[string]*rollout.Controller
	maxResponseTimes map[string]time.Duration
	// timer starts the next round of decisions.
	timer *time.Timer
	// decidedAt is the time of the last round of decisions.
	decidedAt structs.Instant
}

func newSchedulingService(clock func() structs.Instant, policy retrybudget.Policy, isFirst bool) *schedulingService {
	s := &schedulingService{
		clock: clock, decidedAt: -minDecideInterval, quotaShare: 1, isFirst: isFirst, term: 1,
		retryBudget: retrybudget.New(policy, isFirst), poisonTracker: poison.NewTracker(poison.DefaultPolicy()),
		onPoisonTransition: func(string, poisonrecords.Record) {}, onReturn: func(returns.Outcome) {}, onRejection: func(string) {},
	}
	s.clearState()
	s.quotas.CreditDowntime(minRestartTime, clock()+restartCreditTime)
	s.timer = time.AfterFunc(time.Hour, s.decideOnTimer)
	return s
}

func (s *schedulingService) clearState() {
	former := s.scheduler
	s.scheduler = admission.New()
	if former != nil {
		s.scheduler.KeepWarmUps(former)
	}
	s.scheduler.SetPoisonTracker(s.poisonTracker)
	s.scheduler.SetRegions(s.regions)
	s.scheduler.SetPolicy(s.policy.admission)
	s.scheduler.SetEvacuatedZones(s.clock(), s.evacuatedZones)
	s.applySlowStarts()
	start := takeoverBurstShare
	if s.isFirst {
		start = 1
		s.isFirst = false
	}
	s.quotas = quota.NewBuckets(start)
	if start < 1 {
		s.quotas.SetAuthoritativeAt(s.clock() + quotaSettleTime)
	}
	s.awaitShareLevels()
	s.pending = map[string]chan admission.Decision{}
	s.charges = map[string]requestCharge{}
	s.recentRejections = rejections.New()
	s.clearReturns()
	s.stats = tenantstats.New(s.clock())
	s.controllers, s.maxResponseTimes = map[string]*rollout.Controller{}, map[string]time.Duration{}
}

// reset drops all assignments and queued requests after a suspension, in which other nodes may have
// scheduled. It returns the new term.
func (s *schedulingService) reset(all []replicas.Replica, policies map[string]rollouts.VersionPolicy) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, decided := range s.pending {
		close(decided)
	}
	s.clearState()
	s.epoch++
	s.activeSince = s.clock()
	s.retryBudget.Reset()
	for service, policy := range policies {
		s.scheduler.SetVersions(service, policy)
	}
	s.scheduler.SetReplicas(s.clock(), all)
	s.updateColdTraffic()
	s.term++
	return s.term
}

// majorityShare is the share of nodes that only one side of a partition can exceed.
const majorityShare = 0.5

// setShare sets the share of the quotas that may be granted and the policy of the retry budget.
func (s *schedulingService) setShare(share float64, policy retrybudget.Policy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.poisonTracker.SetTrialsAllowed(share > majorityShare)
	s.quotaShare = share
	s.updateColdTraffic()
	s.retryBudget.SetPolicy(policy)
}

// retryStats returns the retry budget's counts by service.
func (s *schedulingService) retryStats() map[string]retrybudget.Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.retryBudget.Stats(s.clock())
}

// setRegions sets the region of each zone.
func (s *schedulingService) setRegions(regions map[string]string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.regions = regions
	s.scheduler.SetRegions(regions)
}

// setActive sets whether this node is the active scheduler.
func (s *schedulingService) setActive(isActive bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.releaseQueuedRetries()
	s.changeSharing(isActive)
	s.isActive = isActive
	s.stats.Restart(s.clock())
	s.updateColdTraffic()
	if isActive {
		s.epoch++
		s.activeSince = s.clock()
		s.retryBudget.Activate()
	} else {
		s.retryBudget.Deactivate()
		// The next active scheduler continues from the record; the unused canary budget is lost.
		for service := range s.controllers {
			s.scheduler.SetCanaryBudget(service, nil)
		}
		clear(s.controllers)
	}
}

// releaseQueuedRetries makes queued retries ask the new scheduling node, as their permits are void
// when the scheduling node changes. The caller holds the mutex.
func (s *schedulingService) releaseQueuedRetries() {
	for id, charge := range s.charges {
		decided, isPending := s.pending[id]
		if !isPending || charge.retryPermit == (retrybudget.Permit{}) {
			continue
		}
		s.scheduler.Cancel(id)
		delete(s.pending, id)
		delete(s.charges, id)
		s.quotas.Refund(charge.tenant, charge.cost)
		close(decided)
	}
}

// update changes the scheduler and makes the decisions that this allows.
func (s *schedulingService) update(change func(*admission.Scheduler)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s.scheduler)
	s.decide()
}

// assign queues the request and blocks until there is a decision on it or the context ends.
func (s *schedulingService) assign(ctx context.Context, request *assignRequest) *assignReply {
	decided, rejection := s.submit(request)
	if rejection != nil {
		return rejection
	}
	select {
	case decision, open := <-decided:
		if !open {
			return &assignReply{Reason: reasonUnreachable}
		}
		return &assignReply{
			Limit:   s.limitReport(decision),
			Replica: decision.Replica, Reason: string(decision.Reason),
			RetryAfter: decision.RetryAfter, Waited: decision.Waited, Term: s.currentTerm(),
			Waiting: decision.QueuedAhead, Free: decision.FreeSlots, Expected: decision.ExpectedWait,
			BlockedBy: blockedBy(decision),
		}
	case <-ctx.Done():
		s.finish(&finishRequest{ID: request.Request.ID, NotRun: true, Unsent: true}) // a grant made meanwhile is not delivered
		return &assignReply{Reason: reasonUnreachable}
	}
}

// limitReport returns what is known of the rate limit of the assigned replica, or nil.
func (s *schedulingService) limitReport(decision admission.Decision) *pushback.Report {
	if decision.Limit.Limit.State == pushback.LimitUnknown {
		return nil
	}
	report := decision.Limit.ReportOf(s.clock(), pushback.IncarnationOf(decision.Replica))
	return &report
}

func (s *schedulingService) currentTerm() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.term
}

// submit charges the quota and the retry budget and queues the request. It returns the channel of
// the decision, which is closed without one if the request has to ask another node, or the
// rejection. A request that is already cancelled is charged nothing and rejected.
func (s *schedulingService) submit(request *assignRequest) (chan admission.Decision, *assignReply) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	if request.Known != nil {
		s.mergePoisonLocked(now, []poisonrecords.Record{*request.Known})
	}
	s.mergePoisonLocked(now, request.KnownParts)
	for _, report := range request.PushbackReports {
		s.scheduler.ApplyPushbackReport(now, report)
	}
	for _, report := range request.RejectionLimits {
		s.scheduler.ApplyRejectionLimit(now, report)
	}
	s.scheduler.SetPauses(now, request.Request.Node, request.Request.Service, request.PushbackReports)
	if request.First {
		s.retryBudget.RecordRequest(now, request.Request.Service)
	}
	if s.cancellations.has(now, request.Request.ID) {
		return nil, &assignReply{Reason: reasonUnreachable}
	}
	var permit retrybudget.Permit
	if request.Repeat {
		reserved, ok := s.retryBudget.Reserve(now, request.Request.Service)
		if !ok {
			return nil, s.rejectUnqueued(now, request, reasonRetryBudget, time.Second, quota.Limit{})
		}
		permit = reserved
	}
	limit := request.Limit.Scaled(s.quotaShare)
	if wait, ok := s.quotas.Take(now, request.Tenant, limit, request.Cost); !ok {
		s.retryBudget.Cancel(permit)
		return nil, s.rejectUnqueued(now, request, reasonQuota, wait, limit)
	}
	id := request.Request.ID
	decided := make(chan admission.Decision, 1)
	s.pending[id] = decided
	s.charges[id] = requestCharge{tenant: request.Tenant, cost: request.Cost, fingerprint: request.Request.Fingerprint, service: request.Request.Service, priority: request.Request.Priority, retryPermit: permit, mayHaveRun: request.MayHaveRun}
	request.Request.WasRejected = s.recentRejections.Has(now, request.Request.Fingerprint)
	request.Request.HasReservation = s.redeemReturn(now, request)
	s.checkWeight(&request.Request)
	s.recordSubmission(now, request)
	s.scheduler.Submit(now, request.Request)
	s.decide()
	return decided, nil
}

// observe records the end of a request of this node that another node assigned.
func (s *schedulingService) observe(service string, prompt int, finished *finishRequest, replica string, parts []fingerprint.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.scheduler.ObserveExternal(s.clock(), service, replica, prompt, finished.Observation)
	if finished.HasReplicaEnded {
		s.scheduler.RecordEnd(s.clock(), replica)
	}
	s.recordPoisonResult(admission.Completion{Parts: parts}, finished)
}

// recordFirstEvent records the start of a response and the load and pushback signals that came with
// it.
func (s *schedulingService) recordFirstEvent(request *firstEventRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	if request.Rejected {
		s.scheduler.RecordRejection(now, request.ID)
	} else {
		s.scheduler.RecordAccepted(request.ID)
	}
	s.scheduler.RecordFirstEvent(now, request.ID, request.Load)
	s.scheduler.RecordWorkTime(now, request.ID, request.WorkTime, request.SinceGrant)
	if request.Pushback != nil {
		s.scheduler.ApplyPushback(now, request.ID, *request.Pushback)
	}
	s.decide()
}

// finish ends an assignment or removes a queued request. A cancellation of an unknown request is remembered, as
// the request itself may be handled after it.
func (s *schedulingService) finish(request *finishRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if request.NotRun {
		s.scheduler.ReturnShare(request.ID)
	}
	if request.Rejected {
		s.scheduler.RecordRejection(s.clock(), request.ID)
	}
	ended, found := s.scheduler.Finish(s.clock(), request.ID, request.Observation)
	if found {
		s.recordRolloutResult(ended, request.Observation, request.NotRun)
	}
	if found && request.HasReplicaEnded {
		s.scheduler.RecordEnd(s.clock(), ended.Replica)
	}
	s.recordPoisonResult(ended, request)
	s.recordFinish(s.clock(), request)
	s.scheduler.Cancel(request.ID)
	if decided, isPending := s.pending[request.ID]; isPending {
		delete(s.pending, request.ID)
		close(decided) // its call would stay open until the connection ends
	}
	if charge, found := s.charges[request.ID]; found {
		delete(s.charges, request.ID)
		s.retryBudget.Cancel(charge.retryPermit)
		if request.NotRun && request.Unsent && !request.Rejected {
			s.retryBudget.Credit(charge.usedPermit)
		}
		if request.NotRun {
			s.quotas.Refund(charge.tenant, charge.cost)
		}
	} else if request.NotRun {
		s.cancellations.add(s.clock(), request.ID)
	}
	s.decide()
}

// setIsolatedNodes sets the processes that can't reach replicas.
func (s *schedulingService) setIsolatedNodes(processes map[string]bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.scheduler.SetIsolatedNodes(processes)
}

// dropEndedNodes ends the assignments of processes that are not live.
func (s *schedulingService) dropEndedNodes(live map[string]bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for node := range s.scheduler.Nodes() {
		if !live[node] {
			s.scheduler.DropNode(node)
			s.stats.NodeEnded(s.clock(), node)
		}
	}
	s.scheduler.Sweep(s.clock())
	s.returnPlanner.Expire(s.clock())
	s.stats.Sweep(s.clock())
	s.decide()
}

// queueCheckInterval is the time between checks for queued requests that waited too long.
const queueCheckInterval = 50 * time.Millisecond

func (s *schedulingService) decideOnTimer() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.decide()
}

// minDecideInterval is the minimum time between two rounds of decisions. The cost of a round grows
// with replicas, slots and queued requests, so under load one round serves many changes.
const minDecideInterval = 2 * time.Millisecond

// decide runs a round of decisions, or schedules one if the last was less than minDecideInterval
// ago. The caller holds the mutex.
func (s *schedulingService) decide() {
	if len(s.pending) == 0 {
		return
	}
	now := s.clock()
	if now-s.decidedAt < minDecideInterval {
		s.timer.Reset(minDecideInterval)
		return
	}
	s.decidedAt = now
	for _, decision := range s.scheduler.Decide(s.clock()) {
		decided, found := s.pending[decision.ID]
		if !found {
			continue
		}
		delete(s.pending, decision.ID)
		for _, key := range decision.Trials {
			s.reportPoisonTransition(poisonTrial, key)
		}
		var mayHaveRun bool
		if decision.Reason != admission.ReasonNone {
			if charge, charged := s.charges[decision.ID]; charged {
				mayHaveRun = charge.mayHaveRun
				delete(s.charges, decision.ID)
				s.quotas.Refund(charge.tenant, charge.cost)
				s.retryBudget.Cancel(charge.retryPermit)
				s.recentRejections.Add(s.clock(), charge.fingerprint)
				s.planReturn(now, charge, &decision)
			}
		} else if charge, charged := s.charges[decision.ID]; charged {
			charge.usedPermit = s.retryBudget.Commit(now, charge.retryPermit)
			charge.retryPermit = retrybudget.Permit{}
			s.charges[decision.ID] = charge
		}
		s.recordDecision(now, decision, mayHaveRun)
		decided <- decision
	}
	if len(s.pending) > 0 {
		s.timer.Reset(queueCheckInterval)
	}
}

// counts returns the counts of every service.
func (s *schedulingService) counts() map[string]admission.ServiceStatus {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.scheduler.Counts(s.clock())
}
