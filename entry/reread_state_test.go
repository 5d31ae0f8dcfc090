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

// Guards against a read that started before a request being taken for its answer, even if both happen in
// the same instant.
func TestRereadIsAnsweredOnlyByALaterRead(t *testing.T) {
	g := gomega.NewWithT(t)
	var r rereads
	g.Expect(r.status(time.Second)).To(gomega.BeNil())
	r.beginRead()
	r.request(time.Second, rereadStoreFailed, 1)
	g.Expect(r.answer(1)).To(gomega.BeEmpty())
	r.beginRead()
	r.request(time.Second, rereadRestoreWindowEnded, 1)
	g.Expect(r.status(3 * time.Second).AgeMS).To(gomega.Equal(int64(2000)))
	g.Expect(r.status(3 * time.Second).Count).To(gomega.Equal(2))
	g.Expect(reasonsOf(r.answer(1))).To(gomega.Equal([]rereadReason{rereadStoreFailed}))
	g.Expect(r.status(3 * time.Second)).To(gomega.Equal(&RereadStatus{Reason: "restore-window-ended", AgeMS: 2000, Count: 1}))
	g.Expect(r.answer(1)).To(gomega.BeEmpty(), "answered twice")
	r.beginRead()
	g.Expect(r.answer(1)).To(gomega.HaveLen(1))
	g.Expect(r.status(3 * time.Second)).To(gomega.BeNil())
}

// reasonsOf returns the reasons of the requests.
func reasonsOf(requests []rereadRequest) []rereadReason {
	var reasons []rereadReason
	for _, request := range requests {
		reasons = append(reasons, request.reason)
	}
	return reasons
}

// Guards against a second read of a store whose new era the first one reported, and against a response
// of the earlier era being taken for the answer.
func TestReadOfANewEraAnswersTheRequestForIt(t *testing.T) {
	g := gomega.NewWithT(t)
	var r rereads
	r.beginRead()
	r.request(time.Second, rereadNewEra, 2)
	r.request(time.Second, rereadRestoreWindowEnded, 2)
	g.Expect(r.answer(1)).To(gomega.BeEmpty())
	g.Expect(reasonsOf(r.answer(2))).To(gomega.Equal([]rereadReason{rereadNewEra}))
	g.Expect(r.isPending()).To(gomega.BeTrue())
}

// Guards against a watch that begins while a request is pending, which would lose the request, and
// against a failed watch being taken for one that a request ended.
func TestNoWatchBeginsWhileARereadIsPending(t *testing.T) {
	g := gomega.NewWithT(t)
	var r rereads
	canceled := 0
	cancel := func() { canceled++ }
	g.Expect(r.beginWatch(cancel)).To(gomega.BeTrue())
	g.Expect(r.endWatch()).To(gomega.BeFalse())
	g.Expect(r.request(0, rereadStoreFailed, 1)).To(gomega.BeFalse())
	g.Expect(r.beginWatch(cancel)).To(gomega.BeFalse())
	g.Expect(r.endWatch()).To(gomega.BeFalse())
	r.beginRead()
	r.answer(1)
	g.Expect(r.beginWatch(cancel)).To(gomega.BeTrue())
	g.Expect(r.request(0, rereadStoreFailed, 1)).To(gomega.BeTrue())
	g.Expect(r.endWatch()).To(gomega.BeTrue())
	g.Expect(canceled).To(gomega.Equal(1))
}

// Guards against requests that accumulate without a bound, or are lost, at a node that makes no
// complete read.
func TestPendingRereadsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var r rereads
	for i := range 100 {
		r.request(time.Duration(i)*time.Second, rereadStoreFailed, 1)
		if i == 98 {
			r.beginRead()
		}
	}
	g.Expect(r.pending).To(gomega.HaveLen(1))
	g.Expect(r.status(100 * time.Second)).To(gomega.Equal(&RereadStatus{Reason: "store-failed", AgeMS: 100_000, Count: 100}))
	answered := r.answer(1)
	g.Expect(answered).To(gomega.HaveLen(1))
	g.Expect(answered[0].count).To(gomega.Equal(99))
	g.Expect(r.status(100*time.Second)).To(gomega.Equal(&RereadStatus{Reason: "store-failed", AgeMS: 1000, Count: 1}), "the latest request came after the read")
	r.beginRead()
	g.Expect(r.answer(1)).To(gomega.HaveLen(1))
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
// as their answer that started earlier.
func TestRereadIsLoggedAndMeasured(t *testing.T) {
	g := gomega.NewWithT(t)
	var output bytes.Buffer
	log := eventlog.New("n", &output)
	now := time.Duration(0)
	directory := &rereadDirectory{onRead: func() {}}
	n := New(&Settings{Name: "n"}, Dependencies{Log: log, Directory: directory, Now: func() time.Duration { return now }})
	read := func(scope outside.Scope) {
		now += 100 * time.Millisecond
		n.beginReread()
		position, err := n.read(scope)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		n.recordReread(position)
	}
	n.beginWatch(func() {})
	n.requestReread(rereadStoreFailed)
	n.endWatch()
	directory.onRead = func() { n.requestReread(rereadRestoreWindowEnded) }
	read(outside.ScopeAll)
	now += 50 * time.Millisecond
	g.Expect(n.rereadAgeMS()).To(gomega.Equal(int64(50)))
	now -= 50 * time.Millisecond
	g.Expect(n.Status().Reread).To(gomega.Equal(&RereadStatus{Reason: "restore-window-ended", Count: 1}))
	directory.onRead = func() {}
	read(outside.ScopeAll)
	g.Expect(n.Status().Reread).To(gomega.BeNil())
	g.Expect(n.counter("store.rereads.store-failed").Count()).To(gomega.Equal(int64(1)))
	g.Expect(n.counter("store.rereads.restore-window-ended").Count()).To(gomega.Equal(int64(1)))
	histogram := n.metrics.Get("store_reread_ms").(interface {
		Count() int64
		Max() int64
	})
	g.Expect(histogram.Count()).To(gomega.Equal(int64(2)))
	g.Expect(histogram.Max()).To(gomega.Equal(int64(100)))
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
		{"requested", "store-failed", "watch in progress", 0},
		{"requested", "restore-window-ended", "no watch in progress", 0},
		{"done", "store-failed", "", 100},
		{"done", "restore-window-ended", "", 100},
	}))
}
