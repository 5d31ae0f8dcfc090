// Package claims makes requests that must not run twice run at most once, by a
// claim in the platform's store before dispatch. Claims of one shard share a
// page, and many are committed by one compare-and-swap, so that writes grow
// with the number of zones and not with requests.
//
// Guarantee: of all requests under one tenant's key, in all zones that share
// the store and over all processes, at most one is ever granted. It rests on
// compare-and-swap alone: no node owns a shard. A write whose answer was lost
// is settled by reading the page; an absent claim proves nothing, since the
// write may still land, until a later write of one's own to the page succeeded.
package claims

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thornwalk/thornwalk/internal/wait"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// maximumBatch bounds the claims of one write.
const maximumBatch = 256

// attemptPause is the time between tries of a batch after a failure.
const attemptPause = 20 * time.Millisecond

// Result is the answer to a claim.
type Result struct {
	// Granted is true if the request holds the claim.
	Granted bool
	// Holder is the claim in force if it is another's.
	Holder Claim
}

// operation is one claim or release that waits for its batch.
type operation struct {
	claim   Claim
	release bool
	done    chan outcome
	ctx     context.Context
}

type outcome struct {
	result Result
	err    error
}

// Settings of a committer, read for each batch.
type Settings struct {
	Shards    int
	Window    time.Duration
	Retention time.Duration
}

// Committer groups the claims of a node. It is safe for concurrent use.
type Committer struct {
	store    outside.Store
	settings func() Settings
	wallTime func() time.Time
	ctx      context.Context

	mutex   sync.Mutex
	pending map[Page][]*operation
	running map[Page]bool
	cache   *simplelru.LRU[Page, outside.Value]
	leases  *simplelru.LRU[int64, outside.LeaseID]
	group   sync.WaitGroup
}

// NewCommitter returns a committer that works until the context ends.
func NewCommitter(ctx context.Context, store outside.Store, settings func() Settings, wallTime func() time.Time) *Committer {
	// The sizes are positive, so that no error is possible.
	cache, _ := simplelru.NewLRU[Page, outside.Value](cachedPages, nil)
	leases, _ := simplelru.NewLRU[int64, outside.LeaseID](cachedPages, nil)
	return &Committer{
		store: store, settings: settings, wallTime: wallTime, ctx: ctx,
		pending: map[Page][]*operation{}, running: map[Page]bool{}, cache: cache, leases: leases,
	}
}

// cachedPages bounds the pages remembered between batches.
const cachedPages = 32

// futureLimit is how far ahead of this machine's clock a key may be dated.
const futureLimit = 5 * time.Minute

// Claim asks for the right to dispatch the request under the tenant's key.
// Errors: KeyExpired if the key carries a date older than the retention;
// NoClaim if the store does not settle it in time, after which the claim may
// exist, so that the request must not be dispatched; ClaimPageFull; KeyReused
// if the key was claimed for another body.
func (c *Committer) Claim(ctx context.Context, tenant, key string, claim Claim) (Result, error) {
	if made, dated := KeyTime(key); dated {
		age := c.wallTime().Sub(made)
		if age > c.settings().Retention {
			return Result{}, errkind.New(errkind.KeyExpired, "the key was made at %s", made.UTC().Format(time.RFC3339))
		}
		if age < -futureLimit {
			return Result{}, errkind.New(errkind.BadRequest, "the key is dated %s, which is in the future", made.UTC().Format(time.RFC3339))
		}
	}
	claim.KeyHash = HashKey(tenant, key)
	page := PageOf(tenant, key, c.settings().Shards)
	return c.submit(ctx, page, &operation{claim: claim, done: make(chan outcome, 1), ctx: ctx})
}

// Release gives a claim back whose request certainly did not run. It is best
// effort: a claim that stays makes a later resubmission end as unknown.
func (c *Committer) Release(ctx context.Context, tenant, key, requestID string) error {
	claim := Claim{KeyHash: HashKey(tenant, key), RequestID: requestID}
	page := PageOf(tenant, key, c.settings().Shards)
	_, err := c.submit(ctx, page, &operation{claim: claim, release: true, done: make(chan outcome, 1), ctx: ctx})
	return err
}

func (c *Committer) submit(ctx context.Context, page Page, op *operation) (Result, error) {
	c.mutex.Lock()
	c.pending[page] = append(c.pending[page], op)
	if !c.running[page] {
		c.running[page] = true
		c.group.Go(func() { c.commitPage(page) })
	}
	c.mutex.Unlock()
	select {
	case settled := <-op.done:
		return settled.result, settled.err
	case <-ctx.Done():
		return Result{}, errkind.New(errkind.NoClaim, "the store did not settle the claim in time")
	case <-c.ctx.Done():
		return Result{}, errkind.New(errkind.NoClaim, "the node is stopping")
	}
}

// Wait returns when no batch is under way; the context of the committer must
// have ended.
func (c *Committer) Wait() { c.group.Wait() }

// commitPage commits batches until nothing waits.
func (c *Committer) commitPage(page Page) {
	for {
		if !wait.For(c.ctx, c.settings().Window) {
			return
		}
		batch := c.takeBatch(page)
		if len(batch) == 0 {
			return
		}
		c.commit(page, batch)
	}
}

func (c *Committer) takeBatch(page Page) []*operation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waiting := c.pending[page]
	batch := waiting[:min(len(waiting), maximumBatch)]
	c.pending[page] = waiting[len(batch):]
	if len(batch) == 0 {
		delete(c.running, page)
		delete(c.pending, page)
	}
	return batch
}

// commit repeats one batch until the store settles it or nobody waits for it.
func (c *Committer) commit(page Page, batch []*operation) {
	for c.ctx.Err() == nil {
		batch = stillWanted(batch)
		if len(batch) == 0 {
			return
		}
		settled, err := c.attempt(page, batch)
		if settled {
			return
		}
		if !errors.Is(err, errkind.Conflict) && !wait.For(c.ctx, attemptPause) {
			return
		}
	}
}

// stillWanted drops operations whose callers gave up. A claim that an earlier
// attempt may have written is then left in the page; it grants nothing.
func stillWanted(batch []*operation) []*operation {
	var wanted []*operation
	for _, op := range batch {
		if op.ctx.Err() == nil {
			wanted = append(wanted, op)
		}
	}
	return wanted
}

// attempt applies the batch to the page as last read and swaps it. Any failure
// drops the cached page, so that the next attempt reads it again.
func (c *Committer) attempt(page Page, batch []*operation) (bool, error) {
	lease, err := c.lease(page)
	if err != nil {
		return false, err
	}
	current, err := c.read(page)
	if err != nil {
		return false, err
	}
	content, err := decodePage(current.Data)
	if err != nil {
		return false, err
	}
	outcomes := apply(&content, batch)
	data, err := content.encode()
	if err != nil {
		return false, err
	}
	if len(data) > MaximumPage {
		refuseBatch(batch, outcomes)
		return true, nil
	}
	revision, err := c.store.Swap(c.ctx, page.Key(), current.Revision, data, lease)
	if err != nil {
		c.forget(page)
		return false, err
	}
	c.remember(page, outside.Value{Data: data, Revision: revision})
	for i, op := range batch {
		op.done <- outcomes[i]
	}
	return true, nil
}

// apply enters the batch in the page. A claim found under one's own request id
// is one's own earlier write with an unknown outcome: it counts as granted.
func apply(content *claimPage, batch []*operation) []outcome {
	outcomes := make([]outcome, len(batch))
	for i, op := range batch {
		if op.release {
			content.remove(op.claim)
			continue
		}
		existing, found := content.find(op.claim.KeyHash)
		switch {
		case !found:
			content.Claims = append(content.Claims, op.claim)
			outcomes[i].result.Granted = true
		case existing.RequestID == op.claim.RequestID:
			outcomes[i].result.Granted = true
		case existing.BodyHash != op.claim.BodyHash:
			outcomes[i].err = errkind.New(errkind.KeyReused, "the key was claimed for a request with another body")
		default:
			outcomes[i].result.Holder = existing
		}
	}
	return outcomes
}

// refuseBatch answers when the page has no room: claims held by others are
// still told, new ones are refused.
func refuseBatch(batch []*operation, outcomes []outcome) {
	for i, op := range batch {
		if outcomes[i].result.Granted {
			outcomes[i] = outcome{err: errkind.New(errkind.ClaimPageFull, "the page of claims is full")}
		}
		op.done <- outcomes[i]
	}
}

func (c *Committer) read(page Page) (outside.Value, error) {
	c.mutex.Lock()
	cached, found := c.cache.Get(page)
	c.mutex.Unlock()
	if found {
		return cached, nil
	}
	return c.store.Get(c.ctx, page.Key())
}

func (c *Committer) remember(page Page, value outside.Value) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache.Add(page, value)
}

func (c *Committer) forget(page Page) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache.Remove(page)
	c.leases.Remove(page.Bucket / bucketsPerLease)
}

// leaseMargin is how much longer than its keys are accepted a page is kept.
const leaseMargin = 10 * time.Minute

// bucketsPerLease is how many times of keys share a lease of a writer.
const bucketsPerLease = 300

// lease returns the lease under which a page of dated keys is written, so that
// it vanishes after its keys are refused. Pages of undated keys have none.
func (c *Committer) lease(page Page) (outside.LeaseID, error) {
	if page.Bucket == 0 {
		return 0, nil
	}
	c.mutex.Lock()
	period := page.Bucket / bucketsPerLease
	lease, found := c.leases.Get(period)
	c.mutex.Unlock()
	if found {
		return lease, nil
	}
	end := time.Unix((period+1)*bucketsPerLease*int64(BucketLength/time.Second), 0)
	lease, err := c.store.Grant(c.ctx, max(0, end.Sub(c.wallTime()))+c.settings().Retention+leaseMargin)
	if err != nil {
		return 0, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leases.Add(period, lease)
	return lease, nil
}
