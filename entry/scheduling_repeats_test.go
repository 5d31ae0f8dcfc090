package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/quota"
	"github.com/thornwalk/thornwalk/coordination/retrybudget"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// silentService is a load of streams on a service whose engines are all silent for a while. Nodes request a second
// assignment for many of the streams, and cancel these requests when the engines go on.
type silentService struct {
	policy schedulingPolicy
	seed   uint64
	// streamTime is the mean time of a stream, and target the time for the first part of an answer to be in time.
	streamTime, target time.Duration
	// repeats is the number of second requests, of streams of all ranks or only of those of the highest. They are
	// marked as held if held is true.
	repeats           int
	onlyTopRank, held bool
}

const (
	silentReplicas, silentSlots = 40, 4
	silentRanks                 = 2
	silentFirstsPerSecond       = 60
	silentDeadline              = 20 * time.Second
	silentPatience              = 1800 * time.Millisecond
	// Engines are silent from silentFrom to silentUntil, and nodes notice within silentSpread from silentNoticed.
	silentFrom    = 4 * time.Second
	silentNoticed = silentFrom + 1200*time.Millisecond
	silentSpread  = 100 * time.Millisecond
	silentUntil   = silentFrom + 1300*time.Millisecond
	silentEnd     = silentFrom + 6*time.Second
	// A repeat that is refused is requested again after silentRepeatInterval.
	silentRepeatInterval = 100 * time.Millisecond
)

// silentQuota is so large that it rejects none of the requests, and adds less than one unit during a play.
var silentQuota = quota.Limit{Rate: 0.05, Burst: 2000}

// silentDecision is the decision on a first request or a repeat.
type silentDecision struct {
	isRepeat         bool
	rank             int
	submitted, ended structs.Instant
	reason           string
}

func (d silentDecision) waited() time.Duration { return d.ended - d.submitted }

// silentResult is what a play of a silentService showed.
type silentResult struct {
	decisions []silentDecision
	// left is what the service still held at the end.
	inFlight, charges, queued int
	retries                   retrybudget.Stats
	// repeatLevel is the level of the bucket that the repeats are charged to.
	repeatLevel float64
}

// firsts returns the decisions on first requests submitted from the silence on.
func (r *silentResult) firsts() []silentDecision {
	return slices.DeleteFunc(slices.Clone(r.decisions), func(d silentDecision) bool { return d.isRepeat || d.submitted < silentFrom })
}

// rejected counts the first requests that were rejected for the reason, or for any if it is empty.
func (r *silentResult) rejected(reason string) int {
	count := 0
	for _, d := range r.firsts() {
		if d.reason != "" && (reason == "" || d.reason == reason) {
			count++
		}
	}
	return count
}

// waits returns the median, the 95th percentile and the longest wait of the first requests that were assigned.
func (r *silentResult) waits() (median, high, longest time.Duration) {
	var waits []time.Duration
	for _, d := range r.firsts() {
		if d.reason == "" {
			waits = append(waits, d.waited().Round(time.Millisecond))
		}
	}
	slices.Sort(waits)
	return waits[len(waits)/2], waits[len(waits)*95/100], waits[len(waits)-1]
}

// overtaken counts the repeats that were assigned while a first request of the same or a higher rank waited on.
func (r *silentResult) overtaken() int {
	count := 0
	for _, repeat := range r.decisions {
		if repeat.isRepeat && repeat.reason == "" && slices.ContainsFunc(r.decisions, func(first silentDecision) bool {
			return !first.isRepeat && first.rank <= repeat.rank && first.submitted < repeat.ended && first.ended > repeat.ended
		}) {
			count++
		}
	}
	return count
}

func (r *silentResult) String() string {
	median, high, longest := r.waits()
	granted := 0
	for _, d := range r.decisions {
		if d.isRepeat && d.reason == "" {
			granted++
		}
	}
	return fmt.Sprintf("%d first requests, %d rejected (%d backlog), waits %v %v %v; %d repeats assigned, %d of them before a first", len(r.firsts()), r.rejected(""), r.rejected(string(admission.ReasonBacklog)), median, high, longest, granted, r.overtaken())
}

// play runs the load in virtual time.
func (l silentService) play(t *testing.T) *silentResult {
	result := &silentResult{}
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		clock := func() structs.Instant { return time.Since(start) }
		service := newSchedulingService(clock, retrybudget.Policy{Slack: 400, Window: time.Hour}, true)
		defer service.timer.Stop()
		service.setActive(true)
		service.setPolicy(l.policy)
		service.update(func(scheduler *admission.Scheduler) {
			var all []replicas.Replica
			for i := range silentReplicas {
				all = append(all, replicas.Replica{ID: fmt.Sprint("r", i), Service: "s", Slots: silentSlots})
			}
			scheduler.SetReplicas(0, all)
		})
		var mutex sync.Mutex
		var group sync.WaitGroup
		record := func(d silentDecision) {
			mutex.Lock()
			defer mutex.Unlock()
			result.decisions = append(result.decisions, d)
		}
		newRequest := func(id string, rank int) *assignRequest {
			return &assignRequest{
				Request: admission.Request{
					ID: id, Node: "n", Service: "s", Route: fmt.Sprint("rank", rank), Priority: rank, Tenant: fmt.Sprint("t", rank), Weight: 1, Fingerprint: fingerprint.Of("", "", "", id[:len(id)-2], nil),
					PromptTokens: 200, AnswerTokens: 100, TokensPerEvent: 1, Deadline: silentDeadline, Target: l.target, Patience: silentPatience,
				},
				Tenant: "first", Limit: silentQuota, Cost: 1,
			}
		}
		// running has, by ID, the replicas of the streams.
		running := map[string]string{}
		stream := func(id string, rank int, length time.Duration) {
			request := newRequest(id, rank)
			request.First = true
			submitted := clock()
			reply := service.assign(t.Context(), request)
			record(silentDecision{rank: rank, submitted: submitted, ended: clock(), reason: reply.Reason})
			if reply.Reason != "" {
				return
			}
			begun := clock()
			mutex.Lock()
			running[id] = reply.Replica.ID
			mutex.Unlock()
			// The rest of what is sent during the silence arrives after it.
			end := begun + length
			if begun < silentUntil && end > silentFrom {
				end += silentUntil - max(begun, silentFrom)
			}
			time.Sleep(100 * time.Millisecond)
			service.recordFirstEvent(&firstEventRequest{ID: id, Load: -1})
			time.Sleep(end - clock())
			mutex.Lock()
			delete(running, id)
			mutex.Unlock()
			service.finish(&finishRequest{ID: id, Observation: admission.Observation{FirstEvent: 100 * time.Millisecond, Duration: clock() - begun, Events: 100, TokensPerEvent: 1, Whole: true, Succeeded: true}})
		}
		repeat := func(id, replica string, rank int, cancelAfter time.Duration) {
			cancelAt := clock() + cancelAfter
			for attempt := 'a'; ; attempt++ {
				request := newRequest(fmt.Sprint("repeat-", id, ".", string(attempt)), rank)
				request.Repeat, request.MayHaveRun, request.Tenant = true, true, "repeat"
				request.Request.Target, request.Request.Tried, request.Request.Held = 0, []string{replica}, l.held
				request.Request.Patience = silentPatience / 2
				replies := make(chan *assignReply, 1)
				submitted := clock()
				cancel := &finishRequest{ID: request.Request.ID, NotRun: true, Unsent: true}
				if cancelAfter == 0 { // handled before the request
					service.finish(cancel)
				}
				go func() { replies <- service.assign(t.Context(), request) }()
				timer := time.NewTimer(cancelAt - clock())
				select {
				case reply := <-replies:
					record(silentDecision{isRepeat: true, rank: rank, submitted: submitted, ended: clock(), reason: reply.Reason})
					if reply.Reason != "" && clock()+silentRepeatInterval < cancelAt {
						time.Sleep(silentRepeatInterval)
						continue
					}
					if reply.Reason == "" {
						time.Sleep(cancelAt - clock())
						service.finish(cancel)
					}
				case <-timer.C:
					service.finish(cancel)
					record(silentDecision{isRepeat: true, rank: rank, submitted: submitted, ended: clock(), reason: "cancelled"})
				}
				return
			}
		}
		arrivals := rand.New(rand.NewPCG(l.seed, 1))
		repeats := rand.New(rand.NewPCG(l.seed, 2))
		group.Go(func() {
			for i := 0; clock() < silentEnd; i++ {
				rank, length := arrivals.IntN(silentRanks), l.streamTime/2+time.Duration(arrivals.Int64N(int64(l.streamTime)))
				group.Go(func() { stream(fmt.Sprint("first-", i, ".a"), rank, length) })
				time.Sleep(time.Duration(arrivals.ExpFloat64() * float64(time.Second) / silentFirstsPerSecond))
			}
		})
		time.Sleep(silentFrom)
		mutex.Lock()
		unoccupied := silentReplicas*silentSlots - len(running)
		mutex.Unlock()
		for i := range unoccupied {
			group.Go(func() { stream(fmt.Sprint("filled-", i, ".a"), i%silentRanks, l.streamTime/2) })
		}
		time.Sleep(silentNoticed - silentFrom)
		mutex.Lock()
		var ids []string
		for id := range running {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		repeats.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		for i, id := range ids[:min(l.repeats, len(ids))] {
			rank := i % silentRanks
			if l.onlyTopRank {
				rank = 0
			}
			replica, delay := running[id], time.Duration(repeats.Int64N(int64(silentSpread)))
			cancelAfter := 100*time.Millisecond + time.Duration(repeats.Int64N(int64(200*time.Millisecond)))
			if i%10 == 9 {
				cancelAfter = 0
			}
			group.Go(func() {
				time.Sleep(delay)
				repeat(id, replica, rank, cancelAfter)
			})
		}
		mutex.Unlock()
		group.Wait()
		time.Sleep(time.Second)
		counts := service.counts()["s"]
		for _, used := range counts.InFlight {
			result.inFlight += used
		}
		result.queued, result.charges = counts.Queued, len(service.charges)
		result.retries = service.retryStats()["s"]
		result.repeatLevel = service.quotas.Level(clock(), "repeat", silentQuota)
	})
	return result
}

// silentPolicies are the policies that the loads are played with.
var silentPolicies = map[string]schedulingPolicy{
	"by target": {},
	"feasible":  {admission: admission.Policy{FeasibleOrder: true, TenantShares: true, SlotHandover: 25 * time.Millisecond}},
}

// silentTotals sums the results of three seeds.
type silentTotals struct {
	firsts, rejected, overtaken int
	// wait is the sum of the 95th percentiles of the waits of first requests.
	wait time.Duration
}

func (l silentService) playSeeds(t *testing.T, check func(*silentResult)) (totals silentTotals) {
	for l.seed = range uint64(3) {
		result := l.play(t)
		t.Log(result)
		_, wait, _ := result.waits()
		totals.firsts += len(result.firsts())
		totals.rejected += result.rejected("")
		totals.overtaken += result.overtaken()
		totals.wait += wait
		check(result)
	}
	return totals
}

// Guards against first requests that are rejected or wait because hundreds of streams ask for a second replica at
// once and cancel that at once, and against slots, permits and quota that are not given back afterwards.
func TestSecondRequestsOfSilentStreamsCostOthersNothing(t *testing.T) {
	for name, policy := range silentPolicies {
		for _, load := range []silentService{
			{streamTime: time.Second / 2, target: 2 * time.Second},
			{streamTime: 2 * time.Second, target: 4 * time.Second},
			{streamTime: time.Second, target: time.Second},
		} {
			load.policy = policy
			t.Run(fmt.Sprint(name, " ", load.streamTime, " ", load.target), func(t *testing.T) {
				g := gomega.NewWithT(t)
				var available []float64
				without := load.playSeeds(t, func(result *silentResult) { available = append(available, result.retries.Available) })
				load.repeats, load.held = 150, true
				for _, load.onlyTopRank = range []bool{false, true} {
					seed := 0
					with := load.playSeeds(t, func(result *silentResult) {
						g.Expect([]int{result.inFlight, result.queued, result.charges}).To(gomega.Equal([]int{0, 0, 0}), "slots, queue, charges")
						g.Expect(result.retries.Retries).To(gomega.BeZero(), "permits")
						g.Expect(result.retries.Available).To(gomega.BeNumerically("~", available[seed], 1e-3), "permits")
						g.Expect(result.repeatLevel).To(gomega.BeNumerically("~", silentQuota.Burst, 1), "quota")
						seed++
					})
					g.Expect(with.overtaken).To(gomega.BeZero())
					g.Expect(with.rejected).To(gomega.BeNumerically("<=", without.rejected+without.firsts/200))
					g.Expect(with.wait).To(gomega.BeNumerically("<=", without.wait+60*time.Millisecond))
				}
			})
		}
	}
}

// Guards the test above: without the mark, the second requests must push first requests out.
func TestUnmarkedSecondRequestsPushOthersOut(t *testing.T) {
	for name, policy := range silentPolicies {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			load := silentService{policy: policy, streamTime: time.Second / 2, target: 2 * time.Second, onlyTopRank: true}
			without := load.playSeeds(t, func(*silentResult) {})
			load.repeats = 150
			with := load.playSeeds(t, func(*silentResult) {})
			g.Expect(with.rejected).To(gomega.BeNumerically(">", without.rejected+without.firsts/50))
		})
	}
}
