package entry

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// A replica that broke a request off may have ended under it although that can't be told at
// once: the look at its address is lost on a bad link, or it fell silent as a machine without
// power does. What shows it later is that its entry is gone, that it has started again, or
// that a connect is refused.

const (
	// breakMemory is how long a broken request is remembered: a replica's entry lapses three
	// of its heartbeats, about four seconds, after its end.
	disconnectRetention = 10 * time.Second
	// maximumBreaks bounds the broken requests that are remembered.
	maxDisconnects = 512
)

// unresolvedDisconnect is a request that a replica broke off, by its end or not.
type unresolvedDisconnect struct {
	replica replicas.Replica
	content fingerprint.Fingerprint
	ended   *crashedIncarnation
	at      structs.Instant
}

func (n *Node) deferDisconnect(broken unresolvedDisconnect) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	broken.at = n.now()
	n.disconnects = slices.DeleteFunc(n.disconnects, func(held unresolvedDisconnect) bool { return broken.at-held.at > disconnectRetention })
	if len(n.disconnects) < maxDisconnects {
		n.disconnects = append(n.disconnects, broken)
	}
}

// resolveDisconnects tells of the requests that the replica broke off, now that its end is known.
// The caller holds the mutex.
func (n *Node) resolveDisconnects(replica replicas.Replica) {
	now := n.now()
	n.disconnects = slices.DeleteFunc(n.disconnects, func(held unresolvedDisconnect) bool {
		if !held.replica.IsSameIncarnation(replica) || now-held.at > disconnectRetention {
			return false
		}
		go n.reportCrash(&finishRequest{Content: held.content, Ended: held.ended})
		return true
	})
}

// tellEnd enters at this node and the scheduling node that a replica ended under a request
// whose place was given back before.
func (n *Node) reportCrash(finished *finishRequest) {
	n.counter("contents.ends_found_later").Inc(1)
	n.scheduling.finish(finished)
	if _, address := n.currentScheduler(); address != "" && n.ctx.Err() == nil {
		n.sendFinish(unackedFinish{address: address, message: finished, since: n.now()})
	}
}
