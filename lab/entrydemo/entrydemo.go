// Package entrydemo demonstrates entry nodes on a simulated platform: three nodes on loopback serve
// requests to engines and a plain service, while a replica drains, the configuration changes, the store
// goes down and the scheduling node is killed.
package entrydemo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Loopback hosts of the demo.
var (
	nodeHosts    = []string{"127.0.7.1", "127.0.7.2", "127.0.7.3"}
	engineHosts  = []string{"127.0.7.21", "127.0.7.22"}
	serviceHosts = []string{"127.0.7.31", "127.0.7.32"}
)

const storeHost = "127.0.7.9"

// Row is the number of requests of one route by outcome.
type Row struct {
	Route                     string
	Sent, Answered            int
	Refused, Unknown, Dropped int
}

// Result is the outcome of the demo, with the rows in the order of routes.
type Result struct {
	Rows []Row
	// RanTwice counts requests of routes without retries that ran more than once, RefusedButRan
	// rejected requests that ran.
	RanTwice, RefusedButRan int
}

// Options configure a run.
type Options struct {
	Duration time.Duration
	// Rate is in requests per second.
	Rate float64
	// Progress is called with a description of each step.
	Progress func(string)
	// Log receives the nodes' event logs; nil discards them.
	Log io.Writer
}

// sender sends requests and records their outcomes.
type sender struct {
	mutex    sync.Mutex
	rows     map[string]*Row
	rejected map[string]bool
	client   http.Client
}

var routes = []string{"once", "status", "report", "chat"}

// Run runs the demo for options.Duration. It returns an error if the nodes don't start or become ready.
func Run(ctx context.Context, options Options) (*Result, error) {
	lab, err := entrylab.Start(entrylab.Options{
		Hosts: nodeHosts, Zones: []string{"east", "west"}, StoreHost: storeHost, Log: options.Log,
		Network:   func(string) network.Network { return network.TCP{SilenceLimit: 3 * time.Second} },
		Datagrams: func(string) network.Datagrams { return network.TCP{} },
	})
	if err != nil {
		return nil, err
	}
	defer lab.Stop()
	replicas, err := startReplicas(lab)
	if err != nil {
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	if !lab.AwaitReady(ready) {
		return nil, fmt.Errorf("start the demo: nodes did not become ready; see their log with -log")
	}
	options.Progress("3 nodes are ready; sending requests")
	s := &sender{rows: map[string]*Row{}, rejected: map[string]bool{}, client: http.Client{Timeout: 5 * time.Second}}
	var events sync.WaitGroup
	events.Go(func() { injectEvents(ctx, lab, replicas, options) })
	s.sendTraffic(ctx, options)
	events.Wait()
	return s.result(replicas), nil
}

// configuration returns the operators' configuration with the version.
func configuration(version int64) entrylab.Configuration {
	route := func(name, kind, service string, priority, attempts int, resumable bool) entrylab.Route {
		return entrylab.Route{
			Name: name, Host: "demo.example", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 4000, Target: 800, TargetGap: 400,
			Service: service, Priority: priority, Attempts: attempts, Resumable: resumable,
		}
	}
	return entrylab.Configuration{
		Version: version,
		Routes: []entrylab.Route{
			route("once", "unsafe", "registry", 1, 1, false), route("status", "safe", "registry", 2, 2, false),
			route("report", "streaming", "engines", 0, 1, false), route("chat", "streaming", "engines", 2, 2, true),
		},
		Services: []entrylab.Service{{Name: "registry"}, {Name: "engines"}},
		Tenants:  []entrylab.Tenant{{Name: "office", Keys: []string{"demo-key"}, Unit: "tokens", PlainTokens: 10, Rate: 100000, Burst: 100000}},
	}
}

// startReplicas writes the configuration and starts the replicas, engines first.
func startReplicas(lab *entrylab.Deployment) ([]*platformsim.Replica, error) {
	lab.Apply(configuration(1))
	var replicas []*platformsim.Replica
	add := func(host, service string, slots, events int, step time.Duration) error {
		replica := &platformsim.Replica{ID: "i-" + host, Service: service, Zone: "east", Slots: slots, Events: events, Step: step}
		replicas = append(replicas, replica)
		return lab.AddReplica(host, replica)
	}
	for _, host := range engineHosts {
		if err := add(host, "engines", 8, 10, 20*time.Millisecond); err != nil {
			return nil, err
		}
	}
	for _, host := range serviceHosts {
		if err := add(host, "registry", 6, 0, 20*time.Millisecond); err != nil {
			return nil, err
		}
	}
	return replicas, nil
}

// injectEvents runs the steps of the demo, one after each fifth of the duration but the last.
func injectEvents(ctx context.Context, lab *entrylab.Deployment, replicas []*platformsim.Replica, options Options) {
	interval := options.Duration / 5
	steps := []struct {
		text string
		run  func()
	}{
		{"a replica says that it drains", func() { replicas[0].Register(lab.Store, "draining") }},
		{"the configuration changes", func() { lab.Apply(configuration(2)) }},
		{"the store goes down", func() { lab.Store.SetDown(true); lab.Store.Compact() }},
		{"the scheduling node dies", func() { lab.Node(lab.Node(nodeHosts[0]).Status().Scheduler).Kill() }},
	}
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		options.Progress(step.text)
		step.run()
	}
}

func (s *sender) sendTraffic(ctx context.Context, options Options) {
	interval := time.Duration(float64(time.Second) / options.Rate)
	end := time.Now().Add(options.Duration)
	var group sync.WaitGroup
	for number := 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		group.Go(func() { s.sendOne(number) })
		time.Sleep(interval)
	}
	group.Wait()
}

func (s *sender) sendOne(number int) {
	route, id := routes[number%len(routes)], fmt.Sprintf("d%06d", number)
	url := "http://" + entrylab.CallersAddress(nodeHosts[number%len(nodeHosts)]) + "/" + route + "/"
	method := http.MethodPost
	var body io.Reader = bytes.NewReader([]byte("demo"))
	if route == "status" {
		method, body = http.MethodGet, nil
	}
	request, err := http.NewRequest(method, url, body)
	if err != nil {
		return
	}
	request.Host = "demo.example"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "4000")
	request.Header.Set("Authorization", "Bearer demo-key")
	status := 0
	if response, err := s.client.Do(request); err == nil {
		if _, err := io.Copy(io.Discard, response.Body); err == nil {
			status = response.StatusCode
		}
		_ = response.Body.Close()
	}
	s.record(route, id, status)
}

// record counts a request by its status; 0 stands for an incomplete answer.
func (s *sender) record(route, id string, status int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	row, found := s.rows[route]
	if !found {
		row = &Row{Route: route}
		s.rows[route] = row
	}
	row.Sent++
	switch status {
	case http.StatusOK:
		row.Answered++
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		row.Refused++
		s.rejected[id] = true
	case 0:
		row.Dropped++
	default:
		row.Unknown++
	}
}

func (s *sender) result(replicas []*platformsim.Replica) *Result {
	result := &Result{}
	for _, route := range routes {
		if row, found := s.rows[route]; found {
			result.Rows = append(result.Rows, *row)
		}
	}
	runs := map[string]int{}
	for _, replica := range replicas {
		for _, run := range replica.Runs() {
			runs[run.ID]++
			runsOnce := run.Target == "/once/" || run.Target == "/report/"
			if runsOnce && runs[run.ID] == 2 {
				result.RanTwice++
			}
		}
	}
	for id := range s.rejected {
		if runs[id] > 0 {
			result.RefusedButRan++
		}
	}
	return result
}
