package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/thornwalk/thornwalk/coordination/dissemination"
	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/coordination/reachability"
	"github.com/thornwalk/thornwalk/coordination/replicahealth"
	"github.com/thornwalk/thornwalk/coordination/staleness"
	"github.com/thornwalk/thornwalk/coordination/stops"
	"github.com/thornwalk/thornwalk/coordination/zones"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/evacuations"
	"github.com/thornwalk/thornwalk/state/memorybudget"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/state/streamorigins"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/keptconn"
	"github.com/thornwalk/thornwalk/transport/network"
	"github.com/thornwalk/thornwalk/transport/peer"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// Dependencies are what a node needs from outside.
type Dependencies struct {
	Network   network.Network
	Datagrams network.Datagrams
	Directory outside.Directory
	// Revisions reads the directory's latest revision in one cheap call; nil if that is not
	// possible.
	Revisions outside.Revisions
	// Rollouts stores the progress of roll-outs; nil means that it is not stored.
	Rollouts outside.Rollouts
	// PoisonRecords stores the records of poison requests; nil means that they are lost with the nodes.
	PoisonRecords outside.PoisonRecordStore
	// StreamOrigins stores the origins of streams; nil means that they are lost with the nodes.
	StreamOrigins outside.StreamOriginStore
	Headers       outside.HeaderNames
	// ParsePushback parses the pushback signals in the head of a replica's response. Its error
	// names each part that can't be parsed; the signals of the other parts are still returned.
	ParsePushback func(status int, header http.Header) (pushback.Signals, error)
	// ReportPath is the path of the report of a replica on itself, and ParseReport returns the start that the answer with
	// the status and the body states, in Unix milliseconds. It is nil if replicas give no reports.
	ReportPath  string
	ParseReport func(status int, body []byte) (startedAt int64, err error)
	// ReadyPath is the path of the balancer's readiness check.
	ReadyPath string
	Log       *eventlog.Log
	// Incarnation differs for each start of the process.
	Incarnation uint64
	// Now returns a time that advances while the machine is suspended; nil means the monotonic clock.
	Now func() time.Duration
	// Sleep sleeps for the duration and returns how late it returned; nil means a timer.
	Sleep func(time.Duration) time.Duration
}

// assignment is a request in progress at a replica.
type assignment struct {
	replica   string
	scheduler string
	term      uint64
}

// Node is one entry node.
type Node struct {
	settings     atomic.Pointer[Settings]
	dependencies Dependencies
	log          *eventlog.Log
	// startedAt is what Now returned at the start.
	startedAt     time.Duration
	metrics       metrics.Registry
	pool          *replicahttp.Pool
	peers         *peer.Client
	scheduling    *schedulingService
	heartbeatConn network.DatagramSocket
	peerListener  net.Listener
	ctx           context.Context
	cancel        context.CancelFunc
	loops         sync.WaitGroup
	servers       []*keptconn.Server
	// callerServer is the one of the servers that callers use.
	callerServer *keptconn.Server
	sequence     atomic.Uint64
	// sendingBytes returns the bytes of updates and configuration parts being sent to peers.
	sendingBytes func() int64

	catalog atomic.Pointer[catalog.Catalog]
	// catalogMutex is held while a version is activated.
	catalogMutex sync.Mutex
	// streamLifetimes has a mutex of its own, as requests state their time before any other work.
	streamLifetimes streamLifetimes
	// parts holds the parts of the active version. sendLimiter limits their sending, and sources
	// are the nodes that were sent all of them.
	parts         *dissemination.PartStore
	sendLimiter   dissemination.SendLimiter
	sources       dissemination.Sources
	newerVersions staleness.NewerVersions
	// isConfigurationLarge is true once a read found that the configuration exceeds maxReadBytes.
	isConfigurationLarge atomic.Bool

	// callerConnections limits the connections of callers.
	callerConnections *callerConnections
	// memory bounds what requests and answers hold together.
	memory *memorybudget.Budget

	// stoppingSince is when the planned stop began, zero before, and stopGrace the time that it may take.
	stoppingSince, stopGrace atomic.Int64
	isStopBegun              atomic.Bool
	stopEnded                chan struct{}
	inFlight                 atomic.Int64
	// forwarded counts the connections that this node forwards for peers.
	forwarded atomic.Int64
	// isPathSilent is true if the last failed connect to a replica timed out.
	isPathSilent atomic.Bool
	// exchanges are the exchanges with replicas in progress.
	exchanges *exchanges
	// calls holds the callers' requests in progress.
	calls activeCalls
	// times observes how long requests take, and waits holds the requests that wait.
	times stops.Times
	waits waits
	// silences holds the requests whose replica is silent.
	silences silences

	// mutex guards all fields below.
	mutex       sync.Mutex
	table       *replicas.Table
	evacuations *evacuations.Table
	rollouts    *rollouts.Table
	// policies states which versions get new requests, for services where not all do.
	policies map[string]rollouts.VersionPolicy
	members  *liveness.Table
	// failedScheduler is kept to tell a node that was missed for a short time from one that failed.
	failedScheduler failedScheduler
	relays          *liveness.Relays
	// heartbeatRounds counts the heartbeats to the recipients of all zones.
	heartbeatRounds uint64
	incomingPeers   incomingPeerList
	discovered      discoveredPeers
	health          *replicahealth.Tracker
	// paths tracks which replicas this node reaches.
	paths           *reachability.Tracker
	namedForwarders namedForwarders
	// pushback holds what replicas reported to this node to limit requests.
	pushback    *pushback.Tracker
	zones       *zones.Tracker
	assignments map[string]assignment
	term        uint64
	role
	// selectedAt is when the scheduling node was last selected, and isSelectionPending is true if
	// another selection is about to follow.
	selectedAt structs.Instant
	// roleAt is when this node's role or the scheduling node last changed.
	roleAt             structs.Instant
	isSelectionPending bool
	// slowness detects whether this node is too slow to schedule.
	slowness liveness.SlowNodeDetector
	// readCalls is the number of calls to the store in the latest complete read.
	readCalls int
	// storeCalledAt is when this node last called the store, and peersRequestedAt when it last
	// requested a peer list.
	storeCalledAt, peersRequestedAt structs.Instant
	// lastContactAt is when a heartbeat of any other node was last received, or a read of the store
	// ended.
	lastContactAt structs.Instant
	// storeFailedAt is when a call to the store last failed, the store recovered, the process resumed
	// or a new era began. isStoreDown is true from a failed call to the next that succeeds.
	storeFailedAt structs.Instant
	// watchHealthy is true while this node watches the store without failures, and
	// watchHealthySince is when that began.
	watchHealthy      bool
	watchHealthySince structs.Instant
	isStoreDown       bool
	// nextReadTimeout bounds the next complete read of the store, and rereads holds the requests for
	// one.
	nextReadTimeout time.Duration
	rereads         rereads
	// updatedAt is when an update of the store was last applied.
	updatedAt structs.Instant
	// catalogPosition is the store position of the latest decoded configuration.
	catalogPosition structs.StorePosition
	// era is the known era of the store.
	era era
	// replicaFreshness and configurationFreshness track the age of the replicas and configuration.
	replicaFreshness, configurationFreshness staleness.Freshness
	unackedFinishes                          []unackedFinish
	replicaPull                              staleness.PullTracker[structs.StorePosition]
	versionPull, poisonPull                  staleness.PullTracker[int64]
	// loggedProblems are the store entries and parts of responses that failed to parse and were
	// logged.
	loggedProblems map[string]bool
	// disconnects are requests during which the replica disconnected and may have crashed.
	disconnects []unresolvedDisconnect
	// resumedAt is when a suspension of the process was last detected.
	resumedAt structs.Instant
	// streamOrigins has the origins of streams that this node relayed or keeps, and versionHistory the versions
	// that services have had.
	streamOrigins *streamorigins.Registry
	originArchive originArchive
	// attendedSince is since when at least one node has run without a break, as far as this one knows. It may be before the
	// start of this process.
	attendedSince  structs.Instant
	versionHistory *streamorigins.VersionHistory
	routingHistory streamorigins.RoutingHistory
	// identities decides which connections lead to the incarnations of the known entries.
	identities *replicaIdentities
	// unresolvedOrigins are the origins of streams that are not certain yet.
	unresolvedOrigins unresolvedOrigins
	// poisonStored is what the store is known to hold of poison records.
	poisonStored storedPoisonRecords
	// bucketLevels are the tenants' bucket levels that another scheduling node last reported.
	bucketLevels map[string]float64
	// peerUsage is the quota usage that current and former scheduling nodes reported, by name.
	peerUsage map[string]receivedUsage
	// bucketLevelsAt is when bucketLevels were reported. The reporting node may have granted from
	// them until bucketLevelsUntil, when its next report was due. lastActiveAt is when this node was
	// last the active scheduler.
	bucketLevelsAt, bucketLevelsUntil, lastActiveAt structs.Instant
}

// New returns a node that is not started.
func New(settings *Settings, dependencies Dependencies) *Node {
	n := &Node{
		dependencies: dependencies, log: dependencies.Log, metrics: metrics.NewRegistry(),
		pool: replicahttp.NewPool(), peers: peer.NewClient(dependencies.Network, nil),
		table: replicas.NewTable(), evacuations: evacuations.NewTable(), rollouts: rollouts.NewTable(), members: liveness.NewTable(settings.Name), relays: liveness.NewRelays(rand.IntN), health: replicahealth.NewTracker(), paths: reachability.NewTracker(rand.Float64), pushback: pushback.NewTracker(), zones: zones.NewTracker(),
		assignments: map[string]assignment{}, peerUsage: map[string]receivedUsage{}, loggedProblems: map[string]bool{}, term: 1, storeFailedAt: -time.Hour, lastActiveAt: -time.Hour, selectedAt: -time.Hour, peersRequestedAt: -time.Hour,
		streamOrigins: streamorigins.NewRegistry(maxStreamOrigins), versionHistory: streamorigins.NewVersionHistory(), identities: newReplicaIdentities(), unresolvedOrigins: newUnresolvedOrigins(),
		memory: memorybudget.New(settings.bufferBytes()), callerConnections: newCallerConnections(settings.maxConnections()),
		stopEnded: make(chan struct{}),
		parts:     dissemination.NewPartStore(), sendLimiter: dissemination.NewSendLimiter(settings.LinkMbps),
	}
	if n.dependencies.Now == nil {
		started := time.Now()
		n.dependencies.Now = func() time.Duration { return time.Since(started) }
	}
	n.startedAt = n.dependencies.Now()
	n.settings.Store(settings)
	n.peers.OnSilence(func(address string) { go n.handleSilentConnection(address) })
	n.exchanges = newExchanges(n.now)
	n.scheduling = newSchedulingService(n.now, settings.retryPolicy(1), settings.FirstStart)
	n.scheduling.rolloutPolicy = settings.rolloutPolicy()
	n.scheduling.setRegions(settings.Regions)
	n.scheduling.setPolicy(settings.schedulingPolicy())
	n.scheduling.setPoisonPolicy(settings.poisonPolicy())
	n.scheduling.onPoisonTransition = n.logPoisonTransition
	n.scheduling.onReturn = n.countReturn
	n.scheduling.onInvalidWeight = func() { n.counter("weights.invalid").Inc(1) }
	n.pool.OnEarlyEnd(func(incarnation replicahttp.Incarnation) {
		n.recordDoubt(incarnations.Incarnation(incarnation))
	})
	n.registerTenantMetrics()
	n.registerRereadMetrics()
	n.registerPathMetrics()
	n.registerForwardMetrics()
	n.registerStreamMetrics()
	n.registerIdentityMetrics()
	n.registerSilenceMetrics()
	n.registerHeldMemoryMetrics()
	n.registerCallerConnectionMetrics()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// now returns the time since the node started, which advances while the machine is suspended,
// unlike timers and time.Since. All ages are measured with it.
func (n *Node) now() structs.Instant { return n.dependencies.Now() - n.startedAt }

// process returns the name under which schedulers know this process.
func (n *Node) process() string {
	return processName(n.settings.Load().Name, n.dependencies.Incarnation)
}

// processName returns the name of a process of the node.
func processName(name string, incarnation uint64) string {
	return name + "/" + strconv.FormatUint(incarnation, 36)
}

// memoryLimitShare is the share of the process's memory limit that the garbage collector targets.
const memoryLimitShare = 0.6

// Start opens the listeners and starts the node's loops. After an error the node can't be used.
func (n *Node) Start() error {
	settings := n.settings.Load()
	if settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryLimitMB) * memoryLimitShare * (1 << 20)))
	}
	peerAddress := net.JoinHostPort(settings.Host, strconv.Itoa(settings.PeerPort))
	if err := n.listenPeers(settings, peerAddress); err != nil {
		return err
	}
	listeners := []struct {
		address string
		handler http.Handler
		track   *callerConnections
	}{{settings.Callers, n, n.callerConnections}, {settings.Readiness, n.readinessHandler(), nil}, {settings.Operators, n.operatorsHandler(), nil}}
	for _, listener := range listeners {
		if err := n.listenHTTP(listener.address, listener.handler, listener.track); err != nil {
			return err
		}
	}
	n.callerServer = n.servers[0]
	for _, loop := range []func(){n.watchLoop, n.readLoop, n.heartbeatLoop, n.receiveHeartbeats, n.zoneLoop, n.pathLoop, n.housekeeping, n.rolloutLoop, n.poisonSyncLoop, n.originArchiveLoop, n.slowNodeLoop} {
		n.loops.Go(loop)
	}
	n.log.Write(eventlog.Event{Kind: "process.start", Detail: peerAddress})
	return nil
}

func (n *Node) listenPeers(settings *Settings, address string) error {
	listener, err := n.dependencies.Network.Listen(address)
	if err != nil {
		return fmt.Errorf("listen for peers at %s: %w", address, err)
	}
	if n.heartbeatConn, err = n.dependencies.Datagrams.ListenDatagrams(address); err != nil {
		return fmt.Errorf("listen for heartbeats at %s: %w", address, err)
	}
	server := peer.NewServer(nil)
	server.LimitReceived(settings.receivedFrameBytes())
	server.OnReplaced(func() { n.closeIdle("a peer replaced its connection") })
	peer.Handle(server, peerwire.KindAssign, n.serveAssign)
	peer.Handle(server, peerwire.KindFinish, n.serveFinish)
	peer.Handle(server, peerwire.KindFirstEvent, func(_ context.Context, request *firstEventRequest) (*firstEventReply, error) {
		n.scheduling.recordFirstEvent(request)
		return &firstEventReply{}, nil
	})
	peer.Handle(server, peerwire.KindUpdates, n.serveUpdates)
	peer.Handle(server, peerwire.KindPoisonRecords, n.servePoisonRecords)
	peer.Handle(server, peerwire.KindConfigurationParts, n.serveParts)
	peer.Handle(server, peerwire.KindTenantReport, n.serveTenantReport)
	peer.HandleStream(server, peerwire.KindForward, n.serveForward)
	peer.Handle(server, peerwire.KindForwarders, n.serveForwarders)
	peer.Handle(server, peerwire.KindStreamOrigins, n.serveStreamOrigins)
	peer.Handle(server, peerwire.KindStreamOrigin, n.serveStreamOrigin)
	n.registerMemoryMetrics(server)
	n.peerListener = listener
	go server.Serve(n.ctx, listener)
	return nil
}

// Limits of the HTTP servers. They are wider than any limit of the configuration.
const (
	headerTimeout  = 4 * time.Second
	idleTimeout    = 40 * time.Second
	maxHeaderBytes = 16 << 10
)

func (n *Node) listenHTTP(address string, handler http.Handler, track *callerConnections) error {
	listener, err := n.dependencies.Network.Listen(address)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", address, err)
	}
	inner := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	if track != nil {
		inner.ConnContext, inner.ConnState = track.add, track.observe
	}
	server := keptconn.NewServer(inner)
	n.servers = append(n.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Reload activates changed settings. The name and the addresses do not change until a restart.
func (n *Node) Reload(settings *Settings) {
	kept := settings.withIdentityOf(n.settings.Load())
	detail := ""
	if *kept.identity() != *settings.identity() {
		detail = "name and addresses change at the next start"
	}
	settings = kept
	n.settings.Store(settings)
	n.memory.SetLimit(settings.bufferBytes())
	n.scheduling.setPoisonPolicy(settings.poisonPolicy())
	n.scheduling.setRegions(settings.Regions)
	n.scheduling.setPolicy(settings.schedulingPolicy())
	n.log.Write(eventlog.Event{Kind: "process.reload", Outcome: "in-force", Detail: detail})
}

// Ready reports whether the balancer should send requests to this node.
func (n *Node) Ready() bool {
	if n.stoppingSince.Load() != 0 || n.catalog.Load() == nil || n.now() < readinessDelay || n.isConfigurationStale() {
		return false
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.table.Count() > 0
}

// readinessDelay is how long a new process receives heartbeats before it is ready.
const readinessDelay = 400 * time.Millisecond

func (n *Node) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.dependencies.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// counter returns the counter with the name.
func (n *Node) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, n.metrics)
}

// registerGauges registers gauges by name, whose values are read with the mutex held.
func (n *Node) registerGauges(values map[string]func() int64) {
	for name, value := range values {
		// Registration fails only for a name in use, and a node registers once.
		_ = n.metrics.Register(name, metrics.NewFunctionalGauge(func() int64 {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			return value()
		}))
	}
}

// histogramSampleSize is the number of observations that a histogram keeps, and
// histogramDecay how strongly it prefers recent ones.
const (
	histogramSampleSize = 256
	histogramDecay      = 0.015
)

// recordDuration adds a duration to the histogram with the name, in milliseconds.
func (n *Node) recordDuration(name string, duration time.Duration) {
	histogram := n.metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSampleSize, histogramDecay))
	}).(metrics.Histogram)
	histogram.Update(duration.Milliseconds())
}

// housekeepingInterval is the time between two runs of housekeeping.
const housekeepingInterval = 500 * time.Millisecond

// housekeeping runs the periodic cleanup of connections, replicas, versions, undelivered messages
// and poison records until the node ends.
func (n *Node) housekeeping() {
	last := n.now()
	for n.sleep(housekeepingInterval) {
		last = n.detectSuspension(last, housekeepingInterval)
		n.pool.Sweep()
		n.forgetEndingForwarders()
		n.endRestoreWindow()
		n.removeUnconfirmed()
		n.dropVersionsOfDeadPeers()
		n.resendFinishes()
		n.releaseDeadNodes()
		n.scheduling.expirePoison()
		n.confirmVersionHistory()
		n.resolveOrigins()
		n.logSendingMemory()
	}
}

// sleep waits for the duration. It returns false if the node ended meanwhile.
func (n *Node) sleep(duration time.Duration) bool {
	select {
	case <-n.ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
