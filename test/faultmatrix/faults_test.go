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

// fault is one fault of the list in docs/FAULTS.md.
type fault struct {
	name  string
	apply func(w *world)
}

// path is the path that a cell's points lie on.
type path string

const (
	pathRequest path = "request"
	pathChange  path = "change"
	pathOrder   path = "order"
)

// cell is one or two faults at one point.
type cell struct {
	path   path
	point  faultpoint.Point
	faults []fault
	// lasts is how long the fault lasts if that is more than faultTime.
	lasts time.Duration
	// linger is extra time at the end, for placement leases to pass on.
	linger time.Duration
}

func (c cell) name() string {
	names := make([]string, len(c.faults))
	for i, f := range c.faults {
		names[i] = f.name
	}
	return fmt.Sprintf("%s at %s: %s", c.path, c.point, strings.Join(names, " + "))
}

func peersOf(name string) []string {
	var peers []string
	for index := range 3 {
		if other := cluster.NodeName(zoneOf(name), index); other != name {
			peers = append(peers, other)
		}
	}
	return peers
}

func zoneHosts(zone string) []string {
	return []string{zone + "-n0", zone + "-n1", zone + "-n2"}
}

var platformHosts = []string{cluster.StoreHost, cluster.MachinesHost}

func storeFault(kind standin.StoreFault, paths ...string) func(*world) {
	return func(w *world) {
		w.cluster.Store.SetFault(func(path string) standin.StoreFault {
			for _, affected := range paths {
				if path == affected {
					return kind
				}
			}
			if len(paths) == 0 {
				return kind
			}
			return standin.StoreWorks
		})
	}
}

func misbehave(kind standin.Misbehavior) func(*world) {
	return func(w *world) {
		w.mutex.Lock()
		w.backendsFail = true
		w.mutex.Unlock()
		every := func(string) standin.Misbehavior { return kind }
		for _, engine := range w.cluster.Engines {
			engine.SetMisbehavior(every)
		}
		for _, service := range w.cluster.Services {
			service.SetMisbehavior(every)
		}
	}
}

func kill(w *world) {
	w.trigger.halt(w.victim)
	w.down[w.victim] = true
	n := w.cluster.Node(w.victim)
	w.group.Go(n.Kill)
}

func pause(w *world) {
	w.trigger.halt(w.victim)
	w.fabric.Pause(w.victim)
}

func drain(w *world) {
	w.mutex.Lock()
	w.stopping[w.victim] = true
	w.mutex.Unlock()
	w.group.Go(func() {
		if !w.cluster.Node(w.victim).Drain(w.ctx) {
			w.violate(checker.RulePlannedStop, "the node did not drain")
		}
	})
}

func leave(w *world) {
	engine := w.cluster.Engines[0]
	w.mutex.Lock()
	w.history.Departures = append(w.history.Departures, checker.Departure{Replica: engine.ID, At: time.Now()})
	w.mutex.Unlock()
	w.cluster.LeaveBackend(engine.ID)
}

func burst(w *world) {
	for number := range 80 {
		s := mix[number%4]
		s.Marker, s.Service, s.Key = fmt.Sprintf("burst-%d", number), "ezik-servers", ""
		s.Prompt = strings.Repeat("burst ", 200)
		s.Address, s.Zone = w.address(w.neighbour), victimZone
		w.group.Go(func() {
			ctx, cancel := context.WithTimeout(w.ctx, settleTime)
			defer cancel()
			o := w.caller.Send(ctx, &s)
			w.mutex.Lock()
			w.history.Observations = append(w.history.Observations, o)
			w.mutex.Unlock()
		})
	}
}

func race(w *world) {
	w.changeSettings(w.neighbour, "racer-a")
	w.changeSettings(otherZone+"-n1", "racer-bb")
}

// faults are all faults, in the order of the list.
var faults = []fault{
	{"process killed", kill},
	{"process paused past its leases", pause},
	{"peer links cut", func(w *world) { w.fabric.CutGroups([]string{w.victim}, peersOf(w.victim)) }},
	{"peer links cut, victim to peers only", func(w *world) {
		for _, other := range peersOf(w.victim) {
			w.fabric.Cut(w.victim, other)
		}
	}},
	{"peer links cut, peers to victim only", func(w *world) {
		for _, other := range peersOf(w.victim) {
			w.fabric.Cut(other, w.victim)
		}
	}},
	{"zone cut from zone", func(w *world) { w.fabric.CutGroups(zoneHosts(victimZone), zoneHosts(otherZone)) }},
	{"zone cut from platform", func(w *world) { w.fabric.CutGroups(zoneHosts(victimZone), platformHosts) }},
	{"store down", storeFault(standin.StoreRefuses)},
	{"store hangs", storeFault(standin.StoreHangs)},
	{"store loses answers", storeFault(standin.StoreLosesAnswer)},
	{"store acts late", storeFault(standin.StoreDelays)},
	{"watch dropped", storeFault(standin.StoreHangs, etcdstore.PathWatch)},
	{"machine list down", func(w *world) { w.cluster.Machines.SetDown(true) }},
	{"engine slow", func(w *world) { w.cluster.Engines[0].SetSlowdown(10) }},
	{"engine killed", func(w *world) { w.cluster.KillBackend(w.cluster.Engines[0].ID) }},
	{"back ends die before the first byte of the answer", misbehave(standin.DiesBeforeAnswer)},
	{"back ends forget requests", misbehave(standin.ForgetsRequest)},
	{"back ends die mid-answer", misbehave(standin.DiesMidAnswer)},
	{"back ends answer late", misbehave(standin.AnswersLate)},
	{"engines answer out of order", misbehave(standin.AnswersOutOfOrder)},
	{"engines answer twice", misbehave(standin.AnswersTwice)},
	{"engines answer for another request", misbehave(standin.AnswersForOther)},
	{"load reports stale", func(w *world) {
		for _, engine := range w.cluster.Engines {
			engine.SetReportLag(5 * time.Second)
		}
	}},
	{"operators racing", race},
	{"burst", burst},
	{"planned stop", drain},
	{"configuration change", func(w *world) { w.changeSettings(w.neighbour, "change") }},
	{"back end leaving", leave},
}

func named(names ...string) []fault {
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

// pairs are faults that are known to interact.
var pairs = [][2]string{
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

// pairPoints are the points at which pairs are tried.
var pairPoints = []faultpoint.Point{faultpoint.Register, faultpoint.Claim, faultpoint.FirstByte, faultpoint.Stream}

// changeFaults are those that can touch a change or an order.
var changeFaults = []string{
	"process killed", "process paused past its leases", "peer links cut", "zone cut from zone", "zone cut from platform", "store down",
	"store hangs", "store loses answers", "store acts late", "watch dropped", "operators racing", "planned stop",
}

// cells generates the matrix.
func cells() []cell {
	var all []cell
	for _, point := range faultpoint.RequestPoints {
		for _, f := range faults {
			all = append(all, cell{path: pathRequest, point: point, faults: []fault{f}})
		}
	}
	for _, point := range pairPoints {
		for _, pair := range pairs {
			all = append(all, cell{path: pathRequest, point: point, faults: named(pair[0], pair[1])})
		}
	}
	for _, point := range faultpoint.ChangePoints {
		for _, f := range named(changeFaults...) {
			all = append(all, cell{path: pathChange, point: point, faults: []fault{f}})
		}
	}
	for _, point := range faultpoint.OrderPoints {
		for _, f := range named(changeFaults...) {
			all = append(all, cell{path: pathOrder, point: point, faults: []fault{f}, lasts: 15 * time.Second, linger: 15 * time.Second})
		}
	}
	return all
}
