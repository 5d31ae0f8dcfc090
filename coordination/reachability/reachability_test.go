package reachability

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// observation is one step of an explored order.
type observation struct {
	replica string
	kind    observationKind
}

type observationKind int

const (
	connected observationKind = iota
	failed
	forwarded
)

func (o observation) String() string {
	return fmt.Sprint([...]string{"reach", "fail", "forward"}[o.kind], " ", o.replica)
}

// explored are the replicas of the explored orders.
var explored = []string{"a", "b", "c"}

// stepTime is the time between two steps.
const stepTime = time.Second

// pathHistory is what is known of a path from the observations alone.
type pathHistory struct {
	// lostAt is the step at which the path was lost, or -1; isForwarded is true if a peer reached the
	// replica since.
	lostAt      int
	isForwarded bool
}

// history checks a tracker against the guarantees of the package.
type history struct {
	paths map[string]*pathHistory
	// reachedAt is the last step at which any replica was reached, and inARow counts the successful
	// connects since the last failed one or the start of a partition.
	reachedAt, inARow int
	wasPartitioned    bool
}

func newHistory() *history {
	h := &history{paths: map[string]*pathHistory{}, reachedAt: -1}
	for _, replica := range explored {
		h.paths[replica] = &pathHistory{lostAt: -1}
	}
	return h
}

// record records the observation at the step.
func (h *history) record(step int, o observation) {
	path := h.paths[o.replica]
	switch o.kind {
	case connected:
		h.reachedAt = step
		h.inARow++
	case failed:
		h.inARow = 0
		path.lostAt = step
	case forwarded:
		path.isForwarded = path.isForwarded || path.lostAt >= 0
	}
}

// violation returns the guarantee that the tracker breaks after the step, or "".
func (h *history) violation(tracker *Tracker, now structs.Instant) string {
	isPartitioned := tracker.IsPartitioned()
	defer func() {
		if isPartitioned != h.wasPartitioned {
			h.inARow = 0
		}
		h.wasPartitioned = isPartitioned
	}()
	proven := 0
	for _, path := range h.paths {
		if path.isForwarded && path.lostAt > h.reachedAt {
			proven++
		}
	}
	if isPartitioned && !h.wasPartitioned && proven < minLostPaths {
		return "partitioned although it has reached a replica, or peers reached too few"
	}
	if !isPartitioned && h.wasPartitioned && h.inARow < minReachedReplicas {
		return "restored before it reached replicas in a row"
	}
	for replica, path := range h.paths {
		if !isPartitioned && tracker.IsForwarded(now, replica) && !path.isForwarded {
			return "forwarded although no peer reached the replica"
		}
	}
	return ""
}

// variant changes a tracker before or after each observation; the correct one changes nothing.
type variant struct {
	before, after func(t *Tracker, o observation)
}

// firstViolation applies all orders of observations of the replicas up to the length, and returns the first
// one after which a guarantee is broken, or nil.
func firstViolation(replicas []string, length int, changed variant) []string {
	var all []observation
	for _, replica := range replicas {
		for kind := connected; kind <= forwarded; kind++ {
			all = append(all, observation{replica, kind})
		}
	}
	var explore func(order []observation) []string
	explore = func(order []observation) []string {
		if broken := playOrder(order, changed); broken != nil {
			return broken
		}
		if len(order) == length {
			return nil
		}
		for _, next := range all {
			if broken := explore(append(slices.Clone(order), next)); broken != nil {
				return broken
			}
		}
		return nil
	}
	return explore(nil)
}

// playOrder returns the steps and the guarantee that the order breaks, or nil.
func playOrder(order []observation, changed variant) []string {
	tracker, known := NewTracker(func() float64 { return 0.5 }), newHistory()
	var steps []string
	for step, o := range order {
		now := structs.Instant(step+1) * stepTime
		if changed.before != nil {
			changed.before(tracker, o)
		}
		if o.kind == forwarded {
			tracker.RecordForwarded(o.replica)
		} else {
			tracker.RecordConnect(now, o.replica, o.kind == connected)
		}
		if changed.after != nil {
			changed.after(tracker, o)
		}
		known.record(step, o)
		steps = append(steps, o.String())
		if broken := known.violation(tracker, now); broken != "" {
			return append(steps, broken)
		}
	}
	return nil
}

// Guards against a node that gives up its paths without proof, or returns to them too early, in all orders
// of observations.
func TestGuaranteesHoldInAllOrders(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(firstViolation(explored, 5, variant{})).To(gomega.BeNil())
	g.Expect(firstViolation(explored[:2], 7, variant{})).To(gomega.BeNil(), "long enough for a partition and its end")
}

// The exploration must find each broken variant.
func TestBrokenVariantsAreFound(t *testing.T) {
	variants := map[string]variant{
		"forwards without a failed connect": {before: func(t *Tracker, o observation) {
			if o.kind == forwarded && t.lost[o.replica] == nil {
				t.lost[o.replica] = &path{}
			}
		}},
		"forgets that it reached a replica": {after: func(t *Tracker, _ observation) { t.reachedAt = -1 }},
		"returns after one success": {before: func(t *Tracker, o observation) {
			if o.kind == connected {
				t.reached = minReachedReplicas - 1
			}
		}},
		"partitioned by one path": {after: func(t *Tracker, o observation) {
			t.isPartitioned = t.isPartitioned || o.kind == forwarded && t.lost[o.replica] != nil
		}},
	}
	for name, broken := range variants {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			found := firstViolation(explored, 6, broken)
			g.Expect(found).NotTo(gomega.BeNil())
			t.Log(found)
		})
	}
}

// Paths become direct again one after the other after a partition, not all at once.
func TestPathsReturnSpreadAfterAPartition(t *testing.T) {
	g := gomega.NewWithT(t)
	next := 0
	shares := []float64{0.1, 0.5, 0.9}
	tracker := NewTracker(func() float64 { next++; return shares[next%len(shares)] })
	for _, replica := range explored {
		tracker.RecordConnect(0, replica, false)
		tracker.RecordForwarded(replica)
	}
	g.Expect(tracker.IsPartitioned()).To(gomega.BeTrue())
	for i := range minReachedReplicas {
		tracker.RecordConnect(time.Second, explored[i%len(explored)], true)
	}
	g.Expect(tracker.IsPartitioned()).To(gomega.BeFalse())
	var counts []int
	for at := time.Second; at <= time.Second+returnSpread; at += returnSpread / 4 {
		count := 0
		for _, replica := range explored {
			if !tracker.IsForwarded(at, replica) {
				count++
			}
		}
		counts = append(counts, count)
	}
	g.Expect(counts).To(gomega.Equal([]int{0, 1, 1, 2, 3}))
	tracker.RecordConnect(time.Second+returnSpread, "a", false)
	g.Expect(tracker.IsForwarded(time.Second+returnSpread, "a")).To(gomega.BeTrue(), "the path is lost again")
}

// Guards against a zone's only forwarder that gets the connections of all, and against one that is full.
func TestForwardersShareConnectionsByRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	none := func(string) bool { return false }
	candidates := []Forwarder{{Name: "near-full", Zone: "east", Free: minPreferredFree - 1}, {Name: "near", Zone: "east", Free: 200}, {Name: "far", Zone: "west", Free: 256}, {Name: "none", Zone: "east"}}
	chosen, found := ChooseForwarder(candidates, "east", "east", none, func(int) int { return 0 })
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(chosen.Name).To(gomega.Equal("near"))
	chosen, _ = ChooseForwarder(candidates, "east", "east", func(name string) bool { return name == "near" }, func(n int) int { return n - 1 })
	g.Expect(chosen.Name).To(gomega.Equal("far"), "the more room of two among the rest")
	slow := append([]Forwarder{{Name: "slow", Zone: "east", Free: 256, IsSlow: true}}, candidates[3])
	chosen, _ = ChooseForwarder(append(slow, candidates[2]), "east", "east", none, func(int) int { return 0 })
	g.Expect(chosen.Name).To(gomega.Equal("far"), "rather than a slow one")
	chosen, _ = ChooseForwarder(slow, "east", "east", none, func(int) int { return 0 })
	g.Expect(chosen.Name).To(gomega.Equal("slow"), "rather than none")
	stopping := []Forwarder{{Name: "stopping", Zone: "east", Free: 256, IsStopping: true}}
	chosen, _ = ChooseForwarder(append(stopping, slow...), "east", "east", none, func(int) int { return 0 })
	g.Expect(chosen.Name).To(gomega.Equal("slow"), "rather than a stopping one")
	chosen, _ = ChooseForwarder(append(stopping, candidates[3]), "east", "east", none, func(int) int { return 0 })
	g.Expect(chosen.Name).To(gomega.Equal("stopping"), "rather than none")
	_, found = ChooseForwarder(candidates[3:], "east", "east", none, func(int) int { return 0 })
	g.Expect(found).To(gomega.BeFalse(), "without room")
}
