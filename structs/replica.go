package structs

import "time"

// ReplicaID names one back-end replica inside its service.
type ReplicaID string

// Kind tells model engines from plain services.
type Kind string

const (
	// KindEngine is a model engine that batches requests and caches prefixes.
	KindEngine Kind = "engine"
	// KindService is a plain HTTP service.
	KindService Kind = "service"
)

// Role says which phases of a generation an engine takes.
type Role string

const (
	// RoleBoth prefills and decodes.
	RoleBoth Role = "both"
	// RolePrefill only prefills and exports its KV cache.
	RolePrefill Role = "prefill"
	// RoleDecode only decodes from imported KV cache.
	RoleDecode Role = "decode"
)

// Replica is the part of a back end that changes seldom.
type Replica struct {
	ID      ReplicaID `msgpack:"i" json:"id"`
	Service string    `msgpack:"s" json:"service"`
	Zone    string    `msgpack:"z" json:"zone"`
	Address string    `msgpack:"a" json:"address"`
	Kind    Kind      `msgpack:"k" json:"kind"`
	// HardwareGeneration names the hardware; speeds are learned per generation
	// before they are known per replica.
	HardwareGeneration string `msgpack:"g" json:"generation"`
	// ChecksFence is true when the engine refuses orders with a stale fence.
	ChecksFence bool `msgpack:"f" json:"checks_fence"`
	// Leaving closes the replica to new work.
	Leaving bool `msgpack:"l" json:"leaving"`
}

// LoadReport is a replica's own word on its load. It is stale on arrival.
type LoadReport struct {
	Replica ReplicaID `msgpack:"i" json:"replica"`
	// Sequence rises with each report of one process of the replica.
	Sequence uint64 `msgpack:"q" json:"sequence"`
	// Age is the time since the state was observed, as known to the sender.
	Age time.Duration `msgpack:"a" json:"age_ns"`
	// Running and Waiting count requests in the batch and before it.
	Running int `msgpack:"r" json:"running"`
	Waiting int `msgpack:"w" json:"waiting"`
	// WaitingTokens counts prompt tokens not yet prefilled.
	WaitingTokens int `msgpack:"t" json:"waiting_tokens"`
	// Slots bounds Running.
	Slots int `msgpack:"s" json:"slots"`
	// KVFree is the share of KV memory that is free, 0 to 1.
	KVFree float64 `msgpack:"k" json:"kv_free"`
	// PrefillRate is prompt tokens a second and StepTime the time between
	// tokens of one sequence, both as measured by the engine.
	PrefillRate float64       `msgpack:"p" json:"prefill_rate"`
	StepTime    time.Duration `msgpack:"d" json:"step_time_ns"`
	Leaving     bool          `msgpack:"l" json:"leaving"`
	Models      []string      `msgpack:"m" json:"models"`
	Role        Role          `msgpack:"o" json:"role"`
}

// CacheEvent tells that an engine stored or evicted one prefix block.
type CacheEvent struct {
	Sequence uint64 `msgpack:"q" json:"sequence"`
	Block    uint64 `msgpack:"b" json:"block"`
	Stored   bool   `msgpack:"s" json:"stored"`
}
