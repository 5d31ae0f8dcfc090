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

// Conditions are the disturbances in a simulation.
type Conditions struct {
	// PollInterval is the time between load reports of a replica. Each report is
	// delivered after a random delay from MinLag to MaxLag.
	PollInterval, MinLag, MaxLag time.Duration
	// EventInterval is the time between batches of cache events, EventLag their delay
	// and EventLossShare the share of lost batches.
	EventInterval, EventLag time.Duration
	EventLossShare          float64
	// SlowdownFactor multiplies the step time of the first engine of the first zone
	// during the third quarter of the run.
	SlowdownFactor float64
}

// DefaultConditions are the conditions of the published experiments.
var DefaultConditions = Conditions{
	PollInterval: 100 * time.Millisecond, MinLag: 50 * time.Millisecond, MaxLag: 250 * time.Millisecond,
	EventInterval: 500 * time.Millisecond, EventLag: 300 * time.Millisecond, EventLossShare: 0.1,
	SlowdownFactor: 3,
}

// record is the simulation's record of a request.
type record struct {
	arrival      *workload.Arrival
	job          enginesim.Job
	replica      *replica
	admittedAt   time.Duration
	dispatchedAt time.Duration
	firstTokenAt time.Duration
	answeredAt   time.Duration
	rejectedAt   time.Duration
	reason       structs.Reason
	// dispatches counts the submissions that reached an engine.
	dispatches int
	dispatched bool
	rejected   bool
	answered   bool
	abandoned  bool
}

// replica is an emulated engine.
type replica struct {
	structs.Replica
	engine   *enginesim.Engine
	zone     int
	sequence uint64
	progress []enginesim.Progress
	step     func()
}

// node is an emulated entry node with some policy.
type node interface {
	// arrive handles a request from a caller.
	arrive(*record)
	// report and cacheEvents deliver delayed updates of a replica of the zone.
	report(structs.LoadReport)
	cacheEvents(structs.ReplicaID, []structs.CacheEvent)
	// firstToken and done report the progress of a dispatched request.
	firstToken(*record)
	done(*record)
	// abandon reports that the caller has given up at its deadline.
	abandon(*record)
}

// simulation is the state of one run of one policy.
type simulation struct {
	eventLoop
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

func newSimulation(deployment *workload.Deployment, conditions Conditions, duration time.Duration, seed uint64) *simulation {
	s := &simulation{
		deployment: deployment, conditions: conditions, duration: duration,
		random: rand.New(rand.NewPCG(seed, 2)),
		byID:   map[structs.ReplicaID]*replica{}, jobs: map[string]*record{},
	}
	for zone, specs := range deployment.Engines {
		blocks := enginesim.NewZoneBlocks()
		var replicas []*replica
		for index, spec := range specs {
			replicas = append(replicas, s.newReplica(zone, index, spec, blocks))
		}
		s.zones = append(s.zones, replicas)
	}
	return s
}

func (s *simulation) newReplica(zone, index int, spec enginesim.Spec, blocks *enginesim.ZoneBlocks) *replica {
	r := &replica{
		Replica: structs.Replica{
			ID:      structs.ReplicaID(fmt.Sprintf("%s-%d", s.deployment.Zones[zone], index)),
			Service: s.deployment.Service, Zone: s.deployment.Zones[zone], Kind: structs.KindEngine, HardwareGeneration: spec.Generation,
		},
		engine: enginesim.New(spec, blocks), zone: zone,
	}
	r.step = func() { s.endStep(r) }
	s.byID[r.ID] = r
	return r
}

// run processes the arrivals and continues until all requests have ended.
func (s *simulation) run(arrivals []workload.Arrival) {
	s.records = make([]record, len(arrivals))
	for i := range arrivals {
		r := &s.records[i]
		r.arrival = &arrivals[i]
		s.after(arrivals[i].At, func() { s.arrive(r) })
	}
	s.startReports()
	s.startSlowdown()
	s.runUntil(s.duration + s.settleTime())
}

// settleTime is the time after the last arrival within which all requests end.
func (s *simulation) settleTime() time.Duration {
	maxDeadline := time.Duration(0)
	for _, kind := range s.deployment.Kinds {
		maxDeadline = max(maxDeadline, kind.Deadline)
	}
	return maxDeadline + time.Second
}

func (s *simulation) kind(r *record) *workload.Kind { return &s.deployment.Kinds[r.arrival.Kind] }

func (s *simulation) node(r *record) node { return s.nodes[r.arrival.Zone][r.arrival.Node] }

func (s *simulation) arrive(r *record) {
	r.admittedAt = s.now
	s.after(s.kind(r).Deadline, func() { s.expire(r) })
	s.node(r).arrive(r)
}

// expire ends the request of a caller at its deadline, at the node and at the engine.
func (s *simulation) expire(r *record) {
	if r.answered || r.rejected {
		return
	}
	r.abandoned = true
	s.node(r).abandon(r)
	if r.dispatched {
		s.after(s.deployment.WithinZone, func() { r.replica.engine.Cancel(r.arrival.ID) })
	}
}

// dispatch sends the request to the replica.
func (s *simulation) dispatch(r *record, target *replica) {
	r.dispatched = true
	r.dispatchedAt = s.now
	r.replica = target
	r.job = enginesim.Job{
		ID: r.arrival.ID, Rank: s.kind(r).Rank,
		PromptTokens: r.arrival.PromptTokens, OutputTokens: r.arrival.OutputTokens, Chain: r.arrival.Chain,
	}
	s.after(s.deployment.WithinZone, func() {
		r.dispatches++
		s.jobs[r.arrival.ID] = r
		if !r.abandoned && target.engine.Submit(&r.job) {
			s.beginStep(target)
		}
	})
}

// reject ends the request without a run.
func (s *simulation) reject(r *record, reason structs.Reason) {
	r.rejected = true
	r.rejectedAt = s.now
	r.reason = reason
}

func (s *simulation) beginStep(r *replica) {
	if duration, busy := r.engine.BeginStep(); busy {
		s.after(duration, r.step)
	}
}

func (s *simulation) endStep(r *replica) {
	r.progress = r.engine.EndStep(r.progress[:0])
	for _, entry := range r.progress {
		if entry.First || entry.Done {
			s.sendProgress(s.jobs[entry.Job.ID], entry.First, entry.Done)
		}
	}
	s.beginStep(r)
}

// sendProgress reports first and last tokens to the node after the network delay.
func (s *simulation) sendProgress(r *record, first, done bool) {
	s.after(s.deployment.WithinZone, func() {
		if first && r.firstTokenAt == 0 {
			r.firstTokenAt = s.now
			s.node(r).firstToken(r)
		}
		if done && !r.abandoned {
			r.answered = true
			r.answeredAt = s.now
			s.node(r).done(r)
		}
	})
}

// startReports schedules the load reports and cache events of all replicas.
func (s *simulation) startReports() {
	end := s.duration + s.settleTime()
	for zone, replicas := range s.zones {
		for _, r := range replicas {
			s.every(s.conditions.PollInterval, end, func() { s.sendReport(zone, r) })
			s.every(s.conditions.EventInterval, end, func() { s.sendEvents(zone, r) })
		}
	}
}

func (s *simulation) reportOf(r *replica) structs.LoadReport {
	report := r.engine.Report()
	report.Replica = r.ID
	report.Models = []string{s.deployment.Model}
	report.Role = structs.RoleBoth
	return report
}

func (s *simulation) sendReport(zone int, r *replica) {
	report := s.reportOf(r)
	r.sequence++
	report.Sequence = r.sequence
	lagRange := s.conditions.MaxLag - s.conditions.MinLag
	report.Age = s.conditions.MinLag + time.Duration(s.random.Int64N(int64(lagRange)+1))
	s.after(report.Age, func() {
		for _, n := range s.nodes[zone] {
			n.report(report)
		}
	})
}

func (s *simulation) sendEvents(zone int, r *replica) {
	events := r.engine.CacheEvents()
	if len(events) == 0 || s.random.Float64() < s.conditions.EventLossShare {
		return
	}
	// As in the daemon, only the node that polls the replica gets its events.
	poller := s.nodes[zone][rendezvous.Hash(string(r.ID))%uint64(len(s.nodes[zone]))]
	s.after(s.conditions.EventLag, func() { poller.cacheEvents(r.ID, events) })
}

func (s *simulation) startSlowdown() {
	if s.conditions.SlowdownFactor <= 1 {
		return
	}
	slowed := s.zones[0][0].engine
	s.after(s.duration/2, func() { slowed.Slowdown = s.conditions.SlowdownFactor })
	s.after(s.duration*3/4, func() { slowed.Slowdown = 1 })
}
