package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/coordination/dissemination"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/catalog"
)

// A new version of the configuration is read from the store by the few nodes that watch it.
// All other nodes fetch the parts that they lack from these and from each other (package
// dissemination).

// Bounds of fetching a configuration from peers.
const (
	// maxReplyPartsBytes bounds the parts in one reply, so that smaller messages do not wait
	// long behind it on a slow link: it takes 26 ms at 10 Mbit/s.
	maxReplyPartsBytes = 32 << 10
	// partsTimeout bounds one call, which includes the wait for the peer's send limiter.
	partsTimeout = 500 * time.Millisecond
	// fetchTimeout bounds one fetch. The parts received so far are kept for the next one.
	fetchTimeout = 3 * time.Second
	// busyBackoff and busyBackoffJitter determine the wait after a peer reported that it is busy.
	busyBackoff       = 20 * time.Millisecond
	busyBackoffJitter = 40 * time.Millisecond
	// maxFetchRetries is how many more nodes one fetch calls after calls that failed.
	maxFetchRetries = 3
)

// errNoOtherSource means that no other node is known to have the version.
var errNoOtherSource = errors.New("no other node is known to have the version")

// errVersionInvalid means that this node can't apply the version. Other nodes have the same one.
var errVersionInvalid = errors.New("the version is not valid at this node")

// applyCatalog activates a configuration if it is valid and newer than the active one.
func (n *Node) applyCatalog(document *catalog.Document, source string) {
	n.catalogMutex.Lock()
	defer n.catalogMutex.Unlock()
	if current := n.catalog.Load(); current != nil && document.Version <= current.Version {
		if document.Version < current.Version {
			n.log.Write(eventlog.Event{Kind: "configuration", Outcome: "kept-out", Reason: "older", Version: document.Version, Detail: source})
		}
		return
	}
	compiled, err := catalog.Compile(document)
	if err != nil {
		n.newerVersions.Reject(document.Version)
		n.log.Write(eventlog.Event{Kind: "configuration", Outcome: "kept-out", Reason: "invalid", Version: document.Version, Detail: err.Error()})
		return
	}
	n.publish(document)
	n.scheduling.setSlowStarts(n.settings.Load().slowStarts(document.Services))
	n.recordRouting(document)
	n.catalog.Store(compiled)
	n.log.Write(eventlog.Event{Kind: "configuration", Outcome: "in-force", Version: document.Version, Count: len(document.Routes), Detail: source})
}

// recordRouting records that the configuration is about to be active.
func (n *Node) recordRouting(document *catalog.Document) {
	var timeouts []time.Duration
	for _, route := range document.Routes {
		if route.Kind == catalog.KindStreaming {
			timeouts = append(timeouts, route.Timeout)
		}
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.routingHistory.Update(n.now(), timeouts)
}

// publish makes the version available to peers.
func (n *Node) publish(document *catalog.Document) {
	n.parts.Activate(document.Version)
	if n.parts.Version() >= document.Version {
		return
	}
	if err := n.parts.Publish(document); err != nil {
		n.log.Write(eventlog.Event{Kind: "configuration", Outcome: "not-published", Version: document.Version, Detail: err.Error()})
	}
}

// version returns the version of the active configuration, or zero if there is none.
func (n *Node) version() int64 {
	if current := n.catalog.Load(); current != nil {
		return current.Version
	}
	return 0
}

// configurationPullDue reports whether to fetch a newer version from the sender of the
// heartbeat now. If so, the caller must fetch it. The caller holds the mutex.
func (n *Node) configurationPullDue(heartbeat liveness.Heartbeat) bool {
	own, delay := n.version(), n.pullDelay(heartbeat)
	if own == 0 && !n.isNonDelegate {
		delay = 0
	}
	if !n.newerVersions.Observe(n.now(), own, heartbeat.Version) {
		return false
	}
	return n.versionPull.ShouldPull(n.now(), own, heartbeat.Version, delay)
}

// partsReply releases its slot of the send limiter once it was sent.
type partsReply struct {
	dissemination.Reply `msgpack:",inline"`
	onSent              func()
}

// Sent implements peer.Tracked.
func (r *partsReply) Sent() {
	if r.onSent != nil {
		r.onSent()
	}
}

// serveParts returns parts of the active version that the requesting peer lacks.
func (n *Node) serveParts(ctx context.Context, request *dissemination.Request) (*partsReply, error) {
	if n.parts.Version() <= request.Version {
		return &partsReply{}, nil
	}
	if !n.sendLimiter.Acquire(ctx) {
		n.counter("configuration.busy").Inc(1)
		return &partsReply{Reply: dissemination.Reply{Busy: true, Sources: n.sources.Suggest(request)}}, nil
	}
	reply, complete := n.parts.Respond(request, maxReplyPartsBytes)
	for _, content := range reply.Content {
		n.counter("configuration.bytes_sent").Inc(int64(len(content)))
	}
	// A peer that does not read occupies the slot no longer than it waits for the reply.
	release := sync.OnceFunc(n.sendLimiter.Release)
	time.AfterFunc(partsTimeout, release)
	return &partsReply{Reply: *reply, onSent: func() {
		release()
		if complete {
			n.sources.Add(reply.Manifest.Version, request)
		}
	}}, nil
}

// fetchConfiguration fetches the newer version of the peer at the address and applies it.
func (n *Node) fetchConfiguration(address string) {
	startedAt, current := n.now(), n.version()
	progress, err := n.fetch(address)
	if err != nil {
		n.parts.CancelFetch()
	}
	n.mutex.Lock()
	n.versionPull.PullDone(n.now(), err == nil || progress)
	n.mutex.Unlock()
	took := n.now() - startedAt
	if err != nil {
		if n.ctx.Err() == nil {
			n.counter("configuration.fetches_failed").Inc(1)
			n.log.Write(eventlog.Event{Kind: "configuration", Outcome: "not-fetched", Peer: address, Version: current, TookMS: took.Milliseconds(), Detail: err.Error()})
		}
		return
	}
	n.recordDuration("configuration_fetch_ms", took)
}

// fetch calls the peer, and others if it is busy or fails, until no part of a newer version
// is missing. Progress reports whether any missing part was received.
func (n *Node) fetch(address string) (progress bool, err error) {
	ctx, cancel := context.WithTimeout(n.ctx, fetchTimeout)
	defer cancel()
	for failures := 0; failures <= maxFetchRetries; {
		var reply *partsReply
		if reply, err = n.requestParts(ctx, address); err == nil && reply.Busy {
			address = n.nextSource(reply.Sources, address)
			n.sleep(busyBackoff + rand.N(busyBackoffJitter))
			continue // ends with fetchTimeout, when the next call fails
		}
		received, complete := false, false
		if err == nil {
			received, complete, err = n.mergeParts(&reply.Reply, address)
		}
		progress = progress || received
		if complete {
			return true, nil
		}
		if err == nil && received {
			continue
		}
		if err == nil {
			err = errNoOtherSource
		}
		next := n.nextSource(nil, address)
		if next == address || ctx.Err() != nil || errors.Is(err, errVersionInvalid) {
			return progress, err
		}
		address = next
		failures++
	}
	return progress, err
}

// requestParts makes one call for parts to the peer at the address.
func (n *Node) requestParts(ctx context.Context, address string) (*partsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, partsTimeout)
	defer cancel()
	request := &dissemination.Request{Version: n.version(), HeldParts: n.parts.HeldParts(), Address: n.selfAddress(), Zone: n.settings.Load().Zone}
	reply := &partsReply{}
	if err := n.peers.Call(ctx, address, peerwire.KindConfigurationParts, request, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// mergeParts stores the parts of a reply and applies the version that they complete. Complete
// reports whether this node's version is then at least the peer's.
func (n *Node) mergeParts(reply *dissemination.Reply, address string) (progress, complete bool, err error) {
	document, progress, err := n.parts.Merge(reply)
	if err != nil {
		n.counter("configuration.parts_bad").Inc(1)
		return progress, false, err
	}
	if document != nil {
		n.applyCatalog(document, "peer "+address)
		if n.version() < document.Version {
			return progress, false, errVersionInvalid
		}
	}
	return progress, reply.Manifest.Version > 0 && n.version() >= reply.Manifest.Version, nil
}

// nextSource returns a live node to call after the one at the address: a suggested one, else
// one of this zone that has the version being fetched or any newer than this node's, else
// one of another zone. If there is none, it returns the same address.
func (n *Node) nextSource(suggested []string, address string) string {
	minVersion, zone := max(n.version()+1, n.parts.Fetching()), n.settings.Load().Zone
	var preferred, sameZone, otherZones []string
	n.mutex.Lock()
	for _, member := range n.members.Live(n.now()) {
		switch {
		case member.Address == address:
		case slices.Contains(suggested, member.Address):
			preferred = append(preferred, member.Address)
		case member.Version < minVersion:
		case member.Zone == zone:
			sameZone = append(sameZone, member.Address)
		default:
			otherZones = append(otherZones, member.Address)
		}
	}
	n.mutex.Unlock()
	for _, group := range [][]string{preferred, sameZone, otherZones} {
		if len(group) > 0 {
			return group[rand.IntN(len(group))]
		}
	}
	return address
}
