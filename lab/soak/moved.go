package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// With Options.Moved two services have software of their own, and configurations move a route of streams between them.
// Some streams break off, and their callers resume them at other nodes without naming the request that began them.
const (
	movedStreamsRoute = "moved"
	// movedStream is the random stream of the plan. Other faults use others.
	movedStream = 11_000_027
	// movedCount is the number of replicas of each service.
	movedCount = 3
	// firstMovedHost is behind the hosts of all other replicas.
	firstMovedHost           = 240
	minMoveGap, maxMoveGap   = 80 * time.Millisecond, 1500 * time.Millisecond
	movedStart, movedEndFrac = time.Second, 0.85
)

// movedServices are the services, and movedVersions the versions of their software.
var (
	movedServices = []string{"moved-first", "moved-second"}
	movedVersions = []string{"first-v1", "second-v1"}
)

// startMoved starts the replicas of both services.
func (d *deployment) startMoved(block string, ids platformsim.EventIDs) error {
	for number := range movedCount * len(movedServices) {
		listener, err := listen(hostAddress(block, firstMovedHost+number, replicaPort))
		if err != nil {
			return err
		}
		d.replicaListeners = append(d.replicaListeners, listener)
		replica := &platformsim.Replica{
			ID: fmt.Sprintf("moved-%d", number), Service: movedServices[number%2], Address: listener.Addr().String(), Zone: "east",
			Version: movedVersions[number%2], Slots: versionedSlots, Events: engineEvents, Step: engineStep, EventIDs: ids, NamesRuns: true,
		}
		replica.Incarnation = replica.ID
		replica.SetBehavior(breakOffFirstTries)
		go replica.Serve(listener)
		replica.Register(d.store, "ready")
		d.moved = append(d.moved, replica)
	}
	return nil
}

// addMoved adds the services and the route, which leads to the service with the number.
func addMoved(configuration *entrylab.Configuration, service int, route func(name, kind, service string, priority, attempts int, resumable bool) entrylab.Route) {
	configuration.Routes = append(configuration.Routes, route(movedStreamsRoute, "streaming", movedServices[service], 1, 2, true))
	for _, name := range movedServices {
		configuration.Services = append(configuration.Services, entrylab.Service{Name: name})
	}
}

// moveFaults returns the moves of the route, from the seed.
func moveFaults(seed uint64, traffic time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, movedStream))
	var plan []fault
	end := time.Duration(movedEndFrac * float64(traffic))
	for offset := movedStart; offset < end; offset += between(random, minMoveGap, maxMoveGap) {
		plan = append(plan, fault{kind: kindMove, offset: offset})
	}
	return plan
}

// moveRoute leads the route to the other service.
func (i *injector) moveRoute() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.deployment.movedTo = 1 - i.deployment.movedTo
	i.writeConfiguration()
}

// sendMoved begins streams on the moved route for the duration, in the same way as sendVersioned.
func (c *callers) sendMoved(ctx context.Context, duration time.Duration) {
	c.sendStreams(ctx, duration, func(name string, number int) {
		stream := c.sendStream(versionedStream{id: "m" + name, route: movedStreamsRoute, isUnnamed: true}, number%nodeCount)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.movedStreams = append(c.movedStreams, stream)
	})
}

// checkMoved checks that no stream has events of both services, whatever happens.
func checkMoved(result *Result, c *callers, violate reportViolation) {
	var mixed []string
	var all streamTally
	for _, stream := range c.movedStreams {
		if stream.pieces(c.ids).mixed() != "" {
			mixed = append(mixed, stream.id)
		}
		all.add(stream)
	}
	result.Worst["moved"] = fmt.Sprintf("%d streams of two services; %v", len(mixed), all)
	if len(mixed) > 0 {
		violate("%d streams have events of two services: %v", len(mixed), mixed)
	}
}
