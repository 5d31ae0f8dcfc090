package node

import (
	"sync"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/receipt"
	"github.com/thornwalk/thornwalk/state/answer"
)

// ticketBook is the tickets that this process handed out. It is safe for
// concurrent use.
type ticketStore struct {
	mutex sync.Mutex
	limit int
	// used maps a ticket to the request that it dispatches, or "".
	uses       map[string]ticketUse
	issueOrder []string
}

type ticketUse struct {
	requestID string
	bodyHash  uint64
}

func newTicketStore(limit int) *ticketStore {
	return &ticketStore{limit: limit, uses: map[string]ticketUse{}}
}

// issue enters a ticket; the oldest is forgotten when there are too many, and
// is then refused.
func (b *ticketStore) issue(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.issueOrder) >= b.limit {
		delete(b.uses, b.issueOrder[0])
		b.issueOrder = b.issueOrder[1:]
	}
	b.uses[id] = ticketUse{}
	b.issueOrder = append(b.issueOrder, id)
}

// use spends the ticket on the request. It returns the request that has it.
func (b *ticketStore) spend(id, requestID string, bodyHash uint64) (string, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	use, known := b.uses[id]
	switch {
	case !known:
		return "", errkind.New(errkind.BadTicket, "the ticket is not known any more")
	case use.requestID == "":
		b.uses[id] = ticketUse{requestID: requestID, bodyHash: bodyHash}
		return requestID, nil
	case use.bodyHash != bodyHash:
		return "", errkind.New(errkind.KeyReused, "the ticket was used for a request with another body")
	}
	return use.requestID, nil
}

// free makes the ticket of a request that did not run usable again.
func (b *ticketStore) release(sealed, requestID string) {
	if sealed == "" {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, use := range b.uses {
		if use.requestID == requestID {
			b.uses[id] = ticketUse{}
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
func (n *Node) useTicket(c *call, exec *execution) (*answer.Answer, error) {
	ticket, err := n.openTicket(c.ticket, c.tenant.Name)
	if err != nil {
		return nil, err
	}
	holder, err := n.tickets.spend(ticket.ID, exec.request.ID, c.bodyHash)
	if err != nil || holder == exec.request.ID {
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
