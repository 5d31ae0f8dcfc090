package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/structs"
)

// requestNamed returns an empty record of the request.
func requestNamed(name string) poisonrecords.Record {
	return poisonrecords.Record{Fingerprint: fingerprint.Of("office", "POST", "a.example", "/"+name, nil), Service: "engines", Route: "chat"}
}

// newTestTracker returns a tracker that allows trials.
func newTestTracker() *Tracker {
	tracker := NewTracker(DefaultPolicy())
	tracker.SetTrialsAllowed(true)
	return tracker
}

// crash records that count incarnations ended under the request, which was assigned to each after
// the previous crash.
func crash(tracker *Tracker, request poisonrecords.Record, count int) {
	for i := range count {
		at := structs.Instant(i+1) * time.Second
		tracker.RecordCrash(at, request, poisonrecords.Incarnation(fmt.Sprint(request.Fingerprint, i)), at-time.Millisecond)
	}
}

func (t *Tracker) stateAt(now structs.Instant, request poisonrecords.Record) State {
	state, _ := t.State(now, request.Fingerprint)
	return state
}

// Several attempts of a request in one incarnation must count as one crash.
func TestRequestIsBlockedAfterThreeIncarnationsNotThreeAttempts(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker, request := newTestTracker(), requestNamed("x")
	g.Expect(tracker.stateAt(0, request)).To(gomega.Equal(Clear))
	for range 5 {
		_, _ = tracker.RecordCrash(time.Second, request, "a/1", 0) // five attempts ran in one incarnation
	}
	g.Expect(tracker.stateAt(time.Second, request)).To(gomega.Equal(Suspect))
	_, _ = tracker.RecordCrash(2*time.Second, request, "b/1", 0)
	g.Expect(tracker.stateAt(2*time.Second, request)).To(gomega.Equal(Suspect))
	state, isNew := tracker.RecordCrash(3*time.Second, request, "c/1", 0)
	g.Expect(state).To(gomega.Equal(Blocked))
	g.Expect(isNew).To(gomega.BeTrue())
	g.Expect(tracker.stateAt(3*time.Second, requestNamed("y"))).To(gomega.Equal(Clear))
}

// A replica may restart and crash again before this node observes the restart. A request assigned
// after the first crash ran in the new incarnation, which must be counted.
func TestUnobservedIncarnationIsCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker, request := newTestTracker(), requestNamed("x")
	for i := range 3 {
		at := structs.Instant(i+1) * time.Second
		_, _ = tracker.RecordCrash(at, request, "a/1", at-100*time.Millisecond)
	}
	g.Expect(tracker.stateAt(3*time.Second, request)).To(gomega.Equal(Blocked))
}

// Without clearing, unrelated crashes would add up to a block of an innocent request.
func TestCompleteAnswerClearsRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker, request := newTestTracker(), requestNamed("x")
	crash(tracker, request, 2)
	g.Expect(tracker.RecordSuccess(3*time.Second, request.Fingerprint)).To(gomega.BeTrue())
	g.Expect(tracker.stateAt(3*time.Second, request)).To(gomega.Equal(Clear))
	_, _ = tracker.RecordCrash(4*time.Second, request, "late", 0)
	g.Expect(tracker.stateAt(4*time.Second, request)).To(gomega.Equal(Suspect))
	g.Expect(tracker.RecordSuccess(5*time.Second, requestNamed("y").Fingerprint)).To(gomega.BeFalse())
}

// Each trial of a poison request costs a replica, so that trials must be bounded and spaced.
func TestBlockedRequestIsTriedTwiceAtMost(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker, request := newTestTracker(), requestNamed("x")
	crash(tracker, request, 3)
	tried := 0
	for now := 3 * time.Second; now < 10*time.Minute; now += 100 * time.Millisecond {
		state, retryAfter := tracker.State(now, request.Fingerprint)
		if state == OnTrial {
			tracker.RecordTrial(now, request.Fingerprint)
			tried++
			_, _ = tracker.RecordCrash(now, request, poisonrecords.Incarnation(fmt.Sprint("trial", tried)), now)
		} else {
			g.Expect(retryAfter).To(gomega.BeNumerically(">=", DefaultPolicy().FirstTrialDelay))
		}
		tracker.Sweep(now)
	}
	g.Expect(tried).To(gomega.Equal(DefaultPolicy().Trials))
	g.Expect(tracker.stateAt(10*time.Minute, request)).To(gomega.Equal(Blocked), "records of blocked requests do not expire")
}

// A trial that reaches no replica must not use up the trials; another replica may run it at once.
func TestTrialThatReachedNoReplicaContinues(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker, request := newTestTracker(), requestNamed("x")
	crash(tracker, request, 3)
	now := 3*time.Second + DefaultPolicy().FirstTrialDelay
	g.Expect(tracker.stateAt(now, request)).To(gomega.Equal(OnTrial))
	tracker.RecordTrial(now, request.Fingerprint)
	g.Expect(tracker.stateAt(now, request)).To(gomega.Equal(Blocked))
	tracker.CancelTrial(request.Fingerprint)
	g.Expect(tracker.stateAt(now, request)).To(gomega.Equal(OnTrial))
	tracker.RecordTrial(now, request.Fingerprint)
	g.Expect(tracker.Shared(now)[0].Trials).To(gomega.Equal(1))
	g.Expect(tracker.RecordSuccess(now, request.Fingerprint)).To(gomega.BeTrue())
	g.Expect(tracker.stateAt(now, request)).To(gomega.Equal(Clear))
}

// The parts of a partitioned fleet must not each run trials.
func TestOnlyNodeThatMaySendTrialsSendsThem(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker, request := newTestTracker(), requestNamed("x")
	crash(tracker, request, 3)
	tracker.SetTrialsAllowed(false)
	g.Expect(tracker.stateAt(time.Hour, request)).To(gomega.Equal(Blocked))
}

// A policy with a zero threshold must block nothing, including requests blocked before.
func TestZeroCrashThresholdDisablesBlocking(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker, request := newTestTracker(), requestNamed("x")
	crash(tracker, request, 3)
	tracker.SetPolicy(Policy{})
	g.Expect(tracker.stateAt(4*time.Second, request)).To(gomega.Equal(Clear))
	crash(tracker, requestNamed("y"), 3)
	_, found := tracker.Get(requestNamed("y").Fingerprint)
	g.Expect(found).To(gomega.BeFalse())
}

// Trackers that merged the same shared records must agree, whatever the order and number of the
// merges and whatever was cleared in between.
func TestTrackersConvergeInAnyOrderOfMerges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*Tracker{newTestTracker(), newTestTracker(), newTestTracker()}
		requests := []poisonrecords.Record{requestNamed("x"), requestNamed("y")}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			node := nodes[rapid.IntRange(0, 2).Draw(t, "node")]
			request := requests[rapid.IntRange(0, 1).Draw(t, "request")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				_, _ = node.RecordCrash(0, request, poisonrecords.Incarnation(fmt.Sprint("incarnation", rapid.IntRange(0, 9).Draw(t, "incarnation"))), -1)
			case 2:
				node.RecordSuccess(0, request.Fingerprint)
			case 3:
				node.RecordTrial(0, request.Fingerprint)
			case 4:
				node.Merge(0, nodes[rapid.IntRange(0, 2).Draw(t, "from")].Shared(0))
			}
		}
		for range 2 {
			for _, node := range nodes {
				for _, other := range nodes {
					node.Merge(0, other.Shared(0))
				}
			}
		}
		for _, node := range nodes[1:] {
			for _, request := range requests {
				first, _ := nodes[0].Get(request.Fingerprint)
				record, _ := node.Get(request.Fingerprint)
				if isShared := first.IsPersistent || len(first.Incarnations) >= minSharedIncarnations; isShared && fmt.Sprint(first.Incarnations, first.Generation, first.Trials) != fmt.Sprint(record.Incarnations, record.Generation, record.Trials) {
					t.Fatalf("records differ between nodes: %v and %v", first, record)
				}
			}
		}
	})
}

// A stale record from a peer must not block a request that was cleared since.
func TestClearedRequestIsNotBlockedByStaleRecord(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker, other, request := newTestTracker(), newTestTracker(), requestNamed("x")
	crash(tracker, request, 3)
	other.Merge(4*time.Second, tracker.Shared(4*time.Second))
	g.Expect(other.stateAt(4*time.Second, request)).To(gomega.Equal(Blocked))
	tracker.Unblock(5*time.Second, request.Fingerprint)
	tracker.Merge(6*time.Second, other.Shared(6*time.Second))
	g.Expect(tracker.stateAt(6*time.Second, request)).To(gomega.Equal(Clear))
	g.Expect(tracker.Summary()).NotTo(gomega.Equal(other.Summary()))
	other.Merge(6*time.Second, tracker.Shared(6*time.Second))
	g.Expect(other.stateAt(6*time.Second, request)).To(gomega.Equal(Clear))
	g.Expect(tracker.Summary()).To(gomega.Equal(other.Summary()))
}

// Nodes that expire a suspect at different times must not restore it from each other forever.
func TestSuspectExpiresAtAllNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker, other, request := newTestTracker(), newTestTracker(), requestNamed("x")
	crash(tracker, request, 2)
	for now := 3 * time.Second; now < 2*recordRetention+time.Minute; now += time.Second {
		other.Merge(now, tracker.Shared(now))
		tracker.Merge(now+300*time.Millisecond, other.Shared(now))
		tracker.Sweep(now)
		other.Sweep(now + 300*time.Millisecond)
	}
	g.Expect(tracker.Shared(0)).To(gomega.BeEmpty())
	g.Expect(other.Shared(0)).To(gomega.BeEmpty())
}

// A caller that invents requests must neither exhaust memory nor evict blocked requests.
func TestTrackerIsBoundedAndKeepsBlockedRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := newTestTracker()
	crash(tracker, requestNamed("blocked"), 3)
	for i := range 2 * maxRecords {
		crash(tracker, requestNamed(fmt.Sprint(i)), 1)
	}
	g.Expect(len(tracker.entries)).To(gomega.BeNumerically("<=", maxRecords))
	g.Expect(tracker.stateAt(0, requestNamed("blocked"))).To(gomega.Equal(Blocked))
	for i := range maxPersistentRecords + 10 {
		crash(tracker, requestNamed(fmt.Sprint("more", i)), 3)
	}
	g.Expect(tracker.Persistent(0)).To(gomega.HaveLen(maxPersistentRecords), "the records must fit into one value of the store")
}

// Requests without a fingerprint can't be distinguished and must not share a record.
func TestRequestWithoutFingerprintIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := newTestTracker()
	_, isNew := tracker.RecordCrash(0, poisonrecords.Record{}, "a/1", 0)
	g.Expect(isNew).To(gomega.BeFalse(), "a request without a fingerprint must not be recorded")
}
