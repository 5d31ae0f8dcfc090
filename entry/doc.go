// Package entry is the daemon of an entry machine that stands behind a
// balancer: it takes requests by host and path, gets a place at a replica from
// the scheduling node, forwards the request and relays the answer.
//
// Read a request's life in this order: handler.go (route, key, body),
// place.go (a place from the scheduling node), attempt.go (one send), headers.go
// (what of the caller's headers goes along), relay.go (the answer), stream.go
// (events); lines.go tells of each step. What a node believes comes from news.go
// (configuration and replicas, from the store), pull.go (the same, from peers),
// freshness.go (how old that is), evacuation.go (zones that the operators emptied), beats.go and
// introduce.go (other nodes), choice.go (who schedules, who follows the store, who speaks for its
// zone) and zones.go (zones that can't be reached); desk.go is the scheduling node's side of
// place.go, with quotadesk.go, warmingdesk.go, contentdesk.go and rolloutdesk.go.
//
// All state is soft. A process that starts again learns everything from the
// directory and its peers; nothing is kept on the machine.
package entry
