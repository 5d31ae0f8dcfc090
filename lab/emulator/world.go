package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/thornwalk/thornwalk/lab/enginesim"
	"github.com/thornwalk/thornwalk/lab/workload"
	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/structs"
)

// Conditions are the disturbances of a run.
type Conditions struct {
	// PollInterval is the time between load reports of a replica; each is
	// delivered after a delay between LagMin and LagMax.
	PollInterval, LagMin, LagMax time.Duration
	// EventInterval is the time between batches of cache events, EventLag
	// their delay and EventLoss the share of batches that are lost.
	EventInterval, EventLag time.Duration
	EventLoss               float64
	// SlowFactor slows the fastest engine of the first zone in the third
	// quarter of the run.
	SlowFactor float64
}

// DefaultConditions are those of the experiment.
var DefaultConditions = Conditions{
	PollInterval: 100 * time.Millisecond, LagMin: 50 * time.Millisecond, LagMax: 250 * time.Millisecond,
	EventInterval: 500 * time.Millisecond, EventLag: 300 * time.Millisecond, EventLoss: 0.1,
	SlowFactor: 3,
}

// record is what the emulator itself saw of one request.
type record struct {
	arrival      *workload.Arrival
	job          enginesim.Job
	replica      *replica
	admittedAt   time.Duration
	dispatchedAt time.Duration
	firstTokenAt time.Duration
	answeredAt   time.Duration
	refusedAt    time.Duration
	reason       structs.Reason
	// dispatches counts submissions at engines, as the engines saw them.
	dispatches int
	dispatched bool
	refused    bool
	answered   bool
	abandoned  bool
}

// replica is one emulated engine.
type replica struct {
	structs.Replica
	engine   *enginesim.Engine
	zone     int
	sequence uint64
	progress []enginesim.Progress
	step     func()
}

// node is one emulated entry node under some policy.
type node interface {
	// arrive takes a request from a caller.
	arrive(*record)
	// report and cacheEvents deliver late news of a replica of the zone.
	report(structs.LoadReport)
	cacheEvents(structs.ReplicaID, []structs.CacheEvent)
	// firstToken and done tell the progress of a dispatched request.
	firstToken(*record)
	done(*record)
	// abandon tells that the caller gave up at its deadline.
	abandon(*record)
}

// world is one run.
type world struct {
	loop
	deployment *workload.Deployment
	conditions Conditions
	random     *rand.Rand
	duration   time.Duration
	zones      [][]*replica
	byID       map[structs.ReplicaID]*replica
	nodes      [][]node
	records    []record
	jobs       map[string]*record
}

func newWorld(deployment *workload.Deployment, conditions Conditions, duration time.Duration, seed uint64) *world {
	w := &world{
		deployment: deployment, conditions: conditions, duration: duration,
		random: rand.New(rand.NewPCG(seed, 2)),
		byID:   map[structs.ReplicaID]*replica{}, jobs: map[string]*record{},
	}
	for zone, specs := range deployment.Engines {
		blocks := enginesim.NewZoneBlocks()
		var replicas []*replica
		for index, spec := range specs {
			replicas = append(replicas, w.newReplica(zone, index, spec, blocks))
		}
		w.zones = append(w.zones, replicas)
	}
	return w
}

func (w *world) newReplica(zone, index int, spec enginesim.Spec, blocks *enginesim.ZoneBlocks) *replica {
	r := &replica{
		Replica: structs.Replica{
			ID:      structs.ReplicaID(fmt.Sprintf("%s-%d", w.deployment.Zones[zone], index)),
			Service: w.deployment.Service, Zone: w.deployment.Zones[zone], Kind: structs.KindEngine, HardwareGeneration: spec.Generation,
		},
		engine: enginesim.New(spec, blocks), zone: zone,
	}
	r.step = func() { w.endStep(r) }
	w.byID[r.ID] = r
	return r
}

// run plays the arrivals and lets the requests that are under way end.
func (w *world) run(arrivals []workload.Arrival) {
	w.records = make([]record, len(arrivals))
	for i := range arrivals {
		r := &w.records[i]
		r.arrival = &arrivals[i]
		w.after(arrivals[i].At, func() { w.arrive(r) })
	}
	w.startReports()
	w.startSlowdown()
	w.runUntil(w.duration + w.longestDeadline())
}

func (w *world) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, kind := range w.deployment.Kinds {
		longest = max(longest, kind.Deadline)
	}
	return longest + time.Second
}

func (w *world) kind(r *record) *workload.Kind { return &w.deployment.Kinds[r.arrival.Kind] }

func (w *world) node(r *record) node { return w.nodes[r.arrival.Zone][r.arrival.Node] }

func (w *world) arrive(r *record) {
	r.admittedAt = w.now
	w.after(w.kind(r).Deadline, func() { w.expire(r) })
	w.node(r).arrive(r)
}

// expire is the caller's hanging up; the node cancels at the engine.
func (w *world) expire(r *record) {
	if r.answered || r.refused {
		return
	}
	r.abandoned = true
	w.node(r).abandon(r)
	if r.dispatched {
		w.after(w.deployment.WithinZone, func() { r.replica.engine.Cancel(r.arrival.ID) })
	}
}

// dispatch sends the request to the replica.
func (w *world) dispatch(r *record, target *replica) {
	r.dispatched = true
	r.dispatchedAt = w.now
	r.replica = target
	r.job = enginesim.Job{
		ID: r.arrival.ID, Rank: w.kind(r).Rank,
		PromptTokens: r.arrival.PromptTokens, OutputTokens: r.arrival.OutputTokens, Chain: r.arrival.Chain,
	}
	w.after(w.deployment.WithinZone, func() {
		r.dispatches++
		w.jobs[r.arrival.ID] = r
		if !r.abandoned && target.engine.Submit(&r.job) {
			w.beginStep(target)
		}
	})
}

// refuse ends the request as not run.
func (w *world) refuse(r *record, reason structs.Reason) {
	r.refused = true
	r.refusedAt = w.now
	r.reason = reason
}

func (w *world) beginStep(r *replica) {
	if duration, busy := r.engine.Begin(); busy {
		w.after(duration, r.step)
	}
}

func (w *world) endStep(r *replica) {
	r.progress = r.engine.End(r.progress[:0])
	for _, entry := range r.progress {
		if entry.First || entry.Done {
			w.tell(w.jobs[entry.Job.ID], entry.First, entry.Done)
		}
	}
	w.beginStep(r)
}

// tell carries first and last tokens back to the node.
func (w *world) tell(r *record, first, done bool) {
	w.after(w.deployment.WithinZone, func() {
		if first && r.firstTokenAt == 0 {
			r.firstTokenAt = w.now
			w.node(r).firstToken(r)
		}
		if done && !r.abandoned {
			r.answered = true
			r.answeredAt = w.now
			w.node(r).done(r)
		}
	})
}

// startReports delivers load reports and cache events late, and loses some.
func (w *world) startReports() {
	end := w.duration + w.longestDeadline()
	for zone, replicas := range w.zones {
		for _, r := range replicas {
			w.every(w.conditions.PollInterval, end, func() { w.sendReport(zone, r) })
			w.every(w.conditions.EventInterval, end, func() { w.sendEvents(zone, r) })
		}
	}
}

func (w *world) reportOf(r *replica) structs.LoadReport {
	report := r.engine.Report()
	report.Replica = r.ID
	report.Models = []string{w.deployment.Model}
	report.Role = structs.RoleBoth
	return report
}

func (w *world) sendReport(zone int, r *replica) {
	report := w.reportOf(r)
	r.sequence++
	report.Sequence = r.sequence
	spread := w.conditions.LagMax - w.conditions.LagMin
	report.Age = w.conditions.LagMin + time.Duration(w.random.Int64N(int64(spread)+1))
	w.after(report.Age, func() {
		for _, n := range w.nodes[zone] {
			n.report(report)
		}
	})
}

func (w *world) sendEvents(zone int, r *replica) {
	events := r.engine.CacheEvents()
	if len(events) == 0 || w.random.Float64() < w.conditions.EventLoss {
		return
	}
	// As in the daemon, only the node that polls the replica gets its events.
	poller := w.nodes[zone][rendezvous.Key(string(r.ID))%uint64(len(w.nodes[zone]))]
	w.after(w.conditions.EventLag, func() { poller.cacheEvents(r.ID, events) })
}

func (w *world) startSlowdown() {
	if w.conditions.SlowFactor <= 1 {
		return
	}
	slow := w.zones[0][0].engine
	w.after(w.duration/2, func() { slow.Slowdown = w.conditions.SlowFactor })
	w.after(w.duration*3/4, func() { slow.Slowdown = 1 })
}
