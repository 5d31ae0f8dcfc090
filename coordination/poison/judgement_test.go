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

// Two ways to tell who is innocent are compared over seeds: the count of lives since the last
// answer, which the ledger goes by, and a likelihood ratio (Wald's sequential test) of a
// request that ends nine in ten of the replicas that run it against one that is beside an end
// as often as all requests of the service are.

// judge is one of the ways.
type judge interface {
	standing(now structs.Instant, of poisonrecords.Record) State
	began(now structs.Instant, of poisonrecords.Record)
	ended(now structs.Instant, of poisonrecords.Record, life poisonrecords.Incarnation, placed structs.Instant)
	answered(now structs.Instant, of poisonrecords.Record)
}

// byCount is the ledger.
type byCount struct{ *Tracker }

func (j byCount) standing(now structs.Instant, of poisonrecords.Record) State {
	return j.standingAt(now, of)
}
func (j byCount) began(now structs.Instant, of poisonrecords.Record) {
	if j.standingAt(now, of) == OnTrial {
		j.RecordTrial(now, of.Fingerprint)
	}
}
func (j byCount) ended(now structs.Instant, of poisonrecords.Record, life poisonrecords.Incarnation, placed structs.Instant) {
	_, _ = j.RecordCrash(now, of, life, placed)
}
func (j byCount) answered(now structs.Instant, of poisonrecords.Record) {
	j.RecordSuccess(now, of.Fingerprint)
}

// byLikelihood bars at a sum of log-likelihoods that an innocent request reaches once in ten
// thousand.
type byLikelihood struct {
	sums map[fingerprint.Fingerprint]float64
	// share is the smoothed part of all runs that were beside an end.
	share float64
}

const (
	deadlyShare   = 0.9
	likelihoodBar = 9.2
)

func (j *byLikelihood) standing(_ structs.Instant, of poisonrecords.Record) State {
	switch sum := j.sums[of.Fingerprint]; {
	case sum >= likelihoodBar:
		return Blocked
	case sum > 0:
		return Suspect
	}
	return Clear
}
func (j *byLikelihood) began(structs.Instant, poisonrecords.Record) {}
func (j *byLikelihood) ended(_ structs.Instant, of poisonrecords.Record, _ poisonrecords.Incarnation, _ structs.Instant) {
	j.sums[of.Fingerprint] += math.Log(deadlyShare / max(j.share, 0.01))
	j.share += 0.01 * (1 - j.share)
}
func (j *byLikelihood) answered(_ structs.Instant, of poisonrecords.Record) {
	j.sums[of.Fingerprint] = max(0, j.sums[of.Fingerprint]+math.Log((1-deadlyShare)/(1-j.share)))
	j.share -= 0.01 * j.share
}

// world is a service of some replicas with callers, in steps of ten milliseconds.
type world struct {
	random   *rand.Rand
	judge    judge
	replicas [10]struct {
		backAt structs.Instant
		life   int
		runs   []*run
	}
	now structs.Instant
	// ends counts lives that ended under the deadly request, refused the refusals of popular
	// requests as barred, asked how many were asked for, and verdicts the barred innocents.
	ends, refused, asked int
	verdicts             map[fingerprint.Fingerprint]bool
}

type run struct {
	of     poisonrecords.Record
	deadly bool
	placed structs.Instant
	endsAt structs.Instant
}

const (
	worldStep   = 10 * time.Millisecond
	worldTime   = time.Minute
	downTime    = 2 * time.Second
	runTime     = 200 * time.Millisecond
	popularMost = 5
)

// isUp returns whether any replica runs: else nobody can be served.
func (w *world) isUp() bool {
	for i := range w.replicas {
		if w.now >= w.replicas[i].backAt {
			return true
		}
	}
	return false
}

func (w *world) ask(of poisonrecords.Record, deadly bool) {
	standing := w.judge.standing(w.now, of)
	running := 0
	for i := range w.replicas {
		for _, held := range w.replicas[i].runs {
			if held.of.Fingerprint == of.Fingerprint {
				running++
			}
		}
	}
	if standing == Blocked || standing == OnTrial && running > 0 {
		if !deadly && w.isUp() {
			w.refused++
			w.verdicts[of.Fingerprint] = true
		}
		return
	}
	if standing == Suspect && running > 0 {
		return // it waits; its caller comes again
	}
	at := &w.replicas[w.random.IntN(len(w.replicas))]
	if w.now < at.backAt {
		return
	}
	w.judge.began(w.now, of)
	at.runs = append(at.runs, &run{of: of, deadly: deadly, placed: w.now, endsAt: w.now + runTime})
}

// end ends the replica, with all that runs there.
func (w *world) end(number int) {
	at := &w.replicas[number]
	if w.now < at.backAt {
		return
	}
	at.life++
	at.backAt = w.now + downTime
	for _, held := range at.runs {
		w.judge.ended(w.now, held.of, poisonrecords.Incarnation(fmt.Sprint(number, "/", at.life)), held.placed)
		if held.deadly {
			w.ends++
		}
	}
	at.runs = nil
}

func (w *world) step(trouble func(*world), deadly bool) {
	w.now += worldStep
	for i := range popularMost {
		if w.random.Float64() < 0.2 {
			w.asked++
			w.ask(named(fmt.Sprint("popular", i)), false)
		}
	}
	if w.random.Float64() < 0.3 {
		w.ask(named(fmt.Sprint("once", w.now)), false)
	}
	if deadly && w.random.Float64() < 0.05 {
		w.ask(named("deadly"), true)
	}
	trouble(w)
	for i := range w.replicas {
		at := &w.replicas[i]
		var left []*run
		for _, held := range at.runs {
			switch {
			case held.deadly && w.now-held.placed >= 4*worldStep:
				w.end(i)
			case w.now >= held.endsAt:
				w.judge.answered(w.now, held.of)
			default:
				left = append(left, held)
			}
		}
		if w.now >= at.backAt {
			at.runs = left
		}
	}
}

// troubles are replicas that end for reasons of their own.
var troubles = map[string]func(*world){
	"none": func(*world) {},
	"half of the pool at once, every 10 s": func(w *world) {
		if w.now%(10*time.Second) == 0 {
			for i := range len(w.replicas) / 2 {
				w.end(i)
			}
		}
	},
	"all at once, every 20 s": func(w *world) {
		if w.now%(20*time.Second) == 0 {
			for i := range w.replicas {
				w.end(i)
			}
		}
	},
	"three that flap, every 4 s": func(w *world) {
		if w.now%(4*time.Second) == 0 {
			for i := range 3 {
				w.end(i)
			}
		}
	},
}

// rates plays the trouble over seeds.
func rates(make func() judge, trouble func(*world), deadly bool) (ends, missed, innocents int, refused float64) {
	const seeds = 20
	asked := 0
	for seed := range uint64(seeds) {
		w := &world{random: rand.New(rand.NewPCG(seed, 1)), judge: make(), verdicts: map[fingerprint.Fingerprint]bool{}}
		for w.now < worldTime {
			w.step(trouble, deadly)
		}
		ends += w.ends
		if w.ends > DefaultPolicy().CrashThreshold+DefaultPolicy().Trials {
			missed++
		}
		innocents += len(w.verdicts)
		refused += float64(w.refused)
		asked += w.asked
	}
	return ends, missed, innocents, refused / float64(asked)
}

func TestACountOfLivesFindsWhatEndsReplicasAndSparesTheRest(t *testing.T) {
	g := gomega.NewWithT(t)
	count := func() judge { return byCount{ledger()} }
	likelihood := func() judge { return &byLikelihood{sums: map[fingerprint.Fingerprint]float64{}} }
	for name, trouble := range troubles {
		for _, deadly := range []bool{false, true} {
			ends, missed, innocents, refused := rates(count, trouble, deadly)
			otherEnds, otherMissed, otherInnocents, otherRefused := rates(likelihood, trouble, deadly)
			t.Logf("%s, deadly %v: count: %d ends, %d of 20 missed, %d innocents barred, %.4f refused; likelihood: %d, %d, %d, %.4f",
				name, deadly, ends, missed, innocents, refused, otherEnds, otherMissed, otherInnocents, otherRefused)
			g.Expect(missed).To(gomega.BeZero(), name)
			g.Expect(refused).To(gomega.BeNumerically("<", 0.02), name)
		}
	}
}
