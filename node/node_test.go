package node

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against request ids from which the node can't be read because its name
// contains the separator.
func TestRequestIDContainsNodeAndProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	n := &Node{config: Config{Name: "trakiya-n0_b"}}
	n.deps.StartMilliseconds = 1234
	name, process, valid := parseRequestID(n.newRequestID())
	g.Expect(valid).To(gomega.BeTrue())
	g.Expect(name).To(gomega.Equal("trakiya-n0_b"))
	g.Expect(process).To(gomega.BeEquivalentTo(1234))
}
