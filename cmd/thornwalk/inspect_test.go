package main

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against explain -logs that asks a node, or leaves out what the replica's silence led to.
func TestExplainDescribesASilenceFromLogs(t *testing.T) {
	g := gomega.NewWithT(t)
	printed, err := runCommand(t, http.NotFoundHandler(), "explain", "-logs", "../../operator/story/testdata/silent.jsonl", "refused")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(printed).To(gomega.ContainSubstring("\nreplica i-s0 silent for 2.2 s; another one was looked for 2 times and refused (no-replica-of-version); i-s0 went on\n"))
}
