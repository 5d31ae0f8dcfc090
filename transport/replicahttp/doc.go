// Package replicahttp sends requests to replicas over HTTP/1.1 and tells with
// certainty how far each send came. The standard client is not used, because
// it resends by itself on kept connections that died.
//
// Guarantees:
//   - Nothing is written twice: one Exchange writes a request at most once.
//   - An error of Connect proves that no byte of the request was written.
//   - An answer that names another request is never returned.
//   - A connection is kept only after a whole answer with nothing behind it.
package replicahttp
