package admission

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// The load of an engine service whose replicas share machines: the speeds of the replicas differ by a
// factor of 3; at any time 15 % of them take 2.5 times as long, which is redrawn about every 600 ms, at
// each replica for itself.
const (
	disturbedReplicas = 140
	disturbedSlots    = 4
	disturbedShare    = 0.15
	disturbedWorkTime = 250 // percent
	redrawMS          = 600
	stepMS            = 6.35 // a token at a replica of speed 1
	promptTokensPerMS = 42.8
	tokensPerEvent    = 4
	messageDelayMS    = 5 // between nodes
	learningMS        = 5000
)

// disturbedRoutes are the routes of the service with their requests per millisecond at demand 1.
var disturbedRoutes = []struct {
	prompt, events   int
	perMS            float64
	target, deadline time.Duration
}{
	{2890, 13, 0.259, 600 * ms, 6 * time.Second},
	{1800, 6, 0.334, time.Second, 4 * time.Second},
	{543, 70, 0.108, time.Second, 15 * time.Second},
}

// disturbedVariant is a way to choose replicas.
type disturbedVariant struct {
	name string
	// reports is true if replicas report their work time.
	reports bool
	// choices, if positive, is the number of random replicas with a free slot among which the cheapest is
	// chosen.
	choices int
}

var disturbedVariants = []disturbedVariant{{name: "as it is"}, {name: "factor", reports: true}, {name: "factor, two choices", reports: true, choices: 2}}

// disturbedReplica is a replica with its true speed and work time.
type disturbedReplica struct {
	speed, workTime float64
	redrawAt        int
}

// disturbedRequest is a request and its response.
type disturbedRequest struct {
	Request
	route, submittedAt, sentAt, headAt int
	replica                            *disturbedReplica
	// prefillLeft and stepsLeft are in ms at a replica of speed 1 at its usual work time.
	prefillLeft, stepsLeft float64
}

// disturbedRun plays requests in steps of a millisecond.
type disturbedRun struct {
	disturbedVariant
	*Scheduler
	random   *rand.Rand
	all      []replicas.Replica
	replicas map[string]*disturbedReplica
	now      int
	// calls are what arrives at a time, from other nodes or at replicas.
	calls map[int][]func()
	// waiting are the requests that are not submitted yet, in variants with choices.
	waiting []*disturbedRequest
	queue   map[string]*disturbedRequest
	running []*disturbedRequest
	// times are the response times, decided and answered the numbers of requests, and learned the ratios
	// of learned step times to the true ones.
	times, learned    []float64
	decided, answered int
}

// disturbedResult has the mean and the 95th percentile of the response times in ms, the share of
// answered requests, and the variation of the learned step times over the true ones.
type disturbedResult struct{ mean, p95, answered, spread float64 }

func (r *disturbedRun) instant() structs.Instant { return structs.Instant(r.now) * structs.Instant(ms) }

// later calls after the delay of a message.
func (r *disturbedRun) later(call func()) {
	r.calls[r.now+messageDelayMS] = append(r.calls[r.now+messageDelayMS], call)
}

// playDisturbed runs the load at the demand. Requests of the first seconds only teach the speeds.
func playDisturbed(seed uint64, demand float64, seconds int, variant disturbedVariant) disturbedResult {
	r := &disturbedRun{disturbedVariant: variant, Scheduler: New(), random: rand.New(rand.NewPCG(seed, 1)), replicas: map[string]*disturbedReplica{}, calls: map[int][]func(){}, queue: map[string]*disturbedRequest{}}
	for i := range disturbedReplicas {
		id := fmt.Sprintf("r%03d", i)
		r.all = append(r.all, replicas.Replica{ID: id, Service: "s", Slots: disturbedSlots})
		r.replicas[id] = &disturbedReplica{speed: 0.6 + 1.2*float64(i)/(disturbedReplicas-1), redrawAt: r.random.IntN(redrawMS)}
	}
	r.SetReplicas(0, r.all)
	arrivals := rand.New(rand.NewPCG(seed, 2))
	for ; r.now < seconds*1000; r.now++ {
		r.redraw()
		for _, call := range r.calls[r.now] {
			call()
		}
		delete(r.calls, r.now)
		r.work()
		for route, profile := range disturbedRoutes {
			for chance := arrivals.Float64(); chance < demand*profile.perMS; chance++ {
				r.arrive(route)
			}
		}
		if r.now%2 == 0 {
			r.decide()
		}
		if r.now >= learningMS && r.now%1000 == 0 {
			for id, replica := range r.replicas {
				r.learned = append(r.learned, float64(r.replicaState(id).speed.stepTime)*replica.speed)
			}
		}
	}
	slices.Sort(r.times)
	mean, spread := average(r.learned), 0.0
	for _, ratio := range r.learned {
		spread += (ratio - mean) * (ratio - mean) / float64(len(r.learned))
	}
	return disturbedResult{average(r.times), r.times[len(r.times)*95/100], float64(r.answered) / float64(r.decided), math.Sqrt(spread) / mean}
}

func average(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

func (r *disturbedRun) redraw() {
	for _, replica := range r.all {
		state := r.replicas[replica.ID]
		if state.workTime == 0 || r.now == state.redrawAt {
			state.workTime, state.redrawAt = percent, max(state.redrawAt, r.now+redrawMS*2/3+r.random.IntN(redrawMS*2/3))
			if r.random.Float64() < disturbedShare {
				state.workTime = disturbedWorkTime
			}
		}
	}
}

func (r *disturbedRun) arrive(route int) {
	profile := disturbedRoutes[route]
	request := &disturbedRequest{route: route, submittedAt: r.now, prefillLeft: float64(profile.prompt) / promptTokensPerMS, stepsLeft: float64(profile.events*tokensPerEvent) * stepMS}
	request.Request = Request{
		ID: fmt.Sprint("q", r.now, "-", route, "-", r.random.Int64()), Node: "n", Service: "s", Priority: route, PromptTokens: profile.prompt, AnswerTokens: profile.events * tokensPerEvent,
		TokensPerEvent: tokensPerEvent, Target: profile.target, Deadline: profile.deadline, Patience: profile.deadline * 45 / 100,
	}
	if r.choices > 0 {
		r.waiting = append(r.waiting, request)
		return
	}
	r.submit(request)
}

func (r *disturbedRun) submit(request *disturbedRequest) {
	r.queue[request.ID] = request
	r.Submit(r.instant(), request.WithElapsed(time.Duration(r.now-request.submittedAt)*ms))
}

// decide runs a round of decisions, or one for each waiting request in variants with choices, where all
// replicas but the random ones count as tried.
func (r *disturbedRun) decide() {
	if r.choices == 0 {
		r.apply(r.Decide(r.instant()))
	}
	slices.SortStableFunc(r.waiting, func(a, b *disturbedRequest) int { return a.route - b.route })
	for len(r.waiting) > 0 {
		var free []string
		for _, replica := range r.all {
			if r.replicaState(replica.ID).assigned < disturbedSlots {
				free = append(free, replica.ID)
			}
		}
		if len(free) == 0 {
			return
		}
		r.random.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
		chosen := free[:min(len(free), r.choices)]
		request := r.waiting[0]
		r.waiting = r.waiting[1:]
		for _, replica := range r.all {
			if !slices.Contains(chosen, replica.ID) {
				request.Tried = append(request.Tried, replica.ID)
			}
		}
		r.submit(request)
		r.apply(r.Decide(r.instant()))
	}
}

// apply starts the assigned requests at their replicas after the delay of a message.
func (r *disturbedRun) apply(decisions []Decision) {
	for _, decision := range decisions {
		request := r.queue[decision.ID]
		delete(r.queue, decision.ID)
		if request.submittedAt >= learningMS {
			r.decided++
		}
		if decision.Reason != ReasonNone {
			continue
		}
		if request.submittedAt >= learningMS {
			r.answered++
		}
		request.replica, request.sentAt = r.replicas[decision.Replica.ID], r.now+messageDelayMS
		r.later(func() { r.running = append(r.running, request) })
	}
}

// work advances the responses by a millisecond and reports their starts and ends.
func (r *disturbedRun) work() {
	unfinished := r.running[:0]
	for _, request := range r.running {
		progress := request.replica.speed * percent / request.replica.workTime
		switch {
		case request.prefillLeft > 0:
			if request.prefillLeft -= progress; request.prefillLeft <= 0 {
				request.headAt = r.now
				workTime, sinceGrant := int(request.replica.workTime), time.Duration(r.now-request.sentAt)*ms
				r.later(func() {
					r.RecordFirstEvent(r.instant(), request.ID, -1)
					if r.reports {
						r.RecordWorkTime(r.instant(), request.ID, workTime, sinceGrant)
					}
				})
			}
		default:
			if request.stepsLeft -= progress; request.stepsLeft <= 0 {
				if request.submittedAt >= learningMS {
					r.times = append(r.times, float64(r.now-request.submittedAt))
				}
				observed := Observation{FirstEvent: time.Duration(request.headAt-request.sentAt) * ms, Duration: time.Duration(r.now-request.sentAt) * ms, Events: disturbedRoutes[request.route].events, TokensPerEvent: tokensPerEvent}
				r.later(func() { r.Finish(r.instant(), request.ID, observed) })
				continue
			}
		}
		unfinished = append(unfinished, request)
	}
	clear(r.running[len(unfinished):])
	r.running = unfinished
}

var (
	disturbedSeeds   = flag.Uint64("disturbed-seeds", 2, "number of seeds over which the comparison of disturbed replicas takes the mean")
	disturbedSeconds = flag.Int("disturbed-seconds", 15, "seconds of each run of the comparison of disturbed replicas")
)

// Guards against a factor that makes responses slower than without it, and against learned speeds that
// vary with short disturbances. At full load there is rarely a choice between free slots.
func TestWorkTimesShortenResponsesOfDisturbedReplicas(t *testing.T) {
	for _, load := range []struct {
		name     string
		demand   float64
		maxRatio float64
	}{{"moderate", 0.9, 0.98}, {"full", 1.7, 1.01}} {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			results := make([]disturbedResult, len(disturbedVariants))
			for i, variant := range disturbedVariants {
				for seed := range *disturbedSeeds {
					one, share := playDisturbed(seed, load.demand, *disturbedSeconds, variant), 1/float64(*disturbedSeeds)
					results[i].mean += one.mean * share
					results[i].p95 += one.p95 * share
					results[i].answered += one.answered * share
					results[i].spread += one.spread * share
				}
				t.Logf("%-20s mean %.0f ms, 95th percentile %.0f ms, answered %.3f, variation of learned step times %.3f", variant.name, results[i].mean, results[i].p95, results[i].answered, results[i].spread)
			}
			asItIs, factor, twoChoices := results[0], results[1], results[2]
			g.Expect(factor.mean).To(gomega.BeNumerically("<", asItIs.mean*load.maxRatio))
			g.Expect(factor.p95).To(gomega.BeNumerically("<", asItIs.p95*load.maxRatio))
			g.Expect(factor.mean).To(gomega.BeNumerically("<", twoChoices.mean))
			g.Expect(factor.answered).To(gomega.BeNumerically(">", asItIs.answered-0.002))
			g.Expect(factor.spread).To(gomega.BeNumerically("<", asItIs.spread*0.7))
		})
	}
}
