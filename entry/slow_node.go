package entry

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
)

// nonCandidateCheckInterval is the time between checks whether this node became a candidate. It is
// long because each check wakes the process, and most nodes of a large fleet are no candidates.
const nonCandidateCheckInterval = time.Second

// slowNodeLoop measures, while this node is a candidate, how late its timers are and how long fixed
// work takes, and announces when the node becomes slow or recovers.
func (n *Node) slowNodeLoop() {
	probe := newWorkProbe()
	sleep := n.dependencies.Sleep
	if sleep == nil {
		sleep = sleepLateness
	}
	for n.ctx.Err() == nil {
		n.mutex.Lock()
		isCandidate := n.isCandidate
		n.mutex.Unlock()
		if !isCandidate {
			// Other nodes schedule only if all candidates are slow or gone.
			n.sleep(nonCandidateCheckInterval)
			continue
		}
		lateness, duration := sleep(liveness.TimerLagInterval), probe.run()
		n.mutex.Lock()
		changed := n.slowness.Observe(n.now(), lateness, duration)
		state := n.slowness
		n.mutex.Unlock()
		if changed {
			n.reportSlowness(state)
		}
	}
}

// sleepLateness sleeps and returns how late the sleep ended.
func sleepLateness(duration time.Duration) time.Duration {
	start := time.Now()
	time.Sleep(duration)
	return time.Since(start) - duration
}

// workProbeBytes is the length of the input of the fixed work, a few microseconds on a healthy
// machine.
const workProbeBytes = 16 << 10

// workProbe is a fixed piece of work that needs only the processor.
type workProbe struct {
	content []byte
	sum     uint64
}

func newWorkProbe() *workProbe { return &workProbe{content: make([]byte, workProbeBytes)} }

// run does the work and returns how long it took.
func (p *workProbe) run() time.Duration {
	start := time.Now()
	p.sum += xxhash.Sum64(p.content)
	return time.Since(start)
}

// reportSlowness logs and announces that this node became slow or recovered.
func (n *Node) reportSlowness(state liveness.SlowNodeDetector) {
	outcome := "well"
	if state.Slow() {
		outcome = "slow"
		n.counter("slowness.turned_slow").Inc(1)
	}
	n.log.Write(eventlog.Event{Kind: "slowness", Outcome: outcome, Detail: fmt.Sprintf("timers %v late, fixed work takes %.1f times the usual time", state.TimerLag(), state.Slowdown())})
	n.sendHeartbeats()
	n.selectScheduler()
}
