// Package node is the entry node as a library: it joins the decision core to
// callers, back ends, peers and the platform. Programs and tests construct a
// Node from a Config and its Dependencies; the daemon is a thin main around it.
//
// Every request that the node accepts ends in exactly one of three outcomes:
// answered, not run, or unknown. "Not run" is claimed only while no byte of the
// request was written to a back end.
package node
