package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/lab/pathfault"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// kind is a kind of fault.
type kind string

const (
	kindKill         kind = "kill"          // the process is killed
	kindStop         kind = "stop"          // a planned stop
	kindFreeze       kind = "freeze"        // the process is suspended
	kindHangUp       kind = "hup"           // the settings file changed
	kindKillAll      kind = "kill-all"      // all processes are killed
	kindStoreReset   kind = "store-reset"   // the store resets one node's connections
	kindStoreHang    kind = "store-hang"    // the store answers nothing to one node
	kindStoreDown    kind = "store-down"    // the store answers 503 to all
	kindStoreLost    kind = "store-lost"    // answers to transactions are lost
	kindCompact      kind = "compact"       // the store drops its history
	kindReplicaReset kind = "replica-reset" // connections to a replica are reset
	kindReplicaHang  kind = "replica-hang"  // a replica answers nothing
	kindReplicaGrey  kind = "replica-grey"  // a replica fails every third request
	kindReplicaCut   kind = "replica-cut"   // a replica cuts every third answer
	kindReplicaStray kind = "replica-stray" // a replica sends the answers to other requests
	kindDrain        kind = "drain"         // a replica registers as draining
	kindChange       kind = "change"        // the operator changes the configuration
	kindGrow         kind = "grow"          // the operator adds many routes, in several changes
)

// kinds are the kinds that a plan draws from by default.
var kinds = []kind{
	kindKill, kindStop, kindFreeze, kindHangUp, kindKillAll, kindStoreReset, kindStoreHang, kindStoreDown, kindStoreLost, kindCompact,
	kindReplicaReset, kindReplicaHang, kindReplicaGrey, kindReplicaCut, kindReplicaStray, kindDrain, kindChange, kindGrow,
}

// Kinds of plans with Options.Bounds, Previous or Pushback.
const (
	kindReplicasRefuse kind = "replicas-refuse" // all replicas of a service reject most requests
	kindStoreCopy      kind = "store-copy"      // the store goes down and is restored from a copy
	kindReplace        kind = "replace"         // a process is stopped and the other version starts
	kindReplicaLeaves  kind = "replica-leaves"  // a replica sends Server-Leaving
	kindReplicaLimits  kind = "replica-limits"  // a replica sends Server-Limit
	kindReplicaPauses  kind = "replica-pauses"  // a replica rejects requests with Retry-After
	kindPathCut        kind = "path-cut"        // some nodes lose their paths to all replicas
	kindReplicaSpoils  kind = "replica-spoils"  // two replicas send bytes that are no answer
	kindReincarnate    kind = "reincarnate"     // a replica ends and starts again in place
	kindMove           kind = "move"            // a configuration moves a route to another service
	kindStoreCut       kind = "store-cut"       // some nodes lose the store
)

// boundKinds affect the bounds that hold for all nodes together, and the nodes that enforce them.
// A kind that is listed twice is drawn twice as often.
var boundKinds = []kind{kindReplicasRefuse, kindReplicasRefuse, kindKill, kindStop, kindStop, kindFreeze, kindKillAll, kindStoreReset, kindChange, kindDrain}

// kindsFor returns the kinds that the plan of a run draws from. Runs with a previous version, which
// may not know eras, exclude restores of the store.
func kindsFor(options *Options) []kind {
	switch {
	case options.Restore:
		return drawRestore(options.Seed).kinds()
	case options.Silence && !options.Bounds:
		plan := drawSilence(options.Seed, options.Traffic)
		return plan.kinds()
	case options.Spoiled && !options.Bounds:
		return spoiledKinds
	case options.Replaced:
		return drawReplaced(options.Seed, options.Traffic).kinds()
	case !options.Bounds:
		return kinds
	case options.Previous != "":
		return boundKinds
	}
	return append(append([]kind{}, boundKinds...), kindStoreCopy, kindStoreCopy)
}

// replacementFaults returns faults that replace every node by the other version, one after the other,
// and then back, so that both versions run at the same time.
func replacementFaults(traffic time.Duration, nodes int) []fault {
	var plan []fault
	steps := 2 * nodes
	for step := range steps {
		plan = append(plan, fault{kind: kindReplace, offset: traffic * time.Duration(step+1) / time.Duration(steps+2), target: step % nodes})
	}
	return plan
}

// pushbackFaults returns faults in which replicas send pushback, each kind at different replicas.
// Leaving and rate limits last until the end of the run.
func pushbackFaults(seed uint64, traffic time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, ^seed))
	offset := func() time.Duration {
		return time.Duration((minFaultStartShare + random.Float64()/3) * float64(traffic))
	}
	engines, registry := random.Perm(engineCount), random.Perm(registryCount-1) // the last one is left for drains
	plan := []fault{
		{kind: kindReplicaLeaves, offset: offset(), target: engines[0]},
		{kind: kindReplicaLimits, offset: offset(), target: engines[1], ratePerSecond: 1 + random.IntN(8)},
		{kind: kindReplicaLimits, offset: offset(), target: engineCount + registry[0], ratePerSecond: 1 + random.IntN(8)},
	}
	for range 2 {
		plan = append(plan, fault{kind: kindReplicaPauses, offset: offset(), duration: time.Duration(minFaultMS+random.IntN(maxFaultMS)) * time.Millisecond, target: engineCount + registry[1]})
	}
	return plan
}

// fault is one entry of a plan.
type fault struct {
	kind kind
	// offset is the time from the start of traffic to the start of the fault.
	offset, duration time.Duration
	// target is the number of a node or a replica.
	target int
	// nodes are those whose paths to replicas are cut, and mode is how.
	nodes []int
	mode  pathfault.Mode
	// replicas are the numbers of the held replicas that are stopped or whose paths are cut, and changes those of
	// the configuration.
	replicas []int
	changes  []change
	// onScheduler replaces the target by the scheduling node at the start of the fault.
	onScheduler bool
	// version is that with which a replica starts again, and entryDelay the time until it writes its entry. It closes
	// its connections and exits if closes is true, else it is killed.
	version    string
	entryDelay time.Duration
	closes     bool
	// second is the time until a node that stops gets the signal again, 0 for never.
	second time.Duration
	// hangs is true if the nodes without the store get no answers, else their connections are reset.
	hangs bool
	// form is that of spoiled answers, and isTotal is true if all replicas spoil all of their answers.
	form    platformsim.SpoiledForm
	isTotal bool
	// ratePerSecond is the limit that a replica sends, in requests per second.
	ratePerSecond int
}

func (f fault) String() string {
	switch {
	case f.kind == kindHold:
		return fmt.Sprintf("%.1fs %s of replicas %v for %.1fs", f.offset.Seconds(), f.kind, f.replicas, f.duration.Seconds())
	case f.kind == kindReplicaEnds || f.kind == kindReplicaSilent:
		return fmt.Sprintf("%.1fs %s of the replicas of stops %v for %.1fs", f.offset.Seconds(), f.kind, f.replicas, f.duration.Seconds())
	case f.kind == kindPlannedStop && f.second > 0:
		return fmt.Sprintf("%.1fs %s #%d%s, again after %.1fs", f.offset.Seconds(), f.kind, f.target, f.schedulerNote(), f.second.Seconds())
	case f.kind == kindReincarnate:
		return fmt.Sprintf("%.1fs %s #%d as %s after %.2fs, closes %t, entry after %.2fs", f.offset.Seconds(), f.kind, f.target, f.version, f.duration.Seconds(), f.closes, f.entryDelay.Seconds())
	case f.kind == kindStoreCut:
		return fmt.Sprintf("%.1fs %s of nodes %v%s, hangs %t, for %.1fs", f.offset.Seconds(), f.kind, f.nodes, f.schedulerNote(), f.hangs, f.duration.Seconds())
	case f.isTotal:
		return fmt.Sprintf("%.1fs %s (%s) of all replicas for %.1fs", f.offset.Seconds(), f.kind, f.form, f.duration.Seconds())
	case f.kind == kindReplicaSpoils:
		return fmt.Sprintf("%.1fs %s (%s) #%d for %.1fs", f.offset.Seconds(), f.kind, f.form, f.target, f.duration.Seconds())
	case f.kind == kindReconfigure:
		return fmt.Sprintf("%.1fs %s %v", f.offset.Seconds(), f.kind, f.changes)
	case f.kind == kindPathCut && len(f.replicas) > 0:
		return fmt.Sprintf("%.1fs %s (%s) of nodes %v%s from replicas %v for %.1fs", f.offset.Seconds(), f.kind, f.mode, f.nodes, f.schedulerNote(), f.replicas, f.duration.Seconds())
	case f.kind == kindPathCut:
		return fmt.Sprintf("%.1fs %s (%s) of nodes %v for %.1fs", f.offset.Seconds(), f.kind, f.mode, f.nodes, f.duration.Seconds())
	}
	return fmt.Sprintf("%.1fs %s #%d%s for %.1fs", f.offset.Seconds(), f.kind, f.target, f.schedulerNote(), f.duration.Seconds())
}

func (f fault) schedulerNote() string {
	if f.onScheduler {
		return " (or the scheduling node)"
	}
	return ""
}

// Bounds of a plan. Shares are of the duration of traffic.
const (
	minFaultStartShare = 0.05
	maxFaultStartShare = 0.75
	minFaultMS         = 300
	maxFaultMS         = 2500
	maxDrains          = 1
	faultsPerSecond    = 0.8
	minFaults          = 3
)

// newPlan draws the faults of a run from the seed, sorted by offset.
func newPlan(seed uint64, traffic time.Duration, nodes int, kinds []kind) []fault {
	random := rand.New(rand.NewPCG(seed, seed))
	count := max(minFaults, int(traffic.Seconds()*faultsPerSecond))
	var plan []fault
	drains := 0
	for range count {
		planned := fault{
			kind:     kinds[random.IntN(len(kinds))],
			offset:   time.Duration((minFaultStartShare + (maxFaultStartShare-minFaultStartShare)*random.Float64()) * float64(traffic)),
			duration: time.Duration(minFaultMS+random.IntN(maxFaultMS-minFaultMS)) * time.Millisecond,
			target:   random.IntN(nodes),
		}
		if planned.kind == kindDrain {
			if drains++; drains > maxDrains {
				continue // keep replicas of the registry available
			}
		}
		plan = append(plan, planned)
	}
	sort.Slice(plan, func(i, j int) bool { return plan[i].offset < plan[j].offset })
	return plan
}
