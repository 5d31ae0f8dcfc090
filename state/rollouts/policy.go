package rollouts

import (
	"slices"

	"github.com/thornwalk/thornwalk/structs"
)

// Access says which new requests the replicas of a version may get.
type Access uint8

const (
	// AccessUnrestricted allows all requests.
	AccessUnrestricted Access = iota
	// AccessBudgeted allows only requests that are counted against the canary budget.
	AccessBudgeted
	// AccessDenied allows no new requests.
	AccessDenied
)

// VersionPolicy restricts which versions of a service's replicas get new requests. The zero value
// restricts none.
type VersionPolicy struct {
	// Service is empty if no version is restricted.
	Service string
	// OrderPosition is the store position of the order from which the policy follows; zero if there is
	// none.
	OrderPosition structs.StorePosition
	// Target and Stable are those of the rollout's record.
	Target, Stable string
	// Excluded lists versions that get no new requests, except as the target.
	Excluded []string
	// Phase is that of the rollout; zero if there is none, in which case only Excluded applies.
	Phase Phase
}

// IsActive reports whether the policy restricts any version.
func (p *VersionPolicy) IsActive() bool { return p.Service != "" }

// AccessFor returns the access for replicas of the version.
func (p *VersionPolicy) AccessFor(version string) Access {
	switch {
	case !p.IsActive():
		return AccessUnrestricted
	case p.Phase != 0 && version == p.Target:
		return p.targetAccess()
	case p.Phase == PhaseSwitching || p.Phase == PhaseCompleted || slices.Contains(p.Excluded, version):
		return AccessDenied
	}
	return AccessUnrestricted
}

// RestrictsTarget reports whether replicas of the target get only some of the new requests, or none.
func (p *VersionPolicy) RestrictsTarget() bool {
	return p.IsActive() && p.Phase != 0 && p.targetAccess() != AccessUnrestricted
}

// targetAccess returns the access for replicas of the target in a rollout's phase.
func (p *VersionPolicy) targetAccess() Access {
	switch p.Phase {
	case PhaseSwitching, PhaseCompleted:
		return AccessUnrestricted
	case PhaseCanary:
		return AccessBudgeted
	}
	return AccessDenied
}

// Policy returns the policy of the service; the zero value if no rollout is known. An order without a
// record counts as a rollout that starts, see NewRecord.
func (t *Table) Policy(service string, isTargetInService bool) VersionPolicy {
	order, ordered := t.Order(service)
	record, recorded := t.Record(service)
	if !ordered && !recorded {
		return VersionPolicy{}
	}
	if !recorded || ordered && record.OrderPosition < order.Position {
		record = NewRecord(order, record, isTargetInService)
	}
	return VersionPolicy{
		Service: service, OrderPosition: record.OrderPosition, Target: record.Target, Stable: record.Stable, Excluded: record.Excluded, Phase: record.Phase,
	}
}

// maxExcluded bounds the excluded versions of a record; the latest ones are kept.
const maxExcluded = 8

// NewRecord returns the first record of the order. before is the record of the service's previous order
// and may be the zero value: its target becomes the stable version if it got all requests, and is excluded
// if not. A target that is the stable version needs no canary, and neither does one in service:
// isTargetInService is true if the target had replicas before the order and no other version has any.
func NewRecord(order Order, before Record, isTargetInService bool) Record {
	record := Record{Service: order.Service, OrderPosition: order.Position, Target: order.Target, Stable: before.Stable, Phase: PhaseCanary}
	excluded := slices.Clone(before.Excluded)
	switch {
	case before.Target == "":
	case before.Phase == PhaseCompleted || before.Phase == PhaseSwitching:
		if before.Stable != "" {
			excluded = append(excluded, before.Stable)
		}
		record.Stable = before.Target
	default:
		excluded = append(excluded, before.Target)
	}
	excluded = slices.DeleteFunc(excluded, func(version string) bool { return version == order.Target || version == record.Stable })
	record.Excluded = excluded[max(0, len(excluded)-maxExcluded):]
	if order.Target == record.Stable || isTargetInService && !slices.Contains(before.Excluded, order.Target) && order.Target != before.Target {
		record.Phase = PhaseSwitching
	}
	return record
}
