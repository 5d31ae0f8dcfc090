// Package entry tests deployments of complete entry nodes on simulated platforms
// under virtual time, with faults of nodes, replicas, the store and the network.
package entry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
	"github.com/thornwalk/thornwalk/transport/network"
)

// scenario is a small deployment: three nodes in two zones, plain replicas p1 and
// p2, engines e1 and e2.
type scenario struct {
	*gomega.WithT
	fabric        *memnet.Fabric
	deployment    *entrylab.Deployment
	plainReplicas []*platformsim.Replica
	engines       []*platformsim.Replica
	// version is that of the latest configuration.
	version      int64
	requestCount atomic.Int64
	logs         logBuffer
	// now returns the clock of a node; nil selects the monotonic clock.
	now func(host string) func() time.Duration
	// sleep returns the timer of a node; nil selects time.Sleep.
	sleep func(host string) func(time.Duration) time.Duration
}

var hosts = []string{"n1", "n2", "n3"}

// runScenario starts the deployment, waits until all nodes are ready and runs the test in virtual time.
func runScenario(t *testing.T, test func(s *scenario)) { runAdjusted(t, nil, test) }

// runAdjusted is runScenario with settings that adjust changes, if it is not nil.
func runAdjusted(t *testing.T, adjust func(*entry.Settings), test func(s *scenario)) {
	synctest.Test(t, func(t *testing.T) {
		s := &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}
		s.start(hosts, []string{"east", "west"}, adjust)
		for _, host := range []string{"e1", "e2"} {
			s.engines = append(s.engines, s.addReplica(host, "engines", 6, 50*time.Millisecond))
		}
		s.awaitReady()
		defer s.stop(hosts)
		test(s)
	})
}

// start starts the nodes and the plain replicas and writes a first configuration. If adjust
// is not nil, it changes the settings of each node.
func (s *scenario) start(nodes, zones []string, adjust func(*entry.Settings)) {
	var err error
	s.deployment, err = entrylab.Start(entrylab.Options{
		Hosts: nodes, Zones: zones, StoreHost: "store",
		Network:   func(host string) network.Network { return s.fabric.Host(host) },
		Datagrams: s.fabric.Datagrams, Log: &s.logs, Adjust: adjust, Now: s.now, Sleep: s.sleep,
	})
	s.Expect(err).NotTo(gomega.HaveOccurred())
	s.configure(nil)
	for _, host := range []string{"p1", "p2"} {
		s.plainReplicas = append(s.plainReplicas, s.addReplica(host, "registry", 0, 20*time.Millisecond))
	}
}

// runInBackground runs the function until the returned one is called, which closes done and waits. Callers defer it, since
// what goes on behind a failed expectation would end the run of all tests. Further calls have no effect.
func runInBackground(run func(done <-chan struct{})) (end func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		run(done)
	}()
	return sync.OnceFunc(func() {
		close(done)
		<-ended
	})
}

// awaitReady waits until every node is ready, at most 10 s.
func (s *scenario) awaitReady() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s.Expect(s.deployment.AwaitReady(ctx)).To(gomega.BeTrue())
}

// stop ends all faults and stops the deployment.
func (s *scenario) stop(nodes []string) {
	s.fabric.Heal()
	for _, host := range nodes {
		s.fabric.Resume(host)
	}
	s.deployment.Stop()
	time.Sleep(time.Minute) // lets all goroutines end
}

func (s *scenario) addReplica(host, service string, events int, step time.Duration) *platformsim.Replica {
	replica := &platformsim.Replica{ID: "i-" + host, Service: service, Zone: "east", Slots: 2, Events: events, Step: step}
	s.Expect(s.deployment.AddReplica(host, replica)).To(gomega.Succeed())
	return replica
}

// configure writes a new version of the configuration. If change is not nil, it modifies
// the configuration before.
func (s *scenario) configure(change func(*entrylab.Configuration)) {
	s.version++
	route := func(name, kind, service string, attempts, priority int, resumable bool) entrylab.Route {
		return entrylab.Route{
			Name: name, Host: "service.example", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 4000, Target: 400, TargetGap: 400,
			Service: service, Attempts: attempts, Priority: priority, Resumable: resumable,
		}
	}
	configuration := entrylab.Configuration{
		Version: s.version,
		Routes: []entrylab.Route{
			route("safe", "safe", "registry", 2, 2, false), route("once", "unsafe", "registry", 1, 2, false),
			route("stream", "streaming", "engines", 1, 0, false), route("resume", "streaming", "engines", 2, 1, true),
			route("late", "streaming", "engines", 1, 2, false),
		},
		Services: []entrylab.Service{{Name: "registry"}, {Name: "engines"}},
		Tenants:  []entrylab.Tenant{{Name: "office", Keys: []string{"key-1"}, Unit: "tokens", PlainTokens: 10}},
	}
	if change != nil {
		change(&configuration)
	}
	s.deployment.Apply(configuration)
}

// reply is a response as the caller received it; status 0 means that the request failed.
type reply struct {
	status int
	header http.Header
	body   string
	// complete is whether the body was read without an error.
	complete bool
	took     time.Duration
}

// do sends a request with the tenant's key and a deadline of 3 s to the node. If change is
// not nil, it modifies the request before.
func (s *scenario) do(node, method, path string, change func(*http.Request)) reply {
	id := "r" + strconv.FormatInt(s.requestCount.Add(1), 10)
	request, err := http.NewRequest(method, "http://"+entrylab.CallersAddress(node)+path, nil)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	if method == http.MethodPost {
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader("body of "+id)), int64(len("body of "+id))
	}
	request.Host = "service.example"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Authorization", "Bearer key-1")
	if change != nil {
		change(request)
	}
	return s.send(request)
}

func (s *scenario) send(request *http.Request) reply {
	client := &http.Client{Transport: &http.Transport{DialContext: s.dialFromCaller, DisableKeepAlives: true}}
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return reply{took: time.Since(started)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil, took: time.Since(started)}
}

// runCounts returns how often each request ran, over all replicas.
func (s *scenario) runCounts() map[string]int {
	counts := map[string]int{}
	for _, replica := range append(append([]*platformsim.Replica{}, s.plainReplicas...), s.engines...) {
		for _, run := range replica.Runs() {
			counts[run.ID]++
		}
	}
	return counts
}

// scheduler returns the scheduling node, according to n1.
func (s *scenario) scheduler() string { return s.deployment.Node("n1").Status().Scheduler }

// followers returns all nodes except the scheduling node.
func (s *scenario) followers() []string {
	var names []string
	for _, host := range hosts {
		if host != s.scheduler() {
			names = append(names, host)
		}
	}
	return names
}

// setBehavior sets the behavior of all the replicas.
func (s *scenario) setBehavior(replicas []*platformsim.Replica, behave func(*http.Request) platformsim.Behavior) {
	for _, replica := range replicas {
		replica.SetBehavior(behave)
	}
}

// always applies the behavior to every request.
func always(behavior platformsim.Behavior) func(*http.Request) platformsim.Behavior {
	return func(*http.Request) platformsim.Behavior { return behavior }
}

// firstOnly applies the behavior to the first request; all others are answered.
func firstOnly(behavior platformsim.Behavior) func(*http.Request) platformsim.Behavior {
	var seen atomic.Bool
	return func(*http.Request) platformsim.Behavior {
		if seen.CompareAndSwap(false, true) {
			return behavior
		}
		return platformsim.Answer
	}
}

func (s *scenario) dialFromCaller(ctx context.Context, _, address string) (net.Conn, error) {
	return s.fabric.Host("caller").Dial(ctx, address)
}

// loggedEvents returns the events of the kind in the logs of all nodes.
func (s *scenario) loggedEvents(kind string) []eventlog.Event { return s.loggedEventsFrom(0, kind) }

// loggedEventsFrom returns the events of the kind in the logs without the first bytes.
func (s *scenario) loggedEventsFrom(offset int, kind string) []eventlog.Event {
	time.Sleep(10 * time.Millisecond) // lets the log writers finish
	var found []eventlog.Event
	decoder := json.NewDecoder(s.logs.readerFrom(offset))
	for decoder.More() {
		var event eventlog.Event
		s.Expect(decoder.Decode(&event)).To(gomega.Succeed())
		if event.Kind == kind {
			found = append(found, event)
		}
	}
	return found
}
