// Package fleet runs many hollow nodes and replicas in one process: the nodes
// run the daemon's own code for membership, settings, load reports, limits and
// claims on a network in memory, and what they cost is measured.
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

// Options describe a fleet.
type Options struct {
	Nodes, Replicas, Zones, Tenants int
	Duration                        time.Duration
	// WarmUp is the time before the measurement in which news of the start
	// spreads.
	WarmUp time.Duration
	// Rate is the requests a second over all nodes. Each is keyed and must not
	// be repeated, so that it costs a registration and a claim.
	Rate         float64
	PollInterval time.Duration
	Heartbeat    time.Duration
	Progress     func(string)
}

// Result is what was measured. Figures of a node are means over the nodes.
type Result struct {
	Nodes    int     `json:"nodes"`
	Replicas int     `json:"replicas"`
	Zones    int     `json:"zones"`
	Tenants  int     `json:"tenants"`
	Rate     float64 `json:"rate"`
	// CPUShare is the share of a core that a node used, with its part of the
	// stand-ins, which run in the same process: an upper bound.
	CPUShare float64 `json:"cpu_share"`
	// HeapBytes is the live heap for each node, stand-ins included.
	HeapBytes int64 `json:"heap_bytes"`
	// InBytes and OutBytes are bytes a second of a node over all connections,
	// PeerBytes those sent to peers by kind of message.
	InBytes   float64            `json:"in_bytes_s"`
	OutBytes  float64            `json:"out_bytes_s"`
	PeerBytes map[string]float64 `json:"peer_out_bytes_s"`
	// StoreCalls is the store's calls a second in all zones together, by path.
	StoreCalls map[string]float64 `json:"store_calls_s"`
	// SettingsBytes is the size of the settings in the store.
	SettingsBytes int `json:"settings_bytes"`
	// ChangeInForce is the time until a change was in force on every node.
	ChangeInForce time.Duration `json:"change_in_force_ns"`
	// ViewsAgree is the time after killing a tenth of the nodes until every
	// other node's view was right.
	ViewsAgree time.Duration `json:"views_agree_ns"`
	Killed     int           `json:"killed"`
	Answered   int64         `json:"answered"`
	Sent       int64         `json:"sent"`
}

// fleet is a running fleet.
type fleet struct {
	options        Options
	cluster        *cluster.Cluster
	fabric         *memnet.Fabric
	in, out        atomic.Int64
	sent           atomic.Int64
	answeredInTime atomic.Int64
}

// Run starts the fleet, measures it and stops it.
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

// hollowEngine is an engine that is never asked to generate.
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

// settings is a tree with the given number of tenants, some of them limited.
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

// measureSteady measures the fleet while it serves at the given rate.
func (f *fleet) measureSteady(ctx context.Context, result *Result) {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	result.HeapBytes = int64(memory.HeapAlloc) / int64(f.options.Nodes)
	cpuBefore, storeBefore := processTime(), f.cluster.Store.Calls()
	inBefore, outBefore, peersBefore := f.in.Load(), f.out.Load(), f.peerBytes()
	begun := time.Now()
	f.sendLoad(ctx)
	seconds := time.Since(begun).Seconds()
	nodes := float64(f.options.Nodes)
	result.CPUShare = (processTime() - cpuBefore).Seconds() / seconds / nodes
	result.InBytes = float64(f.in.Load()-inBefore) / seconds / nodes
	result.OutBytes = float64(f.out.Load()-outBefore) / seconds / nodes
	result.PeerBytes = map[string]float64{}
	for kind, bytes := range f.peerBytes() {
		if rate := float64(bytes-peersBefore[kind]) / seconds / nodes; rate > 0 {
			result.PeerBytes[kind] = rate
		}
	}
	result.StoreCalls = map[string]float64{}
	for path, count := range f.cluster.Store.Calls() {
		if rate := float64(count-storeBefore[path]) / seconds; rate > 0 {
			result.StoreCalls[path] = rate
		}
	}
	if data, err := f.cluster.Document.Encode(); err == nil {
		result.SettingsBytes = len(data)
	}
	result.Sent, result.Answered = f.sent.Load(), f.answeredInTime.Load()
}

// processTime is the processor time of the process so far.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// peerBytes sums what the nodes sent to peers, by kind of message.
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

// load sends keyed requests at the rate for the duration.
func (f *fleet) sendLoad(ctx context.Context) {
	if f.options.Rate <= 0 {
		time.Sleep(f.options.Duration)
		return
	}
	caller := cluster.NewCaller(f.fabric.Host("caller"))
	names := f.cluster.Names()
	begun := time.Now()
	var group sync.WaitGroup
	for number := 0; time.Since(begun) < f.options.Duration && ctx.Err() == nil; number++ {
		due := begun.Add(time.Duration(float64(number) / f.options.Rate * float64(time.Second)))
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

// waitLimit bounds the waits of the measurements below.
const waitTimeout = 60 * time.Second

func (f *fleet) measureSettingsChange(ctx context.Context, result *Result) error {
	first := f.cluster.Node(f.cluster.Names()[0])
	begun := time.Now()
	record, err := first.Change(ctx, settingsync.Change{ID: uuid.NewString(), Author: "fleet", Base: first.Settings().Generation, Edits: []settingsync.Edit{
		{Path: "tenants", Key: "burst", Text: "50"},
	}})
	if err != nil {
		return err
	}
	result.ChangeInForce = f.waitUntil(begun, func(n *node.Node) bool { return n.Settings().Generation >= record.Generation }, nil)
	f.options.Progress(fmt.Sprintf("a change was in force on every node after %s", result.ChangeInForce))
	return nil
}

// measureLoss kills every tenth node.
func (f *fleet) measureNodeLoss(result *Result) {
	dead := map[string]bool{}
	killed := map[string]int{}
	for index, name := range f.cluster.Names() {
		if index%10 == 0 && f.options.Nodes > 1 {
			dead[name] = true
			killed[zoneOfNode(name)]++
		}
	}
	result.Killed = len(dead)
	var group sync.WaitGroup
	for name := range dead {
		group.Go(f.cluster.Node(name).Kill)
	}
	group.Wait()
	result.ViewsAgree = f.waitUntil(time.Now(), func(n *node.Node) bool {
		return n.LiveNodes() == f.cluster.Options.NodesPerZone-killed[zoneOfNode(n.Name())]
	}, dead)
	f.options.Progress(fmt.Sprintf("%d nodes killed; all views were right after %s", len(dead), result.ViewsAgree))
}

func zoneOfNode(name string) string {
	zone, _, _ := strings.Cut(name, "-")
	return zone
}

// until returns the time until the condition holds on every node not excluded.
func (f *fleet) waitUntil(begun time.Time, holds func(*node.Node) bool, excluded map[string]bool) time.Duration {
	for time.Since(begun) < waitTimeout {
		all := true
		for _, name := range f.cluster.Names() {
			all = all && (excluded[name] || holds(f.cluster.Node(name)))
		}
		if all {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begun).Round(time.Millisecond)
}
