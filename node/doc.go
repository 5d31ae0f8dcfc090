// Package node is the entry node as a library: it connects the scheduler and the
// other state machines to callers, back ends, peers and the platform. It makes
// no scheduling decisions itself.
//
// Every request that the node accepts ends in exactly one of three outcomes:
// answered, not run, or unknown. It ends as not run only if no byte of it was
// written to a back end.
package node
