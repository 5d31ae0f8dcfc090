// Package dissemination distributes versions of the configuration between nodes.
//
// A version is a manifest of parts that are identified by the hash of their content (package
// catalog). A node that is behind requests the parts that it lacks, in replies of bounded length,
// and keeps them if a later reply fails. A node sends to a few others at once and refers the rest
// to nodes that already have the version, so that the load on each link doesn't grow with the
// number of nodes.
//
// A document is returned only once all parts of its manifest are present and match their hashes.
// At most two versions are held, the active one and the one being fetched; they share parts.
//
// The package does no I/O. Its types are safe for concurrent use.
package dissemination
