package eventlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
)

// stalledWriter blocks until it is released.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(content []byte) (int, error) {
	<-s.release
	return len(content), nil
}

// A blocked writer must not block Write, and the lost events must be counted.
func TestBlockedWriterDropsEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		writer := stalledWriter{release: make(chan struct{})}
		log := New("n", writer)
		const lines = 3 * queueCapacity
		for range lines {
			log.Write(Event{Kind: "x", Detail: strings.Repeat("y", 100)})
		}
		synctest.Wait()
		g.Expect(log.Lost()).To(gomega.BeNumerically(">", lines-2*queueCapacity))
		close(writer.release)
		log.Close()
	})
}

// Close must write the queued events.
func TestCloseWritesQueuedEventsAsJSON(t *testing.T) {
	g := gomega.NewWithT(t)
	var buffer bytes.Buffer
	log := New("n", &buffer)
	log.Write(Event{Kind: "request.ended", Request: "r1", Outcome: "not-run"})
	log.Write(Event{Kind: "process.stop"})
	log.Close()
	lines := strings.Split(strings.TrimSpace(buffer.String()), "\n")
	g.Expect(lines).To(gomega.HaveLen(2))
	var event Event
	g.Expect(json.Unmarshal([]byte(lines[0]), &event)).To(gomega.Succeed())
	g.Expect(event.Request).To(gomega.Equal("r1"))
	g.Expect(event.Node).To(gomega.Equal("n"))
}

// At ten times the maximum rate a tenth of the successful requests must be kept, always the same
// ones, and all of them once the load is back to normal.
func TestSuccessfulRequestsAreSampledUnderLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	log := New("n", nil)
	defer log.Close()
	g.Expect(log.Keep("any")).To(gomega.BeTrue())
	log.LeftOut(10 * maxLinesPerSecond)
	g.Expect(log.sampler.adjust()).To(gomega.BeEquivalentTo(10 * maxLinesPerSecond))
	kept := 0
	for i := range 2000 {
		id := fmt.Sprint("request", i)
		if log.Keep(id) {
			kept++
		}
		g.Expect(log.Keep(id)).To(gomega.Equal(log.Keep(id)))
	}
	g.Expect(kept).To(gomega.BeNumerically("~", 200, 60))
	log.sampler.adjust()
	g.Expect(log.Keep("any")).To(gomega.BeTrue(), "load is back to normal")
}

// Guards against log lines that repeat at length what others sent.
func TestTextsOfOthersAreCut(t *testing.T) {
	g := gomega.NewWithT(t)
	var buffer bytes.Buffer
	log := New("n", &buffer)
	long := strings.Repeat("y", 1<<20)
	log.Write(Event{Kind: "x", Detail: long, LastEvent: long, ResumedRequest: long, Request: long, Parts: long})
	log.Close()
	g.Expect(buffer.Len()).To(gomega.BeNumerically("<", 4<<10))
	g.Expect(buffer.String()).To(gomega.HavePrefix(`{"time"`))
}
