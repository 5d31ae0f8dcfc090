package tenantstats

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/structs"
)

// Row is what one tenant gets of one service.
type Row struct {
	Service string `json:"service"`
	// Tenant is empty for requests without a tenant. Names over 64 bytes are shortened. Others is true for
	// the line that sums up all tenants without a line of their own.
	Tenant string `json:"tenant"`
	Others bool   `json:"others,omitempty"`
	// Priority and Weight are those of the tenant's last request.
	Priority int     `json:"priority"`
	Weight   float64 `json:"weight"`
	// Share is Weight over the sum of the weights of the active tenants of the priority, and zero for a
	// tenant without a request within the window. UsedShare is its share of what these tenants used.
	Share     float64 `json:"share"`
	Used      float64 `json:"used_slot_s"`
	UsedShare float64 `json:"used_share"`
	Queued    int     `json:"queued"`
	Running   int     `json:"running"`
	// Answered counts complete answers, Unanswered other ends of requests that got a slot, Withdrawn the
	// requests that left the queue without a decision, and Refused the rejections by reason, all in the
	// last CountedMS milliseconds.
	Answered   int64            `json:"answered"`
	Unanswered int64            `json:"unanswered"`
	Withdrawn  int64            `json:"withdrawn"`
	Refused    map[string]int64 `json:"refused,omitempty"`
	// LongestWaitMS is the longest wait in the queue within the window, of queued requests too.
	LongestWaitMS int64 `json:"longest_wait_ms"`
	CountedMS     int64 `json:"counted_for_ms"`
}

// Table returns the rows of each service, those with the most use first: at most MaxTenants tenants,
// and the rest as one row.
func (r *Recorder) Table(now structs.Instant) []Row {
	waits := map[*account]time.Duration{}
	for _, request := range r.requests {
		if !request.isAssigned {
			waits[request.account] = max(waits[request.account], now-request.submittedAt)
		}
	}
	rows := []Row{} // an empty list in JSON too
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		rows = append(rows, r.services[name].rows(now, name, waits)...)
	}
	return rows
}

func (s *serviceAccounts) rows(now structs.Instant, service string, waits map[*account]time.Duration) []Row {
	s.removeIdle(now)
	groups := map[int]priorityGroup{}
	rowOf := func(account *account) Row {
		group, found := groups[account.priority]
		if !found {
			group = s.group(now, account.priority)
			groups[account.priority] = group
		}
		row := Row{
			Service: service, Tenant: account.name, Others: account.isOthers, Priority: account.priority, Weight: account.weight, Used: account.use.total(now),
			Queued: account.queued, Running: account.running, Answered: account.answered, Unanswered: account.unanswered, Withdrawn: account.withdrawn, Refused: maps.Clone(account.refused),
			LongestWaitMS: max(account.use.maxWait(now), waits[account]).Milliseconds(), CountedMS: (now - account.since).Milliseconds(),
		}
		row.Share, row.UsedShare = group.shares(now, account)
		return row
	}
	for _, account := range s.list {
		account.advance(now)
	}
	sorted := slices.SortedFunc(slices.Values(s.list), func(a, b *account) int {
		return cmp.Or(cmp.Compare(b.use.total(now), a.use.total(now)), cmp.Compare(b.queued, a.queued), cmp.Compare(b.lastSubmittedAt, a.lastSubmittedAt), cmp.Compare(a.name, b.name))
	})
	others := rowOf(s.others)
	rows := make([]Row, 0, min(len(sorted), MaxTenants)+1)
	for i, account := range sorted {
		row := rowOf(account)
		if i < MaxTenants {
			rows = append(rows, row)
		} else {
			others.add(row)
		}
	}
	if others.Share > 0 || others.isCounted() {
		rows = append(rows, others)
	}
	return rows
}

// add adds the figures of a tenant to the row of the others.
func (r *Row) add(other Row) {
	r.Share += other.Share
	r.Used += other.Used
	r.UsedShare += other.UsedShare
	r.Queued += other.Queued
	r.Running += other.Running
	r.Answered += other.Answered
	r.Unanswered += other.Unanswered
	r.Withdrawn += other.Withdrawn
	for reason, count := range other.Refused {
		if r.Refused == nil {
			r.Refused = map[string]int64{}
		}
		r.Refused[reason] += count
	}
	r.LongestWaitMS = max(r.LongestWaitMS, other.LongestWaitMS)
}

// isCounted reports whether the row has any requests.
func (r *Row) isCounted() bool {
	return r.Queued+r.Running > 0 || r.Answered+r.Unanswered+r.Withdrawn > 0 || len(r.Refused) > 0
}

// ActiveTenants returns the number of tenants that have requests in progress or had one within the
// window, by service and tenant. Tenants that are counted together count as one.
func (r *Recorder) ActiveTenants(now structs.Instant) int {
	count := 0
	for _, service := range r.services {
		if service.others.isActive(now) {
			count++
		}
		for _, account := range service.list {
			if account.isActive(now) {
				count++
			}
		}
	}
	return count
}

// Explanation tells why a request was rejected.
type Explanation struct {
	AgoMS int64 `json:"ago_ms"`
	// Request is the caller's ID of the request, and empty if it is not known.
	Request  string                  `json:"request,omitempty"`
	Content  fingerprint.Fingerprint `json:"content"`
	Service  string                  `json:"service"`
	Route    string                  `json:"route"`
	Tenant   string                  `json:"tenant"`
	Priority int                     `json:"priority"`
	Reason   string                  `json:"reason"`
	// The position in the queue, the service's free slots and the expected wait are those at the decision,
	// and zero for requests that were rejected before they were queued.
	QueuedAhead  int   `json:"requests_ahead"`
	FreeSlots    int   `json:"free_slots"`
	ExpectedMS   int64 `json:"expected_ms"`
	WaitedMS     int64 `json:"waited_ms"`
	RetryAfterMS int64 `json:"retry_after_ms"`
	// Weight to UsedShare are those of the tenant at the decision, as in its Row.
	Weight    float64 `json:"weight"`
	Share     float64 `json:"share"`
	Used      float64 `json:"used_slot_s"`
	UsedShare float64 `json:"used_share"`
	// QuotaRate (units per second) and Cost (units) are set for rejections by quota.
	QuotaRate float64 `json:"quota_rate,omitempty"`
	Cost      float64 `json:"cost,omitempty"`
}

// maxExplanations is the number of rejections that are remembered.
const maxExplanations = 512

// explanation is an Explanation as it is kept.
type explanation struct {
	at                     structs.Instant
	submission             Submission
	rejection              Rejection
	share, used, usedShare float64
}

// explanationRing holds the latest explanations.
type explanationRing struct {
	items []explanation
	// next is the index of the oldest one once the ring is full.
	next int
}

func (e *explanationRing) add(item explanation) {
	if len(e.items) < maxExplanations {
		e.items = append(e.items, item)
		return
	}
	e.items[e.next] = item
	e.next = (e.next + 1) % maxExplanations
}

// Explain returns the remembered rejections of the request, the latest first. The request is named by
// its fingerprint or by the caller's ID.
func (r *Recorder) Explain(now structs.Instant, name string) []Explanation {
	var content fingerprint.Fingerprint
	if content.UnmarshalText([]byte(name)) != nil {
		content = fingerprint.Fingerprint{}
	}
	name = ShortName(name)
	var found []Explanation
	count := len(r.explanations.items)
	for i := range count {
		item := &r.explanations.items[(r.explanations.next+count-1-i)%count]
		submission, rejection := &item.submission, &item.rejection
		if (content.IsZero() || submission.Fingerprint != content) && (name == "" || submission.RequestID != name) {
			continue
		}
		found = append(found, Explanation{
			AgoMS: (now - item.at).Milliseconds(), Request: submission.RequestID, Content: submission.Fingerprint,
			Service: submission.Service, Route: submission.Route, Tenant: submission.Tenant, Priority: submission.Priority,
			Reason: rejection.Reason, QueuedAhead: rejection.QueuedAhead, FreeSlots: rejection.FreeSlots,
			ExpectedMS: rejection.ExpectedWait.Milliseconds(), WaitedMS: rejection.Waited.Milliseconds(), RetryAfterMS: rejection.RetryAfter.Milliseconds(),
			Weight: submission.Weight, Share: item.share, Used: item.used, UsedShare: item.usedShare, QuotaRate: rejection.QuotaRate, Cost: rejection.Cost,
		})
	}
	return found
}
