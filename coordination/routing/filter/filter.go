// Package filter rejects replicas that must not or cannot serve a request.
// Filters don't depend on load, except that an engine with queued requests and
// nearly full KV memory is rejected; package score accounts for load.
package filter

import (
	"slices"

	"github.com/thornwalk/thornwalk/state/backend"
	"github.com/thornwalk/thornwalk/structs"
)

// Rejection is the reason why a replica is not eligible.
type Rejection string

const (
	// None means that the replica is eligible.
	None        Rejection = ""
	Leaving     Rejection = "leaving"
	Closed      Rejection = "closed"
	Suspended   Rejection = "suspended"
	NoModel     Rejection = "model"
	WrongRole   Rejection = "role"
	OtherZone   Rejection = "zone"
	LowKVMemory Rejection = "memory"
	Excluded    Rejection = "excluded"
)

// minKVFreeFraction is the free fraction of KV memory below which an engine
// with queued requests would have to evict running requests.
const minKVFreeFraction = 0.02

// Context is the input of the filters besides the replica and the request.
type Context struct {
	Now structs.Instant
	// Zones lists the zones whose replicas may be used; empty means all.
	Zones []string
	// Excluded lists replicas that failed to connect for this request.
	Excluded []structs.ReplicaID
}

// Check returns the first reason why the replica is not eligible, or None.
func Check(state *backend.ReplicaState, request *structs.Request, context *Context) Rejection {
	switch {
	case state.Replica.Leaving:
		return Leaving
	case state.Closed:
		return Closed
	case state.SuspendedUntil > context.Now:
		return Suspended
	case len(context.Zones) > 0 && !slices.Contains(context.Zones, state.Replica.Zone):
		return OtherZone
	case slices.Contains(context.Excluded, state.Replica.ID):
		return Excluded
	}
	if state.Replica.Kind != structs.KindEngine || !state.HasReport {
		return None
	}
	return checkEngine(state, request)
}

func checkEngine(state *backend.ReplicaState, request *structs.Request) Rejection {
	report := &state.Report
	switch {
	case request.Model != "" && !slices.Contains(report.Models, modelName(request)):
		return NoModel
	case report.Role == structs.RolePrefill:
		return WrongRole
	case report.KVFree < minKVFreeFraction && report.Waiting > 0:
		return LowKVMemory
	}
	return None
}

// modelName returns the name under which engines list a model with its adapter.
func modelName(request *structs.Request) string {
	if request.Adapter == "" {
		return request.Model
	}
	return request.Model + ":" + request.Adapter
}
