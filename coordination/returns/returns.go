// Package returns plans when rejected callers come back, so that they do so over the time in which
// slots are expected and not all at once, and recognizes those that come back when told. Callers are
// recognized by the fingerprints of their requests, as they carry nothing back. It reads no clock.
package returns

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// MinDelay is the shortest time after which a rejected caller comes back.
	MinDelay = 400 * time.Millisecond
	// delayStep divides all planned delays. Callers are told hundredths of a second: a finer delay could
	// be rounded down, and its caller would come back early.
	delayStep = 10 * time.Millisecond
	// bucketWidth is the time for which returns are counted together.
	bucketWidth = 100 * time.Millisecond
	// maxPlannedDelay bounds the delay of reservations: the completion rate is not known for later.
	maxPlannedDelay = 10 * time.Second
	bucketCount     = int64(maxPlannedDelay/bucketWidth) + 1
	// returnShare is the share of the completions that is given to planned returns.
	returnShare = 0.5
	// earlyTolerance is how much earlier than told a caller may come back, and lateTolerance how much
	// later.
	earlyTolerance = 50 * time.Millisecond
	lateTolerance  = 2 * time.Second
	// maxReservations, maxTables and maxPerBucket bound the memory.
	maxReservations = 20_000
	maxTables       = 512
	maxPerBucket    = 10_000
	// spreadStep is the fractional part of the golden ratio. Its multiples, modulo 1, are spread evenly
	// however many there are.
	spreadStep = 0.6180339887498949
)

// Refusal describes a request that was rejected for lack of slots.
type Refusal struct {
	Service     string
	Priority    int
	Fingerprint fingerprint.Fingerprint
	// ExpectedWait is the expected time until a slot is free for the request, LatestReturn the longest
	// useful delay of its return.
	ExpectedWait, LatestReturn time.Duration
	// CompletionRate is the number of requests per second that the service is expected to complete.
	CompletionRate float64
}

// Outcome is what became of a refusal or a return.
type Outcome string

const (
	// Planned means that the caller has a reservation.
	Planned Outcome = "planned"
	// Unplanned means that the caller was told a time without a reservation.
	Unplanned Outcome = "unplanned"
	// OnTime means that a caller came back when told.
	OnTime Outcome = "on_time"
	// Early means that a caller came back too early and lost its reservation.
	Early Outcome = "early"
)

// Planner plans returns and keeps reservations. It is not safe for concurrent use.
type Planner struct {
	record func(Outcome)
	// tables has the tables of each service, tableCount their number.
	tables       map[string][]*table
	tableCount   int
	reservations *simplelru.LRU[fingerprint.Fingerprint, *reservation]
	// sweptTo is the bucket up to which passed buckets were dropped.
	sweptTo int64
	// spreadCount counts the unplanned returns that have no table.
	spreadCount uint32
}

// table has the planned returns of one service and priority.
type table struct {
	priority int
	// used counts the places in each bucket, at the bucket's number modulo bucketCount, that are planned
	// or that were passed over because they were too early for a caller.
	used [bucketCount]uint32
	// nextSlow is the first bucket that may be planned for a service that completes less than one
	// planned return in a bucket.
	nextSlow int64
	// keepUntil is the last bucket for which the table is needed.
	keepUntil   int64
	spreadCount uint32
}

// reservation is the planned return of one caller. A spent one is kept until it expires, so that a
// caller that came back early gets no earlier time than before.
type reservation struct {
	at        structs.Instant
	plannedAt structs.Instant
	table     *table
	isSpent   bool
}

// NewPlanner returns a planner without reservations. It calls record with each outcome.
func NewPlanner(record func(Outcome)) *Planner {
	reservations, err := simplelru.NewLRU[fingerprint.Fingerprint, *reservation](maxReservations, nil)
	if err != nil {
		panic(err) // only if the size is not positive
	}
	return &Planner{record: record, tables: map[string][]*table{}, reservations: reservations}
}

// Plan returns when a rejected caller should come back: at the first place in a bucket that is neither
// before the expected wait nor after the latest useful time. If there is none, it returns a time
// without a reservation, spread evenly up to the latest useful time. Delays are multiples of 10 ms and
// at least MinDelay.
func (p *Planner) Plan(now structs.Instant, refusal Refusal) time.Duration {
	p.Expire(now)
	earliest := roundUp(max(refusal.ExpectedWait, MinDelay))
	known, found := p.reservations.Peek(refusal.Fingerprint)
	if found {
		earliest = max(earliest, roundUp(known.at-now))
	}
	// A request with the same content as one that has a reservation gets none: its caller could not be
	// distinguished from the other one.
	isTaken := found && !known.isSpent && now <= known.at+lateTolerance
	if !isTaken {
		if place, delay, ok := p.findPlace(now, earliest, refusal); ok {
			place.take()
			p.reservations.Add(refusal.Fingerprint, &reservation{at: now + delay, plannedAt: now, table: place.table})
			p.record(Planned)
			return delay
		}
	}
	p.record(Unplanned)
	delay := p.spread(now, refusal)
	if found {
		delay = max(delay, min(roundUp(known.at-now), latestDelay(refusal)))
	}
	return delay
}

// Redeem reports whether the caller of the request comes back when told. It uses up the reservation,
// also if the caller comes too early.
func (p *Planner) Redeem(now structs.Instant, request fingerprint.Fingerprint) bool {
	p.Expire(now)
	found, ok := p.reservations.Peek(request)
	if !ok || found.isSpent || now > found.at+lateTolerance {
		return false
	}
	if now < found.at-earlyTolerance {
		found.isSpent = true
		found.table.release(bucketOf(found.at))
		p.record(Early)
		return false
	}
	p.reservations.Remove(request)
	p.record(OnTime)
	return true
}

// Expire drops passed buckets and expired reservations.
func (p *Planner) Expire(now structs.Instant) {
	current := bucketOf(now)
	if current <= p.sweptTo {
		return
	}
	for service, tables := range p.tables {
		kept := slices.DeleteFunc(tables, func(t *table) bool { return t.keepUntil < current })
		p.tableCount -= len(tables) - len(kept)
		p.tables[service] = kept
		if len(kept) == 0 {
			delete(p.tables, service)
		}
		for _, table := range kept {
			for bucket := p.sweptTo; bucket < min(current, p.sweptTo+bucketCount); bucket++ {
				table.used[bucket%bucketCount] = 0
			}
		}
	}
	p.sweptTo = current
	for {
		request, oldest, ok := p.reservations.GetOldest()
		if !ok || now <= oldest.plannedAt+maxPlannedDelay+lateTolerance {
			return
		}
		p.reservations.Remove(request)
	}
}

// place is a place for one return in a bucket.
type place struct {
	table  *table
	bucket int64
	// used is the number of places that the table passes over and takes, nextSlow its next bucket if
	// the service is slow, else 0.
	used     uint32
	nextSlow int64
}

// take takes the place.
func (p place) take() {
	p.table.used[p.bucket%bucketCount] += p.used
	p.table.nextSlow = max(p.table.nextSlow, p.nextSlow)
	p.table.keepUntil = max(p.table.keepUntil, p.bucket, p.nextSlow)
}

// release returns a place of the bucket, unless the bucket has passed.
func (t *table) release(bucket int64) {
	if count := &t.used[bucket%bucketCount]; *count > 0 {
		*count--
	}
}

// findPlace returns the first place for the refusal and the delay until then, or false if there is
// none. Places that are used by lower priorities count as free: they must not delay higher ones.
func (p *Planner) findPlace(now structs.Instant, earliest time.Duration, refusal Refusal) (place, time.Duration, bool) {
	latest := min(refusal.LatestReturn, maxPlannedDelay)
	perBucket := refusal.CompletionRate * returnShare * bucketWidth.Seconds()
	if earliest > latest || math.IsNaN(perBucket) || math.IsInf(perBucket, 0) || perBucket*float64(bucketCount) < 1 {
		return place{}, 0, false
	}
	own := p.tableOf(refusal)
	if own == nil {
		return place{}, 0, false
	}
	places := int64(max(min(perBucket, maxPerBucket), 1))
	all := p.tables[refusal.Service]
	first, slowStep := bucketOf(now+earliest), int64(0)
	if perBucket < 1 {
		slowStep = int64(math.Ceil(1 / perBucket))
		for _, table := range all {
			if table.priority <= refusal.Priority {
				first = max(first, table.nextSlow)
			}
		}
	}
	for bucket := max(first, p.sweptTo); bucket <= bucketOf(now+latest); bucket++ {
		used := int64(0)
		for _, table := range all {
			if table.priority <= refusal.Priority {
				used += int64(table.used[bucket%bucketCount])
			}
		}
		start := time.Duration(bucket) * bucketWidth
		position := max(used, divideUp(int64(now+earliest-start)*places, int64(bucketWidth)))
		if position >= places {
			continue
		}
		delay := roundUp(start + time.Duration(position)*bucketWidth/time.Duration(places) - now)
		if now+delay >= start+bucketWidth {
			delay -= delayStep // else it would be counted in one bucket and return in the next
		}
		if delay < earliest {
			continue
		}
		if delay > latest {
			break
		}
		found := place{table: own, bucket: bucket, used: uint32(position - used + 1)}
		if slowStep > 0 {
			found.nextSlow = bucket + slowStep
		}
		return found, delay, true
	}
	return place{}, 0, false
}

// tableOf returns the table of the refusal's service and priority, or nil if there are too many.
func (p *Planner) tableOf(refusal Refusal) *table {
	tables := p.tables[refusal.Service]
	for _, table := range tables {
		if table.priority == refusal.Priority {
			return table
		}
	}
	if p.tableCount >= maxTables {
		return nil
	}
	added := &table{priority: refusal.Priority}
	p.tables[refusal.Service] = append(tables, added)
	p.tableCount++
	return added
}

// latestDelay returns the latest useful delay, at least MinDelay.
func latestDelay(refusal Refusal) time.Duration {
	return max(refusal.LatestReturn/delayStep*delayStep, MinDelay)
}

// spread returns the time of a return without a reservation. These are spread evenly from the expected
// wait, or from half of the latest useful time if that is less, up to the latest useful time.
func (p *Planner) spread(now structs.Instant, refusal Refusal) time.Duration {
	latest := latestDelay(refusal)
	earliest := roundUp(min(max(refusal.ExpectedWait, MinDelay), max(latest/2, MinDelay)))
	count := &p.spreadCount
	if own := p.tableOf(refusal); own != nil {
		own.keepUntil = max(own.keepUntil, bucketOf(now+min(latest, maxPlannedDelay)))
		count = &own.spreadCount
	}
	*count++
	_, share := math.Modf(float64(*count) * spreadStep)
	steps := float64((latest-earliest)/delayStep) + 1
	return earliest + time.Duration(share*steps)*delayStep
}

func bucketOf(at structs.Instant) int64 { return int64(at / bucketWidth) }

// roundUp rounds a duration up to a multiple of delayStep, at least 0.
func roundUp(duration time.Duration) time.Duration {
	duration = min(duration, math.MaxInt64-delayStep) // else the result could overflow
	return time.Duration(divideUp(int64(duration), int64(delayStep))) * delayStep
}

// divideUp returns the quotient of a value and a positive divisor, rounded up, at least 0.
func divideUp(value, divisor int64) int64 {
	if value <= 0 {
		return 0
	}
	return (value-1)/divisor + 1
}
