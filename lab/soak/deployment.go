package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Ports on the hosts of a deployment.
const (
	callersPort      = 8221
	readinessPort    = 8224
	operatorsPort    = 8229
	peerPort         = 7600
	storePort        = 8225
	firstStoreProxy  = 8300
	replicaPort      = 8080
	replicaProxyPort = 8081
)

// nodeCount is the number of daemons, and the others the shape of the services.
const (
	nodeCount     = 3
	engineCount   = 3
	engineSlots   = 6
	engineEvents  = 8
	engineStep    = 20 * time.Millisecond
	registryCount = 3
	registrySlots = 6
	registryStep  = 15 * time.Millisecond
	stopGrace     = 4 * time.Second
	contactBound  = 1500 * time.Millisecond
	// configurationBound is the nodes' setting for how soon a change is in force.
	configurationBound = 2 * time.Second
	// addedFactor spreads the names of added routes, so that they compress no better than
	// those of a real configuration.
	addedFactor    = 2654435761
	freshRouteName = "fresh"
	staleRouteName = "stale"
)

// deployment is the daemons with the stand-ins and proxies around them.
type deployment struct {
	store        *platformsim.Store
	server       *http.Server
	processes    []*process
	storeProxies []*proxy
	replicas     []*platformsim.Replica
	proxies      []*proxy
	listeners    []net.Listener
	version      int64
	// added is the number of routes that no caller asks for.
	added int
}

// at returns the address of a port on the host with the number.
func at(block string, host, port int) string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d", block, host), fmt.Sprint(port))
}

// Numbers of hosts in the block of addresses.
const (
	storeHost    = 9
	firstReplica = 20
)

// newDeployment starts everything on loopback addresses of the block, as 127.0.8.
func newDeployment(options *Options, folder string) (*deployment, error) {
	d := &deployment{store: platformsim.NewStore()}
	if err := d.startStore(options.Block); err != nil {
		return d, err
	}
	d.configure(staleRouteName)
	for number := range engineCount + registryCount {
		if err := d.startReplica(options.Block, number); err != nil {
			return d, err
		}
	}
	for number := range nodeCount {
		if err := d.startNode(options, folder, number); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) startStore(block string) error {
	listener, err := listen(at(block, storeHost, storePort))
	if err != nil {
		return err
	}
	d.server = &http.Server{Handler: d.store}
	go func() { _ = d.server.Serve(listener) }()
	return nil
}

func (d *deployment) startReplica(block string, number int) error {
	replica := &platformsim.Replica{ID: fmt.Sprintf("i-%d", number), Zone: "east", Service: "engines", Slots: engineSlots, Events: engineEvents, Step: engineStep}
	if number >= engineCount {
		replica.Service, replica.Slots, replica.Events, replica.Step = "registry", registrySlots, 0, registryStep
	}
	listener, err := listen(at(block, firstReplica+number, replicaPort))
	if err != nil {
		return err
	}
	d.listeners = append(d.listeners, listener)
	between, err := newProxy(at(block, firstReplica+number, replicaProxyPort), listener.Addr().String())
	if err != nil {
		return err
	}
	replica.Address = between.address()
	go replica.Serve(listener)
	replica.Register(d.store, "ready")
	d.replicas, d.proxies = append(d.replicas, replica), append(d.proxies, between)
	return nil
}

func (d *deployment) startNode(options *Options, folder string, number int) error {
	block, host := options.Block, number+1
	between, err := newProxy(at(block, storeHost, firstStoreProxy+number), at(block, storeHost, storePort))
	if err != nil {
		return err
	}
	d.storeProxies = append(d.storeProxies, between)
	settings := &entry.Settings{
		Name: fmt.Sprintf("n%d", number), Zone: "east", Host: fmt.Sprintf("%s.%d", block, host), PeerPort: peerPort,
		Callers: at(block, host, callersPort), Readiness: at(block, host, readinessPort), Operators: at(block, host, operatorsPort),
		Store: between.address(), StopGrace: int(stopGrace.Milliseconds()), Contact: int(contactBound.Milliseconds()), ConfigurationBound: int(configurationBound.Milliseconds()),
		Cores: 1, RetryRatio: 0.2, RetryWindow: 10, RetrySlack: 60, QuotaWindow: 8, QuotaOverage: 0.1, BarredAfter: 3, FirstStart: true,
	}
	for seed := range nodeCount {
		settings.Seeds = append(settings.Seeds, at(block, seed+1, operatorsPort))
	}
	log := io.Discard
	if options.LogFolder != "" {
		file, err := os.Create(fmt.Sprintf("%s/seed-%d-%s.log", options.LogFolder, options.Seed, settings.Name))
		if err != nil {
			return err
		}
		log = file
	}
	started, err := newProcess(options.Daemon, folder, settings, log)
	if err != nil {
		return err
	}
	d.processes = append(d.processes, started)
	return nil
}

// configure writes a new version of the configuration with one more route.
func (d *deployment) configure(extra string) {
	d.version++
	route := func(name, kind, service string, priority, attempts int, resumable bool) entrylab.Route {
		return entrylab.Route{
			Name: name, Host: callersHost, PathPrefix: "/" + name + "/", Kind: kind, Timeout: 3000, Target: 600, TargetGap: 400,
			Service: service, Priority: priority, Attempts: attempts, Resumable: resumable,
		}
	}
	routes := []entrylab.Route{
		route("once", "unsafe", "registry", 1, 1, false), route("status", "safe", "registry", 2, 2, false),
		route("report", "streaming", "engines", 0, 1, false), route("chat", "streaming", "engines", 2, 2, true),
		route(extra, "safe", "registry", 2, 2, false),
	}
	for i := range d.added {
		routes = append(routes, route(fmt.Sprintf("added-%x", uint32(i)*addedFactor), "safe", "registry", 2, 2, false))
	}
	entrylab.Configuration{
		Version:  d.version,
		Routes:   routes,
		Services: []entrylab.Service{{Name: "registry"}, {Name: "engines"}},
		Tenants:  []entrylab.Tenant{{Name: "office", Keys: []string{callersKey}, Unit: "tokens", PlainTokens: 10, Rate: 100000, Burst: 100000}},
	}.Write(d.store)
}

// close ends everything that was started.
func (d *deployment) close() {
	for _, running := range d.processes {
		running.close()
	}
	// A process that is being started holds copies of all open sockets until it
	// runs its program; no address would be free as long as that lasts.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for _, between := range append(append([]*proxy{}, d.storeProxies...), d.proxies...) {
		between.close()
	}
	for _, listener := range d.listeners {
		_ = listener.Close()
	}
	if d.server != nil {
		_ = d.server.Close()
	}
}
