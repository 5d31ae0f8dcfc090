// Package quota holds the token buckets by which tenants' rates are kept over
// all nodes. One ledger at the scheduling node counts for everybody; a node
// that reaches no scheduling node counts by a ledger of its own with its share.
//
// A bucket may go into debt up to a bound, so that whether a request passes depends
// little on its size: under a constant excess the level stays near zero, and a bucket
// without debt would pass small requests only. The debt delays the next ones.
package quota

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Limit is a tenant's quota: units a second, units on top, and the units of debt that
// one request may leave.
type Limit struct {
	Rate  float64
	Burst float64
	Debt  float64
	// Share is the part that this limit is of the tenant's; zero means all of it.
	Share float64
}

// Scaled returns the part of the limit that a share of the nodes may hand out.
func (l Limit) Scaled(share float64) Limit {
	return Limit{Rate: l.Rate * share, Burst: l.Burst * share, Debt: l.Debt * share, Share: l.share() * share}
}

func (l Limit) share() float64 {
	if l.Share == 0 {
		return 1
	}
	return l.Share
}

// leastHeld is what the bucket must hold in units for any request.
const leastHeld = 1

type bucket struct {
	level float64
	// share is the largest share of the tenant's limit of which the bucket holds what a
	// new one starts with.
	share float64
	at    structs.Instant
	limit Limit
	// taken is what was taken from it since it was made, last at tookAt, and spell what was taken
	// since spellAt, before which nothing was for a while.
	taken, spell    float64
	tookAt, spellAt structs.Instant
	// withheld is what did not come in as other nodes were out of touch, for these to hand out.
	withheld   float64
	withheldAt structs.Instant
}

// idleGap is the time without a request after which a new spell of them begins. A node whose process
// stood still did not hand out anything for longer than that.
const idleGap = 300 * time.Millisecond

// nearFull is the part of a burst above which a bucket counts as full.
const nearFull = 0.95

// Buckets is a set of buckets, one a tenant. It is not safe for concurrent use.
type Buckets struct {
	buckets map[string]*bucket
	// start is the share of a burst that a new bucket holds. Until idleUntil it also
	// holds what came in for the time idle.
	start     float64
	idle      time.Duration
	idleUntil structs.Instant
	// settlesAt is when the ledger takes what it started with for right, if no other
	// scheduling node told better until then.
	settlesAt structs.Instant
	// charges are what others handed out of buckets that are not made yet.
	charges map[string]float64
}

// NewBuckets returns an empty ledger. A ledger that takes over from another one
// starts its buckets with only a part of the burst, since the rest may have
// been handed out already.
func NewBuckets(start float64) *Buckets {
	return &Buckets{buckets: map[string]*bucket{}, start: start, charges: map[string]float64{}}
}

// CreditDowntime tells that nobody handed out anything for so long. Buckets that are made
// until the time given hold what came in meanwhile; later ones may have been taken
// from by another scheduling node. A node that starts knows all others by name before it
// has heard them, and has a small share of each limit until it has: within that time its
// buckets get the rest of what they start with as the share grows.
func (l *Buckets) CreditDowntime(idle time.Duration, until structs.Instant) {
	l.idle, l.idleUntil = idle, until
}

// Take takes the cost from the tenant's bucket. If the bucket holds too little it
// returns false and the time after which it will hold enough.
func (l *Buckets) Take(now structs.Instant, tenant string, limit Limit, cost float64) (time.Duration, bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	held := l.refill(now, tenant, limit)
	needed := max(min(cost, limit.Burst)-limit.Debt, leastHeld)
	if held.level < needed {
		return time.Duration((needed - held.level) / limit.Rate * float64(time.Second)), false
	}
	held.level -= cost
	held.taken += cost
	if now-held.tookAt > idleGap {
		held.spell, held.spellAt = 0, now
	}
	held.spell += cost
	held.tookAt = now
	return 0, true
}

// Refund gives back the cost of a request that did not run.
func (l *Buckets) Refund(tenant string, cost float64) {
	if held, found := l.buckets[tenant]; found {
		held.level += cost
		held.taken -= cost
	}
}

// Level returns what the tenant may take at once.
func (l *Buckets) Level(now structs.Instant, tenant string, limit Limit) float64 {
	return l.refill(now, tenant, limit).level
}

func (l *Buckets) refill(now structs.Instant, tenant string, limit Limit) *bucket {
	held, found := l.buckets[tenant]
	if !found {
		held = &bucket{at: now, level: l.initial(now, limit) - l.charges[tenant], share: limit.share()}
		l.buckets[tenant] = held
		delete(l.charges, tenant)
	}
	if share := limit.share(); share > held.share && now < l.idleUntil {
		held.level += l.initial(now, limit) * (1 - held.share/share)
		held.share = share
	}
	passed := (now - held.at).Seconds()
	held.level = min(limit.Burst, held.level+limit.Rate*passed)
	held.withhold(now, limit, passed)
	held.at, held.limit = now, limit
	return held
}

// withhold enters what does not come in for so many seconds. It is forgotten some time after all nodes
// are in touch again: by then they have told what they handed out.
func (b *bucket) withhold(now structs.Instant, limit Limit, passed float64) {
	if share := limit.share(); share < 1 {
		full := limit.Rate / share
		b.withheld = min(b.withheld+full*(1-share)*passed, full*longestWithheld.Seconds())
		b.withheldAt = now
	} else if now-b.withheldAt > withheldFor {
		b.withheld = 0
	}
}

const (
	// withheldFor is how long what was withheld is remembered after that ended, and longestWithheld
	// the time for which it is counted: nodes that died are out of touch for ever.
	withheldFor     = 2 * time.Second
	longestWithheld = 10 * time.Second
)

// initial returns what a new bucket holds.
func (l *Buckets) initial(now structs.Instant, limit Limit) float64 {
	level := limit.Burst * l.start
	if now < l.idleUntil {
		level += limit.Rate * l.idle.Seconds()
	}
	return level
}

// Levels returns the buckets that are not near their full burst, at most so many. It returns nil
// if it can't speak for the others: there are more, or the ledger is not settled.
func (l *Buckets) Levels(now structs.Instant, most int) map[string]float64 {
	if now < l.settlesAt {
		return nil
	}
	levels := map[string]float64{}
	for tenant, held := range l.buckets {
		if level := held.level + held.limit.Rate*(now-held.at).Seconds(); level < held.limit.Burst*nearFull {
			if len(levels) == most {
				return nil
			}
			levels[tenant] = level
		}
	}
	return levels
}

// SetAuthoritativeAfter tells that others may have handed out before this ledger was made and may still say
// so, until then. It is for a process that starts, or that stood still.
func (l *Buckets) SetAuthoritativeAfter(at structs.Instant) { l.settlesAt = at }

// Restore lets a new ledger go on from what another one held until the time given, at which it may
// still have handed out. Tenants that are not named start with their full burst.
func (l *Buckets) Restore(until structs.Instant, levels map[string]float64) {
	l.start, l.settlesAt = 1, 0
	for tenant, level := range levels {
		l.buckets[tenant] = &bucket{level: level, at: until, share: 1}
	}
}

// MergeRemote takes over what another node that schedules, or did until just now, held until the time
// given, while this one schedules as well: one of them did not know of the other. A ledger that is
// not settled goes on from the other's, less what it handed out itself; in a settled one each
// bucket holds what the emptier of both does.
func (l *Buckets) MergeRemote(now, until structs.Instant, levels map[string]float64) {
	if now < l.settlesAt {
		made := l.buckets
		l.buckets = map[string]*bucket{}
		l.Restore(until, levels)
		for tenant, held := range made {
			adopted := l.refill(now, tenant, held.limit)
			adopted.level -= held.taken
			adopted.taken = held.taken
		}
		return
	}
	for tenant, level := range levels {
		held, found := l.buckets[tenant]
		if !found {
			l.buckets[tenant] = &bucket{level: level, at: until, share: 1}
			continue
		}
		refilled := l.refill(now, tenant, held.limit)
		refilled.level = min(refilled.level, level+held.limit.Rate*max(now-until, 0).Seconds())
	}
}

// Taken returns what was taken from each bucket since it was made, of those that are not near their
// full burst, at most so many.
func (l *Buckets) Taken(now structs.Instant, most int) map[string]float64 {
	taken := map[string]float64{}
	for tenant, held := range l.buckets {
		level := held.level + held.limit.Rate*(now-held.at).Seconds()
		if held.taken > 0 && level < held.limit.Burst*nearFull && len(taken) < most {
			taken[tenant] = held.taken
		}
	}
	return taken
}

// RemoteUsage is what another ledger handed out that did not know of this one.
type RemoteUsage struct {
	// Since is when that ledger began.
	Since structs.Instant
	// Amounts are by tenant, and Levels what its buckets hold now, of those that it speaks for.
	Amounts, Levels map[string]float64
}

// ChargeRemote takes account of what another ledger handed out, as on the other side of a cut. What this one
// withheld meanwhile pays for it; the rest is taken from the bucket, which may go into debt: else a
// network that is cut and healed again and again would hand out each quota as often as there are sides.
// A bucket that nothing was taken from for a while since then has only to be as empty as the other one,
// less what was taken after that.
func (l *Buckets) ChargeRemote(handed RemoteUsage) {
	for tenant, amount := range handed.Amounts {
		held, found := l.buckets[tenant]
		if !found {
			l.charges[tenant] += amount
			continue
		}
		level, told := handed.Levels[tenant]
		if told && held.tookAt < handed.Since {
			continue // MergeRemote takes the other's level over
		}
		paid := min(held.withheld, amount)
		held.withheld -= paid
		held.level -= amount - paid
		if told && held.spellAt > handed.Since {
			held.level = max(held.level, level-held.spell)
		}
	}
}
