package soak

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// entryPollInterval is how often a replica tries to write its entry while the store is down.
const entryPollInterval = 20 * time.Millisecond

// incarnation is one process of a replica, from its start to its end.
type incarnation struct {
	*replicaProcess
	options     replicaOptions
	statesStart bool

	// mutex guards what follows. endedAt is when the process was told to end, zero before; listedAt is when it wrote its
	// entry, zero before.
	mutex                        sync.Mutex
	startedAt, endedAt, listedAt time.Time
	runs                         []replicaRun
	// closes is true if it was told to close its connections and exit, and not killed.
	closes bool
	// gone is closed once the process is gone and its output is read. Then failure is set if it ended in another way than
	// it was told to.
	gone    chan struct{}
	failure error
}

// startIncarnation starts the process and waits until it listens.
func startIncarnation(program string, options replicaOptions, statesStart bool) (*incarnation, error) {
	startedAt := time.Now()
	options.StartedAt = startedAt.UnixMilli()
	process, err := startReplicaProcess(program)
	if err != nil {
		return nil, err
	}
	started := &incarnation{replicaProcess: process, options: options, statesStart: statesStart, startedAt: startedAt, gone: make(chan struct{})}
	err = started.listen(options)
	go started.readRuns()
	if err != nil {
		started.end(false)
		return nil, fmt.Errorf("start %s: %w", options.Incarnation, err)
	}
	return started, nil
}

// readRuns records the runs until the process is gone.
func (p *incarnation) readRuns() {
	defer close(p.gone)
	var run replicaRun
	for p.output.Decode(&run) == nil { // a killed process may leave a part of a run
		p.mutex.Lock()
		p.runs = append(p.runs, run)
		p.mutex.Unlock()
		run = replicaRun{}
	}
	err := p.command.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.endedAt.IsZero():
		p.endedAt, p.failure = time.Now(), fmt.Errorf("%s ended by itself: %v", p.options.Incarnation, err)
	case p.closes && err != nil:
		p.failure = fmt.Errorf("%s did not exit as it was told to: %w", p.options.Incarnation, err)
	}
}

// end ends the process and waits until it is gone. It closes its connections first if closes is true, else it is
// killed.
func (p *incarnation) end(closes bool) {
	p.mutex.Lock()
	if p.endedAt.IsZero() {
		p.endedAt, p.closes = time.Now(), closes
	}
	p.mutex.Unlock()
	if closes {
		timer := time.AfterFunc(replicaExitTimeout, func() { _ = p.command.Process.Kill() })
		defer timer.Stop()
		_ = p.input.Close()
	} else {
		_ = p.command.Process.Kill()
	}
	<-p.gone
}

// list writes the entry unless the process was told to end, and reports whether there is nothing left to do.
func (p *incarnation) list(store *platformsim.Store) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.endedAt.IsZero() {
		return true
	}
	if store.IsDown() {
		return false
	}
	replica := p.options.replica()
	if !p.statesStart {
		replica.StartedAt = 0
	}
	replica.Register(store, "ready")
	p.listedAt = time.Now()
	return true
}

// listOnceUp writes the entry after the delay, counted from when the store is up.
func (p *incarnation) listOnceUp(store *platformsim.Store, delay time.Duration) {
	for {
		for store.IsDown() && !p.isEnding() {
			time.Sleep(entryPollInterval)
		}
		time.Sleep(delay)
		if p.list(store) {
			return
		}
	}
}

func (p *incarnation) isEnding() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.endedAt.IsZero()
}

// reincarnatedReplica is a replica that ends and starts again at its address and under its ID.
type reincarnatedReplica struct {
	program     string
	base        replicaOptions
	statesStart bool
	// order is held from an end to the next start.
	order sync.Mutex

	mutex sync.Mutex
	// incarnations are all processes so far; the last one may have ended.
	incarnations []*incarnation
	failures     []error
	writers      sync.WaitGroup
}

// start starts the next incarnation, which writes its entry after the delay and once the store is up.
func (r *reincarnatedReplica) start(version string, store *platformsim.Store, entryDelay time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	options := r.base
	options.Version, options.Incarnation = version, fmt.Sprintf("%s.%d", options.ID, len(r.incarnations))
	started, err := startIncarnation(r.program, options, r.statesStart)
	if err != nil {
		r.failures = append(r.failures, err)
		return
	}
	r.incarnations = append(r.incarnations, started)
	r.writers.Go(func() { started.listOnceUp(store, entryDelay) })
}

// end ends the present incarnation.
func (r *reincarnatedReplica) end(closes bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.incarnations) > 0 {
		r.incarnations[len(r.incarnations)-1].end(closes)
	}
}

// startReincarnated starts the replicas that start again in place, each as a process.
func (d *deployment) startReincarnated(options *Options) error {
	plan, program := drawReplaced(options.Seed, options.Traffic), options.ReplicaProgram
	if program == "" {
		program = options.Daemon
	}
	_, ids := drawEventIDs(options.Seed)
	limit := make(chan struct{}, maxConcurrentStarts)
	var group sync.WaitGroup
	for number, version := range plan.versions {
		replica := &reincarnatedReplica{program: program, statesStart: plan.statesStart, base: replicaOptions{
			ID: fmt.Sprintf("again-%d", number), Service: replacedService, Address: hostAddress(options.Block, firstHeldHost+number, replicaPort),
			Slots: replacedSlots, Events: replacedEvents, Step: replacedStep, GivesReports: plan.givesReports, WritesRuns: true, EventIDs: ids, NamesRuns: true,
		}}
		d.reincarnated = append(d.reincarnated, replica)
		group.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			replica.start(version, d.store, 0)
		})
	}
	group.Wait()
	for _, replica := range d.reincarnated {
		replica.writers.Wait()
		if err := errors.Join(replica.failures...); err != nil {
			return err
		}
	}
	return nil
}

// endReincarnated ends the replicas that start again in place.
func (d *deployment) endReincarnated() {
	var group sync.WaitGroup
	for _, replica := range d.reincarnated {
		group.Go(func() {
			replica.end(false)
			replica.writers.Wait()
		})
	}
	group.Wait()
}

// processAddress returns the address of the replica with a process that has the number.
func (d *deployment) processAddress(number int) string {
	if len(d.reincarnated) > 0 {
		return d.reincarnated[number].base.Address
	}
	return d.held[number].options.Address
}
