package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

const (
	// oddEntriesBlock is the block of addresses of the test's deployment.
	oddEntriesBlock = "127.79.1"
	// oddEntryBytes is the length of the large parts of odd entries.
	oddEntryBytes = 1 << 20
	// crowd is the number of sound replicas beside the odd entries.
	crowd           = 1500
	oddEntryMemory  = daemonMemoryMB
	followingBound  = 5 * time.Second
	oddRewrites     = 12
	oddRewritePause = 250 * time.Millisecond
)

// oddValues are values of another writer, by name.
func oddValues() map[string]string {
	digits, name := strings.Repeat("9", oddEntryBytes), strings.Repeat("n", oddEntryBytes)
	replica := func(address, service, slots string) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"east","version":"v1","slots":%s,"state":"ready","sequence":1}`, service, address, slots)
	}
	return map[string]string{
		"nested":   strings.Repeat("[", oddEntryBytes) + strings.Repeat("]", oddEntryBytes),
		"unclosed": strings.Repeat(`{"a":`, oddEntryBytes/5),
		"digits":   replica("10.0.0.1:80", "registry", digits),
		"name":     replica("10.0.0.1:80", name, "1"),
		"port":     replica(oddEntriesBlock+".200:70000", "registry", "50"),
		"bytes":    "\xff\xfe\x00{",
		"list":     `[{"service":1,"lives":{}}]`,
	}
}

// writeOddEntries writes the values among the replicas and under the other keys that nodes read.
func writeOddEntries(store *platformsim.Store) {
	for name, value := range oddValues() {
		store.Put("servers/odd-"+name, []byte(value))
		store.Put("op/rollout/odd-"+name, []byte(value))
		store.Put("thornwalk/rollout/odd-"+name, []byte(value))
		store.Put("op/evacuate/odd-"+name, []byte(value))
	}
}

// Guards against nodes that end, exceed their memory, or stop following the store, as another writer left odd entries in
// it: beside many replicas, at the start of the nodes, in a watch, and in the complete read of a node that starts later.
func TestProcessesSurviveOddEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	daemon := filepath.Join(t.TempDir(), "thornwalkd")
	output, err := exec.Command("go", "build", "-o", daemon, "github.com/thornwalk/thornwalk/cmd/thornwalkd").CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
	// Option Spoiled gives the daemons a memory limit; no answer is spoiled here.
	options := &Options{Daemon: daemon, Block: oddEntriesBlock, Spoiled: true}
	d, err := startDeployment(options, t.TempDir())
	defer d.close()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer d.watchMemory()()
	writeOddEntries(d.store)
	for number := range crowd {
		(&platformsim.Replica{ID: fmt.Sprintf("far-%04d", number), Service: "elsewhere", Address: fmt.Sprintf("%s.201:%d", oddEntriesBlock, number+1000), Zone: "east", Slots: 1}).Register(d.store, "ready")
	}
	g.Expect(awaitReady(context.Background(), oddEntriesBlock, nodeCount)).To(gomega.Succeed())
	expectFollowing(g, d, "at the start")

	for range oddRewrites {
		writeOddEntries(d.store)
		time.Sleep(oddRewritePause)
	}
	expectFollowing(g, d, "in a watch")

	valid := d.store.Value("op/config")
	values := oddValues()
	// The longest value comes last, and stays beside the other odd entries.
	for _, name := range slices.SortedFunc(maps.Keys(values), func(a, b string) int { return len(values[a]) - len(values[b]) }) {
		value := values[name]
		d.store.Put("op/config", []byte(value))
		d.store.Put("thornwalk/barred", []byte(value))
		time.Sleep(oddRewritePause)
		expectServed(g, "status", "beside an odd configuration, "+name)
	}
	d.store.Put("op/config", []byte(fmt.Sprintf(`{"version":%d}`, d.version+1)))
	time.Sleep(time.Second)
	expectServed(g, "status", "beside a configuration without routes")
	d.store.Put("op/config", []byte(`{"version":9223372036854775807,"routes":[]}`))
	time.Sleep(time.Second)
	expectServed(g, "status", "beside a configuration of the largest version")
	d.store.Put("op/config", valid)
	expectFollowing(g, d, "after odd configurations")

	for number := range nodeCount {
		d.processes[number].signal(syscall.SIGTERM, true)
		time.Sleep(startTimeout / 2)
		g.Expect(awaitReady(context.Background(), oddEntriesBlock, nodeCount)).To(gomega.Succeed(), "after node %d started again", number)
	}
	expectFollowing(g, d, "after starts beside odd entries")

	peak := int64(0)
	for _, p := range d.processes {
		p.mutex.Lock()
		peak = max(peak, p.peakBytes)
		g.Expect(p.failures).To(gomega.BeEmpty(), p.settings.Name)
		p.mutex.Unlock()
	}
	t.Logf("at most %d MB of %d", peak>>20, oddEntryMemory)
	g.Expect(peak).To(gomega.BeNumerically("<=", oddEntryMemory<<20))
}

// expectFollowing expects every node to apply a configuration that is written now.
func expectFollowing(g *gomega.WithT, d *deployment, when string) {
	route := fmt.Sprint("fresh-", d.version)
	d.writeConfiguration(route)
	for node := range nodeCount {
		g.Eventually(func() int { return statusOf(node, route) }, followingBound, pollInterval).Should(gomega.Equal(http.StatusOK), "node %d, %s", node, when)
	}
}

// expectServed expects every node to answer a request of the route.
func expectServed(g *gomega.WithT, route, when string) {
	for node := range nodeCount {
		g.Expect(statusOf(node, route)).To(gomega.Equal(http.StatusOK), "node %d, %s", node, when)
	}
}

// statusOf sends one request of the route to the node and returns the status of the answer.
func statusOf(node int, route string) int {
	c := &callers{block: oddEntriesBlock, client: http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	return c.sendOne(fmt.Sprintf("odd-%d", time.Now().UnixNano()), route, node).status
}
