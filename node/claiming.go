package node

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/thornwalk/thornwalk/coordination/claims"
	"github.com/thornwalk/thornwalk/faultpoint"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// claimTimeout bounds the wait for a claim before a dispatch.
	claimTimeout = 2 * time.Second
	// writerTimeout bounds the call of the zone's writer within claimTimeout.
	writerTimeout = claimTimeout / 2
	// releaseTimeout bounds the release of a claim.
	releaseTimeout = 10 * time.Second
)

// acquireClaim acquires the right to dispatch from the platform's store. The error
// is a *heldClaimError if another request has it.
func (n *Node) acquireClaim(exec *execution, replica structs.Replica) error {
	if err := faultpoint.Reach(exec.ctx, n.deps.Faults, faultpoint.Claim, exec.request.ID); err != nil {
		return errkind.New(errkind.Stopping, "%v", err)
	}
	ctx, cancel := context.WithTimeout(exec.ctx, claimTimeout)
	defer cancel()
	exec.claimed = true // the claim may be stored even if an error is returned
	started := time.Now()
	result, err := n.commitClaim(ctx, &claimRequest{
		Tenant: exec.call.tenant.Name, Key: exec.call.key,
		Claim: claims.Claim{BodyHash: exec.call.bodyHash, RequestID: exec.request.ID, Address: replica.Address, Engine: exec.call.service == nil},
	})
	n.recordDuration("claim", time.Since(started))
	if err != nil {
		return err
	}
	if result.Granted {
		return nil
	}
	exec.claimed = false
	return &heldClaimError{holder: result.Holder, err: errkind.New(errkind.OutcomeUnknown, "claim idempotency key: held by request %s", result.Holder.RequestID)}
}

// claimRequest is sent to the zone's writer of a page of claims; it requests a
// claim or releases one.
type claimRequest struct {
	Tenant  string       `msgpack:"t"`
	Key     string       `msgpack:"k"`
	Claim   claims.Claim `msgpack:"c"`
	Release bool         `msgpack:"r,omitempty"`
}

// claimReply is the reply of a writer; Holder is set if the claim was not granted.
type claimReply struct {
	Granted bool         `msgpack:"g"`
	Holder  claims.Claim `msgpack:"h"`
}

// commitClaim commits the claim through the zone's writer of its page, which
// batches the claims of several nodes. If the writer does not answer, this node
// commits it: correctness does not depend on the writer, and claims of the same
// request id are idempotent.
func (n *Node) commitClaim(ctx context.Context, message *claimRequest) (claims.Result, error) {
	page := claims.PageOf(message.Tenant, message.Key, n.settings.Compiled().Node.ClaimShards)
	n.mutex.Lock()
	name := rendezvous.Top(n.table.LiveNames(), rendezvous.Hash(page.Key()), 1)[0]
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
	return n.commitLocally(ctx, message)
}

func (n *Node) commitLocally(ctx context.Context, message *claimRequest) (claims.Result, error) {
	if message.Release {
		return claims.Result{}, n.claims.Release(ctx, message.Tenant, message.Key, message.Claim.RequestID)
	}
	return n.claims.Claim(ctx, message.Tenant, message.Key, message.Claim)
}

func (n *Node) serveClaim(ctx context.Context, message *claimRequest) (*claimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	result, err := n.commitLocally(ctx, message)
	return &claimReply{Granted: result.Granted, Holder: result.Holder}, err
}

// heldClaimError reports that an earlier request holds the claim.
type heldClaimError struct {
	holder claims.Claim
	err    error
}

func (e *heldClaimError) Error() string { return e.err.Error() }
func (e *heldClaimError) Unwrap() error { return e.err }

// readHolderAnswer reads the answer of the request that holds the claim, from the
// engine that the claim names.
func (n *Node) readHolderAnswer(exec *execution, heldClaim *heldClaimError) (structs.Outcome, error) {
	holder := heldClaim.holder
	if !holder.Engine {
		return structs.OutcomeUnknown, heldClaim.err
	}
	stream, err := n.adapter.Resume(exec.ctx, holder.Address, holder.RequestID, 0)
	if err != nil {
		return structs.OutcomeUnknown, heldClaim.err
	}
	exec.answer.SetSource(holder.RequestID)
	reader := &eventReader{node: n, request: &structs.Request{ID: holder.RequestID}, address: holder.Address, answer: exec.answer}
	return reader.read(exec.ctx, stream, nil)
}

// releaseClaim releases, in the background, the claim of a request that did not run.
func (n *Node) releaseClaim(exec *execution) {
	n.reporting.Add(1)
	n.group.Go(func() {
		defer n.reporting.Add(-1)
		ctx, cancel := context.WithTimeout(n.ctx, releaseTimeout)
		defer cancel()
		_, err := n.commitClaim(ctx, &claimRequest{Tenant: exec.call.tenant.Name, Key: exec.call.key, Claim: claims.Claim{RequestID: exec.request.ID}, Release: true})
		if err != nil {
			klog.V(1).InfoS("claim release failed", "node", n.config.Name, "request", exec.request.ID, "error", err.Error())
		}
	})
}
