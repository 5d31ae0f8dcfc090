package backendhttp

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// endlessLines is a body of lines without end that counts what was read.
type endlessLines struct{ read int64 }

func (e *endlessLines) Read(into []byte) (int, error) {
	count := copy(into, strings.Repeat("data: "+strings.Repeat("x", 57)+"\n", len(into)/64+1))
	e.read += int64(count)
	return count, nil
}

// Guards against an event of short lines that has no end.
func TestEventsWithoutEndAreGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	lines := &endlessLines{}
	body := bufio.NewReaderSize(lines, 64) // each read begins with a line
	stream, err := openStream(&http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(body)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = stream.Next()
	g.Expect(err).To(gomega.MatchError(errEventTooLong))
	g.Expect(lines.read).To(gomega.BeNumerically("<=", 2*maxEventBytes))
}
