package soak

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// injector carries out a plan against a deployment.
type injector struct {
	deployment *deployment
	startedAt  time.Time
	group      sync.WaitGroup

	mutex sync.Mutex
	// unplanned are the spans in which a fault other than a planned stop may cause losses.
	unplanned []span
	// plannedStops are the spans of planned stops, by node.
	plannedStops map[int][]span
	// restarts are the spans from the signal that ends a node's process until the next process
	// runs, suspensions those in which it is suspended; both by node.
	restarts, suspensions map[int][]span
	// kills are the spans from the kill of a node's process until the next one runs, frozen those in which it was
	// suspended without the time of recovery; both by node.
	kills, frozen map[int][]span
	// delays are the spans in which a fault may delay the nodes' reads of the store.
	delays []span
	// storeFaults are the spans in which a fault may keep nodes or replicas from the store.
	storeFaults []span
	// stopped are the planned stops with a grace that the plan names.
	stopped []plannedStop
	// replicaFaults are the spans in which a replica of the routes of planned stops was gone or silent.
	replicaFaults []span
	// cuts are the cuts of paths to replicas.
	cuts []cutSpan
	// restoredAt is when the store was restored the last time.
	restoredAt     time.Time
	drainedReplica string
	drainedAt      time.Time
	routeReplaced  bool
}

type span struct{ from, to time.Time }

func (s span) overlaps(other span) bool { return s.from.Before(other.to) && other.from.Before(s.to) }

// run injects the faults of the plan, sorted by offset, and returns when every fault is healed. It starts none once
// the context ends.
func (i *injector) run(ctx context.Context, plan []fault) {
	for _, planned := range plan {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(i.startedAt.Add(planned.offset))):
		}
		if ctx.Err() != nil {
			break
		}
		i.group.Go(func() { i.inject(planned) })
	}
	i.group.Wait()
}

// inject starts one fault, waits for its duration and heals it.
func (i *injector) inject(f fault) {
	f = i.resolveTarget(f)
	now := time.Now()
	i.recordSpans(f, now)
	heal := i.start(f)
	time.Sleep(f.duration)
	heal()
}

// recoveryTime is the time after a fault in which it may still cause losses.
const recoveryTime = 3 * time.Second

// recordSpans records the spans in which the checks have to allow for the fault.
func (i *injector) recordSpans(f fault, now time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	killed, stopped := span{now, now.Add(restartDelay)}, span{now, now.Add(stopGrace + restartDelay)}
	nodes := len(i.deployment.processes)
	switch node := f.target % nodes; f.kind {
	case kindKill:
		i.restarts[node] = append(i.restarts[node], killed)
		i.kills[node] = append(i.kills[node], killed)
	case kindStop, kindReplace:
		i.restarts[node] = append(i.restarts[node], stopped)
	case kindKillAll:
		for each := range nodes {
			i.restarts[each] = append(i.restarts[each], killed)
			i.kills[each] = append(i.kills[each], killed)
		}
	case kindFreeze:
		i.suspensions[node] = append(i.suspensions[node], span{now, now.Add(f.duration + recoveryTime)})
	}
	if delay, isDelay := f.delay(now); isDelay {
		i.delays = append(i.delays, delay)
	}
	if f.kind.hitsStore() {
		i.storeFaults = append(i.storeFaults, span{now, now.Add(f.duration + recoveryTime)})
	}
	switch f.kind {
	case kindStop, kindReplace:
		i.plannedStops[f.target] = append(i.plannedStops[f.target], stopped)
	case kindHangUp, kindChange, kindGrow, kindDrain, kindReplicaLeaves, kindReplicaLimits, kindReplicaPauses, kindHold, kindReconfigure, kindReplicaSpoils, kindReincarnate, kindMove, kindPlannedStop, kindReplicaEnds, kindReplicaSilent:
	default:
		i.unplanned = append(i.unplanned, span{now.Add(-storeRecoveryWindow), now.Add(f.duration + recoveryTime)})
	}
}

// start starts the fault and returns the function that ends it.
func (i *injector) start(f fault) (heal func()) {
	d := i.deployment
	node, storeProxy := d.processes[f.target%len(d.processes)], d.storeProxies[f.target%len(d.processes)]
	noHeal := func() {}
	switch f.kind {
	case kindKill:
		node.signal(syscall.SIGKILL, true)
	case kindStop:
		node.signal(syscall.SIGTERM, true)
	case kindReplace:
		node.replace()
	case kindReplicasRefuse:
		return i.rejectMost(f.target)
	case kindStoreCopy:
		return i.restoreStore()
	case kindHangUp:
		node.signal(syscall.SIGHUP, false)
	case kindKillAll:
		for _, each := range d.processes {
			each.signal(syscall.SIGKILL, true)
		}
	case kindFreeze:
		return i.freeze(f)
	case kindHold:
		return i.holdReplicas(f)
	case kindReconfigure:
		i.reconfigure(f)
	case kindStoreReset, kindStoreHang:
		storeProxy.setMode(map[kind]mode{kindStoreReset: modeReset, kindStoreHang: modeHang}[f.kind])
		return func() { storeProxy.setMode(modePass) }
	case kindStoreDown:
		d.store.SetDown(true)
		return func() { d.store.SetDown(false) }
	case kindStoreLost:
		d.store.SetLoseAnswers(true)
		return func() { d.store.SetLoseAnswers(false) }
	case kindCompact:
		d.store.Compact()
	case kindChange:
		i.replaceRoute()
	case kindGrow:
		i.addRoutes()
	case kindMove:
		i.moveRoute()
	case kindDrain:
		i.drainReplica()
	case kindReplicaLeaves:
		d.replicas[f.target].SetPushback(platformsim.Pushback{Leaving: "1"})
	case kindReplicaLimits:
		d.replicas[f.target].SetPushback(platformsim.Pushback{Limit: strconv.Itoa(f.ratePerSecond)})
	case kindPathCut:
		return i.cutPaths(f)
	case kindReincarnate:
		return i.reincarnate(f)
	case kindStoreCut:
		return i.cutStore(f)
	case kindReplicaSpoils:
		return i.spoilAnswers(f)
	case kindPlannedStop:
		i.stopNode(f)
	case kindReplicaEnds, kindReplicaSilent:
		return i.disturbStopping(f)
	case kindReplicaPauses:
		return pauseReplica(d.replicas[f.target])
	default:
		return i.degradeReplica(f)
	}
	return noHeal
}

// rejectMost makes all replicas of a service reject two thirds of their requests: of the registry
// if target is odd, else of the engines.
func (i *injector) rejectMost(target int) (heal func()) {
	replicas := i.deployment.replicas[:engineCount]
	if target%2 == 1 {
		replicas = i.deployment.replicas[engineCount:]
	}
	for _, replica := range replicas {
		var count atomic.Int64
		replica.SetBehavior(func(*http.Request) platformsim.Behavior {
			if count.Add(1)%3 == 0 {
				return platformsim.Answer
			}
			return platformsim.Shed
		})
	}
	return func() {
		for _, replica := range replicas {
			replica.SetBehavior(nil)
		}
	}
}

// pauseSeconds is the Retry-After of a replica that asks nodes to pause.
const pauseSeconds = "1.5"

// pauseReplica makes the replica reject all requests and ask for a pause.
func pauseReplica(replica *platformsim.Replica) (heal func()) {
	replica.SetPushback(platformsim.Pushback{RetryAfter: pauseSeconds})
	replica.SetBehavior(func(*http.Request) platformsim.Behavior { return platformsim.Shed })
	return func() {
		replica.SetBehavior(nil)
		replica.SetPushback(platformsim.Pushback{})
	}
}

const (
	// backupAge is the time from the backup of the store until it goes down.
	backupAge = time.Second
	// rewriteDelay is the time from the restore of the store until writers write their entries again.
	rewriteDelay = 2 * time.Second
)

// restoreStore takes the store down. Healing restores it from a copy made earlier, after which its
// entries are written again.
func (i *injector) restoreStore() (heal func()) {
	store := i.deployment.store
	backup := store.Backup()
	i.deployment.deleteRelisted()
	time.Sleep(backupAge) // acknowledge changes that the copy lacks
	store.SetDown(true)
	return func() {
		store.Restore(backup)
		store.SetDown(false)
		i.mutex.Lock()
		i.restoredAt = time.Now()
		i.mutex.Unlock()
		time.Sleep(rewriteDelay)
		i.deployment.rewriteStore()
	}
}

// degradeReplica injects a replica fault into one replica.
func (i *injector) degradeReplica(f fault) (heal func()) {
	number := f.target % engineCount * 2 // two engines and one plain replica
	number %= len(i.deployment.replicas)
	replica, faultProxy := i.deployment.replicas[number], i.deployment.replicaProxies[number]
	switch f.kind {
	case kindReplicaReset, kindReplicaHang:
		faultProxy.setMode(map[kind]mode{kindReplicaReset: modeReset, kindReplicaHang: modeHang}[f.kind])
		return func() { faultProxy.setMode(modePass) }
	}
	behaviors := map[kind]platformsim.Behavior{
		kindReplicaGrey: platformsim.Fail, kindReplicaCut: platformsim.Cut, kindReplicaStray: platformsim.Stray,
	}
	replica.SetBehavior(everyThirdRequest(behaviors[f.kind]))
	return func() { replica.SetBehavior(nil) }
}

// everyThirdRequest applies the behavior to every third request and answers the others.
func everyThirdRequest(behavior platformsim.Behavior) func(*http.Request) platformsim.Behavior {
	var count atomic.Int64
	return func(*http.Request) platformsim.Behavior {
		if count.Add(1)%3 == 0 {
			return behavior
		}
		return platformsim.Answer
	}
}

// drainReplica registers the last replica as draining; it continues to serve.
func (i *injector) drainReplica() {
	number := len(i.deployment.replicas) - 1
	last := i.deployment.replicas[number]
	i.deployment.mutex.Lock()
	i.deployment.states[number] = "draining"
	i.deployment.mutex.Unlock()
	i.deployment.registerReplica(number)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.drainedReplica, i.drainedAt = last.ID, time.Now()
}

// replaceRoute replaces staleRouteName by freshRouteName in the configuration.
func (i *injector) replaceRoute() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.routeReplaced = true
	i.writeConfiguration()
}

// Growth of the configuration by one addRoutes.
const (
	growthChanges   = 3
	growthInterval  = 300 * time.Millisecond
	routesPerChange = 1400
	maxAddedRoutes  = 3 * growthChanges * routesPerChange
)

// addRoutes adds routes that receive no requests, in growthChanges changes.
func (i *injector) addRoutes() {
	for range growthChanges {
		i.mutex.Lock()
		i.deployment.addedRoutes = min(i.deployment.addedRoutes+routesPerChange, maxAddedRoutes)
		i.writeConfiguration()
		i.mutex.Unlock()
		time.Sleep(growthInterval)
	}
}

// writeConfiguration writes the configuration with all changes so far. The caller holds the mutex.
func (i *injector) writeConfiguration() {
	extraRoute := staleRouteName
	if i.routeReplaced {
		extraRoute = freshRouteName
	}
	i.deployment.writeConfiguration(extraRoute)
}
