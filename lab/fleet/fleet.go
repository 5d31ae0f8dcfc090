// Package fleet measures the cost of control in a fleet of nodes and replicas in one
// process. The nodes run the daemon's own code for membership, settings, load reports,
// limits and claims on a network in memory; the engines get no requests.
package fleet

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/thornwalk/thornwalk/coordination/settingsync"
	"github.com/thornwalk/thornwalk/lab/cluster"
	"github.com/thornwalk/thornwalk/lab/enginesim"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/node"
	"github.com/thornwalk/thornwalk/state/settings"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Options are the options of a fleet.
type Options struct {
	Nodes, Replicas, Zones, Tenants int
	Duration                        time.Duration
	// WarmUp is the time before the measurement in which the updates of the start reach
	// all nodes.
	WarmUp time.Duration
	// Rate is the number of requests per second over all nodes. Each has a key and a
	// route that is not repeatable, so that it needs a registration and a claim.
	Rate         float64
	PollInterval time.Duration
	Heartbeat    time.Duration
	Progress     func(string)
}

// Result is the result of a measurement. Figures per node are means over the nodes.
type Result struct {
	Nodes    int     `json:"nodes"`
	Replicas int     `json:"replicas"`
	Zones    int     `json:"zones"`
	Tenants  int     `json:"tenants"`
	Rate     float64 `json:"rate"`
	// CPUShare is the share of a core per node. It includes the stand-ins, which run in
	// the same process, and is therefore an upper bound.
	CPUShare float64 `json:"cpu_share"`
	// HeapBytes is the live heap per node, including the stand-ins.
	HeapBytes int64 `json:"heap_bytes"`
	// InBytes and OutBytes are the bytes per second and node over all connections,
	// PeerBytes those sent to peers by message kind.
	InBytes   float64            `json:"in_bytes_s"`
	OutBytes  float64            `json:"out_bytes_s"`
	PeerBytes map[string]float64 `json:"peer_out_bytes_s"`
	// StoreCalls is the number of store calls per second of all zones together, by
	// path.
	StoreCalls map[string]float64 `json:"store_calls_s"`
	// SettingsBytes is the size of the initial settings in the store.
	SettingsBytes int `json:"settings_bytes"`
	// ChangeInForce is the time until a settings change was active on every node.
	ChangeInForce time.Duration `json:"change_in_force_ns"`
	// ViewsAgree is the time from the killing of a tenth of the nodes until every other
	// node had the correct number of live nodes.
	ViewsAgree time.Duration `json:"views_agree_ns"`
	Killed     int           `json:"killed"`
	Answered   int64         `json:"answered"`
	Sent       int64         `json:"sent"`
}

// fleet is the state of a measurement.
type fleet struct {
	options        Options
	cluster        *cluster.Cluster
	fabric         *memnet.Fabric
	in, out        atomic.Int64
	sent           atomic.Int64
	answeredInTime atomic.Int64
}

// Run starts a fleet, measures it and stops it.
func Run(ctx context.Context, options Options) (Result, error) {
	f := &fleet{options: options, fabric: memnet.New()}
	var err error
	f.cluster, err = cluster.Start(ctx, f.clusterOptions())
	if err != nil {
		return Result{}, err
	}
	defer f.cluster.Stop()
	options.Progress(fmt.Sprintf("%d nodes are ready", options.Nodes))
	time.Sleep(options.WarmUp)
	result := Result{Nodes: options.Nodes, Replicas: options.Replicas, Zones: options.Zones, Tenants: options.Tenants, Rate: options.Rate}
	f.measureSteady(ctx, &result)
	if err := f.measureSettingsChange(ctx, &result); err != nil {
		return result, err
	}
	f.measureNodeLoss(&result)
	return result, nil
}

// idleEngine is the spec of an engine that gets no requests.
var idleEngine = enginesim.Spec{Generation: "g3", Accelerators: 4, Slots: 32, BaseStep: 6 * time.Millisecond, PerSequence: 80 * time.Microsecond, PerPrefillToken: 30 * time.Microsecond, ChunkTokens: 512, CacheBlocks: 16, KVTokens: 160000}

func (f *fleet) clusterOptions() cluster.Options {
	zones := make([]string, f.options.Zones)
	for i := range zones {
		zones[i] = fmt.Sprintf("z%d", i)
	}
	engines := make([]enginesim.Spec, max(1, f.options.Replicas/f.options.Zones))
	for i := range engines {
		engines[i] = idleEngine
	}
	return cluster.Options{
		Zones: zones, NodesPerZone: max(1, f.options.Nodes/f.options.Zones), EngineService: "llm", Model: "m", Engines: engines,
		PlainService: "plain", PlainReplicas: 1, CallTime: time.Millisecond, Settings: f.newSettings(), MachineLag: 200 * time.Millisecond,
		Host: f.fabric.Host, ListenAddress: ":0", Seed: 1, DrainGrace: time.Millisecond,
		WrapNetwork: func(inner network.Network) network.Network {
			return countingNetwork{Network: inner, in: &f.in, out: &f.out}
		},
	}
}

// newSettings returns settings with the number of tenants of the options, each with a
// rate limit.
func (f *fleet) newSettings() *settings.Tree {
	branches := []settings.Branch{
		{Path: "node", Settings: []settings.Setting{{Key: "poll_interval", Text: f.options.PollInterval.String()}, {Key: "heartbeat_interval", Text: f.options.Heartbeat.String()}}},
		{Path: "tiers/first"}, {Path: "services/llm"}, {Path: "services/plain"},
		{Path: "routes/plain", Settings: []settings.Setting{{Key: "service", Text: "plain"}, {Key: "tier", Text: "first"}, {Key: "repeatable", Text: "false"}}},
	}
	for number := range max(1, f.options.Tenants) {
		branches = append(branches, settings.Branch{Path: fmt.Sprintf("tenants/group-%d/tenant-%d", number%20, number), Settings: []settings.Setting{
			{Key: "key_hash", Text: cluster.KeyHash(tenantKey(number))}, {Key: "rate", Text: strconv.Itoa(100 + number%50)}, {Key: "weight", Text: "2"},
		}})
	}
	return settings.NewTree(branches...)
}

func tenantKey(number int) string { return fmt.Sprintf("key-%d", number) }

// measureSteady measures the fleet while it serves requests at the rate of the options.
func (f *fleet) measureSteady(ctx context.Context, result *Result) {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	result.HeapBytes = int64(memory.HeapAlloc) / int64(f.options.Nodes)
	cpuBefore, storeBefore := processTime(), f.cluster.Store.Calls()
	inBefore, outBefore, peersBefore := f.in.Load(), f.out.Load(), f.peerBytes()
	start := time.Now()
	f.sendLoad(ctx)
	elapsedSeconds := time.Since(start).Seconds()
	nodes := float64(f.options.Nodes)
	result.CPUShare = (processTime() - cpuBefore).Seconds() / elapsedSeconds / nodes
	result.InBytes = float64(f.in.Load()-inBefore) / elapsedSeconds / nodes
	result.OutBytes = float64(f.out.Load()-outBefore) / elapsedSeconds / nodes
	result.PeerBytes = map[string]float64{}
	for kind, bytes := range f.peerBytes() {
		if rate := float64(bytes-peersBefore[kind]) / elapsedSeconds / nodes; rate > 0 {
			result.PeerBytes[kind] = rate
		}
	}
	result.StoreCalls = map[string]float64{}
	for path, count := range f.cluster.Store.Calls() {
		if rate := float64(count-storeBefore[path]) / elapsedSeconds; rate > 0 {
			result.StoreCalls[path] = rate
		}
	}
	if data, err := f.cluster.Document.Encode(); err == nil {
		result.SettingsBytes = len(data)
	}
	result.Sent, result.Answered = f.sent.Load(), f.answeredInTime.Load()
}

// processTime returns the processor time that the process has used, or zero if it is
// unknown.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// peerBytes returns the bytes that all nodes sent to peers, by message kind.
func (f *fleet) peerBytes() map[string]int64 {
	totals := map[string]int64{}
	for _, name := range f.cluster.Names() {
		f.cluster.Node(name).Metrics().Each(func(metric string, value any) {
			kind, isPeer := strings.CutPrefix(metric, "peer.out.")
			if counter, isCounter := value.(metrics.Counter); isPeer && isCounter {
				totals[kind] += counter.Count()
			}
		})
	}
	return totals
}

// sendLoad sends keyed requests at the rate of the options and waits until they have
// ended.
func (f *fleet) sendLoad(ctx context.Context) {
	if f.options.Rate <= 0 {
		time.Sleep(f.options.Duration)
		return
	}
	caller := cluster.NewCaller(f.fabric.Host("caller"))
	names := f.cluster.Names()
	start := time.Now()
	var group sync.WaitGroup
	for number := 0; time.Since(start) < f.options.Duration && ctx.Err() == nil; number++ {
		due := start.Add(time.Duration(float64(number) / f.options.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		name := names[number%len(names)]
		submission := &cluster.Submission{
			Marker: fmt.Sprintf("fleet-%d", number), Address: f.cluster.Node(name).CallerAddress(), TenantKey: tenantKey(number % max(1, f.options.Tenants)),
			Route: "plain", Service: "plain", Plain: true, Key: uuid.Must(uuid.NewV7()).String(), Prompt: "p", Deadline: 10 * time.Second,
		}
		group.Go(func() {
			f.sent.Add(1)
			if o := caller.Send(ctx, submission); o.InTime() {
				f.answeredInTime.Add(1)
			}
		})
	}
	group.Wait()
}

// waitTimeout is the timeout of waitUntil.
const waitTimeout = 60 * time.Second

// measureSettingsChange measures the time until a settings change is active on every
// node.
func (f *fleet) measureSettingsChange(ctx context.Context, result *Result) error {
	first := f.cluster.Node(f.cluster.Names()[0])
	start := time.Now()
	record, err := first.Change(ctx, settingsync.Change{ID: uuid.NewString(), Author: "fleet", Base: first.Settings().Generation, Edits: []settingsync.Edit{
		{Path: "tenants", Key: "burst", Text: "50"},
	}})
	if err != nil {
		return err
	}
	result.ChangeInForce = f.waitUntil(start, func(n *node.Node) bool { return n.Settings().Generation >= record.Generation }, nil)
	f.options.Progress(fmt.Sprintf("a change was in force on every node after %s", result.ChangeInForce))
	return nil
}

// measureNodeLoss kills every tenth node and measures the time until the others have
// noticed.
func (f *fleet) measureNodeLoss(result *Result) {
	killedNodes := map[string]bool{}
	killedByZone := map[string]int{}
	for index, name := range f.cluster.Names() {
		if index%10 == 0 && f.options.Nodes > 1 {
			killedNodes[name] = true
			killedByZone[zoneOfNode(name)]++
		}
	}
	result.Killed = len(killedNodes)
	var group sync.WaitGroup
	for name := range killedNodes {
		group.Go(f.cluster.Node(name).Kill)
	}
	group.Wait()
	result.ViewsAgree = f.waitUntil(time.Now(), func(n *node.Node) bool {
		return n.LiveNodes() == f.cluster.Options.NodesPerZone-killedByZone[zoneOfNode(n.Name())]
	}, killedNodes)
	f.options.Progress(fmt.Sprintf("%d nodes killed; all views were right after %s", len(killedNodes), result.ViewsAgree))
}

// zoneOfNode returns the zone in the name of a node.
func zoneOfNode(name string) string {
	zone, _, _ := strings.Cut(name, "-")
	return zone
}

// waitUntil waits until the condition holds on all nodes that are not excluded, or
// until waitTimeout after start. It returns the time since start, rounded to
// milliseconds.
func (f *fleet) waitUntil(start time.Time, holds func(*node.Node) bool, excluded map[string]bool) time.Duration {
	for time.Since(start) < waitTimeout {
		all := true
		for _, name := range f.cluster.Names() {
			all = all && (excluded[name] || holds(f.cluster.Node(name)))
		}
		if all {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start).Round(time.Millisecond)
}
