// Package entry is the daemon of an entry machine that stands behind a
// balancer: it takes requests by host and path, gets a place at a replica from
// the scheduling node, forwards the request and relays the answer.
//
// Read a request's life in this order: handler.go (route, key, body),
// assignment.go (a place from the scheduling node), attempt.go (one send), headers.go
// (what of the caller's headers goes along), response.go (the answer), stream.go
// (events); request_log.go tells of each step. What a node believes comes from updates.go
// (configuration and replicas, from the store), update_pull.go (the same, from peers),
// freshness.go (how old that is), evacuation.go (zones that the operators emptied), heartbeats.go and
// discovery.go (other nodes), scheduler_selection.go (who schedules, who follows the store, who speaks for its
// zone) and zones.go (zones that can't be reached); scheduling_service.go is the scheduling node's side of
// assignment.go, with scheduling_quota.go, scheduling_slow_start.go, scheduling_poison.go and scheduling_rollout.go.
//
// All state is soft. A process that starts again learns everything from the
// directory and its peers; nothing is kept on the machine.
package entry
