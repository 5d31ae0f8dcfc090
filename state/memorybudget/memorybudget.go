// Package memorybudget bounds the bytes that many holders hold together. It does no I/O and reads no clock.
//
// Guarantees:
//   - The bytes of all accounts that are not evicted never exceed the limit.
//   - A reservation never waits. If it exceeds the limit, the accounts that hold most are evicted; the one that reserves
//     goes before others that hold as much.
//   - The evict function of an account is called at most once, and not after Close returned.
package memorybudget

import (
	"errors"
	"sync"
)

// ErrEvicted is the error of reservations of an evicted account. Its holder must free what it holds.
var ErrEvicted = errors.New("reserve memory: the budget of this process is exhausted")

// Budget is a limit on the bytes of all its accounts together. It is safe for concurrent use.
type Budget struct {
	mutex    sync.Mutex
	limit    int64
	held     int64
	accounts map[*Account]struct{}
	evicted  int64
	maxHeld  int64
}

// Account is what one holder holds. It is safe for concurrent use.
type Account struct {
	budget    *Budget
	held      int64
	isEvicted bool
	isClosed  bool
	evict     func()
	// evicting is held while the evict function is called, so that Close can wait for it.
	evicting sync.Mutex
}

// New returns a budget of so many bytes; zero means no limit.
func New(limit int64) *Budget {
	return &Budget{limit: limit, accounts: map[*Account]struct{}{}}
}

// SetLimit changes the limit. Accounts are evicted for it by the next reservation.
func (b *Budget) SetLimit(limit int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limit = limit
}

// Held returns the bytes of all accounts that are not evicted, and the most that they were.
func (b *Budget) Held() (held, most int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held, b.maxHeld
}

// Evicted returns the number of evicted accounts.
func (b *Budget) Evicted() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.evicted
}

// Open returns an empty account. evict must not block and not call the budget; it makes the holder free what it holds.
func (b *Budget) Open(evict func()) *Account {
	return &Account{budget: b, evict: evict}
}

// Reserve adds bytes to the account. After ErrEvicted nothing was added and the account holds nothing any more.
func (a *Account) Reserve(bytes int64) error {
	b := a.budget
	b.mutex.Lock()
	if a.isEvicted || a.isClosed {
		b.mutex.Unlock()
		return ErrEvicted
	}
	b.held += bytes
	a.held += bytes
	b.accounts[a] = struct{}{}
	evicted := b.evictLargest(a)
	b.maxHeld = max(b.maxHeld, b.held)
	isEvicted := a.isEvicted
	b.mutex.Unlock()
	for _, account := range evicted {
		account.callEvict()
	}
	if isEvicted {
		return ErrEvicted
	}
	return nil
}

// callEvict calls the account's evict function unless the account was closed meanwhile.
func (a *Account) callEvict() {
	a.evicting.Lock()
	defer a.evicting.Unlock()
	a.budget.mutex.Lock()
	evict, isClosed := a.evict, a.isClosed
	a.budget.mutex.Unlock()
	if !isClosed {
		evict()
	}
}

// evictLargest marks the accounts that hold most as evicted until the others are within the limit, and returns them.
func (b *Budget) evictLargest(reserving *Account) []*Account {
	var evicted []*Account
	for b.limit > 0 && b.held > b.limit {
		largest := reserving
		for account := range b.accounts {
			if account.held > largest.held {
				largest = account
			}
		}
		evicted = append(evicted, largest)
		largest.isEvicted = true
		b.evicted++
		b.remove(largest)
	}
	return evicted
}

// remove takes the account's bytes out of the budget.
func (b *Budget) remove(account *Account) {
	b.held -= account.held
	account.held = 0
	delete(b.accounts, account)
}

// Release takes bytes from the account that its holder has freed.
func (a *Account) Release(bytes int64) {
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	if a.held >= bytes {
		a.held -= bytes
		a.budget.held -= bytes
	}
}

// OnEvict replaces the evict function. It returns false if the account is evicted already.
func (a *Account) OnEvict(evict func()) bool {
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	a.evict = evict
	return !a.isEvicted
}

// IsEvicted reports whether the account was evicted.
func (a *Account) IsEvicted() bool {
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	return a.isEvicted
}

// Close takes all of the account's bytes out of the budget. Later reservations fail. It must not be called by the evict
// function.
func (a *Account) Close() {
	a.evicting.Lock()
	defer a.evicting.Unlock()
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	a.budget.remove(a)
	a.isClosed = true
}
