// Package outside defines the interfaces to the outside systems: the
// platform's key-value service and its machine list. Each has an adapter in
// the transport layer; tests and the lab bring stand-ins.
package outside

import (
	"context"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Value is one key of the store.
type Value struct {
	Data []byte
	// Revision is that of the last change of the key; zero means absent.
	Revision int64
}

// LeaseID names a lease; zero means none.
type LeaseID int64

// Store is the platform's key-value service. Every method may fail with kind
// StoreUnavailable, which proves that nothing was written, or, for writes, with
// StoreUnknown, which proves nothing.
type Store interface {
	// Get returns the value, with Revision zero if the key is absent.
	Get(ctx context.Context, key string) (Value, error)
	// Swap writes the key if its revision is the expected one (zero: absent).
	// It returns the new revision, or kind Conflict if the revision differs.
	// A conflict may be the echo of one's own earlier write with an unknown
	// outcome; callers look for their own mark in the value.
	Swap(ctx context.Context, key string, expected int64, data []byte, lease LeaseID) (int64, error)
	// Watch returns the value once its revision exceeds after, or an error
	// when the context ends. A waiting watch is charged as a call.
	Watch(ctx context.Context, key string, after int64) (Value, error)
	// Grant makes a lease; its keys vanish when it is not renewed for ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease; kind StaleFence means that it has expired.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Machine is an entry of the machine list.
type Machine struct {
	// Name is unique over all machines.
	Name string `json:"name"`
	// Role is "entry" or "backend".
	Role string `json:"role"`
	Zone string `json:"zone"`
	// PeerAddress and CallerAddress are set for entry machines.
	PeerAddress   string `json:"peer_address,omitempty"`
	CallerAddress string `json:"caller_address,omitempty"`
	// Replica is set for back ends.
	Replica *structs.Replica `json:"replica,omitempty"`
	Leaving bool             `json:"leaving"`
}

// MachineList is the platform's list of machines. It lags.
type MachineList interface {
	// Machines returns the list as the platform knows it now.
	Machines(ctx context.Context) ([]Machine, error)
}
