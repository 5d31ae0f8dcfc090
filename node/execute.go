package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/coordination/membership"
	"github.com/thornwalk/thornwalk/coordination/routing/reserve"
	"github.com/thornwalk/thornwalk/faultpoint"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/openai"
	"github.com/thornwalk/thornwalk/protocol/receipt"
	"github.com/thornwalk/thornwalk/state/answer"
	"github.com/thornwalk/thornwalk/state/registry"
	"github.com/thornwalk/thornwalk/state/settings"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/oneshot"
)

// call is one request of a caller, checked and resolved against the settings.
type call struct {
	tenant *settings.Named
	route  string
	values settings.Values
	// generation is set for engines, service for plain services.
	generation *openai.Request
	service    *serviceCall
	body       []byte
	bodyHash   uint64
	key        string
	ticket     string
	deadline   time.Duration
	repeatable bool
}

// serviceCall is the HTTP part of a call of a plain service.
type serviceCall struct {
	method string
	path   string
	header http.Header
}

// execution is a request under way at this node.
type execution struct {
	call    *call
	request *structs.Request
	answer  *answer.Answer
	plans   chan structs.Plan
	ctx     context.Context
	cancel  context.CancelFunc
	entry   registry.Entry
	// keepers are the members that the entry was registered with.
	keepers []membership.Member
	claimed bool
	// sent is true from the moment before the first byte is written.
	sent   bool
	tokens int
}

// requestIDPrefix begins every request id; node, process and number follow.
const requestIDPrefix = "tw"

// newRequestID mints an id that names the node and its process; no process
// mints one twice.
func (n *Node) newRequestID() string {
	return fmt.Sprintf("%s_%s_%s_%s", requestIDPrefix, n.config.Name, strconv.FormatInt(n.startMilliseconds(), 36), strconv.FormatUint(n.sequence.Add(1), 36))
}

// nodeOf returns the node and process that minted a request id.
func nodeOf(requestID string) (name string, process int64, valid bool) {
	parts := strings.Split(requestID, "_")
	if len(parts) < 4 || parts[0] != requestIDPrefix {
		return "", 0, false
	}
	process, err := strconv.ParseInt(parts[len(parts)-2], 36, 64)
	return strings.Join(parts[1:len(parts)-2], "_"), process, err == nil
}

// begin admits a call and starts its execution. The returned answer may be
// that of an earlier request that the call joins.
func (n *Node) begin(ctx context.Context, c *call) (*answer.Answer, error) {
	if n.refusing.Load() {
		return nil, errkind.New(errkind.Stopping, "%s is stopping", n.config.Name)
	}
	if err := faultpoint.Reach(ctx, n.depend.Faults, faultpoint.Accept, c.route); err != nil {
		return nil, errkind.New(errkind.Stopping, "%v", err)
	}
	x := n.newExecution(c)
	if c.ticket != "" {
		earlier, err := n.useTicket(c, x)
		if err != nil || earlier != nil {
			return earlier, err
		}
	} else if c.key != "" {
		if err := faultpoint.Reach(ctx, n.depend.Faults, faultpoint.Register, x.request.ID); err != nil {
			return nil, errkind.New(errkind.Stopping, "%v", err)
		}
		joined, err := n.identify(ctx, x)
		if err != nil || joined != nil {
			return joined, err
		}
	}
	if err := n.admit(x); err != nil {
		n.endUnstarted(x, err)
		return nil, err
	}
	n.group.Go(func() { n.run(x) })
	if c.key == "" && c.ticket == "" {
		// Nobody can ask for this answer again, so that it ends with its caller.
		stop := context.AfterFunc(ctx, x.cancel)
		context.AfterFunc(x.ctx, func() { stop() })
	}
	return x.answer, nil
}

func (n *Node) newExecution(c *call) *execution {
	id := n.newRequestID()
	x := &execution{call: c, plans: make(chan structs.Plan, 1), answer: answer.New(id, c.tenant.Name)}
	x.ctx, x.cancel = context.WithCancel(n.ctx)
	x.request = n.describe(id, c)
	return x
}

// admit takes the call from the tenant's limits and enters the execution.
func (n *Node) admit(x *execution) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	limit := limitOf(&x.call.tenant.Values)
	if reason := n.limitMember.Admit(n.now(), x.call.tenant.Name, limit); reason != structs.ReasonNone {
		n.count("refused." + string(reason))
		return errkind.New(errkind.Limited, "tenant %s: %s", x.call.tenant.Name, reason)
	}
	n.executions[x.request.ID] = x
	n.answers.Add(x.answer)
	return nil
}

// endUnstarted ends a request that was identified and then not admitted.
func (n *Node) endUnstarted(x *execution, err error) {
	x.cancel()
	x.answer.End(structs.OutcomeNotRun, err)
	if x.entry.RequestID != "" {
		x.entry.Progress, x.entry.Outcome = registry.Ended, structs.OutcomeNotRun
		n.updateRegistry(n.ctx, x.entry)
	}
	n.tickets.free(x.call.ticket, x.request.ID)
}

// run takes the request from the queue to its outcome.
func (n *Node) run(x *execution) {
	outcome, err := n.attempt(x)
	n.settle(x, outcome, err)
}

// settle tells the outcome to everyone who may ask.
func (n *Node) settle(x *execution, outcome structs.Outcome, err error) {
	_ = faultpoint.Reach(x.ctx, n.depend.Faults, faultpoint.Finish, x.request.ID) // the outcome is settled whatever happens here
	x.cancel()
	x.answer.End(outcome, err)
	n.answers.MarkEnded(n.now(), x.answer)
	if outcome == structs.OutcomeNotRun {
		n.tickets.free(x.call.ticket, x.request.ID)
	}
	n.mutex.Lock()
	delete(n.executions, x.request.ID)
	n.limitMember.Release(x.call.tenant.Name)
	n.pump()
	n.mutex.Unlock()
	n.countOutcome(x, outcome)
	if x.entry.RequestID != "" {
		x.entry.Progress, x.entry.Outcome = registry.Ended, outcome
		n.updateRegistry(n.ctx, x.entry)
	}
	if x.claimed && outcome == structs.OutcomeNotRun {
		n.releaseClaim(x)
	}
}

// attempt queues the request and dispatches it, again and again while it is
// proven that nothing was sent.
func (n *Node) attempt(x *execution) (structs.Outcome, error) {
	if err := faultpoint.Reach(x.ctx, n.depend.Faults, faultpoint.Queue, x.request.ID); err != nil {
		return structs.OutcomeNotRun, errkind.New(errkind.Stopping, "%v", err)
	}
	n.mutex.Lock()
	if plan, refused := n.scheduler.Submit(n.now(), x.request); refused {
		n.deliver(plan)
	}
	n.pump()
	n.mutex.Unlock()
	for {
		plan, err := n.awaitPlan(x)
		if err != nil {
			return structs.OutcomeNotRun, err
		}
		if plan.Verdict == structs.VerdictRefuse {
			return structs.OutcomeNotRun, refusalError(plan)
		}
		outcome, err := n.dispatch(x, plan)
		if outcome != structs.OutcomePending {
			return outcome, err
		}
		n.mutex.Lock()
		if refused, ended := n.scheduler.Requeue(n.now(), x.request.ID); ended {
			n.deliver(refused)
		}
		n.pump()
		n.mutex.Unlock()
	}
}

// awaitPlan waits for the scheduler. A caller that hangs up meanwhile leaves a
// request that did not run.
func (n *Node) awaitPlan(x *execution) (structs.Plan, error) {
	select {
	case plan := <-x.plans:
		return plan, nil
	case <-x.ctx.Done():
	}
	n.mutex.Lock()
	waiting := n.scheduler.Cancel(x.request.ID)
	n.mutex.Unlock()
	if !waiting {
		select {
		case plan := <-x.plans:
			n.release(x, reserve.Result{Connected: plan.Verdict == structs.VerdictDispatch})
		default:
		}
	}
	return structs.Plan{}, errkind.New(errkind.Stopping, "the caller hung up or the node stopped before the request was sent")
}

// release ends the reservation of a dispatch that did not take place.
func (n *Node) release(x *execution, result reserve.Result) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.scheduler.Finish(n.now(), x.request.ID, result)
	n.pump()
}

var reasonKinds = map[structs.Reason]*errkind.Kind{
	structs.ReasonShed: errkind.Shed, structs.ReasonFloor: errkind.Shed, structs.ReasonQueueFull: errkind.Shed,
	structs.ReasonDeadline: errkind.DeadlineTooShort, structs.ReasonExpired: errkind.DeadlineTooShort,
	structs.ReasonNoReplica: errkind.NoReplica, structs.ReasonStopping: errkind.Stopping,
}

// refusalError is the error that tells a caller of a refusal.
func refusalError(plan structs.Plan) error {
	kind, known := reasonKinds[plan.Reason]
	if !known {
		kind = errkind.Shed
	}
	return &retryError{err: errkind.New(kind, "not run: %s", plan.Reason), after: plan.RetryAfter}
}

// retryError adds to an error the time after which to send again.
type retryError struct {
	err   error
	after time.Duration
}

func (e *retryError) Error() string { return e.err.Error() }
func (e *retryError) Unwrap() error { return e.err }

// dispatch sends the planned request. OutcomePending means that nothing was
// sent and the request may be planned again.
func (n *Node) dispatch(x *execution, plan structs.Plan) (structs.Outcome, error) {
	sealed, err := n.seal(x, plan.Replica)
	if err != nil {
		n.release(x, reserve.Result{Connected: true})
		return structs.OutcomeNotRun, err
	}
	if err := n.permit(x, plan.Replica, sealed); err != nil {
		n.release(x, reserve.Result{Connected: true})
		return n.notPermitted(x, err)
	}
	beforeFirstByte := func() error {
		if err := faultpoint.Reach(x.ctx, n.depend.Faults, faultpoint.FirstByte, x.request.ID); err != nil {
			return err
		}
		x.sent = true
		x.answer.SetReceipt(sealed)
		return nil
	}
	if err := faultpoint.Reach(x.ctx, n.depend.Faults, faultpoint.Connect, x.request.ID); err != nil {
		return structs.OutcomePending, err
	}
	var outcome structs.Outcome
	if x.call.service != nil {
		outcome, err = n.callService(x, plan.Replica, beforeFirstByte)
	} else {
		outcome, err = n.generate(x, plan.Replica, beforeFirstByte)
	}
	if errors.Is(err, oneshot.ErrNotSent) {
		x.sent = false
		if x.ctx.Err() != nil {
			n.release(x, reserve.Result{Connected: true})
			return structs.OutcomeNotRun, errkind.New(errkind.Stopping, "the caller hung up or the node stopped before the request was sent")
		}
		n.count("connect.failed")
		return structs.OutcomePending, err
	}
	n.release(x, reserve.Result{Connected: true, Complete: outcome == structs.OutcomeAnswered, OutputTokens: x.tokens})
	return outcome, err
}

// permit passes the gates that stand before a dispatch: the fault point after
// the reservation, the claim of a request that must not run twice, and the
// registry, which may have given the key to another meanwhile.
func (n *Node) permit(x *execution, replica structs.Replica, sealed string) error {
	if err := faultpoint.Reach(x.ctx, n.depend.Faults, faultpoint.Reserve, x.request.ID); err != nil {
		return errkind.New(errkind.Stopping, "%v", err)
	}
	if !x.call.repeatable && x.call.key != "" && x.call.ticket == "" && !x.claimed {
		if err := n.claim(x, replica); err != nil {
			return err
		}
	}
	if x.entry.RequestID == "" {
		return nil
	}
	if err := faultpoint.Reach(x.ctx, n.depend.Faults, faultpoint.Gate, x.request.ID); err != nil {
		return errkind.New(errkind.Stopping, "%v", err)
	}
	x.entry.Progress, x.entry.Receipt = registry.Dispatched, sealed
	return n.confirmDispatch(x)
}

// notPermitted ends a request that was stopped at a gate. One whose key was
// claimed before gets the answer of the claim's holder, if it can be read.
func (n *Node) notPermitted(x *execution, err error) (structs.Outcome, error) {
	var held *heldClaimError
	if errors.As(err, &held) {
		return n.followHolder(x, held)
	}
	if errkind.Of(err).Outcome == structs.OutcomeUnknown {
		return structs.OutcomeUnknown, err
	}
	return structs.OutcomeNotRun, err
}

func (n *Node) seal(x *execution, replica structs.Replica) (string, error) {
	return n.sealer.Seal(&receipt.Receipt{
		RequestID: x.request.ID, Tenant: x.call.tenant.Name, Route: x.call.route, Zone: n.config.Zone, Node: n.config.Name,
		Incarnation: uint64(n.startMilliseconds()), Replica: replica.ID, Address: replica.Address, Engine: x.call.service == nil,
	})
}
