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
	// registryCopies is the number of nodes that store a key: its owner and a backup.
	registryCopies = 2
	// maxTakeOverAttempts bounds the attempts to take over a key whose holder changes.
	maxTakeOverAttempts = 3
)

// registerRequest registers a keyed request with the owner or the backup of the key.
type registerRequest struct {
	Entry registry.Entry `msgpack:"e"`
	// Replaces is the id of a request whose process has ended; its entry is
	// replaced if the request was not dispatched.
	Replaces string `msgpack:"r,omitempty"`
}

// registerReply is the stored entry and whether it belongs to the sender's request.
type registerReply struct {
	Entry           registry.Entry `msgpack:"e"`
	BelongsToSender bool           `msgpack:"m"`
}

// updateReply reports whether the key still belongs to the request.
type updateReply struct {
	Current bool `msgpack:"c"`
}

// lookupReply is the entry of a key; Found is false if there is none.
type lookupReply struct {
	Entry registry.Entry `msgpack:"e"`
	Found bool           `msgpack:"f"`
}

func (n *Node) serveRegister(_ context.Context, message *registerRequest) (*registerReply, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if message.Replaces != "" && n.registry.TakeOver(n.now(), message.Replaces, message.Entry) {
		return &registerReply{Entry: message.Entry, BelongsToSender: true}, nil
	}
	entry, mine, err := n.registry.Register(n.now(), message.Entry)
	return &registerReply{Entry: entry, BelongsToSender: mine}, err
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

// registryNodes returns the live members that store the key, the owner first.
func (n *Node) registryNodes(key registry.Key) []membership.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	names := rendezvous.Top(n.table.LiveNames(), rendezvous.Hash("registry/"+key.Tenant+"\x00"+key.Key), registryCopies)
	members := make([]membership.Member, 0, len(names))
	for _, name := range names {
		if known, found := n.table.Get(name); found {
			members = append(members, known.Member)
		}
	}
	return members
}

// callOrServe calls a member, or calls local if the member is this node. Calls
// block for at most peerCallTimeout.
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

// registerOrJoin registers a keyed request. It returns the answer of the earlier
// request if the key belongs to one, and nil if this request may proceed.
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
	return nil, errkind.New(errkind.InProgress, "register idempotency key: its holder changed at each attempt")
}

// registerEntry registers the request with the owner and then the backup of the
// key. It returns the entry of another request if one of them has one, and
// otherwise the members that stored this entry, at least one.
func (n *Node) registerEntry(ctx context.Context, entry registry.Entry, replaces string) (registry.Entry, []membership.Member, error) {
	var stored []membership.Member
	for _, member := range n.registryNodes(entry.Key) {
		reply, err := callOrServe(ctx, n, member, peerwire.KindRegister, &registerRequest{Entry: entry, Replaces: replaces}, n.serveRegister)
		switch {
		case err == nil && !reply.BelongsToSender:
			return reply.Entry, nil, nil
		case err == nil:
			stored = append(stored, member)
		case !errors.Is(err, errkind.PeerUnavailable):
			return registry.Entry{}, nil, err
		}
	}
	if len(stored) == 0 {
		return registry.Entry{}, nil, errkind.New(errkind.Stopping, "register idempotency key: neither its owner nor its backup answers")
	}
	return entry, stored, nil
}

// confirmDispatch announces the dispatch to all members that the request was
// registered with. Each must confirm that the key still belongs to the request:
// an unreachable one may be partitioned off and may have accepted a resubmission.
func (n *Node) confirmDispatch(exec *execution) error {
	for _, member := range exec.registryNodes {
		reply, err := callOrServe(exec.ctx, n, member, peerwire.KindRegistryUpdate, &exec.entry, n.serveRegistryUpdate)
		if err != nil {
			return errkind.New(errkind.Stopping, "confirm idempotency key: no answer from %s, which stores it", member.Name)
		}
		if !reply.Current {
			exec.entry = registry.Entry{} // the key belongs to another request now
			return errkind.New(errkind.Stopping, "confirm idempotency key: another request has taken it over")
		}
	}
	return nil
}

// updateRegistry reports the request's progress to the members that currently
// store the key. Errors are ignored.
func (n *Node) updateRegistry(ctx context.Context, entry registry.Entry) {
	for _, member := range n.registryNodes(entry.Key) {
		_, _ = callOrServe(ctx, n, member, peerwire.KindRegistryUpdate, &entry, n.serveRegistryUpdate) // unreachable members are skipped
	}
}

// reregisterKeys reports the keys of all executions to the members that store
// them after a change of membership. The caller holds the mutex.
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

// joinHolder returns the answer of the request that holds the key. replaceable
// is true, without an answer, if the holder's process has ended before it
// dispatched the request, so that the key may be taken over.
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
		return nil, false, errkind.New(errkind.OutcomeUnknown, "answer of request %s is no longer stored", holder.RequestID)
	}
	resumed, err := n.resumeByReceipt(ctx, holder.Receipt, exec.call.tenant.Name)
	return resumed, false, err
}

// isProcessLive reports whether the node is a member of the zone that is not dead
// and still runs the process.
func (n *Node) isProcessLive(name string, process uint64) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	known, found := n.table.Get(name)
	return found && known.Status != membership.Dead && known.Member.Process() == process
}

// resumeByReceipt returns the answer of a request of another process, read from
// the engine that the sealed receipt names. It does not wait for its end.
func (n *Node) resumeByReceipt(ctx context.Context, sealed, tenant string) (*answer.Answer, error) {
	var opened receipt.Receipt
	if err := n.sealer.Open(sealed, &opened); err != nil {
		return nil, err
	}
	if opened.Tenant != tenant {
		return nil, errkind.New(errkind.BadReceipt, "receipt belongs to another tenant")
	}
	if stored, known := n.answers.Get(opened.RequestID); known {
		return stored, nil
	}
	if !opened.Engine {
		return nil, errkind.New(errkind.OutcomeUnknown, "resume request %s: sent to the plain service at replica %s; look up its effect there", opened.RequestID, opened.Replica)
	}
	resumed := answer.New(opened.RequestID, tenant)
	resumed.SetReceipt(sealed)
	stream, err := n.adapter.Resume(ctx, opened.Address, opened.RequestID, 0)
	if err != nil {
		return nil, errkind.New(errkind.OutcomeUnknown, "resume request %s at replica %s: %v", opened.RequestID, opened.Replica, err)
	}
	reader := &eventReader{node: n, request: &structs.Request{ID: opened.RequestID}, address: opened.Address, answer: resumed}
	n.group.Go(func() {
		outcome, err := reader.read(n.working, stream, nil)
		resumed.End(outcome, n.endOfWork(outcome, err))
	})
	return resumed, nil
}
