package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/lab/documents"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/platform"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/network"
)

// The deployment of the test of memory, and what is measured of it.
const (
	// largeRoutes is what four changes of 1,400 routes each make.
	largeRouteCount = 4 * 1400
	// pullers is the number of nodes that ask one at once; of 83 nodes three follow
	// the store, and the others spread over these.
	pullerCount = 60
	// pullRate is what a puller's link carries in bytes a second and pullBurst what it
	// carries at once: so little that no puller has all for minutes, so that what is
	// measured is held by the sender.
	pullBytesPerSecond = 4 << 10
	pullBurstBytes     = 512
	// heldLimit bounds what the sender holds above its calm heap in bytes: a ninth of
	// the 112 MB that the smallest machines give a process.
	maxHeldBytes = 12 << 20
	// watchedTime is longer than a write may take, so that replies that are given up
	// and asked for again are seen too; lookInterval is the time between two looks.
	watchTime      = 4 * time.Second
	sampleInterval = 50 * time.Millisecond
)

// fixedDirectory knows one configuration for good.
type fixedDirectory struct{ document *catalog.Document }

func (d fixedDirectory) Read(context.Context, outside.Scope, structs.StorePosition, int64) (*outside.Update, error) {
	return &outside.Update{Complete: true, Revision: structs.StorePosition(d.document.Version), Catalog: d.document}, nil
}

func (d fixedDirectory) Watch(ctx context.Context, after structs.StorePosition, wait time.Duration) (*outside.Update, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
		return &outside.Update{Revision: after}, nil
	}
}

// slowNetwork gives connections that are read at pullRate, and counts the bytes.
type slowNetwork struct {
	network.Network
	received *atomic.Int64
}

func (s slowNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := s.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &slowConnection{Conn: connection, received: s.received}, nil
}

type slowConnection struct {
	net.Conn
	received *atomic.Int64
}

func (s *slowConnection) Read(content []byte) (int, error) {
	count, err := s.Conn.Read(content[:min(len(content), pullBurstBytes)])
	s.received.Add(int64(count))
	time.Sleep(time.Duration(count) * time.Second / pullBytesPerSecond)
	return count, err
}

// bareNode is a node with its log.
type loggedNode struct {
	*entry.Node
	log *eventlog.Log
}

// crowd is a node that knows a large configuration, and others that will ask it for
// that over slow links.
type pullScenario struct {
	*gomega.WithT
	fabric    *memnet.Fabric
	sender    loggedNode
	pullers   []loggedNode
	received  []atomic.Int64
	logOutput io.Writer
}

// gather starts the nodes. The pullers know an older configuration, and do not hear of
// the newer one until the fabric is healed. The lines of all are written as given.
func startPullers(t *testing.T, pullers int, written io.Writer) *pullScenario {
	c := &pullScenario{logOutput: written, WithT: gomega.NewWithT(t), fabric: memnet.New(), received: make([]atomic.Int64, pullers)}
	c.sender = c.start("sender", c.fabric.Host("sender"), documents.Large(2, largeRouteCount))
	for i := range pullers {
		host := fmt.Sprintf("puller-%02d", i)
		c.fabric.Cut("sender", host)
		c.pullers = append(c.pullers, c.start(host, slowNetwork{c.fabric.Host(host), &c.received[i]}, documents.Large(1, 1)))
	}
	time.Sleep(discoveryTime)
	return c
}

// meetingTime is longer than nodes need to hear of each other.
const discoveryTime = 3 * time.Second

// start starts a node over a directory that knows the document.
func (c *pullScenario) start(host string, seen network.Network, document *catalog.Document) loggedNode {
	settings := &entry.Settings{
		Name: host, Zone: "east", Callers: host + ":8221", Readiness: host + ":8224", Operators: host + ":8229", Host: host, PeerPort: 7600,
		Seeds: []string{"sender:8229"}, Store: "store:8225", StopGrace: 8000, StoreRecoveryWindow: 3000, RetryRatio: 0.2, RetryWindow: 10, RetrySlack: 40, QuotaWindow: 8, ConfigurationBound: 3000, FirstStart: true,
	}
	log := eventlog.New(host, c.logOutput)
	node := entry.New(settings, entry.Dependencies{
		Network: seen, Datagrams: c.fabric.Datagrams(host), Directory: fixedDirectory{document},
		Headers: platform.Headers(), ParsePushback: platform.ParsePushback, ReadyPath: platform.ReadyPath, Log: log, Incarnation: 1,
	})
	c.Expect(node.Start()).To(gomega.Succeed())
	return loggedNode{node, log}
}

// stop ends all nodes, and waits for reads that still sleep.
func (c *pullScenario) stop() {
	for _, node := range append(c.pullers, c.sender) {
		node.Kill()
		node.log.Close()
	}
	time.Sleep(time.Second)
}

// heapInUse returns the bytes of objects that are in use.
func heapInUse() int64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

// Beside changes of a configuration of some thousand routes a process went over its
// memory limit, and requests were lost with it. Whole nodes ask here, by whatever
// messages they use.
func TestMemoryIsBoundedWhileManyPeersPullConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startPullers(t, pullerCount, nil)
		synctest.Wait()
		calm := heapInUse()
		c.fabric.Heal()
		most := int64(0)
		for begun := time.Now(); time.Since(begun) < watchTime; time.Sleep(sampleInterval) {
			synctest.Wait()
			most = max(most, heapInUse()-calm)
		}
		reached := 0
		for i, node := range c.pullers {
			c.Expect(node.Status().Version).To(gomega.Equal(int64(1)), "the links are too slow for the whole")
			if c.received[i].Load() > 0 {
				reached++
			}
		}
		c.stop()
		t.Logf("calm %d bytes, at most %d bytes more; %d of %d pullers got something", calm, most, reached, pullerCount)
		c.Expect(reached).To(gomega.BeNumerically(">", 0), "news is being sent")
		c.Expect(most).To(gomega.BeNumerically("<", maxHeldBytes))
	})
}

func TestOperatorsSeeUpdatesBeingSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		told := &logBuffer{}
		c := startPullers(t, 1, told)
		c.fabric.Heal()
		time.Sleep(time.Second)
		synctest.Wait()
		c.Expect(c.metrics()).To(gomega.MatchRegexp(`thornwalk_news_sending_bytes [1-9][0-9]{4}`))
		c.stop()
		content, err := io.ReadAll(told.reader())
		c.Expect(err).NotTo(gomega.HaveOccurred())
		c.Expect(string(content)).To(gomega.MatchRegexp(`"node":"sender","event":"news","outcome":"sending","count":[1-9][0-9]{4},"detail":"heap [0-9]+, held [0-9]+"`))
	})
}

// metrics returns the sender's metrics as operators get them.
func (c *pullScenario) metrics() string {
	connection, err := c.fabric.Host("operator").Dial(context.Background(), "sender:8229")
	c.Expect(err).NotTo(gomega.HaveOccurred())
	defer connection.Close()
	request, err := http.NewRequest(http.MethodGet, "http://sender:8229/metrics", nil)
	c.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = request.Write(connection) }()
	response, err := http.ReadResponse(bufio.NewReader(connection), request)
	c.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	c.Expect(err).NotTo(gomega.HaveOccurred())
	return string(content)
}
