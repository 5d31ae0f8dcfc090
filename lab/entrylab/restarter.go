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
	// Brittleness makes all incarnations brittle unless it is nil; SetBrittleness changes it.
	Brittleness *platformsim.Brittleness

	deployment   *Deployment
	host         string
	mutex        sync.Mutex
	incarnations []*platformsim.Replica
	ends         []time.Time
}

// Keep starts the restarter's replica on the host. It restarts until the deployment stops.
func (d *Deployment) Keep(host string, restarter *Restarter) error {
	restarter.deployment, restarter.host = d, host
	return restarter.start()
}

func (r *Restarter) start() error {
	r.mutex.Lock()
	id := r.ID
	if !r.SameID {
		id = fmt.Sprintf("%s.%d", r.ID, len(r.incarnations))
	}
	replica := &platformsim.Replica{
		ID: id, Service: r.Service, Zone: r.Zone, Version: r.Version, Slots: r.Slots, Events: r.Events, Step: r.Step,
		StartedAt: time.Now().UnixMilli(),
	}
	replica.OnCrash = func() { r.handleEnd(replica) }
	replica.SetBehavior(r.Behave)
	replica.SetBrittleness(r.Brittleness)
	r.incarnations = append(r.incarnations, replica)
	r.mutex.Unlock()
	return r.deployment.AddReplica(r.host, replica)
}

// handleEnd records the end and schedules the restart, and the removal of the store entry unless
// later incarnations use the same id.
func (r *Restarter) handleEnd(replica *platformsim.Replica) {
	r.mutex.Lock()
	r.ends = append(r.ends, time.Now())
	r.mutex.Unlock()
	time.AfterFunc(restartDelay, func() {
		if r.deployment.isStopping.Load() {
			return
		}
		if err := r.start(); err != nil {
			panic(err) // the host's address is in use, an error of the test
		}
	})
	if !r.SameID {
		time.AfterFunc(entryLifetime, func() { r.deployment.Store.Delete("servers/" + replica.ID) })
	}
}

// End crashes the replica; it restarts after restartDelay.
func (r *Restarter) End() {
	r.mutex.Lock()
	latest := r.incarnations[len(r.incarnations)-1]
	r.mutex.Unlock()
	if latest.Crash() {
		r.handleEnd(latest)
	}
}

// StopCrashing makes the current incarnation and all later ones answer every request.
func (r *Restarter) StopCrashing() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Behave = nil
	r.incarnations[len(r.incarnations)-1].SetBehavior(nil)
}

// SetBrittleness makes the current incarnation and all later ones brittle, or no longer brittle if it is
// nil.
func (r *Restarter) SetBrittleness(brittleness *platformsim.Brittleness) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Brittleness = brittleness
	r.incarnations[len(r.incarnations)-1].SetBrittleness(brittleness)
}

// Ends returns the times at which the replica ended.
func (r *Restarter) Ends() []time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]time.Time{}, r.ends...)
}

// Arrivals returns the number of requests that reached the replica in all incarnations, run or not.
func (r *Restarter) Arrivals() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, incarnation := range r.incarnations {
		count += incarnation.Arrivals()
	}
	return count
}

// Runs returns the requests that the replica ran in all incarnations.
func (r *Restarter) Runs() []platformsim.Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var runs []platformsim.Run
	for _, incarnation := range r.incarnations {
		runs = append(runs, incarnation.Runs()...)
	}
	return runs
}
