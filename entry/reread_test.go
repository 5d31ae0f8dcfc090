package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/structs"
)

// Guards against a read that started before a request being recorded as its answer, even if both
// happen in the same instant.
func TestRereadIsAnsweredOnlyByALaterRead(t *testing.T) {
	g := gomega.NewWithT(t)
	var r rereads
	g.Expect(r.status(time.Second)).To(gomega.BeNil())
	beforeBoth := r.last
	r.add(time.Second, rereadNewEra)
	between := r.last
	r.add(time.Second, rereadRestoreWindowEnded)
	g.Expect(r.complete(beforeBoth)).To(gomega.BeEmpty())
	g.Expect(r.status(3 * time.Second)).To(gomega.Equal(&RereadStatus{Reason: "new-era", AgeMS: 2000, Count: 2}))
	g.Expect(r.complete(between)).To(gomega.Equal([]rereadRequest{{number: 1, reason: rereadNewEra, requestedAt: time.Second, count: 1}}))
	g.Expect(r.status(3 * time.Second)).To(gomega.Equal(&RereadStatus{Reason: "restore-window-ended", AgeMS: 2000, Count: 1}))
	g.Expect(r.complete(between)).To(gomega.BeEmpty(), "answered twice")
	g.Expect(r.complete(r.last)).To(gomega.HaveLen(1))
	g.Expect(r.status(3 * time.Second)).To(gomega.BeNil())
}

// Guards against requests that accumulate without a bound, or are lost, at a node that makes no
// complete read.
func TestPendingRereadsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var r rereads
	for i := range 100 {
		r.add(time.Duration(i)*time.Second, rereadStoreFailed)
	}
	beforeLast := r.last - 1
	g.Expect(r.pending).To(gomega.HaveLen(maxPendingRereads))
	g.Expect(r.status(100 * time.Second)).To(gomega.Equal(&RereadStatus{Reason: "store-failed", AgeMS: 100_000, Count: 100}))
	g.Expect(r.complete(beforeLast)).To(gomega.HaveLen(maxPendingRereads-1), "the merged requests include one that is later than the read")
	g.Expect(r.status(100 * time.Second).Count).To(gomega.Equal(100 - maxPendingRereads + 1))
	g.Expect(r.complete(r.last)).To(gomega.HaveLen(1))
}

// rereadDirectory is a directory whose complete reads call onRead before they return.
type rereadDirectory struct {
	outside.Directory
	onRead func()
}

func (d *rereadDirectory) Read(context.Context, outside.Scope, structs.StorePosition, int64) (*outside.Update, error) {
	d.onRead()
	return &outside.Update{Complete: true}, nil
}

// Guards against requests that leave no trace in the log and the metrics, and against reads recorded
// as their answer that do not cover the whole store or started earlier.
func TestRereadIsLoggedAndMeasured(t *testing.T) {
	g := gomega.NewWithT(t)
	var output bytes.Buffer
	log := eventlog.New("n", &output)
	now := time.Duration(0)
	directory := &rereadDirectory{onRead: func() {}}
	n := New(&Settings{Name: "n"}, Dependencies{Log: log, Directory: directory, Now: func() time.Duration { return now }})
	request := func(reason rereadReason) {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.requestReread(reason)
	}
	read := func(scope outside.Scope) {
		now += 100 * time.Millisecond
		_, err := n.read(scope)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	n.setCancelWatch(func() {})
	request(rereadNewEra)
	n.recordWatchEnd()
	read(outside.ScopeReplicas)
	directory.onRead = func() { request(rereadRestoreWindowEnded) }
	read(outside.ScopeAll)
	g.Expect(n.Status().Reread).To(gomega.Equal(&RereadStatus{Reason: "restore-window-ended", Count: 1}))
	directory.onRead = func() {}
	read(outside.ScopeAll)
	g.Expect(n.Status().Reread).To(gomega.BeNil())
	g.Expect(n.counter("store.rereads").Count()).To(gomega.Equal(int64(2)))
	histogram := n.metrics.Get("store_reread_ms").(interface {
		Count() int64
		Max() int64
	})
	g.Expect(histogram.Count()).To(gomega.Equal(int64(2)))
	g.Expect(histogram.Max()).To(gomega.Equal(int64(200)))
	log.Close()
	type line struct {
		outcome, reason, detail string
		ageMS                   int64
	}
	var lines []line
	for decoder := json.NewDecoder(&output); decoder.More(); {
		var event eventlog.Event
		g.Expect(decoder.Decode(&event)).To(gomega.Succeed())
		if event.Kind == "store.reread" {
			lines = append(lines, line{event.Outcome, event.Reason, event.Detail, event.AgeMS})
		}
	}
	g.Expect(lines).To(gomega.Equal([]line{
		{"requested", "new-era", "watch in progress", 0},
		{"requested", "restore-window-ended", "no watch in progress", 0},
		{"done", "new-era", "", 200},
		{"done", "restore-window-ended", "", 100},
	}))
}
