// Package settings defines the immutable tree of settings that operators edit: its
// schema, its YAML form, its validation and its compiled form. It does no I/O.
//
// A branch is a slash-separated path with values. A value that a branch does not set
// is inherited from the nearest ancestor that sets it, else it is the schema's
// default. The first element of a path is its section: tiers, tenants, routes,
// services, zones or node.
package settings
