package rollouts

import (
	"slices"

	"github.com/thornwalk/thornwalk/structs"
)

// Access says how a replica of some version may be used.
type Access uint8

// The uses of a version's replicas.
const (
	// AccessUnrestricted: like any other replica.
	AccessUnrestricted Access = iota
	// AccessBudgeted: only for a request that is counted against what the version may get
	// until it is judged.
	AccessBudgeted
	// AccessDenied: for no new request.
	AccessDenied
)

// VersionPolicy says which versions of a service's replicas get new requests. The zero
// value lets all of them. Without a phase only Excluded counts.
type VersionPolicy struct {
	// Service is empty if no roll-out of the service is known.
	Service string
	// OrderPosition is the revision of the order that the policy follows from.
	OrderPosition  structs.StorePosition
	Target, Stable string
	Excluded       []string
	Phase          Phase
}

// Active returns whether any version is restricted.
func (p *VersionPolicy) Active() bool { return p.Service != "" }

// AccessFor returns how a replica of the version may be used.
func (p *VersionPolicy) AccessFor(version string) Access {
	switch {
	case !p.Active():
		return AccessUnrestricted
	case p.Phase != 0 && version == p.Target:
		return p.useOfTarget()
	case p.Phase == PhaseSwitching || p.Phase == PhaseCompleted || slices.Contains(p.Excluded, version):
		return AccessDenied
	}
	return AccessUnrestricted
}

func (p *VersionPolicy) useOfTarget() Access {
	switch p.Phase {
	case PhaseSwitching, PhaseCompleted:
		return AccessUnrestricted
	case PhaseCanary:
		return AccessBudgeted
	}
	return AccessDenied
}

// Policy returns the policy for the service. An order that nobody has recorded yet is a
// roll-out that begins: its target gets nothing but what is counted, unless it is in
// service already.
func (t *Table) Policy(service string, inService bool) VersionPolicy {
	order, ordered := t.Order(service)
	record, recorded := t.Record(service)
	if !ordered && !recorded {
		return VersionPolicy{}
	}
	if !recorded || ordered && record.OrderPosition < order.Position {
		record = NewRecord(order, record, inService)
	}
	return VersionPolicy{
		Service: service, OrderPosition: record.OrderPosition, Target: record.Target, Stable: record.Stable, Excluded: record.Excluded, Phase: record.Phase,
	}
}

// maximumBarred bounds the versions that a record remembers as not to be used.
const maximumBarred = 8

// NewRecord returns the first record of the order, which follows the service's earlier one;
// that one may be empty. A version whose roll-out did not end well stays barred, and the
// service goes back to the version that it had before, or to the one that was completed.
// A target that the service has already, or that had replicas before the order, needs no
// judgement.
func NewRecord(order Order, before Record, inService bool) Record {
	record := Record{Service: order.Service, OrderPosition: order.Position, Target: order.Target, Stable: before.Stable, Phase: PhaseCanary}
	barred := slices.Clone(before.Excluded)
	switch {
	case before.Target == "":
	case before.Phase == PhaseCompleted || before.Phase == PhaseSwitching:
		if before.Stable != "" {
			barred = append(barred, before.Stable)
		}
		record.Stable = before.Target
	default:
		barred = append(barred, before.Target)
	}
	barred = slices.DeleteFunc(barred, func(version string) bool { return version == order.Target || version == record.Stable })
	record.Excluded = barred[max(0, len(barred)-maximumBarred):]
	if order.Target == record.Stable || inService && !slices.Contains(before.Excluded, order.Target) && order.Target != before.Target {
		record.Phase = PhaseSwitching
	}
	return record
}
