// Package backend is a node's view of the replicas it may dispatch to: their
// latest load reports, the node's own requests in flight, and learned speeds.
// It does no I/O and reads no clock.
//
// A load report is already stale when it arrives. A replica's load is therefore
// split into the load of other nodes at the time of the report and the current
// load of this node; only the former goes stale.
package backend
