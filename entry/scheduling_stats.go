package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/quota"
	"github.com/thornwalk/thornwalk/coordination/tenantstats"
	"github.com/thornwalk/thornwalk/structs"
)

// What the scheduling service records for operators by tenant. The callers of its methods hold the mutex
// unless said otherwise.

// recordSubmission records a request that waits for a decision, unless a replica has it already.
func (s *schedulingService) recordSubmission(now structs.Instant, request *assignRequest) {
	if request.IsSearch {
		return
	}
	s.stats.Submitted(now, tenantstats.Submission{
		ID: request.Request.ID, Node: request.Request.Node, Service: request.Request.Service, Route: request.Request.Route,
		Tenant: request.Tenant, Priority: request.Request.Priority / routePriorityRange, Weight: request.Request.Weight,
		Fingerprint: request.Request.Fingerprint, RequestID: request.RequestID,
	})
}

// rejectUnqueued records and returns the rejection of a request that was not queued. The limit is the
// one that it exceeds, and zero if no quota rejected it.
func (s *schedulingService) rejectUnqueued(now structs.Instant, request *assignRequest, reason string, retryAfter time.Duration, limit quota.Limit) *assignReply {
	s.recordSubmission(now, request)
	rejection := tenantstats.Rejection{Reason: reason, RetryAfter: toldRetryAfter(retryAfter, request.MayHaveRun)}
	if limit.Rate > 0 {
		rejection.QuotaRate, rejection.Cost = limit.Rate, request.Cost
	}
	s.recordRejection(now, request.Request.ID, rejection)
	return &assignReply{Reason: reason, RetryAfter: retryAfter}
}

// toldRetryAfter returns the Retry-After that the caller is told, which is none if its request may have run.
func toldRetryAfter(retryAfter time.Duration, mayHaveRun bool) time.Duration {
	if mayHaveRun {
		return 0
	}
	return retryAfter
}

func (s *schedulingService) recordRejection(now structs.Instant, id string, rejection tenantstats.Rejection) {
	s.stats.Rejected(now, id, rejection)
	s.onRejection(rejection.Reason)
}

// recordDecision records the decision on a queued request. The entry node tells callers to come back after
// retryAfterRejected at least.
func (s *schedulingService) recordDecision(now structs.Instant, decision admission.Decision, mayHaveRun bool) {
	if decision.Reason == admission.ReasonNone {
		s.stats.Assigned(now, decision.ID)
		return
	}
	s.recordRejection(now, decision.ID, tenantstats.Rejection{
		Reason: string(decision.Reason), QueuedAhead: decision.QueuedAhead, FreeSlots: decision.FreeSlots,
		ExpectedWait: decision.ExpectedWait, Waited: decision.Waited, RetryAfter: toldRetryAfter(max(decision.RetryAfter, retryAfterRejected), mayHaveRun),
	})
}

// recordFinish records the end of a request.
func (s *schedulingService) recordFinish(now structs.Instant, request *finishRequest) {
	s.stats.Finished(now, request.ID, request.Observation.Whole && !request.Observation.Failed)
}

// tenantTable returns the table of the tenants. It locks the mutex.
func (s *schedulingService) tenantTable() *TenantTable {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	return &TenantTable{CountedMS: (now - s.stats.Since()).Milliseconds(), IsShared: s.policy.admission.TenantShares, Tenants: s.stats.Table(now)}
}

// explain returns the remembered rejections of the request. It locks the mutex.
func (s *schedulingService) explain(request string) *Rejections {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	return &Rejections{CountedMS: (now - s.stats.Since()).Milliseconds(), Rejections: s.stats.Explain(now, request)}
}

// activeTenants returns the number of tenants with recent requests. It locks the mutex.
func (s *schedulingService) activeTenants() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return int64(s.stats.ActiveTenants(s.clock()))
}
