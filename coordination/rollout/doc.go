// Package rollout moves a service's traffic to another version of its replicas: a canary phase
// compares the versions, then the target gets every request or is rolled back. The scheduling node runs
// one Controller for each service. The package does no I/O and reads no clock.
//
// The progress is one record in the platform's store, written only if it has not changed since it was
// read, so that schedulers on both sides of a partition continue from the same record. Guarantees,
// whatever crashes, is partitioned or lost:
//   - Canary budget: until the target is accepted, it gets at most Policy.Share of the requests that
//     reached the service since the order, plus Policy.Slack. Only budget that the store has
//     acknowledged is used; unused budget of a failed scheduler is lost.
//   - The target gets every request only after a record says so. The other versions are stopped only
//     once every node confirmed the record and none of their requests is running.
//   - A rejected target is recorded as rolled back only once the nodes confirmed that they send it
//     nothing.
package rollout
