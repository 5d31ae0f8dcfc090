// Package soak runs entry daemons as real processes on loopback and injects faults from outside, by
// signals and by proxies in front of the store and the replicas, while callers send requests. It
// checks the promises by the callers' results and the stand-ins' records only, never by the daemons'
// own reports.
//
// The seed determines the plan of faults but not the timing of the processes, so repeating a failed
// seed may pass.
package soak
