// Package cluster runs a deployment in one process: entry nodes in several zones and
// stand-ins for the platform and the back ends. It runs on loopback for the demo and on
// a network in memory for tests.
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

// OperatorToken is the operators' bearer token of all clusters.
const OperatorToken = "operator-of-the-lab"

// Hosts of the platform's stand-ins on a network in memory.
const (
	StoreHost    = "store"
	MachinesHost = "machines"
)

// Options are the options of a cluster.
type Options struct {
	Zones        []string
	NodesPerZone int
	// EngineService and PlainService each have replicas in every zone. Engines has one
	// entry for each replica of EngineService in a zone.
	EngineService string
	Model         string
	Engines       []enginesim.Spec
	// ZoneEngines replaces Engines, zone by zone in the order of Zones.
	ZoneEngines   [][]enginesim.Spec
	PlainService  string
	PlainReplicas int
	// CallTime is the duration of a call of PlainService.
	CallTime time.Duration
	Settings *settings.Tree
	// MachineLag is the time until a change of the machine list becomes visible,
	// ReportLag the minimum age of engine load reports.
	MachineLag   time.Duration
	ReportLag    time.Duration
	StoreLatency time.Duration
	// EnginesIgnoreFences makes all engines accept load orders with a stale fence.
	EnginesIgnoreFences bool
	// Host returns the network as seen from the named host.
	Host func(name string) network.Network
	// ListenAddress is the address on which all servers listen, such as "127.0.0.1:0".
	ListenAddress string
	// StoreAddress and MachinesAddress are the listen addresses of the platform's
	// stand-ins. If empty, ListenAddress is used.
	StoreAddress, MachinesAddress string
	// Faults returns the fault injector of a node. Nil means no faults.
	Faults       func(node string) faultpoint.Injector
	Seed         uint64
	LogDecisions bool
	DrainGrace   time.Duration
	// WrapNetwork and WrapStore wrap the network and the store of each node. Nil means
	// no wrapper.
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
	// Document contains the initial settings.
	Document *settingsync.Document

	ctx             context.Context
	cancel          context.CancelFunc
	group           sync.WaitGroup
	mutex           sync.Mutex
	nodes           map[string]*node.Node
	nodeNames       []string
	startCount      int64
	storeAddress    string
	machinesAddress string
	backends        map[structs.ReplicaID]*backendServer
}

// backendServer is the HTTP server of a back end and its entry in the machine list.
type backendServer struct {
	server  *http.Server
	machine outside.Machine
}

// Start starts a cluster and blocks until all nodes are ready. The cluster ends with
// the context or with Stop.
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

// StartStandins starts the stand-ins for the platform and the back ends, without nodes.
func StartStandins(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{
		Options: options, Store: standin.NewStore(), Machines: standin.NewMachines(options.MachineLag),
		nodes: map[string]*node.Node{}, backends: map[structs.ReplicaID]*backendServer{},
	}
	c.Store.Latency = options.StoreLatency
	c.ctx, c.cancel = context.WithCancel(ctx)
	if err := c.startPlatform(); err != nil {
		return nil, err
	}
	return c, c.startBackends()
}

// NodeName returns the name of a node. It is also the name of its host.
func NodeName(zone string, index int) string { return fmt.Sprintf("%s-n%d", zone, index) }

func (c *Cluster) startPlatform() error {
	document := &settingsync.Document{Generation: 1, Branches: c.Options.Settings.Branches()}
	data, err := document.Encode()
	if err != nil {
		return err
	}
	c.Document = document
	c.Store.Put(settingsync.Key, data)
	if c.storeAddress, _, err = c.serve(StoreHost, c.Options.StoreAddress, c.Store.Handler()); err != nil {
		return err
	}
	c.machinesAddress, _, err = c.serve(MachinesHost, c.Options.MachinesAddress, c.Machines.Handler())
	return err
}

// serve runs an HTTP server on a host until the context of the cluster ends. It listens
// on the address, or on ListenAddress if that is empty, and returns the actual address.
func (c *Cluster) serve(host, address string, handler http.Handler) (string, *http.Server, error) {
	if address == "" {
		address = c.Options.ListenAddress
	}
	listener, err := c.Options.Host(host).Listen(address)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, BaseContext: func(net.Listener) context.Context { return c.ctx }, ErrorLog: discardLog}
	c.group.Go(func() { _ = server.Serve(listener) }) // returns after Close
	c.group.Go(func() {
		<-c.ctx.Done()
		_ = server.Close()
	})
	return listener.Addr().String(), server, nil
}

func (c *Cluster) startBackends() error {
	for zoneIndex, zone := range c.Options.Zones {
		blocks := enginesim.NewZoneBlocks()
		specs := c.Options.Engines
		if zoneIndex < len(c.Options.ZoneEngines) {
			specs = c.Options.ZoneEngines[zoneIndex]
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
	engine.ChecksFence = !c.Options.EnginesIgnoreFences
	c.Engines = append(c.Engines, engine)
	return c.addBackend(zone, engine.Handler(), structs.Replica{
		ID: id, Service: c.Options.EngineService, Kind: structs.KindEngine, HardwareGeneration: spec.Generation, ChecksFence: !c.Options.EnginesIgnoreFences,
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
	c.backends[replica.ID] = &backendServer{server: server, machine: machine}
	c.Machines.Add(machine)
	return nil
}

// KillBackend closes the port and all connections of a back end.
func (c *Cluster) KillBackend(id structs.ReplicaID) { _ = c.backends[id].server.Close() }

// MarkBackendLeaving marks a back end as leaving in the machine list.
func (c *Cluster) MarkBackendLeaving(id structs.ReplicaID) {
	machine := c.backends[id].machine
	machine.Leaving = true
	c.Machines.Add(machine)
}

// StartNode starts a node, or restarts it after it has ended. It does not wait until
// the node is ready.
func (c *Cluster) StartNode(name, zone string) error {
	c.mutex.Lock()
	c.startCount++
	start := c.startCount
	c.mutex.Unlock()
	hostNetwork := c.Options.Host(name)
	if c.Options.WrapNetwork != nil {
		hostNetwork = c.Options.WrapNetwork(hostNetwork)
	}
	const storeTimeout = time.Second
	var store outside.Store = etcdstore.New(hostNetwork, c.storeAddress, storeTimeout, nil)
	if c.Options.WrapStore != nil {
		store = c.Options.WrapStore(store)
	}
	var faults faultpoint.Injector
	if c.Options.Faults != nil {
		faults = c.Options.Faults(name)
	}
	newNode, err := node.New(node.Config{
		Name: name, Zone: zone, CallerListen: c.Options.ListenAddress, OperatorListen: c.Options.ListenAddress, PeerListen: c.Options.ListenAddress,
		ReceiptKeys: [][]byte{[]byte("a receipt key of the lab")}, OperatorToken: OperatorToken, DrainGrace: c.Options.DrainGrace,
	}, node.Dependencies{
		Network: hostNetwork, Store: store, Machines: machinelist.New(hostNetwork, c.machinesAddress), WallTime: time.Now,
		Random: rand.New(rand.NewPCG(c.Options.Seed, uint64(start))), Faults: faults,
		StartMilliseconds: time.Now().UnixMilli() + start, LogDecisions: c.Options.LogDecisions,
	})
	if err != nil {
		return err
	}
	if err := newNode.Start(c.ctx); err != nil {
		return err
	}
	c.mutex.Lock()
	if _, exists := c.nodes[name]; !exists {
		c.nodeNames = append(c.nodeNames, name)
	}
	c.nodes[name] = newNode
	c.mutex.Unlock()
	c.Machines.Add(outside.Machine{Name: name, Role: "entry", Zone: zone, PeerAddress: newNode.PeerAddress(), CallerAddress: newNode.CallerAddress()})
	return nil
}

// readyTimeout is the maximum time until all nodes are ready.
const readyTimeout = 120 * time.Second

func (c *Cluster) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
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
	return fmt.Errorf("start cluster: nodes not ready after %s", readyTimeout)
}

// Names returns the names of all nodes in the order of their first start.
func (c *Cluster) Names() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]string(nil), c.nodeNames...)
}

// Node returns the latest instance of the named node, which may have ended, or nil.
func (c *Cluster) Node(name string) *node.Node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.nodes[name]
}

// Executions returns the records of all back ends.
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

// Stop ends all nodes and stand-ins and waits until their goroutines have returned. It
// does not drain the nodes.
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
