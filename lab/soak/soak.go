package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sort"
	"time"
)

// Options describe one run.
type Options struct {
	// Daemon is the path of the built thornwalkd.
	Daemon string
	// Seed decides the faults.
	Seed uint64
	// Traffic is how long requests are sent, at Rate a second.
	Traffic time.Duration
	Rate    float64
	// Block is the first three numbers of the loopback addresses, as 127.0.8; runs
	// beside each other need blocks of their own.
	Block string
	// Previous is the path of another version of thornwalkd, which all nodes run at first; they
	// are replaced one after the other, forth and back. Empty plays one version.
	Previous string
	// Bounds plays faults against the bounds of repeats and quotas and against the store, in
	// place of the usual mix, and gives the tenant a quota that it exceeds.
	Bounds bool
	// Pushback has replicas hold requests back by what they say in their answers, beside the other
	// faults.
	Pushback bool
	// LogFolder takes the lines of the daemons; empty drops them.
	LogFolder string
}

// Result is what one run showed.
type Result struct {
	Seed       uint64
	Faults     []string
	Counts     map[string]int
	Violations []string
	// Worst tells how near the bounds on all nodes together the run came.
	Worst map[string]string
}

const (
	// startLimit is how long the daemons may take to become ready.
	startLimit = 10 * time.Second
	// settleTime is given after the last fault before all must be well.
	settleTime = 6 * time.Second
	pollTime   = 50 * time.Millisecond
)

// Run plays one seed.
func Run(ctx context.Context, options Options) (*Result, error) {
	folder, err := os.MkdirTemp("", "thornwalk-soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	d, err := newDeployment(&options, folder)
	defer d.close()
	if err != nil {
		return nil, err
	}
	if err := awaitReady(ctx, options.Block); err != nil {
		return nil, err
	}
	c := &callers{block: options.Block, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}
	i := &injector{deployment: d, begun: time.Now(), stops: map[int][]span{}, ends: map[int][]span{}, freezes: map[int][]span{}}
	plan := newPlan(options.Seed, options.Traffic, nodeCount, kindsOf(&options))
	if options.Previous != "" {
		plan = append(plan, replacements(options.Traffic, nodeCount)...)
	}
	if options.Pushback {
		plan = append(plan, pushbacks(options.Seed, options.Traffic)...)
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].at < plan[j].at })
	done := make(chan struct{})
	go func() { i.run(plan); close(done) }()
	c.send(ctx, options.Traffic, options.Rate)
	<-done
	time.Sleep(settleTime)
	result := &Result{Seed: options.Seed, Counts: map[string]int{}, Worst: map[string]string{}}
	for _, planned := range plan {
		result.Faults = append(result.Faults, planned.String())
	}
	judge(result, &options, d, c, i)
	return result, nil
}

// awaitReady waits until every daemon would get requests.
func awaitReady(ctx context.Context, block string) error {
	limit := time.Now().Add(startLimit)
	for number := range nodeCount {
		for !isReady(at(block, number+1, readinessPort)) {
			if time.Now().After(limit) || ctx.Err() != nil {
				return fmt.Errorf("node %d is not ready after %s: look at its lines with -log", number, startLimit)
			}
			time.Sleep(pollTime)
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
