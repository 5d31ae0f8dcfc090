package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/poison"
	"github.com/thornwalk/thornwalk/coordination/quota"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// assignRequest asks the scheduling node for a slot at a replica.
type assignRequest struct {
	Request admission.Request
	// Tenant, Limit and Cost are for the quota; a rate of zero means that there is none.
	Tenant string
	Limit  quota.Limit
	Cost   float64
	// First is true for the first assignment of a request, and Repeat if an earlier attempt reached
	// a replica. Neither is true after a failed connect.
	First, Repeat bool
	// MayHaveRun is true if a replica may have run the request before. If it is rejected now, its caller is
	// not told when to come back.
	MayHaveRun bool `msgpack:",omitempty"`
	// IsSearch is true if a replica still has the request, so that its caller does not notice a rejection.
	IsSearch bool `msgpack:"Search,omitempty"`
	// RequestID is the caller's ID of the request, shortened, for the reports to operators.
	RequestID string `msgpack:",omitempty"`
	// PushbackReports are the pushback reports on the service's replicas that the asking node knows.
	PushbackReports []pushback.Report `msgpack:"Heard,omitempty"`
	// RejectionLimits are the rejection limits of the service's replicas that the asking node knows.
	RejectionLimits []pushback.Report `msgpack:"Brittle,omitempty"`
	// Known is the asking node's recent poison record of the request, nil if there is none, and KnownParts are
	// those of the parts of its prompt.
	Known      *poisonrecords.Record
	KnownParts []poisonrecords.Record `msgpack:",omitempty"`
}

// assignReply is the decision on an assignRequest. Reason is empty if a replica was assigned.
type assignReply struct {
	Replica    replicas.Replica
	Reason     string
	RetryAfter time.Duration
	Waited     time.Duration
	// Waiting, Free and Expected describe the queue at the decision: the requests ahead, the
	// service's free slots and the predicted wait.
	Waiting, Free int
	Expected      time.Duration
	// BlockedBy is the fingerprint, of the request or of a part of its prompt, because of which it was rejected
	// as blocked or suspect; nil otherwise.
	BlockedBy *fingerprint.Fingerprint `msgpack:",omitempty"`
	// Term is the term of the scheduling node.
	Term uint64
	// DoubtAge is the time since the latest sign that the replica may have ended, as far as the scheduling node knows;
	// zero if it knows of none. Nodes of earlier releases don't send it.
	DoubtAge time.Duration `msgpack:",omitempty"`
	// RefusalAge is the time since the replica's address refused a connection, as far as the scheduling node knows; zero
	// if it knows of none lately. Nodes of earlier releases don't send it.
	RefusalAge time.Duration `msgpack:",omitempty"`
	// Limit is the replica's rate limit as the scheduling node knows it, nil if it knows of none.
	// The assignment counts against it.
	Limit *pushback.Report `msgpack:",omitempty"`
}

// Reasons of rejections, besides those of package admission.
const (
	reasonQuota       = "quota"
	reasonRetryBudget = "retry-budget"
	reasonUnreachable = "no-scheduler"
	reasonStopping    = "stopping"
	// reasonConfigurationStale means that this node's configuration is stale.
	reasonConfigurationStale = "configuration-behind"
)

// finishRequest reports that an assigned request ended, or that a queued one was given up.
type finishRequest struct {
	// ID is empty if the message only reports a doubt.
	ID string
	// Observation is what the sending node observed of the response.
	Observation admission.Observation `msgpack:"Seen"`
	// NotRun is true if the replica certainly did not run the request; its cost is refunded to the
	// tenant.
	NotRun bool
	// Unsent is true if no byte of the request was written to the replica; its permit of the retry budget is credited.
	// Nodes of earlier releases don't send it.
	Unsent bool `msgpack:",omitempty"`
	// HasReplicaEnded is true if the replica crashed or refused the connection while the store could not tell whether
	// it starts again. Nodes of earlier releases don't send it.
	HasReplicaEnded bool `msgpack:"Gone,omitempty"`
	// Rejected is true if the replica rejected the request for lack of room.
	Rejected    bool                    `msgpack:",omitempty"`
	Fingerprint fingerprint.Fingerprint `msgpack:"Content"`
	// Ended is the incarnation that crashed under the request, nil if none did.
	Ended *crashedIncarnation
	// Doubted is the incarnation that may have ended as far as the sending node knows, nil if there is none. Nodes of
	// earlier releases don't send it.
	Doubted *doubtedIncarnation `msgpack:",omitempty"`
}

// doubtedIncarnation is an incarnation of a replica that may have ended.
type doubtedIncarnation struct {
	Replica   string
	StartedAt int64
	// Age is the time since the latest sign of it.
	Age time.Duration
	// RefusalAge is the time since its address refused a connection, zero if it did not lately. Nodes of earlier releases
	// don't send it.
	RefusalAge time.Duration `msgpack:",omitempty"`
}

// crashedIncarnation is an incarnation of a replica that crashed under a request.
type crashedIncarnation struct {
	Incarnation    poisonrecords.Incarnation `msgpack:"Life"`
	Service, Route string
	// Parts are the shared parts of the prompt if the replica had not written an answer to it, and Tenant is the
	// tenant of the request then.
	Parts  []poison.Part `msgpack:",omitempty"`
	Tenant string        `msgpack:",omitempty"`
}

type finishReply struct{}

// firstEventRequest reports that the response to an assigned request started.
type firstEventRequest struct {
	ID string
	// Load is the number of requests that the replica reported, or -1.
	Load int
	// Rejected is true if the response is a rejection for lack of room.
	Rejected bool `msgpack:",omitempty"`
	// WorkTime is the work time that the replica reported, in percent of its usual one, zero if it reported
	// none. SinceGrant is the time from the assignment's arrival at the node to the report.
	WorkTime   int           `msgpack:",omitempty"`
	SinceGrant time.Duration `msgpack:",omitempty"`
	// Pushback holds the pushback signals of the response, nil if the scheduling node doesn't need them.
	Pushback *pushback.Signals `msgpack:"Said,omitempty"`
}

type firstEventReply struct{}

// updatesRequest asks a peer for changes of the replicas after one store position, and of the
// roll-outs after another.
type updatesRequest struct {
	Latest   structs.StorePosition
	Rollouts structs.StorePosition
}

// updatesReply has a peer's changes of the replicas and roll-outs. Those of roll-outs are complete
// up to the store position Known.
type updatesReply struct {
	Replicas []replicas.Replica
	Removed  map[string]structs.StorePosition
	Orders   []rollouts.Order
	Records  []rollouts.Record
	Known    structs.StorePosition
}
