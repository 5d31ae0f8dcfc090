// Package rollout moves a service's traffic to another version of its replicas, finds out
// whether that version is good, and ends the move one way or the other.
//
// One Controller a service runs at the node that schedules. The progress lies in one record
// of the platform's store, written only under the condition that nobody wrote it since it
// was read; so two schedulers, on two sides of a cut, go on from the same record.
//
// Guarantees, whatever crashes, is cut off or lost:
//   - CanaryBudget: until the target is found good, no more requests are sent to it than
//     Policy.Share of those that reached the service since the order, and Policy.Slack
//     more. Requests are sent only out of what the store has acknowledged as taken; what a
//     scheduler took and did not use is lost to all.
//   - The target gets every request only after a record says so, and the other versions are
//     told to stop only once every node confirmed that and nothing runs there any more.
//   - A target that was given up is recorded as rolled back only once the nodes have
//     confirmed that they send it nothing.
//
// The package is passive: it does no I/O and reads no clock.
package rollout
