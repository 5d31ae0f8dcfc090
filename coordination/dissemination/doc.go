// Package dissemination distributes versions of the configuration between nodes. A version is a
// manifest of parts that are identified by the hash of their content (package catalog); a node
// requests the parts that it lacks, in replies of bounded length. A node sends to a few others at
// once and refers the rest to nodes that already have the version, so that the load on each link
// doesn't grow with the number of nodes.
//
// A document is returned only once all parts of its manifest are present and match their hashes.
// The package does no I/O. Its types are safe for concurrent use.
package dissemination
