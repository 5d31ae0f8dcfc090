// Package retrybudget limits retries, so that they do not multiply an overload. In every window, all
// schedulers together permit at most Ratio x requests + Slack retries of a service, in whatever order
// nodes schedule, fail, restart or are suspended, provided that the shares of the nodes that schedule
// at the same time sum to at most two. The package doesn't send retries and does no I/O.
//
// The bound holds without coordination: retries only use tokens of the node's own bucket, which is
// refilled by requests and slowly by time. A node that becomes scheduler starts with empty buckets,
// and one that stops loses its tokens, so that no token is used twice. A token comes back only from a retry that never
// arrived at a replica, once, in the same term, and while the bucket has kept room for it: tokens, queued retries
// and those that may still come back never exceed the capacity together.
package retrybudget

import (
	"math"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Policy limits the retries of a service at all nodes together.
type Policy struct {
	// Ratio is the number of retries permitted for each request.
	Ratio float64
	// Slack is this node's share of the retries permitted in each Window in addition to Ratio.
	Slack  float64
	Window time.Duration
}

// Shares of the slack. Two nodes may schedule at the same time, as when one is suspended, each with
// full buckets: 2 x (capacityShare + refillShare) = 1.
const (
	// capacityShare is the share that a bucket holds at most.
	capacityShare = 0.45
	// refillShare is the share that time adds in each window, so that services with few requests
	// can retry too.
	refillShare = 0.05
)

// minCapacity in tokens lets a bucket permit a retry however small the slack is.
const minCapacity = 1

// roundingTolerance is the tolerance for rounding errors, in tokens.
const roundingTolerance = 1e-9

// oneRetry is the tokens needed for a retry.
const oneRetry = 1 - roundingTolerance

// tokenBucket holds the tokens of one service, one for each retry.
type tokenBucket struct {
	tokens float64
	// reserved counts the retries of requests that are still queued.
	reserved int
	// creditable has the serials of assigned retries whose tokens may still come back, oldest first.
	creditable []uint64
	refilledAt structs.Instant
	stats      Stats
}

// Stats counts the requests and retries of one service since the last Activate, Deactivate or Reset.
type Stats struct {
	// Retries were permitted, Rejected were not.
	Requests, Retries, Rejected int
	// Available is the tokens left.
	Available float64
}

// Permit is the right to one retry. The zero value permits none.
type Permit struct {
	service string
	term    uint64
}

// UsedPermit is the permit of a retry that was assigned to a replica. The zero value is of no retry.
type UsedPermit struct {
	service string
	term    uint64
	serial  uint64
}

// Budget issues permits by service. It is not safe for concurrent use.
type Budget struct {
	policy  Policy
	buckets map[string]*tokenBucket
	// isActive is true from Activate to Deactivate. The term changes with each of these calls and
	// voids earlier permits.
	isActive bool
	term     uint64
	// serial is that of the latest used permit.
	serial uint64
	// isFirst is true if no node can have issued permits before this node's first term.
	isFirst bool
}

// New returns a budget that issues no permits until Activate. If isFirst is true, no node has
// scheduled before and buckets start full, so that requests right after the first start of the system
// can be retried.
func New(policy Policy, isFirst bool) *Budget {
	return &Budget{policy: policy, buckets: map[string]*tokenBucket{}, isFirst: isFirst}
}

// SetPolicy replaces the policy.
func (b *Budget) SetPolicy(policy Policy) { b.policy = policy }

// Activate records that this node schedules from now on. It empties the buckets and voids all permits:
// the caller must not send retries with them.
func (b *Budget) Activate() { b.reset(true) }

// Deactivate records that another node schedules from now on. It empties the buckets and voids all
// permits.
func (b *Budget) Deactivate() { b.reset(false) }

// Reset empties the buckets and voids all permits after a suspension, in which another node may have
// scheduled.
func (b *Budget) Reset() { b.reset(b.isActive) }

func (b *Budget) reset(isActive bool) {
	b.isFirst = b.isFirst && b.term == 0
	b.isActive = isActive
	b.term++
	clear(b.buckets)
}

// RecordRequest counts a request of the service that is not a retry.
func (b *Budget) RecordRequest(now structs.Instant, service string) {
	if !b.isActive {
		return
	}
	bucket := b.refill(now, service)
	bucket.stats.Requests++
	b.add(bucket, b.policy.Ratio)
}

// Reserve takes a permit for a queued request, or returns false if there is none. The permit counts
// against the capacity of the bucket until Commit or Cancel.
func (b *Budget) Reserve(now structs.Instant, service string) (Permit, bool) {
	if !b.isActive {
		return Permit{}, false
	}
	bucket := b.refill(now, service)
	if bucket.tokens < oneRetry {
		bucket.stats.Rejected++
		return Permit{}, false
	}
	bucket.tokens = max(bucket.tokens-1, 0)
	bucket.reserved++
	bucket.stats.Retries++
	return Permit{service: service, term: b.term}, true
}

// Commit records that the request was assigned to a replica.
func (b *Budget) Commit(now structs.Instant, permit Permit) UsedPermit {
	if b.isVoid(permit) {
		return UsedPermit{}
	}
	// What time added until now must not fill the capacity that the reservation leaves.
	bucket := b.refill(now, permit.service)
	bucket.reserved--
	b.serial++
	bucket.creditable = append(bucket.creditable, b.serial)
	b.dropExcess(bucket)
	return UsedPermit{service: permit.service, term: permit.term, serial: b.serial}
}

// Credit returns the token of an assigned retry that certainly did not arrive at a replica. It does nothing if the
// permit is void, was credited before, or if new tokens have taken the place of its token.
func (b *Budget) Credit(permit UsedPermit) {
	bucket, found := b.buckets[permit.service]
	if !found || permit.term != b.term {
		return
	}
	index, found := slices.BinarySearch(bucket.creditable, permit.serial)
	if !found {
		return
	}
	bucket.creditable = slices.Delete(bucket.creditable, index, index+1)
	bucket.tokens++ // what exceeds the capacity is dropped before the next use
	bucket.stats.Retries--
}

// Cancel returns the permit of a request that was not assigned.
func (b *Budget) Cancel(permit Permit) {
	if b.isVoid(permit) {
		return
	}
	bucket := b.buckets[permit.service]
	bucket.reserved--
	bucket.tokens++
	bucket.stats.Retries--
}

// isVoid reports whether the permit is of an earlier term, or of no retry.
func (b *Budget) isVoid(permit Permit) bool {
	return permit.term != b.term || b.buckets[permit.service] == nil
}

// Stats returns the statistics by service.
func (b *Budget) Stats(now structs.Instant) map[string]Stats {
	byService := map[string]Stats{}
	for service := range b.buckets {
		bucket := b.refill(now, service)
		stats := bucket.stats
		stats.Available = bucket.tokens
		byService[service] = stats
	}
	return byService
}

// refill returns the service's bucket, created if needed, with the tokens added by time until now.
func (b *Budget) refill(now structs.Instant, service string) *tokenBucket {
	bucket, found := b.buckets[service]
	if !found {
		bucket = &tokenBucket{refilledAt: now}
		if b.isFirst {
			bucket.tokens = b.capacity()
		}
		b.buckets[service] = bucket
	}
	b.add(bucket, b.policy.Slack*refillShare*float64(now-bucket.refilledAt)/float64(b.policy.Window))
	bucket.refilledAt = now
	return bucket
}

// add adds tokens up to the capacity. It also drops tokens in excess of a reduced capacity.
func (b *Budget) add(bucket *tokenBucket, tokens float64) {
	bucket.tokens = max(min(bucket.tokens+tokens, b.capacity()-float64(bucket.reserved)), 0)
	b.dropExcess(bucket)
}

// dropExcess voids the oldest creditable retries for which the bucket has no room; of the oldest one that is left, there
// may be room for a part. New tokens have precedence, since most of these retries do arrive.
func (b *Budget) dropExcess(bucket *tokenBucket) {
	room := max(b.capacity()-float64(bucket.reserved)-bucket.tokens, 0)
	excess := len(bucket.creditable) - int(math.Ceil(room-roundingTolerance))
	if excess > 0 {
		bucket.creditable = slices.Delete(bucket.creditable, 0, excess)
	}
}

// capacity returns the maximum number of tokens in a bucket, including reserved ones.
func (b *Budget) capacity() float64 { return max(b.policy.Slack*capacityShare, minCapacity) }
