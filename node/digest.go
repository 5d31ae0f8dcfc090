package node

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// digest is the compact form in which nodes exchange a load report.
type digest struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Replica       structs.ReplicaID
	AgeMS         uint32
	Running       uint32
	Waiting       uint32
	WaitingTokens uint32
	KVFreePercent uint8
	Leaving       bool
	// Rare is nil if it has not changed; the receiver then keeps its last values.
	Rare *rareDigest
}

// rareDigest is the part of a report that changes rarely.
type rareDigest struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Slots       uint32
	PrefillRate uint32
	StepMicros  uint32
	Role        structs.Role
	Models      []string
}

const (
	// Every reportsPerRarePart-th report of a replica carries the rare part even if
	// it has not changed, for nodes that missed a change.
	reportsPerRarePart = 16
	// speedTolerance is the largest relative change of an engine's speed that is not
	// announced at once.
	speedTolerance = 0.15
)

// newDigest returns the digest of a report, with or without its rare part.
func newDigest(report *structs.LoadReport, withRare bool) digest {
	short := digest{
		Replica: report.Replica, AgeMS: uint32(report.Age.Milliseconds()), Running: uint32(report.Running), Waiting: uint32(report.Waiting),
		WaitingTokens: uint32(report.WaitingTokens), KVFreePercent: uint8(100 * min(max(report.KVFree, 0), 1)), Leaving: report.Leaving,
	}
	if withRare {
		short.Rare = &rareDigest{Slots: uint32(report.Slots), PrefillRate: uint32(report.PrefillRate), StepMicros: uint32(report.StepTime.Microseconds()), Role: report.Role, Models: report.Models}
	}
	return short
}

// isApplicable reports whether the digest yields a complete report: without a rare
// part that needs an earlier report, or the replica would seem to serve no model.
func (d *digest) isApplicable(hasReport bool) bool { return d.Rare != nil || hasReport }

// expand returns the report; fields that the digest lacks are copied from before.
func (d *digest) expand(before *structs.LoadReport) structs.LoadReport {
	report := *before
	report.Replica = d.Replica
	report.Age = time.Duration(d.AgeMS) * time.Millisecond
	report.Running, report.Waiting, report.WaitingTokens = int(d.Running), int(d.Waiting), int(d.WaitingTokens)
	report.KVFree, report.Leaving = float64(d.KVFreePercent)/100, d.Leaving
	if d.Rare != nil {
		report.Slots, report.PrefillRate = int(d.Rare.Slots), float64(d.Rare.PrefillRate)
		report.StepTime = time.Duration(d.Rare.StepMicros) * time.Microsecond
		report.Role, report.Models = d.Rare.Role, d.Rare.Models
	}
	return report
}

// rareChanged reports whether the rare part has changed enough to be sent at once.
func rareChanged(before, after *structs.LoadReport) bool {
	return before.Slots != after.Slots || before.Role != after.Role || !sameModels(before.Models, after.Models) ||
		exceedsTolerance(before.PrefillRate, after.PrefillRate) || exceedsTolerance(float64(before.StepTime), float64(after.StepTime))
}

func sameModels(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// exceedsTolerance reports whether the relative change is larger than speedTolerance.
func exceedsTolerance(before, after float64) bool {
	return after > before*(1+speedTolerance) || after < before*(1-speedTolerance)
}
