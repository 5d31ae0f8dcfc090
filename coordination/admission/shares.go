package admission

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thornwalk/thornwalk/state/fairshare"
	"github.com/thornwalk/thornwalk/structs"
)

// With Policy.TenantShares the tenants of equal priority share the slots of a service by work: the time
// for which their requests occupy slots, divided by their weights. A request counts with its expected work
// from its assignment, and with the time that it took from its end.

const (
	// Weights below MinWeight or above MaxWeight count as 1, the mean.
	MinWeight, MaxWeight = 0.01, 100
	// maxLead is the longest plausible lead of a tenant, in seconds of work at weight 1. Longer ones are
	// reported as this.
	maxLead = 60
)

// tenantHash identifies a tenant in all nodes. Names may have several kilobytes, and are not retained or
// sent for accounting.
type tenantHash = uint64

func hashOf(tenant string) tenantHash { return xxhash.Sum64String(tenant) }

type (
	shareLedger  = fairshare.Ledger[tenantHash]
	shareAccount = fairshare.Account[tenantHash]
)

// share is the part of a request in the account of its tenant. It is unset while tenant shares are off.
type share struct {
	// account is nil if the request is not accounted for.
	account *shareAccount
	weight  float64
	// work is the expected work in seconds, and remaining the time to the deadline at the assignment.
	work      float64
	remaining time.Duration
}

// CheckedWeight returns the weight of the request's tenant, and false if it is invalid and counts as 1.
// Requests of nodes without tenant shares have neither tenant nor weight.
func (r *Request) CheckedWeight() (float64, bool) {
	if r.Weight >= MinWeight && r.Weight <= MaxWeight { // not if it is not a number
		return r.Weight, true
	}
	return 1, r.Weight == 0 && r.Tenant == ""
}

// dispatch charges the expected work of a queued request, which is assigned with that much time to its
// deadline.
func (s *share) dispatch(remaining time.Duration) {
	s.remaining = remaining
	if s.account != nil {
		s.account.Dispatch(s.work / s.weight)
	}
}

// withdraw records that a queued request is not assigned.
func (s *share) withdraw() {
	if s.account != nil {
		s.account.Withdraw()
		s.account = nil
	}
}

// settle corrects the work of an assigned request that ended.
func (s *share) settle(work float64) {
	if s.account != nil {
		s.account.Complete((work - s.work) / s.weight)
		s.account = nil
	}
}

// orderByShares merges the requests of the tenants by their shares, within each run of requests that are
// equal by Held, Priority and late. It expects the queue to be sorted by these, and keeps the order of the
// requests of a tenant.
func (p *servicePool) orderByShares(queue []*queuedRequest) {
	work := p.work.estimate(p.meanDuration)
	for start := 0; start < len(queue); {
		isHeld, priority, end := queue[start].Held, queue[start].Priority, start
		ledger := p.ledger(priority)
		ledger.BeginOrder()
		for ; end < len(queue) && queue[end].Held == isHeld && queue[end].Priority == priority; end++ {
			request := queue[end]
			if request.share.account == nil {
				weight, _ := request.CheckedWeight()
				request.share = share{account: ledger.Enqueue(hashOf(request.Tenant)), weight: weight}
			}
			request.share.work = work.expected(&request.Request).Seconds()
			request.startTag = request.share.account.NextTag(request.share.work / request.share.weight)
		}
		for runStart := start; runStart < end; {
			runEnd := runStart + 1
			for runEnd < end && queue[runEnd].late == queue[runStart].late {
				runEnd++
			}
			slices.SortStableFunc(queue[runStart:runEnd], func(a, b *queuedRequest) int { return cmp.Compare(a.startTag, b.startTag) })
			runStart = runEnd
		}
		start = end
	}
}

// ledger returns the shares of the tenants of that priority, and creates them if needed.
func (p *servicePool) ledger(priority int) *shareLedger {
	ledger, found := p.ledgers[priority]
	if !found {
		if p.ledgers == nil {
			p.ledgers = map[int]*shareLedger{}
		}
		ledger = fairshare.New[tenantHash]()
		p.ledgers[priority] = ledger
	}
	return ledger
}

// ReturnShare records that the assigned request did not run. It is called before Finish.
func (s *Scheduler) ReturnShare(id string) {
	if assignment, found := s.assignments[id]; found {
		assignment.share.settle(0)
	}
}

// settleFinished corrects the work of an assigned request to the time for which it occupied a slot: as
// observed, or else since the assignment. The report may be late, but no request outlasts its deadline.
func (a *assignment) settleFinished(now structs.Instant, observed time.Duration) {
	work := min(now-a.assignedAt, a.share.remaining)
	if observed > 0 {
		work = min(work, observed)
	}
	a.share.settle(max(work, 0).Seconds())
}

// settleDropped corrects the work of an assigned request whose node ended. The time since the assignment
// includes that to detect it, in which the request may not have run: charging all of it would shut the
// tenant out for seconds.
func (a *assignment) settleDropped(now structs.Instant) {
	a.share.settle(min(max(now-a.assignedAt, 0).Seconds(), a.share.work))
}

// dropIdleLedgers drops the ledgers in which all tenants are equal.
func (s *Scheduler) dropIdleLedgers() {
	for _, pool := range s.pools {
		for priority, ledger := range pool.ledgers {
			if ledger.Prune(); ledger.Len() == 0 {
				delete(pool.ledgers, priority)
			}
		}
	}
}

// dropShares ends the accounting.
func (s *Scheduler) dropShares() {
	for _, pool := range s.pools {
		pool.ledgers = nil
	}
	for _, request := range s.queued {
		request.share = share{}
	}
	for _, assignment := range s.assignments {
		assignment.share = share{}
	}
}

// workEstimator learns how long the requests of a service occupy a slot.
type workEstimator struct {
	prefill prefillEstimator
	// stepTime is the mean time per answer token of streams; zero if unknown.
	stepTime time.Duration
}

// observe learns from a request that succeeded.
func (e *workEstimator) observe(promptTokens int, observed Observation) {
	if observed.Events > 0 && promptTokens > 0 {
		e.prefill.observe(promptTokens, observed.FirstEvent)
	}
	if observed.Events > 1 {
		e.stepTime = smooth(e.stepTime, observed.tokenTime())
	}
}

// workEstimate is the state of a workEstimator during one round of decisions.
type workEstimate struct {
	meanDuration, stepTime, prefillFixedTime, prefillTimePerToken time.Duration
}

func (e *workEstimator) estimate(meanDuration time.Duration) workEstimate {
	perToken := e.prefill.timePerToken()
	return workEstimate{meanDuration: meanDuration, stepTime: e.stepTime, prefillFixedTime: e.prefill.fixedTime(perToken), prefillTimePerToken: perToken}
}

// expected returns the expected work of the request: for streams by the tokens of prompt and answer, and
// where these or the speed are unknown the mean duration of the service's requests. Callers state the
// tokens, and may state any number: no more counts than the time to the deadline.
func (e *workEstimate) expected(request *Request) time.Duration {
	if request.PromptTokens <= 0 || request.AnswerTokens <= 0 || e.stepTime <= 0 {
		return e.meanDuration
	}
	work := float64(e.prefillFixedTime) + float64(request.PromptTokens)*float64(e.prefillTimePerToken) + float64(request.AnswerTokens)*float64(e.stepTime)
	return time.Duration(min(work, float64(max(request.Deadline, 0))))
}

// ShareLevel is the lead of a tenant over those of its service and priority that have used the least of
// their shares, in seconds of work at weight 1.
type ShareLevel struct {
	Service  string
	Priority int
	// Tenant is the hash of the tenant's name.
	Tenant uint64
	Lead   float64
}

// ShareLevels returns up to maxCount leads, largest first, for the next scheduler.
func (s *Scheduler) ShareLevels(maxCount int) []ShareLevel {
	var levels []ShareLevel
	for service, pool := range s.pools {
		for priority, ledger := range pool.ledgers {
			for _, level := range ledger.Levels(maxCount) {
				levels = append(levels, ShareLevel{service, priority, level.Tenant, min(level.Lead, maxLead)})
			}
		}
	}
	slices.SortFunc(levels, func(a, b ShareLevel) int {
		return cmp.Or(cmp.Compare(b.Lead, a.Lead), strings.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Tenant, b.Tenant))
	})
	return levels[:min(len(levels), maxCount)]
}

// RestoreShareLevels replaces the leads of all tenants by those that another scheduler reported. It does
// nothing while tenant shares are off, and ignores invalid leads, whose number it returns.
func (s *Scheduler) RestoreShareLevels(levels []ShareLevel) (ignored int) {
	for _, pool := range s.pools {
		for _, ledger := range pool.ledgers {
			ledger.Equalize()
		}
	}
	return s.MergeShareLevels(levels)
}

// MergeShareLevels does the same, but adds the leads to those at this scheduler.
func (s *Scheduler) MergeShareLevels(levels []ShareLevel) (ignored int) {
	if !s.policy.TenantShares {
		return 0
	}
	for _, level := range levels {
		pool, found := s.pools[level.Service]
		if isPlausible := level.Lead >= 0 && level.Lead <= maxLead && !math.IsNaN(level.Lead); !found || !isPlausible {
			ignored++
			continue
		}
		pool.ledger(level.Priority).Advance(level.Tenant, level.Lead)
	}
	return ignored
}
