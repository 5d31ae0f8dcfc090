package entry

import (
	"errors"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/rollout"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// The desk's part in roll-outs: it holds the controllers, lets the scheduler go by the
// versions' policies and enters how requests ended.

// rolloutDoubt returns the evidence against the target of the service's roll-out; zero at a
// node that does not step it.
func (d *schedulingService) regressionScore(service string) (float64, string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if controller, found := d.controllers[service]; found {
		return controller.RegressionScore()
	}
	return 0, ""
}

// setVersions takes over which versions of the service get new requests.
func (d *schedulingService) setVersions(service string, policy rollouts.VersionPolicy) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.SetVersions(service, policy)
	d.decide()
}

// proposeRollout returns the record that is to be written next.
func (d *schedulingService) proposeRollout(seen rollout.Inputs, known rollouts.Record) (rollouts.Record, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	service := seen.Order.Service
	controller, found := d.controllers[service]
	if !found {
		controller = rollout.NewController(d.rolloutPolicy, d.clock(), known)
		d.controllers[service] = controller
		d.scheduler.SetCanaryBudget(service, controller.CanaryBudget())
	}
	controller.Adopt(known)
	seen.Busy = max(seen.Busy, d.scheduler.InFlightAt(service))
	seen.Longest = d.longestAnswers[service]
	return controller.Propose(d.clock(), seen)
}

// rolloutWritten enters what became of a write.
func (d *schedulingService) recordRolloutWrite(written rollouts.Record, revision structs.StorePosition, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	controller, found := d.controllers[written.Service]
	if !found {
		return // this node no longer schedules
	}
	switch {
	case err == nil:
		controller.WriteCommitted(d.clock(), written, revision)
	case errors.Is(err, errkind.StoreUnknown):
		controller.WriteUnknown(d.clock())
	default:
		controller.WriteRejected(d.clock())
	}
}

// longestShare is the weight by which the longest known answer of a service yields to a
// shorter one: after 100 of half its length it is near that.
const longestDecayFraction = 0.02

// noteRollout enters the end of a request into the judgement of its service's versions.
func (d *schedulingService) recordRolloutResult(ended admission.Completion, seen admission.Observation, notRun bool) {
	if seen.Duration > 0 {
		before := d.longestAnswers[ended.Service]
		d.longestAnswers[ended.Service] = max(seen.Duration, before-time.Duration(longestDecayFraction*float64(before-seen.Duration)))
	}
	controller, found := d.controllers[ended.Service]
	if !found || notRun {
		return
	}
	controller.RecordResult(sampleOf(ended, seen, controller.Record().Target), !seen.Left)
}

// promptOverhead is the part of the time to a first event that does not depend on the
// prompt, in tokens that are read meanwhile.
const promptOverheadTokens = 500

// answerOf describes the end of a request to the judge.
func sampleOf(ended admission.Completion, seen admission.Observation, target string) rollout.Sample {
	answer := rollout.Sample{
		Route: ended.Route, Replica: ended.Replica, Begun: ended.Placed, Target: ended.Version == target, Failed: seen.Failed, Step: seen.Duration,
	}
	if seen.Events == 0 {
		return answer
	}
	answer.First = seen.FirstEvent / time.Duration(ended.Prompt+promptOverheadTokens)
	answer.Step = 0
	if seen.Events > 1 {
		answer.Step = (seen.Duration - seen.FirstEvent) / time.Duration(seen.Events-1)
	}
	return answer
}
