// Package errkind defines the kinds of errors that cross layers. Each kind has
// a stable code, an HTTP status, the outcome that it proves and a remedy.
// Callers match kinds with errors.Is.
package errkind

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/thornwalk/thornwalk/structs"
)

// Kind is a class of errors that share a remedy.
type Kind struct {
	// Code is stable and appears in responses, logs and metrics.
	Code string
	// Status is the HTTP status of a response that carries the kind.
	Status int
	// Outcome is what the kind proves about the request.
	Outcome structs.Outcome
	// Remedy says what the caller or operator should do.
	Remedy string
}

// Error returns the code and the remedy.
func (k *Kind) Error() string { return k.Code + ": " + k.Remedy }

// The kinds.
var (
	BadRequest       = newKind("bad-request", http.StatusBadRequest, structs.OutcomeNotRun, "correct the request body or headers as described and send it again")
	TooLarge         = newKind("too-large", http.StatusRequestEntityTooLarge, structs.OutcomeNotRun, "shorten the body below the setting max_body_bytes, or ask the operator to raise it")
	Unauthorized     = newKind("unauthorized", http.StatusUnauthorized, structs.OutcomeNotRun, "send a bearer key that belongs to a tenant in the settings")
	UnknownRoute     = newKind("unknown-route", http.StatusNotFound, structs.OutcomeNotRun, "use a route or model that GET /v1/models lists")
	NotFound         = newKind("not-found", http.StatusNotFound, structs.OutcomePending, "check the id; answers are kept only for the setting answer_retention")
	KeyReused        = newKind("key-reused", http.StatusUnprocessableEntity, structs.OutcomeNotRun, "use a new Idempotency-Key for a different body")
	Limited          = newKind("limited", http.StatusTooManyRequests, structs.OutcomeNotRun, "send again after Retry-After, or ask the operator to raise the tenant's limit")
	Shed             = newKind("shed", http.StatusServiceUnavailable, structs.OutcomeNotRun, "send again after Retry-After; the request did not run")
	DeadlineTooShort = newKind("deadline", http.StatusGatewayTimeout, structs.OutcomeNotRun, "send again with a longer deadline or a shorter prompt; the request did not run")
	NoReplica        = newKind("no-replica", http.StatusServiceUnavailable, structs.OutcomeNotRun, "send again after Retry-After; see thornwalk backends for the service")
	NoClaim          = newKind("no-claim", http.StatusServiceUnavailable, structs.OutcomeNotRun, "obtain a ticket with POST /v1/tickets and send the request with it, or send again when the platform's store answers")
	ClaimPageFull    = newKind("claim-page-full", http.StatusServiceUnavailable, structs.OutcomeNotRun, "use UUID version 7 keys, whose age can be read, so that old claims can be removed")
	KeyExpired       = newKind("key-expired", http.StatusConflict, structs.OutcomeUnknown, "the key is older than the setting claim_retention; look up the answer at its service before you use a new key")
	OutcomeUnknown   = newKind("outcome-unknown", http.StatusBadGateway, structs.OutcomeUnknown, "the request may have run: look it up with GET /v1/requests/ID or the receipt, do not send it again as new")
	InProgress       = newKind("in-progress", http.StatusConflict, structs.OutcomePending, "the request with this key is running: look it up with GET /v1/requests/ID")
	Stopping         = newKind("stopping", http.StatusServiceUnavailable, structs.OutcomeNotRun, "send again; another node of the zone accepts the request")
	Conflict         = newKind("conflict", http.StatusConflict, structs.OutcomePending, "read the settings again and repeat the change on the newer generation")
	InvalidSettings  = newKind("invalid-settings", http.StatusUnprocessableEntity, structs.OutcomePending, "correct the named value")
	StoreUnavailable = newKind("store-unavailable", http.StatusServiceUnavailable, structs.OutcomePending, "wait for the platform's store; requests are served with the last accepted generation")
	StoreUnknown     = newKind("store-unknown", http.StatusGatewayTimeout, structs.OutcomePending, "the write may have taken effect: read the value again and look for the change id")
	BadFrame         = newKind("bad-frame", http.StatusBadRequest, structs.OutcomePending, "the peer sent a frame that does not parse: check that both run compatible versions")
	PeerUnavailable  = newKind("peer-unavailable", http.StatusServiceUnavailable, structs.OutcomePending, "check the link and thornwalk peers")
	OtherEra         = newKind("other-era", http.StatusServiceUnavailable, structs.OutcomePending, "the platform's store was restored: read it again")
	StaleFence       = newKind("stale-fence", http.StatusConflict, structs.OutcomePending, "a newer coordinator holds the lease: read it again before ordering")
	BadTicket        = newKind("bad-ticket", http.StatusConflict, structs.OutcomePending, "obtain a new ticket with POST /v1/tickets")
	BadReceipt       = newKind("bad-receipt", http.StatusBadRequest, structs.OutcomePending, "send the receipt unchanged to a node that shares the receipt key")
)

var kindsByCode = map[string]*Kind{}

func newKind(code string, status int, outcome structs.Outcome, remedy string) *Kind {
	kind := &Kind{Code: code, Status: status, Outcome: outcome, Remedy: remedy}
	kindsByCode[code] = kind
	return kind
}

// New returns an error of the kind whose detail is formatted as by fmt.Sprintf.
func New(kind *Kind, format string, arguments ...any) error {
	detail := fmt.Sprintf(format, arguments...)
	return merry.Wrap(fmt.Errorf("%s: %w", detail, kind), merry.WithHTTPCode(kind.Status), merry.NoCaptureStack())
}

// Wrap returns an error that errors.Is matches with both the kind and the
// cause, or nil if the cause is nil. Of returns the kind, also if the cause has
// a kind of its own.
func Wrap(kind *Kind, cause error) error {
	if cause == nil {
		return nil
	}
	return merry.Wrap(fmt.Errorf("%[2]w: %[1]w", kind, cause), merry.WithHTTPCode(kind.Status), merry.NoCaptureStack())
}

// Of returns the kind of err, or OutcomeUnknown if err has none, since such an
// error proves nothing about the request.
func Of(err error) *Kind {
	var kind *Kind
	if errors.As(err, &kind) {
		return kind
	}
	return OutcomeUnknown
}

// ByCode returns the kind with the code and whether it exists.
func ByCode(code string) (*Kind, bool) {
	kind, found := kindsByCode[code]
	return kind, found
}
