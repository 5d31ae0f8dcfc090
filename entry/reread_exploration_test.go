package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// maxStepsToWatch bounds the steps of the loop to a watch that nothing ends: those of the step in
// progress, and of two complete reads.
const maxStepsToWatch = 24

// checkProgress checks that the loop gets to a watch, and owes no read then, if the node watches a store
// that is reachable and nothing else happens.
func (m *rereadModel) checkProgress() error {
	rest := m.clone()
	rest.watches = true
	for range maxStepsToWatch {
		if rest.phase == loopWatches && !rest.isWatchCanceled {
			if rest.isReadOwed() {
				return errors.New("a watch goes on although a read is requested")
			}
			return nil
		}
		if err := rest.loopSteps()[0].run(rest); err != nil {
			return err
		}
	}
	return errors.New("the loop does not get to a watch")
}

// modelNode is a visited state and the step that led to it.
type modelNode struct {
	model  *rereadModel
	before *modelNode
	step   string
	depth  int
}

// course returns the steps to the state.
func (n *modelNode) course() string {
	var steps []string
	for ; n.before != nil; n = n.before {
		steps = append(steps, n.step)
	}
	slices.Reverse(steps)
	return strings.Join(steps, ", ")
}

// exploreRereads visits the states in the order of the shortest course to them. It returns their number,
// the length of the longest of these courses, and the first violation.
func exploreRereads(variant *rereadVariant) (states, depth int, violation error) {
	start := &rereadModel{variant: variant, era: 1, storeEra: 1, needsFirstRead: true}
	queue := []*modelNode{{model: start}}
	visited := map[modelKey]bool{start.key(): true}
	for len(queue) > 0 {
		node := queue[0]
		queue[0], queue = nil, queue[1:]
		depth = node.depth
		for _, step := range append(node.model.loopSteps(), node.model.otherSteps()...) {
			next := &modelNode{model: node.model.clone(), before: node, step: step.name, depth: node.depth + 1}
			err := step.run(next.model)
			key := next.model.key()
			if err == nil && visited[key] {
				continue
			}
			if err == nil {
				err = next.model.checkProgress()
			}
			if err != nil {
				return len(visited), next.depth, fmt.Errorf("%w, after %s", err, next.course())
			}
			visited[key] = true
			queue = append(queue, next)
		}
	}
	return len(visited), depth, nil
}

// Guards against a request for a complete read that is lost, that is answered by a read that began before
// it or is of an earlier era, or that keeps the loop from watching, on any course of requests, reads,
// watches, restores and changes of the role.
func TestRereadsOnAllCourses(t *testing.T) {
	gomega.NewWithT(t).Expect(rereadReasons).To(gomega.HaveLen(modelReasonCount))
	states, depth, violation := exploreRereads(&rereadVariant{})
	t.Logf("%d states, at most %d steps from the start", states, depth)
	gomega.NewWithT(t).Expect(violation).NotTo(gomega.HaveOccurred())
}

// Guards against a check of all courses that finds no violation because it is too weak.
func TestBrokenRereadsAreFoundOnCourses(t *testing.T) {
	for _, variant := range []rereadVariant{
		{name: "requests are cleared as a watch begins", violation: "a watch begins before the requested read",
			beginWatch: func(r *rereads, cancel context.CancelFunc) bool {
				r.drop()
				return r.beginWatch(cancel)
			}},
		{name: "a watch begins while a request is pending", violation: "a watch begins before the requested read",
			beginWatch: func(r *rereads, cancel context.CancelFunc) bool {
				r.cancelWatch, r.isWatchCanceled = cancel, false
				return true
			}},
		{name: "a read answers requests made after it began", violation: "is answered by a read of era 1 that does not satisfy it",
			answer: func(r *rereads, era int64) []rereadRequest {
				r.beginRead()
				return r.answer(era)
			}},
		{name: "a response of an earlier era answers the request for a new one", violation: "request new-era of era 2 is answered by a read of era 1",
			answer: func(r *rereads, _ int64) []rereadRequest { return r.answer(math.MaxInt64) }},
		{name: "a response of an earlier era is applied", violation: "a watch begins before the requested read", appliesEarlierEras: true},
		{name: "a watch that returns an update loses requests", violation: "a watch begins before the requested read",
			endWatch: func(r *rereads, hasUpdate bool) bool {
				if hasUpdate {
					r.drop()
				}
				return r.endWatch()
			}},
		{name: "a request does not end the watch", violation: "a watch goes on although a read is requested",
			request: func(r *rereads, reason rereadReason, era int64) {
				cancel := r.cancelWatch
				r.cancelWatch = nil
				r.request(0, reason, era)
				r.cancelWatch = cancel
			}},
		{name: "a request is never answered", violation: "stays pending after the read that satisfies it",
			answer: func(*rereads, int64) []rereadRequest { return nil }},
		{name: "the loop reads after each watch", violation: "a read begins without a reason", readsAfterWatch: true},
	} {
		t.Run(variant.name, func(t *testing.T) {
			states, depth, violation := exploreRereads(&variant)
			t.Logf("%d states, %d steps: %v", states, depth, violation)
			gomega.NewWithT(t).Expect(violation).To(gomega.MatchError(gomega.ContainSubstring(variant.violation)))
		})
	}
}
