package node

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// digest is a load report in the short form in which it travels between nodes.
// It takes about 20 bytes without its rare part; at the target each node hears
// of a hundred replicas.
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
	// Rare is nil if nothing in it changed lately; the receiver keeps what it had.
	Rare *rareDigest
}

// rareDigest is the part of a report that changes seldom or little.
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
	// rareEvery is how many reports of a replica pass between two that carry the
	// rare part though it did not change, for nodes that missed the change.
	reportsPerRarePart = 16
	// paceTolerance is the change of an engine's pace that is told at once.
	speedTolerance = 0.15
)

// shorten returns the digest of a report, with its rare part or without.
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

// isWhole returns whether the digest gives a whole report to a node that has an
// earlier report of the replica or not. Without its rare part, and without an
// earlier report to take that from, the replica would seem to hold no model.
func (d *digest) isApplicable(hasReport bool) bool { return d.Rare != nil || hasReport }

// expand returns the report; what the digest leaves out is as it was before.
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

// rareChanged returns whether the rare part should be told at once.
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

func exceedsTolerance(before, after float64) bool {
	return after > before*(1+speedTolerance) || after < before*(1-speedTolerance)
}
