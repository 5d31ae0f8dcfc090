package admission

import (
	"math"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Replicas that share machines report their work time: how long work takes at this moment, in percent of
// the usual. The factor of a replica is its mean speed over the one that follows from its latest report.
// It scales the cost of a placement and the expected times to the first event and between events, and is
// taken out of the times from which speeds are learned, so that a short disturbance doesn't count as a slow
// replica. It excludes no replica for longer than a slow one is passed over. The mean follows a lasting
// report, so that a replica that always reports the same counts by its learned speed alone.

const (
	// workTimeDecay is the age at which a report has no effect. Where a state lasts about 600 ms, the share
	// of replicas that are still in the reported one falls about linearly to zero in that time. Decays of
	// 300 to 1,000 ms gave the same response times within 2 % (docs/decisions/0031).
	workTimeDecay = 600 * time.Millisecond
	// minReportedSpeed and maxReportedSpeed bound the speeds that follow from reports, so that an
	// implausible one doesn't outweigh all that was learned. Disturbed work takes 2.5 times as long, a speed
	// of 0.4. The upper bound is closer to 1 because it bounds how much too slow a replica can be learned,
	// and one that counts as slow is used less and thus learned less.
	minReportedSpeed, maxReportedSpeed = 0.25, 2
	// meanSpeedWeight is the weight of a new report in the mean speed. With 3 reports a second the mean
	// follows in half a minute, while disturbances last less than a second.
	meanSpeedWeight = 0.01
	percent         = 100
)

// workTime is what is known of a replica's work time. The zero value is a replica that reports none.
type workTime struct {
	// meanSpeed is the smoothed speed by the reports; zero until the first one.
	meanSpeed float64
	// excess is the factor minus 1 as observed at observedAt.
	excess     float64
	observedAt structs.Instant
	// integral is the time integral of the speed over its mean, minus 1, up to integratedAt, in
	// nanoseconds.
	integral     float64
	integratedAt structs.Instant
}

// observe records a report and returns its factor. A report that is older than the latest known one
// changes nothing: reports of several nodes arrive in any order.
func (w *workTime) observe(now, observedAt structs.Instant, reported int) float64 {
	speed := min(max(percent/float64(reported), minReportedSpeed), maxReportedSpeed)
	if w.meanSpeed == 0 {
		w.meanSpeed, w.observedAt = 1, observedAt
	}
	if observedAt < w.observedAt {
		return w.meanSpeed / speed
	}
	w.integrate(now)
	w.meanSpeed += meanSpeedWeight * (speed - w.meanSpeed)
	w.excess, w.observedAt = w.meanSpeed/speed-1, observedAt
	return 1 + w.excess
}

// forget drops what is known, but keeps the integral, from which responses in progress began.
func (w *workTime) forget() {
	*w = workTime{integral: w.integral, integratedAt: w.integratedAt}
}

// isRecent reports whether the latest report still has an effect.
func (w *workTime) isRecent(now structs.Instant) bool {
	return w.meanSpeed > 0 && now-w.observedAt < workTimeDecay
}

// factorDuring returns the expected mean factor of work that begins now and takes that long at the mean
// speed. The effect of a report decreases linearly with its age.
func (w *workTime) factorDuring(now structs.Instant, duration time.Duration) float64 {
	if !w.isRecent(now) {
		return 1
	}
	if duration <= 0 {
		return 1 + w.excess*(1-float64(now-w.observedAt)/float64(workTimeDecay))
	}
	return 1 + w.excess*(w.weightUntil(now+duration)-w.weightUntil(now))/float64(duration)
}

// applyWorkTime scales the times that decide whether a prompt meets its target at the replica and delays
// the streams there. They lie within the next tenths of a second, in which the reported state holds.
func (r *replicaSnapshot) applyWorkTime(factor float64) {
	r.prefillTimePerToken = time.Duration(factor * float64(r.prefillTimePerToken))
	r.prefillFixedTime = time.Duration(factor * float64(r.prefillFixedTime))
	r.currentStepTime = time.Duration(factor * float64(r.stepTime))
}

// workTimeFactors returns the factors of the replicas that recently reported their work time, to two
// decimals, or nil if none did.
func (p *servicePool) workTimeFactors(now structs.Instant) map[string]float64 {
	var factors map[string]float64
	for _, replica := range p.replicas {
		if !replica.workTime.isRecent(now) {
			continue
		}
		if factors == nil {
			factors = map[string]float64{}
		}
		factors[replica.entry.ID] = math.Round(percent*replica.workTime.factorDuring(now, 0)) / percent
	}
	return factors
}

// integrate advances the integral to the time. It is of the speed and not of the factor because the work
// that is done in a time is the speed times the time.
func (w *workTime) integrate(now structs.Instant) {
	w.integral += speedExcess(1+w.excess) * (w.weightUntil(now) - w.weightUntil(w.integratedAt))
	w.integratedAt = now
}

// weightUntil returns the time integral of the weight of the latest report from there to the time.
func (w *workTime) weightUntil(now structs.Instant) float64 {
	age := float64(min(max(now-w.observedAt, 0), workTimeDecay))
	return age - age*age/(2*float64(workTimeDecay))
}

// speedExcess returns the speed at the factor over the mean speed, minus 1.
func speedExcess(factor float64) float64 { return 1/factor - 1 }

// responseWorkTime is the factor that held during one response; zero if the replica reported none.
type responseWorkTime struct {
	// atStart is the factor that was reported with the start, and steps the factor of the work from there to
	// the end, once it is known.
	atStart, steps float64
	// since is when the report arrived, and integral that of the replica at that time.
	since    structs.Instant
	integral float64
}

// RecordWorkTime records the work time that the replica of an assigned request reported with the start
// of its response, in percent. The start was that long after the asking node got the assignment, which
// orders reports without a common clock, however late they arrive.
func (s *Scheduler) RecordWorkTime(now structs.Instant, id string, reported int, sinceGrant time.Duration) {
	assignment, found := s.assignments[id]
	if !found || reported <= 0 || !s.isCurrentIncarnation(assignment) {
		return
	}
	state := &s.replicaState(assignment.replicaID).workTime
	factor := state.observe(now, min(now, assignment.assignedAt+max(sinceGrant, 0)), reported)
	state.integrate(now)
	assignment.workTime = responseWorkTime{atStart: factor, since: now, integral: state.integral}
}

// concludeWorkTime determines the factors that held during a response that ends now.
//
// The prefill ends with the report and is much shorter than a disturbance, so that the reported factor
// held during it. A long response outlasts a disturbance: for its steps, the mean speed is used that
// follows from what all responses of the replica reported in the meantime.
func (s *Scheduler) concludeWorkTime(now structs.Instant, assignment *assignment, observed Observation) {
	state, response := &s.replicaState(assignment.replicaID).workTime, &assignment.workTime
	if response.atStart == 0 && observed.WorkTime <= 0 {
		return
	}
	if response.atStart == 0 { // the message about the start was lost, or another scheduler got it
		// The times count from the assignment, as the message about the end may be several seconds late.
		startedAt := min(now, assignment.assignedAt+max(observed.HeadDelay, 0))
		endedAt := min(now, startedAt+max(observed.Duration-observed.HeadDelay, 0))
		response.atStart, response.since = state.observe(now, startedAt, observed.WorkTime), startedAt
		own := workTime{observedAt: startedAt}
		response.steps = response.factorUntil(endedAt, speedExcess(response.atStart)*own.weightUntil(endedAt))
		return
	}
	state.integrate(now)
	response.steps = response.factorUntil(now, state.integral-response.integral)
}

// factorUntil returns the factor of the work from the report to the time for an integral over it.
func (r *responseWorkTime) factorUntil(now structs.Instant, integral float64) float64 {
	if now <= r.since {
		return r.atStart
	}
	return 1 / (1 + integral/float64(now-r.since))
}

// atMeanSpeed returns the time that the work would have taken at the replica's mean speed.
func atMeanSpeed(observed time.Duration, factor float64) time.Duration {
	if factor <= 0 {
		return observed
	}
	return time.Duration(float64(observed) / factor)
}
