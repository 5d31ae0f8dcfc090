package node

import (
	"context"
	"errors"

	"github.com/thornwalk/thornwalk/coordination/membership"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/protocol/receipt"
	"github.com/thornwalk/thornwalk/state/answer"
	"github.com/thornwalk/thornwalk/state/registry"
	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// registryCopies is the owner and the backup of a key.
	registryCopies = 2
	// takeOverPatience is how often a key that keeps changing hands is tried.
	maxTakeOverAttempts = 3
)

// registerRequest enters a keyed request at an owner or backup.
type registerRequest struct {
	Entry registry.Entry `msgpack:"e"`
	// Replaces names a request whose process is gone and that gives way if it
	// was only registered.
	Replaces string `msgpack:"r,omitempty"`
}

// registerReply is the entry in force and whether it is the sender's.
type registerReply struct {
	Entry    registry.Entry `msgpack:"e"`
	IsSender bool           `msgpack:"m"`
}

// updateReply tells whether the key still belongs to the request.
type updateReply struct {
	Current bool `msgpack:"c"`
}

// lookupReply is the entry of a key, if there is one.
type lookupReply struct {
	Entry registry.Entry `msgpack:"e"`
	Found bool           `msgpack:"f"`
}

func (n *Node) serveRegister(_ context.Context, message *registerRequest) (*registerReply, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if message.Replaces != "" && n.registry.TakeOver(n.now(), message.Replaces, message.Entry) {
		return &registerReply{Entry: message.Entry, IsSender: true}, nil
	}
	entry, mine, err := n.registry.Register(n.now(), message.Entry)
	return &registerReply{Entry: entry, IsSender: mine}, err
}

func (n *Node) serveRegistryUpdate(_ context.Context, entry *registry.Entry) (*updateReply, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return &updateReply{Current: n.registry.Update(n.now(), *entry)}, nil
}

func (n *Node) serveRegistryLookup(_ context.Context, key *registry.Key) (*lookupReply, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	entry, found := n.registry.Lookup(*key)
	return &lookupReply{Entry: entry, Found: found}, nil
}

// keepers returns the members that keep the key, the owner first.
func (n *Node) registryNodes(key registry.Key) []membership.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	names := rendezvous.Top(n.table.LiveNames(), rendezvous.Key("registry/"+key.Tenant+"\x00"+key.Key), registryCopies)
	keepers := make([]membership.Member, 0, len(names))
	for _, name := range names {
		if known, found := n.table.Get(name); found {
			keepers = append(keepers, known.Member)
		}
	}
	return keepers
}

// ask calls a member, or serves the call here if the member is this node.
func callOrServe[Request, Reply any](ctx context.Context, n *Node, member membership.Member, kind peerwire.Kind, message *Request, local func(context.Context, *Request) (*Reply, error)) (*Reply, error) {
	if member.Name == n.config.Name {
		return local(ctx, message)
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply := new(Reply)
	err := n.peers.Call(ctx, member.PeerAddress, kind, message, reply)
	return reply, err
}

// identify registers a keyed request. It returns the answer to join if the key
// belongs to an earlier request, or nil if this one may go on.
func (n *Node) registerOrJoin(ctx context.Context, exec *execution) (*answer.Answer, error) {
	entry := registry.Entry{
		Key: registry.Key{Tenant: exec.call.tenant.Name, Key: exec.call.key}, BodyHash: exec.call.bodyHash, RequestID: exec.request.ID,
		Node: n.config.Name, Process: uint64(n.startMilliseconds()), Address: n.CallerAddress(), Progress: registry.Registered,
	}
	replaces := ""
	for range maxTakeOverAttempts {
		holder, nodes, err := n.registerEntry(ctx, entry, replaces)
		if err != nil {
			return nil, err
		}
		if len(nodes) > 0 {
			exec.entry, exec.registryNodes = entry, nodes
			return nil, nil
		}
		joined, replaceable, err := n.joinHolder(ctx, holder, exec)
		if !replaceable {
			return joined, err
		}
		replaces = holder.RequestID
	}
	return nil, errkind.New(errkind.InProgress, "the key changes hands")
}

// register enters the request with the owner and then the backup; the first
// that knows another request decides, and its entry is returned. Otherwise it
// returns the members that keep this one, of which there is at least one.
func (n *Node) registerEntry(ctx context.Context, entry registry.Entry, replaces string) (registry.Entry, []membership.Member, error) {
	var kept []membership.Member
	for _, keeper := range n.registryNodes(entry.Key) {
		reply, err := callOrServe(ctx, n, keeper, peerwire.KindRegister, &registerRequest{Entry: entry, Replaces: replaces}, n.serveRegister)
		switch {
		case err == nil && !reply.IsSender:
			return reply.Entry, nil, nil
		case err == nil:
			kept = append(kept, keeper)
		case !errors.Is(err, errkind.PeerUnavailable):
			return registry.Entry{}, nil, err
		}
	}
	if len(kept) == 0 {
		return registry.Entry{}, nil, errkind.New(errkind.Stopping, "no keeper of the key answers")
	}
	return entry, kept, nil
}

// confirmDispatch tells the members that the request was registered with that
// it is about to be dispatched. Each of them has to confirm that the key is
// still the request's: one that can't be reached may be on the other side of a
// cut, where the key was given to a resubmission.
func (n *Node) confirmDispatch(exec *execution) error {
	for _, keeper := range exec.registryNodes {
		reply, err := callOrServe(exec.ctx, n, keeper, peerwire.KindRegistryUpdate, &exec.entry, n.serveRegistryUpdate)
		if err != nil {
			return errkind.New(errkind.Stopping, "%s, which keeps the key, does not answer", keeper.Name)
		}
		if !reply.Current {
			exec.entry = registry.Entry{} // it is another request's now
			return errkind.New(errkind.Stopping, "the key was taken over by another request")
		}
	}
	return nil
}

// updateRegistry tells the members that keep the key now of the request's
// progress, best effort.
func (n *Node) updateRegistry(ctx context.Context, entry registry.Entry) {
	for _, keeper := range n.registryNodes(entry.Key) {
		_, _ = callOrServe(ctx, n, keeper, peerwire.KindRegistryUpdate, &entry, n.serveRegistryUpdate) // they may be gone
	}
}

// registerAgain tells the keepers of the live executions' keys after a change
// of the members, which may have made others the keepers. The mutex is held.
func (n *Node) reregisterKeys() {
	var entries []registry.Entry
	for _, exec := range n.executions {
		if exec.call.key != "" && exec.call.ticket == "" {
			entries = append(entries, registry.Entry{
				Key: registry.Key{Tenant: exec.call.tenant.Name, Key: exec.call.key}, BodyHash: exec.call.bodyHash, RequestID: exec.request.ID,
				Node: n.config.Name, Process: uint64(n.startMilliseconds()), Address: n.CallerAddress(),
				Progress: registry.Registered, Receipt: exec.answer.Receipt(),
			})
		}
	}
	if len(entries) == 0 {
		return
	}
	n.group.Go(func() {
		for _, entry := range entries {
			if entry.Receipt != "" {
				entry.Progress = registry.Dispatched
			}
			n.updateRegistry(n.ctx, entry)
		}
	})
}

// joinEntry finds the answer of the request that holds the key. It returns gone
// if that request's process is gone and it was not dispatched, so that the key
// may be taken over.
func (n *Node) joinHolder(ctx context.Context, holder registry.Entry, exec *execution) (joined *answer.Answer, replaceable bool, err error) {
	if holder.Node == n.config.Name && holder.Process == uint64(n.startMilliseconds()) {
		if own, found := n.answers.Get(holder.RequestID); found {
			return own, false, nil
		}
	} else if n.isProcessLive(holder.Node, holder.Process) {
		return n.relayAnswer(holder.Address, holder.RequestID, exec.call.tenant.Name, holder.Receipt), false, nil
	} else if holder.Progress == registry.Registered {
		return nil, true, nil
	}
	if holder.Receipt == "" {
		return nil, false, errkind.New(errkind.OutcomeUnknown, "request %s is not kept any more", holder.RequestID)
	}
	resumed, err := n.resumeByReceipt(ctx, holder.Receipt, exec.call.tenant.Name)
	return resumed, false, err
}

// processLives returns whether the process of a node is live as far as this
// node knows. Nodes of other zones are asked directly.
func (n *Node) isProcessLive(name string, process uint64) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	known, found := n.table.Get(name)
	return found && known.Status != membership.Dead && known.Member.Process() == process
}

// adopt reads the answer of a request of another process from its engine.
func (n *Node) resumeByReceipt(ctx context.Context, sealed, tenant string) (*answer.Answer, error) {
	var found receipt.Receipt
	if err := n.sealer.Open(sealed, &found); err != nil {
		return nil, err
	}
	if found.Tenant != tenant {
		return nil, errkind.New(errkind.BadReceipt, "the receipt belongs to another tenant")
	}
	if kept, known := n.answers.Get(found.RequestID); known {
		return kept, nil
	}
	if !found.Engine {
		return nil, errkind.New(errkind.OutcomeUnknown, "request %s went to the plain service at %s: look its effect up there", found.RequestID, found.Replica)
	}
	adopted := answer.New(found.RequestID, tenant)
	adopted.SetReceipt(sealed)
	stream, err := n.adapter.Resume(ctx, found.Address, found.RequestID, 0)
	if err != nil {
		return nil, errkind.New(errkind.OutcomeUnknown, "request %s at %s: %v", found.RequestID, found.Replica, err)
	}
	reader := &eventReader{node: n, request: &structs.Request{ID: found.RequestID}, address: found.Address, answer: adopted}
	n.group.Go(func() {
		outcome, err := reader.read(n.ctx, stream, nil)
		adopted.End(outcome, err)
	})
	return adopted, nil
}
