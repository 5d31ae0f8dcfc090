// Package scheduler decides for one node which queued request is dispatched
// next, to which replica, and which requests are rejected. It does no I/O,
// starts no goroutine and reads no clock: callers pass the time in and carry
// out the returned plans. It is not safe for concurrent use.
//
// Invariants:
//   - A request is dispatched at most once, unless the caller confirms with
//     Requeue that no byte was sent.
//   - A request is rejected for load only if its rank is at or beyond
//     Floor.ShedFrom (see package shedding), or if its tier's queue exceeds
//     maxQueueFactor times its limit.
//   - Requests of higher tiers are planned before those of lower tiers in the
//     same pool.
package scheduler
