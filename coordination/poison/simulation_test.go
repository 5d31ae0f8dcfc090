package poison

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/structs"
)

// The simulation compares two detectors over several seeds: the Tracker, and a sequential
// likelihood ratio test (Wald) of a request that crashes nine in ten replicas against one that is
// present at a crash as often as the average request.

// detector decides which requests may be sent.
type detector interface {
	state(now structs.Instant, request poisonrecords.Record) State
	started(now structs.Instant, request poisonrecords.Record)
	crashed(now structs.Instant, request poisonrecords.Record, incarnation poisonrecords.Incarnation, assignedAt structs.Instant)
	answered(now structs.Instant, request poisonrecords.Record)
}

// countDetector uses the Tracker.
type countDetector struct{ *Tracker }

func (d countDetector) state(now structs.Instant, request poisonrecords.Record) State {
	return d.stateAt(now, request)
}
func (d countDetector) started(now structs.Instant, request poisonrecords.Record) {
	if d.stateAt(now, request) == OnTrial {
		d.RecordTrial(now, request.Fingerprint)
	}
}
func (d countDetector) crashed(now structs.Instant, request poisonrecords.Record, incarnation poisonrecords.Incarnation, assignedAt structs.Instant) {
	_, _ = d.RecordCrash(now, request, incarnation, assignedAt)
}
func (d countDetector) answered(now structs.Instant, request poisonrecords.Record) {
	d.RecordSuccess(now, request.Fingerprint)
}

// likelihoodDetector blocks a request once its sum of log-likelihood ratios reaches
// blockThreshold.
type likelihoodDetector struct {
	sums map[fingerprint.Fingerprint]float64
	// crashShare is the smoothed share of all runs that ended in a crash.
	crashShare float64
}

const (
	poisonCrashShare = 0.9
	// blockThreshold is exceeded by one in ten thousand innocent requests.
	blockThreshold = 9.2
)

func (d *likelihoodDetector) state(_ structs.Instant, request poisonrecords.Record) State {
	switch sum := d.sums[request.Fingerprint]; {
	case sum >= blockThreshold:
		return Blocked
	case sum > 0:
		return Suspect
	}
	return Clear
}
func (d *likelihoodDetector) started(structs.Instant, poisonrecords.Record) {}
func (d *likelihoodDetector) crashed(_ structs.Instant, request poisonrecords.Record, _ poisonrecords.Incarnation, _ structs.Instant) {
	d.sums[request.Fingerprint] += math.Log(poisonCrashShare / max(d.crashShare, 0.01))
	d.crashShare += 0.01 * (1 - d.crashShare)
}
func (d *likelihoodDetector) answered(_ structs.Instant, request poisonrecords.Record) {
	d.sums[request.Fingerprint] = max(0, d.sums[request.Fingerprint]+math.Log((1-poisonCrashShare)/(1-d.crashShare)))
	d.crashShare -= 0.01 * d.crashShare
}

// simulation is a service with ten replicas and its callers.
type simulation struct {
	random   *rand.Rand
	detector detector
	replicas [10]struct {
		upAt        structs.Instant
		incarnation int
		running     []*execution
	}
	now structs.Instant
	// poisonCrashes counts executions of the poison request that ended in a crash, rejected the
	// rejections of innocent requests, and arrivals those of popular requests.
	poisonCrashes, rejected, arrivals int
	// blockedInnocents are the innocent requests that were rejected.
	blockedInnocents map[fingerprint.Fingerprint]bool
}

// execution is a request running at a replica.
type execution struct {
	request    poisonrecords.Record
	isPoison   bool
	assignedAt structs.Instant
	endsAt     structs.Instant
}

const (
	stepTime        = 10 * time.Millisecond
	simulatedTime   = time.Minute
	downtime        = 2 * time.Second
	executionTime   = 200 * time.Millisecond
	popularRequests = 5
)

// isUp reports whether any replica is up.
func (s *simulation) isUp() bool {
	for i := range s.replicas {
		if s.now >= s.replicas[i].upAt {
			return true
		}
	}
	return false
}

// submit sends the request to a random replica if the detector allows it and the replica is up.
func (s *simulation) submit(request poisonrecords.Record, isPoison bool) {
	state := s.detector.state(s.now, request)
	running := 0
	for i := range s.replicas {
		for _, execution := range s.replicas[i].running {
			if execution.request.Fingerprint == request.Fingerprint {
				running++
			}
		}
	}
	if state == Blocked || state == OnTrial && running > 0 {
		if !isPoison && s.isUp() {
			s.rejected++
			s.blockedInnocents[request.Fingerprint] = true
		}
		return
	}
	if state == Suspect && running > 0 {
		return // stays queued; the caller submits it again
	}
	replica := &s.replicas[s.random.IntN(len(s.replicas))]
	if s.now < replica.upAt {
		return
	}
	s.detector.started(s.now, request)
	replica.running = append(replica.running, &execution{request: request, isPoison: isPoison, assignedAt: s.now, endsAt: s.now + executionTime})
}

// crash ends the replica's incarnation with all its executions.
func (s *simulation) crash(index int) {
	replica := &s.replicas[index]
	if s.now < replica.upAt {
		return
	}
	replica.incarnation++
	replica.upAt = s.now + downtime
	for _, execution := range replica.running {
		s.detector.crashed(s.now, execution.request, poisonrecords.Incarnation(fmt.Sprint(index, "/", replica.incarnation)), execution.assignedAt)
		if execution.isPoison {
			s.poisonCrashes++
		}
	}
	replica.running = nil
}

// step advances the simulation by stepTime.
func (s *simulation) step(injectFault func(*simulation), withPoison bool) {
	s.now += stepTime
	for i := range popularRequests {
		if s.random.Float64() < 0.2 {
			s.arrivals++
			s.submit(requestNamed(fmt.Sprint("popular", i)), false)
		}
	}
	if s.random.Float64() < 0.3 {
		s.submit(requestNamed(fmt.Sprint("once", s.now)), false)
	}
	if withPoison && s.random.Float64() < 0.05 {
		s.submit(requestNamed("poison"), true)
	}
	injectFault(s)
	for i := range s.replicas {
		replica := &s.replicas[i]
		var remaining []*execution
		for _, execution := range replica.running {
			switch {
			case execution.isPoison && s.now-execution.assignedAt >= 4*stepTime:
				s.crash(i)
			case s.now >= execution.endsAt:
				s.detector.answered(s.now, execution.request)
			default:
				remaining = append(remaining, execution)
			}
		}
		if s.now >= replica.upAt {
			replica.running = remaining
		}
	}
}

// faults crash replicas independently of the poison request.
var faults = map[string]func(*simulation){
	"none": func(*simulation) {},
	"half of the pool at once, every 10 s": func(s *simulation) {
		if s.now%(10*time.Second) == 0 {
			for i := range len(s.replicas) / 2 {
				s.crash(i)
			}
		}
	},
	"all at once, every 20 s": func(s *simulation) {
		if s.now%(20*time.Second) == 0 {
			for i := range s.replicas {
				s.crash(i)
			}
		}
	},
	"three that flap, every 4 s": func(s *simulation) {
		if s.now%(4*time.Second) == 0 {
			for i := range 3 {
				s.crash(i)
			}
		}
	},
}

// simulate runs the fault over all seeds. It returns the crashes under the poison request, the
// seeds in which these exceed the policy's bound, the blocked innocent requests, and the rejections
// of innocent requests per arrival of a popular one.
func simulate(newDetector func() detector, fault func(*simulation), withPoison bool) (poisonCrashes, missed, innocents int, rejectedShare float64) {
	const seeds = 20
	arrivals := 0
	for seed := range uint64(seeds) {
		s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), detector: newDetector(), blockedInnocents: map[fingerprint.Fingerprint]bool{}}
		for s.now < simulatedTime {
			s.step(fault, withPoison)
		}
		poisonCrashes += s.poisonCrashes
		if s.poisonCrashes > DefaultPolicy().CrashThreshold+DefaultPolicy().Trials {
			missed++
		}
		innocents += len(s.blockedInnocents)
		rejectedShare += float64(s.rejected)
		arrivals += s.arrivals
	}
	return poisonCrashes, missed, innocents, rejectedShare / float64(arrivals)
}

// The crash count must block every poison request within the policy's bound, and reject few
// innocent requests, also while replicas crash for unrelated reasons.
func TestCrashCountBlocksPoisonAndSparesInnocentRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	newCount := func() detector { return countDetector{newTestTracker()} }
	newLikelihood := func() detector { return &likelihoodDetector{sums: map[fingerprint.Fingerprint]float64{}} }
	for name, fault := range faults {
		for _, withPoison := range []bool{false, true} {
			poisonCrashes, missed, innocents, rejectedShare := simulate(newCount, fault, withPoison)
			otherCrashes, otherMissed, otherInnocents, otherShare := simulate(newLikelihood, fault, withPoison)
			t.Logf("%s, with poison request %v: count: %d crashes, %d of 20 seeds missed, %d innocent requests blocked, %.4f rejected; likelihood: %d, %d, %d, %.4f",
				name, withPoison, poisonCrashes, missed, innocents, rejectedShare, otherCrashes, otherMissed, otherInnocents, otherShare)
			g.Expect(missed).To(gomega.BeZero(), name)
			g.Expect(rejectedShare).To(gomega.BeNumerically("<", 0.02), name)
		}
	}
}
