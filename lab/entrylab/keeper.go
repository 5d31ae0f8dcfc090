package entrylab

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Times of a kept replica.
const (
	// restartPause is the time from the end of a replica to its next start.
	restartPause = 2 * time.Second
	// entryLapse is how long the entry of a replica that ended stays: three heartbeats.
	entryLapse = 3600 * time.Millisecond
)

// Keeper starts a replica again on its host each time it ended, as a supervisor does.
type Keeper struct {
	// ID, Service, Zone, Version, Slots, Events and Step are those of the replica.
	ID, Service, Zone string
	Version           string
	Slots, Events     int
	Step              time.Duration
	// SameID makes each start take the id of the first one; else each has its own.
	SameID bool
	// Behave is how requests are treated.
	Behave func(*http.Request) platformsim.Behavior

	deployment *Deployment
	host       string
	mutex      sync.Mutex
	lives      []*platformsim.Replica
	ends       []time.Time
}

// Keep starts the keeper's replica on the host.
func (d *Deployment) Keep(host string, keeper *Keeper) error {
	keeper.deployment, keeper.host = d, host
	return keeper.start()
}

func (k *Keeper) start() error {
	k.mutex.Lock()
	id := k.ID
	if !k.SameID {
		id = fmt.Sprintf("%s.%d", k.ID, len(k.lives))
	}
	replica := &platformsim.Replica{
		ID: id, Service: k.Service, Zone: k.Zone, Version: k.Version, Slots: k.Slots, Events: k.Events, Step: k.Step,
		Born: time.Now().UnixMilli(),
	}
	replica.OnEnd = func() { k.ended(replica) }
	replica.SetBehavior(k.Behave)
	k.lives = append(k.lives, replica)
	k.mutex.Unlock()
	return k.deployment.AddReplica(k.host, replica)
}

// ended has the replica start again, and its entry lapse if no later life renews it.
func (k *Keeper) ended(replica *platformsim.Replica) {
	k.mutex.Lock()
	k.ends = append(k.ends, time.Now())
	k.mutex.Unlock()
	time.AfterFunc(restartPause, func() {
		if k.deployment.isOver.Load() {
			return
		}
		if err := k.start(); err != nil {
			panic(err) // the host's address is in use: the scene is wrong
		}
	})
	if !k.SameID {
		time.AfterFunc(entryLapse, func() { k.deployment.Store.Delete("servers/" + replica.ID) })
	}
}

// End ends the replica for a reason of its own.
func (k *Keeper) End() {
	k.mutex.Lock()
	latest := k.lives[len(k.lives)-1]
	k.mutex.Unlock()
	if latest.Crash() {
		k.ended(latest)
	}
}

// Mend has the present life and all later ones answer every request.
func (k *Keeper) Mend() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.Behave = nil
	k.lives[len(k.lives)-1].SetBehavior(nil)
}

// Ends returns when the replica ended.
func (k *Keeper) Ends() []time.Time {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return append([]time.Time{}, k.ends...)
}

// Arrivals returns how many requests reached all lives of the replica, run or not.
func (k *Keeper) Arrivals() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	count := 0
	for _, life := range k.lives {
		count += life.Arrivals()
	}
	return count
}

// Runs returns what all lives of the replica ran.
func (k *Keeper) Runs() []platformsim.Run {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var runs []platformsim.Run
	for _, life := range k.lives {
		runs = append(runs, life.Runs()...)
	}
	return runs
}
