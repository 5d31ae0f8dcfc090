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

// Size and bounds of the memory test.
const (
	// largeRouteCount is the number of routes of the large configuration.
	largeRouteCount = 4 * 1400
	// pullerCount is the number of nodes that pull from one node at the same time.
	pullerCount = 60
	// pullBytesPerSecond is the bandwidth of a puller's link. With this bandwidth no puller
	// receives the complete configuration within the test.
	pullBytesPerSecond = 4 << 10
	// pullBurstBytes bounds a single read from a puller's link.
	pullBurstBytes = 512
	// maxHeldBytes bounds the sender's heap above the baseline, in bytes.
	maxHeldBytes = 12 << 20
	// watchTime exceeds the write timeout, so that it includes replies that time out and are
	// requested again.
	watchTime = 4 * time.Second
	// sampleInterval is the time between two measurements of the heap.
	sampleInterval = 50 * time.Millisecond
)

// fixedDirectory is a directory whose configuration never changes.
type fixedDirectory struct{ document *catalog.Document }

func (d fixedDirectory) Read(context.Context, outside.Scope, structs.StorePosition, int64) (*outside.Update, error) {
	return &outside.Update{Complete: true, Position: structs.StorePosition(d.document.Version), Catalog: d.document}, nil
}

func (d fixedDirectory) Watch(ctx context.Context, after structs.StorePosition, wait time.Duration) (*outside.Update, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
		return &outside.Update{Position: after}, nil
	}
}

// slowNetwork dials connections that are read at pullBytesPerSecond, and counts the bytes.
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

// loggedNode is a node and its event log.
type loggedNode struct {
	*entry.Node
	log *eventlog.Log
}

// pullScenario is a node with a large configuration and others that pull it over slow links.
type pullScenario struct {
	*gomega.WithT
	fabric    *memnet.Fabric
	sender    loggedNode
	pullers   []loggedNode
	received  []atomic.Int64
	logOutput io.Writer
}

// startPullers starts the nodes. The pullers have an older configuration and are partitioned
// from the sender until the fabric is healed. All event logs are written to logOutput, which
// may be nil.
func startPullers(t *testing.T, count int, logOutput io.Writer) *pullScenario {
	s := &pullScenario{logOutput: logOutput, WithT: gomega.NewWithT(t), fabric: memnet.New(), received: make([]atomic.Int64, count)}
	s.sender = s.start("sender", s.fabric.Host("sender"), documents.Large(2, largeRouteCount))
	for i := range count {
		host := fmt.Sprintf("puller-%02d", i)
		s.fabric.BlockLink("sender", host)
		s.pullers = append(s.pullers, s.start(host, slowNetwork{s.fabric.Host(host), &s.received[i]}, documents.Large(1, 1)))
	}
	time.Sleep(discoveryTime)
	return s
}

// discoveryTime exceeds the time that peer discovery takes.
const discoveryTime = 3 * time.Second

// start starts a node whose directory contains the document.
func (s *pullScenario) start(host string, hostNetwork network.Network, document *catalog.Document) loggedNode {
	settings := &entry.Settings{
		Name: host, Zone: "east", Callers: host + ":8221", Readiness: host + ":8224", Operators: host + ":8229", Host: host, PeerPort: 7600,
		Seeds: []string{"sender:8229"}, Store: "store:8225", StopGrace: 8000, StoreRecoveryWindow: 3000, RetryRatio: 0.2, RetryWindow: 10, RetrySlack: 40, QuotaWindow: 8, ConfigurationBound: 3000, FirstStart: true,
	}
	log := eventlog.New(host, s.logOutput)
	node := entry.New(settings, entry.Dependencies{
		Network: hostNetwork, Datagrams: s.fabric.Datagrams(host), Directory: fixedDirectory{document},
		Headers: platform.Headers(), ParsePushback: platform.ParsePushback, ReadyPath: platform.ReadyPath, Log: log, Incarnation: 1,
	})
	s.Expect(node.Start()).To(gomega.Succeed())
	return loggedNode{node, log}
}

// stop ends all nodes, and waits for pending reads of slow connections.
func (s *pullScenario) stop() {
	for _, node := range append(s.pullers, s.sender) {
		node.Kill()
		node.log.Close()
	}
	time.Sleep(time.Second)
}

// heapInUse returns the heap size in bytes after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

// Guards against a node that exceeds its memory limit while many peers pull a large
// configuration from it.
func TestMemoryIsBoundedWhileManyPeersPullConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPullers(t, pullerCount, nil)
		synctest.Wait()
		baseline := heapInUse()
		s.fabric.Heal()
		maxHeld := int64(0)
		for started := time.Now(); time.Since(started) < watchTime; time.Sleep(sampleInterval) {
			synctest.Wait()
			maxHeld = max(maxHeld, heapInUse()-baseline)
		}
		reached := 0
		for i, node := range s.pullers {
			s.Expect(node.Status().Version).To(gomega.Equal(int64(1)), "the links are too slow for the complete configuration")
			if s.received[i].Load() > 0 {
				reached++
			}
		}
		s.stop()
		t.Logf("baseline %d bytes, at most %d bytes more; %d of %d pullers received bytes", baseline, maxHeld, reached, pullerCount)
		s.Expect(reached).To(gomega.BeNumerically(">", 0), "updates are being sent")
		s.Expect(maxHeld).To(gomega.BeNumerically("<", maxHeldBytes))
	})
}

// Guards against updates in transmission that appear neither in the metrics nor in the event log.
func TestOperatorsSeeUpdatesBeingSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logs := &logBuffer{}
		s := startPullers(t, 1, logs)
		s.fabric.Heal()
		time.Sleep(time.Second)
		synctest.Wait()
		s.Expect(s.metrics()).To(gomega.MatchRegexp(`thornwalk_news_sending_bytes [1-9][0-9]{4}`))
		s.stop()
		content, err := io.ReadAll(logs.reader())
		s.Expect(err).NotTo(gomega.HaveOccurred())
		s.Expect(string(content)).To(gomega.MatchRegexp(`"node":"sender","event":"news","outcome":"sending","count":[1-9][0-9]{4},"detail":"heap [0-9]+, held [0-9]+"`))
	})
}

// metrics returns the sender's metrics as served to operators.
func (s *pullScenario) metrics() string {
	connection, err := s.fabric.Host("operator").Dial(context.Background(), "sender:8229")
	s.Expect(err).NotTo(gomega.HaveOccurred())
	defer connection.Close()
	request, err := http.NewRequest(http.MethodGet, "http://sender:8229/metrics", nil)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = request.Write(connection) }()
	response, err := http.ReadResponse(bufio.NewReader(connection), request)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	return string(content)
}
