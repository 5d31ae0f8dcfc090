package entry

import (
	"net/http"

	"github.com/thornwalk/thornwalk/outside"
)

// Every header of a request or an answer belongs to one of four: to the one
// connection that it came on, to the daemon, to the caller, or to nobody in
// particular. The first two are not passed on; the rest are, unchanged.

// connectionHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// keyHeader carries the caller's key, which is not the replica's business.
const authorizationHeader = "Authorization"

// passed returns the headers without those of one connection.
func withoutHopByHop(given http.Header) http.Header {
	header := given.Clone()
	for _, value := range given["Connection"] {
		for _, name := range splitList(value) {
			header.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	return header
}

// forReplica returns what of a caller's headers a replica gets, and how many were
// left out because only the daemon sets them.
func replicaHeaders(given http.Header, names *outside.HeaderNames) (http.Header, int) {
	header := withoutHopByHop(given)
	header.Del(authorizationHeader)
	for _, name := range names.CallerOwned() {
		name = http.CanonicalHeaderKey(name)
		if values, found := given[name]; found {
			header[name] = values
		}
	}
	dropped := 0
	for _, name := range names.SystemOwned() {
		if len(given.Values(name)) > 0 {
			dropped++
		}
		header.Del(name)
	}
	return header, dropped
}
