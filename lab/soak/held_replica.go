package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// ReplicaCommand is the subcommand of thornwalk-lab that runs ServeReplica.
const ReplicaCommand = "replica"

// replicaOptions describe the replica of one process.
type replicaOptions struct {
	ID, Service, Address, Version string
	Slots, Events                 int
	Step                          time.Duration
	// Incarnation names the start of the replica in its events, StartedAt is its time in Unix milliseconds. Reports tell it
	// if GivesReports is true.
	Incarnation  string `json:",omitempty"`
	StartedAt    int64  `json:",omitempty"`
	GivesReports bool   `json:",omitempty"`
	// WritesRuns has the process write each run before it does any work, and none at its end.
	WritesRuns bool `json:",omitempty"`
	// EventIDs are the IDs of the events, and NamesRuns has each event name its run.
	EventIDs  platformsim.EventIDs `json:",omitempty"`
	NamesRuns bool                 `json:",omitempty"`
}

// replica returns the stand-in that the options describe.
func (o replicaOptions) replica() *platformsim.Replica {
	return &platformsim.Replica{
		ID: o.ID, Service: o.Service, Address: o.Address, Zone: "east", Version: o.Version, Slots: o.Slots, Events: o.Events, Step: o.Step,
		Incarnation: o.Incarnation, StartedAt: o.StartedAt, GivesReports: o.GivesReports, EventIDs: o.EventIDs, NamesRuns: o.NamesRuns,
	}
}

// replicaRun is a request that the replica of a process ran.
type replicaRun struct {
	ID string
	// At is its start. EndedAt is zero if it did not end.
	At, EndedAt time.Time
	// Cancelled is true if the node closed the connection, Completed if the run did all of its work.
	Cancelled, Completed bool
}

// ServeReplica serves one replica, whose options it reads from the input, until the input ends. It writes the runs to
// the output: each as it begins if the options say so, else all at the end.
func ServeReplica(input io.Reader, output io.Writer) error {
	var options replicaOptions
	if err := json.NewDecoder(input).Decode(&options); err != nil {
		return fmt.Errorf("read the replica's options: %w", err)
	}
	listener, err := listen(options.Address)
	if err != nil {
		return err
	}
	replica := options.replica()
	encoder := json.NewEncoder(output)
	if err := encoder.Encode(options); err != nil { // tells the parent that it listens
		return err
	}
	if options.WritesRuns {
		serveWritingRuns(replica, listener, input, encoder)
		return nil
	}
	go replica.Serve(listener)
	_, _ = io.Copy(io.Discard, input)
	_ = listener.Close()
	runs := []replicaRun{}
	for _, run := range replica.Runs() {
		runs = append(runs, replicaRun{ID: run.ID, At: run.At, EndedAt: run.EndedAt, Cancelled: run.Cancelled, Completed: run.Completed})
	}
	return encoder.Encode(runs)
}

// serveWritingRuns serves the replica until the input ends and writes each run as it begins. The exit of the process
// closes the connections.
func serveWritingRuns(replica *platformsim.Replica, listener net.Listener, input io.Reader, encoder *json.Encoder) {
	var mutex sync.Mutex
	replica.OnRun = func(run platformsim.Run) {
		mutex.Lock()
		defer mutex.Unlock()
		_ = encoder.Encode(replicaRun{ID: run.ID, At: run.At}) // fails only if the parent is gone
	}
	go replica.Serve(listener)
	_, _ = io.Copy(io.Discard, input)
	_ = listener.Close()
}

// replicaExitTimeout is the time in which a process has to write its runs and exit.
const replicaExitTimeout = 10 * time.Second

// heldReplica is a replica in a process of its own, which can be stopped and continued.
type heldReplica struct {
	*replicaProcess
	options replicaOptions

	mutex sync.Mutex
	// activeHolds is the number of holds in effect, heldSince the start of the first of them.
	activeHolds int
	heldSince   time.Time
	// holds are the spans in which the process was stopped.
	holds []span
	// isClosed is true once collect was called, runs and failure are what it found.
	isClosed bool
	runs     []replicaRun
	failure  error
}

// replicaProcess is a process that runs ReplicaCommand.
type replicaProcess struct {
	command *exec.Cmd
	input   io.WriteCloser
	output  *json.Decoder
}

// startReplicaProcess starts the process, which awaits its options.
func startReplicaProcess(program string) (*replicaProcess, error) {
	command := exec.Command(program, ReplicaCommand)
	command.Stderr = os.Stderr
	// In a group of its own, the kernel sends SIGHUP and SIGCONT to a stopped process whose parent has died.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	input, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	return &replicaProcess{command: command, input: input, output: json.NewDecoder(output)}, command.Start()
}

// listen has the process listen with the options, and waits until it does.
func (p *replicaProcess) listen(options replicaOptions) error {
	if err := json.NewEncoder(p.input).Encode(options); err != nil {
		return err
	}
	var listening replicaOptions
	return p.output.Decode(&listening)
}

// startHeldReplica starts the process and waits until it listens.
func startHeldReplica(program string, options replicaOptions) (*heldReplica, error) {
	process, err := startReplicaProcess(program)
	if err != nil {
		return nil, err
	}
	h := &heldReplica{replicaProcess: process, options: options}
	if err := h.listen(options); err != nil {
		h.collect()
		return nil, fmt.Errorf("start replica %s: %w", options.ID, err)
	}
	return h, nil
}

// hold stops the process unless it is stopped already.
func (h *heldReplica) hold() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.activeHolds++; h.activeHolds == 1 && !h.isClosed {
		h.heldSince = time.Now()
		_ = h.command.Process.Signal(syscall.SIGSTOP)
	}
}

// release ends a hold. The process continues once all holds ended.
func (h *heldReplica) release() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.activeHolds--; h.activeHolds == 0 && !h.isClosed {
		_ = h.command.Process.Signal(syscall.SIGCONT)
		h.holds = append(h.holds, span{h.heldSince, time.Now()})
	}
}

// collect continues the process, has it write its runs and waits until it is gone. Further calls have no effect.
func (h *heldReplica) collect() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.isClosed {
		return
	}
	h.isClosed = true
	_ = h.command.Process.Signal(syscall.SIGCONT)
	if h.activeHolds > 0 {
		h.holds = append(h.holds, span{h.heldSince, time.Now()})
	}
	_ = h.input.Close()
	timer := time.AfterFunc(replicaExitTimeout, func() { _ = h.command.Process.Kill() })
	defer timer.Stop()
	decodeErr := h.output.Decode(&h.runs)
	if h.failure = h.command.Wait(); h.failure == nil {
		h.failure = decodeErr
	}
}

// startHeld starts the replicas that can be held, each as a process, and registers them.
func (d *deployment) startHeld(options *Options) error {
	plan := drawSilence(options.Seed, options.Traffic)
	_, ids := drawEventIDs(options.Seed)
	started := make([]*heldReplica, plan.engines+plan.plain)
	errs := make([]error, len(started))
	limit := make(chan struct{}, maxConcurrentStarts)
	var group sync.WaitGroup
	for number := range started {
		group.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			started[number], errs[number] = startHeldReplica(options.Daemon, plan.replicaOptions(options.Block, number, ids))
		})
	}
	group.Wait()
	for number, replica := range started {
		if replica != nil {
			d.held = append(d.held, replica)
		}
		if errs[number] != nil {
			return errs[number]
		}
	}
	d.registerHeld()
	return nil
}

// registerHeld writes the store entries of the held replicas.
func (d *deployment) registerHeld() {
	for _, held := range d.held {
		held.options.replica().Register(d.store, "ready")
	}
}

// collectHeld ends the held replicas and waits until they are gone.
func (d *deployment) collectHeld() {
	var group sync.WaitGroup
	for _, held := range d.held {
		group.Go(held.collect)
	}
	group.Wait()
}
