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
	// claimTimeout bounds the wait for the store before a dispatch.
	claimTimeout = 2 * time.Second
	// writerTimeout is the part of it that the zone's writer is given.
	writerTimeout = claimTimeout / 2
	// releaseTimeout bounds the return of a claim.
	releaseTimeout = 10 * time.Second
)

// claim takes the right to dispatch from the platform's store.
func (n *Node) acquireClaim(exec *execution, replica structs.Replica) error {
	if err := faultpoint.Reach(exec.ctx, n.deps.Faults, faultpoint.Claim, exec.request.ID); err != nil {
		return errkind.New(errkind.Stopping, "%v", err)
	}
	ctx, cancel := context.WithTimeout(exec.ctx, claimTimeout)
	defer cancel()
	exec.claimed = true // it may exist from here on, whatever is answered
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
	name := rendezvous.Top(n.table.LiveNames(), rendezvous.Key(page.Key()), 1)[0]
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

// heldClaimError says that an earlier request holds the claim.
type heldClaimError struct {
	holder claims.Claim
	err    error
}

func (e *heldClaimError) Error() string { return e.err.Error() }
func (e *heldClaimError) Unwrap() error { return e.err }

// followHolder reads the answer of the request that holds the claim from where
// the claim says that it went.
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

// releaseClaim gives back the claim of a request that certainly did not run,
// without keeping its caller waiting.
func (n *Node) releaseClaim(exec *execution) {
	n.group.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, releaseTimeout)
		defer cancel()
		_, err := n.commitClaim(ctx, &claimRequest{Tenant: exec.call.tenant.Name, Key: exec.call.key, Claim: claims.Claim{RequestID: exec.request.ID}, Release: true})
		if err != nil {
			klog.V(1).InfoS("claim not released", "node", n.config.Name, "request", exec.request.ID, "error", err.Error())
		}
	})
}
