// Package limits enforces the tenants' rate and concurrency limits over the
// nodes of a zone. A tenant's owner, chosen by rendezvous hashing, allocates
// parts of the limit to nodes by their demand; each node enforces its allocation
// locally, and uses an equal share of the limit while it has no grant.
//
// The allocations that one owner counts as granted never add up to more than the
// limit: an allocation grows only from the unallocated part, and a grant that is
// not renewed expires at the node before the owner reuses it. With two owners at
// once, up to twice the limit may be admitted.
package limits

import (
	"sort"
	"time"

	"golang.org/x/time/rate"

	"github.com/thornwalk/thornwalk/structs"
)

const (
	// ReportInterval is the time between a node's reports to an owner.
	ReportInterval = 500 * time.Millisecond
	// grantLease is how long a node uses an allocation, and ownerLease how long
	// the owner counts it as allocated; the difference allows for message delay.
	grantLease = 2 * time.Second
	ownerLease = 3 * time.Second
	// demandGain is the weight of a new measurement in the moving average.
	demandGain = 0.5
	// minEqualShareFraction is the fraction of its equal share of the rate that a
	// node is allocated whatever its demand.
	minEqualShareFraction = 0.1
)

// Limit holds the limits of a tenant. A zero rate or concurrency is unlimited.
type Limit struct {
	// Rate is in requests per second.
	Rate        float64
	Burst       float64
	Concurrency int
}

// Demand is the use that a node would make of a tenant's limit: the rate of
// arrivals per second and the requests in flight.
type Demand struct {
	Tenant   string  `msgpack:"t"`
	Rate     float64 `msgpack:"r"`
	InFlight int     `msgpack:"o"`
}

// Report lists a node's demands for the tenants of one owner.
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
	Allocations []Allocation `msgpack:"s"`
}

// Owner allocates limits to nodes. It is not safe for concurrent use.
type Owner struct {
	// allocations is keyed by tenant and node.
	allocations map[string]map[string]*nodeAllocation
}

// nodeAllocation is a node's last demand and the allocation it was granted.
type nodeAllocation struct {
	demand     Demand
	allocation Allocation
	reportedAt structs.Instant
}

// NewOwner returns an owner without allocations.
func NewOwner() *Owner { return &Owner{allocations: map[string]map[string]*nodeAllocation{}} }

// Allocate records the report and returns the sender's new allocations.
func (o *Owner) Allocate(now structs.Instant, report Report, limit func(tenant string) Limit) Grant {
	var grant Grant
	for _, demand := range report.Demands {
		byNode, found := o.allocations[demand.Tenant]
		if !found {
			byNode = map[string]*nodeAllocation{}
			o.allocations[demand.Tenant] = byNode
		}
		grant.Allocations = append(grant.Allocations, allocate(now, byNode, report.From, demand, limit(demand.Tenant)))
	}
	return grant
}

// allocate returns the node's allocation: its share by demand, at most the part
// of the limit that is not allocated to other nodes.
func allocate(now structs.Instant, byNode map[string]*nodeAllocation, from string, demand Demand, limit Limit) Allocation {
	for name, other := range byNode {
		if now-other.reportedAt > ownerLease {
			delete(byNode, name)
		}
	}
	own := &nodeAllocation{demand: demand, reportedAt: now}
	var othersRate, othersDemandRate float64
	var othersConcurrency, othersDemandConcurrency int
	for name, other := range byNode {
		if name == from {
			continue
		}
		othersRate += other.allocation.Rate
		othersDemandRate += other.demand.Rate
		othersConcurrency += other.allocation.Concurrency
		othersDemandConcurrency += other.demand.InFlight + 1
	}
	nodes := float64(len(byNode))
	if _, known := byNode[from]; !known {
		nodes++
	}
	equalShare := limit.Rate / nodes
	demandShare := minEqualShareFraction*equalShare + (1-minEqualShareFraction)*limit.Rate*demandFraction(demand.Rate, demand.Rate+othersDemandRate, nodes)
	own.allocation = Allocation{
		Tenant: demand.Tenant,
		Rate:   max(0, min(demandShare, limit.Rate-othersRate)),
	}
	concurrencyShare := float64(limit.Concurrency) * demandFraction(float64(demand.InFlight+1), float64(demand.InFlight+1+othersDemandConcurrency), nodes)
	own.allocation.Concurrency = max(0, min(int(concurrencyShare+0.5), limit.Concurrency-othersConcurrency))
	byNode[from] = own
	return own.allocation
}

// demandFraction returns part divided by total, or an equal share of one if total is
// zero.
func demandFraction(part, total, nodes float64) float64 {
	if total <= 0 {
		return 1 / nodes
	}
	return part / total
}

// Member enforces this node's allocations. It is not safe for concurrent use.
type Member struct {
	tenants map[string]*tenantState
	// liveNodes is the number of equal shares while there is no grant.
	liveNodes int
}

// tenantState is the allocation and use of one tenant at this node.
type tenantState struct {
	limiter  *rate.Limiter
	inFlight int
	// arrivals counts the requests since the last report.
	arrivals float64
	// demandRate is a moving average of arrivals per second.
	demandRate float64
	allocation Allocation
	grantedAt  structs.Instant
	granted    bool
	usedAt     structs.Instant
}

// NewMember returns a member without allocations.
func NewMember() *Member { return &Member{tenants: map[string]*tenantState{}, liveNodes: 1} }

// SetLiveNodes sets the number of nodes that the equal share is computed for.
func (m *Member) SetLiveNodes(count int) { m.liveNodes = max(1, count) }

// Admit charges one request to the tenant's allocation. It returns the reason of
// the rejection, or ReasonNone. Each admitted request must be released.
func (m *Member) Admit(now structs.Instant, tenant string, limit Limit) structs.Reason {
	if limit.Rate <= 0 && limit.Concurrency <= 0 {
		return structs.ReasonNone
	}
	entry := m.stateFor(now, tenant, limit)
	entry.arrivals++
	entry.usedAt = now
	allowed := m.activeAllocation(now, entry, limit)
	if limit.Concurrency > 0 && entry.inFlight >= allowed.Concurrency {
		return structs.ReasonConcurrency
	}
	if limit.Rate > 0 {
		entry.limiter.SetLimitAt(toTime(now), rate.Limit(allowed.Rate))
		entry.limiter.SetBurstAt(toTime(now), max(1, int(limit.Burst/float64(m.liveNodes))))
		if !entry.limiter.AllowN(toTime(now), 1) {
			return structs.ReasonRate
		}
	}
	entry.inFlight++
	return structs.ReasonNone
}

// Release ends an admitted request.
func (m *Member) Release(tenant string) {
	if entry, found := m.tenants[tenant]; found && entry.inFlight > 0 {
		entry.inFlight--
	}
}

func (m *Member) stateFor(now structs.Instant, tenant string, limit Limit) *tenantState {
	entry, found := m.tenants[tenant]
	if !found {
		entry = &tenantState{limiter: rate.NewLimiter(rate.Limit(limit.Rate/float64(m.liveNodes)), max(1, int(limit.Burst/float64(m.liveNodes))))}
		entry.limiter.AllowN(toTime(now), 0)
		m.tenants[tenant] = entry
	}
	return entry
}

// activeAllocation returns the granted allocation until its lease expires, then
// the equal share. The concurrency of the equal share is rounded up, so that each
// node may run at least one request.
func (m *Member) activeAllocation(now structs.Instant, entry *tenantState, limit Limit) Allocation {
	if entry.granted && now-entry.grantedAt <= grantLease {
		return entry.allocation
	}
	return Allocation{Rate: limit.Rate / float64(m.liveNodes), Concurrency: (limit.Concurrency + m.liveNodes - 1) / m.liveNodes}
}

// Reports returns the reports to send, by owner. It is to be called once per
// ReportInterval and removes the state of tenants without recent requests.
func (m *Member) Reports(now structs.Instant, self string, owner func(tenant string) string) map[string]Report {
	names := make([]string, 0, len(m.tenants))
	for name, entry := range m.tenants {
		if entry.inFlight == 0 && now-entry.usedAt > ownerLease {
			delete(m.tenants, name)
			continue
		}
		names = append(names, name)
	}
	sort.Strings(names)
	reports := map[string]Report{}
	for _, name := range names {
		entry := m.tenants[name]
		entry.demandRate += demandGain * (entry.arrivals/ReportInterval.Seconds() - entry.demandRate)
		entry.arrivals = 0
		recipient := owner(name)
		report := reports[recipient]
		report.From = self
		report.Demands = append(report.Demands, Demand{Tenant: name, Rate: entry.demandRate, InFlight: entry.inFlight})
		reports[recipient] = report
	}
	return reports
}

// Apply activates the granted allocations; their leases start now.
func (m *Member) Apply(now structs.Instant, grant Grant) {
	for _, allocation := range grant.Allocations {
		if entry, found := m.tenants[allocation.Tenant]; found {
			entry.allocation, entry.granted, entry.grantedAt = allocation, true, now
		}
	}
}

// toTime converts an Instant to the time type of the rate limiter.
func toTime(now structs.Instant) time.Time { return time.Unix(0, int64(now)) }
