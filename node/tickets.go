package node

import (
	"sync"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/receipt"
	"github.com/thornwalk/thornwalk/state/answer"
)

// ticketStore holds the tickets that this process issued. It is safe for
// concurrent use.
type ticketStore struct {
	mutex sync.Mutex
	limit int
	// uses maps the id of a ticket to its use.
	uses       map[string]ticketUse
	issueOrder []string
}

// ticketUse is the request that a ticket was spent on; requestID is empty if the
// ticket is unused.
type ticketUse struct {
	requestID string
	bodyHash  uint64
}

func newTicketStore(limit int) *ticketStore {
	return &ticketStore{limit: limit, uses: map[string]ticketUse{}}
}

// issue adds a ticket. At the limit it removes the oldest one, which is then
// rejected as unknown.
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

// spend assigns the ticket to the request if it is unused. It returns the id of
// the request that the ticket is assigned to.
func (b *ticketStore) spend(id, requestID string, bodyHash uint64) (string, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	use, known := b.uses[id]
	switch {
	case !known:
		return "", errkind.New(errkind.BadTicket, "ticket is no longer known")
	case use.requestID == "":
		b.uses[id] = ticketUse{requestID: requestID, bodyHash: bodyHash}
		return requestID, nil
	case use.bodyHash != bodyHash:
		return "", errkind.New(errkind.KeyReused, "ticket was used for a request with another body")
	}
	return use.requestID, nil
}

// release makes the ticket of a request that did not run usable again.
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

// issueTicket returns a sealed ticket that only this process may dispatch.
func (n *Node) issueTicket(tenant string) (string, error) {
	ticket := receipt.Ticket{ID: n.newRequestID(), Tenant: tenant, Zone: n.config.Zone, Node: n.config.Name, Incarnation: uint64(n.startMilliseconds()), Address: n.CallerAddress()}
	n.tickets.issue(ticket.ID)
	return n.sealer.Seal(&ticket)
}

// useTicket spends a ticket of this process on the execution. It returns the
// answer of the earlier request if the ticket was spent before. Calls with tickets
// of other processes have been forwarded already.
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
	return nil, errkind.New(errkind.OutcomeUnknown, "answer of request %s, on which the ticket was spent, is no longer stored", holder)
}

func (n *Node) openTicket(sealed, tenant string) (receipt.Ticket, error) {
	var ticket receipt.Ticket
	if err := n.sealer.Open(sealed, &ticket); err != nil {
		return ticket, errkind.New(errkind.BadTicket, "%v", err)
	}
	if ticket.Tenant != tenant {
		return ticket, errkind.New(errkind.BadTicket, "ticket belongs to another tenant")
	}
	return ticket, nil
}

// ownsTicket reports whether this process issued the ticket.
func (n *Node) ownsTicket(ticket *receipt.Ticket) bool {
	return ticket.Node == n.config.Name && ticket.Incarnation == uint64(n.startMilliseconds())
}
