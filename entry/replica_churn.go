package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/structs"
)

// While replicas of a service end or are replaced, the entries of others may be out of date as well. Nodes tell each
// other of it in their heartbeats, so that a process that has just started knows too.

// maxChurningServices bounds the services that a heartbeat names as churning.
const maxChurningServices = 64

// mayRelyOnLocked reports whether a stream may go on over a connection with the verdict to a replica of the service, or
// have its origin recorded. What is only assumed counts unless replicas of the service are being replaced.
func (n *Node) mayRelyOnLocked(verdict incarnations.Verdict, service string) bool {
	return verdict.IsUnbrokenFromProof() || verdict.IsAssumed() && !n.identities.churn.IsChurning(n.now(), service)
}

// mayRelyOn is mayRelyOnLocked for callers that do not hold the mutex.
func (n *Node) mayRelyOn(verdict incarnations.Verdict, service string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.mayRelyOnLocked(verdict, service)
}

// recordEnd records a sign that the incarnation has ended, and not only that an exchange with it failed. The end of a
// draining replica is no sign that others are replaced: it was to end.
func (n *Node) recordEnd(incarnation incarnations.Incarnation) {
	n.mutex.Lock()
	if known, found := n.table.Get(incarnation.Replica); found && !known.Draining {
		n.identities.churn.Observe(n.now(), known.Service)
	}
	n.mutex.Unlock()
	n.recordDoubt(incarnation)
}

// churnAges returns for each service whose replicas are being replaced the milliseconds since the latest sign of it, for
// heartbeats. The caller holds the mutex.
func (n *Node) churnAges(now structs.Instant) map[string]int64 {
	var ages map[string]int64
	for service, age := range n.identities.churn.Ages(now) {
		if ages == nil {
			ages = map[string]int64{}
		}
		if len(ages) < maxChurningServices {
			ages[service] = age.Milliseconds()
		}
	}
	return ages
}

// observeChurn records what a peer saw of replicas that are replaced, as of the sending of its heartbeat. The caller
// holds the mutex.
func (n *Node) observeChurn(sentAt structs.Instant, ages map[string]int64) {
	for service, age := range ages {
		n.identities.churn.Observe(sentAt-time.Duration(max(age, 0))*time.Millisecond, service)
	}
}
