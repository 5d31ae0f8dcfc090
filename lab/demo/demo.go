// Package demo runs mixed traffic of four tiers on an embedded cluster of three zones
// with three nodes each. During the run it changes the settings, lets a back end leave
// and drains a node; at the end it checks the guarantees.
package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/thornwalk/thornwalk/coordination/settingsync"
	"github.com/thornwalk/thornwalk/examples"
	"github.com/thornwalk/thornwalk/lab/checker"
	"github.com/thornwalk/thornwalk/lab/cluster"
	"github.com/thornwalk/thornwalk/lab/enginesim"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Row is the result of one tier.
type Row struct {
	Tier           string `json:"tier"`
	Sent           int    `json:"sent"`
	AnsweredInTime int    `json:"answered_in_time"`
	AnsweredLate   int    `json:"answered_late"`
	NotRun         int    `json:"not_run"`
	Unknown        int    `json:"unknown"`
	WastedPrefill  int    `json:"wasted_prefill_tokens"`
}

// Result is the result of a demo.
type Result struct {
	Rows           []Row    `json:"tiers"`
	ChangeInForce  string   `json:"change_in_force"`
	DrainedNode    string   `json:"drained_node"`
	DrainedCleanly bool     `json:"drained_cleanly"`
	LeftBackend    string   `json:"left_backend"`
	Violations     []string `json:"violations"`
}

// Options are the options of a run.
type Options struct {
	Duration time.Duration
	// Rate is the mean number of submissions per second.
	Rate float64
	Seed uint64
	// Progress is called with a line of text for each event of the run.
	Progress func(string)
}

// requestKind is a kind of request in the mix.
type requestKind struct {
	route, tier, service string
	rank                 structs.Rank
	share                float64
	tenant               string
	plain, keyed         bool
	promptWords          int
	tokens               int
	deadline             time.Duration
}

var mix = []requestKind{
	{route: "ruling", tier: "rulings", service: "ezik-servers", share: 0.25, tenant: "couriers", promptWords: 150, tokens: 30, deadline: 6 * time.Second},
	{route: "appeal", tier: "appeals", rank: 1, service: "ezik-servers", share: 0.15, tenant: "restaurants", keyed: true, promptWords: 900, tokens: 60, deadline: 17 * time.Second},
	{route: "summary", tier: "summaries", rank: 2, service: "ezik-servers", share: 0.2, tenant: "officers", promptWords: 500, tokens: 80, deadline: 20 * time.Second},
	{route: "status", tier: "status", rank: 3, service: "ezik-servers", share: 0.3, tenant: "public", promptWords: 10, tokens: 10, deadline: 3500 * time.Millisecond},
	{route: "registar-app", tier: "appeals", rank: 1, service: "registar-app", share: 0.1, tenant: "restaurants", plain: true, keyed: true, promptWords: 5, deadline: 5 * time.Second},
}

// engineSpecs are three engine generations with few slots, so that requests are queued.
var engineSpecs = []enginesim.Spec{
	{Generation: "g3", Accelerators: 4, Slots: 16, BaseStep: 6 * time.Millisecond, PerSequence: 80 * time.Microsecond, PerPrefillToken: 30 * time.Microsecond, ChunkTokens: 512, CacheBlocks: 800, KVTokens: 80000},
	{Generation: "g2", Accelerators: 4, Slots: 12, BaseStep: 9 * time.Millisecond, PerSequence: 120 * time.Microsecond, PerPrefillToken: 45 * time.Microsecond, ChunkTokens: 512, CacheBlocks: 800, KVTokens: 60000},
	{Generation: "g1", Accelerators: 3, Slots: 8, BaseStep: 12 * time.Millisecond, PerSequence: 150 * time.Microsecond, PerPrefillToken: 60 * time.Microsecond, ChunkTokens: 384, CacheBlocks: 600, KVTokens: 40000},
}

// Zones are the zones of the Agency deployment.
var Zones = []string{"trakiya", "kapana", "maritsa"}

// StartCluster starts the demo's cluster on loopback and blocks until its nodes are
// ready. The caller must call Stop.
func StartCluster(ctx context.Context, seed uint64, logDecisions bool) (*cluster.Cluster, error) {
	tree, err := examples.Settings("agency")
	if err != nil {
		return nil, err
	}
	return cluster.Start(ctx, cluster.Options{
		Zones: Zones, NodesPerZone: 3, EngineService: "ezik-servers", Model: "ezik", Engines: engineSpecs,
		PlainService: "registar-app", PlainReplicas: 1, CallTime: 20 * time.Millisecond, Settings: tree,
		MachineLag: 200 * time.Millisecond, ReportLag: 50 * time.Millisecond, StoreLatency: 2 * time.Millisecond,
		Host: func(string) network.Network { return network.TCP{} }, ListenAddress: "127.0.0.1:0",
		Seed: seed, LogDecisions: logDecisions, DrainGrace: 300 * time.Millisecond,
	})
}

// run is the state of a demo.
type run struct {
	cluster *cluster.Cluster
	options Options
	random  *rand.Rand
	caller  *cluster.Caller

	mutex     sync.Mutex
	history   checker.History
	drained   map[string]bool
	stopTimes map[string]time.Time
	result    Result
}

// Run runs the demo on a started cluster and blocks until all requests have ended. It
// does not stop the cluster.
func Run(ctx context.Context, c *cluster.Cluster, options Options) (Result, error) {
	r := &run{
		cluster: c, options: options, random: rand.New(rand.NewPCG(options.Seed, 3)),
		caller: cluster.NewCaller(network.TCP{}), drained: map[string]bool{}, stopTimes: map[string]time.Time{},
	}
	r.history.MarkerOf = cluster.MarkerOf
	var group sync.WaitGroup
	stopSampling := make(chan struct{})
	group.Go(func() { r.sampleGenerations(stopSampling) })
	var events sync.WaitGroup
	events.Go(func() { r.runEvents(ctx) })
	r.send(ctx)
	events.Wait()
	close(stopSampling)
	group.Wait()
	return r.summarize(), nil
}

// send submits the mix in an open loop and waits until all requests have ended.
func (r *run) send(ctx context.Context) {
	var group sync.WaitGroup
	start := time.Now()
	for number := 0; time.Since(start) < r.options.Duration && ctx.Err() == nil; number++ {
		submission := r.newSubmission(number)
		group.Go(func() {
			observation := r.caller.Send(ctx, submission)
			r.record(submission, observation)
		})
		time.Sleep(time.Duration(r.random.ExpFloat64() / r.options.Rate * float64(time.Second)))
	}
	group.Wait()
}

func (r *run) newSubmission(number int) *cluster.Submission {
	kind := r.pickKind()
	zone := Zones[r.random.IntN(len(Zones))]
	s := &cluster.Submission{
		Marker: fmt.Sprintf("demo-%d", number), Zone: zone, Address: r.pickAddress(zone), TenantKey: kind.tenant + "-key",
		Route: kind.route, Service: kind.service, Plain: kind.plain, Tier: kind.tier, Rank: kind.rank,
		Prompt: prompt(kind, r.random.IntN(40)), OutputTokens: kind.tokens, Stream: number%2 == 0, Deadline: kind.deadline,
	}
	if kind.keyed {
		s.Key = uuid.Must(uuid.NewV7()).String()
	}
	return s
}

// prompt returns a prompt that starts with the prefix of its kind and continues with
// the text of the conversation.
func prompt(kind requestKind, conversation int) string {
	shared := strings.Repeat("Rules of "+kind.route+". ", 40)
	return shared + strings.Repeat(fmt.Sprintf("Case %d says more. ", conversation), kind.promptWords/4)
}

func (r *run) pickKind() requestKind {
	remaining := r.random.Float64()
	for _, kind := range mix {
		if remaining -= kind.share; remaining < 0 {
			return kind
		}
	}
	return mix[0]
}

// pickAddress returns the caller address of a random ready node of the zone, as a load
// balancer would. Without a ready node it returns that of the first node.
func (r *run) pickAddress(zone string) string {
	var ready []string
	for index := range r.cluster.Options.NodesPerZone {
		n := r.cluster.Node(cluster.NodeName(zone, index))
		r.mutex.Lock()
		drained := r.drained[n.Name()]
		r.mutex.Unlock()
		if !drained && n.Ready() {
			ready = append(ready, n.CallerAddress())
		}
	}
	if len(ready) == 0 {
		return r.cluster.Node(cluster.NodeName(zone, 0)).CallerAddress()
	}
	return ready[r.random.IntN(len(ready))]
}

func (r *run) record(s *cluster.Submission, o checker.Observation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for name, stoppedAt := range r.stopTimes {
		n := r.cluster.Node(name)
		o.Stopped = o.Stopped || (s.Address == n.CallerAddress() && o.EndedAt.After(stoppedAt))
	}
	r.history.Observations = append(r.history.Observations, o)
}

// runEvents changes the settings, lets a back end leave and drains a node, after one,
// two and three quarters of the run.
func (r *run) runEvents(ctx context.Context) {
	quarter := r.options.Duration / 4
	time.Sleep(quarter)
	r.changeSettings(ctx)
	time.Sleep(quarter)
	engine := r.cluster.Engines[0]
	r.options.Progress("back end " + string(engine.ID) + " begins to leave")
	r.mutex.Lock()
	r.history.Departures = append(r.history.Departures, checker.Departure{Replica: engine.ID, At: time.Now()})
	r.result.LeftBackend = string(engine.ID)
	r.mutex.Unlock()
	engine.SetLeaving()
	time.Sleep(quarter)
	r.stopNode(ctx)
}

func (r *run) changeSettings(ctx context.Context) {
	first := r.cluster.Node(cluster.NodeName(Zones[0], 0))
	start := time.Now()
	change := settingsync.Change{ID: uuid.NewString(), Author: "demo", Base: first.Settings().Generation, Edits: []settingsync.Edit{
		{Path: "tenants/public", Key: "weight", Text: "0.05"},
	}}
	record, err := first.Change(ctx, change)
	if err != nil {
		r.result.ChangeInForce = err.Error()
		return
	}
	for time.Since(start) < checker.InForceLimit {
		if r.allNodesReached(record.Generation) {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	elapsed := time.Since(start).Round(time.Millisecond)
	r.options.Progress(fmt.Sprintf("settings generation %d in force on every node after %s", record.Generation, elapsed))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.ChangeInForce = elapsed.String()
	r.history.Generations = append(r.history.Generations, r.sampleAllNodes(record.Generation)...)
}

// allNodesReached reports whether all nodes have at least the settings generation.
func (r *run) allNodesReached(generation uint64) bool {
	for _, name := range r.cluster.Names() {
		if r.cluster.Node(name).Settings().Generation < generation {
			return false
		}
	}
	return true
}

func (r *run) stopNode(ctx context.Context) {
	name := cluster.NodeName(Zones[1], 0)
	r.options.Progress("node " + name + " stops as planned")
	r.mutex.Lock()
	r.stopTimes[name] = time.Now()
	r.mutex.Unlock()
	clean := r.cluster.Node(name).Drain(ctx)
	r.cluster.Machines.Remove(name)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.drained[name] = true
	r.result.DrainedNode, r.result.DrainedCleanly = name, clean
}

func (r *run) sampleGenerations(stop <-chan struct{}) {
	for {
		r.mutex.Lock()
		r.history.Generations = append(r.history.Generations, r.sampleAllNodes(0)...)
		r.mutex.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (r *run) sampleAllNodes(accepted uint64) []checker.GenerationSample {
	var samples []checker.GenerationSample
	for _, name := range r.cluster.Names() {
		n := r.cluster.Node(name)
		samples = append(samples, checker.GenerationSample{Node: name, Generation: n.Settings().Generation, At: time.Now(), Accepted: accepted})
	}
	return samples
}

// summarize checks the history and returns the result.
func (r *run) summarize() Result {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.Executions = r.cluster.Executions()
	r.result.Violations = []string{}
	for _, violation := range r.history.Check() {
		r.result.Violations = append(r.result.Violations, violation.String())
	}
	r.result.Rows = Rows(&r.history)
	return r.result
}

// Rows returns the results of a history by tier, the highest tier first.
func Rows(history *checker.History) []Row {
	inTime := map[string]bool{}
	rows := map[string]*Row{}
	ranks := map[string]structs.Rank{}
	tiers := map[string]string{}
	for i := range history.Observations {
		o := &history.Observations[i]
		row, found := rows[o.Tier]
		if !found {
			row = &Row{Tier: o.Tier}
			rows[o.Tier] = row
			ranks[o.Tier] = o.Rank
		}
		tiers[o.Marker] = o.Tier
		inTime[o.Marker] = inTime[o.Marker] || o.InTime()
		row.Sent++
		switch {
		case o.InTime():
			row.AnsweredInTime++
		case o.Outcome == structs.OutcomeAnswered:
			row.AnsweredLate++
		case o.Outcome == structs.OutcomeNotRun:
			row.NotRun++
		default:
			row.Unknown++
		}
	}
	for _, execution := range history.Executions {
		marker := history.MarkerOf(execution)
		row, found := rows[tiers[marker]]
		if !found {
			continue
		}
		row.WastedPrefill += execution.Recomputed
		if !inTime[marker] {
			row.WastedPrefill += execution.Prefilled - execution.Recomputed
		}
	}
	sorted := make([]Row, 0, len(rows))
	for _, row := range rows {
		sorted = append(sorted, *row)
	}
	sort.Slice(sorted, func(i, j int) bool { return ranks[sorted[i].Tier] < ranks[sorted[j].Tier] })
	return sorted
}
