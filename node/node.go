package node

import (
	"context"
	"errors"
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
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/receipt"
	"github.com/thornwalk/thornwalk/state/answer"
	"github.com/thornwalk/thornwalk/state/gossip"
	"github.com/thornwalk/thornwalk/state/registry"
	"github.com/thornwalk/thornwalk/state/settings"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/backendhttp"
	"github.com/thornwalk/thornwalk/transport/keptconn"
	"github.com/thornwalk/thornwalk/transport/peer"
)

// Bounds of a node's queues and logs that the settings do not set.
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
	// working ends when the requests in progress are given up, shortly before ctx does in a planned stop.
	working     context.Context
	stopWorking context.CancelFunc
	group       sync.WaitGroup
	// pullingSettings is true while settings are pulled from a peer.
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
	callerServer                                   *keptconn.Server

	// sequence numbers the request ids of this process.
	sequence atomic.Uint64
	draining atomic.Bool
	// accepting ends when new requests are rejected because the node stops.
	accepting     context.Context
	stopAccepting context.CancelFunc
	// reporting is the number of ended requests whose ends are being reported to others.
	reporting atomic.Int64
	// joined is true once the node has tried to join the members of its zone.
	joined atomic.Bool
	// loadKnown is true once a load report was received, or if there are no replicas.
	loadKnown atomic.Bool
	// storeHealthy is false while reading the store fails.
	storeHealthy atomic.Bool
	// heartbeatTrigger makes the next heartbeats go out at once.
	heartbeatTrigger chan struct{}

	// mutex guards the fields below.
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

// timestampedDigest is a digest and the time at which its age applied.
type timestampedDigest struct {
	digest digest
	at     structs.Instant
}

// observedGeneration is the last generation received from a node, and when.
type observedGeneration struct {
	generation uint64
	at         structs.Instant
}

// announcedReport is the last report of a replica that this node announced with
// its rare part. count is the number of its reports that this node has applied.
type announcedReport struct {
	report structs.LoadReport
	count  uint64
}

// New returns a node that is not started. Errors of the configuration are of kind
// InvalidSettings.
func New(config Config, dependencies Dependencies) (*Node, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	n := &Node{
		config: config, deps: dependencies, started: time.Now(),
		sealer:  receipt.NewSealer(config.ReceiptKeys...),
		adapter: backendhttp.New(dependencies.Network),
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
	n.settingsCommitter = settingsync.Committer{Store: dependencies.Store, WallTime: dependencies.WallTime, Faults: dependencies.Faults}
	return n, n.initialise()
}

// initialise creates the state machines from the initial settings.
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

// processName identifies this process, so that its floors are distinguished from
// those of an earlier process of the same node.
func (n *Node) processName() string {
	return fmt.Sprintf("%s/%d", n.config.Name, n.startMilliseconds())
}

func (n *Node) startMilliseconds() int64 {
	if n.deps.StartMilliseconds == 0 {
		n.deps.StartMilliseconds = n.deps.WallTime().UnixMilli()
	}
	return n.deps.StartMilliseconds
}

// now returns the monotonic time since the node was created.
func (n *Node) now() structs.Instant { return time.Since(n.started) }

// Start opens the listeners and starts the node's goroutines, without blocking.
// The node runs until Drain, Kill or the end of the context.
func (n *Node) Start(ctx context.Context) error {
	n.ctx, n.cancel = context.WithCancel(ctx)
	n.working, n.stopWorking = context.WithCancel(n.ctx)
	n.accepting, n.stopAccepting = context.WithCancel(n.ctx)
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

// CallerAddress returns the address that the node announces to callers.
func (n *Node) CallerAddress() string {
	return advertisedAddress(n.config.CallerAdvertise, n.callerListener)
}

// PeerAddress returns the address that the node announces to peers.
func (n *Node) PeerAddress() string { return advertisedAddress(n.config.PeerAdvertise, n.peerListener) }

// OperatorAddress returns the address of the operators' interface.
func (n *Node) OperatorAddress() string { return n.operatorListener.Addr().String() }

func advertisedAddress(configured string, listener net.Listener) string {
	if configured != "" {
		return configured
	}
	return listener.Addr().String()
}

func (n *Node) Metrics() metrics.Registry { return n.metrics }

// Settings returns the active settings.
func (n *Node) Settings() *settings.Compiled { return n.settings.Compiled() }

// Done returns a channel that is closed when the node starts to end.
func (n *Node) Done() <-chan struct{} { return n.ctx.Done() }

// SetReceiptKeys replaces the receipt keys: the first seals, all open.
func (n *Node) SetReceiptKeys(keys ...[]byte) { n.sealer.SetKeys(keys...) }

// Ready reports whether the load balancer should send requests to the node.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.joined.Load() && n.loadKnown.Load() && n.settings.Compiled().Generation > 0
}

// Kill stops the node as a crash would: requests are aborted and peers are not
// notified. It blocks until all goroutines have ended.
func (n *Node) Kill() {
	n.cancel()
	n.peers.Close()
	n.group.Wait()
	n.claims.Wait()
}

const (
	// drainPollInterval is the time between checks for requests in progress.
	drainPollInterval = 20 * time.Millisecond
	// finalAnswerTime is the time before the end of a planned stop in which the callers of requests that are given up get
	// their answers.
	finalAnswerTime = 500 * time.Millisecond
)

// Drain stops the node in order: it announces that the node is leaving, serves
// for the drain grace, then rejects new requests and waits until those in
// progress have ended. Shortly before the drain timeout of the settings it gives
// up the others: their callers get the outcome, and can fetch answers of engines
// at other nodes. It blocks until the node has stopped, and returns false if
// requests were given up or the context ended first.
func (n *Node) Drain(ctx context.Context) bool {
	n.draining.Store(true)
	n.mutex.Lock()
	n.table.SetLeaving()
	n.mutex.Unlock()
	deadline := time.Now().Add(n.settings.Compiled().Node.DrainTimeout - finalAnswerTime)
	wait.Sleep(ctx, n.config.DrainGrace)
	n.stopAccepting()
	clean := n.awaitIdle(ctx, deadline)
	final, cancel := context.WithTimeout(ctx, finalAnswerTime)
	defer cancel()
	if !clean && ctx.Err() == nil {
		n.stopWorking()
		n.awaitIdle(final, time.Now().Add(finalAnswerTime))
	}
	_ = n.callerServer.Shutdown(final) // until the last responses are written; Kill closes the others
	n.Kill()
	return clean
}

// awaitIdle waits until the node is idle. It returns false if the context ends or the deadline passes first.
func (n *Node) awaitIdle(ctx context.Context, deadline time.Time) bool {
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if n.isIdle() {
			return true
		}
		wait.Sleep(ctx, drainPollInterval)
	}
	return false
}

// errGivenUp is matched by the errors of requests that were given up at the end of a planned stop.
var errGivenUp = errors.New("the node has stopped; another node returns the answer of an engine for the receipt")

// endOfWork returns errGivenUp, of kind OutcomeUnknown, in place of the error of a request with an unknown outcome that ended
// as the planned stop was over.
func (n *Node) endOfWork(outcome structs.Outcome, err error) error {
	if outcome == structs.OutcomeUnknown && n.working.Err() != nil {
		return errkind.Wrap(errkind.OutcomeUnknown, errGivenUp)
	}
	return err
}

// isIdle reports whether no request is in progress, no caller is being served and all ends of requests are reported.
func (n *Node) isIdle() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.executions) == 0 && n.traffic.openCallers.Load() == 0 && n.reporting.Load() == 0
}

// LiveNodes returns the number of live nodes of the zone as this node sees them,
// including itself.
func (n *Node) LiveNodes() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.table.Live())
}
