package outside

import (
	"context"
	"time"

	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/evacuations"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// Gone is news that a replica's entry was removed.
type Gone struct {
	ID       string
	Revision structs.StorePosition
}

// Update is news of the directory.
type Update struct {
	// Revision is the place in the directory's history up to which the news goes.
	Revision structs.StorePosition
	// Complete is true if Replicas lists every replica, and FullSnapshot if also Orders, Records and
	// Evacuations list every one.
	Complete, FullSnapshot bool
	// Calls is how many calls the update took.
	Calls int
	// Catalog is nil if the configuration did not change, and CatalogRevision is its
	// revision.
	Catalog         *catalog.Document
	CatalogRevision structs.StorePosition
	Replicas        []replicas.Replica
	Gone            []Gone
	// Evacuations are the orders to empty zones, and to take them back; a whole update lists
	// every zone that is emptied.
	Evacuations []evacuations.Order
	// Orders and Records are of roll-outs.
	Orders  []rollouts.Order
	Records []rollouts.Record
	// Contents are the requests that replicas ended under, as the store's record of that
	// revision names them; zero means that the update tells nothing of them.
	Contents         []poisonrecords.Record
	ContentsRevision structs.StorePosition
	// Problems are entries that did not parse and were left out.
	Problems []error
}

// Scope is what a read brings.
type Scope int

// The scopes of reads.
const (
	// ScopeAll is the configuration and the replicas.
	ScopeAll Scope = iota
	// ScopeReplicas leaves the configuration out, which may be long.
	ScopeReplicas
)

// String names the scope in logs.
func (s Scope) String() string {
	if s == ScopeReplicas {
		return "replicas"
	}
	return "all"
}

// Directory is where the configuration and the list of replicas come from.
type Directory interface {
	// Read returns everything of the scope as of one revision or later. A configuration
	// of the revision that the caller has already is left out. The error is of kind
	// TooLarge if an answer has more than the longest number of bytes, unless that is
	// zero, OtherEra if the store came back from a copy between the pages of one read, and else
	// StoreUnavailable.
	Read(ctx context.Context, scope Scope, configuration structs.StorePosition, longest int64) (*Update, error)
	// Watch returns what changed after the revision as soon as something did,
	// or an empty update after the wait. The error is of kind StaleFence if the
	// history is gone and OtherEra if the store came back from a copy, after which only Read
	// helps, and else StoreUnavailable.
	Watch(ctx context.Context, after structs.StorePosition, wait time.Duration) (*Update, error)
}

// Revisions tells how far the directory's history goes, at the cost of one small call.
type Revisions interface {
	// Revision returns the place of the latest change. The error is of kind StoreUnavailable.
	Revision(ctx context.Context) (structs.StorePosition, error)
}

// Rollouts keeps the progress of roll-outs and tells it to the operators.
type Rollouts interface {
	// WriteRollout writes the record and the status that operators read, both or neither,
	// if the store's record has the revision that this one names. It returns the new
	// revision. The error is of kind Conflict if the store's record has another revision,
	// StoreUnavailable if surely nothing was written, and StoreUnknown if the write may have
	// taken effect or may do so later, or if it was done in another era than that of the revision,
	// where this stands for another value.
	WriteRollout(ctx context.Context, record rollouts.Record) (structs.StorePosition, error)
	// ReadRollout returns the service's record as it is now, with revision zero if there is
	// none. The error is of kind StoreUnavailable.
	ReadRollout(ctx context.Context, service string) (rollouts.Record, error)
}

// Contents keeps which requests are barred since replicas ended under them.
type Contents interface {
	// WriteContents writes the records if the store's have the revision; zero means that it
	// has none. It returns the new revision. Its errors are those of Rollouts.WriteRollout.
	WriteContents(ctx context.Context, records []poisonrecords.Record, revision structs.StorePosition) (structs.StorePosition, error)
	// ReadContents returns the records and their revision, which is zero if there are none.
	// The error is of kind StoreUnavailable.
	ReadContents(ctx context.Context) ([]poisonrecords.Record, structs.StorePosition, error)
}

// HeaderNames are the names of the headers that carry what the daemon reads
// from requests and answers, and what it sets itself.
type HeaderNames struct {
	// RequestID names one try of a caller; the replica echoes it.
	RequestID string
	// Deadline is the time that the caller waits, in milliseconds.
	Deadline string
	// TokenUsage is the tokens of the prompt and the most of the answer.
	TokenUsage string
	// LengthHint is the caller's guess at the tokens of the answer.
	LengthHint string
	// ExpectReplica is set to the id of the replica that alone may run the request.
	ExpectReplica string
	// Tenant is set to the name of the key's tenant.
	Tenant string
	// NotRun marks an answer as the proof that the replica did not run the request.
	NotRun string
	// Signature is on every answer that a replica itself made.
	Signature string
	// Load is on some answers: requests running, requests waiting and slots.
	Load string
	// LastEvent is the number of the last event of a stream that the caller has.
	LastEvent string
	// Model names the model that has to answer, and Prefix the parts of the prompt.
	Model, Prefix string
	// Hold names a slot and memory that were set aside at the replica beforehand.
	Hold string
	// KeepFor is how long the replica keeps the memory of an ended run, in milliseconds.
	KeepFor string
	// BackupTo is the address of a replica to which the run's memory is copied meanwhile.
	BackupTo string
	// ContinueFrom names the copy of an earlier run's memory that the run goes on from.
	ContinueFrom string
	// FetchFrom is the address of a replica whose cached parts are copied first.
	FetchFrom string
}

// SystemOwned returns the headers that only the daemon sets: what a caller sends
// under these names must not reach a replica.
func (h *HeaderNames) SystemOwned() []string {
	return []string{h.ExpectReplica, h.Tenant, h.Hold, h.KeepFor, h.BackupTo, h.ContinueFrom, h.FetchFrom}
}

// CallerOwned returns the headers that a replica must get exactly as the caller
// sent them, even if the caller's Connection header names them.
func (h *HeaderNames) CallerOwned() []string {
	return []string{h.RequestID, h.Model, h.TokenUsage, h.Prefix}
}
