// Package shedding coordinates the shed floor of a service within a zone, so
// that no node rejects a higher tier for load while any node admits a lower one.
//
// A floor has two thresholds. Ranks from RefuseFrom on are rejected on arrival,
// queued requests included; ranks from ShedFrom on may be rejected for load. The
// invariant over all nodes and all times is
//
//	ShedFrom(any node) >= RefuseFrom(any node) - 1
//
// that is, a tier may be shed anywhere only if every tier below it is rejected
// everywhere. The owner of a service, chosen by rendezvous hashing over the live
// members, moves one threshold at a time and waits until every live member has
// acknowledged it: RefuseFrom first when it raises the floor, ShedFrom first
// when it lowers it.
//
// Nothing is persisted. Thresholds are leases: ShedFrom expires before
// RefuseFrom, so that a node without updates from an owner stops shedding higher
// tiers before it admits lower ones. If there are two owners, members apply the
// lower RefuseFrom and the higher ShedFrom, which keeps the invariant.
package shedding
