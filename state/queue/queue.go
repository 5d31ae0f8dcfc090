// Package queue orders the requests that are queued at a node for one pool of
// replicas. Tiers have strict priority. Within a tier tenants share by weight
// (package fairshare), except that requests queued longer than an aging limit
// come first, oldest first.
package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/state/fairshare"
	"github.com/thornwalk/thornwalk/structs"
)

// Item is a queued request.
type Item struct {
	Request *structs.Request
	// Work is the estimated engine time of the request.
	Work time.Duration
	// startTag is the virtual start time of the item within its tier, as of the latest NextItems.
	startTag float64
}

// cost returns the item's share of its tier. A weight that is not positive counts as 1.
func (i *Item) cost() float64 {
	if i.Request.Weight <= 0 {
		return i.Work.Seconds()
	}
	return i.Work.Seconds() / i.Request.Weight
}

// Queue holds the queued requests of one pool. It is not safe for concurrent use.
type Queue struct {
	// tiers is ordered by rank, highest tier (lowest rank) first.
	tiers []*tier
	byID  map[string]*Item
}

// tier holds the queued requests of one rank.
type tier struct {
	rank    structs.Rank
	tenants map[string]*tenantQueue
	shares  *fairshare.Ledger[string]
	count   int
	work    time.Duration
}

// tenantQueue holds the queued requests of one tenant within a tier, oldest first. It is not empty.
type tenantQueue struct {
	items   []*Item
	account *fairshare.Account[string]
}

func New() *Queue { return &Queue{byID: map[string]*Item{}} }

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.byID) }

// TierLen returns the number of queued requests of the rank.
func (q *Queue) TierLen(rank structs.Rank) int {
	if t := q.findTier(rank); t != nil {
		return t.count
	}
	return 0
}

// WorkAhead returns the total work of the requests of the rank and of higher tiers.
func (q *Queue) WorkAhead(rank structs.Rank) time.Duration {
	var work time.Duration
	for _, t := range q.tiers {
		if t.rank <= rank {
			work += t.work
		}
	}
	return work
}

// Push adds a request with its estimated engine time. A weight that is not positive
// counts as 1.
func (q *Queue) Push(request *structs.Request, work time.Duration) {
	t := q.findOrAddTier(request.Rank)
	tenant, found := t.tenants[request.Tenant]
	if !found {
		tenant = &tenantQueue{}
		t.tenants[request.Tenant] = tenant
	}
	tenant.account = t.shares.Enqueue(request.Tenant)
	item := &Item{Request: request, Work: work}
	tenant.items = append(tenant.items, item)
	t.count++
	t.work += work
	q.byID[request.ID] = item
}

// NextItems returns up to maxItems items in the order in which they should be
// dispatched, without removing them.
func (q *Queue) NextItems(now structs.Instant, agingLimit time.Duration, maxItems int) []*Item {
	var items []*Item
	for _, t := range q.tiers {
		items = t.appendOrdered(now, agingLimit, maxItems, items)
	}
	return items
}

// appendOrdered appends the tier's items to items, up to maxItems in total, by merging
// the queues of the tenants.
func (t *tier) appendOrdered(now structs.Instant, agingLimit time.Duration, maxItems int, items []*Item) []*Item {
	pending := make([][]*Item, 0, len(t.tenants))
	t.shares.BeginOrder()
	for _, tenant := range t.tenants {
		for _, item := range tenant.items {
			item.startTag = tenant.account.NextTag(item.cost())
		}
		pending = append(pending, tenant.items)
	}
	for len(items) < maxItems {
		best := -1
		for i := range pending {
			if len(pending[i]) > 0 && (best < 0 || startsBefore(pending[i][0], pending[best][0], now, agingLimit)) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		items = append(items, pending[best][0])
		pending[best] = pending[best][1:]
	}
	return items
}

// startsBefore reports whether a is ahead of b: first the oldest requests past the
// aging limit, then by start tag; the ID makes the order deterministic.
func startsBefore(a, b *Item, now structs.Instant, agingLimit time.Duration) bool {
	agedA, agedB := now-a.Request.Arrived > agingLimit, now-b.Request.Arrived > agingLimit
	if agedA != agedB {
		return agedA
	}
	if agedA && a.Request.Arrived != b.Request.Arrived {
		return a.Request.Arrived < b.Request.Arrived
	}
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.Request.ID < b.Request.ID
}

// Ranks returns the ranks that have queued requests, highest tier first.
func (q *Queue) Ranks() []structs.Rank {
	var ranks []structs.Rank
	for _, t := range q.tiers {
		if t.count > 0 {
			ranks = append(ranks, t.rank)
		}
	}
	return ranks
}

// ByDeadline returns the queued items of the rank, earliest deadline first.
func (q *Queue) ByDeadline(rank structs.Rank) []*Item {
	t := q.findTier(rank)
	if t == nil {
		return nil
	}
	items := make([]*Item, 0, t.count)
	for _, tenant := range t.tenants {
		items = append(items, tenant.items...)
	}
	slices.SortFunc(items, func(a, b *Item) int {
		return cmp.Or(cmp.Compare(a.Request.Deadline, b.Request.Deadline), cmp.Compare(a.Request.ID, b.Request.ID))
	})
	return items
}

// Dispatch removes a request that starts now and reports whether it was queued.
func (q *Queue) Dispatch(id string) bool {
	item, found := q.byID[id]
	if !found {
		return false
	}
	account := q.remove(item)
	account.Dispatch(item.cost())
	account.Complete(0) // the end of a request is not reported here
	return true
}

// Remove removes a request that does not start, which uses nothing of its tenant's share, and reports
// whether it was queued.
func (q *Queue) Remove(id string) bool {
	item, found := q.byID[id]
	if !found {
		return false
	}
	q.remove(item).Withdraw()
	return true
}

// remove removes the item and returns the account of its tenant.
func (q *Queue) remove(item *Item) *fairshare.Account[string] {
	delete(q.byID, item.Request.ID)
	t := q.findOrAddTier(item.Request.Rank)
	tenant := t.tenants[item.Request.Tenant]
	tenant.items = slices.DeleteFunc(tenant.items, func(other *Item) bool { return other == item })
	if len(tenant.items) == 0 {
		delete(t.tenants, item.Request.Tenant)
	}
	t.count--
	t.work -= item.Work
	return tenant.account
}

// LowerTiers returns the queued requests of the tiers below the rank, lowest tier
// first and oldest first within a tier.
func (q *Queue) LowerTiers(rank structs.Rank) []*structs.Request {
	var requests []*structs.Request
	for i := len(q.tiers) - 1; i >= 0 && q.tiers[i].rank > rank; i-- {
		requests = append(requests, q.tiers[i].byArrival()...)
	}
	return requests
}

// All returns all queued requests in the order of LowerTiers.
func (q *Queue) All() []*structs.Request { return q.LowerTiers(-1) }

// byArrival returns the tier's requests, oldest first.
func (t *tier) byArrival() []*structs.Request {
	var requests []*structs.Request
	for _, tenant := range t.tenants {
		for _, item := range tenant.items {
			requests = append(requests, item.Request)
		}
	}
	slices.SortFunc(requests, func(a, b *structs.Request) int {
		return cmp.Or(cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	return requests
}

// findTier returns the tier of the rank, or nil.
func (q *Queue) findTier(rank structs.Rank) *tier {
	for _, t := range q.tiers {
		if t.rank == rank {
			return t
		}
	}
	return nil
}

// findOrAddTier returns the tier of the rank and adds it if necessary.
func (q *Queue) findOrAddTier(rank structs.Rank) *tier {
	if t := q.findTier(rank); t != nil {
		return t
	}
	t := &tier{rank: rank, tenants: map[string]*tenantQueue{}, shares: fairshare.New[string]()}
	index, _ := slices.BinarySearchFunc(q.tiers, rank, func(other *tier, r structs.Rank) int { return int(other.rank - r) })
	q.tiers = slices.Insert(q.tiers, index, t)
	return t
}
