// Package soak runs entry daemons as real processes on loopback and injects
// faults from outside: signals to the processes, and proxies in front of the
// store and the replicas. Callers send requests all the while; at the end
// everything is healed and the promises are judged by what callers saw and what
// the stand-ins ran, never by what the daemons say of themselves.
//
// The plan of faults follows from the seed. The timing of real processes does
// not, so that a seed that broke a promise once may pass when played again; the
// lines of the processes are kept for that reason.
package soak
