package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/thornwalk/thornwalk/coordination/claims"
	"github.com/thornwalk/thornwalk/coordination/limits"
	"github.com/thornwalk/thornwalk/coordination/membership"
	"github.com/thornwalk/thornwalk/coordination/scheduler"
	"github.com/thornwalk/thornwalk/coordination/settingsync"
	"github.com/thornwalk/thornwalk/coordination/shedding"
	"github.com/thornwalk/thornwalk/internal/wait"
	"github.com/thornwalk/thornwalk/protocol/receipt"
	"github.com/thornwalk/thornwalk/state/answer"
	"github.com/thornwalk/thornwalk/state/gossip"
	"github.com/thornwalk/thornwalk/state/registry"
	"github.com/thornwalk/thornwalk/state/settings"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/backendhttp"
	"github.com/thornwalk/thornwalk/transport/peer"
)

// Bounds of what a node keeps beside the settings' bounds.
const (
	maxQueuedReports      = 4096
	maxQueuedSentPrefixes = 256
	maxDecisions          = 4096
	maxTickets            = 20000
)

// Node is one entry node.
type Node struct {
	config  Config
	deps    Dependencies
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	// pullingSettings is true while a peer is asked for its settings.
	pullingSettings   atomic.Bool
	sealer            *receipt.Sealer
	adapter           *backendhttp.Adapter
	peers             *peer.Client
	answers           *answer.Store
	claims            *claims.Committer
	settings          *settingsync.Current
	settingsCommitter settingsync.Committer
	metrics           metrics.Registry
	decisions         *decisionLog
	tickets           *ticketStore
	traffic           *trafficMeter

	callerListener, operatorListener, peerListener net.Listener

	sequence         atomic.Uint64
	draining         atomic.Bool
	rejecting        atomic.Bool
	joined           atomic.Bool
	loadKnown        atomic.Bool
	storeHealthy     atomic.Bool
	heartbeatTrigger chan struct{}

	// mutex guards the passive state machines below.
	mutex             sync.Mutex
	scheduler         *scheduler.Scheduler
	table             *membership.Table
	registry          *registry.Table
	floorOwner        *shedding.Owner
	floorMember       *shedding.Member
	limitOwner        *limits.Owner
	limitMember       *limits.Member
	executions        map[string]*execution
	reportQueue       *gossip.BroadcastQueue[structs.ReplicaID, timestampedDigest]
	zoneLastSeen      map[string]structs.Instant
	sentPrefixQueue   *gossip.BroadcastQueue[uint64, sentPrefix]
	machines          machineView
	polling           map[structs.ReplicaID]bool
	cacheEventCursors map[structs.ReplicaID]uint64
	announced         map[structs.ReplicaID]announcedReport
	lastDemandSent    map[scheduler.Demand]structs.Instant
	peerGenerations   map[string]observedGeneration
	membershipVersion uint64
	random            *rand.Rand
}

// datedDigest is a report with the time at which its age was right.
type timestampedDigest struct {
	digest digest
	at     structs.Instant
}

// heardGeneration is the generation that a node last told of, and when.
type observedGeneration struct {
	generation uint64
	at         structs.Instant
}

// toldReport is the last report of a replica whose rare part this node told.
type announcedReport struct {
	report structs.LoadReport
	count  uint64
}

// New returns a node that does not run yet. The error is of kind InvalidSettings.
func New(config Config, depend Dependencies) (*Node, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	n := &Node{
		config: config, deps: depend, started: time.Now(),
		sealer:  receipt.NewSealer(config.ReceiptKeys...),
		adapter: backendhttp.New(depend.Network),
		answers: answer.NewStore(), metrics: metrics.NewRegistry(),
		decisions: newDecisionLog(maxDecisions), tickets: newTicketStore(maxTickets),
		executions:      map[string]*execution{},
		reportQueue:     gossip.NewBroadcastQueue[structs.ReplicaID, timestampedDigest](maxQueuedReports, gossip.RetransmitMinimal),
		sentPrefixQueue: gossip.NewBroadcastQueue[uint64, sentPrefix](maxQueuedSentPrefixes, gossip.RetransmitMinimal),
		zoneLastSeen:    map[string]structs.Instant{}, polling: map[structs.ReplicaID]bool{}, cacheEventCursors: map[structs.ReplicaID]uint64{}, announced: map[structs.ReplicaID]announcedReport{}, heartbeatTrigger: make(chan struct{}, 1),
		lastDemandSent: map[scheduler.Demand]structs.Instant{}, peerGenerations: map[string]observedGeneration{},
	}
	n.traffic = newTrafficMeter(n.metrics)
	n.peers = peer.NewClient(n.peerNetwork(), n.traffic)
	n.settingsCommitter = settingsync.Committer{Store: depend.Store, WallTime: depend.WallTime, Faults: depend.Faults}
	return n, n.initialise()
}

// initialise builds the state machines from the initial settings.
func (n *Node) initialise() error {
	document := n.config.InitialSettings
	if document == nil {
		document = &settingsync.Document{}
	}
	current, err := settingsync.NewCurrent(document, n.applySettings)
	if err != nil {
		return err
	}
	n.settings = current
	compiled := current.Compiled()
	random := n.deps.Random
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	options := n.schedulerOptions(compiled)
	n.random = random
	n.scheduler = scheduler.New(options, random)
	n.scheduler.SetOverflow(n.overflowZones)
	n.floorOwner = shedding.NewOwner(n.processName(), options.LowestRank, options.FloorDemandTTL)
	n.floorMember = shedding.NewMember(n.config.Name, options.LowestRank)
	n.limitOwner = limits.NewOwner()
	n.limitMember = limits.NewMember()
	n.registry = registry.NewTable(compiled.Node.RegistryLimit, compiled.Node.AnswerRetention)
	return nil
}

// processName names this process, so that floors of an earlier one under the
// same name are told apart.
func (n *Node) processName() string {
	return fmt.Sprintf("%s/%d", n.config.Name, n.startMilliseconds())
}

func (n *Node) startMilliseconds() int64 {
	if n.deps.StartMilliseconds == 0 {
		n.deps.StartMilliseconds = n.deps.WallTime().UnixMilli()
	}
	return n.deps.StartMilliseconds
}

// now is the node's monotonic time.
func (n *Node) now() structs.Instant { return time.Since(n.started) }

// Start listens and runs the node until Drain, Kill or the end of the context.
func (n *Node) Start(ctx context.Context) error {
	n.ctx, n.cancel = context.WithCancel(ctx)
	if err := n.listen(); err != nil {
		n.cancel()
		return err
	}
	self := membership.Member{
		Name: n.config.Name, Zone: n.config.Zone, PeerAddress: n.PeerAddress(), CallerAddress: n.CallerAddress(),
		Incarnation: membership.FirstIncarnation(n.startMilliseconds()),
	}
	compiled := n.settings.Compiled()
	n.table = membership.NewTable(self, compiled.Node.DeadAfter-compiled.Node.SuspectAfter, rand.New(rand.NewPCG(uint64(n.startMilliseconds()), 7)))
	n.claims = claims.NewCommitter(n.ctx, n.deps.Store, n.claimSettings, n.deps.WallTime)
	n.serve()
	for _, loop := range []func(){n.tickLoop, n.heartbeatLoop, n.pollLoop, n.machineLoop, n.settingsLoop, n.limitLoop, n.zoneLoop, n.placementLoop} {
		n.group.Go(loop)
	}
	return nil
}

func (n *Node) listen() error {
	var err error
	if n.peerListener, err = n.peerNetwork().Listen(n.config.PeerListen); err != nil {
		return err
	}
	if n.callerListener, err = n.deps.Network.Listen(n.config.CallerListen); err != nil {
		_ = n.peerListener.Close()
		return err
	}
	if n.operatorListener, err = n.deps.Network.Listen(n.config.OperatorListen); err != nil {
		_ = n.peerListener.Close()
		_ = n.callerListener.Close()
	}
	return err
}

// Name returns the node's name.
func (n *Node) Name() string { return n.config.Name }

// CallerAddress returns where callers reach the node.
func (n *Node) CallerAddress() string {
	return advertisedAddress(n.config.CallerAdvertise, n.callerListener)
}

// PeerAddress returns where peers reach the node.
func (n *Node) PeerAddress() string { return advertisedAddress(n.config.PeerAdvertise, n.peerListener) }

// OperatorAddress returns where operators reach the node.
func (n *Node) OperatorAddress() string { return n.operatorListener.Addr().String() }

func advertisedAddress(given string, listener net.Listener) string {
	if given != "" {
		return given
	}
	return listener.Addr().String()
}

// Metrics returns the node's metrics.
func (n *Node) Metrics() metrics.Registry { return n.metrics }

// Settings returns the settings in force.
func (n *Node) Settings() *settings.Compiled { return n.settings.Compiled() }

// Done is closed when the node has been told to end.
func (n *Node) Done() <-chan struct{} { return n.ctx.Done() }

// SetReceiptKeys takes changed keys into force without a restart.
func (n *Node) SetReceiptKeys(keys ...[]byte) { n.sealer.SetKeys(keys...) }

// Ready returns whether the node should get requests from the balancer.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.joined.Load() && n.loadKnown.Load() && n.settings.Compiled().Generation > 0
}

// Kill ends the node at once, as the death of its process would: requests are
// cut and nothing is told to anybody.
func (n *Node) Kill() {
	n.cancel()
	n.peers.Close()
	n.group.Wait()
	n.claims.Wait()
}

// drainPoll is the time between looks at what is still in progress.
const drainPollInterval = 20 * time.Millisecond

// Drain is a planned stop: it announces the leaving, goes on serving for the
// grace, refuses new requests as not run, lets every request in progress end,
// and stops. It returns false if the drain timeout of the settings passed first.
func (n *Node) Drain(ctx context.Context) bool {
	n.draining.Store(true)
	n.mutex.Lock()
	n.table.SetLeaving()
	n.mutex.Unlock()
	deadline := time.Now().Add(n.settings.Compiled().Node.DrainTimeout)
	wait.For(ctx, n.config.DrainGrace)
	n.rejecting.Store(true)
	clean := false
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if clean = n.isIdle(); clean {
			break
		}
		wait.For(ctx, drainPollInterval)
	}
	n.Kill()
	return clean
}

// idle returns whether no request is in progress and every answer was read.
func (n *Node) isIdle() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.executions) == 0 && n.traffic.openCallers.Load() == 0
}

// LiveNodes returns the number of nodes of the zone that this one takes for
// live, itself included.
func (n *Node) LiveNodes() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.table.Live())
}
