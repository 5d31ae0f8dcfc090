package soak

import (
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
	begun      time.Time
	group      sync.WaitGroup

	mutex sync.Mutex
	// disturbed are the times in which something unplanned happened.
	disturbed []span
	// stops are the planned stops, by node.
	stops map[int][]span
	// ends are the times from when the process of each node was told to end until the next one runs,
	// and freezes those in which it stood still.
	ends, freezes map[int][]span
	drained       string
	drainAt       time.Time
	changed       bool
}

// span is a time between two moments.
type span struct{ from, to time.Time }

func (s span) overlaps(other span) bool { return s.from.Before(other.to) && other.from.Before(s.to) }

// run plays the plan and returns when every fault was healed.
func (i *injector) run(plan []fault) {
	for _, next := range plan {
		time.Sleep(time.Until(i.begun.Add(next.at)))
		i.group.Go(func() { i.play(next) })
	}
	i.group.Wait()
}

// play holds one fault for its time.
func (i *injector) play(f fault) {
	now := time.Now()
	i.note(f, now)
	heal := i.apply(f)
	time.Sleep(f.lasts)
	heal()
}

// recovery is the time after a fault in which its effects may still be felt.
const recovery = 3 * time.Second

// note records what judging has to know of the fault.
func (i *injector) note(f fault, now time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	killed, stopped := span{now, now.Add(restartDelay)}, span{now, now.Add(stopGrace + restartDelay)}
	switch node := f.target % nodeCount; f.kind {
	case kindKill:
		i.ends[node] = append(i.ends[node], killed)
	case kindStop, kindReplace:
		i.ends[node] = append(i.ends[node], stopped)
	case kindKillAll:
		for each := range nodeCount {
			i.ends[each] = append(i.ends[each], killed)
		}
	case kindFreeze:
		i.freezes[node] = append(i.freezes[node], span{now, now.Add(f.lasts + recovery)})
	}
	switch f.kind {
	case kindStop, kindReplace:
		i.stops[f.target] = append(i.stops[f.target], stopped)
	case kindHangUp, kindChange, kindGrow, kindDrain, kindReplicaLeaves, kindReplicaLimits, kindReplicaPauses:
	default:
		i.disturbed = append(i.disturbed, span{now.Add(-contactBound), now.Add(f.lasts + recovery)})
	}
}

// apply starts the fault and returns what ends it.
func (i *injector) apply(f fault) (heal func()) {
	d := i.deployment
	node, storeProxy := d.processes[f.target%nodeCount], d.storeProxies[f.target%nodeCount]
	nothing := func() {}
	switch f.kind {
	case kindKill:
		node.signal(syscall.SIGKILL, true)
	case kindStop:
		node.signal(syscall.SIGTERM, true)
	case kindReplace:
		node.replace()
	case kindReplicasRefuse:
		return i.refuse(f.target)
	case kindStoreCopy:
		return i.restoreStore()
	case kindHangUp:
		node.signal(syscall.SIGHUP, false)
	case kindKillAll:
		for _, each := range d.processes {
			each.signal(syscall.SIGKILL, true)
		}
	case kindFreeze:
		node.signal(syscall.SIGSTOP, false)
		return func() { node.signal(syscall.SIGCONT, false) }
	case kindStoreReset, kindStoreHang:
		storeProxy.setMode(map[kind]mode{kindStoreReset: modeReset, kindStoreHang: modeHang}[f.kind])
		return func() { storeProxy.setMode(modePass) }
	case kindStoreDown:
		d.store.SetDown(true)
		return func() { d.store.SetDown(false) }
	case kindStoreLost:
		d.store.SetLost(true)
		return func() { d.store.SetLost(false) }
	case kindCompact:
		d.store.Compact()
	case kindChange:
		i.change()
	case kindGrow:
		i.grow()
	case kindDrain:
		i.drain()
	case kindReplicaLeaves:
		d.replicas[f.target].Say(platformsim.Pushback{Leaving: "1"})
	case kindReplicaLimits:
		d.replicas[f.target].Say(platformsim.Pushback{Limit: strconv.Itoa(f.perSecond)})
	case kindReplicaPauses:
		return pause(d.replicas[f.target])
	default:
		return i.disturbReplica(f)
	}
	return nothing
}

// refuse has all replicas of a service refuse two thirds of what they get.
func (i *injector) refuse(target int) (heal func()) {
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

// restAsked is the time for which a replica that refuses asks a node to pause, in seconds.
const restAsked = "1.5"

// pause has the replica refuse everything and ask for a pause.
func pause(replica *platformsim.Replica) (heal func()) {
	replica.Say(platformsim.Pushback{RetryAfter: restAsked})
	replica.SetBehavior(func(*http.Request) platformsim.Behavior { return platformsim.Shed })
	return func() {
		replica.SetBehavior(nil)
		replica.Say(platformsim.Pushback{})
	}
}

// rewriteTime is within which writers have written again what the store lost.
const rewriteTime = 2 * time.Second

// restoreStore has the store go away and, at the end, come back from a copy of before; its writers
// write again.
func (i *injector) restoreStore() (heal func()) {
	store := i.deployment.store
	copied := store.Copy()
	time.Sleep(time.Second) // in which changes are acknowledged that the copy lacks
	store.SetDown(true)
	return func() {
		store.Restore(copied)
		store.SetDown(false)
		time.Sleep(rewriteTime)
		i.deployment.writeAgain()
	}
}

// disturbReplica lets one replica misbehave.
func (i *injector) disturbReplica(f fault) (heal func()) {
	number := f.target % engineCount * 2 // engines and plain replicas by turns
	number %= len(i.deployment.replicas)
	replica, between := i.deployment.replicas[number], i.deployment.proxies[number]
	switch f.kind {
	case kindReplicaReset, kindReplicaHang:
		between.setMode(map[kind]mode{kindReplicaReset: modeReset, kindReplicaHang: modeHang}[f.kind])
		return func() { between.setMode(modePass) }
	}
	behaviors := map[kind]platformsim.Behavior{
		kindReplicaGrey: platformsim.Fail, kindReplicaCut: platformsim.Cut, kindReplicaStray: platformsim.Stray,
	}
	replica.SetBehavior(everyThird(behaviors[f.kind]))
	return func() { replica.SetBehavior(nil) }
}

// everyThird treats one request in three so and answers the others.
func everyThird(behavior platformsim.Behavior) func(*http.Request) platformsim.Behavior {
	var count atomic.Int64
	return func(*http.Request) platformsim.Behavior {
		if count.Add(1)%3 == 0 {
			return behavior
		}
		return platformsim.Answer
	}
}

// drain lets the last replica leave: it says so and serves on.
func (i *injector) drain() {
	number := len(i.deployment.replicas) - 1
	last := i.deployment.replicas[number]
	i.deployment.mutex.Lock()
	i.deployment.states[number] = "draining"
	i.deployment.mutex.Unlock()
	i.deployment.register(number)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.drained, i.drainAt = last.ID, time.Now()
}

// change replaces the route 'stale' by the route 'fresh'.
func (i *injector) change() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.changed = true
	i.configure()
}

// Bounds of a growth of the configuration.
const (
	// growthSteps is the number of changes in a series, growthPause the time between two,
	// and growthRoutes the routes that each adds.
	growthSteps  = 3
	growthPause  = 300 * time.Millisecond
	growthRoutes = 1400
	// mostRoutes bounds the added routes of a run.
	mostRoutes = 3 * growthSteps * growthRoutes
)

// grow adds many routes that no caller asks for.
func (i *injector) grow() {
	for range growthSteps {
		i.mutex.Lock()
		i.deployment.added = min(i.deployment.added+growthRoutes, mostRoutes)
		i.configure()
		i.mutex.Unlock()
		time.Sleep(growthPause)
	}
}

// configure writes the configuration that the changes so far amount to. The caller holds
// the mutex.
func (i *injector) configure() {
	extra := staleRouteName
	if i.changed {
		extra = freshRouteName
	}
	i.deployment.configure(extra)
}
