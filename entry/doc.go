// Package entry is the daemon of an entry machine behind a balancer: it matches requests by host
// and path, gets a slot at a replica from the scheduling node, forwards the request and relays the
// response. All its state is soft: a new process gets everything from the store and its peers, and
// nothing is kept on the machine.
//
// The path of a request: handler.go (route, key, body), assignment.go (a slot from the scheduling
// node), serve.go (attempts and retries), attempt.go (one attempt), stream_origin.go and uncertain_origin.go
// (where a begun stream may go on), replica_paths.go (connections and which replicas are reached),
// replica_identity.go and replica_report.go (which incarnation a connection leads to), headers.go (forwarded
// headers), response.go, stream.go (events), event_order.go, answer_end.go (whether an answer is whole) and
// request_log.go. stop.go and stop_waits.go decide which requests a stopping node takes and end them. forwarding.go has
// connections that peers forward, and exchanges.go finds silent paths.
//
// Configuration and replicas: store.go, store_watchers.go, updates.go and configuration.go (from
// the store), update_pull.go (from peers), freshness.go (their age), era.go (a restored store),
// evacuation.go (evacuated zones) and zones.go (unreachable ones).
//
// Other nodes: heartbeats.go, heartbeat_relay.go, discovery.go, scheduler_selection.go (roles) and
// slow_node.go. doubt_news.go passes on which replicas may have ended. scheduling_service.go is the scheduling node's side of assignment.go, with
// scheduling_policy.go, scheduling_quota.go, scheduling_shares.go, scheduling_returns.go,
// scheduling_slow_start.go, scheduling_poison.go, scheduling_rollout.go and scheduling_stats.go;
// bucket_levels.go, share_levels.go, poison_sync.go and rollout.go exchange its state with other
// nodes, and tenant_report.go reports its counts by tenant to operators at any node.
package entry
