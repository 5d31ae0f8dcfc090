// Package incarnations decides whether a connection to a replica leads to the incarnation that the replica's store
// entry describes. A replica may end and start again at its address and under its ID, with another software version.
// Until its new entry is known, the entry of the former incarnation describes a process that is gone. The package has
// no I/O and no clock; callers pass in what they observe, and when.
//
// Assumptions:
//   - A connection leads to one process for as long as it lives.
//   - A replica replaces the entry of its former incarnation within EntryDelay of its start while it reaches the store,
//     and within EntryDelay of the store's return otherwise.
//   - No replica ends and starts again within minReplacementTime.
//
// Guarantee: a verdict of ProofEntry, ProofAnswers or ProofReport is true, whatever is late or lost and whatever ends,
// under the first two assumptions, and ProofUnbroken under all of them
// if no connection in its row was wrongly assumed to lead to the incarnation when it was opened. ProofAssumed is wrong only if a replica was replaced within the age of the latest
// view, and nothing that this node knows of has failed at it.
package incarnations
