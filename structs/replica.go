package structs

import "time"

// ReplicaID identifies a back-end replica within its service.
type ReplicaID string

// Kind distinguishes model engines from plain services.
type Kind string

const (
	// KindEngine is a model engine that batches requests and caches prefixes.
	KindEngine Kind = "engine"
	// KindService is a plain HTTP service.
	KindService Kind = "service"
)

// Role names the phases of a generation that an engine runs.
type Role string

const (
	// RoleBoth prefills and decodes.
	RoleBoth Role = "both"
	// RolePrefill only prefills and exports its KV cache.
	RolePrefill Role = "prefill"
	// RoleDecode only decodes from an imported KV cache.
	RoleDecode Role = "decode"
)

// Replica describes a back end of package node and its scheduler; its load is in LoadReport.
// Package entry uses replicas.Replica instead.
type Replica struct {
	ID      ReplicaID `msgpack:"i" json:"id"`
	Service string    `msgpack:"s" json:"service"`
	Zone    string    `msgpack:"z" json:"zone"`
	// Address is the host and port for requests.
	Address string `msgpack:"a" json:"address"`
	Kind    Kind   `msgpack:"k" json:"kind"`
	// HardwareGeneration groups replicas of the same hardware: a replica that reports no speed is
	// assumed to have the average of its group.
	HardwareGeneration string `msgpack:"g" json:"generation"`
	// ChecksFence is true if the engine rejects orders with a stale fence.
	ChecksFence bool `msgpack:"f" json:"checks_fence"`
	// Leaving is true if the replica gets no new requests. At the same address it stays true.
	Leaving bool `msgpack:"l" json:"leaving"`
}

// LoadReport is an engine's load as the engine itself reports it. It is stale by Age on arrival.
type LoadReport struct {
	Replica ReplicaID `msgpack:"i" json:"replica"`
	// Sequence rises with each report of one process of the replica.
	Sequence uint64 `msgpack:"q" json:"sequence"`
	// Age is the time since the load was sampled, as of sending; a poller adds the duration of its call.
	Age time.Duration `msgpack:"a" json:"age_ns"`
	// Running is the number of requests in the batch, Waiting that in the engine's queue.
	Running int `msgpack:"r" json:"running"`
	Waiting int `msgpack:"w" json:"waiting"`
	// WaitingTokens is the number of prompt tokens that are not prefilled yet.
	WaitingTokens int `msgpack:"t" json:"waiting_tokens"`
	// Slots is the upper bound of Running; zero if the engine does not report it.
	Slots int `msgpack:"s" json:"slots"`
	// KVFree is the free share of KV memory, 0 to 1.
	KVFree float64 `msgpack:"k" json:"kv_free"`
	// PrefillRate is in prompt tokens per second. StepTime is the time between two tokens of one
	// sequence. Zero if the engine does not report them.
	PrefillRate float64       `msgpack:"p" json:"prefill_rate"`
	StepTime    time.Duration `msgpack:"d" json:"step_time_ns"`
	// Leaving is true if the engine accepts no new requests.
	Leaving bool `msgpack:"l" json:"leaving"`
	// Models lists the loaded models; one with an adapter is "model:adapter".
	Models []string `msgpack:"m" json:"models"`
	Role   Role     `msgpack:"o" json:"role"`
}

// CacheEvent reports that an engine stored or evicted one prefix block.
type CacheEvent struct {
	// Sequence rises with each event of one process of the engine.
	Sequence uint64 `msgpack:"q" json:"sequence"`
	// BlockHash identifies the block; it is an element of a Request.Prefix.
	BlockHash uint64 `msgpack:"b" json:"block"`
	// Stored is true if the block was stored, false if it was evicted.
	Stored bool `msgpack:"s" json:"stored"`
}
