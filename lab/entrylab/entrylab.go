// Package entrylab runs complete entry nodes in one process against a simulated platform with a store
// and replicas, on any network. The demo uses it on loopback, tests under virtual time.
package entrylab

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/lab/platformsim"
	"github.com/thornwalk/thornwalk/platform"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Ports of every node.
const (
	callersPort   = 8221
	readinessPort = 8224
	operatorsPort = 8229
	peerPort      = 7600
	storePort     = 8225
	replicaPort   = 8080
)

// storeDialTimeout is the timeout for opening a connection to the store.
const storeDialTimeout = 3 * time.Second

// Options configure a deployment.
type Options struct {
	// Hosts are the nodes' hosts, one node each. Zones are assigned to them in rotation.
	Hosts, Zones []string
	// Network and Datagrams return the networks as seen from a host.
	Network   func(host string) network.Network
	Datagrams func(host string) network.Datagrams
	// StoreHost is the host of the store.
	StoreHost string
	// Log receives the nodes' event logs; nil discards them.
	Log io.Writer
	// Adjust, if not nil, changes the settings of each node before it starts.
	Adjust func(settings *entry.Settings)
	// Now returns the clock of a host; nil means the nodes' default clock.
	Now func(host string) func() time.Duration
	// Sleep returns the timer by which the node on a host measures how slow it is; nil means the nodes'
	// default.
	Sleep func(host string) func(time.Duration) time.Duration
}

// Deployment is a running set of nodes with the simulated platform. It is safe for concurrent use.
type Deployment struct {
	options         Options
	Store           *platformsim.Store
	mutex           sync.Mutex
	nodes           map[string]*entry.Node
	replicas        []*platformsim.Replica
	closers         []func()
	lastIncarnation uint64
	// isStopping is true once Stop is called; no replica starts after that.
	isStopping atomic.Bool
}

// Start starts the store and the nodes. After an error, what was started is left running.
func Start(options Options) (*Deployment, error) {
	if options.Log == nil {
		options.Log = io.Discard
	}
	d := &Deployment{options: options, Store: platformsim.NewStore(), nodes: map[string]*entry.Node{}}
	listener, err := options.Network(options.StoreHost).Listen(hostAddress(options.StoreHost, storePort))
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: d.Store}
	go func() { _ = server.Serve(listener) }()
	d.closers = append(d.closers, func() { _ = server.Close() })
	for i, host := range options.Hosts {
		if err := d.StartNode(host, options.Zones[i%len(options.Zones)]); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func hostAddress(host string, port int) string { return net.JoinHostPort(host, fmt.Sprint(port)) }

// CallersAddress returns the address at which a node serves callers.
func CallersAddress(host string) string { return hostAddress(host, callersPort) }

// OperatorsAddress returns the address at which a node serves operators.
func OperatorsAddress(host string) string { return hostAddress(host, operatorsPort) }

// ReadinessAddress returns the address at which a node answers the load balancer's readiness checks.
func ReadinessAddress(host string) string { return hostAddress(host, readinessPort) }

// StartNode starts a node on the host as a new incarnation. A previous one must have ended.
func (d *Deployment) StartNode(host, zone string) error {
	seeds := make([]string, 0, 3)
	for _, other := range d.options.Hosts[:min(3, len(d.options.Hosts))] {
		seeds = append(seeds, hostAddress(other, operatorsPort))
	}
	settings := &entry.Settings{
		Name: host, Zone: zone, Callers: hostAddress(host, callersPort), Readiness: hostAddress(host, readinessPort), Operators: hostAddress(host, operatorsPort),
		Host: host, PeerPort: peerPort, Seeds: seeds, Store: hostAddress(d.options.StoreHost, storePort),
		StopGrace: 8000, StoreRecoveryWindow: 3000, ConfigurationBound: 2000, RetryRatio: 0.2, RetryWindow: 10, RetrySlack: 40, QuotaWindow: 8, RolloutShare: 0.1, RolloutSlack: 50, SlowStartOverage: 1.5, SlowStartSlack: 5, BlockedAfter: 3, FirstStart: true,
	}
	if d.options.Adjust != nil {
		d.options.Adjust(settings)
	}
	d.mutex.Lock()
	d.lastIncarnation++
	incarnation := d.lastIncarnation
	log := eventlog.New(host, &lineWriter{writer: d.options.Log})
	d.closers = append(d.closers, log.Close)
	d.mutex.Unlock()
	hostNetwork := d.options.Network(host)
	directory := platform.NewDirectory(network.Bounded{Network: hostNetwork, Limit: storeDialTimeout}, settings.Store)
	var sleep func(time.Duration) time.Duration
	if d.options.Sleep != nil {
		sleep = d.options.Sleep(host)
	}
	var now func() time.Duration
	if d.options.Now != nil {
		now = d.options.Now(host)
	}
	node := entry.New(settings, entry.Dependencies{
		Sleep: sleep, Now: now,
		Network: hostNetwork, Datagrams: d.options.Datagrams(host), Directory: directory, Revisions: directory, Rollouts: directory, PoisonRecords: directory, StreamOrigins: directory,
		Headers: platform.Headers(), ParsePushback: platform.ParsePushback, ReportPath: platform.ReportPath, ParseReport: platform.ParseReport, ReadyPath: platform.ReadyPath, Log: log, Incarnation: incarnation,
	})
	if err := node.Start(); err != nil {
		return err
	}
	d.mutex.Lock()
	d.nodes[host] = node
	d.mutex.Unlock()
	return nil
}

// Node returns the latest node on the host, or nil if there is none.
func (d *Deployment) Node(host string) *entry.Node {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.nodes[host]
}

// AddReplica starts the replica on the host and registers it as ready.
func (d *Deployment) AddReplica(host string, replica *platformsim.Replica) error {
	if err := d.StartReplica(host, replica); err != nil || d.isStopping.Load() {
		return err
	}
	replica.Register(d.Store, "ready")
	return nil
}

// StartReplica sets the replica's address and starts it on the host without a store entry. It starts nothing once the
// deployment stops.
func (d *Deployment) StartReplica(host string, replica *platformsim.Replica) error {
	replica.Address = hostAddress(host, replicaPort)
	listener, err := d.options.Network(host).Listen(replica.Address)
	if err != nil {
		return err
	}
	d.mutex.Lock()
	isStopping := d.isStopping.Load()
	if !isStopping {
		d.replicas = append(d.replicas, replica)
	}
	d.mutex.Unlock()
	if isStopping {
		return listener.Close()
	}
	go replica.Serve(listener)
	return nil
}

// Configuration is the operators' configuration as they write it. Write sets Limits.
type Configuration struct {
	Version  int64          `json:"version"`
	Routes   []Route        `json:"routes"`
	Services []Service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []Tenant       `json:"tenants,omitempty"`
	// IdleTimeout is the limit on idle connections in milliseconds; zero means the default.
	IdleTimeout int `json:"-"`
}

// Route is a route of a configuration. Its times are in milliseconds.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Kind       string `json:"kind"`
	Timeout    int    `json:"timeout_ms"`
	Target     int    `json:"target_latency_ms"`
	TargetGap  int    `json:"target_gap_ms"`
	Priority   int    `json:"priority"`
	Service    string `json:"service"`
	Attempts   int    `json:"max_attempts"`
	Public     bool   `json:"public"`
	Resumable  bool   `json:"resumable"`
}

// Service is a pool of replicas.
type Service struct {
	Name string `json:"name"`
	// ColdTime (seconds) is the warm-up time after a replica's start, ColdRate (requests per second)
	// its limit during that time.
	ColdTime float64 `json:"cold_start_s"`
	ColdRate float64 `json:"cold_per_s"`
}

// Tenant is a tenant with its API keys and quota.
type Tenant struct {
	Name        string   `json:"name"`
	Keys        []string `json:"api_keys"`
	Unit        string   `json:"unit"`
	PlainTokens int      `json:"plain_tokens"`
	Rate        float64  `json:"rate_per_s"`
	Burst       float64  `json:"burst"`
}

// Apply writes the configuration to the deployment's store.
func (d *Deployment) Apply(configuration Configuration) { configuration.Write(d.Store) }

// Write writes the configuration with default limits to the store.
func (c Configuration) Write(store *platformsim.Store) {
	c.Limits = map[string]int{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": cmp.Or(c.IdleTimeout, 15000)}
	store.PutJSON("op/config", c)
}

// AwaitReady waits until every node is ready. It returns false if the context ends first.
func (d *Deployment) AwaitReady(ctx context.Context) bool {
	for ctx.Err() == nil {
		ready := true
		for _, host := range d.options.Hosts {
			ready = ready && d.Node(host).Ready()
		}
		if ready {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// Stop kills the nodes and replicas and closes the store.
func (d *Deployment) Stop() {
	d.isStopping.Store(true)
	// Nodes and replicas are stopped without the mutex, because running code may call Node or AddReplica.
	d.mutex.Lock()
	nodes, replicas, closers := maps.Clone(d.nodes), slices.Clone(d.replicas), slices.Clone(d.closers)
	d.mutex.Unlock()
	for _, node := range nodes {
		node.Kill()
	}
	for _, replica := range replicas {
		replica.Crash()
	}
	for _, closer := range closers {
		closer()
	}
}
