package faultmatrix

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/faultpoint"
	"github.com/thornwalk/thornwalk/lab/checker"
	"github.com/thornwalk/thornwalk/lab/cluster"
	"github.com/thornwalk/thornwalk/lab/standin"
	"github.com/thornwalk/thornwalk/transport/etcdstore"
)

// fault is a kind of fault with the function that injects it. Its name is listed in docs/FAULTS.md.
type fault struct {
	name  string
	apply func(run *cellRun)
}

// path is the operation that a cell's fault point belongs to.
type path string

const (
	pathRequest path = "request"
	pathChange  path = "change"
	pathOrder   path = "order"
)

// cell is one or two faults that are injected at one point.
type cell struct {
	path   path
	point  faultpoint.Point
	faults []fault
	// faultDuration is the duration of the fault if it is longer than minFaultDuration.
	faultDuration time.Duration
	// finalWait is extra time at the end, in which placement leases move to another node.
	finalWait time.Duration
}

func (c cell) name() string {
	names := make([]string, len(c.faults))
	for i, f := range c.faults {
		names[i] = f.name
	}
	return fmt.Sprintf("%s at %s: %s", c.path, c.point, strings.Join(names, " + "))
}

// peersOf returns the other nodes of the node's zone.
func peersOf(name string) []string {
	var peers []string
	for index := range 3 {
		if other := cluster.NodeName(zoneOf(name), index); other != name {
			peers = append(peers, other)
		}
	}
	return peers
}

func zoneNodes(zone string) []string {
	return []string{zone + "-n0", zone + "-n1", zone + "-n2"}
}

var platformHosts = []string{cluster.StoreHost, cluster.MachinesHost}

// storeFault returns a fault that affects the store's calls with the paths, or all without any.
func storeFault(kind standin.StoreFault, paths ...string) func(*cellRun) {
	return func(run *cellRun) {
		run.cluster.Store.SetFault(func(path string) standin.StoreFault {
			for _, affected := range paths {
				if path == affected {
					return kind
				}
			}
			if len(paths) == 0 {
				return kind
			}
			return standin.NoStoreFault
		})
	}
}

// misbehave returns a fault that makes all engines and services misbehave.
func misbehave(kind standin.Fault) func(*cellRun) {
	return func(run *cellRun) {
		run.mutex.Lock()
		run.backendsMisbehave = true
		run.mutex.Unlock()
		always := func(string) standin.Fault { return kind }
		for _, engine := range run.cluster.Engines {
			engine.SetFault(always)
		}
		for _, service := range run.cluster.Services {
			service.SetFault(always)
		}
	}
}

func killVictim(run *cellRun) {
	run.trigger.halt(run.victim)
	run.down[run.victim] = true
	n := run.cluster.Node(run.victim)
	run.group.Go(n.Kill)
}

func pauseVictim(run *cellRun) {
	run.trigger.halt(run.victim)
	run.fabric.Pause(run.victim)
}

func drainVictim(run *cellRun) {
	run.mutex.Lock()
	run.stopping[run.victim] = true
	run.mutex.Unlock()
	run.group.Go(func() {
		if !run.cluster.Node(run.victim).Drain(run.ctx) {
			run.recordViolation(checker.RulePlannedStop, "node did not drain in time")
		}
	})
}

// removeEngine makes an engine leave as planned.
func removeEngine(run *cellRun) {
	engine := run.cluster.Engines[0]
	run.mutex.Lock()
	run.history.Departures = append(run.history.Departures, checker.Departure{Replica: engine.ID, At: time.Now()})
	run.mutex.Unlock()
	run.cluster.MarkBackendLeaving(engine.ID)
}

// sendBurst sends 80 requests at once to the victim's neighbour.
func sendBurst(run *cellRun) {
	for number := range 80 {
		submission := requestMix[number%4]
		submission.Marker, submission.Service, submission.Key = fmt.Sprintf("burst-%d", number), "ezik-servers", ""
		submission.Prompt = strings.Repeat("burst ", 200)
		submission.Address, submission.Zone = run.address(run.neighbour), victimZone
		run.group.Go(func() {
			ctx, cancel := context.WithTimeout(run.ctx, requestTimeout)
			defer cancel()
			observation := run.caller.Send(ctx, &submission)
			run.mutex.Lock()
			run.history.Observations = append(run.history.Observations, observation)
			run.mutex.Unlock()
		})
	}
}

// changeSettingsConcurrently submits two changes of the same generation at two nodes.
func changeSettingsConcurrently(run *cellRun) {
	run.changeSettings(run.neighbour, "racer-a")
	run.changeSettings(otherZone+"-n1", "racer-bb")
}

// faults are all faults in the order of docs/FAULTS.md.
var faults = []fault{
	{"process killed", killVictim},
	{"process paused past its leases", pauseVictim},
	{"peer links cut", func(run *cellRun) { run.fabric.Partition([]string{run.victim}, peersOf(run.victim)) }},
	{"peer links cut, victim to peers only", func(run *cellRun) {
		for _, other := range peersOf(run.victim) {
			run.fabric.BlockLink(run.victim, other)
		}
	}},
	{"peer links cut, peers to victim only", func(run *cellRun) {
		for _, other := range peersOf(run.victim) {
			run.fabric.BlockLink(other, run.victim)
		}
	}},
	{"zone cut from zone", func(run *cellRun) { run.fabric.Partition(zoneNodes(victimZone), zoneNodes(otherZone)) }},
	{"zone cut from platform", func(run *cellRun) { run.fabric.Partition(zoneNodes(victimZone), platformHosts) }},
	{"store down", storeFault(standin.StoreRefuses)},
	{"store hangs", storeFault(standin.StoreHangs)},
	{"store loses answers", storeFault(standin.StoreLosesAnswer)},
	{"store acts late", storeFault(standin.StoreDelays)},
	{"watch dropped", storeFault(standin.StoreHangs, etcdstore.PathWatch)},
	{"machine list down", func(run *cellRun) { run.cluster.Machines.SetDown(true) }},
	{"engine slow", func(run *cellRun) { run.cluster.Engines[0].SetSlowdown(10) }},
	{"engine killed", func(run *cellRun) { run.cluster.KillBackend(run.cluster.Engines[0].ID) }},
	{"back ends die before the first byte of the answer", misbehave(standin.DiesBeforeAnswer)},
	{"back ends forget requests", misbehave(standin.DropsRequest)},
	{"back ends die mid-answer", misbehave(standin.DiesMidAnswer)},
	{"back ends answer late", misbehave(standin.AnswersLate)},
	{"engines answer out of order", misbehave(standin.AnswersOutOfOrder)},
	{"engines answer twice", misbehave(standin.AnswersTwice)},
	{"engines answer for another request", misbehave(standin.AnswersForOther)},
	{"load reports stale", func(run *cellRun) {
		for _, engine := range run.cluster.Engines {
			engine.SetReportLag(5 * time.Second)
		}
	}},
	{"operators racing", changeSettingsConcurrently},
	{"burst", sendBurst},
	{"planned stop", drainVictim},
	{"configuration change", func(run *cellRun) { run.changeSettings(run.neighbour, "change") }},
	{"back end leaving", removeEngine},
}

// faultsNamed returns the faults in the order of the names; it skips unknown names.
func faultsNamed(names ...string) []fault {
	var found []fault
	for _, name := range names {
		for _, f := range faults {
			if f.name == name {
				found = append(found, f)
			}
		}
	}
	return found
}

// faultPairs are pairs of faults that are known to interact.
var faultPairs = [][2]string{
	{"process killed", "store down"},
	{"process killed", "store loses answers"},
	{"process killed", "peer links cut"},
	{"process paused past its leases", "store loses answers"},
	{"process paused past its leases", "configuration change"},
	{"process paused past its leases", "burst"},
	{"zone cut from platform", "zone cut from zone"},
	{"store acts late", "operators racing"},
	{"store loses answers", "operators racing"},
	{"back ends die mid-answer", "planned stop"},
	{"back ends forget requests", "process killed"},
	{"burst", "engine slow"},
	{"burst", "peer links cut, victim to peers only"},
	{"back end leaving", "machine list down"},
}

// pairPoints are the points at which faultPairs are injected.
var pairPoints = []faultpoint.Point{faultpoint.Register, faultpoint.Claim, faultpoint.FirstByte, faultpoint.Stream}

// changeFaults are the names of the faults that can affect a settings change or a placement order.
var changeFaults = []string{
	"process killed", "process paused past its leases", "peer links cut", "zone cut from zone", "zone cut from platform", "store down",
	"store hangs", "store loses answers", "store acts late", "watch dropped", "operators racing", "planned stop",
}

// cells returns all cells of the matrix.
func cells() []cell {
	var all []cell
	for _, point := range faultpoint.RequestPoints {
		for _, f := range faults {
			all = append(all, cell{path: pathRequest, point: point, faults: []fault{f}})
		}
	}
	for _, point := range pairPoints {
		for _, pair := range faultPairs {
			all = append(all, cell{path: pathRequest, point: point, faults: faultsNamed(pair[0], pair[1])})
		}
	}
	for _, point := range faultpoint.ChangePoints {
		for _, f := range faultsNamed(changeFaults...) {
			all = append(all, cell{path: pathChange, point: point, faults: []fault{f}})
		}
	}
	for _, point := range faultpoint.OrderPoints {
		for _, f := range faultsNamed(changeFaults...) {
			all = append(all, cell{path: pathOrder, point: point, faults: []fault{f}, faultDuration: 15 * time.Second, finalWait: 15 * time.Second})
		}
	}
	return all
}
