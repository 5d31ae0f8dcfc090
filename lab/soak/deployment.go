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
	callersPort         = 8221
	readinessPort       = 8224
	operatorsPort       = 8229
	peerPort            = 7600
	storePort           = 8225
	firstStoreProxyPort = 8300
	replicaPort         = 8080
	replicaProxyPort    = 8081
)

// nodeCount is the number of daemons. The engines stream engineEvents events per answer; the
// registry gives plain answers.
const (
	nodeCount           = 3
	engineCount         = 3
	engineSlots         = 6
	engineEvents        = 8
	engineStep          = 20 * time.Millisecond
	registryCount       = 3
	registrySlots       = 6
	registryStep        = 15 * time.Millisecond
	stopGrace           = 4 * time.Second
	storeRecoveryWindow = 1500 * time.Millisecond
	// configurationBound is the nodes' bound on the time until a configuration change is active.
	configurationBound = 2 * time.Second
	// routeNameMultiplier scatters the names of added routes, so that they compress no better than
	// those of a real configuration.
	routeNameMultiplier = 2654435761
	freshRouteName      = "fresh"
	staleRouteName      = "stale"
)

// Quotas that hold for all nodes together. With Options.Bounds the tenant sends more than
// quotaRate; otherwise its rate is unreachableRate.
const (
	tokensPerRequest      = 10
	quotaRate, quotaBurst = 300, 300
	unreachableRate       = 100_000
	quotaOverage          = 0.1
	quotaSlack            = 200
	quotaWindow           = 8 * time.Second
)

// retryBound is the retry budget of all nodes together, as the nodes' settings have it.
var retryBound = checker.RetryBound{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

// deployment is the daemons with the stand-ins and the proxies in front of these.
type deployment struct {
	store            *platformsim.Store
	storeServer      *http.Server
	processes        []*process
	storeProxies     []*proxy
	replicas         []*platformsim.Replica
	replicaProxies   []*proxy
	replicaListeners []net.Listener
	version          int64
	// addedRoutes is the number of routes that receive no requests.
	addedRoutes int
	// rate is the tenant's quota in tokens per second, burst that in tokens.
	rate, burst float64
	// hasSurgeTenant is true if there is a second tenant with the same quota.
	hasSurgeTenant bool
	// relisted are the replicas whose entries are deleted between the backup of the store and its restore,
	// and are not written again. They serve relistedRoute only and are not among replicas.
	relisted []*platformsim.Replica
	// versioned are the replicas of versionedRoute. They are not among replicas.
	versioned []*platformsim.Replica
	// moved are the replicas of movedServices, and movedTo the number of the service to which their route leads.
	moved   []*platformsim.Replica
	movedTo int
	// held are the replicas that can be stopped, and heldConfiguration the state of their routes. They are not among
	// replicas.
	held              []*heldReplica
	heldConfiguration heldConfiguration
	// reincarnated are the replicas that start again in place. They are not among replicas.
	reincarnated []*reincarnatedReplica
	// stopping are the replicas of the routes of planned stops. They are not among replicas.
	stopping []*stopsReplica
	// mutex guards the last written configuration and the states of replicas that are not ready.
	mutex         sync.Mutex
	configuration entrylab.Configuration
	states        map[int]string
}

// registerReplica writes the replica's store entry with its last state.
func (d *deployment) registerReplica(number int) {
	d.mutex.Lock()
	state := cmp.Or(d.states[number], "ready")
	d.mutex.Unlock()
	d.replicas[number].Register(d.store, state)
}

// rewriteStore writes all entries that a restored store may have lost.
func (d *deployment) rewriteStore() {
	d.mutex.Lock()
	configuration := d.configuration
	d.mutex.Unlock()
	configuration.Write(d.store)
	for number := range d.replicas {
		d.registerReplica(number)
	}
	for _, replica := range append(append([]*platformsim.Replica{}, d.versioned...), d.moved...) {
		replica.Register(d.store, "ready")
	}
	d.registerHeld()
	for _, replica := range d.stopping {
		replica.Register(d.store, "ready")
	}
}

// nodeHost returns the number of the node's host. Those beyond firstNodes are behind the hosts of the store and of all
// replicas that such runs have.
func nodeHost(number int) int {
	const firstNodes, firstFurtherHost = 8, 100
	if number < firstNodes {
		return number + 1
	}
	return firstFurtherHost + number
}

// hostAddress returns the address of a port on the host with the number in the address block.
func hostAddress(block string, host, port int) string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d", block, host), fmt.Sprint(port))
}

// Numbers of hosts in the block of addresses.
const (
	storeHost        = 9
	firstReplicaHost = 20
	// firstRelistedHost is behind the hosts of the other replicas.
	firstRelistedHost = 40
	// firstVersionedHost is behind these.
	firstVersionedHost = 50
)

// startDeployment starts the store, the replicas and the nodes on loopback addresses of
// options.Block. The caller closes the deployment also when an error is returned.
func startDeployment(options *Options, folder string) (*deployment, error) {
	d := &deployment{store: platformsim.NewStore(), rate: unreachableRate, burst: unreachableRate, states: map[int]string{}, hasSurgeTenant: options.Tenants, heldConfiguration: heldConfiguration{timeout: maxHeldTimeout}}
	if options.Bounds {
		d.rate, d.burst = quotaRate, quotaBurst
	}
	_, ids := drawEventIDs(options.Seed)
	if err := d.startStore(options.Block); err != nil {
		return d, err
	}
	if options.Restore {
		if err := d.startRelisted(options.Block); err != nil {
			return d, err
		}
	}
	if options.Versions {
		if err := d.startVersioned(options.Block, ids); err != nil {
			return d, err
		}
	}
	if options.Moved {
		if err := d.startMoved(options.Block, ids); err != nil {
			return d, err
		}
	}
	if options.Silence {
		if err := d.startHeld(options); err != nil {
			return d, err
		}
	}
	if options.Replaced {
		if err := d.startReincarnated(options); err != nil {
			return d, err
		}
	}
	if options.Stops {
		if err := d.startStopping(options, ids); err != nil {
			return d, err
		}
	}
	d.writeConfiguration(staleRouteName)
	for number := range engineCount + registryCount {
		if err := d.startReplica(options.Block, number, ids); err != nil {
			return d, err
		}
	}
	for number := range options.nodes() {
		if err := d.startNode(options, folder, number); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) startStore(block string) error {
	listener, err := listen(hostAddress(block, storeHost, storePort))
	if err != nil {
		return err
	}
	d.storeServer = &http.Server{Handler: d.store}
	go func() { _ = d.storeServer.Serve(listener) }()
	return nil
}

func (d *deployment) startReplica(block string, number int, ids platformsim.EventIDs) error {
	replica := &platformsim.Replica{ID: fmt.Sprintf("i-%d", number), Zone: "east", Service: "engines", Slots: engineSlots, Events: engineEvents, Step: engineStep, EventIDs: ids, NamesRuns: true}
	replica.Incarnation = replica.ID
	if number >= engineCount {
		replica.Service, replica.Slots, replica.Events, replica.Step = "registry", registrySlots, 0, registryStep
	}
	listener, err := listen(hostAddress(block, firstReplicaHost+number, replicaPort))
	if err != nil {
		return err
	}
	d.replicaListeners = append(d.replicaListeners, listener)
	faultProxy, err := newProxy(hostAddress(block, firstReplicaHost+number, replicaProxyPort), listener.Addr().String())
	if err != nil {
		return err
	}
	replica.Address = faultProxy.address()
	go replica.Serve(listener)
	replica.Register(d.store, "ready")
	d.replicas, d.replicaProxies = append(d.replicas, replica), append(d.replicaProxies, faultProxy)
	return nil
}

func (d *deployment) startNode(options *Options, folder string, number int) error {
	block := options.Block
	faultProxy, err := newProxy(hostAddress(block, storeHost, firstStoreProxyPort+number), hostAddress(block, storeHost, storePort))
	if err != nil {
		return err
	}
	d.storeProxies = append(d.storeProxies, faultProxy)
	settings := nodeSettings(options, number, faultProxy.address())
	log := io.Discard
	if options.LogFolder != "" {
		file, err := os.Create(fmt.Sprintf("%s/seed-%d-%s.log", options.LogFolder, options.Seed, settings.Name))
		if err != nil {
			return err
		}
		log = file
	}
	daemon, alternate := options.Daemon, options.Previous
	if alternate != "" {
		daemon, alternate = alternate, daemon
	}
	started, err := newProcess(daemon, alternate, folder, settings, log)
	if err != nil {
		return err
	}
	d.processes = append(d.processes, started)
	return nil
}

// nodeSettings returns the settings of the node with the number, which reaches the store at the address.
func nodeSettings(options *Options, number int, store string) *entry.Settings {
	block, host := options.Block, nodeHost(number)
	settings := &entry.Settings{
		Name: nodeName(number), Zone: "east", Host: fmt.Sprintf("%s.%d", block, host), PeerPort: peerPort,
		Callers: hostAddress(block, host, callersPort), Readiness: hostAddress(block, host, readinessPort), Operators: hostAddress(block, host, operatorsPort),
		Store: store, StopGrace: int(options.grace().Milliseconds()), StoreRecoveryWindow: int(storeRecoveryWindow.Milliseconds()), ConfigurationBound: int(configurationBound.Milliseconds()),
		Cores: 1, RetryRatio: retryBound.Ratio, RetryWindow: retryBound.Window.Seconds(), RetrySlack: retryBound.Slack, QuotaWindow: quotaWindow.Seconds(), QuotaOverage: quotaOverage, QuotaSlack: quotaSlack, BlockedAfter: 3, FirstStart: true,
	}
	for seed := range nodeCount {
		settings.Seeds = append(settings.Seeds, hostAddress(block, seed+1, operatorsPort))
	}
	if options.Spoiled {
		settings.MemoryLimitMB = daemonMemoryMB
	}
	if options.Silence {
		settings.RetrySlack = heldRetrySlack
	}
	drawPolicies(options.Seed).apply(settings)
	return settings
}

// writeConfiguration writes a new version of the configuration with the extra route.
func (d *deployment) writeConfiguration(extraRoute string) {
	d.version++
	route := func(name, kind, service string, priority, attempts int, resumable bool) entrylab.Route {
		return entrylab.Route{
			Name: name, Host: routeHost, PathPrefix: "/" + name + "/", Kind: kind, Timeout: 3000, Target: 600, TargetGap: 400,
			Service: service, Priority: priority, Attempts: attempts, Resumable: resumable,
		}
	}
	routes := []entrylab.Route{
		route("once", "unsafe", "registry", 1, 1, false), route("status", "safe", "registry", 2, 2, false),
		route("report", "streaming", "engines", 0, 1, false), route("chat", "streaming", "engines", 2, 2, true),
		route(extraRoute, "safe", "registry", 2, 2, false),
	}
	for i := range d.addedRoutes {
		routes = append(routes, route(fmt.Sprintf("added-%x", uint32(i)*routeNameMultiplier), "safe", "registry", 2, 2, false))
	}
	configuration := entrylab.Configuration{
		Version:  d.version,
		Routes:   routes,
		Services: []entrylab.Service{{Name: "registry"}, {Name: "engines"}},
		Tenants:  []entrylab.Tenant{{Name: "office", Keys: []string{tenantKey}, Unit: "tokens", PlainTokens: tokensPerRequest, Rate: d.rate, Burst: d.burst}},
	}
	if len(d.relisted) > 0 {
		configuration.Routes = append(configuration.Routes, route(relistedRoute, "unsafe", relistedService, 1, 1, false))
		configuration.Services = append(configuration.Services, entrylab.Service{Name: relistedService})
	}
	if len(d.versioned) > 0 {
		configuration.Routes = append(configuration.Routes, route(versionedRoute, "streaming", versionedService, 1, 2, true))
		configuration.Services = append(configuration.Services, entrylab.Service{Name: versionedService})
	}
	if len(d.moved) > 0 {
		addMoved(&configuration, d.movedTo, route)
	}
	if len(d.held) > 0 {
		d.heldConfiguration.addTo(&configuration, route)
	}
	if len(d.reincarnated) > 0 {
		configuration.Routes = append(configuration.Routes, replacedRoutes(route)...)
		configuration.Services = append(configuration.Services, entrylab.Service{Name: replacedService})
	}
	if len(d.stopping) > 0 {
		configuration.Routes = append(configuration.Routes, stopsConfiguration(route)...)
		configuration.Services = append(configuration.Services, stopsServiceList()...)
	}
	if d.hasSurgeTenant {
		configuration.Tenants = append(configuration.Tenants, entrylab.Tenant{Name: "surge", Keys: []string{surgeTenantKey}, Unit: "tokens", PlainTokens: tokensPerRequest, Rate: d.rate, Burst: d.burst})
	}
	d.mutex.Lock()
	d.configuration = configuration
	d.mutex.Unlock()
	configuration.Write(d.store)
}

// nodeName returns the name of the node with the number.
func nodeName(number int) string { return fmt.Sprintf("n%d", number) }

// close stops the processes and closes the proxies and listeners.
func (d *deployment) close() {
	for _, p := range d.processes {
		p.close()
	}
	d.collectHeld()
	d.endReincarnated()
	// A forked process holds copies of all open sockets until exec, which would keep the
	// addresses in use.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for _, faultProxy := range append(append([]*proxy{}, d.storeProxies...), d.replicaProxies...) {
		faultProxy.close()
	}
	for _, replica := range d.stopping {
		replica.proxy.close()
	}
	for _, listener := range d.replicaListeners {
		_ = listener.Close()
	}
	if d.storeServer != nil {
		_ = d.storeServer.Close()
	}
}
