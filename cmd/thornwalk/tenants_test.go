package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/tenantstats"
)

// runCommand runs the command with the arguments against a node with the handler, and returns what it
// printed.
func runCommand(t *testing.T, handler http.Handler, arguments ...string) (string, error) {
	t.Helper()
	g := gomega.NewWithT(t)
	server := httptest.NewServer(handler)
	defer server.Close()
	o := &options{address: strings.TrimPrefix(server.URL, "http://"), output: "table"}
	reader, writer, err := os.Pipe()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stdout := os.Stdout
	os.Stdout = writer
	printed := make(chan string)
	go func() {
		content, _ := io.ReadAll(reader)
		printed <- string(content)
	}()
	command := tenantsCommand(o)
	if arguments[0] == "explain" {
		command = explainCommand(o)
	}
	err = command.ParseAndRun(context.Background(), arguments[1:])
	os.Stdout = stdout
	g.Expect(writer.Close()).To(gomega.Succeed())
	return <-printed, err
}

// replyWith replies with the status and content at the path. Other paths are not found.
func replyWith(path string, status int, content string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, content)
	})
	return mux
}

const tableJSON = `{"scheduler":"n2","counted_for_ms":61000,"tenant_shares":false,"tenants":[
	{"service":"chat","tenant":"large","weight":1.5,"share":0.75,"used_slot_s":42.25,"used_share":0.9,"queued":3,"running":4,"answered":100,"refused":{"quota":2,"backlog":17},"longest_wait_ms":250},
	{"service":"mail","tenant":"","weight":1,"share":1},{"service":"mail","others":true,"tenant":""}]}`

// Guards against a table that hides who counted since when, whether shares are enforced, or a figure.
func TestTenantsPrintsWhatEachTenantGets(t *testing.T) {
	g := gomega.NewWithT(t)
	printed, err := runCommand(t, replyWith("/tenants", http.StatusOK, tableJSON), "tenants")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, text := range []string{"n2 schedules and has counted for 1m1s; tenant_shares is off", "large", "0.750", "0.900", "42.2 s", "backlog 17, quota 2", "250ms", "(none)", "(others)"} {
		g.Expect(printed).To(gomega.ContainSubstring(text))
	}
	printed, err = runCommand(t, replyWith("/tenants", http.StatusOK, tableJSON), "tenants", "-service", "mail", "-o", "json")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(printed).To(gomega.And(gomega.ContainSubstring(`"service": "mail"`), gomega.Not(gomega.ContainSubstring("large"))))
}

// Guards against an answer of a node that can't reach the scheduling node, or that is of the other daemon,
// which the operator can't act on.
func TestTenantsPrintsWhyThereIsNoTable(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := runCommand(t, replyWith("/tenants", http.StatusServiceUnavailable, `{"error":{"message":"the scheduling node n2 gave no report: ask again","code":"peer-unavailable"}}`), "tenants")
	g.Expect(err).To(gomega.MatchError("the scheduling node n2 gave no report: ask again"))
	_, err = runCommand(t, http.NewServeMux(), "tenants")
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("the node's kind or version does not have this call")))
}

// Guards against explain that no longer works at nodes of the other daemon, or asks them although an entry
// node answered that it doesn't know the request.
func TestExplainAsksBothKindsOfNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	entryNode := replyWith("/explain/caller-1", http.StatusOK, `{"scheduler":"n2","counted_for_ms":61000,"rejections":[
		{"ago_ms":1500,"request":"caller-1","content":"e25d0b6a748d0a8d024b132673b1123e","service":"chat","tenant":"large","reason":"quota","retry_after_ms":350,"share":0.5,"used_share":0.8,"used_slot_s":12,"quota_rate":2,"cost":1}]}`)
	printed, err := runCommand(t, entryNode, "explain", "caller-1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, text := range []string{"decided by n2", "1.5s", "caller-1", "e25d0b6a748d0a8d024b132673b1123e", "quota", "350ms", "0.500", "0.800", "cost 1 of 2 per second"} {
		g.Expect(printed).To(gomega.ContainSubstring(text))
	}
	_, err = runCommand(t, replyWith("/explain/caller-1", http.StatusNotFound, `{"error":{"message":"n2 remembers no rejection","code":"not-found"}}`), "explain", "caller-1")
	g.Expect(err).To(gomega.MatchError("n2 remembers no rejection"))
	printed, err = runCommand(t, replyWith("/operator/explain/caller-1", http.StatusOK, `[{"Verdict":"dispatch"}]`), "explain", "caller-1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(strings.ToLower(printed)).To(gomega.ContainSubstring("verdict"))
}

// Guards against reasons in an order that changes from call to call.
func TestReasonsAreOrderedByCount(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(refusedText(map[string]int64{"a": 1, "c": 2, "b": 2})).To(gomega.Equal("b 2, c 2, a 1"))
	g.Expect(tenantRow(tenantstats.Row{Others: true})[1]).To(gomega.Equal("(others)"))
}

// Guards against quotas in notations that operators don't compare with their configuration: exponents, and
// digits that come from the share of a node.
func TestQuotaIsPrintedAsConfigured(t *testing.T) {
	g := gomega.NewWithT(t)
	for rate, text := range map[float64]string{
		1_404_038:       "cost 2914 of 1404038 per second",
		1_404_038.0 / 3: "cost 2914 of 468012.67 per second",
		0.5:             "cost 2914 of 0.5 per second",
	} {
		g.Expect(quotaText(tenantstats.Explanation{Cost: 2914, QuotaRate: rate})).To(gomega.Equal(text))
	}
	g.Expect(quotaText(tenantstats.Explanation{Cost: 2914})).To(gomega.BeEmpty())
}
