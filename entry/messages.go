package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/quota"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// assignRequest asks the scheduling node for a place at a replica.
type assignRequest struct {
	Request admission.Request
	// Tenant, Limit and Cost are for the quota; a rate of zero means none.
	Tenant string
	Limit  quota.Limit
	Cost   float64
	// First is true if no place was asked for before, and Repeat if the request came to a
	// replica before. One whose connect failed is neither.
	First, Repeat bool
	// Heard is what replicas of the service said to the asking node to hold requests back.
	Heard []pushback.Report `msgpack:",omitempty"`
	// Known is what the asking node saw lately of replicas that ended under the request; nil
	// if it saw none.
	Known *poisonrecords.Record
}

// assignReply is the decision on an assignRequest.
type assignReply struct {
	Replica    replicas.Replica
	Reason     string
	RetryAfter time.Duration
	Waited     time.Duration
	// Waiting, Free and Expected are what the decision went by: the requests ahead,
	// the free places of the service, and the wait that was predicted.
	Waiting, Free int
	Expected      time.Duration
	// Term is that of the scheduling process.
	Term uint64
	// Limit is what the scheduling node knows of the replica's rate limit, nil if it knows of none.
	// If there is one, the place counts against it.
	Limit *pushback.Report `msgpack:",omitempty"`
}

// Reasons of refusals beside those of package admission.
const (
	reasonQuota       = "quota"
	reasonRetryBudget = "retry-budget"
	reasonUnreachable = "no-scheduler"
	reasonStopping    = "stopping"
	// reasonConfigurationStale means that this node lacks a newer configuration.
	reasonConfigurationStale = "configuration-behind"
)

// finishRequest tells that a request with a place ended, or that one is no
// longer waited for.
type finishRequest struct {
	ID string
	// Seen is what the replica did.
	Seen admission.Observation
	// NotRun is true if the replica surely did not run the request; its cost is
	// given back to the tenant.
	NotRun bool
	// Content is what was asked for.
	Content fingerprint.Fingerprint
	// Ended tells that the replica's life ended under the request; nil if it did not.
	Ended *crashedIncarnation
}

// crashedIncarnation tells that a replica ended while a request was there.
type crashedIncarnation struct {
	Life           poisonrecords.Incarnation
	Service, Route string
}

type finishReply struct{}

// firstEventRequest tells that the answer to a request with a place began.
type firstEventRequest struct {
	ID string
	// Load is the number of requests that the replica said to have, or -1.
	Load int
	// Said is what the answer says to hold requests back, nil if it changes nothing.
	Said *pushback.Signals `msgpack:",omitempty"`
}

type firstEventReply struct{}

// updatesRequest asks a peer for what it knows of the replicas beyond one revision, and of the
// roll-outs beyond another.
type updatesRequest struct {
	Latest   structs.StorePosition
	Rollouts structs.StorePosition
}

// updatesReply is what a peer knows of the replicas and of roll-outs. It knows all roll-outs up
// to the revision Known.
type updatesReply struct {
	Replicas []replicas.Replica
	Removed  map[string]structs.StorePosition
	Orders   []rollouts.Order
	Records  []rollouts.Record
	Known    structs.StorePosition
}
