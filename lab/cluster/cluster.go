// Package cluster starts a whole deployment in one process: stand-ins for the
// platform and the back ends, and entry nodes in several zones. It runs on
// loopback for the demo and on a network in memory for tests.
package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/coordination/settingsync"
	"github.com/thornwalk/thornwalk/faultpoint"
	"github.com/thornwalk/thornwalk/lab/enginesim"
	"github.com/thornwalk/thornwalk/lab/standin"
	"github.com/thornwalk/thornwalk/node"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/state/settings"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/etcdstore"
	"github.com/thornwalk/thornwalk/transport/machinelist"
	"github.com/thornwalk/thornwalk/transport/network"
)

// OperatorToken is the operators' bearer token of clusters.
const OperatorToken = "operator-of-the-lab"

// StoreHost and MachinesHost are the platform's hosts on a network in memory.
const (
	StoreHost    = "store"
	MachinesHost = "machines"
)

// Options describe a cluster.
type Options struct {
	Zones        []string
	NodesPerZone int
	// Engine services and plain services, each with replicas in every zone.
	EngineService string
	Model         string
	Engines       []enginesim.Spec
	// ZoneEngines lists the engines zone by zone instead, if they differ.
	ZoneEngines    [][]enginesim.Spec
	PlainService   string
	PlainReplicas  int
	CallTime       time.Duration
	Settings       *settings.Tree
	MachineLag     time.Duration
	ReportLag      time.Duration
	StoreLatency   time.Duration
	FencelessZones bool
	// Host returns the network of a host.
	Host func(name string) network.Network
	// ListenAddress is the address to listen at, such as "127.0.0.1:0".
	ListenAddress string
	// StoreAddress and MachinesAddress are those of the platform's stand-ins;
	// empty means ListenAddress.
	StoreAddress, MachinesAddress string
	// Faults returns the injector of a node; nil for none.
	Faults       func(node string) faultpoint.Injector
	Seed         uint64
	LogDecisions bool
	DrainGrace   time.Duration
	// WrapNetwork and WrapStore change what nodes use; nil leaves it. Tests of
	// the checker break promises with them.
	WrapNetwork func(network.Network) network.Network
	WrapStore   func(outside.Store) outside.Store
}

// Cluster is a running deployment.
type Cluster struct {
	Options  Options
	Store    *standin.Store
	Machines *standin.Machines
	Engines  []*standin.Engine
	Services []*standin.Service
	// Document is the settings that the cluster began with.
	Document *settingsync.Document

	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	mutex    sync.Mutex
	nodes    map[string]*node.Node
	order    []string
	starts   int64
	storeAt  string
	listAt   string
	replicas map[structs.ReplicaID]*backendServer
}

// backendServer is the HTTP server of one back end.
type backendServer struct {
	server  *http.Server
	machine outside.Machine
}

// Start starts everything and waits until each node is ready.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c, err := StartStandins(ctx, options)
	if err != nil {
		return nil, err
	}
	for _, zone := range options.Zones {
		for index := range options.NodesPerZone {
			if err := c.StartNode(NodeName(zone, index), zone); err != nil {
				return nil, err
			}
		}
	}
	return c, c.awaitReady()
}

// StartStandins starts the platform and the back ends without nodes.
func StartStandins(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{
		Options: options, Store: standin.NewStore(), Machines: standin.NewMachines(options.MachineLag),
		nodes: map[string]*node.Node{}, replicas: map[structs.ReplicaID]*backendServer{},
	}
	c.Store.Latency = options.StoreLatency
	c.ctx, c.cancel = context.WithCancel(ctx)
	if err := c.startPlatform(); err != nil {
		return nil, err
	}
	return c, c.startBackends()
}

// NodeName returns the name of a node, which is also its host.
func NodeName(zone string, index int) string { return fmt.Sprintf("%s-n%d", zone, index) }

func (c *Cluster) startPlatform() error {
	document := &settingsync.Document{Generation: 1, Branches: c.Options.Settings.Branches()}
	data, err := document.Encode()
	if err != nil {
		return err
	}
	c.Document = document
	c.Store.Put(settingsync.Key, data)
	if c.storeAt, _, err = c.serve(StoreHost, c.Options.StoreAddress, c.Store.Handler()); err != nil {
		return err
	}
	c.listAt, _, err = c.serve(MachinesHost, c.Options.MachinesAddress, c.Machines.Handler())
	return err
}

// serve runs an HTTP server on a host, at the address or, if that is empty, at
// ListenAddress, and returns where.
func (c *Cluster) serve(host, address string, handler http.Handler) (string, *http.Server, error) {
	if address == "" {
		address = c.Options.ListenAddress
	}
	listener, err := c.Options.Host(host).Listen(address)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, BaseContext: func(net.Listener) context.Context { return c.ctx }, ErrorLog: quiet}
	c.group.Go(func() { _ = server.Serve(listener) }) // ends with Close
	c.group.Go(func() {
		<-c.ctx.Done()
		_ = server.Close()
	})
	return listener.Addr().String(), server, nil
}

func (c *Cluster) startBackends() error {
	for number, zone := range c.Options.Zones {
		blocks := enginesim.NewZoneBlocks()
		specs := c.Options.Engines
		if number < len(c.Options.ZoneEngines) {
			specs = c.Options.ZoneEngines[number]
		}
		for index, spec := range specs {
			if err := c.startEngine(zone, index, spec, blocks); err != nil {
				return err
			}
		}
		for index := range c.Options.PlainReplicas {
			if err := c.startService(zone, index); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) startEngine(zone string, index int, spec enginesim.Spec, blocks *enginesim.ZoneBlocks) error {
	id := structs.ReplicaID(fmt.Sprintf("%s-e%d", zone, index))
	engine := standin.NewEngine(id, spec, blocks, c.Options.Model)
	engine.ReportLag = c.Options.ReportLag
	engine.ChecksFence = !c.Options.FencelessZones
	c.Engines = append(c.Engines, engine)
	return c.addBackend(zone, engine.Handler(), structs.Replica{
		ID: id, Service: c.Options.EngineService, Kind: structs.KindEngine, HardwareGeneration: spec.Generation, ChecksFence: !c.Options.FencelessZones,
	})
}

func (c *Cluster) startService(zone string, index int) error {
	id := structs.ReplicaID(fmt.Sprintf("%s-s%d", zone, index))
	const serviceSlots = 8
	service := standin.NewService(id, c.Options.CallTime, serviceSlots)
	c.Services = append(c.Services, service)
	return c.addBackend(zone, service.Handler(), structs.Replica{ID: id, Service: c.Options.PlainService, Kind: structs.KindService})
}

func (c *Cluster) addBackend(zone string, handler http.Handler, replica structs.Replica) error {
	address, server, err := c.serve(string(replica.ID), "", handler)
	if err != nil {
		return err
	}
	replica.Address, replica.Zone = address, zone
	machine := outside.Machine{Name: string(replica.ID), Role: "backend", Zone: zone, Replica: &replica}
	c.replicas[replica.ID] = &backendServer{server: server, machine: machine}
	c.Machines.Add(machine)
	return nil
}

// KillBackend cuts every connection of a back end and closes its port.
func (c *Cluster) KillBackend(id structs.ReplicaID) { _ = c.replicas[id].server.Close() }

// LeaveBackend marks the back end as leaving on the machine list.
func (c *Cluster) LeaveBackend(id structs.ReplicaID) {
	machine := c.replicas[id].machine
	machine.Leaving = true
	c.Machines.Add(machine)
}

// StartNode starts a node, or starts it again after it ended.
func (c *Cluster) StartNode(name, zone string) error {
	c.mutex.Lock()
	c.starts++
	start := c.starts
	c.mutex.Unlock()
	hostNetwork := c.Options.Host(name)
	if c.Options.WrapNetwork != nil {
		hostNetwork = c.Options.WrapNetwork(hostNetwork)
	}
	const storeTimeout = time.Second
	var store outside.Store = etcdstore.New(hostNetwork, c.storeAt, storeTimeout, nil)
	if c.Options.WrapStore != nil {
		store = c.Options.WrapStore(store)
	}
	var faults faultpoint.Injector
	if c.Options.Faults != nil {
		faults = c.Options.Faults(name)
	}
	created, err := node.New(node.Config{
		Name: name, Zone: zone, CallerListen: c.Options.ListenAddress, OperatorListen: c.Options.ListenAddress, PeerListen: c.Options.ListenAddress,
		ReceiptKeys: [][]byte{[]byte("a receipt key of the lab")}, OperatorToken: OperatorToken, DrainGrace: c.Options.DrainGrace,
	}, node.Dependencies{
		Network: hostNetwork, Store: store, Machines: machinelist.New(hostNetwork, c.listAt), WallTime: time.Now,
		Random: rand.New(rand.NewPCG(c.Options.Seed, uint64(start))), Faults: faults,
		StartMilliseconds: time.Now().UnixMilli() + start, LogDecisions: c.Options.LogDecisions,
	})
	if err != nil {
		return err
	}
	if err := created.Start(c.ctx); err != nil {
		return err
	}
	c.mutex.Lock()
	if _, known := c.nodes[name]; !known {
		c.order = append(c.order, name)
	}
	c.nodes[name] = created
	c.mutex.Unlock()
	c.Machines.Add(outside.Machine{Name: name, Role: "entry", Zone: zone, PeerAddress: created.PeerAddress(), CallerAddress: created.CallerAddress()})
	return nil
}

// readyLimit bounds the wait for the nodes.
const readyLimit = 120 * time.Second

func (c *Cluster) awaitReady() error {
	deadline := time.Now().Add(readyLimit)
	for time.Now().Before(deadline) {
		ready := true
		for _, name := range c.Names() {
			n := c.Node(name)
			ready = ready && n.Ready() && n.LiveNodes() == c.Options.NodesPerZone
		}
		if ready {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("the nodes were not ready after %s", readyLimit)
}

// Names returns the names of the nodes that were started, in order.
func (c *Cluster) Names() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]string(nil), c.order...)
}

// Node returns the node with the name, also after it ended.
func (c *Cluster) Node(name string) *node.Node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.nodes[name]
}

// Executions returns what all back ends recorded.
func (c *Cluster) Executions() []standin.Execution {
	var executions []standin.Execution
	for _, engine := range c.Engines {
		executions = append(executions, engine.Executions()...)
	}
	for _, service := range c.Services {
		executions = append(executions, service.Executions()...)
	}
	return executions
}

// Stop ends everything at once.
func (c *Cluster) Stop() {
	for _, name := range c.Names() {
		c.Node(name).Kill()
	}
	for _, engine := range c.Engines {
		engine.Stop()
	}
	c.cancel()
	c.group.Wait()
}
