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

// call is one request of a caller, validated and resolved against the settings.
type call struct {
	tenant *settings.Named
	route  string
	values settings.Values
	// generation is set for calls of engines, service for calls of plain services.
	generation *openai.Request
	service    *serviceCall
	body       []byte
	bodyHash   uint64
	key        string
	ticket     string
	deadline   time.Duration
	repeatable bool
}

// serviceCall is the HTTP request of a call of a plain service.
type serviceCall struct {
	method string
	path   string
	header http.Header
}

// execution is a request in progress at this node.
type execution struct {
	call    *call
	request *structs.Request
	answer  *answer.Answer
	// plans receives the scheduler's plan; it has room for one.
	plans  chan structs.Plan
	ctx    context.Context
	cancel context.CancelFunc
	entry  registry.Entry
	// registryNodes are the members that the entry was registered with.
	registryNodes []membership.Member
	// claimed is true while the store may hold a claim of this request.
	claimed bool
	// sent is set just before the first byte is written.
	sent bool
	// tokens is the number of output tokens received.
	tokens int
}

// requestIDPrefix starts every request id; node, process and number follow it.
const requestIDPrefix = "tw"

// newRequestID returns a unique id that contains the node's name and process.
func (n *Node) newRequestID() string {
	return fmt.Sprintf("%s_%s_%s_%s", requestIDPrefix, n.config.Name, strconv.FormatInt(n.startMilliseconds(), 36), strconv.FormatUint(n.sequence.Add(1), 36))
}

// parseRequestID returns the node and process that created a request id.
func parseRequestID(requestID string) (name string, process int64, valid bool) {
	parts := strings.Split(requestID, "_")
	if len(parts) < 4 || parts[0] != requestIDPrefix {
		return "", 0, false
	}
	process, err := strconv.ParseInt(parts[len(parts)-2], 36, 64)
	return strings.Join(parts[1:len(parts)-2], "_"), process, err == nil
}

// startExecution admits a call and starts its execution in the background. If the
// call's ticket or key belongs to an earlier request, that request's answer is
// returned instead.
func (n *Node) startExecution(ctx context.Context, c *call) (*answer.Answer, error) {
	if n.accepting.Err() != nil {
		return nil, errkind.New(errkind.Stopping, "start request: node %s is stopping", n.config.Name)
	}
	if err := faultpoint.Reach(ctx, n.deps.Faults, faultpoint.Accept, c.route); err != nil {
		return nil, errkind.New(errkind.Stopping, "%v", err)
	}
	exec := n.newExecution(c)
	if c.ticket != "" {
		earlier, err := n.useTicket(c, exec)
		if err != nil || earlier != nil {
			return earlier, err
		}
	} else if c.key != "" {
		if err := faultpoint.Reach(ctx, n.deps.Faults, faultpoint.Register, exec.request.ID); err != nil {
			return nil, errkind.New(errkind.Stopping, "%v", err)
		}
		joined, err := n.registerOrJoin(ctx, exec)
		if err != nil || joined != nil {
			return joined, err
		}
	}
	if err := n.admit(exec); err != nil {
		n.endNotAdmitted(exec, err)
		return nil, err
	}
	n.group.Go(func() { n.run(exec) })
	if c.key == "" && c.ticket == "" {
		// The answer can't be requested again, so the request ends with its caller.
		stop := context.AfterFunc(ctx, exec.cancel)
		context.AfterFunc(exec.ctx, func() { stop() })
	}
	return exec.answer, nil
}

func (n *Node) newExecution(c *call) *execution {
	id := n.newRequestID()
	exec := &execution{call: c, plans: make(chan structs.Plan, 1), answer: answer.New(id, c.tenant.Name)}
	exec.ctx, exec.cancel = context.WithCancel(n.working)
	exec.request = n.newSchedulerRequest(id, c)
	return exec
}

// admit charges the call to the tenant's limits and records the execution.
func (n *Node) admit(exec *execution) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	limit := limitOf(&exec.call.tenant.Values)
	if reason := n.limitMember.Admit(n.now(), exec.call.tenant.Name, limit); reason != structs.ReasonNone {
		n.count("refused." + string(reason))
		return errkind.New(errkind.Limited, "admit request of tenant %s: %s", exec.call.tenant.Name, reason)
	}
	n.executions[exec.request.ID] = exec
	n.answers.Add(exec.answer)
	return nil
}

// endNotAdmitted ends a request that was rejected by the tenant's limits.
func (n *Node) endNotAdmitted(exec *execution, err error) {
	exec.cancel()
	exec.answer.End(structs.OutcomeNotRun, err)
	if exec.entry.RequestID != "" {
		exec.entry.Progress, exec.entry.Outcome = registry.Ended, structs.OutcomeNotRun
		n.updateRegistry(n.ctx, exec.entry)
	}
	n.tickets.release(exec.call.ticket, exec.request.ID)
}

// run executes the request until it has an outcome.
func (n *Node) run(exec *execution) {
	outcome, err := n.queueAndDispatch(exec)
	n.finish(exec, outcome, n.endOfWork(outcome, err))
}

// finish records the outcome and releases what the request holds.
func (n *Node) finish(exec *execution, outcome structs.Outcome, err error) {
	n.reporting.Add(1)
	defer n.reporting.Add(-1)
	_ = faultpoint.Reach(exec.ctx, n.deps.Faults, faultpoint.Finish, exec.request.ID) // the outcome is final, whatever is injected here
	exec.cancel()
	exec.answer.End(outcome, err)
	n.answers.MarkEnded(n.now(), exec.answer)
	if outcome == structs.OutcomeNotRun {
		n.tickets.release(exec.call.ticket, exec.request.ID)
	}
	n.mutex.Lock()
	delete(n.executions, exec.request.ID)
	n.limitMember.Release(exec.call.tenant.Name)
	n.schedulePending()
	n.mutex.Unlock()
	n.countOutcome(exec, outcome)
	if exec.entry.RequestID != "" {
		exec.entry.Progress, exec.entry.Outcome = registry.Ended, outcome
		n.updateRegistry(n.ctx, exec.entry)
	}
	if exec.claimed && outcome == structs.OutcomeNotRun {
		n.releaseClaim(exec)
	}
}

// queueAndDispatch queues the request and dispatches it. It repeats both as long
// as it is certain that nothing was sent.
func (n *Node) queueAndDispatch(exec *execution) (structs.Outcome, error) {
	if err := faultpoint.Reach(exec.ctx, n.deps.Faults, faultpoint.Queue, exec.request.ID); err != nil {
		return structs.OutcomeNotRun, errkind.New(errkind.Stopping, "%v", err)
	}
	n.mutex.Lock()
	if plan, rejected := n.scheduler.Submit(n.now(), exec.request); rejected {
		n.deliver(plan)
	}
	n.schedulePending()
	n.mutex.Unlock()
	for {
		plan, err := n.awaitPlan(exec)
		if err != nil {
			return structs.OutcomeNotRun, err
		}
		if plan.Verdict == structs.VerdictReject {
			return structs.OutcomeNotRun, rejectionError(plan)
		}
		outcome, err := n.dispatch(exec, plan)
		if outcome != structs.OutcomePending {
			return outcome, err
		}
		n.mutex.Lock()
		if rejection, ended := n.scheduler.Requeue(n.now(), exec.request.ID); ended {
			n.deliver(rejection)
		}
		n.schedulePending()
		n.mutex.Unlock()
	}
}

// awaitPlan waits for the scheduler's plan. If the execution's context ends
// first, it cancels the request and returns an error of kind Stopping.
func (n *Node) awaitPlan(exec *execution) (structs.Plan, error) {
	select {
	case plan := <-exec.plans:
		return plan, nil
	case <-exec.ctx.Done():
	}
	n.mutex.Lock()
	wasQueued := n.scheduler.Cancel(exec.request.ID)
	n.mutex.Unlock()
	if !wasQueued {
		select {
		case plan := <-exec.plans:
			n.releaseReservation(exec, reserve.Result{Sent: plan.Verdict == structs.VerdictDispatch})
		default:
		}
	}
	return structs.Plan{}, errkind.New(errkind.Stopping, "request not sent: the caller disconnected or the node stopped")
}

// releaseReservation ends the request's reservation at its replica.
func (n *Node) releaseReservation(exec *execution, result reserve.Result) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.scheduler.Finish(n.now(), exec.request.ID, result)
	n.schedulePending()
}

var reasonKinds = map[structs.Reason]*errkind.Kind{
	structs.ReasonShed: errkind.Shed, structs.ReasonFloor: errkind.Shed, structs.ReasonQueueFull: errkind.Shed,
	structs.ReasonDeadline: errkind.DeadlineTooShort, structs.ReasonExpired: errkind.DeadlineTooShort,
	structs.ReasonNoReplica: errkind.NoReplica, structs.ReasonStopping: errkind.Stopping,
}

// rejectionError returns the error for a caller whose request was rejected.
func rejectionError(plan structs.Plan) error {
	kind, known := reasonKinds[plan.Reason]
	if !known {
		kind = errkind.Shed
	}
	return &retryAfterError{err: errkind.New(kind, "request rejected: %s", plan.Reason), after: plan.RetryAfter}
}

// retryAfterError is an error with the time after which the caller may retry.
type retryAfterError struct {
	err   error
	after time.Duration
}

func (e *retryAfterError) Error() string { return e.err.Error() }
func (e *retryAfterError) Unwrap() error { return e.err }

// dispatch sends the request to the planned replica and reads its answer.
// OutcomePending means that nothing was sent and the request may be queued again.
func (n *Node) dispatch(exec *execution, plan structs.Plan) (structs.Outcome, error) {
	sealed, err := n.sealReceipt(exec, plan.Replica)
	if err != nil {
		n.releaseReservation(exec, reserve.Result{Sent: true})
		return structs.OutcomeNotRun, err
	}
	if err := n.permitDispatch(exec, plan.Replica, sealed); err != nil {
		n.releaseReservation(exec, reserve.Result{Sent: true})
		return n.endNotPermitted(exec, err)
	}
	beforeFirstByte := func() error {
		if err := faultpoint.Reach(exec.ctx, n.deps.Faults, faultpoint.FirstByte, exec.request.ID); err != nil {
			return err
		}
		exec.sent = true
		exec.answer.SetReceipt(sealed)
		return nil
	}
	if err := faultpoint.Reach(exec.ctx, n.deps.Faults, faultpoint.Connect, exec.request.ID); err != nil {
		return structs.OutcomePending, err
	}
	var outcome structs.Outcome
	if exec.call.service != nil {
		outcome, err = n.callService(exec, plan.Replica, beforeFirstByte)
	} else {
		outcome, err = n.generate(exec, plan.Replica, beforeFirstByte)
	}
	if errors.Is(err, oneshot.ErrNotSent) {
		exec.sent = false
		if exec.ctx.Err() != nil {
			n.releaseReservation(exec, reserve.Result{Sent: true})
			return structs.OutcomeNotRun, errkind.New(errkind.Stopping, "request not sent: the caller disconnected or the node stopped")
		}
		n.count("connect.failed")
		return structs.OutcomePending, err
	}
	n.releaseReservation(exec, reserve.Result{Sent: true, Complete: outcome == structs.OutcomeAnswered, OutputTokens: exec.tokens})
	return outcome, err
}

// permitDispatch checks that the request may be sent: it acquires the claim of a
// request that must not run twice, and has the registry confirm that the key has
// not been taken over meanwhile.
func (n *Node) permitDispatch(exec *execution, replica structs.Replica, sealed string) error {
	if err := faultpoint.Reach(exec.ctx, n.deps.Faults, faultpoint.Reserve, exec.request.ID); err != nil {
		return errkind.New(errkind.Stopping, "%v", err)
	}
	if !exec.call.repeatable && exec.call.key != "" && exec.call.ticket == "" && !exec.claimed {
		if err := n.acquireClaim(exec, replica); err != nil {
			return err
		}
	}
	if exec.entry.RequestID == "" {
		return nil
	}
	if err := faultpoint.Reach(exec.ctx, n.deps.Faults, faultpoint.Gate, exec.request.ID); err != nil {
		return errkind.New(errkind.Stopping, "%v", err)
	}
	exec.entry.Progress, exec.entry.Receipt = registry.Dispatched, sealed
	return n.confirmDispatch(exec)
}

// endNotPermitted returns the outcome of a request that permitDispatch stopped. If
// another request holds the claim, its answer is used if it can be read.
func (n *Node) endNotPermitted(exec *execution, err error) (structs.Outcome, error) {
	var heldClaim *heldClaimError
	if errors.As(err, &heldClaim) {
		return n.readHolderAnswer(exec, heldClaim)
	}
	if errkind.Of(err).Outcome == structs.OutcomeUnknown {
		return structs.OutcomeUnknown, err
	}
	return structs.OutcomeNotRun, err
}

// sealReceipt returns the sealed receipt of a dispatch to the replica.
func (n *Node) sealReceipt(exec *execution, replica structs.Replica) (string, error) {
	return n.sealer.Seal(&receipt.Receipt{
		RequestID: exec.request.ID, Tenant: exec.call.tenant.Name, Route: exec.call.route, Zone: n.config.Zone, Node: n.config.Name,
		Incarnation: uint64(n.startMilliseconds()), Replica: replica.ID, Address: replica.Address, Engine: exec.call.service == nil,
	})
}
