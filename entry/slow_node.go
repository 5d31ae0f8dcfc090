package entry

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
)

// juniorPause is the time between looks whether a node that is not senior has become so. Each
// look wakes the process, which is paid for, and most nodes of a large fleet are not senior.
const nonCandidateCheckInterval = time.Second

// slowNodeLoop measures by how much the timers of a node that may schedule are late, and tells
// all nodes at once when it turns slow or well.
func (n *Node) slowNodeLoop() {
	gauge := newWorkProbe()
	sleep := n.deps.Sleep
	if sleep == nil {
		sleep = sleepLateness
	}
	for n.ctx.Err() == nil {
		n.mutex.Lock()
		senior := n.isCandidate
		n.mutex.Unlock()
		if !senior {
			// Others schedule while any of the senior nodes lives.
			n.sleep(nonCandidateCheckInterval)
			continue
		}
		late, took := sleep(liveness.TimerLagInterval), gauge.run()
		n.mutex.Lock()
		changed := n.slowness.Observe(n.now(), late, took)
		state := n.slowness
		n.mutex.Unlock()
		if changed {
			n.reportSlowness(state)
		}
	}
}

// oversleep pauses and returns how late that ended.
func sleepLateness(pause time.Duration) time.Duration {
	begun := time.Now()
	time.Sleep(pause)
	return time.Since(begun) - pause
}

// gaugeBytes is what the fixed work goes over: 2 to 3 microseconds on a machine in order,
// fifty times a second.
const workProbeBytes = 16 << 10

// gauge is a fixed piece of work that needs a processor and nothing else.
type workProbe struct {
	content []byte
	sum     uint64
}

func newWorkProbe() *workProbe { return &workProbe{content: make([]byte, workProbeBytes)} }

// run does the work and returns how long it took.
func (g *workProbe) run() time.Duration {
	begun := time.Now()
	g.sum += xxhash.Sum64(g.content)
	return time.Since(begun)
}

// noteSlow tells that this node turned slow, or is not any more.
func (n *Node) reportSlowness(state liveness.SlowNodeDetector) {
	outcome := "well"
	if state.Slow() {
		outcome = "slow"
		n.counter("slowness.turned_slow").Inc(1)
	}
	n.log.Write(eventlog.Event{Kind: "slowness", Outcome: outcome, Detail: fmt.Sprintf("timers %v late, work %.1f times as long", state.TimerLag(), state.Slowdown())})
	n.sendHeartbeats()
	n.selectScheduler()
}
