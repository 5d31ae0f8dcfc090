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
	"github.com/thornwalk/thornwalk/coordination/rollout"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// takeoverBurst is the share of a burst that the buckets of a scheduling node start
	// with that does not know what others handed out.
	takeoverBurstShare = 0.1
	// restartTime is the least time from the end of the last processes to the first
	// requests of those that follow, in which nobody took anything; measured:
	// 0.5 s. It is credited for restartCredit from the start of the process; later
	// others have handed out quotas.
	minRestartTime    = 400 * time.Millisecond
	restartCreditTime = 3 * time.Second
	// settleLedger is how long a process that starts waits for others to tell what they handed
	// out. They answer its first heartbeat, so that two milliseconds are usual; a second covers
	// heartbeats that are lost.
	quotaSettleTime = time.Second
)

// placed is what the desk must remember of a request to settle its quota.
type requestCharge struct {
	tenant      string
	cost        float64
	fingerprint fingerprint.Fingerprint
	// repeat is the repeat that the retry budget gave it, until it has its place.
	retryPermit retrybudget.Permit
}

// schedulingService is the scheduling side of a node: it decides for every node that takes
// this one for the scheduling node, itself included.
type schedulingService struct {
	mutex       sync.Mutex
	clock       func() structs.Instant
	scheduler   *admission.Scheduler
	quotas      *quota.Buckets
	retryBudget *retrybudget.Budget
	term        uint64
	// share is the part of the quotas that this side of a partition hands out, and leads is true
	// while this node schedules for the others.
	quotaShare float64
	isActive   bool
	// epoch counts the times that this node began to schedule, last at ledSince.
	epoch       uint64
	activeSince structs.Instant
	// regions has the region of each zone.
	regions map[string]string
	// emptied are the zones that get nothing, and warmings bounds what cold replicas get, by service.
	evacuatedZones map[string]bool
	slowStarts     map[string]admission.SlowStart
	// first is true if no other process can have handed out anything before.
	isFirst          bool
	pending          map[string]chan admission.Decision
	charges          map[string]requestCharge
	recentRejections *rejections.Recent
	// controllers step the roll-outs of services while this node schedules; longest is how
	// long the long answers of a service take.
	rolloutPolicy rollout.Policy
	// contents says which requests replicas ended under. It outlives what the desk forgets:
	// what a request did is true whoever schedules.
	poisonTracker *poison.Tracker
	// onPoisonTransition is called with each change of a request's standing.
	onPoisonTransition func(outcome string, record poisonrecords.Record)
	controllers        map[string]*rollout.Controller
	longestAnswers     map[string]time.Duration
	timer              *time.Timer
	// decidedAt is when the last round of decisions was made.
	decidedAt structs.Instant
}

func newSchedulingService(clock func() structs.Instant, policy retrybudget.Policy, first bool) *schedulingService {
	d := &schedulingService{clock: clock, decidedAt: -minDecideInterval, quotaShare: 1, isFirst: first, term: 1, retryBudget: retrybudget.New(policy, first), poisonTracker: poison.NewTracker(poison.DefaultPolicy()), onPoisonTransition: func(string, poisonrecords.Record) {}}
	d.clearState()
	d.quotas.CreditDowntime(minRestartTime, clock()+restartCreditTime)
	d.timer = time.AfterFunc(time.Hour, d.decideOnTimer)
	return d
}

func (d *schedulingService) clearState() {
	d.scheduler = admission.New()
	d.scheduler.SetPoisonTracker(d.poisonTracker)
	d.scheduler.SetRegions(d.regions)
	d.scheduler.SetEvacuatedZones(d.clock(), d.evacuatedZones)
	d.applySlowStarts()
	start := takeoverBurstShare
	if d.isFirst {
		start = 1
		d.isFirst = false
	}
	d.quotas = quota.NewBuckets(start)
	if start < 1 {
		d.quotas.SetAuthoritativeAfter(d.clock() + quotaSettleTime)
	}
	d.pending = map[string]chan admission.Decision{}
	d.charges = map[string]requestCharge{}
	d.recentRejections = rejections.New()
	d.controllers, d.longestAnswers = map[string]*rollout.Controller{}, map[string]time.Duration{}
}

// reset forgets everything, as a process must that stood still for so long that
// others decided in its place.
func (d *schedulingService) reset(all []replicas.Replica, policies map[string]rollouts.VersionPolicy) uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, waiter := range d.pending {
		close(waiter)
	}
	d.clearState()
	d.epoch++
	d.activeSince = d.clock()
	d.retryBudget.Reset()
	for service, policy := range policies {
		d.scheduler.SetVersions(service, policy)
	}
	d.scheduler.SetReplicas(d.clock(), all)
	d.updateColdTraffic()
	d.term++
	return d.term
}

// majority is the part of all nodes beyond which no other part can be as large.
const majorityShare = 0.5

// setShare takes over which part of the quotas and of the retries may be given.
func (d *schedulingService) setShare(share float64, policy retrybudget.Policy) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.poisonTracker.SetTrialsAllowed(share > majorityShare)
	d.quotaShare = share
	d.updateColdTraffic()
	d.retryBudget.SetPolicy(policy)
}

// repeats returns what this desk counted for the retry budget, by service.
func (d *schedulingService) retryStats() map[string]retrybudget.Stats {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.retryBudget.Stats(d.clock())
}

// setRegions takes over which region each zone is in.
func (d *schedulingService) setRegions(regions map[string]string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.regions = regions
	d.scheduler.SetRegions(regions)
}

// lead tells the desk whether this node schedules for the others from now on.
func (d *schedulingService) setActive(schedules bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.releaseQueuedRetries()
	d.isActive = schedules
	d.updateColdTraffic()
	if schedules {
		d.epoch++
		d.activeSince = d.clock()
		d.retryBudget.Activate()
	} else {
		d.retryBudget.Deactivate()
		// Who schedules next goes on from the record; what was taken here is not used.
		for service := range d.controllers {
			d.scheduler.SetCanaryBudget(service, nil)
		}
		clear(d.controllers)
	}
}

// sendRepeatsAway has the repeats that wait here ask whoever schedules now: what this desk's
// budget gave them is void when the scheduling node changes. The caller holds the mutex.
func (d *schedulingService) releaseQueuedRetries() {
	for id, held := range d.charges {
		waiter, waits := d.pending[id]
		if !waits || held.retryPermit == (retrybudget.Permit{}) {
			continue
		}
		d.scheduler.Cancel(id)
		delete(d.pending, id)
		delete(d.charges, id)
		d.quotas.Refund(held.tenant, held.cost)
		close(waiter)
	}
}

// update runs a change of the scheduler and decides what it makes possible.
func (d *schedulingService) update(change func(*admission.Scheduler)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	change(d.scheduler)
	d.decide()
}

// assign waits for a decision on the request.
func (d *schedulingService) assign(ctx context.Context, request *assignRequest) *assignReply {
	waiter, refused := d.submit(request)
	if refused != nil {
		return refused
	}
	select {
	case decision, open := <-waiter:
		if !open {
			return &assignReply{Reason: reasonUnreachable}
		}
		return &assignReply{
			Limit:   d.limitReport(decision),
			Replica: decision.Replica, Reason: string(decision.Reason),
			RetryAfter: decision.RetryAfter, Waited: decision.Waited, Term: d.currentTerm(),
			Waiting: decision.QueuedAhead, Free: decision.Free, Expected: decision.Expected,
		}
	case <-ctx.Done():
		d.finish(&finishRequest{ID: request.Request.ID, NotRun: true})
		return &assignReply{Reason: reasonUnreachable}
	}
}

// limitNote returns what is known of the rate limit of the replica that was given, or nil.
func (d *schedulingService) limitReport(decision admission.Decision) *pushback.Report {
	if decision.Limit.Limit.State == pushback.LimitUnknown {
		return nil
	}
	note := decision.Limit.ReportOf(d.clock(), pushback.IncarnationOf(decision.Replica))
	return &note
}

func (d *schedulingService) currentTerm() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.term
}

// submit checks quota and budget and queues the request.
func (d *schedulingService) submit(request *assignRequest) (chan admission.Decision, *assignReply) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	if request.Known != nil {
		d.mergePoisonLocked(now, []poisonrecords.Record{*request.Known})
	}
	for _, note := range request.Heard {
		d.scheduler.ApplyPushbackReport(now, note)
	}
	d.scheduler.SetPauses(now, request.Request.Node, request.Request.Service, request.Heard)
	if request.First {
		d.retryBudget.RecordRequest(now, request.Request.Service)
	}
	var repeat retrybudget.Permit
	if request.Repeat {
		given, ok := d.retryBudget.Reserve(now, request.Request.Service)
		if !ok {
			return nil, &assignReply{Reason: reasonRetryBudget, RetryAfter: time.Second}
		}
		repeat = given
	}
	limit := request.Limit.Scaled(d.quotaShare)
	if wait, ok := d.quotas.Take(now, request.Tenant, limit, request.Cost); !ok {
		d.retryBudget.Cancel(repeat)
		return nil, &assignReply{Reason: reasonQuota, RetryAfter: wait}
	}
	id := request.Request.ID
	waiter := make(chan admission.Decision, 1)
	d.pending[id] = waiter
	d.charges[id] = requestCharge{tenant: request.Tenant, cost: request.Cost, fingerprint: request.Request.Content, retryPermit: repeat}
	request.Request.Returned = d.recentRejections.Has(now, request.Request.Content)
	d.scheduler.Submit(now, request.Request)
	d.decide()
	return waiter, nil
}

// observe learns from a request of this node that another node placed.
func (d *schedulingService) observe(service string, prompt int, finished *finishRequest, replica string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.Observe(d.clock(), service, replica, prompt, finished.Seen)
	d.recordPoisonResult(admission.Completion{}, finished)
}

// recordFirstEvent notes that an answer began, and the load that came with it.
func (d *schedulingService) recordFirstEvent(request *firstEventRequest) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	d.scheduler.RecordFirstEvent(now, request.ID, request.Load)
	if request.Said != nil {
		d.scheduler.ApplyPushback(now, request.ID, *request.Said)
	}
	d.decide()
}

// finish frees the place or ends the wait of a request.
func (d *schedulingService) finish(request *finishRequest) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	ended, found := d.scheduler.Finish(d.clock(), request.ID, request.Seen)
	if found {
		d.recordRolloutResult(ended, request.Seen, request.NotRun)
	}
	d.recordPoisonResult(ended, request)
	d.scheduler.Cancel(request.ID)
	delete(d.pending, request.ID)
	if held, found := d.charges[request.ID]; found {
		delete(d.charges, request.ID)
		d.retryBudget.Cancel(held.retryPermit)
		if request.NotRun {
			d.quotas.Refund(held.tenant, held.cost)
		}
	}
	d.decide()
}

// dropEndedNodes frees what nodes held that live no longer.
func (d *schedulingService) dropEndedNodes(live map[string]bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for node := range d.scheduler.Nodes() {
		if !live[node] {
			d.scheduler.DropNode(node)
		}
	}
	d.scheduler.Sweep(d.clock())
	d.decide()
}

// patienceInterval is the time between looks at requests that waited too long.
const queueCheckInterval = 50 * time.Millisecond

func (d *schedulingService) decideOnTimer() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.decide()
}

// decideInterval is the least time between two rounds of decisions. A round costs
// as much as there are replicas, places and waiting requests; so under load one
// round serves many changes.
const minDecideInterval = 2 * time.Millisecond

// decide hands out decisions, or sees to it that this happens soon if there was
// a round just now. The caller holds the mutex.
func (d *schedulingService) decide() {
	if len(d.pending) == 0 {
		return
	}
	now := d.clock()
	if now-d.decidedAt < minDecideInterval {
		d.timer.Reset(minDecideInterval)
		return
	}
	d.decidedAt = now
	for _, decision := range d.scheduler.Decide(d.clock()) {
		waiter, found := d.pending[decision.ID]
		if !found {
			continue
		}
		delete(d.pending, decision.ID)
		if decision.Trial {
			d.reportPoisonTransition(poisonTrial, d.charges[decision.ID].fingerprint)
		}
		if decision.Reason != admission.ReasonNone {
			if held, charged := d.charges[decision.ID]; charged {
				delete(d.charges, decision.ID)
				d.quotas.Refund(held.tenant, held.cost)
				d.retryBudget.Cancel(held.retryPermit)
				d.recentRejections.Add(d.clock(), held.fingerprint)
			}
		} else if held, charged := d.charges[decision.ID]; charged {
			d.retryBudget.Commit(held.retryPermit)
			held.retryPermit = retrybudget.Permit{}
			d.charges[decision.ID] = held
		}
		waiter <- decision
	}
	if len(d.pending) > 0 {
		d.timer.Reset(queueCheckInterval)
	}
}

// counts returns the state of every service.
func (d *schedulingService) counts() map[string]admission.Count {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.Counts()
}
