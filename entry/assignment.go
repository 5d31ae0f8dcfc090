package entry

import (
	"context"
	"errors"
	"time"

	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/peer"
)

// grant is a place at a replica, or the reason why there is none.
type grant struct {
	*assignReply
	// id names the place at the scheduling node, which is named by scheduler and address.
	id        string
	scheduler string
	address   string
	// asked is how often nodes were asked until there was this decision.
	asked int
}

// maximumSchedulers bounds how many nodes are asked for one place.
const maxSchedulerAttempts = 3

// requestAssignment asks the scheduling node for a place. If the connection to it broke, it is asked
// once more by a new one; if it can't be reached, the next node is asked, and in the end
// this node decides by itself.
func (n *Node) requestAssignment(ctx context.Context, request *assignRequest) *grant {
	asked := request.Request
	begun := n.now()
	askedAgain := false
	for try, left := 0, maxSchedulerAttempts; left > 0; try, left = try+1, left-1 {
		request.Request = asked.WithElapsed(n.now() - begun)
		request.Request.ID = asked.ID + "." + string(rune('a'+try))
		request.First = request.First && try == 0 // one that was asked before may have counted it
		scheduler, address := n.currentScheduler()
		if address == "" || left == 1 {
			given := n.assignLocally(ctx, request)
			given.asked = try + 1
			return given
		}
		reply := &assignReply{}
		err := n.callScheduler(ctx, scheduler, address, request, reply)
		if err == nil && reply.Reason != reasonUnreachable {
			return n.recordGrant(&grant{assignReply: reply, id: request.Request.ID, scheduler: scheduler, address: address, asked: try + 1})
		}
		n.sendFinish(unackedFinish{address: address, message: &finishRequest{ID: request.Request.ID, NotRun: true}, since: n.now()})
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, peer.ErrLinkBroken) && !askedAgain {
			askedAgain = true
			left++
			continue
		}
		n.counter("scheduler.unreachable").Inc(1)
		n.suspectNode(scheduler)
		n.selectScheduler()
	}
	return &grant{assignReply: &assignReply{Reason: reasonUnreachable}}
}

// placeHere lets this node's own desk decide.
func (n *Node) assignLocally(ctx context.Context, request *assignRequest) *grant {
	reply := n.scheduling.assign(ctx, request)
	return n.recordGrant(&grant{assignReply: reply, id: request.Request.ID, scheduler: n.settings.Load().Name})
}

// hold enters a place that was given into this node's own count.
func (n *Node) recordGrant(given *grant) *grant {
	if given.Reason != "" {
		return given
	}
	n.mutex.Lock()
	n.assignments[given.id] = assignment{replica: given.Replica.ID, scheduler: given.scheduler, term: given.Term}
	if given.Limit != nil {
		n.pushback.MergeLimit(n.now(), *given.Limit)
	}
	n.mutex.Unlock()
	return given
}

// currentScheduler returns the scheduling node, with no address if it is this one.
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

// silenceCheck is the time between looks whether the scheduling node still beats.
const silenceCheckInterval = 100 * time.Millisecond

// callScheduler asks and waits for as long as the scheduling node is heard of.
func (n *Node) callScheduler(ctx context.Context, scheduler, address string, request *assignRequest, reply *assignReply) error {
	callContext, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.cancelOnSilence(callContext, cancel, scheduler)
	return n.peers.Call(callContext, address, peerwire.KindPlace, request, reply)
}

// watchSilence cancels the call when the scheduling node is no longer heard of.
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

// unackedFinish is a message about an ended request that its scheduling node did
// not confirm.
type unackedFinish struct {
	address string
	message *finishRequest
	since   structs.Instant
}

// Bounds of messages that are sent again.
const (
	reportTimeout      = 400 * time.Millisecond
	finishRetryWindow  = 8 * time.Second
	maxUnackedFinishes = 2000
)

// finish ends a place that was given.
func (n *Node) finish(given *grant, message *finishRequest) {
	n.mutex.Lock()
	delete(n.assignments, given.id)
	n.mutex.Unlock()
	message.ID = given.id
	if given.address == "" {
		n.scheduling.finish(message)
		return
	}
	n.sendFinish(unackedFinish{address: given.address, message: message, since: n.now()})
}

// deliver sends the message in the background and keeps it if that fails.
func (n *Node) sendFinish(item unackedFinish) {
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, reportTimeout)
		defer cancel()
		if err := n.peers.Call(ctx, item.address, peerwire.KindFinish, item.message, &finishReply{}); err == nil {
			return
		}
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if n.now()-item.since < finishRetryWindow && len(n.unackedFinishes) < maxUnackedFinishes {
			n.unackedFinishes = append(n.unackedFinishes, item)
		}
	}()
}

// resendFinishes sends what was not confirmed.
func (n *Node) resendFinishes() {
	n.mutex.Lock()
	items := n.unackedFinishes
	n.unackedFinishes = nil
	n.mutex.Unlock()
	for _, item := range items {
		n.sendFinish(item)
	}
}

// reportFirstEvent tells the scheduling node that the answer began. It is not sent again
// if it gets lost.
func (n *Node) reportFirstEvent(given *grant, load int, said *pushback.Signals) {
	message := &firstEventRequest{ID: given.id, Load: load, Said: said}
	if given.address == "" {
		n.scheduling.recordFirstEvent(message)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, reportTimeout)
		defer cancel()
		_ = n.peers.Call(ctx, given.address, peerwire.KindBegun, message, &firstEventReply{})
	}()
}
