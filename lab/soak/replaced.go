package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/lab/entrylab"
)

// With Options.Replaced a further service has replicas that are processes of their own, of two software versions. They
// end and start again at their address and under their ID, as another incarnation and often with the other version.
const (
	// replacedStream is the random stream of the plan. Other faults use others.
	replacedStream = 7_000_003
	// replacedCalm is how long requests to the replicas are sent after the time in which faults start. The last series
	// may reach into it by seriesTime; afterwards enough streams have to be resumed to be judged.
	replacedCalm = 11 * time.Second
)

// The service and its routes.
const (
	replacedService = "replaced"
	// replacedRoute has streams that may be resumed, lastingRoute streams that may not.
	replacedRoute, lastingRoute = "replaced", "lasting"
	replacedSlots               = 6
	replacedEvents              = 16
	replacedStep                = 90 * time.Millisecond
	replacedTimeout             = 8 * time.Second
	// replacedLoad is the share of the replicas' capacity that callers ask for, up to maxReplacedRate streams a second.
	replacedLoad    = 0.6
	maxReplacedRate = 100
)

// replacedVersions are the two software versions.
var replacedVersions = []string{"v1", "v2"}

// replacedSizes are the numbers of replicas. The last one uses nearly all of maxProcesses.
var replacedSizes = []int{6, 8, 8, 12, 24, 140}

// Bounds of the plan.
const (
	reportShare                        = 1.0 / 2
	startStatedShare                   = 3.0 / 4
	closesShare                        = 1.0 / 4
	otherVersionShare                  = 3.0 / 4
	againShare                         = 1.0 / 4
	maxPasses                          = 3
	maxReplaceGap                      = 700 * time.Millisecond
	replaceSpread                      = 4500 * time.Millisecond
	minDowntime, maxDowntime           = 50 * time.Millisecond, 1500 * time.Millisecond
	minAgainGap, maxAgainGap           = 100 * time.Millisecond, 400 * time.Millisecond
	maxEntryDelay                      = time.Second
	maxStoreLead, maxStoreLag          = 700 * time.Millisecond, 300 * time.Millisecond
	minStoreOutage, maxStoreOutage     = 800 * time.Millisecond, 7 * time.Second
	maxStoreTail                       = 1500 * time.Millisecond
	minStoreGap, maxStoreGap           = 200 * time.Millisecond, 1200 * time.Millisecond
	maxStoreOutages                    = 3
	minVersionShare                    = 1.0 / 4
	minReplacedDelay, maxReplacedDelay = 300 * time.Millisecond, 2 * time.Second
)

// replacedPlan is what the seed determines for a run with Options.Replaced.
type replacedPlan struct {
	// versions are those of the replicas at the start.
	versions []string
	// givesReports is true if the replicas answer GET /api/report, statesStart if their entries state their start.
	givesReports, statesStart bool
	// hasNodeFaults is true if the other faults include those of nodes and of the store.
	hasNodeFaults bool
	faults        []fault
	// free is when the last planned start of each replica is over.
	free []time.Duration
}

// drawReplaced draws the plan from the seed.
func drawReplaced(seed uint64, traffic time.Duration) replacedPlan {
	random := rand.New(rand.NewPCG(seed, replacedStream))
	size := replacedSizes[random.IntN(len(replacedSizes))]
	plan := replacedPlan{
		givesReports: random.Float64() < reportShare, statesStart: random.Float64() < startStatedShare, hasNodeFaults: random.Float64() < nodeFaultsShare,
		free: make([]time.Duration, size),
	}
	for number := range size {
		plan.versions = append(plan.versions, replacedVersions[number%len(replacedVersions)])
	}
	count := max(1, int(traffic/seriesTime))
	quarters := random.Perm(len(heldQuarters))
	for number := range count {
		plan.addSeries(random, heldQuarters[quarters[number%len(quarters)]], seriesStart+(traffic-seriesStart)*time.Duration(number)/time.Duration(count))
	}
	plan.keepBothVersions()
	return plan
}

// addSeries adds a series of replacements of the same replicas, forth and back, and what overlaps it.
func (p *replacedPlan) addSeries(random *rand.Rand, quarters int, start time.Duration) {
	replicas := random.Perm(len(p.versions))[:max(1, len(p.versions)*quarters/4)]
	passes, version := 1+random.IntN(maxPasses), random.IntN(len(replacedVersions))
	gap := min(maxReplaceGap, replaceSpread/time.Duration(len(replicas)*passes))
	offset := start
	for pass := range passes {
		next := replacedVersions[(version+pass)%len(replacedVersions)]
		for _, number := range replicas {
			p.addReplacement(random, number, offset, next)
			if random.Float64() < againShare {
				p.addReplacement(random, number, offset, replacedVersions[(version+pass+1)%len(replacedVersions)])
			}
			offset += between(random, 0, 2*gap)
		}
	}
	end := max(offset, start+minStoreOutage)
	p.addOutages(random, start, end)
	if random.Float64() < schedulerShare {
		hit := fault{kind: kindFreeze, offset: between(random, start, end), duration: nodeSuspension, onScheduler: true}
		if random.IntN(2) == 0 {
			hit.kind, hit.duration = kindKill, 0
		}
		p.faults = append(p.faults, hit)
	}
	for range 1 + random.IntN(maxDisturbances) {
		p.faults = append(p.faults, p.drawDisturbance(random, between(random, start-disturbanceLead, end)))
	}
}

// addReplacement adds the end of the replica at the offset, or soon after its last start, and its next start, mostly
// with the version.
func (p *replacedPlan) addReplacement(random *rand.Rand, number int, offset time.Duration, version string) {
	if p.free[number] > 0 {
		offset = max(offset, p.free[number]+between(random, minAgainGap, maxAgainGap))
	}
	if random.Float64() >= otherVersionShare {
		version = p.versionAt(number)
	}
	replaced := fault{
		kind: kindReincarnate, offset: offset, duration: between(random, minDowntime, maxDowntime), target: number,
		version: version, entryDelay: between(random, 0, maxEntryDelay), closes: random.Float64() < closesShare,
	}
	p.faults = append(p.faults, replaced)
	p.free[number] = replaced.offset + replaced.duration
}

// versionAt returns the version of the replica after the replacements so far.
func (p *replacedPlan) versionAt(number int) string {
	if last := p.lastReplacement(number); last != nil {
		return last.version
	}
	return p.versions[number]
}

// lastReplacement returns the last replacement of the replica, nil if there is none.
func (p *replacedPlan) lastReplacement(number int) *fault {
	for i := range slices.Backward(p.faults) {
		if p.faults[i].kind == kindReincarnate && p.faults[i].target == number {
			return &p.faults[i]
		}
	}
	return nil
}

// keepBothVersions changes the versions of the last starts so that at the end each version has minVersionShare of the
// replicas, as streams can't go on at a version that is gone.
func (p *replacedPlan) keepBothVersions() {
	least := max(1, int(minVersionShare*float64(len(p.versions))))
	for _, version := range replacedVersions {
		count := 0
		for number := range p.versions {
			if p.versionAt(number) == version {
				count++
			}
		}
		for number := 0; count < least && number < len(p.versions); number++ {
			if last := p.lastReplacement(number); last != nil && last.version != version {
				last.version = version
				count++
			}
		}
	}
}

// addOutages adds outages of the store around the series, all of one kind, or none.
func (p *replacedPlan) addOutages(random *rand.Rand, start, end time.Duration) {
	outage := fault{kind: kindStoreDown}
	switch random.IntN(7) {
	case 0:
		return
	case 1, 2, 3:
	case 4:
		outage.kind, outage.hangs = kindStoreCut, random.IntN(2) == 0
		outage.nodes = random.Perm(nodeCount)
	case 5:
		outage.kind, outage.hangs = kindStoreCut, random.IntN(2) == 0
		outage.nodes, outage.onScheduler = []int{random.IntN(nodeCount)}, random.Float64() < targetsSchedulerShare
	case 6:
		outage.kind = kindStoreLost
	}
	offset := max(0, between(random, start-maxStoreLead, start+maxStoreLag))
	for range maxStoreOutages {
		outage.offset, outage.duration = offset, min(between(random, minStoreOutage, maxStoreOutage), end+maxStoreTail-offset)
		p.faults = append(p.faults, outage)
		offset += outage.duration + between(random, minStoreGap, maxStoreGap)
		if offset > end {
			return
		}
	}
}

func (p *replacedPlan) drawDisturbance(random *rand.Rand, offset time.Duration) fault {
	return drawDisturbance(random, offset, len(p.versions), minReplacedDelay, maxReplacedDelay, func(drawn *fault, choice int) {
		drawn.kind = []kind{kindChange, kindGrow}[choice]
	})
}

// kinds returns the kinds of the other faults.
func (p replacedPlan) kinds() []kind { return kindsWith(p.hasNodeFaults) }

// processes returns the number of processes of the run.
func (p replacedPlan) processes() int { return len(p.versions) + nodeCount }

// streamRate returns the number of new streams per second.
func (p replacedPlan) streamRate() float64 {
	return min(maxReplacedRate, replacedLoad*float64(len(p.versions)*replacedSlots)/(replacedEvents*replacedStep).Seconds())
}

func (p replacedPlan) String() string {
	return fmt.Sprintf("%d replicas, reports %t, start stated %t, faults of nodes and the store %t", len(p.versions), p.givesReports, p.statesStart, p.hasNodeFaults)
}

// hitsStore reports whether the fault may keep nodes or replicas from the store.
func (k kind) hitsStore() bool {
	switch k {
	case kindStoreReset, kindStoreHang, kindStoreDown, kindStoreLost, kindStoreCut:
		return true
	}
	return false
}

// replacedRoutes returns the routes of the service.
func replacedRoutes(route func(name, kind, service string, priority, attempts int, resumable bool) entrylab.Route) []entrylab.Route {
	routes := []entrylab.Route{
		route(replacedRoute, "streaming", replacedService, 1, 2, true), route(lastingRoute, "streaming", replacedService, 1, 1, false),
	}
	for i := range routes {
		routes[i].Timeout = int(replacedTimeout.Milliseconds())
	}
	return routes
}

// reincarnate ends the replica of the fault. Healing starts it again.
func (i *injector) reincarnate(f fault) (heal func()) {
	replica := i.deployment.reincarnated[f.target]
	replica.order.Lock()
	replica.end(f.closes)
	return func() {
		defer replica.order.Unlock()
		replica.start(f.version, i.deployment.store, f.entryDelay)
	}
}

// cutStore has the fault's nodes lose the store.
func (i *injector) cutStore(f fault) (heal func()) {
	set := func(next mode) {
		for _, node := range f.nodes {
			i.deployment.storeProxies[node].setMode(next)
		}
	}
	if f.hangs {
		set(modeHang)
	} else {
		set(modeReset)
	}
	return func() { set(modePass) }
}
