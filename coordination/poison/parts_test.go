package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/promptparts"
	"github.com/thornwalk/thornwalk/structs"
)

func partNamed(id string) Part { return Part{Key: promptparts.Key("tenant", "service", id), ID: id} }

func partsNamed(ids ...string) []Part {
	var parts []Part
	for _, id := range ids {
		parts = append(parts, partNamed(id))
	}
	return parts
}

func keysOf(parts []Part) []fingerprint.Fingerprint {
	var keys []fingerprint.Fingerprint
	for _, part := range parts {
		keys = append(keys, part.Key)
	}
	return keys
}

func (t *Tracker) partState(now structs.Instant, id string) State {
	state, _ := t.State(now, partNamed(id).Key)
	return state
}

func crashPart(t *Tracker, now structs.Instant, incarnation string, ids ...string) {
	t.RecordPartCrash(now, poisonrecords.Record{Service: "service", Tenant: "tenant"}, partsNamed(ids...), poisonrecords.Incarnation(incarnation), now)
}

// Guards against a part of all callers that is blocked for another one in the same prompts.
func TestPartsThatWereAnsweredAreNotBlamedForOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := newTestTracker()
	tracker.RecordPartAnswer(0, keysOf(partsNamed("common")))
	for i := range 3 {
		crashPart(tracker, time.Duration(i)*time.Second, fmt.Sprint("i", i), "common", "bad")
	}
	g.Expect(tracker.partState(2*time.Second, "common")).To(gomega.Equal(Clear))
	g.Expect(tracker.partState(2*time.Second, "bad")).To(gomega.Equal(Blocked))
	record, _ := tracker.Get(partNamed("bad").Key)
	g.Expect(record.Part).To(gomega.Equal("bad"))
	g.Expect(record.Tenant).To(gomega.Equal("tenant"))
	g.Expect(tracker.partState(2*time.Second, "unknown")).To(gomega.Equal(Clear))
}

// Guards against further parts that are blamed for the crashes of a part that is blocked.
func TestCrashesOfABlockedPartAreNotCountedAgainstOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := newTestTracker()
	for i := range 3 {
		crashPart(tracker, time.Duration(i)*time.Second, fmt.Sprint("i", i), "bad")
	}
	for i := range 4 {
		crashPart(tracker, time.Duration(3+i)*time.Second, fmt.Sprint("j", i), "new", "bad")
	}
	g.Expect(tracker.partState(9*time.Second, "new")).To(gomega.Equal(Clear))
}

// Guards against a part that is never blocked since it was harmless once, for example with other weights.
func TestPartThatBeginsToCrashReplicasIsBlocked(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := newTestTracker()
	tracker.RecordPartAnswer(0, keysOf(partsNamed("common")))
	for i := range 2 {
		crashPart(tracker, time.Duration(i)*time.Second, fmt.Sprint("i", i), "common")
	}
	g.Expect(tracker.partState(time.Second, "common")).To(gomega.Equal(Clear))
	crashPart(tracker, 2*time.Second, "i2", "common")
	g.Expect(tracker.partState(2*time.Second, "common")).To(gomega.Equal(Blocked))
	g.Expect(tracker.RecordPartAnswer(3*time.Second, keysOf(partsNamed("common")))).To(gomega.HaveLen(1))
	g.Expect(tracker.partState(3*time.Second, "common")).To(gomega.Equal(Clear))
}

// Guards against common parts that are blocked as many replicas crash at once, and against strikes that add up
// over answers.
func TestCommonPartIsNotBlockedByACrashOfManyReplicas(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := newTestTracker()
	tracker.RecordPartAnswer(0, keysOf(partsNamed("common")))
	for round := range 5 {
		now := time.Duration(round) * time.Minute
		for i := range 10 {
			crashPart(tracker, now+time.Duration(i)*20*time.Millisecond, fmt.Sprint("i", round, "-", i), "common")
		}
		g.Expect(tracker.partState(now+time.Second, "common")).To(gomega.Equal(Clear))
		tracker.RecordPartAnswer(now+2*time.Second, keysOf(partsNamed("common")))
	}
}

// Guards against memory that a caller can fill with parts that it makes up.
func TestPartsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := newTestTracker()
	for i := range 3 * maxProvenParts {
		tracker.RecordPartAnswer(0, keysOf(partsNamed(fmt.Sprint(i))))
		crashPart(tracker, 0, "i", fmt.Sprint("made up", i))
	}
	g.Expect(tracker.parts.proven.Len()).To(gomega.Equal(maxProvenParts))
	g.Expect(len(tracker.entries)).To(gomega.BeNumerically("<=", maxRecords))
}

// partRun is a request in progress in the simulation of parts.
type partRun struct {
	parts               []Part
	isBad               bool
	assignedAt, beginAt structs.Instant
	endAt               structs.Instant
}

// partSimulation is a service of ten replicas whose requests have one of four first parts, one of twenty second
// parts and one of their own. Requests with the bad part have it in place of the second, or before it.
type partSimulation struct {
	random   *rand.Rand
	tracker  *Tracker
	now      structs.Instant
	replicas [10]struct {
		upAt        structs.Instant
		incarnation int
		running     []*partRun
	}
	badCrashes, refused, sound int
	refusedParts               map[string]bool
}

const (
	readTime  = 100 * time.Millisecond
	writeTime = 400 * time.Millisecond
)

func (s *partSimulation) isRunning(key fingerprint.Fingerprint) bool {
	for i := range s.replicas {
		for _, run := range s.replicas[i].running {
			for _, part := range run.parts {
				if part.Key == key {
					return true
				}
			}
		}
	}
	return false
}

// submit decides on a request as the scheduler does, but for its queue: a request that would wait is sent again by
// its caller.
func (s *partSimulation) submit(parts []Part, isBad bool) {
	if !isBad {
		s.sound++
	}
	var onTrial []Part
	for _, part := range parts {
		state, _ := s.tracker.State(s.now, part.Key)
		isRunning := state != Clear && s.isRunning(part.Key)
		if state == Blocked || isRunning {
			s.refuse(part, isBad)
			return
		}
		if state == OnTrial {
			onTrial = append(onTrial, part)
		}
	}
	if len(onTrial) > 1 {
		s.refuse(onTrial[0], isBad)
		return
	}
	replica := &s.replicas[s.random.IntN(len(s.replicas))]
	if s.now < replica.upAt {
		return
	}
	for _, part := range onTrial {
		s.tracker.RecordTrial(s.now, part.Key)
	}
	begin := s.now + readTime
	replica.running = append(replica.running, &partRun{parts: parts, isBad: isBad, assignedAt: s.now, beginAt: begin, endAt: begin + writeTime})
}

func (s *partSimulation) refuse(part Part, isBad bool) {
	if isBad {
		return
	}
	for i := range s.replicas {
		if s.now >= s.replicas[i].upAt {
			s.refused++
			s.refusedParts[part.ID] = true
			return
		}
	}
}

func (s *partSimulation) crash(index int) {
	replica := &s.replicas[index]
	if s.now < replica.upAt {
		return
	}
	replica.incarnation++
	replica.upAt = s.now + 2*time.Second
	incarnation := poisonrecords.Incarnation(fmt.Sprint(index, "/", replica.incarnation))
	for _, run := range replica.running {
		if s.now >= run.beginAt && !run.isBad {
			s.tracker.RecordPartAnswer(s.now, keysOf(run.parts))
			continue
		}
		if run.isBad {
			s.badCrashes++
		}
		s.tracker.RecordPartCrash(s.now, poisonrecords.Record{Service: "service", Tenant: "tenant"}, run.parts, incarnation, run.assignedAt)
	}
	replica.running = nil
}

func (s *partSimulation) step(fault func(*partSimulation), badShare float64) {
	s.now += stepTime
	if s.random.Float64() < 0.4 {
		s.submit(partsNamed(fmt.Sprint("first", s.random.IntN(4)), fmt.Sprint("second", s.random.IntN(20))), false)
	}
	if s.random.Float64() < badShare {
		s.submit(partsNamed("first0", "bad", fmt.Sprint("second", s.random.IntN(20))), true)
	}
	fault(s)
	for i := range s.replicas {
		var remaining []*partRun
		for _, run := range s.replicas[i].running {
			switch {
			case run.isBad && s.now >= run.beginAt:
				s.crash(i)
			case s.now >= run.endAt:
				s.tracker.RecordPartAnswer(s.now, keysOf(run.parts))
			default:
				remaining = append(remaining, run)
			}
		}
		if s.now >= s.replicas[i].upAt {
			s.replicas[i].running = remaining
		}
	}
}

// The blame must name the bad part within the policy's bound and spare the parts beside it, also with crashes for
// other reasons, of many replicas at once, and after a change of the scheduling node to one that has seen nothing.
func TestBlameNamesTheBadPart(t *testing.T) {
	faults := map[string]func(*partSimulation){
		"none": func(*partSimulation) {},
		"half of the pool at once, every 10 s": func(s *partSimulation) {
			for i := range 5 * btoi(s.now%(10*time.Second) == 0) {
				s.crash(i)
			}
		},
		"all at once, every 20 s": func(s *partSimulation) {
			for i := range 10 * btoi(s.now%(20*time.Second) == 0) {
				s.crash(i)
			}
		},
		"three that flap, every 4 s": func(s *partSimulation) {
			for i := range 3 * btoi(s.now%(4*time.Second) == 0) {
				s.crash(i)
			}
		},
		"a scheduling node that has seen nothing, at 20 s": func(s *partSimulation) {
			if s.now == 20*time.Second {
				s.tracker = newTestTracker()
			}
		},
	}
	for name, fault := range faults {
		for _, badShare := range []float64{0, 0.03, 0.15} {
			t.Run(fmt.Sprint(name, ", bad ", badShare), func(t *testing.T) {
				const seeds = 20
				crashes, most, refused, sound, parts := 0, 0, 0, 0, 0
				for seed := range uint64(seeds) {
					s := &partSimulation{random: rand.New(rand.NewPCG(seed, 2)), tracker: newTestTracker(), refusedParts: map[string]bool{}}
					for s.now < time.Minute {
						s.step(fault, badShare)
					}
					crashes, most = crashes+s.badCrashes, max(most, s.badCrashes)
					refused, sound, parts = refused+s.refused, sound+s.sound, parts+len(s.refusedParts)
				}
				t.Logf("%.1f crashes under the bad part a seed, %d at most; %d of %d sound requests refused, for %d parts", float64(crashes)/seeds, most, refused, sound, parts)
				g := gomega.NewWithT(t)
				g.Expect(float64(refused)).To(gomega.BeNumerically("<", 0.01*float64(sound)))
				g.Expect(most).To(gomega.BeNumerically("<=", 16))
			})
		}
	}
}

func btoi(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
