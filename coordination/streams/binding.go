package streams

import (
	"slices"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
)

// Refusal says why a stream may not go on.
type Refusal string

// Reasons of refusals.
const (
	// RefusalNone means that the stream may go on.
	RefusalNone Refusal = ""
	// RefusalUnknown means that no record of the stream was found, and that the service has had several versions.
	RefusalUnknown Refusal = "stream-unknown"
	// RefusalAmbiguous means that two streams have the same name.
	RefusalAmbiguous Refusal = "stream-ambiguous"
	// RefusalNoVersion means that the version that began the stream is not certain yet.
	RefusalNoVersion Refusal = "stream-version-uncertain"
	// RefusalOtherService means that the route does not lead to the service that began the stream.
	RefusalOtherService Refusal = "stream-of-other-service"
)

// Evidence is what a node knows of a stream that a caller resumes.
type Evidence struct {
	// Origin and Knowledge are the result of the search for a record.
	Origin    streamorigins.Origin
	Knowledge streamorigins.Knowledge
	// Services are those to which the route leads.
	Services []string
	// OnlyVersion returns the version of all replicas that may have begun the stream if it is one of the service, and the
	// route has led to no other,
	// see streamorigins.VersionHistory.OnlyVersion. It is asked only if there is no record, not if that is uncertain.
	OnlyVersion func(service string) (string, bool)
}

// Bind returns the origin to whose version the stream is bound, or why the stream is refused.
func Bind(evidence Evidence) (streamorigins.Origin, Refusal) {
	switch evidence.Knowledge {
	case streamorigins.Ambiguous:
		return streamorigins.Origin{}, RefusalAmbiguous
	case streamorigins.Known:
		return bindToRecord(evidence.Origin, evidence.Services)
	case streamorigins.Unknown:
		return bindToHistory(evidence)
	}
	return streamorigins.Origin{}, RefusalAmbiguous // a state of a later version of this program
}

// bindToHistory binds a stream without a record.
func bindToHistory(evidence Evidence) (streamorigins.Origin, Refusal) {
	if len(evidence.Services) != 1 {
		return streamorigins.Origin{}, RefusalUnknown // it may have begun at any of them
	}
	version, isOnly := evidence.OnlyVersion(evidence.Services[0])
	if !isOnly {
		return streamorigins.Origin{}, RefusalUnknown
	}
	return streamorigins.Origin{Service: evidence.Services[0], Version: version}, RefusalNone
}

func bindToRecord(origin streamorigins.Origin, services []string) (streamorigins.Origin, Refusal) {
	if origin.Version == "" {
		return origin, RefusalNoVersion
	}
	if !slices.Contains(services, origin.Service) {
		return origin, RefusalOtherService
	}
	return origin, RefusalNone
}

// OriginAt returns the origin of a stream whose first event the replica brought. Listed is what the node knows
// of the replica with this ID by then, if isListed. If that is another incarnation or version, it is not certain which
// of them ran the request.
func OriginAt(assigned, listed replicas.Replica, isListed bool) streamorigins.Origin {
	if isListed && (!listed.IsSameIncarnation(assigned) || listed.Version != assigned.Version) {
		return streamorigins.Origin{Service: assigned.Service}
	}
	return streamorigins.Origin{Service: assigned.Service, Version: assigned.Version}
}

// MayGoOnAt reports whether a stream with the origin may go on at the assigned replica; listed is as for
// OriginAt. The scheduling node may have chosen by an older list, or not know of origins at all.
func MayGoOnAt(origin streamorigins.Origin, assigned, listed replicas.Replica, isListed bool) bool {
	return origin.Version != "" && OriginAt(assigned, listed, isListed) == origin
}
