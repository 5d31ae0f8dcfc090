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

// stalled is a writer that never returns until it is released.
type stalled struct{ release chan struct{} }

func (s stalled) Write(content []byte) (int, error) {
	<-s.release
	return len(content), nil
}

func TestReaderThatStallsNeverBlocksAndIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		writer := stalled{release: make(chan struct{})}
		log := New("n", writer)
		const lines = 3 * capacity
		for range lines {
			log.Write(Event{Kind: "x", Detail: strings.Repeat("y", 100)})
		}
		synctest.Wait()
		g.Expect(log.Lost()).To(gomega.BeNumerically(">", lines-2*capacity))
		close(writer.release)
		log.Close()
	})
}

func TestLinesAreJSONAndWrittenAtTheEnd(t *testing.T) {
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

// A burst of ten times the usual must not cost ten times the lines, and the lines
// of one request are kept or left out together.
func TestRequestsThatWentWellAreSampledUnderLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	log := New("n", nil)
	defer log.Close()
	g.Expect(log.Keep("any")).To(gomega.BeTrue())
	log.LeftOut(10 * linesASecond)
	g.Expect(log.sampler.adjust()).To(gomega.BeEquivalentTo(10 * linesASecond))
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
	g.Expect(log.Keep("any")).To(gomega.BeTrue(), "quiet again")
}
