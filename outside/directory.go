package outside

import (
	"context"
	"time"

	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/evacuations"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/state/streamorigins"
	"github.com/thornwalk/thornwalk/structs"
)

// RemovedReplica reports that the entry of a replica was removed, at the store position Position.
type RemovedReplica struct {
	ID       string
	Position structs.StorePosition
}

// Update is a snapshot or a set of changes of the directory.
type Update struct {
	// Position is the store position up to which the update covers the directory's history.
	Position structs.StorePosition
	// Complete is true if Replicas lists all replicas. FullSnapshot is true if RolloutOrders,
	// RolloutRecords and Evacuations are complete as well.
	Complete, FullSnapshot bool
	// Calls is the number of store calls that the update took.
	Calls int
	// Catalog is the configuration at CatalogPosition; nil if it did not change.
	Catalog         *catalog.Document
	CatalogPosition structs.StorePosition
	Replicas        []replicas.Replica
	Removed         []RemovedReplica
	// Evacuations are orders to evacuate a zone, or to lift that. A full snapshot lists every
	// evacuated zone.
	Evacuations []evacuations.Order
	// RolloutOrders are the operators' roll-out orders, RolloutRecords the stored progress of roll-outs.
	RolloutOrders  []rollouts.Order
	RolloutRecords []rollouts.Record
	// PoisonRecords are the poison records as stored at PoisonRecordsPosition. If that is zero,
	// the update says nothing about them.
	PoisonRecords         []poisonrecords.Record
	PoisonRecordsPosition structs.StorePosition
	// Problems has an error for each entry, or field of an entry, that was invalid and ignored.
	Problems []error
}

// Scope selects what a read returns.
type Scope int

// Scopes of reads.
const (
	// ScopeAll reads all entries.
	ScopeAll Scope = iota
	// ScopeReplicas reads the replicas only, without the configuration, which may be large.
	ScopeReplicas
)

// String returns the name of the scope in logs.
func (s Scope) String() string {
	if s == ScopeReplicas {
		return "replicas"
	}
	return "all"
}

// progressKey is the key of the function of WithReadProgress in a context.
type progressKey struct{}

// WithReadProgress returns a context for Directory.Read and Directory.Watch, which call report each time that a part of the answer has
// arrived and more is to come.
func WithReadProgress(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, progressKey{}, report)
}

// ReportReadProgress calls the function of WithReadProgress, if the context has one.
func ReportReadProgress(ctx context.Context) {
	if report, found := ctx.Value(progressKey{}).(func()); found {
		report()
	}
}

// Directory is the source of the configuration and of the list of replicas.
type Directory interface {
	// Read returns all entries of the scope as of one store position or a later one. It omits the
	// configuration if that is still the one at the given position. Errors: TooLarge if an answer
	// has more than maxBytes bytes (zero: no bound), OtherEra if the store was restored between two
	// pages of the read, otherwise StoreUnavailable.
	Read(ctx context.Context, scope Scope, configuration structs.StorePosition, maxBytes int64) (*Update, error)
	// Watch blocks until something changed after the given position and returns the changes, or
	// returns an empty update after the wait. Errors: StaleFence if the store no longer has the
	// history after that position, TooLarge if that history is longer than an answer may be and
	// OtherEra if the store was restored, all of which require a new Read; otherwise
	// StoreUnavailable.
	Watch(ctx context.Context, after structs.StorePosition, wait time.Duration) (*Update, error)
}

// Revisions reads the latest position of the directory's history with one small call.
type Revisions interface {
	// Revision returns the position of the latest change. The error is of kind StoreUnavailable.
	Revision(ctx context.Context) (structs.StorePosition, error)
}

// Rollouts stores the progress of roll-outs and publishes it to the operators.
type Rollouts interface {
	// WriteRollout atomically writes the record and the status that operators read, if the stored
	// record still has the position that this one names, and returns the new position. Errors:
	// Conflict if the stored record has another position, StoreUnavailable if nothing was written,
	// StoreUnknown if the write may have taken effect or may still do so. StoreUnknown also covers
	// a write that succeeded in another era, where the expected revision belongs to another value.
	WriteRollout(ctx context.Context, record rollouts.Record) (structs.StorePosition, error)
	// ReadRollout returns the service's stored record, with position zero if there is none, and the
	// store's position at the read. The error is of kind StoreUnavailable.
	ReadRollout(ctx context.Context, service string) (rollouts.Record, structs.StorePosition, error)
}

// PoisonRecordStore stores the poison records: the requests that are blocked because replicas crashed under
// them.
type PoisonRecordStore interface {
	// WritePoisonRecords replaces the stored records if they are at the given position, where zero means
	// that there are none, and returns the new position. Errors are those of Rollouts.WriteRollout.
	WritePoisonRecords(ctx context.Context, records []poisonrecords.Record, revision structs.StorePosition) (structs.StorePosition, error)
	// ReadPoisonRecords returns the records and their position, which is zero if there are none. The
	// error is of kind StoreUnavailable.
	ReadPoisonRecords(ctx context.Context) ([]poisonrecords.Record, structs.StorePosition, error)
}

// StreamOriginStore stores the origins of streams for the case that all nodes end at the same moment.
type StreamOriginStore interface {
	// GrantLease creates a lease, which the store ends after the TTL with all keys that have it. The error is of kind
	// StoreUnavailable.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// WriteStreamOrigins stores the batch under the name, which is used for no other one; a name that is taken is no
	// error. Errors: StoreUnavailable if nothing was written, also if the lease is over, StoreUnknown if the write may have
	// taken effect or may still do so.
	WriteStreamOrigins(ctx context.Context, name string, batch streamorigins.Batch, lease LeaseID) error
	// ReadStreamOrigins returns the stored batches, without those that can't be read. The error is of kind
	// StoreUnavailable.
	ReadStreamOrigins(ctx context.Context) ([]streamorigins.Batch, error)
}

// HeaderNames has the names of the headers that the daemon reads from requests and answers, or sets
// itself.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller; the replica echoes it.
	RequestID string
	// Deadline is the time for which the caller waits, in milliseconds.
	Deadline string
	// TokenUsage is the number of prompt tokens and the maximum number of output tokens, separated
	// by a comma.
	TokenUsage string
	// LengthHint is the caller's estimate of the output tokens.
	LengthHint string
	// ExpectReplica is set to the ID of the only replica that may run the request.
	ExpectReplica string
	// Tenant is set to the name of the tenant that the caller's key belongs to.
	Tenant string
	// NotRun marks an answer that proves that the replica did not run the request.
	NotRun string
	// Signature is present on every answer that a replica itself made.
	Signature string
	// Load is present on some answers: running requests, queued requests and slots.
	Load string
	// LastEvent is the number of the last event of a stream that the caller received.
	LastEvent string
	// ResumedRequest is the ID of the request whose response brought the first event of the stream that
	// the caller resumes.
	ResumedRequest string
	// Model is the name of the requested model. PromptPrefix identifies the leading parts of the
	// prompt.
	Model, PromptPrefix string
	// Reservation refers to a slot and memory that were reserved at the replica beforehand. The
	// daemon sets neither it nor the next four headers: it only removes them from callers'
	// requests.
	Reservation string
	// CacheRetention is how long the replica keeps the KV cache of a finished request, in
	// milliseconds.
	CacheRetention string
	// CacheBackupAddress is the address of a replica that receives a copy of the KV cache while the
	// request runs.
	CacheBackupAddress string
	// CacheCopy identifies the copied KV cache of an earlier request that this one continues.
	CacheCopy string
	// CacheSourceAddress is the address of a replica whose cached prefixes are copied first.
	CacheSourceAddress string
}

// SystemOwned returns the headers that are reserved to the daemon: a replica must not get a value
// that a caller sent under one of these names.
func (h *HeaderNames) SystemOwned() []string {
	return []string{h.ExpectReplica, h.Tenant, h.Reservation, h.CacheRetention, h.CacheBackupAddress, h.CacheCopy, h.CacheSourceAddress}
}

// CallerOwned returns the headers that a replica must get exactly as the caller sent them, even if
// the caller's Connection header names them.
func (h *HeaderNames) CallerOwned() []string {
	return []string{h.RequestID, h.Model, h.TokenUsage, h.PromptPrefix}
}
