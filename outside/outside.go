// Package outside defines the interfaces to external systems: the host platform's key-value store
// and its machine list. It has no implementation: the adapters are in packages platform and
// transport, and tests and the lab have their own.
package outside

import (
	"context"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Value is the value of one key of the store.
type Value struct {
	Data []byte
	// Revision is the revision of the key's last change; zero if the key is absent.
	Revision int64
}

// LeaseID identifies a lease; zero means none.
type LeaseID int64

// Store is the platform's key-value store. Every method may fail with kind StoreUnavailable, which
// for a write proves that nothing was written. Writes may also fail with StoreUnknown: the outcome
// is unknown.
type Store interface {
	// Get returns the value, with Revision zero if the key is absent.
	Get(ctx context.Context, key string) (Value, error)
	// Swap writes the key if its revision is the expected one (zero: the key is absent) and returns
	// the new revision, or kind Conflict if the revision differs. A conflict may be caused by an
	// earlier write of the same caller whose outcome was unknown, so callers look for their own
	// mark in the value.
	Swap(ctx context.Context, key string, expected int64, data []byte, lease LeaseID) (int64, error)
	// Watch blocks until the key's revision exceeds after and returns the value, or returns an
	// error when the context ends. An open watch counts as a call.
	Watch(ctx context.Context, key string, after int64) (Value, error)
	// Grant creates a lease. Its keys are removed when it is not renewed for the TTL.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease; kind StaleFence means that it has expired.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Machine is an entry of the machine list.
type Machine struct {
	// Name is unique among all machines.
	Name string `json:"name"`
	// Role is "entry" or "backend".
	Role string `json:"role"`
	Zone string `json:"zone"`
	// PeerAddress and CallerAddress are set for entry machines.
	PeerAddress   string `json:"peer_address,omitempty"`
	CallerAddress string `json:"caller_address,omitempty"`
	// Replica is set for backends.
	Replica *structs.Replica `json:"replica,omitempty"`
	Leaving bool             `json:"leaving"`
}

// MachineList is the platform's list of machines. The list may be behind the actual state.
type MachineList interface {
	// Machines returns the list as the platform currently has it.
	Machines(ctx context.Context) ([]Machine, error)
}
