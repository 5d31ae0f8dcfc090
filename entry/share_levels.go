package entry

import (
	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/structs"
)

// The leads of tenants at the scheduling node reach the next one by heartbeats, as bucket levels do: the
// active scheduler reports them and the nodes that follow it restore their ledgers from them. A process
// that starts or resumes takes those of another scheduling node once. Otherwise a node that schedules at
// the same time as another, as in a partition, goes by its own.

// tenantWeight returns the weight of the tenant in the active configuration.
func (s *Settings) tenantWeight(current *catalog.Catalog, tenant *catalog.Tenant) float64 {
	if s.TenantShares != SharesByQuota || current == nil {
		return 1
	}
	return min(max(current.RelativeRate(tenant), admission.MinWeight), admission.MaxWeight)
}

// refreshTenant replaces the caller's tenant by that of the active configuration, if that has it: a change
// of its priority or rate applies to the next attempt of a request.
func (c *call) refreshTenant() {
	current := c.node.catalog.Load()
	if c.tenant == nil || current == nil {
		return
	}
	if tenant := current.Tenant(c.tenant.Name); tenant != nil {
		c.tenant = tenant
	}
}

// takesShareLevels reports whether this node applies the share levels of the heartbeat. The caller holds
// the mutex.
func (n *Node) takesShareLevels(now structs.Instant, heartbeat *liveness.Heartbeat) bool {
	switch {
	case heartbeat.ShareLevels == nil:
		return false
	case n.scheduler == n.settings.Load().Name:
		return n.scheduling.lacksShareLevels()
	case now-n.lastActiveAt < formerSchedulerReportTime:
		return false // this node still reports its own
	default:
		return heartbeat.Name == n.scheduler && heartbeat.Scheduler == heartbeat.Name
	}
}

// applyShareLevels applies the share levels of another scheduling node.
func (n *Node) applyShareLevels(isActive bool, levels *liveness.ShareLevels) {
	if ignored := n.scheduling.applyShareLevels(isActive, levels); ignored > 0 {
		n.counter("share_levels.ignored").Inc(int64(ignored))
	}
}
