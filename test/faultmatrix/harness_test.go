package faultmatrix

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thornwalk/thornwalk/coordination/settingsync"
	"github.com/thornwalk/thornwalk/examples"
	"github.com/thornwalk/thornwalk/faultpoint"
	"github.com/thornwalk/thornwalk/lab/checker"
	"github.com/thornwalk/thornwalk/lab/cluster"
	"github.com/thornwalk/thornwalk/lab/enginesim"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	callerHost = "caller"
	victimZone = "trakiya"
	otherZone  = "kapana"
	// faultTime is how long a fault lasts, longer than every lease.
	faultTime = 6 * time.Second
	// settleTime is how long requests are given after the fault is healed.
	settleTime  = 40 * time.Second
	submitTries = 3
)

var engines = []enginesim.Spec{
	{Generation: "g3", Accelerators: 4, Slots: 8, BaseStep: 10 * time.Millisecond, PerSequence: time.Millisecond, PerPrefillToken: 50 * time.Microsecond, ChunkTokens: 512, CacheBlocks: 400, KVTokens: 60000},
	{Generation: "g1", Accelerators: 3, Slots: 4, BaseStep: 20 * time.Millisecond, PerSequence: 2 * time.Millisecond, PerPrefillToken: 100 * time.Microsecond, ChunkTokens: 256, CacheBlocks: 200, KVTokens: 30000},
}

// world is one cell under way.
type world struct {
	// victim is the node that the fault hits, neighbour another of its zone.
	victim, neighbour string

	t       *testing.T
	fabric  *memnet.Fabric
	cluster *cluster.Cluster
	caller  *cluster.Caller
	trigger *trigger
	ctx     context.Context

	mutex    sync.Mutex
	history  checker.History
	group    sync.WaitGroup
	down     map[string]bool
	stopping map[string]bool
	// backendsFail is true if back ends cut answers, so that a planned stop is
	// not what cut them.
	backendsFail bool
}

// trigger fires a fault when the victim reaches a point for the first time.
type trigger struct {
	point faultpoint.Point
	// node is where the point counts; empty means any node.
	node string
	fire func()

	mutex  sync.Mutex
	fired  bool
	halted map[string]chan struct{}
}

// injector is the trigger as one node sees it.
type injector struct {
	trigger *trigger
	node    string
}

func (i injector) Reach(ctx context.Context, point faultpoint.Point, _ string) error {
	i.trigger.mutex.Lock()
	fire := point == i.trigger.point && (i.trigger.node == "" || i.trigger.node == i.node) && !i.trigger.fired
	i.trigger.fired = i.trigger.fired || fire
	i.trigger.mutex.Unlock()
	if fire {
		i.trigger.fire()
	}
	i.trigger.mutex.Lock()
	gate := i.trigger.halted[i.node]
	i.trigger.mutex.Unlock()
	if gate == nil {
		return ctx.Err()
	}
	select { // a paused or dying process goes no further
	case <-gate:
	case <-ctx.Done():
	}
	return ctx.Err()
}

func (t *trigger) halt(node string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.halted[node] = make(chan struct{})
}

func (t *trigger) release(node string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if gate, halted := t.halted[node]; halted {
		close(gate)
		delete(t.halted, node)
	}
}

// alter changes the options of a cell's cluster; for the broken variants.
type alter func(*cluster.Options)

// runCell runs one cell under virtual time and returns what was violated.
func runCell(t *testing.T, c cell, change alter) (violations []checker.Violation) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := &world{t: t, fabric: memnet.New(), ctx: ctx, down: map[string]bool{}, stopping: map[string]bool{}}
		w.victim = victimOf(c)
		w.neighbour = next(w.victim)
		w.trigger = &trigger{point: c.point, node: w.victim, fire: func() {}, halted: map[string]chan struct{}{}}
		if c.point == faultpoint.ChangeSpread {
			w.trigger.node = ""
		}
		if err := w.start(change); err != nil {
			violations = []checker.Violation{{Rule: "setup", Detail: err.Error()}}
			return
		}
		w.trigger.mutex.Lock()
		w.trigger.fire = func() {
			for _, f := range c.faults {
				f.apply(w)
			}
		}
		w.trigger.mutex.Unlock()
		w.play(c)
		violations = w.judge()
		if !w.trigger.fired {
			violations = append(violations, checker.Violation{Rule: "setup", Detail: "the fault's point was not reached"})
		}
		w.cluster.Stop()
		cancel()
		time.Sleep(10 * time.Second) // virtual time stands still afterwards; handlers that sleep end first
	})
	return violations
}

// victimOf is the node that a cell's fault hits: for orders, the coordinator.
func victimOf(c cell) string {
	if c.path != pathOrder {
		return victimZone + "-n0"
	}
	return rendezvous.Top(zoneHosts(victimZone), rendezvous.Key("placement/ezik-servers"), 1)[0]
}

func (w *world) start(change alter) error {
	tree, err := examples.Settings("agency")
	if err != nil {
		return err
	}
	tree = tree.Set("services/ezik-servers/models/ezik", "replicas", "2").Set("services/ezik-servers/models/spare", "replicas", "1")
	options := cluster.Options{
		Zones: []string{victimZone, otherZone}, NodesPerZone: 3, EngineService: "ezik-servers", Model: "ezik", Engines: engines,
		PlainService: "registar-app", PlainReplicas: 1, CallTime: 50 * time.Millisecond, Settings: tree,
		MachineLag: 300 * time.Millisecond, ReportLag: 100 * time.Millisecond, StoreLatency: 2 * time.Millisecond,
		Host: w.fabric.Host, ListenAddress: ":0", Seed: 1, DrainGrace: 500 * time.Millisecond,
		Faults: func(node string) faultpoint.Injector { return injector{w.trigger, node} },
	}
	if change != nil {
		change(&options)
	}
	w.cluster, err = cluster.Start(w.ctx, options)
	w.caller = cluster.NewCaller(w.fabric.Host(callerHost))
	w.history.MarkerOf = cluster.MarkerOf
	return err
}

// play sends the cell's requests around the fault, heals and lets all end.
func (w *world) play(c cell) {
	stop := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() { w.sample(stop) })
	w.sendMix("before")
	if c.path == pathChange {
		time.Sleep(time.Second) // the nodes that are no delegates stop watching
		w.changeSettings(w.victim, "cell")
	}
	time.Sleep(time.Second)
	w.sendMix("during")
	time.Sleep(max(faultTime, c.lasts))
	w.heal(c)
	w.group.Wait()
	time.Sleep(3 * time.Second)
	w.sendMix("after")
	w.group.Wait()
	w.expectServing()
	time.Sleep(c.linger)
	close(stop)
	sampling.Wait()
}

func (w *world) heal(c cell) {
	w.fabric.Heal()
	w.fabric.Resume(w.victim)
	w.trigger.release(w.victim)
	w.cluster.Store.SetFault(nil)
	w.cluster.Machines.SetDown(false)
	for _, engine := range w.cluster.Engines {
		engine.SetMisbehavior(nil)
		engine.SetSlowdown(1)
	}
	for _, service := range w.cluster.Services {
		service.SetMisbehavior(nil)
	}
	if w.down[w.victim] {
		if err := w.cluster.StartNode(w.victim, victimZone); err != nil {
			w.violate("setup", err.Error())
		}
	}
}

// violate records a violation that the checker can't see, as an answer that is
// not whole.
func (w *world) violate(rule checker.Rule, detail string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.history.Observations = append(w.history.Observations, checker.Observation{Marker: string(rule) + " " + detail, Outcome: structs.OutcomeAnswered})
}

// kinds of the mix.
var mix = []cluster.Submission{
	{Route: "ruling", Tier: "rulings", TenantKey: "couriers-key", OutputTokens: 12, Stream: true, Deadline: 6 * time.Second},
	{Route: "appeal", Tier: "appeals", Rank: 1, TenantKey: "restaurants-key", OutputTokens: 16, Stream: true, Key: "keyed", Deadline: 17 * time.Second},
	{Route: "summary", Tier: "summaries", Rank: 2, TenantKey: "officers-key", OutputTokens: 20, Key: "keyed", Deadline: 20 * time.Second},
	{Route: "status", Tier: "status", Rank: 3, TenantKey: "public-key", OutputTokens: 6, Deadline: 3500 * time.Millisecond},
	{Route: "registar-app", Service: "registar-app", Plain: true, Tier: "appeals", Rank: 1, TenantKey: "restaurants-key", Key: "keyed", Deadline: 5 * time.Second},
	{Route: "appeal", Tier: "appeals", Rank: 1, TenantKey: "restaurants-key", OutputTokens: 10, Ticket: "ticketed", Deadline: 17 * time.Second},
}

// sendMix submits the mix to the victim, its neighbour and another zone.
func (w *world) sendMix(phase string) {
	w.sendAcrossZones(phase)
	for _, name := range []string{w.victim, w.neighbour, otherZone + "-n0"} {
		for index, kind := range mix {
			s := kind
			s.Marker = fmt.Sprintf("%s-%s-%d", phase, name, index)
			if s.Service == "" {
				s.Service = "ezik-servers"
			}
			s.Prompt = strings.Repeat("shared rules ", 30) + s.Marker
			w.group.Go(func() { w.submit(s, name) })
			time.Sleep(15 * time.Millisecond)
		}
	}
}

// sendAcrossZones submits one request that must not run twice in two zones at
// once, under one key; only the claim in the store keeps them apart.
func (w *world) sendAcrossZones(phase string) {
	for _, name := range []string{w.neighbour, otherZone + "-n1"} {
		s := mix[1]
		s.Marker, s.Service, s.Prompt = phase+"-across", "ezik-servers", phase+" across zones"
		w.group.Go(func() { w.submit(s, name) })
	}
}

// submit sends the submission and, if it carries a key or ticket, again to the
// next node until it is answered.
func (w *world) submit(s cluster.Submission, name string) {
	if s.Key != "" {
		s.Key = "key-" + s.Marker
	}
	if s.Ticket != "" {
		ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
		ticket, err := w.caller.GetTicket(ctx, w.address(name), s.TenantKey)
		cancel()
		if err != nil || ticket == "" {
			return // nothing was submitted
		}
		s.Ticket = ticket
	}
	for try := range submitTries {
		s.Address, s.Zone = w.address(name), zoneOf(name)
		ctx, cancel := context.WithTimeout(w.ctx, settleTime)
		o := w.caller.Send(ctx, &s)
		cancel()
		w.mutex.Lock()
		o.Stopped = w.stopping[name] && !w.backendsFail
		w.history.Observations = append(w.history.Observations, o)
		w.mutex.Unlock()
		if o.Outcome == structs.OutcomeAnswered || (s.Key == "" && s.Ticket == "") {
			return
		}
		time.Sleep(time.Duration(try+1) * 700 * time.Millisecond)
		name = next(name)
	}
}

func zoneOf(name string) string { return name[:strings.LastIndex(name, "-")] }

// next is another node of the zone.
func next(name string) string {
	index := name[len(name)-1] - '0'
	return fmt.Sprintf("%s-n%d", zoneOf(name), (index+1)%3)
}

func (w *world) address(name string) string { return w.cluster.Node(name).CallerAddress() }

// expectServing demands that every node answers once all is healed.
func (w *world) expectServing() {
	for _, name := range w.cluster.Names() {
		if w.stopping[name] {
			continue
		}
		s := mix[0]
		s.Marker, s.Service, s.Prompt = "finally-"+name, "ezik-servers", "final request"
		s.Address, s.Zone = w.address(name), zoneOf(name)
		ctx, cancel := context.WithTimeout(w.ctx, settleTime)
		o := w.caller.Send(ctx, &s)
		cancel()
		if o.Outcome != structs.OutcomeAnswered {
			o.Marker += fmt.Sprintf(" (%s %s)", o.Outcome, o.Code)
			o.Outcome = structs.OutcomePending // shows as a request without an end
		}
		w.history.Observations = append(w.history.Observations, o)
	}
}

// changeSettings makes a change at the node.
func (w *world) changeSettings(name, id string) {
	w.group.Go(func() {
		n := w.cluster.Node(name)
		ctx, cancel := context.WithTimeout(w.ctx, 8*time.Second)
		defer cancel()
		// Whether it was accepted is read from the store's own writes.
		_, _ = n.Change(ctx, settingsync.Change{
			ID: "change-" + id, Author: id, Base: n.Settings().Generation,
			Edits: []settingsync.Edit{{Path: "tenants/public", Key: "weight", Text: "0.0" + fmt.Sprint(len(id))}},
		})
	})
}

// sample records the generations of all nodes.
func (w *world) sample(stop <-chan struct{}) {
	for {
		w.mutex.Lock()
		for _, name := range w.cluster.Names() {
			n := w.cluster.Node(name)
			w.history.Generations = append(w.history.Generations, checker.GenerationSample{Node: name, Process: n.Status().Process, Generation: n.Settings().Generation, At: time.Now()})
		}
		w.mutex.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}

// judge checks the history. All nodes must hold the generation that is in the
// store, since everything was healed longer ago than the limit.
func (w *world) judge() []checker.Violation {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.history.Executions = w.cluster.Executions()
	for _, engine := range w.cluster.Engines {
		w.history.Orders = append(w.history.Orders, checker.OrderLog{Replica: engine.ID, Orders: engine.Orders()})
	}
	accepted := w.storedGeneration()
	for _, name := range w.cluster.Names() {
		if !w.stopping[name] {
			n := w.cluster.Node(name)
			w.history.Generations = append(w.history.Generations, checker.GenerationSample{Node: name, Process: n.Status().Process, Generation: n.Settings().Generation, At: time.Now(), Accepted: accepted})
		}
	}
	return w.history.Check()
}

// storedGeneration is the highest generation that the store ever held.
func (w *world) storedGeneration() uint64 {
	highest := uint64(0)
	for _, write := range w.cluster.Store.Writes(settingsync.Key) {
		if document, err := settingsync.Decode(write.Value); err == nil {
			highest = max(highest, document.Generation)
		}
	}
	return highest
}
