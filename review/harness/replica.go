package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Figures of the plain replicas.
const (
	plainSlots = 6
	plainQueue = 24
	plainWork  = 30 * time.Millisecond
)

// plainReplica is a replica of a plain service that is cold for coldTime after a start during traffic. It tells that
// in its entry and on its health path.
type plainReplica struct {
	run           *caseRun
	id, zone      string
	address       string
	mutex         sync.Mutex
	server        *http.Server
	isRunning     bool
	startedAt     time.Time
	coldUntil     time.Time
	slots, queued chan struct{}
	// coldArrivals are the arrivals, other than those answered by 421, while the present process is cold, and most
	// the highest number of them in one second so far.
	coldArrivals []time.Time
	most         int
	fallen       int
}

func newPlainReplica(run *caseRun, host int, zone string) *plainReplica {
	return &plainReplica{run: run, id: fmt.Sprintf("i-%d", host), zone: zone, address: run.address(host, replicaPort)}
}

// start starts the replica, under its id, and writes its entry once the store is up.
func (p *plainReplica) start(isCold bool) error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(p.serve)}
	p.mutex.Lock()
	p.server, p.isRunning, p.startedAt, p.coldArrivals = server, true, time.Now(), nil
	p.slots, p.queued = make(chan struct{}, plainSlots), make(chan struct{}, plainSlots+plainQueue)
	if isCold {
		p.coldUntil = p.startedAt.Add(coldTime)
	}
	p.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	p.run.mutex.Lock()
	p.run.closers = append(p.run.closers, func() { _ = server.Close() })
	p.run.mutex.Unlock()
	p.run.record.write("replica: %s starts, cold %v", p.id, isCold)
	p.announce()
	return nil
}

// announce writes the entry, once the store is up.
func (p *plainReplica) announce() {
	p.run.mutex.Lock()
	defer p.run.mutex.Unlock()
	if p.run.isStoreDown {
		p.run.delayedWrites = append(p.run.delayedWrites, p.writeEntry)
		return
	}
	p.writeEntry()
}

func (p *plainReplica) writeEntry() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.isRunning {
		return
	}
	left := max(time.Until(p.coldUntil), 0)
	entry := platformsim.Replica{ID: p.id, Service: "ledger", Address: p.address, Zone: p.zone, Slots: plainSlots, StartedAt: p.startedAt.UnixMilli(), Warmup: left}
	entry.Register(p.run.store, "ready")
	p.run.record.write("replica: %s wrote its entry, warmup_left_ms %d", p.id, left.Milliseconds())
}

// turnCold makes the running replica cold for coldTime. It writes its entry, once the store is up.
func (p *plainReplica) turnCold() {
	p.mutex.Lock()
	p.coldUntil, p.coldArrivals = time.Now().Add(coldTime), nil
	p.mutex.Unlock()
	p.run.record.write("replica: %s is cold again", p.id)
	p.announce()
}

// crash ends the replica with all its connections.
func (p *plainReplica) crash() {
	p.mutex.Lock()
	server := p.server
	p.isRunning = false
	p.mutex.Unlock()
	p.run.record.write("replica: %s crashes", p.id)
	_ = server.Close()
}

func (p *plainReplica) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", p.id)
		w.Header().Set("X-Cold-Ms", fmt.Sprint(p.coldLeft().Milliseconds()))
		return
	case r.Header.Get(headers.ExpectReplica) != p.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(headers.RequestID)
	if p.arrive(id) {
		go p.fallOver()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headers.RequestID, id)
	select {
	case p.queued <- struct{}{}:
	default:
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-p.queued }()
	p.slots <- struct{}{}
	defer func() { <-p.slots }()
	p.run.record.write("replica: %s runs %s", p.id, id)
	time.Sleep(plainWork)
	w.Header().Set(headers.Signature, p.id)
	_, _ = w.Write([]byte("done"))
}

func (p *plainReplica) coldLeft() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return max(time.Until(p.coldUntil), 0)
}

// arrive records an arrival and reports whether the replica falls over under it.
func (p *plainReplica) arrive(id string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	if now.After(p.coldUntil) {
		return false
	}
	p.coldArrivals = append(p.coldArrivals, now)
	inLastSecond := 0
	for _, at := range p.coldArrivals {
		if now.Sub(at) < time.Second {
			inLastSecond++
		}
	}
	p.run.record.write("replica: %s, cold, receives %s, number %d in the last second", p.id, id, inLastSecond)
	p.most = max(p.most, inLastSecond)
	return p.isRunning && float64(inLastSecond) > fallOverFactor*coldBound
}

// fallOver crashes the replica, which starts again, cold.
func (p *plainReplica) fallOver() {
	p.mutex.Lock()
	wasRunning := p.isRunning
	if wasRunning {
		p.fallen++
	}
	p.isRunning = false
	p.mutex.Unlock()
	if !wasRunning {
		return
	}
	p.run.record.write("replica: %s falls over", p.id)
	p.crash()
	time.Sleep(crashTime)
	if err := p.start(true); err != nil {
		p.run.record.write("replica: %s can't start: %v", p.id, err)
	}
}

// mostWhileCold returns the highest number of requests in one second while it was cold.
func (p *plainReplica) mostWhileCold() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.most
}
