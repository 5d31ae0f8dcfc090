// Package emulator runs the daemon's scheduling code under virtual time against emulated
// engines, with stale load reports, late and lost cache events, bursts and slowdowns, and
// compares it with baseline policies on the same arrivals.
//
// A run is a single-threaded discrete-event simulation: the same deployment, load, seed
// and policy give the same result, byte for byte.
package emulator
