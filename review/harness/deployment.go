package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Ports, the same on all hosts.
const (
	callersPort   = 8221
	readinessPort = 8224
	operatorsPort = 8229
	peerPort      = 7600
	storePort     = 8225
	replicaPort   = 8080
)

// Bounds of the deployment, as the sheet of the Agency's small site sets them.
const (
	memoryMB    = 134
	clientKey   = "key-of-the-office"
	routeHost   = "review.example"
	startupTime = 10 * time.Second
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) write(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = io.WriteString(r.file, line)
}

// caseRun is one run of a case with everything that it started.
type caseRun struct {
	record   *record
	trouble  bool
	folder   string
	block    string
	store    *platformsim.Store
	replicas []*platformsim.Replica
	nodes    []*node
	garbler  *garbler
	// hasSlowStart puts the bounds of cold replicas into the settings.
	hasSlowStart bool
	// mutex guards closers, and the writes of entries that wait for the store while it is down.
	mutex         sync.Mutex
	isStoreDown   bool
	delayedWrites []func()
	closers       []func()
}

func newCaseRun(recordPath string, trouble bool) (*caseRun, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	run := &caseRun{record: &record{file: file, started: time.Now()}, trouble: trouble, folder: folder, store: platformsim.NewStore()}
	run.garbler = &garbler{run: run, spoiled: map[string]bool{}}
	run.record.write("trouble: %v", trouble)
	return run, run.findBlock()
}

// findBlock finds a free block of loopback addresses, by listening on its store's address, and serves the store there.
func (r *caseRun) findBlock() error {
	for range 50 {
		r.block = fmt.Sprintf("127.%d.%d", 40+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", r.address(9, storePort))
		if err != nil {
			continue
		}
		server := &http.Server{Handler: r.store}
		go func() { _ = server.Serve(listener) }()
		r.closers = append(r.closers, func() { _ = server.Close() })
		return nil
	}
	return errors.New("no free block of loopback addresses")
}

func (r *caseRun) host(number int) string { return fmt.Sprintf("%s.%d", r.block, number) }

func (r *caseRun) address(host, port int) string {
	return net.JoinHostPort(r.host(host), fmt.Sprint(port))
}

// addReplica starts a replica and writes its entry.
func (r *caseRun) addReplica(replica *platformsim.Replica) error {
	number := 20 + len(r.replicas)
	replica.ID, replica.Address = fmt.Sprintf("i-%d", number), r.address(number, replicaPort)
	listener, err := net.Listen("tcp", replica.Address)
	if err != nil {
		return err
	}
	canSpoil := len(r.replicas)%int(1/garbleShare) == 0
	go replica.Serve(&engineListener{Listener: listener, garbler: r.garbler, canSpoil: canSpoil})
	replica.Register(r.store, "ready")
	r.replicas = append(r.replicas, replica)
	r.closers = append(r.closers, func() { replica.Crash() })
	return nil
}

// node is one entry machine, whose process the stand-in of the platform starts again when it ends.
type node struct {
	run        *caseRun
	name, zone string
	number     int
	mutex      sync.Mutex
	command    *exec.Cmd
	isClosing  bool
	// isIn is the balancer's view, after that many misses in a row.
	isIn   bool
	misses int
	starts int
	// isKilled is true once the present process was killed over its memory, overMemory has the times of all such
	// kills, and peakMB is the highest memory seen.
	isKilled   bool
	overMemory []time.Time
	peakMB     int
	done       sync.WaitGroup
}

// addNode adds a machine. Its process starts with start.
func (r *caseRun) addNode(zone string) {
	number := len(r.nodes) + 1
	r.nodes = append(r.nodes, &node{run: r, name: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone, number: number})
}

// settings returns the settings file, rendered as deploy/settings.yaml is on the Agency's small site.
func (n *node) settings() string {
	zones, seeds := map[string]bool{}, []string{}
	for _, other := range n.run.nodes {
		zones[other.zone] = true
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", n.run.address(other.number, operatorsPort)))
		}
	}
	var regions []string
	for zone := range zones {
		regions = append(regions, fmt.Sprintf("%q: %q", zone, "plovdiv"))
	}
	lines := []string{
		fmt.Sprintf("name: %q", n.name), fmt.Sprintf("zone: %q", n.zone), "regions: { " + strings.Join(regions, ", ") + " }",
		fmt.Sprintf("callers: %q", n.run.address(n.number, callersPort)), fmt.Sprintf("readiness: %q", n.run.address(n.number, readinessPort)),
		fmt.Sprintf("operators: %q", n.run.address(n.number, operatorsPort)), fmt.Sprintf("host: %q", n.run.host(n.number)),
		fmt.Sprintf("peer_port: %d", peerPort), "seeds: [" + strings.Join(seeds, ",") + "]", fmt.Sprintf("store: %q", n.run.address(9, storePort)),
		"stop_grace_ms: 8000", "contact_ms: 3000", "configuration_bound_ms: 2000", "cores: 0.4", "link_mbps: 1000.0", fmt.Sprintf("memory_mb: %d", memoryMB),
		"retry_ratio: 0.2", "retry_window_s: 10", "retry_slack: 58", "quota_window_s: 8", "quota_overage: 0.1", "quota_slack: 72000",
		"rollout_share: ", "rollout_slack: ", n.run.slowStartSettings(), "barred_after_ends: 3", fmt.Sprintf("first_start: %v", n.starts == 0),
		"tenant_shares: quota", "queue_order: feasible", "slot_handover_ms: 25",
	}
	return strings.Join(lines, "\n") + "\n"
}

// slowStartSettings returns the settings of cold replicas.
func (r *caseRun) slowStartSettings() string {
	if !r.hasSlowStart {
		return "cold_overage: \ncold_slack: "
	}
	return fmt.Sprintf("cold_overage: %v\ncold_slack: %v", coldOverage, coldSlack)
}

// start starts the process, and again when it ends.
func (n *node) start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.isClosing {
		return nil
	}
	path := filepath.Join(n.run.folder, n.name+".yaml")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.run.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/thornwalkd", "entry")
	command.Env = append(os.Environ(), "THORNWALK_CONFIG="+path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	n.command, n.isKilled = command, false
	n.starts++
	n.run.record.write("%s: process started (%d)", n.name, n.starts)
	n.done.Go(func() { n.awaitEnd(command) })
	return nil
}

// restartDelay is the platform's delay before it starts an ended process again.
const restartDelay = 500 * time.Millisecond

func (n *node) awaitEnd(command *exec.Cmd) {
	err := command.Wait()
	n.run.record.write("%s: process ended (%v)", n.name, err)
	if n.isEnding() {
		return
	}
	time.Sleep(restartDelay)
	if err := n.start(); err != nil {
		n.run.record.write("%s: can't start: %v", n.name, err)
	}
}

// isEnding reports whether the run ends, so that the process isn't started again.
func (n *node) isEnding() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.isClosing
}

func (n *node) close() {
	n.mutex.Lock()
	n.isClosing = true
	if n.command != nil {
		_ = n.command.Process.Kill()
	}
	n.mutex.Unlock()
	n.done.Wait()
}

// start starts all nodes and the balancer, and waits until every node takes requests.
func (r *caseRun) start() error {
	for _, node := range r.nodes {
		if err := node.start(); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	r.closers = append(r.closers, func() { close(stop) })
	go r.balance(stop)
	go r.enforceMemory(stop)
	deadline := time.Now().Add(startupTime)
	for time.Now().Before(deadline) {
		if len(r.inNodes("")) == len(r.nodes) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the nodes were not ready in time")
}

func (r *caseRun) close() {
	for _, node := range r.nodes {
		node.close()
	}
	for _, closeOne := range r.closers {
		closeOne()
	}
	_ = r.record.file.Close()
	_ = os.RemoveAll(r.folder)
}
