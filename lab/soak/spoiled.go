package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// With Options.Spoiled replicas send bytes that are no answer. The callers of other answers must not notice it.

const (
	// spoiledStream is the random stream of the plan.
	spoiledStream = 5_000_011
	// spoiledInterval is the time between two starts of spoiled answers, so that all forms occur in some runs.
	spoiledInterval                = 900 * time.Millisecond
	minSpoiledTime, maxSpoiledTime = time.Second, 4 * time.Second
	// totalShare is the share of runs in which all replicas spoil all of their answers for a while.
	totalShare = 1.0 / 3
	// eachSpoiled is how many answers of a replica there are for one that is spoiled.
	eachSpoiled = 4
	// daemonMemoryMB is the memory limit of a daemon.
	daemonMemoryMB     = 134
	memoryPollInterval = 50 * time.Millisecond
	// maxLostAnswers is how many answers may be lost, over all nodes.
	maxLostAnswers = 3
)

// spoiledKinds are the other kinds of faults in these runs: those that replicas have no part in.
var spoiledKinds = []kind{
	kindKill, kindStop, kindFreeze, kindHangUp, kindStoreReset, kindStoreHang, kindStoreDown, kindStoreLost, kindCompact, kindChange, kindGrow,
}

// spoiledFaults returns faults in which replicas spoil answers, overlapping each other, in forms drawn with the seed.
func spoiledFaults(seed uint64, traffic time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, spoiledStream))
	forms := random.Perm(len(platformsim.SpoiledForms))
	var plan []fault
	for offset := time.Duration(0); offset < traffic; offset += spoiledInterval {
		plan = append(plan, fault{
			kind: kindReplicaSpoils, offset: offset, duration: between(random, minSpoiledTime, maxSpoiledTime),
			target: random.IntN(engineCount), form: platformsim.SpoiledForms[forms[len(plan)%len(forms)]],
		})
	}
	if random.Float64() < totalShare {
		plan = append(plan, fault{
			kind: kindReplicaSpoils, offset: time.Duration(random.Float64() * maxFaultStartShare * float64(traffic)), duration: minSpoiledTime,
			isTotal: true, form: largeForms[random.IntN(len(largeForms))],
		})
	}
	return plan
}

// largeForms are the forms of which a node holds most.
var largeForms = []platformsim.SpoiledForm{
	platformsim.SpoiledBody, platformsim.SpoiledErrorBody, platformsim.SpoiledEvent, platformsim.SpoiledEventLines, platformsim.SpoiledHeaderLines,
}

// spoilAnswers has an engine and a plain replica spoil some of their answers, or all replicas all of them.
func (i *injector) spoilAnswers(f fault) (heal func()) {
	replicas, each := i.deployment.replicas, int64(1)
	if !f.isTotal {
		replicas, each = []*platformsim.Replica{replicas[f.target], replicas[engineCount+f.target]}, eachSpoiled
	}
	for _, replica := range replicas {
		replica.SetSpoiledForm(f.form)
		var count atomic.Int64
		replica.SetBehavior(func(*http.Request) platformsim.Behavior {
			if count.Add(1)%each == 0 {
				return platformsim.Spoil
			}
			return platformsim.Answer
		})
	}
	return func() {
		for _, replica := range replicas {
			replica.SetBehavior(nil)
		}
	}
}

// watchMemory records the highest resident memory of the processes until the returned function is called.
func (d *deployment) watchMemory() (stop func()) {
	ended := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			for _, p := range d.processes {
				p.recordMemory()
			}
			select {
			case <-ended:
				return
			case <-time.After(memoryPollInterval):
			}
		}
	})
	return func() {
		close(ended)
		group.Wait()
	}
}

// recordMemory reads the highest resident memory of the running process.
func (p *process) recordMemory() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return // it has ended
	}
	for line := range strings.Lines(string(content)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			p.peakBytes = max(p.peakBytes, kilobytes<<10)
		}
	}
}

// checkSpoiled checks that the daemons keep their memory limit, and that each request that nothing else disturbs ends
// with an answer, whether its replica spoils it or another one.
func checkSpoiled(result *Result, d *deployment, c *callers, i *injector, violate reportViolation) {
	peak := int64(0)
	for _, p := range d.processes {
		p.mutex.Lock()
		peak = max(peak, p.peakBytes)
		p.mutex.Unlock()
	}
	spoiled := map[string]bool{}
	for _, replica := range d.replicas {
		for _, run := range replica.Runs() {
			spoiled[run.ID] = spoiled[run.ID] || run.Spoiled
		}
	}
	count, judged := 0, 0
	var lost []string
	for _, call := range c.results {
		if spoiled[call.id] {
			count++
		}
		if i.disturbs(call) {
			continue
		}
		if judged++; call.outcome == outcomeLost {
			lost = append(lost, fmt.Sprintf("%s (%s) at node %d: %s", call.id, call.route, call.node, call.detail))
		}
	}
	result.Worst["spoiled"] = fmt.Sprintf("%d requests with a spoiled answer, %d of %d undisturbed ones lost, at most %d MB of %d", count, len(lost), judged, peak>>20, daemonMemoryMB)
	if len(lost) > maxLostAnswers {
		violate("%d requests ended without an answer: %v", len(lost), lost)
	}
	if peak > daemonMemoryMB<<20 {
		violate("a node takes %d MB of memory, %d are allowed", peak>>20, daemonMemoryMB)
	}
}

// disturbs reports whether a restart, a suspension or a cut of the request's node may have lost the answer.
func (i *injector) disturbs(call callResult) bool {
	spans := slices.Concat(i.restarts[call.node], i.suspensions[call.node])
	for _, cut := range i.cuts {
		if slices.Contains(cut.fault.nodes, call.node) {
			spans = append(spans, cut.span)
		}
	}
	return slices.ContainsFunc(spans, func(disturbed span) bool {
		disturbed.to = disturbed.to.Add(recoveryTime)
		return disturbed.overlaps(call.span)
	})
}
