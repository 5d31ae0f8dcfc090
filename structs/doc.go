// Package structs holds the types that every layer of a node (package node), its scheduler and the
// emulator share: requests, replicas, load reports, plans, outcomes and store positions. It imports
// no other package of this module, which prevents import cycles.
//
// Times are Instants: monotonic and local to one process. Only durations are sent between processes.
package structs
