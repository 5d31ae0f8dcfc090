package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sort"
	"time"
)

// Options configure one run.
type Options struct {
	// Daemon is the path of the built thornwalkd.
	Daemon string
	// Seed determines the plan of faults.
	Seed uint64
	// Traffic is how long requests are sent, Rate their number per second.
	Traffic time.Duration
	Rate    float64
	// Block is the first three numbers of the loopback addresses, such as 127.0.8. Concurrent runs
	// need different blocks.
	Block string
	// Previous is the path of another version of thornwalkd, which all nodes run at first. They are
	// replaced one after the other by Daemon and then back. Empty runs Daemon only.
	Previous string
	// Bounds replaces the default kinds of faults by those that affect the retry and quota bounds
	// and the store, and gives the tenant a quota that it exceeds.
	Bounds bool
	// Pushback adds faults in which replicas send pushback.
	Pushback bool
	// Tenants adds a second tenant whose requests exceed what the engines can answer, and sends
	// requests for calmTime after the faults. It excludes Bounds, as the second tenant has no quota
	// that it exceeds.
	Tenants bool
	// Restore fills the store with more entries than one of its answers contains, writes them again all
	// the time, and restores the store from a backup that lists replicas which were deleted since. Requests
	// to these replicas are sent until there are enough to judge. It excludes Bounds, which has restores
	// of its own, and Previous, which may not know eras.
	Restore bool
	// Cuts adds faults in which some nodes lose their paths to all replicas. Daemon must be thornwalk-lab, whose
	// entry command can cut paths.
	Cuts bool
	// Versions adds a service with replicas of two software versions, whose streams break off and are resumed. It
	// excludes Previous, which mixes them.
	Versions bool
	// Moved adds two services with software of their own and a route of streams that configurations move between them. The
	// streams break off and are resumed by callers that don't name them.
	Moved bool
	// Silence adds services whose replicas are processes, which are stopped and continued beside the other faults
	// and some of its own. Daemon must be thornwalk-lab, which also runs these replicas. It excludes Previous.
	Silence bool
	// Spoiled adds faults in which replicas send bytes that are no answer, in all forms, and cuts as Cuts does; the
	// daemons have a memory limit that is judged. Daemon must be thornwalk-lab. It excludes Previous.
	Spoiled bool
	// Replaced adds a service with replicas of two software versions, which are processes that end and start again in
	// place, often with the other version, beside outages of the store and the other faults. Requests to them are sent for
	// replacedCalm after the faults. Daemon must be thornwalk-lab. It excludes Bounds, Previous, Restore and Silence.
	Replaced bool
	// Stops stops nodes in series and overlapping, under callers that go on using their connections until the process is
	// gone, beside other faults in half of the runs, and judges each request. It excludes all other options.
	Stops bool
	// ReplicaProgram is the path of the thornwalk-lab that runs the replicas of Replaced; empty means Daemon.
	ReplicaProgram string
	// LogFolder is where the daemons' logs are written; empty discards them.
	LogFolder string
}

// nodes returns the number of daemons.
func (o *Options) nodes() int {
	if o.Stops {
		return drawStops(o.Seed, o.Traffic).nodes
	}
	return nodeCount
}

// grace returns the time from a planned stop until the platform kills the process.
func (o *Options) grace() time.Duration {
	if o.Stops {
		return stopsGrace
	}
	return stopGrace
}

// excludedByStops returns true if there is an option that runs with Stops don't have.
func (o *Options) excludedByStops() bool {
	return o.Bounds || o.Pushback || o.Tenants || o.Restore || o.Cuts || o.Versions || o.Silence || o.Spoiled || o.Replaced || o.Previous != ""
}

// Result is the outcome of one run.
type Result struct {
	Seed uint64
	// Policies describes the scheduling policies that the seed has drawn.
	Policies string
	Faults   []string
	// Counts is the number of requests by outcome.
	Counts     map[string]int
	Violations []string
	// Worst describes, by bound, the window that came closest to it or exceeded it most.
	Worst map[string]string
}

const (
	startTimeout = 10 * time.Second
	// settleTime is the time from the last fault until the checks expect a healthy deployment.
	settleTime   = 6 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Run starts a deployment, sends requests while it injects the faults of the seed's plan, and checks
// the promises. Broken promises are in the result; an error means that the run could not start.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Bounds && options.Tenants {
		return nil, errors.New("options Bounds and Tenants exclude each other: play them in two runs")
	}
	if options.Restore && (options.Bounds || options.Previous != "") {
		return nil, errors.New("option Restore excludes Bounds and Previous: play them in two runs")
	}
	if options.Versions && options.Previous != "" {
		return nil, errors.New("option Versions excludes Previous: play them in two runs")
	}
	if options.Silence && options.Previous != "" {
		return nil, errors.New("option Silence excludes Previous: play them in two runs")
	}
	if options.Spoiled && options.Previous != "" {
		return nil, errors.New("option Spoiled excludes Previous, which may not limit answers: play them in two runs")
	}
	if options.Replaced && (options.Bounds || options.Previous != "" || options.Restore || options.Silence) {
		return nil, errors.New("option Replaced excludes Bounds, Previous, Restore and Silence: play them in two runs")
	}
	if options.Stops && options.excludedByStops() {
		return nil, errors.New("option Stops excludes all others: play them in two runs")
	}
	stops := drawStops(options.Seed, options.Traffic)
	if options.Stops {
		if err := processBudget.Acquire(ctx, int64(stops.nodes)); err != nil {
			return nil, err
		}
		defer processBudget.Release(int64(stops.nodes))
	}
	replaced := drawReplaced(options.Seed, options.Traffic)
	if options.Replaced {
		if err := processBudget.Acquire(ctx, int64(replaced.processes())); err != nil {
			return nil, err
		}
		defer processBudget.Release(int64(replaced.processes()))
	}
	silence := drawSilence(options.Seed, options.Traffic)
	if options.Silence {
		if err := processBudget.Acquire(ctx, int64(silence.processes())); err != nil {
			return nil, err
		}
		defer processBudget.Release(int64(silence.processes()))
	}
	folder, err := os.MkdirTemp("", "thornwalk-soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	d, err := startDeployment(&options, folder)
	defer d.close()
	if err != nil {
		return nil, err
	}
	if options.Restore {
		defer d.startFillers(options.Block, options.Seed)()
	}
	if err := awaitReady(ctx, options.Block, options.nodes()); err != nil {
		return nil, err
	}
	idsName, ids := drawEventIDs(options.Seed)
	c := &callers{ids: ids, block: options.Block, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}
	i := &injector{deployment: d, startedAt: time.Now(), plannedStops: map[int][]span{}, restarts: map[int][]span{}, suspensions: map[int][]span{}, frozen: map[int][]span{}, kills: map[int][]span{}}
	plan := stops.faults
	if !options.Stops {
		plan = newPlan(options.Seed, options.Traffic, nodeCount, kindsFor(&options))
	}
	if options.Previous != "" {
		plan = append(plan, replacementFaults(options.Traffic, nodeCount)...)
	}
	if options.Pushback {
		plan = append(plan, pushbackFaults(options.Seed, options.Traffic)...)
	}
	if options.Spoiled {
		plan = append(plan, spoiledFaults(options.Seed, options.Traffic)...)
		defer d.watchMemory()()
	}
	if options.Cuts || options.Spoiled {
		plan = append(plan, cutFaults(options.Seed, options.Traffic)...)
	}
	if options.Moved {
		plan = append(plan, moveFaults(options.Seed, options.Traffic)...)
	}
	if options.Silence {
		plan = append(plan, silence.faults...)
	}
	if options.Replaced {
		plan = append(plan, replaced.faults...)
	}
	if options.Restore {
		plan = append(plan, drawRestore(options.Seed).restore)
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].offset < plan[j].offset })
	done := make(chan struct{})
	go func() { i.run(ctx, plan); close(done) }()
	traffic := options.Traffic
	if options.Tenants {
		traffic += calmTime
		c.group.Go(func() { c.sendSurge(ctx, traffic, options.Rate/float64(len(trafficRoutes))) })
	}
	if options.Restore {
		c.group.Go(func() { c.sendRelisted(ctx, i) })
	}
	if options.Versions {
		c.group.Go(func() { c.sendVersioned(ctx, traffic) })
	}
	if options.Moved {
		c.group.Go(func() { c.sendMoved(ctx, traffic) })
	}
	held := newHeldCallers(options.Block, &silence, ids)
	if options.Silence {
		c.group.Go(func() { held.send(ctx, traffic) })
	}
	streams := newReplacedCallers(options.Block, &replaced, ids)
	if options.Replaced {
		c.group.Go(func() { streams.send(ctx, traffic+replacedCalm) })
	}
	stopping := newStopsCallers(&options, &stops, ids)
	if options.Stops {
		c.group.Go(func() { stopping.send(ctx, done) })
	}
	c.sendTraffic(ctx, traffic, options.Rate)
	<-done
	time.Sleep(settleTime)
	result := &Result{Seed: options.Seed, Policies: fmt.Sprintf("%v event_ids=%q", drawPolicies(options.Seed), idsName), Counts: map[string]int{}, Worst: map[string]string{}}
	if options.Silence {
		result.Worst["silence"] = silence.String()
	}
	if options.Replaced {
		result.Worst["replaced"] = replaced.String()
	}
	if options.Stops {
		result.Worst["stops"] = stops.String()
	}
	if options.Restore {
		result.Worst["restore"] = drawRestore(options.Seed).String()
	}
	for _, planned := range plan {
		result.Faults = append(result.Faults, planned.String())
	}
	checkRun(result, &options, d, c, held, streams, stopping, i)
	return result, nil
}

// awaitReady waits until every daemon reports ready, for at most startTimeout.
func awaitReady(ctx context.Context, block string, nodes int) error {
	deadline := time.Now().Add(startTimeout)
	for number := range nodes {
		for !isReady(hostAddress(block, nodeHost(number), readinessPort)) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("start node %d: not ready within %s; see its log with -log", number, startTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func isReady(address string) bool {
	response, err := http.Get("http://" + address + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
