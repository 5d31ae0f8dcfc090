// Package fairshare divides a resource among tenants by weighted max-min fairness. It implements
// start-time fair queueing (Goyal, Vin and Cheng, 1996): each tenant's next request has a start tag, the
// request with the lowest start tag is dispatched first, and a dispatched request delays the next one of
// its tenant by its cost, the work divided by the tenant's weight.
//
// Between any two tenants with requests queued throughout an interval, the costs of what was dispatched
// differ by at most the sum of the largest cost of each, if requests are dispatched in the order of their
// start tags. A tenant without requests accrues no claim, and what it used while others had none queued
// is not held against it.
//
// The package does no I/O and reads no clock.
package fairshare

import (
	"cmp"
	"slices"
)

// Ledger holds the virtual time and the accounts of the tenants that compete for one resource. Tenants
// have an account only while they have requests queued or in progress, or are ahead of the virtual time.
// It is not safe for concurrent use.
type Ledger[Tenant cmp.Ordered] struct {
	// virtualTime is the highest start tag of the dispatched requests.
	virtualTime float64
	accounts    map[Tenant]*Account[Tenant]
	// active counts the accounts with requests queued or in progress.
	active int
	// pruneAt is the number of accounts at which those that no longer matter are dropped.
	pruneAt int
	// order counts the calls of BeginOrder.
	order int
}

// Account holds the requests of one tenant. It is valid while it has requests queued or in progress.
type Account[Tenant cmp.Ordered] struct {
	ledger *Ledger[Tenant]
	tenant Tenant
	// finishTag is the finish tag of the latest dispatched request and, while requests are queued, the
	// start tag of the next one.
	finishTag          float64
	queued, inProgress int
	// nextTag is the next result of NextTag in the given order.
	nextTag float64
	order   int
}

// Level is the lead of a tenant: its finish tag minus the virtual time.
type Level[Tenant cmp.Ordered] struct {
	Tenant Tenant
	Lead   float64
}

// minPruneAt is the number of accounts below which the ledger is not pruned.
const minPruneAt = 64

// New returns a ledger in which all tenants are equal.
func New[Tenant cmp.Ordered]() *Ledger[Tenant] {
	return &Ledger[Tenant]{accounts: map[Tenant]*Account[Tenant]{}, pruneAt: minPruneAt}
}

// Len returns the number of accounts.
func (l *Ledger[Tenant]) Len() int { return len(l.accounts) }

// Enqueue records a queued request of the tenant and returns the tenant's account.
func (l *Ledger[Tenant]) Enqueue(tenant Tenant) *Account[Tenant] {
	account := l.account(tenant)
	if account.queued == 0 {
		account.finishTag = max(account.finishTag, l.virtualTime)
	}
	if account.isIdle() {
		l.active++
	}
	account.queued++
	return account
}

// account returns the tenant's account, and creates it if needed.
func (l *Ledger[Tenant]) account(tenant Tenant) *Account[Tenant] {
	account, found := l.accounts[tenant]
	if !found {
		if len(l.accounts) >= l.pruneAt {
			l.Prune()
		}
		account = &Account[Tenant]{ledger: l, tenant: tenant, finishTag: l.virtualTime}
		l.accounts[tenant] = account
	}
	return account
}

func (a *Account[Tenant]) isIdle() bool { return a.queued+a.inProgress == 0 }

// Withdraw records that a queued request is not dispatched.
func (a *Account[Tenant]) Withdraw() {
	a.queued--
	a.release()
}

// Dispatch records that a queued request is dispatched. The cost is its expected work divided by the
// weight of the tenant.
func (a *Account[Tenant]) Dispatch(cost float64) {
	a.ledger.virtualTime = max(a.ledger.virtualTime, a.finishTag)
	a.finishTag += cost
	a.queued--
	a.inProgress++
}

// Complete records the end of a dispatched request, and what its cost differs from that at the dispatch.
func (a *Account[Tenant]) Complete(correction float64) {
	a.finishTag += correction
	a.inProgress--
	a.release()
}

// release drops the account if it no longer matters. Once no tenant has requests queued or in progress,
// all of them start equal.
func (a *Account[Tenant]) release() {
	l := a.ledger
	if !a.isIdle() {
		return
	}
	if l.active--; l.active == 0 {
		l.reset()
	} else if a.finishTag <= l.virtualTime {
		delete(l.accounts, a.tenant)
	}
}

func (l *Ledger[Tenant]) reset() {
	clear(l.accounts)
	l.virtualTime, l.pruneAt = 0, minPruneAt
}

// Prune drops the accounts of tenants that have no requests and are not ahead of the virtual time.
func (l *Ledger[Tenant]) Prune() {
	for tenant, account := range l.accounts {
		if account.isIdle() && account.finishTag <= l.virtualTime {
			delete(l.accounts, tenant)
		}
	}
	l.pruneAt = max(2*len(l.accounts), minPruneAt)
}

// BeginOrder begins a sequence of calls of Account.NextTag.
func (l *Ledger[Tenant]) BeginOrder() { l.order++ }

// NextTag returns the start tag of the tenant's next queued request and adds its cost for the following
// call: the k-th call since BeginOrder returns the start tag that the k-th request would have if the
// earlier ones were dispatched first.
func (a *Account[Tenant]) NextTag(cost float64) float64 {
	if a.order != a.ledger.order {
		a.order, a.nextTag = a.ledger.order, a.finishTag
	}
	tag := a.nextTag
	a.nextTag += cost
	return tag
}

// Levels returns the leads of up to maxCount tenants that are ahead of the virtual time, largest first.
func (l *Ledger[Tenant]) Levels(maxCount int) []Level[Tenant] {
	var levels []Level[Tenant]
	for tenant, account := range l.accounts {
		if lead := account.finishTag - l.virtualTime; lead > 0 {
			levels = append(levels, Level[Tenant]{tenant, lead})
		}
	}
	slices.SortFunc(levels, func(a, b Level[Tenant]) int {
		return cmp.Or(cmp.Compare(b.Lead, a.Lead), cmp.Compare(a.Tenant, b.Tenant))
	})
	return levels[:min(len(levels), maxCount)]
}

// Equalize removes the leads and claims of all tenants.
func (l *Ledger[Tenant]) Equalize() {
	for _, account := range l.accounts {
		account.finishTag = l.virtualTime
	}
	l.Prune()
}

// Advance adds to the tenant's lead what it used of a resource at another ledger.
func (l *Ledger[Tenant]) Advance(tenant Tenant, lead float64) {
	account := l.account(tenant)
	account.finishTag = max(account.finishTag, l.virtualTime) + lead
}
