// Package entrydemo runs the main job on embedded stand-ins of the users'
// platform: three nodes on loopback behind one store, engines and a plain
// service, while a replica drains, the configuration changes, the store goes
// away and the scheduling node dies.
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

// Hosts of the demo, all on loopback.
var (
	nodeHosts    = []string{"127.0.7.1", "127.0.7.2", "127.0.7.3"}
	engineHosts  = []string{"127.0.7.21", "127.0.7.22"}
	serviceHosts = []string{"127.0.7.31", "127.0.7.32"}
)

const storeHost = "127.0.7.9"

// Row is the result of one route.
type Row struct {
	Route                     string
	Sent, Answered            int
	Refused, Unknown, Dropped int
}

// Result is the outcome of the demo.
type Result struct {
	Rows []Row
	// RanTwice counts requests that ran more than once although they must not,
	// and RefusedButRan those that were refused and ran.
	RanTwice, RefusedButRan int
}

// Options describe a run.
type Options struct {
	Duration time.Duration
	// Rate is requests a second.
	Rate     float64
	Progress func(string)
	Log      io.Writer
}

// caller sends requests and keeps what became of them.
type caller struct {
	mutex   sync.Mutex
	rows    map[string]*Row
	refused map[string]bool
	client  http.Client
}

var routes = []string{"once", "status", "report", "chat"}

// Run runs the demo.
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
	replicas, err := populate(lab)
	if err != nil {
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	if !lab.AwaitReady(ready) {
		return nil, fmt.Errorf("the nodes are not ready: look at their log with -log")
	}
	options.Progress("3 nodes are ready; sending requests")
	sender := &caller{rows: map[string]*Row{}, refused: map[string]bool{}, client: http.Client{Timeout: 5 * time.Second}}
	var events sync.WaitGroup
	events.Go(func() { disturb(ctx, lab, replicas, options) })
	sender.send(ctx, options)
	events.Wait()
	return sender.result(replicas), nil
}

// configuration returns a version of the operator's configuration.
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

func populate(lab *entrylab.Deployment) ([]*platformsim.Replica, error) {
	lab.Apply(configuration(1))
	var all []*platformsim.Replica
	add := func(host, service string, slots, events int, step time.Duration) error {
		replica := &platformsim.Replica{ID: "i-" + host, Service: service, Zone: "east", Slots: slots, Events: events, Step: step}
		all = append(all, replica)
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
	return all, nil
}

// disturb is what happens while requests are sent, at fifths of the time.
func disturb(ctx context.Context, lab *entrylab.Deployment, replicas []*platformsim.Replica, options Options) {
	part := options.Duration / 5
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
		case <-time.After(part):
		}
		options.Progress(step.text)
		step.run()
	}
}

func (c *caller) send(ctx context.Context, options Options) {
	interval := time.Duration(float64(time.Second) / options.Rate)
	end := time.Now().Add(options.Duration)
	var group sync.WaitGroup
	for number := 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		group.Go(func() { c.one(number) })
		time.Sleep(interval)
	}
	group.Wait()
}

func (c *caller) one(number int) {
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
	if response, err := c.client.Do(request); err == nil {
		if _, err := io.Copy(io.Discard, response.Body); err == nil {
			status = response.StatusCode
		}
		_ = response.Body.Close()
	}
	c.count(route, id, status)
}

func (c *caller) count(route, id string, status int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	row, found := c.rows[route]
	if !found {
		row = &Row{Route: route}
		c.rows[route] = row
	}
	row.Sent++
	switch status {
	case http.StatusOK:
		row.Answered++
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		row.Refused++
		c.refused[id] = true
	case 0:
		row.Dropped++
	default:
		row.Unknown++
	}
}

func (c *caller) result(replicas []*platformsim.Replica) *Result {
	result := &Result{}
	for _, route := range routes {
		if row, found := c.rows[route]; found {
			result.Rows = append(result.Rows, *row)
		}
	}
	runs := map[string]int{}
	for _, replica := range replicas {
		for _, run := range replica.Runs() {
			runs[run.ID]++
			once := run.Target == "/once/" || run.Target == "/report/"
			if once && runs[run.ID] == 2 {
				result.RanTwice++
			}
		}
	}
	for id := range c.refused {
		if runs[id] > 0 {
			result.RefusedButRan++
		}
	}
	return result
}
