// Package incarnations decides whether a connection to a replica leads to the incarnation that the replica's store
// entry describes. A replica may end and start again at its address and under its ID, with another software version.
// Until its new entry is known, the entry of the former incarnation describes a process that is gone. The package has
// no I/O and no clock; callers pass in what they observe, and when.
//
// Assumptions:
//   - A connection leads to one process for as long as it lives, and one process at a time is at an address. An
//     incarnation has an ID or a start of its own, or states no start; then successors of the same version count as the
//     same incarnation, as streams may go on at them.
//   - A replica replaces the entry of its former incarnation once it has reached the store for EntryDelay since its
//     start. An outage that no call of this node notices is shorter than maxViewGap, and delays it by its length.
//     Two of them do not follow each other within that time.
//   - The entry of a replica that has ended is removed within EntryDelay too, unless its successor starts before.
//   - No replica ends and starts again within minReplacementTime.
//
// Guarantee: a verdict of ProofEntry, ProofAnswers or ProofReport is true, whatever is late or lost and whatever ends,
// under the first two assumptions. ProofAssumed is wrong only if a successor started at most EntryDelay + maxViewGap
// + maxViewAge before, and this node was told of nothing that failed at the replica since its end. ProofUnbroken is true
// under all assumptions. ProofAssumedUnbroken is if the connection at the beginning of its row was rightly assumed to lead
// to the incarnation when it was opened; it never turns into ProofUnbroken by itself.
//
// Wrong assumptions come in series, as replicas of a service are mostly replaced in series. Churn tells when a series is
// under way, so that callers do without what is only assumed.
package incarnations
