// Package filter rules replicas out that must not or cannot serve a request.
// A filter says no for reasons that hold whatever the load; load is scored.
package filter

import (
	"slices"

	"github.com/thornwalk/thornwalk/state/backend"
	"github.com/thornwalk/thornwalk/structs"
)

// Rejection says why a replica was ruled out; None means that it may serve.
type Rejection string

// The causes.
const (
	None      Rejection = ""
	Leaving   Rejection = "leaving"
	Closed    Rejection = "closed"
	Suspended Rejection = "suspended"
	NoModel   Rejection = "model"
	WrongRole Rejection = "role"
	OtherZone Rejection = "zone"
	Memory    Rejection = "memory"
	Excluded  Rejection = "excluded"
)

// minimumKVFree is the share of KV memory below which an engine that already
// queues would have to evict running work to take more.
const minimumKVFree = 0.02

// Context is what filters need beside the replica and the request.
type Context struct {
	Now structs.Instant
	// Zones lists the zones whose replicas may be used.
	Zones []string
	// Excluded lists replicas that already refused to connect for the request.
	Excluded []structs.ReplicaID
}

// Check returns the first cause that rules the replica out.
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
	case report.KVFree < minimumKVFree && report.Waiting > 0:
		return Memory
	}
	return None
}

// modelName is the name under which engines list a model with its adapter.
func modelName(request *structs.Request) string {
	if request.Adapter == "" {
		return request.Model
	}
	return request.Model + ":" + request.Adapter
}
