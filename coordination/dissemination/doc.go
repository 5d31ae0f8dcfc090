// Package dissemination decides how a version of the configuration goes from node to node.
//
// A version is a manifest of parts that are named by their content (package catalog).
// A node that is behind names the parts it has and is sent only what it lacks, in
// replies of a bounded length; what came is kept when a later reply does not. A node
// sends to a few others at once and names nodes that have the version already to the
// rest, so that no link carries more than its share, however many nodes there are.
//
// Guarantees: a document is returned only once every part of its manifest is here and
// each part fits its name. At most two versions are held, the one in force and the one
// that is fetched, and they share their parts.
//
// The package does no I/O and reads no clock. Its types are safe for concurrent use.
package dissemination
