// Package entrylab runs whole entry nodes over stand-ins of the users'
// platform: a store, replicas, and nodes that find each other by seeds. It
// serves the demo on loopback and the tests under virtual time.
package entrylab

import (
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

// storeDialLimit bounds the opening of a connection to the store.
const storeDialLimit = 3 * time.Second

// Options describe a deployment.
type Options struct {
	// Hosts are the nodes' hosts, one node each, and Zones their zones.
	Hosts, Zones []string
	// Network and Datagrams give the networks as seen from a host.
	Network   func(host string) network.Network
	Datagrams func(host string) network.Datagrams
	// StoreHost is where the store runs.
	StoreHost string
	// Log receives the nodes' lines; nil drops them.
	Log io.Writer
	// Adjust changes the settings of each node before it starts.
	Adjust func(settings *entry.Settings)
	// Now gives the clock of a host; nil means the steady one.
	Now func(host string) func() time.Duration
	// Sleep gives the timer by which a node measures how slow it is; nil means its own.
	Sleep func(host string) func(time.Duration) time.Duration
}

// Deployment is a running set of nodes with their stand-ins.
type Deployment struct {
	options  Options
	Store    *platformsim.Store
	mutex    sync.Mutex
	nodes    map[string]*entry.Node
	replicas []*platformsim.Replica
	closers  []func()
	starts   uint64
	// isOver is true once the deployment stops: nothing starts any more.
	isOver atomic.Bool
}

// Start starts the store and the nodes.
func Start(options Options) (*Deployment, error) {
	d := &Deployment{options: options, Store: platformsim.NewStore(), nodes: map[string]*entry.Node{}}
	listener, err := options.Network(options.StoreHost).Listen(at(options.StoreHost, storePort))
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

func at(host string, port int) string { return net.JoinHostPort(host, fmt.Sprint(port)) }

// CallersAddress, OperatorsAddress and ReadinessAddress are those of a node.
func CallersAddress(host string) string { return at(host, callersPort) }

// OperatorsAddress is where a node serves operators.
func OperatorsAddress(host string) string { return at(host, operatorsPort) }

// ReadinessAddress is where a node answers the balancer.
func ReadinessAddress(host string) string { return at(host, readinessPort) }

// StartNode starts a node on the host, or starts it again.
func (d *Deployment) StartNode(host, zone string) error {
	seeds := make([]string, 0, 3)
	for _, other := range d.options.Hosts[:min(3, len(d.options.Hosts))] {
		seeds = append(seeds, at(other, operatorsPort))
	}
	settings := &entry.Settings{
		Name: host, Zone: zone, Callers: at(host, callersPort), Readiness: at(host, readinessPort), Operators: at(host, operatorsPort),
		Host: host, PeerPort: peerPort, Seeds: seeds, Store: at(d.options.StoreHost, storePort),
		StopGrace: 8000, StoreRecoveryWindow: 3000, ConfigurationBound: 2000, RetryRatio: 0.2, RetryWindow: 10, RetrySlack: 40, QuotaWindow: 8, RolloutShare: 0.1, RolloutSlack: 50, SlowStartOverage: 1.5, SlowStartSlack: 5, BlockedAfter: 3, FirstStart: true,
	}
	if d.options.Adjust != nil {
		d.options.Adjust(settings)
	}
	d.mutex.Lock()
	d.starts++
	incarnation := d.starts
	log := eventlog.New(host, d.options.Log)
	d.closers = append(d.closers, log.Close)
	d.mutex.Unlock()
	hostNetwork := d.options.Network(host)
	directory := platform.NewDirectory(network.Bounded{Network: hostNetwork, Limit: storeDialLimit}, settings.Store)
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
		Network: hostNetwork, Datagrams: d.options.Datagrams(host), Directory: directory, Revisions: directory, Rollouts: directory, PoisonRecords: directory,
		Headers: platform.Headers(), ParsePushback: platform.ParsePushback, ReadyPath: platform.ReadyPath, Log: log, Incarnation: incarnation,
	})
	if err := node.Start(); err != nil {
		return err
	}
	d.mutex.Lock()
	d.nodes[host] = node
	d.mutex.Unlock()
	return nil
}

// Node returns the node on the host.
func (d *Deployment) Node(host string) *entry.Node {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.nodes[host]
}

// AddReplica starts a replica on the host and registers it as ready.
func (d *Deployment) AddReplica(host string, replica *platformsim.Replica) error {
	replica.Address = at(host, replicaPort)
	listener, err := d.options.Network(host).Listen(replica.Address)
	if err != nil {
		return err
	}
	d.mutex.Lock()
	isOver := d.isOver.Load()
	if !isOver {
		d.replicas = append(d.replicas, replica)
	}
	d.mutex.Unlock()
	if isOver {
		return listener.Close()
	}
	go replica.Serve(listener)
	replica.Register(d.Store, "ready")
	return nil
}

// Configuration is what the operator writes.
type Configuration struct {
	Version  int64          `json:"version"`
	Routes   []Route        `json:"routes"`
	Services []Service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []Tenant       `json:"tenants,omitempty"`
}

// Route, Service and Tenant are parts of a configuration.
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
	// ColdTime (seconds) and ColdRate (requests a second) are of replicas that started lately.
	ColdTime float64 `json:"cold_start_s"`
	ColdRate float64 `json:"cold_per_s"`
}

// Tenant is a holder of keys with a quota.
type Tenant struct {
	Name        string   `json:"name"`
	Keys        []string `json:"api_keys"`
	Unit        string   `json:"unit"`
	PlainTokens int      `json:"plain_tokens"`
	Rate        float64  `json:"rate_per_s"`
	Burst       float64  `json:"burst"`
}

// Apply writes the configuration as the operator does.
func (d *Deployment) Apply(configuration Configuration) { configuration.Write(d.Store) }

// Write puts the configuration into the store.
func (c Configuration) Write(store *platformsim.Store) {
	c.Limits = map[string]int{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	store.PutJSON("op/config", c)
}

// AwaitReady waits until every node is ready, or returns false.
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

// Stop ends everything at once.
func (d *Deployment) Stop() {
	d.isOver.Store(true)
	// What ends waits for what runs, which may ask for a node or start a replica meanwhile.
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
