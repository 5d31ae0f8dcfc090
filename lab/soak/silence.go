package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/pathfault"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// With Options.Silence further services have replicas that are processes of their own. These are stopped and
// continued by signals, so that healthy replicas are silent for a while.
const (
	// silenceStream is the random stream of the plan. Other faults use others.
	silenceStream = 3_000_017
	// firstHeldHost is behind the hosts of all other replicas.
	firstHeldHost = 60
	// maxConcurrentStarts bounds the processes that start at the same time.
	maxConcurrentStarts = 8
	// maxProcesses bounds the processes of all runs of this program together; each run waits for its share.
	maxProcesses = 148
)

var processBudget = semaphore.NewWeighted(maxProcesses)

// Services and routes of the held replicas.
const (
	heldEngines, heldPlain, heldOther = "held-engines", "held-plain", "held-other"
	// resumableRoute and singleRoute are streams that may and may not go on at another replica. movedRoute is moved
	// between the plain services.
	resumableRoute, singleRoute = "held-resumable", "held-single"
	safeRoute, unsafeRoute      = "held-safe", "held-unsafe"
	movedRoute                  = "held-moved"
	heldVersion                 = "v1"
	heldSlots                   = 4
	heldEvents                  = 20
	heldEventStep               = 100 * time.Millisecond
	heldPlainStep               = 300 * time.Millisecond
	// heldLoad is the share of the replicas' capacity that callers ask for.
	heldLoad = 0.8
	// heldRetrySlack is less than the usual one, as a small run has few streams that are silent together.
	heldRetrySlack = 5
)

// Limits of requests to held replicas. Callers leave after their deadline only.
const (
	heldDeadline       = 8 * time.Second
	heldCallerPatience = 2 * time.Second
	minHeldTimeout     = 7 * time.Second
	maxHeldTimeout     = 9 * time.Second
)

// heldIdleTimeouts are the limits on idle connections that changes set in turn.
var heldIdleTimeouts = []time.Duration{15 * time.Second, 1500 * time.Millisecond, 4 * time.Second}

// Kinds of plans with Options.Silence.
const (
	kindHold        kind = "hold"        // processes of replicas are stopped and continued
	kindReconfigure kind = "reconfigure" // a series of configurations with other limits and routes
)

// change is one step of kindReconfigure.
type change string

const (
	changeIdle    change = "idle-limit"
	changeTimeout change = "timeout"
	changeMove    change = "route-moved"
	changeAdd     change = "route-added"
)

var changes = []change{changeIdle, changeTimeout, changeMove, changeAdd}

// Bounds of the plan.
const (
	seriesTime             = 6 * time.Second
	seriesStart            = 1500 * time.Millisecond
	minHold, maxHold       = 500 * time.Millisecond, 3 * time.Second
	minHoldGap, maxHoldGap = 300 * time.Millisecond, 1500 * time.Millisecond
	maxHolds               = 3
	disturbanceLead        = 600 * time.Millisecond
	maxDisturbances        = 3
	nodeSuspension         = time.Second
	minHeldCut, maxHeldCut = 300 * time.Millisecond, 2 * time.Second
	heldResetTime          = 100 * time.Millisecond
	schedulerLead          = 150 * time.Millisecond
	minChanges, maxChanges = 2, 5
	reconfigureInterval    = 150 * time.Millisecond
	schedulerShare         = 1.0 / 3
	targetsSchedulerShare  = 1.0 / 2
	nodeFaultsShare        = 1.0 / 3
	schedulerQueryTimeout  = 300 * time.Millisecond
	addedRoutePrefix       = "held-added"
)

// silenceSizes are the numbers of engines and plain replicas. The last one uses nearly all of maxProcesses.
var silenceSizes = []struct{ engines, plain int }{{8, 4}, {8, 4}, {8, 4}, {24, 8}, {24, 8}, {104, 36}}

// heldQuarters are how many quarters of the replicas a series holds.
var heldQuarters = []int{1, 3, 4}

// silencePlan is what the seed determines for a run with Options.Silence.
type silencePlan struct {
	engines, plain int
	// hasNodeFaults is true if the other faults include those of nodes and of the store.
	hasNodeFaults bool
	faults        []fault
}

// drawSilence draws the plan from the seed.
func drawSilence(seed uint64, traffic time.Duration) silencePlan {
	random := rand.New(rand.NewPCG(seed, silenceStream))
	size := silenceSizes[random.IntN(len(silenceSizes))]
	plan := silencePlan{engines: size.engines, plain: size.plain, hasNodeFaults: random.Float64() < nodeFaultsShare}
	count := max(1, int(traffic/seriesTime))
	quarters := random.Perm(len(heldQuarters))
	for number := range count {
		plan.addSeries(random, heldQuarters[quarters[number%len(quarters)]], seriesStart+(traffic-seriesStart)*time.Duration(number)/time.Duration(count))
	}
	return plan
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// addSeries adds a series of holds of the same replicas and what overlaps it.
func (p *silencePlan) addSeries(random *rand.Rand, quarters int, start time.Duration) {
	replicas := p.drawHeld(random, quarters)
	end := start
	for range 1 + random.IntN(maxHolds) {
		if end > start {
			end += between(random, minHoldGap, maxHoldGap)
		}
		held := fault{kind: kindHold, offset: end, duration: between(random, minHold, maxHold), replicas: replicas}
		p.faults = append(p.faults, held)
		end += held.duration
	}
	if random.Float64() < schedulerShare {
		hit := fault{kind: kindFreeze, offset: start - schedulerLead, duration: nodeSuspension, onScheduler: true}
		if random.IntN(2) == 0 {
			hit.kind, hit.duration = kindKill, 0
		}
		p.faults = append(p.faults, hit)
	}
	for range 1 + random.IntN(maxDisturbances) {
		p.faults = append(p.faults, p.drawDisturbance(random, between(random, start-disturbanceLead, end)))
	}
}

// drawHeld draws the replicas of a series: so many quarters of the engines, of the plain replicas or of both.
func (p *silencePlan) drawHeld(random *rand.Rand, quarters int) []int {
	engines, plain := random.Perm(p.engines)[:p.engines*quarters/4], random.Perm(p.plain)[:p.plain*quarters/4]
	for i := range plain {
		plain[i] += p.engines
	}
	switch random.IntN(5) {
	case 0:
		return plain
	case 1:
		return slices.Concat(engines, plain)
	}
	return engines
}

func (p *silencePlan) drawDisturbance(random *rand.Rand, offset time.Duration) fault {
	return drawDisturbance(random, offset, p.engines+p.plain, minHeldCut, maxHeldCut, func(drawn *fault, _ int) {
		drawn.kind = kindReconfigure
		for range minChanges + random.IntN(maxChanges-minChanges+1) {
			drawn.changes = append(drawn.changes, changes[random.IntN(len(changes))])
		}
	})
}

// drawDisturbance draws a fault of a node, or of the paths of a node to half of the replicas, or a change of the
// configuration, which drawChange draws by a choice of 0 or 1.
func drawDisturbance(random *rand.Rand, offset time.Duration, replicas int, minCut, maxCut time.Duration, drawChange func(drawn *fault, choice int)) fault {
	drawn := fault{offset: offset, target: random.IntN(nodeCount), onScheduler: random.Float64() < targetsSchedulerShare}
	switch choice := random.IntN(8); choice {
	case 0, 1:
		drawChange(&drawn, choice)
	case 2:
		drawn.kind = kindHangUp
	case 3:
		drawn.kind = kindStop
	case 4:
		drawn.kind = kindKill
	case 5:
		drawn.kind, drawn.duration = kindFreeze, nodeSuspension
	default:
		drawn.kind, drawn.duration = kindPathCut, between(random, minCut, maxCut)
		drawn.nodes, drawn.mode = []int{drawn.target}, pathfault.Modes[random.IntN(len(pathfault.Modes))]
		if drawn.mode == pathfault.Reset {
			drawn.duration = heldResetTime
		}
		drawn.replicas = random.Perm(replicas)[:replicas/2]
	}
	return drawn
}

// kinds returns the kinds of the other faults.
func (p *silencePlan) kinds() []kind { return kindsWith(p.hasNodeFaults) }

// kindsWith returns all kinds, or without those of nodes and of the store.
func kindsWith(hasNodeFaults bool) []kind {
	if hasNodeFaults {
		return kinds
	}
	return slices.DeleteFunc(slices.Clone(kinds), kind.delaysReads)
}

// replicaOptions returns the options of the replica with the number: first the engines, then the plain ones.
func (p *silencePlan) replicaOptions(block string, number int, ids platformsim.EventIDs) replicaOptions {
	options := replicaOptions{
		ID: fmt.Sprintf("held-%d", number), Address: hostAddress(block, firstHeldHost+number, replicaPort),
		Service: heldEngines, Version: heldVersion, Slots: heldSlots, Events: heldEvents, Step: heldEventStep, EventIDs: ids, NamesRuns: true,
	}
	options.Incarnation = options.ID
	if number >= p.engines {
		options.Service, options.Version, options.Events, options.Step = heldPlain, "", 0, heldPlainStep
		if (number-p.engines)%2 == 1 {
			options.Service = heldOther
		}
	}
	return options
}

// processes returns the number of processes of the run.
func (p *silencePlan) processes() int { return p.engines + p.plain + nodeCount }

func (p *silencePlan) String() string {
	return fmt.Sprintf("%d engines, %d plain replicas, faults of nodes and the store %t", p.engines, p.plain, p.hasNodeFaults)
}

// heldConfiguration is the state of the routes to the held replicas.
type heldConfiguration struct {
	timeout time.Duration
	// idleTimeout is the number of the limit in heldIdleTimeouts.
	idleTimeout int
	isMoved     bool
	added       int
}

// apply applies one change.
func (h *heldConfiguration) apply(step change) {
	switch step {
	case changeIdle:
		h.idleTimeout = (h.idleTimeout + 1) % len(heldIdleTimeouts)
	case changeTimeout:
		h.timeout = minHeldTimeout + maxHeldTimeout - h.timeout
	case changeMove:
		h.isMoved = !h.isMoved
	case changeAdd:
		h.added++
	}
}

// addTo adds the routes and services to the configuration.
func (h *heldConfiguration) addTo(configuration *entrylab.Configuration, route func(name, kind, service string, priority, attempts int, resumable bool) entrylab.Route) {
	moved := heldOther
	if h.isMoved {
		moved = heldPlain
	}
	routes := []entrylab.Route{
		route(resumableRoute, "streaming", heldEngines, 1, 2, true), route(singleRoute, "streaming", heldEngines, 1, 1, false),
		route(safeRoute, "safe", heldPlain, 1, 2, false), route(unsafeRoute, "unsafe", heldPlain, 1, 1, false),
		route(movedRoute, "safe", moved, 1, 2, false),
	}
	for number := range h.added {
		routes = append(routes, route(fmt.Sprintf("%s-%d", addedRoutePrefix, number), "streaming", heldEngines, 1, 2, true))
	}
	for i := range routes {
		routes[i].Timeout = int(h.timeout.Milliseconds())
	}
	configuration.Routes = append(configuration.Routes, routes...)
	configuration.Services = append(configuration.Services, entrylab.Service{Name: heldEngines}, entrylab.Service{Name: heldPlain}, entrylab.Service{Name: heldOther})
	configuration.IdleTimeout = int(heldIdleTimeouts[h.idleTimeout].Milliseconds())
}

// holdReplicas stops the replicas of the fault.
func (i *injector) holdReplicas(f fault) (heal func()) {
	for _, number := range f.replicas {
		i.deployment.held[number].hold()
	}
	return func() {
		for _, number := range f.replicas {
			i.deployment.held[number].release()
		}
	}
}

// reconfigure writes a configuration for each change of the fault.
func (i *injector) reconfigure(f fault) {
	for _, step := range f.changes {
		i.mutex.Lock()
		i.deployment.heldConfiguration.apply(step)
		i.writeConfiguration()
		i.mutex.Unlock()
		time.Sleep(reconfigureInterval)
	}
}

// freeze suspends the node.
func (i *injector) freeze(f fault) (heal func()) {
	number := f.target % len(i.deployment.processes)
	node := i.deployment.processes[number]
	from := time.Now()
	node.signal(syscall.SIGSTOP, false)
	return func() {
		node.signal(syscall.SIGCONT, false)
		i.mutex.Lock()
		defer i.mutex.Unlock()
		i.frozen[number] = append(i.frozen[number], span{from, time.Now()})
	}
}

// resolveTarget returns the fault with the present scheduling node as its target, if it hits that one and a node
// tells which it is.
func (i *injector) resolveTarget(f fault) fault {
	if !f.onScheduler {
		return f
	}
	client := http.Client{Timeout: schedulerQueryTimeout}
	for _, process := range i.deployment.processes {
		response, err := client.Get("http://" + process.settings.Operators + entry.PathStatus)
		if err != nil {
			continue
		}
		var status entry.Status
		err = json.NewDecoder(response.Body).Decode(&status)
		_ = response.Body.Close()
		for number := range slices.Backward(i.deployment.processes) { // n1 begins the name of n10
			if err == nil && strings.HasPrefix(status.Scheduler, nodeName(number)) {
				f.target = number
				if len(f.nodes) > 0 {
					f.nodes = []int{number}
				}
				return f
			}
		}
	}
	return f
}
