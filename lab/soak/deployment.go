package soak

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/checker"
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

// The bounds that operators set on all nodes together. A tenant of a run of bounds asks for twice
// its rate; other runs have a rate that nobody reaches.
const (
	plainTokens           = 10
	quotaRate, quotaBurst = 300, 300
	wideRate              = 100_000
	quotaOverage          = 0.1
	quotaSlack            = 200
	quotaWindow           = 8 * time.Second
)

var retryBound = checker.RetryBound{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

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
	// rate and burst are the tenant's quota in tokens.
	rate, burst float64
	// mutex guards what writers wrote last: the configuration and the states of replicas that
	// are not ready.
	mutex         sync.Mutex
	configuration entrylab.Configuration
	states        map[int]string
}

// register writes the replica's entry, as its state was told last.
func (d *deployment) register(number int) {
	d.mutex.Lock()
	state := cmp.Or(d.states[number], "ready")
	d.mutex.Unlock()
	d.replicas[number].Register(d.store, state)
}

// writeAgain writes what a store that came back from a copy may have lost.
func (d *deployment) writeAgain() {
	d.mutex.Lock()
	configuration := d.configuration
	d.mutex.Unlock()
	configuration.Write(d.store)
	for number := range d.replicas {
		d.register(number)
	}
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
	d := &deployment{store: platformsim.NewStore(), rate: wideRate, burst: wideRate, states: map[int]string{}}
	if options.Bounds {
		d.rate, d.burst = quotaRate, quotaBurst
	}
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
		Store: between.address(), StopGrace: int(stopGrace.Milliseconds()), StoreRecoveryWindow: int(contactBound.Milliseconds()), ConfigurationBound: int(configurationBound.Milliseconds()),
		Cores: 1, RetryRatio: retryBound.Ratio, RetryWindow: retryBound.Window.Seconds(), RetrySlack: retryBound.Slack, QuotaWindow: quotaWindow.Seconds(), QuotaOverage: quotaOverage, QuotaSlack: quotaSlack, BlockedAfter: 3, FirstStart: true,
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
	daemon, other := options.Daemon, options.Previous
	if other != "" {
		daemon, other = other, daemon
	}
	started, err := newProcess(daemon, other, folder, settings, log)
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
	configuration := entrylab.Configuration{
		Version:  d.version,
		Routes:   routes,
		Services: []entrylab.Service{{Name: "registry"}, {Name: "engines"}},
		Tenants:  []entrylab.Tenant{{Name: "office", Keys: []string{callersKey}, Unit: "tokens", PlainTokens: plainTokens, Rate: d.rate, Burst: d.burst}},
	}
	d.mutex.Lock()
	d.configuration = configuration
	d.mutex.Unlock()
	configuration.Write(d.store)
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
