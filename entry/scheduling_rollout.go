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

// Roll-outs at the scheduling service: it holds the controllers, applies the version policies to
// the scheduler and records how requests ended.

// regressionScore returns the regression score of the service's roll-out and the route that has it;
// zero at a node that does not step the roll-out.
func (s *schedulingService) regressionScore(service string) (float64, string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if controller, found := s.controllers[service]; found {
		return controller.RegressionScore()
	}
	return 0, ""
}

// setVersions sets which versions of the service get new requests.
func (s *schedulingService) setVersions(service string, policy rollouts.VersionPolicy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.scheduler.SetVersions(service, policy)
	s.decide()
}

// proposeRollout returns the record that has to be written next, and false if there is none. After
// true, recordRolloutWrite must follow.
func (s *schedulingService) proposeRollout(inputs rollout.Inputs, known rollouts.Record) (rollouts.Record, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	service := inputs.Order.Service
	controller, found := s.controllers[service]
	if !found {
		controller = rollout.NewController(s.rolloutPolicy, s.clock(), known)
		s.controllers[service] = controller
		s.scheduler.SetCanaryBudget(service, controller.CanaryBudget())
	}
	controller.RebaseOrder(inputs.FormerOrderPosition, inputs.Order.Position)
	controller.ApplyRecord(known)
	inputs.InFlightElsewhere = max(inputs.InFlightElsewhere, s.scheduler.InFlightAt(service))
	inputs.LongAnswerTime = s.maxResponseTimes[service]
	return controller.Propose(s.clock(), inputs)
}

// recordRolloutWrite records the outcome of a write.
func (s *schedulingService) recordRolloutWrite(written rollouts.Record, position structs.StorePosition, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	controller, found := s.controllers[written.Service]
	if !found {
		return // this node no longer schedules
	}
	switch {
	case err == nil:
		controller.WriteCommitted(s.clock(), written, position)
	case errors.Is(err, errkind.StoreUnknown):
		controller.WriteUnknown(s.clock())
	default:
		controller.WriteRejected(s.clock())
	}
}

// responseTimeDecayFraction is the weight of a shorter response in the decaying maximum of a
// service's response times.
const responseTimeDecayFraction = 0.02

// recordRolloutResult records the end of a request as evidence for its service's roll-out. The
// caller holds the mutex.
func (s *schedulingService) recordRolloutResult(ended admission.Completion, observed admission.Observation, isNotRun bool) {
	if observed.Duration > 0 {
		before := s.maxResponseTimes[ended.Service]
		s.maxResponseTimes[ended.Service] = max(observed.Duration, before-time.Duration(responseTimeDecayFraction*float64(before-observed.Duration)))
	}
	controller, found := s.controllers[ended.Service]
	if !found || isNotRun {
		return
	}
	controller.RecordResult(sampleOf(ended, observed, controller.Record().Target), !observed.CallerLeft && !ended.MayBeOfSuccessor)
}

// promptOverheadTokens is the part of the time to the first event that does not depend on the
// prompt's length, as an equivalent number of prompt tokens.
const promptOverheadTokens = 500

// sampleOf converts the end of a request to a sample for the roll-out's analysis: per token for the
// first event, and per event for the others.
func sampleOf(ended admission.Completion, observed admission.Observation, target string) rollout.Sample {
	sample := rollout.Sample{
		Route: ended.Route, Replica: ended.Replica, AssignedAt: ended.AssignedAt, Target: ended.Version == target, Failed: observed.Failed, EventInterval: observed.Duration,
	}
	if observed.Events == 0 {
		return sample
	}
	sample.FirstEventTime = observed.FirstEvent / time.Duration(ended.Prompt+promptOverheadTokens)
	sample.EventInterval = 0
	if observed.Events > 1 {
		sample.EventInterval = (observed.Duration - observed.FirstEvent) / time.Duration(observed.Events-1)
	}
	return sample
}
