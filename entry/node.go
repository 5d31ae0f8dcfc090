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
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/coordination/replicahealth"
	"github.com/thornwalk/thornwalk/coordination/staleness"
	"github.com/thornwalk/thornwalk/coordination/zones"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/evacuations"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/network"
	"github.com/thornwalk/thornwalk/transport/peer"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// Dependencies are the outside of a node.
type Dependencies struct {
	Network   network.Network
	Datagrams network.Datagrams
	Directory outside.Directory
	// Revisions tells cheaply how far the directory's history goes; nil means that only Directory
	// does.
	Revisions outside.Revisions
	// Rollouts keeps the progress of roll-outs; nil means that there are none.
	Rollouts outside.Rollouts
	// PoisonRecords keeps what is known of barred requests; nil means that it ends with the nodes.
	PoisonRecords outside.Contents
	Headers       outside.HeaderNames
	// ParsePushback returns what the head of a replica's answer says to hold requests back, and an
	// error that names each part that can't be read.
	ParsePushback func(status int, header http.Header) (pushback.Signals, error)
	// ReadyPath is what the balancer asks.
	ReadyPath string
	Log       *eventlog.Log
	// Incarnation differs for each start of the process.
	Incarnation uint64
	// Now is time that goes on while the machine is suspended; nil means the steady clock.
	Now func() time.Duration
	// Sleep returns how late it returned after so much time; nil means the timer's own.
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
	settings atomic.Pointer[Settings]
	deps     Dependencies
	log      *eventlog.Log
	// startedAt is what the clock told at the start.
	startedAt     time.Duration
	metrics       metrics.Registry
	pool          *replicahttp.Pool
	peers         *peer.Client
	scheduling    *schedulingService
	heartbeatConn network.DatagramSocket
	peerListener  net.Listener
	ctx           context.Context
	cancel        context.CancelFunc
	group         sync.WaitGroup
	servers       []*http.Server
	// callers is the one of the servers that callers come to.
	callerServer *http.Server
	sequence     atomic.Uint64
	// newsSending returns the bytes of news that are being sent.
	sendingBytes func() int64

	catalog atomic.Pointer[catalog.Catalog]
	// offers is held while a version is taken into force.
	catalogMutex sync.Mutex
	// library has the parts of the version in force, which others are sent through
	// senders, and holders who was sent all of them.
	parts         *dissemination.PartStore
	sendLimiter   dissemination.SendLimiter
	sources       dissemination.Sources
	newerVersions staleness.NewerVersions
	// isConfigurationLarge is true once the store's configuration was found to take long on this link.
	isConfigurationLarge atomic.Bool

	stopping atomic.Int64
	inFlight atomic.Int64
	// calls has the requests of callers in progress.
	calls activeCalls

	// mutex guards what follows.
	mutex       sync.Mutex
	table       *replicas.Table
	evacuations *evacuations.Table
	rollouts    *rollouts.Table
	// policies says which versions get new requests, of services where not all do.
	policies      map[string]rollouts.VersionPolicy
	members       *liveness.Table
	relays        *liveness.Relays
	incomingPeers incomingPeerList
	discovered    discoveredPeers
	health        *replicahealth.Tracker
	// pushback is what replicas said to this node to hold requests back.
	pushback    *pushback.Tracker
	zones       *zones.Tracker
	assignments map[string]assignment
	term        uint64
	role
	// selectedAt is the instant of the latest choice of the scheduling node, and isSelectionPending is
	// true if another one is about to follow.
	selectedAt structs.Instant
	// roleAt is when this node's role or the scheduling node changed last.
	roleAt             structs.Instant
	isSelectionPending bool
	// slowness tells whether this node is too slow to schedule.
	slowness liveness.SlowNodeDetector
	// readCalls is how many calls the latest complete read took.
	readCalls int
	// triedAt is when this node last called the store, and peersRequestedAt when it last asked for names
	// of others.
	storeCalledAt, peersRequestedAt structs.Instant
	// lastContactAt is when any other node was heard of.
	lastContactAt structs.Instant
	storeFailedAt structs.Instant
	// watchHealthy is true while this node follows the store without trouble, which it
	// has done since steadyAt.
	watchHealthy      bool
	watchHealthySince structs.Instant
	storeDown         bool
	// readLimit bounds the next complete read of the store, and endWatch ends the watch
	// that waits now.
	nextReadTimeout time.Duration
	cancelWatch     context.CancelFunc
	// isWatchOver is true if the watch was ended for a complete read.
	isRereadRequested bool
	updatedAt         structs.Instant
	// catalogRevision is the place of the configuration that was decoded last.
	catalogRevision structs.StorePosition
	// era is what is known of the store's present era.
	era era
	// fresh is of the replicas, and freshConfiguration of the configuration.
	fresh, freshConfiguration staleness.Freshness
	unackedFinishes           []unackedFinish
	replicaPull               staleness.PullTracker[structs.StorePosition]
	versionPull, poisonPull   staleness.PullTracker[int64]
	// problems are the entries of the store and the parts of answers that did not parse and were
	// told of.
	loggedProblems map[string]bool
	// disconnects are requests that replicas broke off which may have ended under them.
	disconnects []unresolvedDisconnect
	// resumedAt is when a pause of the process was last noticed.
	resumedAt structs.Instant
	// poisonStored is what the store is known to hold of barred requests.
	poisonStored storedPoisonRecords
	// bucketLevels is what was last told of the tenants' buckets by another node that schedules, and
	// bucketLevelsAt when. Until bucketLevelsUntil, when it would have told again, it may have handed out
	// from them. lastActiveAt is when this node itself last scheduled.
	bucketLevels map[string]float64
	// peerUsage is what other nodes that schedule, or did, told of what they handed out, by name.
	peerUsage                                       map[string]receivedUsage
	bucketLevelsAt, bucketLevelsUntil, lastActiveAt structs.Instant
}

// New returns a node that does not run yet.
func New(settings *Settings, depend Dependencies) *Node {
	n := &Node{
		deps: depend, log: depend.Log, metrics: metrics.NewRegistry(),
		pool: replicahttp.NewPool(depend.Network), peers: peer.NewClient(depend.Network, nil),
		table: replicas.NewTable(), evacuations: evacuations.NewTable(), rollouts: rollouts.NewTable(), members: liveness.NewTable(settings.Name), relays: liveness.NewRelays(rand.IntN), health: replicahealth.NewTracker(), pushback: pushback.NewTracker(), zones: zones.NewTracker(),
		assignments: map[string]assignment{}, peerUsage: map[string]receivedUsage{}, loggedProblems: map[string]bool{}, term: 1, storeFailedAt: -time.Hour, lastActiveAt: -time.Hour, selectedAt: -time.Hour, peersRequestedAt: -time.Hour,
		parts: dissemination.NewPartStore(), sendLimiter: dissemination.NewSendLimiter(settings.LinkMbps),
	}
	if n.deps.Now == nil {
		started := time.Now()
		n.deps.Now = func() time.Duration { return time.Since(started) }
	}
	n.startedAt = n.deps.Now()
	n.settings.Store(settings)
	n.peers.OnSilence(func(address string) { go n.handleSilentLink(address) })
	n.scheduling = newSchedulingService(n.now, settings.retryPolicy(1), settings.FirstStart)
	n.scheduling.rolloutPolicy = settings.rolloutPolicy()
	n.scheduling.setRegions(settings.Regions)
	n.scheduling.setContentPolicy(settings.poisonPolicy())
	n.scheduling.onPoisonTransition = n.logPoisonTransition
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// now is the time since the node started. It goes on while the machine is suspended, unlike
// timers and time.Since: everything that ages goes by it.
func (n *Node) now() structs.Instant { return n.deps.Now() - n.startedAt }

// process names this process to schedulers.
func (n *Node) process() string { return processName(n.settings.Load().Name, n.deps.Incarnation) }

func processName(name string, incarnation uint64) string {
	return name + "/" + strconv.FormatUint(incarnation, 36)
}

// memoryShare is the part of the memory limit at which the collector works harder.
const memoryLimitShare = 0.6

// Start listens and runs the node.
func (n *Node) Start() error {
	settings := n.settings.Load()
	if settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryLimitMB) * memoryLimitShare * (1 << 20)))
	}
	peerAddress := net.JoinHostPort(settings.Host, strconv.Itoa(settings.PeerPort))
	if err := n.listenPeers(peerAddress); err != nil {
		return err
	}
	listeners := []struct {
		address string
		handler http.Handler
	}{{settings.Callers, n}, {settings.Readiness, n.readinessHandler()}, {settings.Operators, n.operatorsHandler()}}
	for _, listener := range listeners {
		if err := n.listenHTTP(listener.address, listener.handler); err != nil {
			return err
		}
	}
	n.callerServer = n.servers[0]
	for _, loop := range []func(){n.watchLoop, n.readLoop, n.heartbeatLoop, n.receiveHeartbeats, n.zoneLoop, n.housekeeping, n.rolloutLoop, n.poisonSyncLoop, n.slowNodeLoop} {
		n.group.Go(loop)
	}
	n.log.Write(eventlog.Event{Kind: "process.start", Detail: peerAddress})
	return nil
}

func (n *Node) listenPeers(address string) error {
	listener, err := n.deps.Network.Listen(address)
	if err != nil {
		return fmt.Errorf("listen for peers at %s: %w", address, err)
	}
	if n.heartbeatConn, err = n.deps.Datagrams.ListenDatagrams(address); err != nil {
		return fmt.Errorf("listen for heartbeats at %s: %w", address, err)
	}
	server := peer.NewServer(nil)
	server.OnReplaced(func() { n.closeIdle("a peer replaced its connection") })
	peer.Handle(server, peerwire.KindPlace, func(ctx context.Context, request *assignRequest) (*assignReply, error) {
		return n.scheduling.assign(ctx, request), nil
	})
	peer.Handle(server, peerwire.KindFinish, func(_ context.Context, request *finishRequest) (*finishReply, error) {
		n.scheduling.finish(request)
		return &finishReply{}, nil
	})
	peer.Handle(server, peerwire.KindBegun, func(_ context.Context, request *firstEventRequest) (*firstEventReply, error) {
		n.scheduling.recordFirstEvent(request)
		return &firstEventReply{}, nil
	})
	peer.Handle(server, peerwire.KindNews, n.serveUpdates)
	peer.Handle(server, peerwire.KindContents, n.servePoisonRecords)
	peer.Handle(server, peerwire.KindConfigurationParts, n.serveParts)
	n.registerMemoryMetrics(server)
	n.peerListener = listener
	go server.Serve(n.ctx, listener)
	return nil
}

// Time-outs and bounds of the HTTP servers. Callers keep within the limits of
// the configuration; these are wide enough for any of them.
const (
	headerTimeout  = 4 * time.Second
	idleTimeout    = 40 * time.Second
	maxHeaderBytes = 16 << 10
)

func (n *Node) listenHTTP(address string, handler http.Handler) error {
	listener, err := n.deps.Network.Listen(address)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	n.servers = append(n.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Reload takes changed settings into force; addresses stay until a restart.
func (n *Node) Reload(settings *Settings) {
	n.settings.Store(settings)
	n.scheduling.setContentPolicy(settings.poisonPolicy())
	n.scheduling.setRegions(settings.Regions)
	n.log.Write(eventlog.Event{Kind: "process.reload", Outcome: "in-force"})
}

// Ready returns whether the balancer should send requests.
func (n *Node) Ready() bool {
	if n.stopping.Load() != 0 || n.catalog.Load() == nil || n.now() < readinessDelay || n.isConfigurationStale() {
		return false
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.table.Count() > 0
}

// readinessDelay is how long a new process listens to heartbeats before it is ready.
const readinessDelay = 400 * time.Millisecond

func (n *Node) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.deps.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (n *Node) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, n.metrics)
}

// sampleSize is the number of observations that a histogram keeps, and
// sampleDecay how strongly it prefers the latest.
const (
	histogramSampleSize = 256
	histogramDecay      = 0.015
)

// observe enters a duration into the histogram with the name, in milliseconds.
func (n *Node) recordDuration(name string, duration time.Duration) {
	histogram := n.metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSampleSize, histogramDecay))
	}).(metrics.Histogram)
	histogram.Update(duration.Milliseconds())
}

// housekeepingInterval is the time between sweeps.
const housekeepingInterval = 500 * time.Millisecond

// housekeeping sweeps connections, doubted replicas and messages that did not arrive,
// and tells of much memory in use.
func (n *Node) housekeeping() {
	last := n.now()
	for n.sleep(housekeepingInterval) {
		last = n.detectSuspension(last, housekeepingInterval)
		n.pool.Sweep()
		n.endRestoreWindow()
		n.removeUnconfirmed()
		n.dropVersionsOfDeadPeers()
		n.resendFinishes()
		n.releaseDeadNodes()
		n.scheduling.expirePoison()
		n.logSendingMemory()
	}
}

// sleep waits, and returns false if the node ended meanwhile.
func (n *Node) sleep(duration time.Duration) bool {
	select {
	case <-n.ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
