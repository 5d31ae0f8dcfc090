// Package soak runs entry daemons as real processes on loopback and injects faults from outside, by
// signals and by proxies in front of the store and the replicas, while callers send requests. It
// checks the promises by the callers' results and the stand-ins' records only, never by the daemons'
// own reports.
//
// Replicas are stand-ins of the same process, or with Silence and Replaced processes of their own: the first are
// stopped and continued, the second end and start again in place as other incarnations. What these ran is read from
// their output, into which they write each run before it does any work, so that a killed process loses none.
//
// The seed determines the plan of faults but not the timing of the processes, so repeating a failed
// seed may pass.
package soak
