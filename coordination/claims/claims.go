// Package claims prevents requests that must not run twice from being dispatched
// twice, by a claim in the store before dispatch. Claims of one shard share a
// page, which is written in batches by compare-and-swap.
//
// Of all requests under one tenant's key, over all nodes that share the store,
// at most one holds the claim; until it releases the claim, no other gets it.
// The guarantee relies on compare-and-swap alone: any node may write any page.
// If a write has an unknown outcome, the page is read again and the write
// retried; a claim missing from the page may still be written by the lost call.
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

// maxBatchOperations bounds the claims and releases of one write.
const maxBatchOperations = 256

// retryDelay is the time between attempts to commit a batch after a failure.
const retryDelay = 20 * time.Millisecond

// Result is the result of a claim.
type Result struct {
	// Granted is true if the request holds the claim.
	Granted bool
	// Holder is the existing claim if another request holds it.
	Holder Claim
}

// operation is one claim or release to be committed.
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

// Settings are the settings of a committer. They may change between calls.
type Settings struct {
	// Shards is the number of pages over which keys of one bucket are spread.
	Shards int
	// Window is how long operations are collected before a batch is written.
	Window time.Duration
	// Retention is the age up to which dated keys are accepted.
	Retention time.Duration
}

// Committer writes the claims of a node in batches, one batch per page at a
// time. It is safe for concurrent use.
type Committer struct {
	store    outside.Store
	settings func() Settings
	wallTime func() time.Time
	ctx      context.Context

	mutex   sync.Mutex
	pending map[Page][]*operation
	// running has the pages for which a commitPage goroutine runs.
	running map[Page]bool
	// pages caches the pages last written, and leases the leases by period of
	// bucketsPerLease buckets.
	pages   *simplelru.LRU[Page, outside.Value]
	leases  *simplelru.LRU[int64, outside.LeaseID]
	commits sync.WaitGroup
}

// NewCommitter returns a committer that runs until the context ends.
func NewCommitter(ctx context.Context, store outside.Store, settings func() Settings, wallTime func() time.Time) *Committer {
	// NewLRU fails only if the size isn't positive.
	pages, _ := simplelru.NewLRU[Page, outside.Value](maxCachedPages, nil)
	leases, _ := simplelru.NewLRU[int64, outside.LeaseID](maxCachedPages, nil)
	return &Committer{
		store: store, settings: settings, wallTime: wallTime, ctx: ctx,
		pending: map[Page][]*operation{}, running: map[Page]bool{}, pages: pages, leases: leases,
	}
}

// maxCachedPages bounds the pages and leases cached between batches.
const maxCachedPages = 32

// maxFutureSkew is how far ahead of this machine's clock the creation time of a
// key may be.
const maxFutureSkew = 5 * time.Minute

// Claim requests the right to dispatch the request under the tenant's key. It
// blocks until the store has confirmed the write or the context ends.
//
// Errors: KeyExpired if the key is older than the retention; BadRequest if it was
// created in the future; KeyReused if it was claimed for another body;
// ClaimPageFull; NoClaim if the outcome is unknown. After NoClaim the claim may
// exist, and the request must not be dispatched.
func (c *Committer) Claim(ctx context.Context, tenant, key string, claim Claim) (Result, error) {
	if createdAt, dated := KeyCreatedAt(key); dated {
		age := c.wallTime().Sub(createdAt)
		if age > c.settings().Retention {
			return Result{}, errkind.New(errkind.KeyExpired, "claiming the key: it was created at %s, longer ago than claims are retained", createdAt.UTC().Format(time.RFC3339))
		}
		if age < -maxFutureSkew {
			return Result{}, errkind.New(errkind.BadRequest, "claiming the key: it was created at %s, further in the future than the tolerated clock skew", createdAt.UTC().Format(time.RFC3339))
		}
	}
	claim.KeyHash = HashKey(tenant, key)
	page := PageOf(tenant, key, c.settings().Shards)
	return c.submit(ctx, page, &operation{claim: claim, done: make(chan outcome, 1), ctx: ctx})
}

// Release removes the claim of a request that certainly did not run. If it fails,
// the claim may remain, and a resubmission under the key ends with an unknown
// outcome.
func (c *Committer) Release(ctx context.Context, tenant, key, requestID string) error {
	claim := Claim{KeyHash: HashKey(tenant, key), RequestID: requestID}
	page := PageOf(tenant, key, c.settings().Shards)
	_, err := c.submit(ctx, page, &operation{claim: claim, release: true, done: make(chan outcome, 1), ctx: ctx})
	return err
}

// submit queues the operation for the page's next batch and waits for the result.
func (c *Committer) submit(ctx context.Context, page Page, op *operation) (Result, error) {
	c.mutex.Lock()
	c.pending[page] = append(c.pending[page], op)
	if !c.running[page] {
		c.running[page] = true
		c.commits.Go(func() { c.commitPage(page) })
	}
	c.mutex.Unlock()
	select {
	case committed := <-op.done:
		return committed.result, committed.err
	case <-ctx.Done():
		return Result{}, errkind.New(errkind.NoClaim, "committing the claim: the store did not confirm the write in time")
	case <-c.ctx.Done():
		return Result{}, errkind.New(errkind.NoClaim, "committing the claim: the node is stopping")
	}
}

// Wait blocks until no batch is being committed. The committer's context must
// have ended.
func (c *Committer) Wait() { c.commits.Wait() }

// commitPage commits batches until no operation is pending for the page.
func (c *Committer) commitPage(page Page) {
	for {
		if !wait.Sleep(c.ctx, c.settings().Window) {
			return
		}
		batch := c.takeBatch(page)
		if len(batch) == 0 {
			return
		}
		c.commitBatch(page, batch)
	}
}

// takeBatch removes the next batch from the pending operations. If there is none,
// it returns an empty batch and allows a new commitPage to start.
func (c *Committer) takeBatch(page Page) []*operation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	pending := c.pending[page]
	batch := pending[:min(len(pending), maxBatchOperations)]
	c.pending[page] = pending[len(batch):]
	if len(batch) == 0 {
		delete(c.running, page)
		delete(c.pending, page)
	}
	return batch
}

// commitBatch retries one batch until it is committed, rejected or all its
// callers have given up.
func (c *Committer) commitBatch(page Page, batch []*operation) {
	for c.ctx.Err() == nil {
		batch = dropCanceled(batch)
		if len(batch) == 0 {
			return
		}
		done, err := c.tryCommit(page, batch)
		if done {
			return
		}
		if !errors.Is(err, errkind.Conflict) && !wait.Sleep(c.ctx, retryDelay) {
			return
		}
	}
}

// dropCanceled drops operations whose callers gave up. A claim that an earlier
// attempt wrote stays in the page although its caller got NoClaim.
func dropCanceled(batch []*operation) []*operation {
	var remaining []*operation
	for _, op := range batch {
		if op.ctx.Err() == nil {
			remaining = append(remaining, op)
		}
	}
	return remaining
}

// tryCommit applies the batch to the page as last read and swaps it in. It
// returns whether the operations got their results. A failed swap evicts the
// cached page, so that the next attempt reads it again.
func (c *Committer) tryCommit(page Page, batch []*operation) (bool, error) {
	lease, err := c.leaseFor(page)
	if err != nil {
		return false, err
	}
	current, err := c.readPage(page)
	if err != nil {
		return false, err
	}
	content, err := decodePage(current.Data)
	if err != nil {
		return false, err
	}
	outcomes := applyBatch(&content, batch)
	data, err := content.encode()
	if err != nil {
		return false, err
	}
	if len(data) > MaxPageBytes {
		rejectNewClaims(batch, outcomes)
		return true, nil
	}
	revision, err := c.store.Swap(c.ctx, page.Key(), current.Revision, data, lease)
	if err != nil {
		c.evictPage(page)
		return false, err
	}
	c.cachePage(page, outside.Value{Data: data, Revision: revision})
	for i, op := range batch {
		op.done <- outcomes[i]
	}
	return true, nil
}

// applyBatch applies the operations to the page. An existing claim with the same
// request id is an earlier write with an unknown outcome and counts as granted.
func applyBatch(content *claimPage, batch []*operation) []outcome {
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
			outcomes[i].err = errkind.New(errkind.KeyReused, "claiming the key: it was claimed before for a request with another body")
		default:
			outcomes[i].result.Holder = existing
		}
	}
	return outcomes
}

// rejectNewClaims ends a batch that does not fit into the page: new claims get
// ClaimPageFull, the others their results.
func rejectNewClaims(batch []*operation, outcomes []outcome) {
	for i, op := range batch {
		if outcomes[i].result.Granted {
			outcomes[i] = outcome{err: errkind.New(errkind.ClaimPageFull, "claiming the key: its claim page has reached the maximum size")}
		}
		op.done <- outcomes[i]
	}
}

func (c *Committer) readPage(page Page) (outside.Value, error) {
	c.mutex.Lock()
	cached, found := c.pages.Get(page)
	c.mutex.Unlock()
	if found {
		return cached, nil
	}
	return c.store.Get(c.ctx, page.Key())
}

func (c *Committer) cachePage(page Page, value outside.Value) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pages.Add(page, value)
}

func (c *Committer) evictPage(page Page) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pages.Remove(page)
	c.leases.Remove(page.Bucket / bucketsPerLease)
}

// leaseMarginAfterRetention is how long a page is kept after its keys expired.
const leaseMarginAfterRetention = 10 * time.Minute

// bucketsPerLease is the number of successive buckets whose pages share a lease.
const bucketsPerLease = 300

// leaseFor returns the lease under which a page of dated keys is written, which
// removes the page after its keys expired. Pages of undated keys have no lease.
func (c *Committer) leaseFor(page Page) (outside.LeaseID, error) {
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
	end := time.Unix((period+1)*bucketsPerLease*int64(BucketDuration/time.Second), 0)
	lease, err := c.store.Grant(c.ctx, max(0, end.Sub(c.wallTime()))+c.settings().Retention+leaseMarginAfterRetention)
	if err != nil {
		return 0, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leases.Add(period, lease)
	return lease, nil
}
