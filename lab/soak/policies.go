package soak

import (
	"fmt"
	"math/rand/v2"

	"github.com/thornwalk/thornwalk/entry"
)

// Draws of the scheduling policies of a run.
const (
	// policyStream is the random stream of the policies. Faults use other streams, so that the plan
	// of a seed does not depend on this draw. With this stream seed 1, which most tests of CI run,
	// has all policies on.
	policyStream = 1_000_001
	// policyShare is the share of runs in which a policy is on.
	policyShare = 0.75
	// maxSlotHandoverMS is twice the handover time of deploy/settings.yaml.
	maxSlotHandoverMS = 50
)

// policies are the settings that select how a full service is scheduled. All nodes of a run have the
// same ones; a previous version that does not know them ignores them.
type policies struct {
	tenantShares   entry.TenantShares
	queueOrder     entry.QueueOrder
	plannedReturns bool
	slotHandoverMS int
}

// drawPolicies draws the policies from the seed, each of them independently.
func drawPolicies(seed uint64) policies {
	random := rand.New(rand.NewPCG(seed, policyStream))
	drawn := policies{tenantShares: entry.SharesOff, queueOrder: entry.OrderByTarget}
	if random.Float64() < policyShare {
		drawn.tenantShares = []entry.TenantShares{entry.SharesEqual, entry.SharesByQuota}[random.IntN(2)]
	}
	if random.Float64() < policyShare {
		drawn.queueOrder = entry.OrderFeasible
	}
	drawn.plannedReturns = random.Float64() < policyShare
	if random.Float64() < policyShare {
		drawn.slotHandoverMS = 1 + random.IntN(maxSlotHandoverMS)
	}
	return drawn
}

// apply sets the policies in a node's settings.
func (p policies) apply(settings *entry.Settings) {
	settings.TenantShares, settings.QueueOrder = p.tenantShares, p.queueOrder
	settings.PlannedReturns, settings.SlotHandover = p.plannedReturns, float64(p.slotHandoverMS)
}

func (p policies) String() string {
	return fmt.Sprintf("tenant_shares=%s queue_order=%s planned_returns=%t slot_handover_ms=%d", p.tenantShares, p.queueOrder, p.plannedReturns, p.slotHandoverMS)
}
