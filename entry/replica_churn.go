package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// While replicas of a service are replaced in place, the entries of others may be out of date as well. Nodes tell each
// other of it in their heartbeats, so that a process that has just started knows too. A replica that ends and does not
// come back is no sign of it.

// maxChurningServices bounds the services that a heartbeat names as churning.
const maxChurningServices = 64

// mayRelyOnLocked reports whether a stream may go on over a connection with the verdict to a replica of the service, or
// have its origin recorded. What is only assumed counts unless replicas of the service are being replaced.
func (n *Node) mayRelyOnLocked(verdict incarnations.Verdict, service string) bool {
	return verdict.IsUnbrokenFromProof() || verdict.IsAssumed() && !n.identities.isChurning(n.now(), service)
}

// isChurning reports whether replicas of the service are being replaced, or were and the store has not been read since.
func (i *replicaIdentities) isChurning(now structs.Instant, service string) bool {
	return i.churn.IsChurning(now, i.ListedUntil(), service)
}

// mayRelyOn is mayRelyOnLocked for callers that do not hold the mutex.
func (n *Node) mayRelyOn(verdict incarnations.Verdict, service string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.mayRelyOnLocked(verdict, service)
}

// recordRefused records that the incarnation's address refused a connection.
func (n *Node) recordRefused(incarnation incarnations.Incarnation) {
	n.mutex.Lock()
	n.identities.refusals.Observe(n.now(), incarnation)
	n.mutex.Unlock()
	n.recordDoubt(incarnation)
}

// recordAccepted records that the replica's address accepted a connection. If it refused one before, of this node or of
// one that told of it, a successor that is not listed yet has probably started there, and others of the service may have.
func (n *Node) recordAccepted(replica replicas.Replica) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.identities.refusals.Accepted(n.now(), incarnations.Of(replica)) {
		n.identities.churn.Observe(n.now(), replica.Service)
	}
}

// recordOtherServer records that another server than the incarnation is at its address.
func (n *Node) recordOtherServer(replica replicas.Replica) {
	n.mutex.Lock()
	n.identities.churn.Observe(n.now(), replica.Service)
	n.mutex.Unlock()
	n.recordDoubt(incarnations.Of(replica))
}

// churnAges returns for each service whose replicas are being replaced the milliseconds since the latest sign of it that
// this node has observed, for heartbeats. The caller holds the mutex.
func (n *Node) churnAges(now structs.Instant) map[string]int64 {
	var ages map[string]int64
	for service, age := range n.identities.churn.OwnAges(now, n.identities.ListedUntil()) {
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
		n.identities.churn.ObserveReported(sentAt-time.Duration(max(age, 0))*time.Millisecond, service)
	}
}
