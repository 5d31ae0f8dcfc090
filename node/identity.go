package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/thornwalk/thornwalk/coordination/claims"
	"github.com/thornwalk/thornwalk/coordination/membership"
	"github.com/thornwalk/thornwalk/faultpoint"
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
	// claimTimeout bounds the wait for the store before a dispatch.
	claimTimeout = 2 * time.Second
	// writerTimeout is the part of it that the zone's writer is given.
	writerTimeout = claimTimeout / 2
	// releaseTimeout bounds the return of a claim.
	releaseTimeout = 10 * time.Second
	// takeOverPatience is how often a key that keeps changing hands is tried.
	takeOverPatience = 3
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
	Entry registry.Entry `msgpack:"e"`
	Mine  bool           `msgpack:"m"`
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
		return &registerReply{Entry: message.Entry, Mine: true}, nil
	}
	entry, mine, err := n.registry.Register(n.now(), message.Entry)
	return &registerReply{Entry: entry, Mine: mine}, err
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
func (n *Node) keepers(key registry.Key) []membership.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	names := rendezvous.Choose(n.table.LiveNames(), rendezvous.Key("registry/"+key.Tenant+"\x00"+key.Key), registryCopies)
	keepers := make([]membership.Member, 0, len(names))
	for _, name := range names {
		if known, found := n.table.Get(name); found {
			keepers = append(keepers, known.Member)
		}
	}
	return keepers
}

// ask calls a member, or serves the call here if the member is this node.
func ask[Request, Reply any](ctx context.Context, n *Node, member membership.Member, kind peerwire.Kind, message *Request, local func(context.Context, *Request) (*Reply, error)) (*Reply, error) {
	if member.Name == n.config.Name {
		return local(ctx, message)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := new(Reply)
	err := n.peers.Call(ctx, member.PeerAddress, kind, message, reply)
	return reply, err
}

// identify registers a keyed request. It returns the answer to join if the key
// belongs to an earlier request, or nil if this one may go on.
func (n *Node) identify(ctx context.Context, x *execution) (*answer.Answer, error) {
	entry := registry.Entry{
		Key: registry.Key{Tenant: x.call.tenant.Name, Key: x.call.key}, BodyHash: x.call.bodyHash, RequestID: x.request.ID,
		Node: n.config.Name, Process: uint64(n.startMilliseconds()), Address: n.CallerAddress(), State: registry.Registered,
	}
	replaces := ""
	for range takeOverPatience {
		holder, mine, err := n.register(ctx, entry, replaces)
		if err != nil {
			return nil, err
		}
		if mine {
			x.entry = entry
			return nil, nil
		}
		joined, gone, err := n.joinEntry(ctx, holder, x)
		if !gone {
			return joined, err
		}
		replaces = holder.RequestID
	}
	return nil, errkind.New(errkind.InProgress, "the key changes hands")
}

// register enters the request with the owner and then the backup; the first
// that knows another request decides. At least one of them has to answer.
func (n *Node) register(ctx context.Context, entry registry.Entry, replaces string) (registry.Entry, bool, error) {
	kept := 0
	for _, keeper := range n.keepers(entry.Key) {
		reply, err := ask(ctx, n, keeper, peerwire.KindRegister, &registerRequest{Entry: entry, Replaces: replaces}, n.serveRegister)
		switch {
		case err == nil && !reply.Mine:
			return reply.Entry, false, nil
		case err == nil:
			kept++
		case !errors.Is(err, errkind.PeerUnavailable):
			return registry.Entry{}, false, err
		}
	}
	if kept == 0 {
		return registry.Entry{}, false, errkind.New(errkind.Stopping, "no keeper of the key answers")
	}
	return entry, true, nil
}

// updateRegistry tells the keepers of the request's progress. It returns false
// if one of them has given the key to another request.
func (n *Node) updateRegistry(ctx context.Context, entry registry.Entry) bool {
	current := true
	for _, keeper := range n.keepers(entry.Key) {
		reply, err := ask(ctx, n, keeper, peerwire.KindRegistryUpdate, &entry, n.serveRegistryUpdate)
		current = current && (err != nil || reply.Current)
	}
	return current
}

// registerAgain tells the keepers of the live executions' keys after a change
// of the members, which may have made others the keepers. The mutex is held.
func (n *Node) registerAgain() {
	var entries []registry.Entry
	for _, x := range n.executions {
		if x.call.key != "" && x.call.ticket == "" {
			entries = append(entries, registry.Entry{
				Key: registry.Key{Tenant: x.call.tenant.Name, Key: x.call.key}, BodyHash: x.call.bodyHash, RequestID: x.request.ID,
				Node: n.config.Name, Process: uint64(n.startMilliseconds()), Address: n.CallerAddress(),
				State: registry.Registered, Receipt: x.answer.Receipt(),
			})
		}
	}
	if len(entries) == 0 {
		return
	}
	n.group.Go(func() {
		for _, entry := range entries {
			if entry.Receipt != "" {
				entry.State = registry.Dispatched
			}
			n.updateRegistry(n.ctx, entry)
		}
	})
}

// joinEntry finds the answer of the request that holds the key. It returns gone
// if that request's process is gone and it was not dispatched, so that the key
// may be taken over.
func (n *Node) joinEntry(ctx context.Context, holder registry.Entry, x *execution) (joined *answer.Answer, gone bool, err error) {
	if holder.Node == n.config.Name && holder.Process == uint64(n.startMilliseconds()) {
		if own, found := n.answers.Get(holder.RequestID); found {
			return own, false, nil
		}
	} else if n.processLives(holder.Node, holder.Process) {
		return n.relay(holder.Address, holder.RequestID, x.call.tenant.Name, holder.Receipt), false, nil
	} else if holder.State == registry.Registered {
		return nil, true, nil
	}
	if holder.Receipt == "" {
		return nil, false, errkind.New(errkind.OutcomeUnknown, "request %s is not kept any more", holder.RequestID)
	}
	adopted, err := n.adopt(ctx, holder.Receipt, x.call.tenant.Name)
	return adopted, false, err
}

// processLives returns whether the process of a node is live as far as this
// node knows. Nodes of other zones are asked directly.
func (n *Node) processLives(name string, process uint64) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	known, found := n.table.Get(name)
	return found && known.Status != membership.Dead && known.Member.Process() == process
}

// claim takes the right to dispatch from the platform's store.
func (n *Node) claim(x *execution, replica structs.Replica) error {
	if err := faultpoint.Reach(x.ctx, n.depend.Faults, faultpoint.Claim, x.request.ID); err != nil {
		return errkind.New(errkind.Stopping, "%v", err)
	}
	ctx, cancel := context.WithTimeout(x.ctx, claimTimeout)
	defer cancel()
	x.claimed = true // it may exist from here on, whatever is answered
	begun := time.Now()
	result, err := n.commitClaim(ctx, &claimRequest{
		Tenant: x.call.tenant.Name, Key: x.call.key,
		Claim: claims.Claim{BodyHash: x.call.bodyHash, RequestID: x.request.ID, Address: replica.Address, Engine: x.call.service == nil},
	})
	n.observe("claim", time.Since(begun))
	if err != nil {
		return err
	}
	if result.Granted {
		return nil
	}
	x.claimed = false
	return &heldClaimError{holder: result.Holder, err: errkind.New(errkind.OutcomeUnknown, "request %s holds the claim of this key", result.Holder.RequestID)}
}

// claimRequest asks the zone's writer of a page of claims for a claim, or for
// its release.
type claimRequest struct {
	Tenant  string       `msgpack:"t"`
	Key     string       `msgpack:"k"`
	Claim   claims.Claim `msgpack:"c"`
	Release bool         `msgpack:"r,omitempty"`
}

// claimReply is the answer of a writer.
type claimReply struct {
	Granted bool         `msgpack:"g"`
	Holder  claims.Claim `msgpack:"h"`
}

// commitClaim has the zone's writer of the page commit the claim together with
// those of other nodes. Who writes does not matter for correctness, and a claim
// may be asked for twice under one request id: if the writer does not answer,
// this node writes itself.
func (n *Node) commitClaim(ctx context.Context, message *claimRequest) (claims.Result, error) {
	page := claims.PageOf(message.Tenant, message.Key, n.settings.Compiled().Node.ClaimShards)
	n.mutex.Lock()
	name := rendezvous.Choose(n.table.LiveNames(), rendezvous.Key(page.Key()), 1)[0]
	writer, known := n.table.Get(name)
	n.mutex.Unlock()
	if known && name != n.config.Name {
		var reply claimReply
		writerContext, cancel := context.WithTimeout(ctx, writerTimeout)
		defer cancel()
		err := n.peers.Call(writerContext, writer.Member.PeerAddress, peerwire.KindClaim, message, &reply)
		if !errors.Is(err, errkind.PeerUnavailable) {
			return claims.Result{Granted: reply.Granted, Holder: reply.Holder}, err
		}
	}
	return n.commitHere(ctx, message)
}

func (n *Node) commitHere(ctx context.Context, message *claimRequest) (claims.Result, error) {
	if message.Release {
		return claims.Result{}, n.claims.Release(ctx, message.Tenant, message.Key, message.Claim.RequestID)
	}
	return n.claims.Claim(ctx, message.Tenant, message.Key, message.Claim)
}

func (n *Node) serveClaim(ctx context.Context, message *claimRequest) (*claimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	result, err := n.commitHere(ctx, message)
	return &claimReply{Granted: result.Granted, Holder: result.Holder}, err
}

// heldClaimError says that an earlier request holds the claim.
type heldClaimError struct {
	holder claims.Claim
	err    error
}

func (e *heldClaimError) Error() string { return e.err.Error() }
func (e *heldClaimError) Unwrap() error { return e.err }

// followHolder reads the answer of the request that holds the claim from where
// the claim says that it went.
func (n *Node) followHolder(x *execution, held *heldClaimError) (structs.Outcome, error) {
	holder := held.holder
	if !holder.Engine {
		return structs.OutcomeUnknown, held.err
	}
	stream, err := n.adapter.Resume(x.ctx, holder.Address, holder.RequestID, 0)
	if err != nil {
		return structs.OutcomeUnknown, held.err
	}
	x.answer.SetSource(holder.RequestID)
	reader := &eventReader{node: n, request: &structs.Request{ID: holder.RequestID}, address: holder.Address, answer: x.answer}
	return reader.read(x.ctx, stream, nil)
}

// releaseClaim gives back the claim of a request that certainly did not run,
// without keeping its caller waiting.
func (n *Node) releaseClaim(x *execution) {
	n.group.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, releaseTimeout)
		defer cancel()
		_, err := n.commitClaim(ctx, &claimRequest{Tenant: x.call.tenant.Name, Key: x.call.key, Claim: claims.Claim{RequestID: x.request.ID}, Release: true})
		if err != nil {
			klog.V(1).InfoS("claim not released", "node", n.config.Name, "request", x.request.ID, "error", err.Error())
		}
	})
}

// adopt reads the answer of a request of another process from its engine.
func (n *Node) adopt(ctx context.Context, sealed, tenant string) (*answer.Answer, error) {
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

// ticketBook is the tickets that this process handed out. It is safe for
// concurrent use.
type ticketBook struct {
	mutex sync.Mutex
	limit int
	// used maps a ticket to the request that it dispatches, or "".
	used  map[string]ticketUse
	order []string
}

type ticketUse struct {
	requestID string
	bodyHash  uint64
}

func newTicketBook(limit int) *ticketBook {
	return &ticketBook{limit: limit, used: map[string]ticketUse{}}
}

// issue enters a ticket; the oldest is forgotten when there are too many, and
// is then refused.
func (b *ticketBook) issue(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.order) >= b.limit {
		delete(b.used, b.order[0])
		b.order = b.order[1:]
	}
	b.used[id] = ticketUse{}
	b.order = append(b.order, id)
}

// use spends the ticket on the request. It returns the request that has it.
func (b *ticketBook) use(id, requestID string, bodyHash uint64) (string, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	use, known := b.used[id]
	switch {
	case !known:
		return "", errkind.New(errkind.BadTicket, "the ticket is not known any more")
	case use.requestID == "":
		b.used[id] = ticketUse{requestID: requestID, bodyHash: bodyHash}
		return requestID, nil
	case use.bodyHash != bodyHash:
		return "", errkind.New(errkind.KeyReused, "the ticket was used for a request with another body")
	}
	return use.requestID, nil
}

// free makes the ticket of a request that did not run usable again.
func (b *ticketBook) free(sealed, requestID string) {
	if sealed == "" {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, use := range b.used {
		if use.requestID == requestID {
			b.used[id] = ticketUse{}
			return
		}
	}
}

// issueTicket makes a ticket that this process alone may dispatch.
func (n *Node) issueTicket(tenant string) (string, error) {
	ticket := receipt.Ticket{ID: n.newRequestID(), Tenant: tenant, Zone: n.config.Zone, Node: n.config.Name, Incarnation: uint64(n.startMilliseconds()), Address: n.CallerAddress()}
	n.tickets.issue(ticket.ID)
	return n.sealer.Seal(&ticket)
}

// useTicket spends a ticket of this process on the execution, or returns the
// answer of the request that it was spent on. Tickets of other processes are
// forwarded before this is reached.
func (n *Node) useTicket(c *call, x *execution) (*answer.Answer, error) {
	ticket, err := n.openTicket(c.ticket, c.tenant.Name)
	if err != nil {
		return nil, err
	}
	holder, err := n.tickets.use(ticket.ID, x.request.ID, c.bodyHash)
	if err != nil || holder == x.request.ID {
		return nil, err
	}
	if earlier, found := n.answers.Get(holder); found {
		return earlier, nil
	}
	return nil, errkind.New(errkind.OutcomeUnknown, "request %s of the ticket is not kept any more", holder)
}

func (n *Node) openTicket(sealed, tenant string) (receipt.Ticket, error) {
	var ticket receipt.Ticket
	if err := n.sealer.Open(sealed, &ticket); err != nil {
		return ticket, errkind.New(errkind.BadTicket, "%v", err)
	}
	if ticket.Tenant != tenant {
		return ticket, errkind.New(errkind.BadTicket, "the ticket belongs to another tenant")
	}
	return ticket, nil
}

// ownsTicket returns whether this process may dispatch the ticket.
func (n *Node) ownsTicket(ticket *receipt.Ticket) bool {
	return ticket.Node == n.config.Name && ticket.Incarnation == uint64(n.startMilliseconds())
}
