package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/memnet"
)

const (
	// cutsPerCourse is the number of cuts of a course, one after the other.
	cutsPerCourse = 3
	// minCutTime and cutTimeRange bound how long a cut lasts.
	minCutTime   = 5 * time.Second
	cutTimeRange = 4 * time.Second
	// maxCutPause bounds the time between two cuts.
	maxCutPause = 3 * time.Second
	// judgedTime is how long a node must have been undisturbed for its callers to be counted.
	judgedTime = 3 * time.Second
)

// courseTry is one first try of a caller.
type courseTry struct {
	node    string
	sentAt  time.Time
	endedAt time.Time
	served  bool
}

// courseCut is a cut of the paths of nodes to all replicas.
type courseCut struct {
	nodes      []string
	how        memnet.PathCut
	start, end time.Time
}

// pathCourse is what happens in a course: cuts one after the other, and nodes that are restarted or suspended
// meanwhile.
type pathCourse struct {
	*pathScenario
	random *rand.Rand

	mutex        sync.Mutex
	tries        []courseTry
	cuts         []courseCut
	disturbances []disturbance
}

// disturbance is a restart or a suspension of a node.
type disturbance struct {
	node       string
	start, end time.Time
}

// play cuts nodes off and disturbs others until the course ends, and waits for the replies to all requests.
func (c *pathCourse) play() {
	defer runInBackground(c.send)()
	time.Sleep(2 * time.Second)
	for range cutsPerCourse {
		c.cut()
		time.Sleep(time.Duration(c.random.Int64N(int64(maxCutPause))))
	}
}

// send sends first tries to all nodes in turn until done is closed.
func (c *pathCourse) send(done <-chan struct{}) {
	interval := time.Second / time.Duration([]int{15, 60, 120}[c.random.IntN(3)])
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
		}
		node, path := fleetHosts[i%len(fleetHosts)], mixedPaths[(i/len(fleetHosts))%len(mixedPaths)]
		group.Go(func() {
			try := courseTry{node: node, sentAt: time.Now()}
			got := c.do(node, http.MethodPost, path, nil)
			try.endedAt, try.served = time.Now(), got.status == http.StatusOK && got.complete
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.tries = append(c.tries, try)
		})
		time.Sleep(interval)
	}
}

// cut cuts the paths of drawn nodes to all replicas for a drawn time, and may restart or suspend a drawn node
// meanwhile.
func (c *pathCourse) cut() {
	count := 1 + c.random.IntN(len(fleetHosts)-1)
	nodes := make([]string, 0, count)
	for _, index := range c.random.Perm(len(fleetHosts))[:count] {
		nodes = append(nodes, fleetHosts[index])
	}
	how := memnet.PathCuts[c.random.IntN(len(memnet.PathCuts))]
	duration := minCutTime + time.Duration(c.random.Int64N(int64(cutTimeRange)))
	end := time.Now().Add(duration)
	c.fabric.CutPaths(nodes, c.replicaHosts, how)
	c.cuts = append(c.cuts, courseCut{nodes: nodes, how: how, start: time.Now(), end: end})
	time.Sleep(time.Duration(c.random.Int64N(int64(duration / 2))))
	c.disturb(fleetHosts[c.random.IntN(len(fleetHosts))])
	time.Sleep(time.Until(end))
	c.fabric.Heal()
}

// disturb restarts or suspends the node, or does nothing, as drawn.
func (c *pathCourse) disturb(node string) {
	start := time.Now()
	switch c.random.IntN(3) {
	case 0:
		c.deployment.Node(node).Kill()
		c.Expect(c.deployment.StartNode(node, pathZones[indexOf(fleetHosts, node)%len(pathZones)])).To(gomega.Succeed())
	case 1:
		c.fabric.Pause(node)
		time.Sleep(time.Duration(100+c.random.IntN(1500)) * time.Millisecond)
		c.fabric.Resume(node)
	default:
		return
	}
	c.disturbances = append(c.disturbances, disturbance{node: node, start: start, end: time.Now()})
}

// isUndisturbed reports whether the node was neither restarted nor suspended from judgedTime before the try until
// its end.
func (c *pathCourse) isUndisturbed(try courseTry) bool {
	return !slices.ContainsFunc(c.disturbances, func(d disturbance) bool {
		return d.node == try.node && try.endedAt.After(d.start) && try.sentAt.Before(d.end.Add(judgedTime))
	})
}

// judge returns the first tries during the cut, from cutGraceTime after its start, at its nodes and at the others.
func (c *pathCourse) judge(cut courseCut) (atCut, atOthers firstTries) {
	for _, try := range c.tries {
		if try.sentAt.Before(cut.start.Add(cutGraceTime)) || try.endedAt.After(cut.end) || !c.isUndisturbed(try) {
			continue
		}
		counted := &atOthers
		if slices.Contains(cut.nodes, try.node) {
			counted = &atCut
		}
		counted.sent++
		if try.served {
			counted.served++
		}
	}
	return atCut, atOthers
}

// Guards against nodes that fail their callers when they lose their paths to all replicas again and again, while
// nodes with and without paths are restarted and suspended, on drawn courses.
func TestCallersAreServedAlikeOnCoursesOfCuts(t *testing.T) {
	for seed := *firstCourse; seed < *firstCourse+uint64(*courseCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runPathScenario(t, func(s *pathScenario) {
				course := &pathCourse{pathScenario: s, random: rand.New(rand.NewPCG(seed, 3))}
				course.play()
				judged := 0
				for _, cut := range course.cuts {
					atCut, atOthers := course.judge(cut)
					what := fmt.Sprintf("%v cut of %d nodes for %v: first tries served there: %d of %d, at the others: %d of %d", cut.how, len(cut.nodes), cut.end.Sub(cut.start), atCut.served, atCut.sent, atOthers.served, atOthers.sent)
					t.Log(what)
					s.Expect(atCut.sent-atCut.served).To(gomega.BeNumerically("<=", atCut.mayFail()), what)
					if atCut.sent > 0 { // none if the only node of a cut was disturbed until it ended
						s.Expect(atCut.servedShare()).To(gomega.BeNumerically(">=", atOthers.servedShare()*2/3), what)
					}
					judged += atCut.sent
				}
				s.Expect(judged).To(gomega.BeNumerically(">", 0))
			})
		})
	}
}
