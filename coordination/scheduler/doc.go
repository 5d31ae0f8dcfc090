// Package scheduler is the decision core of one node: which waiting request
// starts next, where, and which is refused. It owns the queues, the ledger of
// requests in flight and what was learned of lengths and speeds.
//
// The core is passive: it does no I/O, starts no goroutine and reads no clock.
// The daemon, the emulator and the fault matrix drive the same code through
// Submit, Schedule and the observations. It is not safe for concurrent use.
//
// Invariants:
//   - A plan with VerdictDispatch is made at most once per request, unless the
//     driver proves with Requeue that no byte was sent.
//   - A request is refused for load only if its tier is at or below the shed
//     mark of the zone's floor (Floor.ShedFrom), see package shedding.
//   - Lower tiers wait while a higher tier of the same pool waits.
package scheduler
