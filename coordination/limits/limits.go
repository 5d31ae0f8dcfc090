// Package limits enforces the tenants' rate and concurrency limits over the
// nodes of a zone. An owner, chosen by rendezvous, hands out slices by demand;
// each node enforces its slice alone, so that a request costs no message. A
// node that hears no owner falls back to its equal share.
//
// Guarantee: slices granted by one owner never add up to more than the limit,
// since a slice grows only out of what is not granted, and a grant lapses
// before the owner gives its part to others. While two nodes both believe to be
// owner, up to twice the limit may be admitted.
package limits

import (
	"sort"
	"time"

	"golang.org/x/time/rate"

	"github.com/thornwalk/thornwalk/structs"
)

const (
	// ReportInterval is the time between a node's demands to an owner.
	ReportInterval = 500 * time.Millisecond
	// grantLease is how long a node uses a slice, and ownerLease how long the
	// owner counts it as given; the difference covers the message's way.
	grantLease = 2 * time.Second
	ownerLease = 3 * time.Second
	// demandGain weighs a new measurement of the demand.
	demandGain = 0.5
	// headroom is the part of a rate slice that a node gets whatever its demand.
	headroom = 0.1
)

// Limit is the settings of a tenant; zero values mean no limit.
type Limit struct {
	Rate        float64
	Burst       float64
	Concurrency int
}

// Demand is what a node would use of a tenant's limit.
type Demand struct {
	Tenant string  `msgpack:"t"`
	Rate   float64 `msgpack:"r"`
	Open   int     `msgpack:"o"`
}

// Report is a node's demands of the tenants of one owner.
type Report struct {
	From    string   `msgpack:"f"`
	Demands []Demand `msgpack:"d"`
}

// Allocation is the part of a limit that a node may use.
type Allocation struct {
	Tenant      string  `msgpack:"t"`
	Rate        float64 `msgpack:"r"`
	Concurrency int     `msgpack:"c"`
}

// Grant answers a Report.
type Grant struct {
	Slices []Allocation `msgpack:"s"`
}

// Owner divides limits among nodes. It is not safe for concurrent use.
type Owner struct {
	tenants map[string]map[string]*share
}

// share is a node's demand and what it was given.
type share struct {
	demand Demand
	slice  Allocation
	at     structs.Instant
}

// NewOwner returns an owner that has given nothing.
func NewOwner() *Owner { return &Owner{tenants: map[string]map[string]*share{}} }

// Allocate records the report and returns the slices of its sender.
func (o *Owner) Allocate(now structs.Instant, report Report, limit func(tenant string) Limit) Grant {
	var grant Grant
	for _, demand := range report.Demands {
		shares, found := o.tenants[demand.Tenant]
		if !found {
			shares = map[string]*share{}
			o.tenants[demand.Tenant] = shares
		}
		grant.Slices = append(grant.Slices, divide(now, shares, report.From, demand, limit(demand.Tenant)))
	}
	return grant
}

// divide gives the node its part by demand, out of what is not given to others.
func divide(now structs.Instant, shares map[string]*share, from string, demand Demand, limit Limit) Allocation {
	for name, other := range shares {
		if now-other.at > ownerLease {
			delete(shares, name)
		}
	}
	mine := &share{demand: demand, at: now}
	var givenRate, wantedRate float64
	var givenOpen, wantedOpen int
	for name, other := range shares {
		if name == from {
			continue
		}
		givenRate += other.slice.Rate
		wantedRate += other.demand.Rate
		givenOpen += other.slice.Concurrency
		wantedOpen += other.demand.Open + 1
	}
	nodes := float64(len(shares))
	if _, known := shares[from]; !known {
		nodes++
	}
	even := limit.Rate / nodes
	wanted := headroom*even + (1-headroom)*limit.Rate*fraction(demand.Rate, demand.Rate+wantedRate, nodes)
	mine.slice = Allocation{
		Tenant: demand.Tenant,
		Rate:   max(0, min(wanted, limit.Rate-givenRate)),
	}
	wantedShare := float64(limit.Concurrency) * fraction(float64(demand.Open+1), float64(demand.Open+1+wantedOpen), nodes)
	mine.slice.Concurrency = max(0, min(int(wantedShare+0.5), limit.Concurrency-givenOpen))
	shares[from] = mine
	return mine.slice
}

func fraction(part, whole, nodes float64) float64 {
	if whole <= 0 {
		return 1 / nodes
	}
	return part / whole
}

// Member enforces this node's slices. It is not safe for concurrent use.
type Member struct {
	tenants map[string]*bucket
	// liveNodes divides limits while no owner is heard.
	liveNodes int
}

// bucket is one tenant at this node.
type bucket struct {
	limiter   *rate.Limiter
	open      int
	arrivals  float64
	demand    float64
	slice     Allocation
	grantedAt structs.Instant
	granted   bool
	usedAt    structs.Instant
}

// NewMember returns a member with no slices.
func NewMember() *Member { return &Member{tenants: map[string]*bucket{}, liveNodes: 1} }

// SetLiveNodes tells the number of nodes for the equal share.
func (m *Member) SetLiveNodes(count int) { m.liveNodes = max(1, count) }

// Admit takes one request of the tenant from its slice. It returns the reason
// of a refusal, or ReasonNone. Each admitted request must be released.
func (m *Member) Admit(now structs.Instant, tenant string, limit Limit) structs.Reason {
	if limit.Rate <= 0 && limit.Concurrency <= 0 {
		return structs.ReasonNone
	}
	entry := m.bucket(now, tenant, limit)
	entry.arrivals++
	entry.usedAt = now
	allowed := m.effective(now, entry, limit)
	if limit.Concurrency > 0 && entry.open >= allowed.Concurrency {
		return structs.ReasonConcurrency
	}
	if limit.Rate > 0 {
		entry.limiter.SetLimitAt(wall(now), rate.Limit(allowed.Rate))
		entry.limiter.SetBurstAt(wall(now), max(1, int(limit.Burst/float64(m.liveNodes))))
		if !entry.limiter.AllowN(wall(now), 1) {
			return structs.ReasonRate
		}
	}
	entry.open++
	return structs.ReasonNone
}

// Release ends an admitted request.
func (m *Member) Release(tenant string) {
	if entry, found := m.tenants[tenant]; found && entry.open > 0 {
		entry.open--
	}
}

func (m *Member) bucket(now structs.Instant, tenant string, limit Limit) *bucket {
	entry, found := m.tenants[tenant]
	if !found {
		entry = &bucket{limiter: rate.NewLimiter(rate.Limit(limit.Rate/float64(m.liveNodes)), max(1, int(limit.Burst/float64(m.liveNodes))))}
		entry.limiter.AllowN(wall(now), 0)
		m.tenants[tenant] = entry
	}
	return entry
}

// effective is the slice in force: the owner's while it is fresh, else the
// equal share, but never less than one open request in all nodes but few.
func (m *Member) effective(now structs.Instant, entry *bucket, limit Limit) Allocation {
	if entry.granted && now-entry.grantedAt <= grantLease {
		return entry.slice
	}
	return Allocation{Rate: limit.Rate / float64(m.liveNodes), Concurrency: (limit.Concurrency + m.liveNodes - 1) / m.liveNodes}
}

// Reports returns the demands by owner since the last call.
func (m *Member) Reports(now structs.Instant, self string, owner func(tenant string) string) map[string]Report {
	names := make([]string, 0, len(m.tenants))
	for name, entry := range m.tenants {
		if entry.open == 0 && now-entry.usedAt > ownerLease {
			delete(m.tenants, name)
			continue
		}
		names = append(names, name)
	}
	sort.Strings(names)
	reports := map[string]Report{}
	for _, name := range names {
		entry := m.tenants[name]
		entry.demand += demandGain * (entry.arrivals/ReportInterval.Seconds() - entry.demand)
		entry.arrivals = 0
		to := owner(name)
		report := reports[to]
		report.From = self
		report.Demands = append(report.Demands, Demand{Tenant: name, Rate: entry.demand, Open: entry.open})
		reports[to] = report
	}
	return reports
}

// Apply takes granted slices into force.
func (m *Member) Apply(now structs.Instant, grant Grant) {
	for _, slice := range grant.Slices {
		if entry, found := m.tenants[slice.Tenant]; found {
			entry.slice, entry.granted, entry.grantedAt = slice, true, now
		}
	}
}

// wall maps an Instant to the time type of the rate limiter.
func wall(now structs.Instant) time.Time { return time.Unix(0, int64(now)) }
