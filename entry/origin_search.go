package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/coordination/streams"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/streamorigins"
)

// The search for the origin of a stream that a caller resumes, at this node, at the keepers and in the store.

const (
	// originLookupTimeout bounds one round of questions to the keepers, and originLookupRounds the rounds, which are
	// originLookupPause apart: the first event may have arrived so recently that the reports are still on their way.
	originLookupTimeout = 250 * time.Millisecond
	originLookupRounds  = 2
	originLookupPause   = 50 * time.Millisecond
)

// originSearch is what the origin of a stream is looked for by: its key, or the content of its request.
type originSearch struct {
	key       streamorigins.Key
	isContent bool
}

// join returns what the findings of two nodes tell together. They are about one stream only if its key was looked for.
func (s *originSearch) join(found, other streamorigins.Finding) streamorigins.Finding {
	if s.isContent {
		return found.Either(other)
	}
	return found.Join(other)
}

// isSufficient reports whether no other node need be asked. A certain origin does not change, but other nodes may know of
// another stream with the same content.
func (s *originSearch) isSufficient(found streamorigins.Finding) bool {
	return found.Knowledge == streamorigins.Ambiguous || found.IsCertain() && !s.isContent
}

// findResumed looks for the origin of the stream that the caller resumes: by the request that began it, if the caller names
// that, else by what was requested, which is the same for all tries.
func (c *call) findResumed(first string) streamorigins.Finding {
	if first == "" {
		c.originKey = streamorigins.KeyOf(c.tenantName(), c.id) // by which the caller may name it from now on
		return c.findOrigin(originSearch{key: c.fingerprint, isContent: true})
	}
	c.originKey = streamorigins.KeyOf(c.tenantName(), first)
	return c.findOrigin(originSearch{key: c.originKey})
}

// known returns what this node itself knows of what is looked for.
func (n *Node) known(search originSearch) streamorigins.Finding {
	if search.isContent {
		return n.knownByContent(search.key)
	}
	origin, knowledge := n.knownOrigin(search.key)
	return streamorigins.Finding{Origin: origin, Knowledge: knowledge}
}

// findOrigin looks for the stream's origin at this node and at its keepers, and if none knows of the stream, in the store.
func (c *call) findOrigin(search originSearch) streamorigins.Finding {
	var found streamorigins.Finding
	for round := range originLookupRounds {
		if round > 0 {
			select {
			case <-c.ctx.Done():
				return found
			case <-time.After(originLookupPause):
			}
		}
		if found = search.join(found, c.node.known(search)); search.isSufficient(found) {
			break
		}
		if found = search.join(found, c.node.askKeepers(c.ctx, &search)); found.IsCertain() || search.isSufficient(found) {
			break
		}
	}
	if found.Knowledge == streamorigins.Unknown && !search.isContent {
		return c.findArchivedOrigin(search.key)
	}
	return found
}

// askKeepers asks all keepers of the stream at once and returns what they know, up to the first answer that is sufficient.
func (n *Node) askKeepers(ctx context.Context, search *originSearch) streamorigins.Finding {
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	var asked sync.WaitGroup
	answers := make(chan streamorigins.Finding)
	for _, keeper := range n.keepersOf(*search) {
		asked.Go(func() {
			question, answer := &streamOriginQuestion{Key: search.key, IsContent: search.isContent}, &streamOriginAnswer{}
			if err := n.peers.Call(ctx, keeper.Address, peerwire.KindStreamOrigin, question, answer); err != nil {
				n.counter("streams.questions_failed").Inc(1)
				return
			}
			if answer.Knowledge == streamorigins.Unknown {
				return
			}
			if answer.WasUnattended {
				n.mutex.Lock()
				n.identities.churn.ObserveReported(n.attendedSince, answer.Origin.Service)
				n.mutex.Unlock()
			}
			select {
			case answers <- streamorigins.Finding{Origin: answer.Origin, Knowledge: answer.Knowledge}:
			case <-ctx.Done():
			}
		})
	}
	go func() {
		asked.Wait()
		close(answers)
	}()
	var found streamorigins.Finding
	for answer := range answers {
		if found = search.join(found, answer); search.isSufficient(found) {
			break
		}
	}
	return found
}

// streamKeepers returns the other nodes that keep the origin of the stream with the key.
func (n *Node) streamKeepers(key streamorigins.Key) []streams.Node {
	return n.keepersOf(originSearch{key: key})
}

// keepersOf returns the other nodes that keep what is looked for.
func (n *Node) keepersOf(search originSearch) []streams.Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var nodes []streams.Node
	// Every node of a large fleet knows the same delegates, and only some of the other nodes.
	for _, member := range liveness.Delegates(n.members.Live(n.now())) {
		if member.KeepsStreamOrigins {
			nodes = append(nodes, streams.Node{Name: member.Name, Zone: member.Zone, Address: member.Address})
		}
	}
	perArea := streams.KeepersByKey
	if search.isContent {
		perArea = streams.KeepersByContent
	}
	return streams.Keepers(nodes, n.settings.Load().Zone, search.key, perArea)
}

// knownOrigin returns what this node itself knows of the stream's origin.
func (n *Node) knownOrigin(key streamorigins.Key) (streamorigins.Origin, streamorigins.Knowledge) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.streamOrigins.Get(n.now(), key)
}

// knownByContent returns what this node itself knows of the origin of a stream with the content.
func (n *Node) knownByContent(content streamorigins.Key) streamorigins.Finding {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.streamOrigins.GetByContent(n.now(), content)
}

// originReceivers returns the addresses of the other nodes that get the record: the stream's keepers, and the scheduling node if
// it writes the record to the store.
func (n *Node) originReceivers(record streamorigins.Record) []string {
	var addresses []string
	for _, keeper := range n.streamKeepers(record.Key) {
		addresses = append(addresses, keeper.Address)
	}
	if !record.Content.IsZero() {
		for _, keeper := range n.keepersOf(originSearch{key: record.Content, isContent: true}) {
			if !slices.Contains(addresses, keeper.Address) {
				addresses = append(addresses, keeper.Address)
			}
		}
	}
	n.mutex.Lock()
	isArchived := n.dependencies.StreamOrigins != nil && record.Origin.Version != "" && n.hasSeveralVersionsLocked(record.Origin.Service)
	n.mutex.Unlock()
	if _, scheduler := n.currentScheduler(); isArchived && scheduler != "" && !slices.Contains(addresses, scheduler) {
		addresses = append(addresses, scheduler)
	}
	return addresses
}
