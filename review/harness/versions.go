package main

import (
	"net"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// The software versions of the engines. The first two engines have the old one and the other four the new one.
const (
	oldEngines = 2
	oldVersion = "v1.1"
	newVersion = "v1.2"
)

// Times of the case: the second engine ends endBefore the store's outage and starts again, replaced, replaceAfter its
// begin; the first one crashes crashAfter it, or up to maxAwait later, when its slots are taken.
const (
	versionsWarmup  = 5 * time.Second
	versionsTraffic = 16 * time.Second
	endBefore       = 700 * time.Millisecond
	replaceAfter    = 100 * time.Millisecond
	crashAfter      = 3700 * time.Millisecond
	maxAwait        = 250 * time.Millisecond
	versionsClients = 17
	// reportEvents and reportStep are those of the sheet's inspection-summary: 8 events.
	reportEvents = 8
	reportStep   = 80 * time.Millisecond
	reportPath   = "/report/1"
	// maxMixed is how many streams the rule lets hold events of two versions.
	maxMixed = 2
)

func (r *caseRun) configureVersions() {
	entrylab.Configuration{
		Version: 1,
		Routes: []entrylab.Route{
			{Name: "inspection-summary", Host: routeHost, PathPrefix: "/report/", Kind: "streaming", Timeout: 8000, Target: 800, TargetGap: 400, Service: "engines", Attempts: 2, Resumable: true},
		},
		Services: []entrylab.Service{{Name: "engines"}},
		Tenants:  []entrylab.Tenant{{Name: "office", Keys: []string{clientKey}, Unit: "tokens", PlainTokens: 200, Rate: 100_000, Burst: 100_000}},
	}.Write(r.store)
}

// startVersionsSite starts two machines and two engines in each zone.
func (r *caseRun) startVersionsSite() error {
	r.configureVersions()
	for i := range len(zones) * enginesPerZone {
		zone := zones[i/enginesPerZone]
		r.addNode(zone)
		engine := &platformsim.Replica{Service: "engines", Zone: zone, Version: oldVersion, Slots: engineSlots, Events: reportEvents, Step: reportStep, StartedAt: time.Now().UnixMilli()}
		if i >= oldEngines {
			engine.Version = newVersion
		}
		if err := r.addReplica(engine); err != nil {
			return err
		}
	}
	return r.start()
}

// replaceInPlace starts an engine of the new version under the id and address of the one that ended. Its entry is
// written once the store is up.
func (r *caseRun) replaceInPlace(ended *platformsim.Replica) error {
	listener, err := net.Listen("tcp", ended.Address)
	if err != nil {
		return err
	}
	next := &platformsim.Replica{ID: ended.ID, Address: ended.Address, Service: ended.Service, Zone: ended.Zone, Version: newVersion, Slots: ended.Slots, Events: ended.Events, Step: ended.Step, StartedAt: time.Now().UnixMilli()}
	go next.Serve(&engineListener{Listener: listener, garbler: r.garbler})
	r.replicas = append(r.replicas, next)
	r.record.write("engine: %s starts again under its id with version %s", next.ID, next.Version)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closers = append(r.closers, func() { next.Crash() })
	write := func() {
		next.Register(r.store, "ready")
		r.record.write("engine: %s wrote its entry with version %s", next.ID, next.Version)
	}
	if r.isStoreDown {
		r.delayedWrites = append(r.delayedWrites, write)
		return nil
	}
	write()
	return nil
}

// runVersions has one of two engines of a version replaced in place by another version, while the store is down, and
// then the other one crash.
func runVersions(run *caseRun) (bool, error) {
	if err := run.startVersionsSite(); err != nil {
		return false, err
	}
	callers := &clients{run: run}
	callers.start(versionsClients, time.Now().Add(versionsTraffic), client{path: reportPath, deadline: streamDeadline, events: reportEvents})
	time.Sleep(versionsWarmup)
	run.record.write("engine: %s ends", run.replicas[1].ID)
	run.replicas[1].Crash()
	time.Sleep(endBefore)
	begunAt := time.Now()
	run.setStoreDown(run.trouble)
	time.Sleep(replaceAfter)
	if err := run.replaceInPlace(run.replicas[1]); err != nil {
		return false, err
	}
	time.Sleep(crashAfter - replaceAfter)
	awaitStreams(run.replicas[0], time.Now().Add(maxAwait))
	run.record.write("engine: %s crashes, with %d streams", run.replicas[0].ID, len(run.replicas[0].Unfinished()))
	run.replicas[0].Crash()
	time.Sleep(time.Until(begunAt.Add(outageTime)))
	run.setStoreDown(false)
	return run.judgeOrder(callers.sentAll()), nil
}

// awaitStreams waits until all slots of the engine hold a stream.
func awaitStreams(engine *platformsim.Replica, limit time.Time) {
	for len(engine.Unfinished()) < engineSlots && time.Now().Before(limit) {
		time.Sleep(5 * time.Millisecond)
	}
}

// judgeOrder judges ORDER: more than maxMixed streams hold events of two software versions.
func (r *caseRun) judgeOrder(all []*sent) bool {
	r.runsByID()
	mixed, complete := 0, 0
	for _, s := range all {
		if s.isComplete {
			complete++
		}
		if len(s.versions) < 2 {
			continue
		}
		mixed++
		r.record.write("ORDER: the stream %s at %s holds events of the versions %v, complete %v", s.id, s.node.name, s.versions, s.isComplete)
	}
	r.record.write("%d streams, %d complete, %d with events of two software versions (the rule allows %d)", len(all), complete, mixed, maxMixed)
	return mixed <= maxMixed
}

// versionsOf returns the software versions that the events of a body name.
func versionsOf(body string) []string {
	return slices.Clone(platformsim.ReadEvents(body).Versions)
}
