// Package replicahttp sends requests to replicas over pooled HTTP/1.1 connections, and its errors
// show whether a request may have run. It doesn't use the transport of net/http, which resends
// requests when an idle connection turns out to be closed. It doesn't retry.
//
// Guarantees:
//   - One Exchange writes a request at most once.
//   - An answer with the ID of another request is never returned.
//   - An exchange that is given up resets its connection, so that nothing of it is sent later.
//   - A connection is reused only after a complete answer that no further bytes follow.
package replicahttp
