// Package quota enforces tenants' rate limits across all nodes with token buckets. The scheduling
// node counts the usage of all nodes; a node that reaches no scheduling node enforces its share of
// each limit with buckets of its own. The package does no I/O and reads no clock.
//
// A bucket may go into bounded debt, so that under constant excess large requests pass about as
// often as small ones; the debt delays later requests.
package quota

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Limit is a tenant's quota: Rate in units per second, Burst in units, and Debt, the units by which a
// request may overdraw the bucket. A request that costs more than Burst needs the level of one that costs
// Burst.
type Limit struct {
	Rate  float64
	Burst float64
	Debt  float64
	// Share is this limit's share of the tenant's limit; zero means all of it.
	Share float64
}

// Scaled returns the limit for nodes that together may grant the given share of it.
func (l Limit) Scaled(share float64) Limit {
	return Limit{Rate: l.Rate * share, Burst: l.Burst * share, Debt: l.Debt * share, Share: l.share() * share}
}

func (l Limit) share() float64 {
	if l.Share == 0 {
		return 1
	}
	return l.Share
}

// minLevel is the level in units that a bucket must have to grant any request.
const minLevel = 1

type tokenBucket struct {
	level float64
	// initialShare is the largest share of the tenant's limit for which the bucket got its initial
	// tokens.
	initialShare float64
	refilledAt   structs.Instant
	// limit is that of the last use. It is unknown, with a rate of zero, while a restored bucket has
	// not been used.
	limit Limit
	// used is the usage since the bucket was created, and usedWhenFull what it was when the bucket
	// was last near full. busyUsage is the usage since busySince, the start of the last busy period:
	// requests less than idleGap apart.
	used, usedWhenFull    float64
	busyUsage             float64
	lastUsedAt, busySince structs.Instant
	// reserved is the tokens left to nodes that are out of contact, and reservedAt when they were
	// last added to.
	reserved   float64
	reservedAt structs.Instant
}

// idleGap is the time without a request after which a new busy period begins. It is shorter than
// any suspension of the process that lets another node take over.
const idleGap = 300 * time.Millisecond

// nearFullFraction is the fraction of the burst from which on a bucket counts as full.
const nearFullFraction = 0.95

// Buckets holds one token bucket for each tenant. It is not safe for concurrent use.
type Buckets struct {
	buckets map[string]*tokenBucket
	// initialFraction is the fraction of the burst that a new bucket holds. Until creditUntil it
	// also holds the tokens that accrue in the downtime.
	initialFraction float64
	downtime        time.Duration
	creditUntil     structs.Instant
	// authoritativeAt is when the buckets become authoritative without levels from another
	// scheduling node.
	authoritativeAt structs.Instant
	// pendingCharges are charges for tenants without a bucket.
	pendingCharges map[string]float64
}

// NewBuckets returns an empty set whose buckets start with the given fraction of their burst. Use
// a fraction below one if a previous scheduler may have granted part of the burst.
func NewBuckets(initialFraction float64) *Buckets {
	return &Buckets{buckets: map[string]*tokenBucket{}, initialFraction: initialFraction, pendingCharges: map[string]float64{}}
}

// CreditDowntime records that no node granted anything for the given downtime. Buckets created
// before until start with the tokens of that time; tokens of later ones may have been granted by
// another scheduler. Until then a bucket also gets the missing part of its initial tokens when the
// node's share of the limit grows, since a node that starts has a small share until it has observed
// its peers.
func (b *Buckets) CreditDowntime(downtime time.Duration, until structs.Instant) {
	b.downtime, b.creditUntil = downtime, until
}

// Take takes the cost from the tenant's bucket. If the level is too low, it takes nothing and
// returns false and the time until the level suffices.
func (b *Buckets) Take(now structs.Instant, tenant string, limit Limit, cost float64) (time.Duration, bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	bucket := b.refill(now, tenant, limit)
	required := max(min(cost, limit.Burst)-limit.Debt, minLevel)
	if bucket.level < required {
		return time.Duration((required - bucket.level) / limit.Rate * float64(time.Second)), false
	}
	bucket.level -= cost
	bucket.used += cost
	if now-bucket.lastUsedAt > idleGap {
		bucket.busyUsage, bucket.busySince = 0, now
	}
	bucket.busyUsage += cost
	bucket.lastUsedAt = now
	return 0, true
}

// Refund returns the cost of a request that did not run.
func (b *Buckets) Refund(tenant string, cost float64) {
	if bucket, found := b.buckets[tenant]; found {
		bucket.level += cost
		bucket.used -= cost
	}
}

// Level returns the level of the tenant's bucket, which is negative in debt.
func (b *Buckets) Level(now structs.Instant, tenant string, limit Limit) float64 {
	return b.refill(now, tenant, limit).level
}

// refill returns the tenant's bucket, created if needed, with the tokens accrued until now.
func (b *Buckets) refill(now structs.Instant, tenant string, limit Limit) *tokenBucket {
	bucket, found := b.buckets[tenant]
	if !found {
		bucket = &tokenBucket{refilledAt: now, level: b.initialLevel(now, limit) - b.pendingCharges[tenant], initialShare: limit.share()}
		b.buckets[tenant] = bucket
		delete(b.pendingCharges, tenant)
	}
	if share := limit.share(); share > bucket.initialShare && now < b.creditUntil {
		bucket.level += b.initialLevel(now, limit) * (1 - bucket.initialShare/share)
		bucket.initialShare = share
	}
	elapsed := (now - bucket.refilledAt).Seconds()
	bucket.add(limit.Rate*elapsed, limit)
	bucket.reserve(now, limit, elapsed)
	bucket.refilledAt, bucket.limit = now, limit
	return bucket
}

// add adds tokens up to the burst. A burst that shrank with the node's share doesn't cut the level: the
// nodes that were lost take over only their share of it, and what they grant is charged later.
func (b *tokenBucket) add(tokens float64, limit Limit) {
	largest := max(limit.Burst, min(b.level, limit.Burst/limit.share()))
	b.level = min(b.level+tokens, largest)
}

// reserve adds the tokens that accrued for the other nodes in the elapsed seconds. They are dropped
// reservedRetention after all nodes are in contact again, as these have reported their usage by then.
func (b *tokenBucket) reserve(now structs.Instant, limit Limit, elapsed float64) {
	if share := limit.share(); share < 1 {
		fullRate := limit.Rate / share
		b.reserved = min(b.reserved+fullRate*(1-share)*elapsed, fullRate*maxReservedTime.Seconds())
		b.reservedAt = now
	} else if now-b.reservedAt > reservedRetention {
		b.reserved = 0
	}
}

const (
	// reservedRetention is how long reserved tokens are kept once the limit is no longer shared.
	reservedRetention = 2 * time.Second
	// maxReservedTime bounds the reserved tokens to those of this time at the tenant's full rate,
	// as failed nodes stay out of contact.
	maxReservedTime = 10 * time.Second
)

func (b *Buckets) initialLevel(now structs.Instant, limit Limit) float64 {
	level := limit.Burst * b.initialFraction
	if now < b.creditUntil {
		level += limit.Rate * b.downtime.Seconds()
	}
	return level
}

// Levels returns the levels of the buckets that are not nearly full, by tenant. It returns nil if
// there are more than maxCount or if the buckets are not authoritative yet.
func (b *Buckets) Levels(now structs.Instant, maxCount int) map[string]float64 {
	if now < b.authoritativeAt {
		return nil
	}
	levels := map[string]float64{}
	for tenant, bucket := range b.buckets {
		if level := bucket.levelAt(now); !bucket.isNearFull(level) {
			if len(levels) == maxCount {
				return nil
			}
			levels[tenant] = max(level, level/bucket.limit.share())
		}
	}
	return levels
}

// levelAt returns the level at now, which may exceed the burst.
func (b *tokenBucket) levelAt(now structs.Instant) float64 {
	return b.level + b.limit.Rate*(now-b.refilledAt).Seconds()
}

// isNearFull reports whether the level is close to the burst. It is false while the limit is unknown.
func (b *tokenBucket) isNearFull(level float64) bool {
	return b.hasLimit() && level >= b.limit.Burst*nearFullFraction
}

func (b *tokenBucket) hasLimit() bool { return b.limit.Rate > 0 }

// SetAuthoritativeAt sets the time until which other nodes may report usage from before the
// buckets were created. It is for a process that starts or resumes after a suspension.
func (b *Buckets) SetAuthoritativeAt(at structs.Instant) { b.authoritativeAt = at }

// IsAuthoritative reports whether the buckets include all usage from before they were created.
func (b *Buckets) IsAuthoritative(now structs.Instant) bool { return now >= b.authoritativeAt }

// Restore initializes new buckets with the levels that another scheduler had at until, the last time
// at which it may have granted anything. Tenants without a level start with their full burst.
func (b *Buckets) Restore(until structs.Instant, levels map[string]float64) {
	b.RestoreShare(until, levels, 1)
}

// RestoreShare does the same for a node that may grant only a share of each limit. It takes the share of
// each level, as other nodes may take theirs, and all of a debt.
func (b *Buckets) RestoreShare(until structs.Instant, levels map[string]float64, share float64) {
	b.initialFraction, b.authoritativeAt = 1, 0
	for tenant, level := range levels {
		b.buckets[tenant] = &tokenBucket{level: min(level, level*share), refilledAt: until, initialShare: 1, limit: Limit{Share: share}}
	}
}

// MergeRemote merges the levels that another scheduler had at until, while this node scheduled as
// well. Buckets that are not authoritative yet continue from the remote levels, less their own usage;
// otherwise each bucket gets the lower of both levels.
func (b *Buckets) MergeRemote(now, until structs.Instant, levels map[string]float64) {
	if now < b.authoritativeAt {
		own := b.buckets
		b.buckets = map[string]*tokenBucket{}
		b.Restore(until, levels)
		for tenant, bucket := range own {
			restored := b.refill(now, tenant, bucket.limit)
			restored.level -= bucket.used
			restored.used = bucket.used
		}
		return
	}
	for tenant, level := range levels {
		bucket, found := b.buckets[tenant]
		if !found || !bucket.hasLimit() {
			b.buckets[tenant] = &tokenBucket{level: level, refilledAt: until, initialShare: 1}
			continue
		}
		refilled := b.refill(now, tenant, bucket.limit)
		refilled.level = min(refilled.level, level+bucket.limit.Rate*max(now-until, 0).Seconds())
	}
}

// Usage returns, by tenant, the usage of at most maxCount buckets since they were last near full; what
// was used before has been refilled.
func (b *Buckets) Usage(now structs.Instant, maxCount int) map[string]float64 {
	usage := map[string]float64{}
	for tenant, bucket := range b.buckets {
		if bucket.isNearFull(bucket.levelAt(now)) {
			bucket.usedWhenFull = bucket.used
		}
		if used := bucket.used - bucket.usedWhenFull; used > 0 && len(usage) < maxCount {
			usage[tenant] = used
		}
	}
	return usage
}

// RemoteUsage is the usage counted by another scheduler that did not know of this one.
type RemoteUsage struct {
	// Since is when the other scheduler started to count.
	Since structs.Instant
	// Amounts is the usage by tenant. Levels holds the current levels, of the buckets for which the
	// other scheduler is authoritative.
	Amounts, Levels map[string]float64
}

// ChargeRemote charges the buckets for usage counted by another scheduler, as after a partition;
// otherwise a network that is partitioned again and again would let each side grant the whole quota.
// Tokens reserved in the meantime are used first; the rest comes from the bucket, which may go into
// debt. If the remote level is known and the bucket's last busy period began after remote.Since, its
// level is then at least the remote level less the usage of that period.
func (b *Buckets) ChargeRemote(remote RemoteUsage) {
	for tenant, amount := range remote.Amounts {
		bucket, found := b.buckets[tenant]
		if !found {
			b.pendingCharges[tenant] += amount
			continue
		}
		level, hasLevel := remote.Levels[tenant]
		if hasLevel && bucket.lastUsedAt < remote.Since {
			continue // MergeRemote applies the remote level
		}
		fromReserved := min(bucket.reserved, amount)
		bucket.reserved -= fromReserved
		bucket.level -= amount - fromReserved
		if hasLevel && bucket.busySince > remote.Since {
			bucket.level = max(bucket.level, level-bucket.busyUsage)
		}
	}
}
