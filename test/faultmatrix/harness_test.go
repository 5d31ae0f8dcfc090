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
	// minFaultDuration is longer than every lease.
	minFaultDuration = 6 * time.Second
	// requestTimeout leaves requests time to end after the fault is healed.
	requestTimeout    = 40 * time.Second
	maxSubmitAttempts = 3
)

var engines = []enginesim.Spec{
	{Generation: "g3", Accelerators: 4, Slots: 8, BaseStep: 10 * time.Millisecond, PerSequence: time.Millisecond, PerPrefillToken: 50 * time.Microsecond, ChunkTokens: 512, CacheBlocks: 400, KVTokens: 60000},
	{Generation: "g1", Accelerators: 3, Slots: 4, BaseStep: 20 * time.Millisecond, PerSequence: 2 * time.Millisecond, PerPrefillToken: 100 * time.Microsecond, ChunkTokens: 256, CacheBlocks: 200, KVTokens: 30000},
}

// cellRun is the state of one running cell.
type cellRun struct {
	// victim is the node at which the fault is injected, neighbour another node of its zone.
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
	// backendsMisbehave is true if back ends may break off answers, which then are not attributed
	// to a planned stop.
	backendsMisbehave bool
}

// trigger injects a fault when a node reaches a point for the first time. It is safe for
// concurrent use; inject is called without the mutex held.
type trigger struct {
	point faultpoint.Point
	// node is the node that has to reach the point; empty means any node.
	node   string
	inject func()

	mutex       sync.Mutex
	fired       bool
	haltedNodes map[string]chan struct{}
}

// nodeInjector is the faultpoint.Injector of one node: it fires the trigger, and blocks while the
// node is halted.
type nodeInjector struct {
	trigger *trigger
	node    string
}

func (i nodeInjector) Reach(ctx context.Context, point faultpoint.Point, _ string) error {
	i.trigger.mutex.Lock()
	fires := point == i.trigger.point && (i.trigger.node == "" || i.trigger.node == i.node) && !i.trigger.fired
	i.trigger.fired = i.trigger.fired || fires
	i.trigger.mutex.Unlock()
	if fires {
		i.trigger.inject()
	}
	i.trigger.mutex.Lock()
	gate := i.trigger.haltedNodes[i.node]
	i.trigger.mutex.Unlock()
	if gate == nil {
		return ctx.Err()
	}
	select { // a paused or killed process stops at the point
	case <-gate:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// halt makes the node block at every fault point until resume is called.
func (t *trigger) halt(node string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.haltedNodes[node] = make(chan struct{})
}

func (t *trigger) resume(node string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if gate, halted := t.haltedNodes[node]; halted {
		close(gate)
		delete(t.haltedNodes, node)
	}
}

// adjustOptions changes the options of a cell's cluster, for variants of the system.
type adjustOptions func(*cluster.Options)

// runCell runs one cell under virtual time and returns the violations. A nil change leaves the
// options as they are.
func runCell(t *testing.T, c cell, change adjustOptions) (violations []checker.Violation) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		run := &cellRun{t: t, fabric: memnet.New(), ctx: ctx, down: map[string]bool{}, stopping: map[string]bool{}}
		run.victim = victimNode(c)
		run.neighbour = nextNode(run.victim)
		run.trigger = &trigger{point: c.point, node: run.victim, inject: func() {}, haltedNodes: map[string]chan struct{}{}}
		if c.point == faultpoint.ChangeSpread {
			run.trigger.node = ""
		}
		if err := run.startCluster(change); err != nil {
			violations = []checker.Violation{{Rule: "setup", Detail: err.Error()}}
			return
		}
		run.trigger.mutex.Lock()
		run.trigger.inject = func() {
			for _, f := range c.faults {
				f.apply(run)
			}
		}
		run.trigger.mutex.Unlock()
		run.runPhases(c)
		violations = run.check()
		if !run.trigger.fired {
			violations = append(violations, checker.Violation{Rule: "setup", Detail: "the fault point was not reached"})
		}
		run.cluster.Stop()
		cancel()
		time.Sleep(10 * time.Second) // lets sleeping goroutines end, since virtual time stops afterwards
	})
	return violations
}

// victimNode returns the node at which the cell's fault is injected, for orders the coordinator.
func victimNode(c cell) string {
	if c.path != pathOrder {
		return victimZone + "-n0"
	}
	return rendezvous.Top(zoneNodes(victimZone), rendezvous.Hash("placement/ezik-servers"), 1)[0]
}

func (run *cellRun) startCluster(change adjustOptions) error {
	tree, err := examples.Settings("agency")
	if err != nil {
		return err
	}
	tree = tree.Set("services/ezik-servers/models/ezik", "replicas", "2").Set("services/ezik-servers/models/spare", "replicas", "1")
	options := cluster.Options{
		Zones: []string{victimZone, otherZone}, NodesPerZone: 3, EngineService: "ezik-servers", Model: "ezik", Engines: engines,
		PlainService: "registar-app", PlainReplicas: 1, CallTime: 50 * time.Millisecond, Settings: tree,
		MachineLag: 300 * time.Millisecond, ReportLag: 100 * time.Millisecond, StoreLatency: 2 * time.Millisecond,
		Host: run.fabric.Host, ListenAddress: ":0", Seed: 1, DrainGrace: 500 * time.Millisecond,
		Faults: func(node string) faultpoint.Injector { return nodeInjector{run.trigger, node} },
	}
	if change != nil {
		change(&options)
	}
	run.cluster, err = cluster.Start(run.ctx, options)
	run.caller = cluster.NewCaller(run.fabric.Host(callerHost))
	run.history.MarkerOf = cluster.MarkerOf
	return err
}

// runPhases sends the cell's requests before, during and after the fault, heals the fault and
// waits until all requests have ended.
func (run *cellRun) runPhases(c cell) {
	stop := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() { run.sampleGenerations(stop) })
	run.sendRequestMix("before")
	if c.path == pathChange {
		time.Sleep(time.Second) // until the nodes that are no delegates stop watching the store
		run.changeSettings(run.victim, "cell")
	}
	time.Sleep(time.Second)
	run.sendRequestMix("during")
	time.Sleep(max(minFaultDuration, c.faultDuration))
	run.heal(c)
	run.group.Wait()
	time.Sleep(3 * time.Second)
	run.sendRequestMix("after")
	run.group.Wait()
	run.checkAllNodesServe()
	time.Sleep(c.finalWait)
	close(stop)
	sampler.Wait()
}

func (run *cellRun) heal(c cell) {
	run.fabric.Heal()
	run.fabric.Resume(run.victim)
	run.trigger.resume(run.victim)
	run.cluster.Store.SetFault(nil)
	run.cluster.Machines.SetDown(false)
	for _, engine := range run.cluster.Engines {
		engine.SetFault(nil)
		engine.SetSlowdown(1)
	}
	for _, service := range run.cluster.Services {
		service.SetFault(nil)
	}
	if run.down[run.victim] {
		if err := run.cluster.StartNode(run.victim, victimZone); err != nil {
			run.recordViolation("setup", err.Error())
		}
	}
}

// recordViolation records a violation that the checker can't detect, as an incomplete answer.
func (run *cellRun) recordViolation(rule checker.Rule, detail string) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.history.Observations = append(run.history.Observations, checker.Observation{Marker: string(rule) + " " + detail, Outcome: structs.OutcomeAnswered})
}

// requestMix has one request of each kind that a cell sends.
var requestMix = []cluster.Submission{
	{Route: "ruling", Tier: "rulings", TenantKey: "couriers-key", OutputTokens: 12, Stream: true, Deadline: 6 * time.Second},
	{Route: "appeal", Tier: "appeals", Rank: 1, TenantKey: "restaurants-key", OutputTokens: 16, Stream: true, Key: "keyed", Deadline: 17 * time.Second},
	{Route: "summary", Tier: "summaries", Rank: 2, TenantKey: "officers-key", OutputTokens: 20, Key: "keyed", Deadline: 20 * time.Second},
	{Route: "status", Tier: "status", Rank: 3, TenantKey: "public-key", OutputTokens: 6, Deadline: 3500 * time.Millisecond},
	{Route: "registar-app", Service: "registar-app", Plain: true, Tier: "appeals", Rank: 1, TenantKey: "restaurants-key", Key: "keyed", Deadline: 5 * time.Second},
	{Route: "appeal", Tier: "appeals", Rank: 1, TenantKey: "restaurants-key", OutputTokens: 10, Ticket: "ticketed", Deadline: 17 * time.Second},
}

// sendRequestMix submits requestMix to the victim, its neighbour and a node of the other zone.
func (run *cellRun) sendRequestMix(phase string) {
	run.sendSameKeyInTwoZones(phase)
	for _, name := range []string{run.victim, run.neighbour, otherZone + "-n0"} {
		for index, template := range requestMix {
			submission := template
			submission.Marker = fmt.Sprintf("%s-%s-%d", phase, name, index)
			if submission.Service == "" {
				submission.Service = "ezik-servers"
			}
			submission.Prompt = strings.Repeat("shared rules ", 30) + submission.Marker
			run.group.Go(func() { run.submit(submission, name) })
			time.Sleep(15 * time.Millisecond)
		}
	}
}

// sendSameKeyInTwoZones submits a request that must not run twice to two zones at once, with the
// same key. Only the claim in the store prevents a second execution.
func (run *cellRun) sendSameKeyInTwoZones(phase string) {
	for _, name := range []string{run.neighbour, otherZone + "-n1"} {
		submission := requestMix[1]
		submission.Marker, submission.Service, submission.Prompt = phase+"-across", "ezik-servers", phase+" across zones"
		run.group.Go(func() { run.submit(submission, name) })
	}
}

// submit sends the submission and records the outcome. With a key or ticket it retries at the next
// nodes until there is an answer, with at most maxSubmitAttempts attempts.
func (run *cellRun) submit(submission cluster.Submission, name string) {
	if submission.Key != "" {
		submission.Key = "key-" + submission.Marker
	}
	if submission.Ticket != "" {
		ctx, cancel := context.WithTimeout(run.ctx, 2*time.Second)
		ticket, err := run.caller.GetTicket(ctx, run.address(name), submission.TenantKey)
		cancel()
		if err != nil || ticket == "" {
			return // nothing was submitted
		}
		submission.Ticket = ticket
	}
	for attempt := range maxSubmitAttempts {
		submission.Address, submission.Zone = run.address(name), zoneOf(name)
		ctx, cancel := context.WithTimeout(run.ctx, requestTimeout)
		observation := run.caller.Send(ctx, &submission)
		cancel()
		run.mutex.Lock()
		observation.Stopped = run.stopping[name] && !run.backendsMisbehave
		run.history.Observations = append(run.history.Observations, observation)
		run.mutex.Unlock()
		if observation.Outcome == structs.OutcomeAnswered || (submission.Key == "" && submission.Ticket == "") {
			return
		}
		time.Sleep(time.Duration(attempt+1) * 700 * time.Millisecond)
		name = nextNode(name)
	}
}

func zoneOf(name string) string { return name[:strings.LastIndex(name, "-")] }

// nextNode returns another node of the node's zone.
func nextNode(name string) string {
	index := name[len(name)-1] - '0'
	return fmt.Sprintf("%s-n%d", zoneOf(name), (index+1)%3)
}

func (run *cellRun) address(name string) string { return run.cluster.Node(name).CallerAddress() }

// checkAllNodesServe records a violation for each running node that doesn't answer a request.
func (run *cellRun) checkAllNodesServe() {
	for _, name := range run.cluster.Names() {
		if run.stopping[name] {
			continue
		}
		submission := requestMix[0]
		submission.Marker, submission.Service, submission.Prompt = "finally-"+name, "ezik-servers", "final request"
		submission.Address, submission.Zone = run.address(name), zoneOf(name)
		ctx, cancel := context.WithTimeout(run.ctx, requestTimeout)
		observation := run.caller.Send(ctx, &submission)
		cancel()
		if observation.Outcome != structs.OutcomeAnswered {
			observation.Marker += fmt.Sprintf(" (%s %s)", observation.Outcome, observation.Code)
			observation.Outcome = structs.OutcomePending // violates checker.RuleEnded
		}
		run.history.Observations = append(run.history.Observations, observation)
	}
}

// changeSettings starts to submit a settings change at the node and doesn't wait for it.
func (run *cellRun) changeSettings(name, id string) {
	run.group.Go(func() {
		n := run.cluster.Node(name)
		ctx, cancel := context.WithTimeout(run.ctx, 8*time.Second)
		defer cancel()
		// The result is ignored: accepted changes are read from the writes of the store.
		_, _ = n.Change(ctx, settingsync.Change{
			ID: "change-" + id, Author: id, Base: n.Settings().Generation,
			Edits: []settingsync.Edit{{Path: "tenants/public", Key: "weight", Text: "0.0" + fmt.Sprint(len(id))}},
		})
	})
}

// sampleGenerations records the active generations of all nodes until stop is closed.
func (run *cellRun) sampleGenerations(stop <-chan struct{}) {
	for {
		run.mutex.Lock()
		for _, name := range run.cluster.Names() {
			n := run.cluster.Node(name)
			run.history.Generations = append(run.history.Generations, checker.GenerationSample{Node: name, Process: n.Status().Process, Generation: n.Settings().Generation, At: time.Now()})
		}
		run.mutex.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}

// check completes the history and returns its violations. All nodes must have activated the
// generation in the store, since the fault was healed long enough ago.
func (run *cellRun) check() []checker.Violation {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.history.Executions = run.cluster.Executions()
	for _, engine := range run.cluster.Engines {
		run.history.Orders = append(run.history.Orders, checker.OrderLog{Replica: engine.ID, Orders: engine.Orders()})
	}
	accepted := run.highestStoredGeneration()
	for _, name := range run.cluster.Names() {
		if !run.stopping[name] {
			n := run.cluster.Node(name)
			run.history.Generations = append(run.history.Generations, checker.GenerationSample{Node: name, Process: n.Status().Process, Generation: n.Settings().Generation, At: time.Now(), Accepted: accepted})
		}
	}
	return run.history.Check()
}

// highestStoredGeneration returns the highest generation that was written to the store.
func (run *cellRun) highestStoredGeneration() uint64 {
	highest := uint64(0)
	for _, write := range run.cluster.Store.Writes(settingsync.Key) {
		if document, err := settingsync.Decode(write.Value); err == nil {
			highest = max(highest, document.Generation)
		}
	}
	return highest
}
