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
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/platform"
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
	store    platform.Store
	settings func() Settings
	wallTime func() time.Time
	ctx      context.Context

	mutex   sync.Mutex
	pending map[int][]*operation
	running map[int]bool
	cache   map[int]platform.Value
	group   sync.WaitGroup
}

// NewCommitter returns a committer that works until the context ends.
func NewCommitter(ctx context.Context, store platform.Store, settings func() Settings, wallTime func() time.Time) *Committer {
	return &Committer{
		store: store, settings: settings, wallTime: wallTime, ctx: ctx,
		pending: map[int][]*operation{}, running: map[int]bool{}, cache: map[int]platform.Value{},
	}
}

// Claim asks for the right to dispatch the request under the tenant's key.
// Errors: KeyExpired if the key carries a date older than the retention;
// NoClaim if the store does not settle it in time, after which the claim may
// exist, so that the request must not be dispatched; ClaimPageFull; KeyReused
// if the key was claimed for another body.
func (c *Committer) Claim(ctx context.Context, tenant, key string, claim Claim) (Result, error) {
	if made, dated := KeyTime(key); dated {
		if c.wallTime().Sub(made) > c.settings().Retention {
			return Result{}, errkind.New(errkind.KeyExpired, "the key was made at %s", made.UTC().Format(time.RFC3339))
		}
		claim.Hour = made.Unix() / secondsPerHour
	}
	claim.KeyHash = HashKey(tenant, key)
	return c.submit(ctx, &operation{claim: claim, done: make(chan outcome, 1), ctx: ctx})
}

// Release gives a claim back whose request certainly did not run. It is best
// effort: a claim that stays makes a later resubmission end as unknown.
func (c *Committer) Release(ctx context.Context, tenant, key, requestID string) error {
	claim := Claim{KeyHash: HashKey(tenant, key), RequestID: requestID}
	_, err := c.submit(ctx, &operation{claim: claim, release: true, done: make(chan outcome, 1), ctx: ctx})
	return err
}

const secondsPerHour = 3600

func (c *Committer) submit(ctx context.Context, op *operation) (Result, error) {
	shard := int(binary.BigEndian.Uint64(op.claim.KeyHash[:8]) % uint64(max(1, c.settings().Shards)))
	c.mutex.Lock()
	c.pending[shard] = append(c.pending[shard], op)
	if !c.running[shard] {
		c.running[shard] = true
		c.group.Go(func() { c.commitShard(shard) })
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

// commitShard commits batches until nothing waits.
func (c *Committer) commitShard(shard int) {
	for {
		if !sleep(c.ctx, c.settings().Window) {
			return
		}
		batch := c.takeBatch(shard)
		if len(batch) == 0 {
			return
		}
		c.commit(shard, batch)
	}
}

func (c *Committer) takeBatch(shard int) []*operation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waiting := c.pending[shard]
	batch := waiting[:min(len(waiting), maximumBatch)]
	c.pending[shard] = waiting[len(batch):]
	if len(batch) == 0 {
		delete(c.running, shard)
		delete(c.pending, shard)
	}
	return batch
}

// commit repeats one batch until the store settles it or nobody waits for it.
func (c *Committer) commit(shard int, batch []*operation) {
	for c.ctx.Err() == nil {
		batch = stillWanted(batch)
		if len(batch) == 0 {
			return
		}
		settled, err := c.attempt(shard, batch)
		if settled {
			return
		}
		if !errors.Is(err, errkind.Conflict) && !sleep(c.ctx, attemptPause) {
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
func (c *Committer) attempt(shard int, batch []*operation) (bool, error) {
	key := PageKey(shard)
	current, err := c.read(shard, key)
	if err != nil {
		return false, err
	}
	content, err := decodePage(current.Data)
	if err != nil {
		return false, err
	}
	outcomes := apply(&content, batch, c.wallTime().Add(-c.settings().Retention).Unix()/secondsPerHour)
	data, err := content.encode()
	if err != nil {
		return false, err
	}
	if len(data) > MaximumPage {
		refuseBatch(batch, outcomes)
		return true, nil
	}
	revision, err := c.store.Swap(c.ctx, key, current.Revision, data, 0)
	if err != nil {
		c.forget(shard)
		return false, err
	}
	c.remember(shard, platform.Value{Data: data, Revision: revision})
	for i, op := range batch {
		op.done <- outcomes[i]
	}
	return true, nil
}

// apply enters the batch in the page. A claim found under one's own request id
// is one's own earlier write with an unknown outcome: it counts as granted.
func apply(content *page, batch []*operation, pruneBefore int64) []outcome {
	content.prune(pruneBefore)
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

func (c *Committer) read(shard int, key string) (platform.Value, error) {
	c.mutex.Lock()
	cached, found := c.cache[shard]
	c.mutex.Unlock()
	if found {
		return cached, nil
	}
	return c.store.Get(c.ctx, key)
}

func (c *Committer) remember(shard int, value platform.Value) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache[shard] = value
}

func (c *Committer) forget(shard int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.cache, shard)
}

// PageKey returns the store key of a shard's page.
func PageKey(shard int) string { return fmt.Sprintf("thornwalk/claims/%04d", shard) }

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
