package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// kind is a kind of fault.
type kind string

const (
	kindKill         kind = "kill"          // the process is killed
	kindStop         kind = "stop"          // a planned stop
	kindFreeze       kind = "freeze"        // the process stands still
	kindHangUp       kind = "hup"           // the settings file changed
	kindKillAll      kind = "kill-all"      // all processes are killed
	kindStoreReset   kind = "store-reset"   // the store turns one node away
	kindStoreHang    kind = "store-hang"    // the store says nothing to one node
	kindStoreDown    kind = "store-down"    // the store answers 503 to all
	kindStoreLost    kind = "store-lost"    // answers of the store are lost
	kindCompact      kind = "compact"       // the store forgets its history
	kindReplicaReset kind = "replica-reset" // connections to a replica are reset
	kindReplicaHang  kind = "replica-hang"  // a replica is silent
	kindReplicaGrey  kind = "replica-grey"  // a replica fails every third request
	kindReplicaCut   kind = "replica-cut"   // a replica cuts every third answer
	kindReplicaStray kind = "replica-stray" // a replica sends the answers of others
	kindDrain        kind = "drain"         // a replica leaves
	kindChange       kind = "change"        // the operator changes the configuration
	kindGrow         kind = "grow"          // the operator adds many routes, in several changes
)

// kinds are all kinds that a plan draws from.
var kinds = []kind{
	kindKill, kindStop, kindFreeze, kindHangUp, kindKillAll, kindStoreReset, kindStoreHang, kindStoreDown, kindStoreLost, kindCompact,
	kindReplicaReset, kindReplicaHang, kindReplicaGrey, kindReplicaCut, kindReplicaStray, kindDrain, kindChange, kindGrow,
}

// Kinds beside those of every plan.
const (
	kindReplicasRefuse kind = "replicas-refuse" // all replicas of a service refuse most requests
	kindStoreCopy      kind = "store-copy"      // the store goes away and comes back from a copy
	kindReplace        kind = "replace"         // a process is stopped and the other version started
	kindReplicaLeaves  kind = "replica-leaves"  // a replica says in its answers that it leaves
	kindReplicaLimits  kind = "replica-limits"  // a replica names the rate that it takes
	kindReplicaPauses  kind = "replica-pauses"  // a replica refuses and asks nodes to pause
)

// boundKinds strike what bounds all nodes together, and those who keep the bounds.
var boundKinds = []kind{kindReplicasRefuse, kindReplicasRefuse, kindKill, kindStop, kindStop, kindFreeze, kindKillAll, kindStoreReset, kindChange, kindDrain}

// kindsOf returns what the plan of a run draws from. Versions that know no eras are not confronted
// with a store that comes back from a copy.
func kindsOf(options *Options) []kind {
	switch {
	case !options.Bounds:
		return kinds
	case options.Previous != "":
		return boundKinds
	}
	return append(append([]kind{}, boundKinds...), kindStoreCopy, kindStoreCopy)
}

// replacements returns the steps by which every node is replaced by the other version, and again,
// so that both run side by side most of the time.
func replacements(traffic time.Duration, nodes int) []fault {
	var plan []fault
	steps := 2 * nodes
	for step := range steps {
		plan = append(plan, fault{kind: kindReplace, at: traffic * time.Duration(step+1) / time.Duration(steps+2), target: step % nodes})
	}
	return plan
}

// pushbacks returns faults by which replicas hold requests back in their answers, each of a replica of
// its own. One that left or named its rate goes on saying so to the end.
func pushbacks(seed uint64, traffic time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, ^seed))
	at := func() time.Duration { return time.Duration((earliestFault + random.Float64()/3) * float64(traffic)) }
	engines, registry := random.Perm(engineCount), random.Perm(registryCount-1) // the last one drains
	plan := []fault{
		{kind: kindReplicaLeaves, at: at(), target: engines[0]},
		{kind: kindReplicaLimits, at: at(), target: engines[1], perSecond: 1 + random.IntN(8)},
		{kind: kindReplicaLimits, at: at(), target: engineCount + registry[0], perSecond: 1 + random.IntN(8)},
	}
	for range 2 {
		plan = append(plan, fault{kind: kindReplicaPauses, at: at(), lasts: time.Duration(shortestFault+random.IntN(longestFault)) * time.Millisecond, target: engineCount + registry[1]})
	}
	return plan
}

// fault is one entry of a plan.
type fault struct {
	kind kind
	// at is the time from the start of traffic, and lasts how long it holds.
	at, lasts time.Duration
	// target is a node or a replica, by number.
	target int
	// perSecond is the rate that a replica names.
	perSecond int
}

// String names the fault for reports.
func (f fault) String() string {
	return fmt.Sprintf("%.1fs %s #%d for %.1fs", f.at.Seconds(), f.kind, f.target, f.lasts.Seconds())
}

// Bounds of a plan, as parts of the time of traffic and in milliseconds.
const (
	earliestFault  = 0.05
	latestFault    = 0.75
	shortestFault  = 300
	longestFault   = 2500
	mostDrains     = 1
	faultsASecond  = 0.8
	smallestNumber = 3
)

// newPlan draws the faults of a run from the seed.
func newPlan(seed uint64, traffic time.Duration, nodes int, kinds []kind) []fault {
	random := rand.New(rand.NewPCG(seed, seed))
	count := max(smallestNumber, int(traffic.Seconds()*faultsASecond))
	var plan []fault
	drains := 0
	for range count {
		drawn := fault{
			kind:   kinds[random.IntN(len(kinds))],
			at:     time.Duration((earliestFault + (latestFault-earliestFault)*random.Float64()) * float64(traffic)),
			lasts:  time.Duration(shortestFault+random.IntN(longestFault-shortestFault)) * time.Millisecond,
			target: random.IntN(nodes),
		}
		if drawn.kind == kindDrain {
			if drains++; drains > mostDrains {
				continue // some replica of each service has to stay
			}
		}
		plan = append(plan, drawn)
	}
	sort.Slice(plan, func(i, j int) bool { return plan[i].at < plan[j].at })
	return plan
}
