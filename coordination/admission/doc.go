// Package admission decides which queued requests are assigned to which replicas and which are
// rejected, for all followers of one scheduling node. Engines run requests in order of arrival and
// know no priorities, so requests are queued here until a replica has a free slot; a queued request
// that is rejected has certainly not run.
//
// The scheduler does no I/O, starts no goroutine and reads no clock. It is not safe for concurrent
// use. Its state is not stored: a new scheduler learns it from the nodes' reports of their requests
// in flight.
//
// Invariants:
//   - A queued request gets exactly one decision, and none after Cancel.
//   - A replica is assigned a request only while its known in-flight requests are fewer than its
//     slots plus a few extra ones that bridge the time between two requests in a slot.
//   - The work time that a replica reports changes its cost only: it never makes a request wait.
//   - A request is not assigned before a more urgent one of its service that could use the same slot: one
//     that is expected to meet its target there, or at no replica, and whose prompt does not delay the
//     streams there too long.
package admission
