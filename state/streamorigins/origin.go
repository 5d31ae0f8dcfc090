// Package streamorigins keeps which software version of a service began a stream, so that whoever sends the
// stream on can keep to that version. It has no I/O and no clock; callers pass in the time.
//
// Guarantee: the origin of a stream never changes. It is recorded once the replica has brought the first event, without
// a version while that is uncertain. Knowledge of it only grows (Finding): a record with another version or service makes
// the origin ambiguous for good. A Registry that forgets an origin reports it as unknown and never as another one.
package streamorigins

import "github.com/thornwalk/thornwalk/state/fingerprint"

// Key identifies a stream: the request that brought its first event, of one tenant.
type Key = fingerprint.Fingerprint

// KeyOf returns the key of the stream that the tenant's request with the ID began. The tenant is empty
// without tenants. One tenant's request can't be named by another.
func KeyOf(tenant, requestID string) Key {
	return fingerprint.Of(tenant, "", "", requestID, nil)
}

// Origin is what a stream is bound to.
type Origin struct {
	Service string `msgpack:"s"`
	// Version is the version of the software of the replica that brought the first event. It is empty if that
	// is not certain; no replica has such a version.
	Version string `msgpack:"v"`
}

// IsZero reports whether the stream has no origin, as its caller has no events.
func (o Origin) IsZero() bool { return o == Origin{} }

// Record is the origin of one stream.
type Record struct {
	Key    Key    `msgpack:"k"`
	Origin Origin `msgpack:"o"`
	// Content is the fingerprint of the stream's request, which is the same for all tries of a caller. Nodes of earlier
	// versions state none.
	Content Key `msgpack:"c"`
}
