// Package admission decides which waiting request starts next, at which
// replica, and which is refused, for all nodes that ask one scheduling node.
//
// Engines take requests in the order of arrival and know no priorities. So a
// request is held here until a place at a replica is free; what is held can
// still be refused with certainty that it did not run.
//
// The scheduler is passive: it does no I/O, starts no goroutine and reads no
// clock. It is not safe for concurrent use. Its state is soft: it is rebuilt
// from what the nodes report of their requests in progress.
//
// Invariants:
//   - A request that waits is given one decision, and none after Cancel.
//   - A place is given only while fewer requests are known to be in progress at the
//     replica than it has slots, and than may be on their way to it.
//   - A less urgent request does not start while a more urgent one of its
//     service waits that could use the same place: that would be in time there, or
//     in time nowhere any more, and would not make the streams there pause.
package admission
