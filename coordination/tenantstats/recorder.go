// Package tenantstats counts, at the scheduling node, what each tenant of a service gets, and keeps the
// figures that decided recent rejections. It does no I/O and reads no clock.
//
// Memory is bounded: a service has maxAccounts tenants with figures of their own, and all others are
// summed up; names are shortened; the number of requests in progress and of explanations is limited.
package tenantstats

import (
	"fmt"
	"math"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// maxNameBytes is the length from which names of tenants, services and routes and request IDs are
	// shortened.
	maxNameBytes = 64
	// maxServices is the number of services that are counted apart. Requests to others are counted under
	// the name otherServices.
	maxServices   = 64
	otherServices = "(other services)"
	// maxRequestAge is the age from which the end of a request counts as lost. The scheduler drops
	// assignments after one minute; the time in the queue precedes that.
	maxRequestAge = 2 * time.Minute
	// maxRequests bounds the requests in progress. Requests beyond it are not counted.
	maxRequests = 1 << 16
)

// ShortName returns the name if it has at most 64 bytes; otherwise its start and a hash of all of it.
func ShortName(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	hash := fmt.Sprintf("~%016x", xxhash.Sum64String(name))
	end := maxNameBytes - len(hash)
	for end > 0 && !utf8.RuneStart(name[end]) {
		end--
	}
	return name[:end] + hash
}

// Submission is a request that a node submitted for a decision.
type Submission struct {
	// ID is unique over all nodes and attempts.
	ID string
	// Node is the process that asks.
	Node    string
	Service string
	Route   string
	// Tenant is empty for requests without a tenant.
	Tenant string
	// Priority is that of the tenant. Tenants of equal priority share a service.
	Priority int
	// Weight is the tenant's relative share. It counts as 1 unless it is between 0.01 and 100.
	Weight      float64
	Fingerprint fingerprint.Fingerprint
	// RequestID is the caller's ID of the request, and empty if the node that asks did not send it.
	RequestID string
}

// Rejection is the decision on a rejected request and the figures that led to it.
type Rejection struct {
	Reason string
	// QueuedAhead, FreeSlots, ExpectedWait and Waited describe the queue. They are zero for requests that
	// were rejected before they were queued.
	QueuedAhead, FreeSlots int
	ExpectedWait, Waited   time.Duration
	RetryAfter             time.Duration
	// QuotaRate and Cost are the tenant's rate limit and the units that the request costs, for rejections
	// by quota.
	QuotaRate, Cost float64
}

// request is a request that was submitted and has not ended.
type request struct {
	Submission
	service     *serviceAccounts
	account     *account
	submittedAt structs.Instant
	isAssigned  bool
}

// Recorder counts requests by service and tenant. Events of unknown requests and events that come twice
// have no effect. It is not safe for concurrent use.
type Recorder struct {
	since    structs.Instant
	services map[string]*serviceAccounts
	requests map[string]*request
	// unused has ended requests whose memory is used again.
	unused       []*request
	explanations explanationRing
}

// New returns a recorder that counts from now on.
func New(now structs.Instant) *Recorder {
	return &Recorder{since: now, services: map[string]*serviceAccounts{}, requests: map[string]*request{}}
}

// Restart makes the recorder count anew from now on. It keeps the explanations: the rejections happened,
// whichever node schedules now.
func (r *Recorder) Restart(now structs.Instant) {
	explanations := r.explanations
	*r = *New(now)
	r.explanations = explanations
}

// Since returns when the recorder began to count.
func (r *Recorder) Since() structs.Instant { return r.since }

// Submitted records that a request waits for a decision.
func (r *Recorder) Submitted(now structs.Instant, submission Submission) {
	if _, isKnown := r.requests[submission.ID]; isKnown || len(r.requests) >= maxRequests {
		return
	}
	submission.Service, submission.Route = ShortName(submission.Service), ShortName(submission.Route)
	submission.Tenant, submission.RequestID = ShortName(submission.Tenant), ShortName(submission.RequestID)
	submission.Weight = validWeight(submission.Weight)
	service := r.service(now, submission.Service)
	account := service.account(now, submission.Tenant)
	account.advance(now)
	if account.setLatest(now, submission.Priority, submission.Weight) {
		service.isGroupKnown = false
	}
	account.queued++
	var created *request
	if last := len(r.unused) - 1; last >= 0 {
		created, r.unused = r.unused[last], r.unused[:last]
	} else {
		created = &request{}
	}
	*created = request{Submission: submission, service: service, account: account, submittedAt: now}
	r.requests[submission.ID] = created
}

// Assigned records that a request got a slot.
func (r *Recorder) Assigned(now structs.Instant, id string) {
	request, found := r.requests[id]
	if !found || request.isAssigned {
		return
	}
	request.isAssigned = true
	request.account.advance(now)
	request.account.queued--
	request.account.running++
	request.account.recordWait(now, now-request.submittedAt)
}

// Rejected records that a request was rejected, and why.
func (r *Recorder) Rejected(now structs.Instant, id string, rejection Rejection) {
	request, found := r.requests[id]
	if !found || request.isAssigned {
		return
	}
	defer r.remove(id, request)
	account := request.account
	account.recordWait(now, now-request.submittedAt)
	account.refuse(rejection.Reason)
	group := request.service.group(now, account.priority)
	share, usedShare := group.shares(now, account)
	account.queued-- // its tenant is active until here, so that the share is defined
	r.explanations.add(explanation{at: now, submission: request.Submission, rejection: rejection, share: share, used: account.use.total(now), usedShare: usedShare})
}

// Finished records that a request ended: answered in full, or in another way. A queued one was
// withdrawn.
func (r *Recorder) Finished(now structs.Instant, id string, isAnswered bool) {
	request, found := r.requests[id]
	if !found {
		return
	}
	defer r.remove(id, request)
	account := request.account
	account.advance(now)
	switch {
	case !request.isAssigned:
		account.queued--
		account.withdrawn++
		account.recordWait(now, now-request.submittedAt)
		return
	case isAnswered:
		account.answered++
	default:
		account.unanswered++
	}
	account.running--
}

// maxUnused bounds the ended requests whose memory is kept.
const maxUnused = 4096

// remove removes a request that ended.
func (r *Recorder) remove(id string, ended *request) {
	delete(r.requests, id)
	*ended = request{} // releases its strings
	if len(r.unused) < maxUnused {
		r.unused = append(r.unused, ended)
	}
}

// NodeEnded records that the requests of a node ended with it.
func (r *Recorder) NodeEnded(now structs.Instant, node string) {
	for id, request := range r.requests {
		if request.Node == node {
			r.Finished(now, id, false)
		}
	}
}

// Sweep ends the requests whose end was lost.
func (r *Recorder) Sweep(now structs.Instant) {
	for id, request := range r.requests {
		if now-request.submittedAt > maxRequestAge {
			r.Finished(now, id, false)
		}
	}
}

// Bounds of valid weights, which are those of the configured shares.
const (
	minWeight = 0.01
	maxWeight = 100
)

func validWeight(weight float64) float64 {
	if math.IsNaN(weight) || weight < minWeight || weight > maxWeight {
		return 1
	}
	return weight
}
