package entrylab

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against lines of one node within those of another one, which can't be parsed.
func TestLinesOfSeveralWritersAreNotMixed(t *testing.T) {
	g := gomega.NewWithT(t)
	var log bytes.Buffer
	first, second := &lineWriter{writer: &log}, &lineWriter{writer: &log}
	for _, part := range []struct {
		writer  *lineWriter
		content string
	}{{first, "a"}, {second, "1\n2"}, {first, "b"}, {first, "c\nd\ne"}, {second, "3\n"}, {first, "\n"}} {
		count, err := part.writer.Write([]byte(part.content))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(count).To(gomega.Equal(len(part.content)))
	}
	g.Expect(log.String()).To(gomega.Equal("1\nabc\nd\n23\ne\n"))
}
