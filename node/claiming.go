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
