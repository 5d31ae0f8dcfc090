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

// A new version of the configuration is read from the store by the few nodes that
// follow it. All others fetch from these, and from each other, the parts that they lack
// (package dissemination).

// Bounds of fetching.
const (
	// partsBudget is the length of the parts in one reply, in bytes: 26 ms of a link of
	// 10 Mbit/s, which is how long smaller messages may have to wait behind it.
	maxReplyPartsBytes = 32 << 10
	// partsTimeout bounds one call: the wait for the peer's turn, and the time that a
	// reply takes on the slowest link while three others share it.
	partsTimeout = 500 * time.Millisecond
	// fetchTimeout bounds one fetch; what came is kept for the next.
	fetchTimeout = 3 * time.Second
	// busyPause and busyJitter are the time until a node is asked again that was busy:
	// about what it needs to serve one round of others.
	busyBackoff       = 20 * time.Millisecond
	busyBackoffJitter = 40 * time.Millisecond
	// failuresBorne is how many other nodes are asked in one fetch after one failed.
	maxFetchRetries = 3
)

// errNobodyElse means that no other node is known to have the version.
var errNoOtherSource = errors.New("no other node is known to have the version")

// errInvalid means that this node can't take the version into force; others have no
// other one.
var errVersionInvalid = errors.New("the version is not valid at this node")

// offerCatalog takes a configuration into force if it is valid and newer.
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
	n.scheduling.setWarmings(n.settings.Load().slowStarts(document.Services))
	n.catalog.Store(compiled)
	n.log.Write(eventlog.Event{Kind: "configuration", Outcome: "in-force", Version: document.Version, Count: len(document.Routes), Detail: source})
}

// publish makes the version available to others. One that was fetched from a peer is in
// the library already.
func (n *Node) publish(document *catalog.Document) {
	n.parts.Activate(document.Version)
	if n.parts.Version() >= document.Version {
		return
	}
	if err := n.parts.Publish(document); err != nil {
		n.log.Write(eventlog.Event{Kind: "configuration", Outcome: "not-published", Version: document.Version, Detail: err.Error()})
	}
}

// version returns the version in force; zero means none.
func (n *Node) version() int64 {
	if current := n.catalog.Load(); current != nil {
		return current.Version
	}
	return 0
}

// configurationPullDue returns whether the peer has a newer version and is to be asked
// for it now. The caller holds the mutex.
func (n *Node) configurationPullDue(beat liveness.Heartbeat) bool {
	own, patience := n.version(), n.pullDelay(beat)
	if own == 0 && !n.isNonDelegate {
		patience = 0
	}
	if !n.newerVersions.Observe(n.now(), own, beat.Version) {
		return false
	}
	return n.versionPull.ShouldPull(n.now(), own, beat.Version, patience)
}

// partsReply gives the turn at this node's link back once it was sent.
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

// serveParts sends a peer what it lacks of the version in force.
func (n *Node) serveParts(ctx context.Context, request *dissemination.Request) (*partsReply, error) {
	if n.parts.Version() <= request.Version {
		return &partsReply{}, nil
	}
	if !n.sendLimiter.Acquire(ctx) {
		n.counter("configuration.busy").Inc(1)
		return &partsReply{Reply: dissemination.Reply{Busy: true, Sources: n.sources.Suggest(request)}}, nil
	}
	reply, whole := n.parts.Respond(request, maxReplyPartsBytes)
	for _, content := range reply.Content {
		n.counter("configuration.bytes_sent").Inc(int64(len(content)))
	}
	// A peer that does not read keeps its turn no longer than it waits for the reply.
	leave := sync.OnceFunc(n.sendLimiter.Release)
	time.AfterFunc(partsTimeout, leave)
	return &partsReply{Reply: *reply, onSent: func() {
		leave()
		if whole {
			n.sources.Add(reply.Manifest.Version, request)
		}
	}}, nil
}

// fetchConfiguration brings the newer version of a peer into force.
func (n *Node) fetchConfiguration(address string) {
	begun, held := n.now(), n.version()
	progress, err := n.fetch(address)
	if err != nil {
		n.parts.CancelFetch()
	}
	n.mutex.Lock()
	n.versionPull.PullDone(n.now(), err == nil || progress)
	n.mutex.Unlock()
	took := n.now() - begun
	if err != nil {
		if n.ctx.Err() == nil {
			n.counter("configuration.fetches_failed").Inc(1)
			n.log.Write(eventlog.Event{Kind: "configuration", Outcome: "not-fetched", Peer: address, Version: held, Took: took.Milliseconds(), Detail: err.Error()})
		}
		return
	}
	n.recordDuration("configuration_fetch_ms", took)
}

// fetch asks the peer, and others if it is busy or fails, until nothing of a newer
// version is missing. Progress is true if some part of it came.
func (n *Node) fetch(address string) (progress bool, err error) {
	ctx, cancel := context.WithTimeout(n.ctx, fetchTimeout)
	defer cancel()
	for failures := 0; failures <= maxFetchRetries; {
		var reply *partsReply
		if reply, err = n.requestParts(ctx, address); err == nil && reply.Busy {
			address = n.nextSource(reply.Sources, address)
			n.sleep(busyBackoff + rand.N(busyBackoffJitter))
			continue // once the time is over the next call fails
		}
		came, whole := false, false
		if err == nil {
			came, whole, err = n.mergeParts(&reply.Reply, address)
		}
		progress = progress || came
		if whole {
			return true, nil
		}
		if err == nil && came {
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

// askForParts makes one call.
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

// takeParts enters a reply, and the version that it completes. Whole is true if this
// node then has a version as new as the peer's.
func (n *Node) mergeParts(reply *dissemination.Reply, address string) (progress, whole bool, err error) {
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

// nextHolder returns a node to ask after the one at the address: a live one of those
// named, or that tells the version that is being fetched or any newer than this node's,
// of this zone if there is one; if there is none, the same again.
func (n *Node) nextSource(named []string, address string) string {
	least, zone := max(n.version()+1, n.parts.Fetching()), n.settings.Load().Zone
	var told, near, far []string
	n.mutex.Lock()
	for _, member := range n.members.Live(n.now()) {
		switch {
		case member.Address == address:
		case slices.Contains(named, member.Address):
			told = append(told, member.Address)
		case member.Version < least:
		case member.Zone == zone:
			near = append(near, member.Address)
		default:
			far = append(far, member.Address)
		}
	}
	n.mutex.Unlock()
	for _, group := range [][]string{told, near, far} {
		if len(group) > 0 {
			return group[rand.IntN(len(group))]
		}
	}
	return address
}
