package entry

import (
	"context"
	"errors"
	"time"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/streamorigins"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/peer"
)

// grant is the scheduling node's decision on a request: a replica's slot, or the reason why there
// is none.
type grant struct {
	*assignReply
	// id identifies the assignment at the scheduling node with this name and address. The address
	// is empty if that is this node.
	id        string
	scheduler string
	address   string
	// origin is that of the stream that the request goes on with, if its caller has events.
	origin streamorigins.Origin
	// schedulerCalls is the number of calls to scheduling services until there was a decision.
	schedulerCalls int
}

// maxSchedulerAttempts bounds the nodes that are asked for one assignment; the last one is this
// node itself.
const maxSchedulerAttempts = 3

// requestAssignment asks the scheduling node for a slot at a replica and blocks until there is a
// decision. If the connection breaks, it asks once more on a new one; if the node can't be reached,
// it asks the next one, and finally this node's own scheduling service.
func (n *Node) requestAssignment(ctx context.Context, request *assignRequest) *grant {
	original := request.Request
	start := n.now()
	reconnected := false
	for attempt, attemptsLeft := 0, maxSchedulerAttempts; attemptsLeft > 0; attempt, attemptsLeft = attempt+1, attemptsLeft-1 {
		request.Request = original.WithElapsed(n.now() - start)
		request.Request.ID = original.ID + "." + string(rune('a'+attempt))
		request.First = request.First && attempt == 0 // a node that was asked before may have counted the request
		scheduler, address := n.currentScheduler()
		if address == "" || attemptsLeft == 1 {
			granted := n.assignLocally(ctx, request)
			granted.schedulerCalls = attempt + 1
			return granted
		}
		reply := &assignReply{}
		err := n.callScheduler(ctx, scheduler, address, request, reply)
		if err == nil && reply.Reason != reasonUnreachable {
			return n.recordGrant(&grant{assignReply: reply, id: request.Request.ID, scheduler: scheduler, address: address, schedulerCalls: attempt + 1})
		}
		n.sendFinish(unackedFinish{address: address, message: &finishRequest{ID: request.Request.ID, NotRun: true, Unsent: true}, since: n.now()})
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, peer.ErrLinkBroken) && !reconnected {
			reconnected = true
			attemptsLeft++
			continue
		}
		n.counter("scheduler.unreachable").Inc(1)
		n.suspectNode(scheduler)
		n.selectScheduler()
	}
	return &grant{assignReply: &assignReply{Reason: reasonUnreachable}}
}

// assignLocally has this node's own scheduling service decide.
func (n *Node) assignLocally(ctx context.Context, request *assignRequest) *grant {
	reply := n.scheduling.assign(ctx, request)
	return n.recordGrant(&grant{assignReply: reply, id: request.Request.ID, scheduler: n.settings.Load().Name})
}

// recordGrant adds a granted assignment to those of this node and merges the replica's rate limit.
// It returns the grant.
func (n *Node) recordGrant(granted *grant) *grant {
	if granted.Reason != "" {
		return granted
	}
	n.mutex.Lock()
	n.assignments[granted.id] = assignment{replica: granted.Replica.ID, scheduler: granted.scheduler, term: granted.Term}
	if granted.DoubtAge > 0 {
		n.identities.Doubt(n.now()-granted.DoubtAge, incarnations.Of(granted.Replica))
	}
	n.observeRefusal(granted.RefusalAge, incarnations.Of(granted.Replica))
	if granted.Limit != nil {
		n.pushback.MergeLimit(n.now(), *granted.Limit)
	}
	n.mutex.Unlock()
	return granted
}

// currentScheduler returns the scheduling node's name and address; the address is empty if it is
// this node.
func (n *Node) currentScheduler() (name, address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.scheduler == "" || n.scheduler == n.settings.Load().Name {
		return n.settings.Load().Name, ""
	}
	member, found := n.members.Get(n.scheduler)
	if !found {
		return n.settings.Load().Name, ""
	}
	return n.scheduler, member.Address
}

// silenceCheckInterval is the time between checks that heartbeats of the scheduling node still
// arrive.
const silenceCheckInterval = 100 * time.Millisecond

// callScheduler asks the scheduling node and waits for as long as its heartbeats arrive.
func (n *Node) callScheduler(ctx context.Context, scheduler, address string, request *assignRequest, reply *assignReply) error {
	callContext, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.cancelOnSilence(callContext, cancel, scheduler)
	return n.peers.Call(callContext, address, peerwire.KindAssign, request, reply)
}

// cancelOnSilence cancels the call when no heartbeat of the scheduling node arrived within its
// failure timeout.
func (n *Node) cancelOnSilence(ctx context.Context, cancel context.CancelFunc, scheduler string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(silenceCheckInterval):
		}
		n.mutex.Lock()
		member, found := n.members.Get(scheduler)
		silent := !found || member.SinceHeartbeat(n.now()) > member.FailureTimeout()
		n.mutex.Unlock()
		if silent {
			cancel()
			return
		}
	}
}

// unackedFinish is a message about an ended request that its scheduling node has not acknowledged.
type unackedFinish struct {
	address string
	// message has the age of its doubt as of since.
	message *finishRequest
	since   structs.Instant
}

// Bounds of messages about ended requests.
const (
	reportTimeout      = 400 * time.Millisecond
	finishRetryWindow  = 8 * time.Second
	maxUnackedFinishes = 2000
)

// report sends the message to the peer and waits for its reply, for reportTimeout at most. The error is of kind
// PeerUnavailable, or the peer's.
func (n *Node) report(address string, kind peerwire.Kind, message, reply any) error {
	ctx, cancel := context.WithTimeout(n.ctx, reportTimeout)
	defer cancel()
	return n.peers.Call(ctx, address, kind, message, reply)
}

// reportFinish ends a granted assignment, here and at its scheduling node.
func (n *Node) reportFinish(granted *grant, message *finishRequest) {
	n.mutex.Lock()
	delete(n.assignments, granted.id)
	if message.Observation.Whole {
		n.dismissAnswered(message.Fingerprint)
	}
	n.mutex.Unlock()
	message.ID = granted.id
	if granted.address == "" {
		n.scheduling.finish(message)
		return
	}
	n.sendFinish(unackedFinish{address: granted.address, message: message, since: n.now()})
}

// sendFinish sends the message in the background. If that fails, the message is kept for
// resendFinishes, up to finishRetryWindow after the request's end.
func (n *Node) sendFinish(item unackedFinish) {
	go func() {
		if err := n.report(item.address, peerwire.KindFinish, item.messageAt(n.now()), &finishReply{}); err == nil {
			return
		}
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if n.now()-item.since < finishRetryWindow && len(n.unackedFinishes) < maxUnackedFinishes {
			n.unackedFinishes = append(n.unackedFinishes, item)
		}
	}()
}

// resendFinishes sends the unacknowledged messages again.
func (n *Node) resendFinishes() {
	n.mutex.Lock()
	items := n.unackedFinishes
	n.unackedFinishes = nil
	n.mutex.Unlock()
	for _, item := range items {
		n.sendFinish(item)
	}
}

// messageAt returns the message with the age of its doubt as of now.
func (u unackedFinish) messageAt(now structs.Instant) *finishRequest {
	if u.message.Doubted == nil {
		return u.message
	}
	message, doubted := *u.message, *u.message.Doubted
	doubted.Age += now - u.since
	if doubted.RefusalAge > 0 {
		doubted.RefusalAge += now - u.since
	}
	message.Doubted = &doubted
	return &message
}

// reportFirstEvent reports the start of a response to the scheduling node, in the background. It is
// not sent again if it is lost.
func (n *Node) reportFirstEvent(granted *grant, message *firstEventRequest) {
	message.ID = granted.id
	if granted.address == "" {
		n.scheduling.recordFirstEvent(message)
		return
	}
	go func() { _ = n.report(granted.address, peerwire.KindFirstEvent, message, &firstEventReply{}) }()
}
