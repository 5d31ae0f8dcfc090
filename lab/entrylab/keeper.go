package entrylab

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

const (
	// restartDelay is the time from the end of a replica to its next start.
	restartDelay = 2 * time.Second
	// entryLifetime is how long the store entry of an ended replica remains: three heartbeats.
	entryLifetime = 3600 * time.Millisecond
)

// Restarter restarts a replica on its host each time it ends. Its methods are safe for concurrent use.
type Restarter struct {
	// ID, Service, Zone, Version, Slots, Events and Step are the replica's fields.
	ID, Service, Zone string
	Version           string
	Slots, Events     int
	Step              time.Duration
	// SameID gives all incarnations the id ID; otherwise each gets ID with its number appended.
	SameID bool
	// Behave chooses how each request is treated; nil means platformsim.Answer.
	Behave func(*http.Request) platformsim.Behavior

	deployment   *Deployment
	host         string
	mutex        sync.Mutex
	incarnations []*platformsim.Replica
	ends         []time.Time
}

// Keep starts the keeper's replica on the host. It restarts until the deployment stops.
func (d *Deployment) Keep(host string, keeper *Restarter) error {
	keeper.deployment, keeper.host = d, host
	return keeper.start()
}

func (k *Restarter) start() error {
	k.mutex.Lock()
	id := k.ID
	if !k.SameID {
		id = fmt.Sprintf("%s.%d", k.ID, len(k.incarnations))
	}
	replica := &platformsim.Replica{
		ID: id, Service: k.Service, Zone: k.Zone, Version: k.Version, Slots: k.Slots, Events: k.Events, Step: k.Step,
		StartedAt: time.Now().UnixMilli(),
	}
	replica.OnCrash = func() { k.handleEnd(replica) }
	replica.SetBehavior(k.Behave)
	k.incarnations = append(k.incarnations, replica)
	k.mutex.Unlock()
	return k.deployment.AddReplica(k.host, replica)
}

// handleEnd records the end and schedules the restart, and the removal of the store entry unless
// later incarnations use the same id.
func (k *Restarter) handleEnd(replica *platformsim.Replica) {
	k.mutex.Lock()
	k.ends = append(k.ends, time.Now())
	k.mutex.Unlock()
	time.AfterFunc(restartDelay, func() {
		if k.deployment.isStopping.Load() {
			return
		}
		if err := k.start(); err != nil {
			panic(err) // the host's address is in use, an error of the test
		}
	})
	if !k.SameID {
		time.AfterFunc(entryLifetime, func() { k.deployment.Store.Delete("servers/" + replica.ID) })
	}
}

// End crashes the replica; it restarts after restartDelay.
func (k *Restarter) End() {
	k.mutex.Lock()
	latest := k.incarnations[len(k.incarnations)-1]
	k.mutex.Unlock()
	if latest.Crash() {
		k.handleEnd(latest)
	}
}

// StopCrashing makes the current incarnation and all later ones answer every request.
func (k *Restarter) StopCrashing() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.Behave = nil
	k.incarnations[len(k.incarnations)-1].SetBehavior(nil)
}

// Ends returns the times at which the replica ended.
func (k *Restarter) Ends() []time.Time {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return append([]time.Time{}, k.ends...)
}

// Arrivals returns the number of requests that reached the replica in all incarnations, run or not.
func (k *Restarter) Arrivals() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	count := 0
	for _, incarnation := range k.incarnations {
		count += incarnation.Arrivals()
	}
	return count
}

// Runs returns the requests that the replica ran in all incarnations.
func (k *Restarter) Runs() []platformsim.Run {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var runs []platformsim.Run
	for _, incarnation := range k.incarnations {
		runs = append(runs, incarnation.Runs()...)
	}
	return runs
}
