// Package queue holds the requests that wait at a node for one pool of
// replicas. Tiers are strict: a request of a higher tier is always ahead.
// Inside a tier tenants share by weight (start-time fair queueing), and a
// request that has waited longer than the aging limit goes ahead of the share.
package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Item is one waiting request.
type Item struct {
	Request *structs.Request
	// Work is the estimated engine time that the request takes.
	Work time.Duration
	// start is the virtual start time of the item inside its tier.
	start float64
}

// Queue is the waiting requests of one pool. It is not safe for concurrent use.
type Queue struct {
	tiers []*tier
	byID  map[string]*Item
}

// tier is the waiting requests of one rank.
type tier struct {
	rank    structs.Rank
	tenants map[string]*lane
	// virtual is the virtual time: the start tag of the last item taken.
	virtual float64
	count   int
	work    time.Duration
}

// lane is the waiting requests of one tenant, oldest first.
type lane struct {
	items  []*Item
	finish float64
}

// New returns an empty queue.
func New() *Queue { return &Queue{byID: map[string]*Item{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.byID) }

// TierLen returns the number of waiting requests of the rank.
func (q *Queue) TierLen(rank structs.Rank) int {
	if t := q.find(rank); t != nil {
		return t.count
	}
	return 0
}

// WorkAhead returns the work of all requests of the rank and above.
func (q *Queue) WorkAhead(rank structs.Rank) time.Duration {
	var work time.Duration
	for _, t := range q.tiers {
		if t.rank <= rank {
			work += t.work
		}
	}
	return work
}

// Push adds a request with its estimated work.
func (q *Queue) Push(request *structs.Request, work time.Duration) {
	t := q.tier(request.Rank)
	l, found := t.tenants[request.Tenant]
	if !found {
		l = &lane{}
		t.tenants[request.Tenant] = l
	}
	item := &Item{Request: request, Work: work, start: max(t.virtual, l.finish)}
	weight := request.Weight
	if weight <= 0 {
		weight = 1
	}
	l.finish = item.start + work.Seconds()/weight
	l.items = append(l.items, item)
	t.count++
	t.work += work
	q.byID[request.ID] = item
}

// Order returns up to limit requests in the order in which they should start.
// The result is in the queue still.
func (q *Queue) Order(now structs.Instant, agingLimit time.Duration, limit int) []*Item {
	var items []*Item
	for _, t := range q.tiers {
		items = t.order(now, agingLimit, limit, items)
	}
	return items
}

// order merges the lanes: first the oldest requests past the aging limit, then
// by virtual start; equal starts go by id, so that the order is always the same.
func (t *tier) order(now structs.Instant, agingLimit time.Duration, limit int, items []*Item) []*Item {
	lanes := make([][]*Item, 0, len(t.tenants))
	for _, l := range t.tenants {
		lanes = append(lanes, l.items)
	}
	for len(items) < limit {
		best := -1
		for i := range lanes {
			if len(lanes[i]) > 0 && (best < 0 || before(lanes[i][0], lanes[best][0], now, agingLimit)) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		items = append(items, lanes[best][0])
		lanes[best] = lanes[best][1:]
	}
	return items
}

func before(a, b *Item, now structs.Instant, agingLimit time.Duration) bool {
	agedA, agedB := now-a.Request.Arrived > agingLimit, now-b.Request.Arrived > agingLimit
	if agedA != agedB {
		return agedA
	}
	if agedA && a.Request.Arrived != b.Request.Arrived {
		return a.Request.Arrived < b.Request.Arrived
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.Request.ID < b.Request.ID
}

// Ranks returns the ranks that have waiting requests, highest tier first.
func (q *Queue) Ranks() []structs.Rank {
	var ranks []structs.Rank
	for _, t := range q.tiers {
		if t.count > 0 {
			ranks = append(ranks, t.rank)
		}
	}
	return ranks
}

// ByDeadline returns the waiting requests of the rank, earliest deadline first.
func (q *Queue) ByDeadline(rank structs.Rank) []*Item {
	t := q.find(rank)
	if t == nil {
		return nil
	}
	items := make([]*Item, 0, t.count)
	for _, l := range t.tenants {
		items = append(items, l.items...)
	}
	slices.SortFunc(items, func(a, b *Item) int {
		return cmp.Or(cmp.Compare(a.Request.Deadline, b.Request.Deadline), cmp.Compare(a.Request.ID, b.Request.ID))
	})
	return items
}

// Remove takes the request out and returns false if it does not wait here.
func (q *Queue) Remove(id string) bool {
	item, found := q.byID[id]
	if !found {
		return false
	}
	delete(q.byID, id)
	t := q.tier(item.Request.Rank)
	l := t.tenants[item.Request.Tenant]
	l.items = slices.DeleteFunc(l.items, func(other *Item) bool { return other == item })
	if len(l.items) == 0 {
		delete(t.tenants, item.Request.Tenant)
	}
	t.count--
	t.work -= item.Work
	t.virtual = max(t.virtual, item.start)
	return true
}

// LowerTiers returns the waiting requests of ranks greater than the given one,
// which are lower tiers, lowest first.
func (q *Queue) LowerTiers(rank structs.Rank) []*structs.Request {
	var requests []*structs.Request
	for i := len(q.tiers) - 1; i >= 0 && q.tiers[i].rank > rank; i-- {
		requests = append(requests, q.tiers[i].requests()...)
	}
	return requests
}

// All returns every waiting request, lowest tier first.
func (q *Queue) All() []*structs.Request { return q.LowerTiers(-1) }

func (t *tier) requests() []*structs.Request {
	var requests []*structs.Request
	for _, l := range t.tenants {
		for _, item := range l.items {
			requests = append(requests, item.Request)
		}
	}
	slices.SortFunc(requests, func(a, b *structs.Request) int {
		return cmp.Or(cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	return requests
}

func (q *Queue) find(rank structs.Rank) *tier {
	for _, t := range q.tiers {
		if t.rank == rank {
			return t
		}
	}
	return nil
}

func (q *Queue) tier(rank structs.Rank) *tier {
	if t := q.find(rank); t != nil {
		return t
	}
	t := &tier{rank: rank, tenants: map[string]*lane{}}
	index, _ := slices.BinarySearchFunc(q.tiers, rank, func(other *tier, r structs.Rank) int { return int(other.rank - r) })
	q.tiers = slices.Insert(q.tiers, index, t)
	return t
}
