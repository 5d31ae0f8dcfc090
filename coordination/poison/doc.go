// Package poison detects poison requests ("queries of death"): requests that crash the replicas
// that run them. A Tracker counts, by request fingerprint, the replica incarnations that ended while
// running a request since the last complete answer to it, and decides whether the request may be
// sent. It does no I/O, reads no clock and enforces nothing itself.
//
// Records of several nodes merge in any order to the same result. Every request at a replica that
// crashes becomes a suspect, so that suspects include innocent requests: a complete answer clears
// them, and blocked requests get a bounded number of trials.
package poison
