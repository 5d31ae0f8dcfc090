package eventlog

import (
	"bytes"
	"encoding/json"
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
