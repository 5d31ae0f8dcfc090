package entry

import (
	"net/http"

	"github.com/thornwalk/thornwalk/outside"
)

// Headers belong to the connection, to this daemon, or to caller and replica. Only the last are
// forwarded, unchanged.

// hopByHopHeaders apply to one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// authorizationHeader carries the caller's key, which replicas must not get.
const authorizationHeader = "Authorization"

// withoutHopByHop returns a copy of the headers without those of one connection.
func withoutHopByHop(source http.Header) http.Header {
	header := source.Clone()
	for _, value := range source["Connection"] {
		for _, name := range splitList(value) {
			header.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	return header
}

// replicaHeaders returns the caller's headers that are forwarded to a replica, and how many
// headers were dropped because only this daemon may set them.
func replicaHeaders(source http.Header, names *outside.HeaderNames) (http.Header, int) {
	header := withoutHopByHop(source)
	header.Del(authorizationHeader)
	for _, name := range names.CallerOwned() {
		name = http.CanonicalHeaderKey(name)
		if values, found := source[name]; found {
			header[name] = values
		}
	}
	dropped := 0
	for _, name := range names.SystemOwned() {
		if len(source.Values(name)) > 0 {
			dropped++
		}
		header.Del(name)
	}
	return header, dropped
}
