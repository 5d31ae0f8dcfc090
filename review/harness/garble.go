package main

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The dose of the disruption 'garble': half of the engines (share 0.6 at most) spoil each 20th answer (x 0.05) for
// 5.5 s at a time.
const (
	garbleShare  = 0.5
	garbleEach   = 20
	garbleTime   = 5500 * time.Millisecond
	garblePause  = 3500 * time.Millisecond
	garbleWarmup = 4 * time.Second
	garbleRounds = 9
)

// A spoiled answer is bytes that are no answer, at garbleRate bytes a second until the connection is closed, and
// garbleMaxBytes at most. The rate is 0.4 of a machine's link of 1,000 Mbit/s.
const (
	garbleRate     = 50 << 20
	garbleMaxBytes = 128 << 20
	garbleBlock    = 256 << 10
)

// clientsPerZone is the number of clients of each zone. They occupy about 26 of the 42 slots of the engines.
const clientsPerZone = 10

// prefillTime is the prefill of the engines in the garble case.
const prefillTime = 600 * time.Millisecond

// garbler decides which answers of its engines are spoiled.
type garbler struct {
	run    *caseRun
	active atomic.Bool
	// prefill is the time until an engine has read a prompt and begins to answer.
	prefill time.Duration
	mutex   sync.Mutex
	spoiled map[string]bool
}

// engineListener accepts connections on which answers begin after the prefill and may be spoiled.
type engineListener struct {
	net.Listener
	garbler *garbler
	// canSpoil is true for the engines that are disturbed.
	canSpoil bool
	answers  atomic.Int64
}

func (l *engineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &engineConn{Conn: conn, listener: l}, nil
}

// engineConn is an engine's side of a connection.
type engineConn struct {
	net.Conn
	listener *engineListener
}

// Write writes a part of an answer. The head of an answer to a request that runs is one write.
func (c *engineConn) Write(content []byte) (int, error) {
	if !bytes.HasPrefix(content, []byte("HTTP/1.1 200")) {
		return c.Conn.Write(content)
	}
	time.Sleep(c.listener.garbler.prefill)
	if c.listener.spoils(content) {
		return 0, c.writeGarbage()
	}
	return c.Conn.Write(content)
}

// spoils reports whether the answer with the head is spoiled, and records the request's ID.
func (l *engineListener) spoils(head []byte) bool {
	if !l.canSpoil || !l.garbler.active.Load() || l.answers.Add(1)%garbleEach != 0 {
		return false
	}
	_, rest, _ := strings.Cut(string(head), headers.RequestID+": ")
	id, _, _ := strings.Cut(rest, "\r\n")
	l.garbler.mutex.Lock()
	l.garbler.spoiled[id] = true
	l.garbler.mutex.Unlock()
	l.garbler.run.record.write("engine: spoils the answer to %s by bytes that are no answer", id)
	return true
}

// writeGarbage writes bytes without an end of line until the connection is closed.
func (c *engineConn) writeGarbage() error {
	block := bytes.Repeat([]byte{'x'}, garbleBlock)
	for written := 0; written < garbleMaxBytes; written += len(block) {
		if _, err := c.Conn.Write(block); err != nil {
			return err
		}
		time.Sleep(time.Second * garbleBlock / garbleRate)
	}
	return net.ErrClosed
}

// runGarble has clients keep streams running on kept connections while some engines spoil some answers.
func runGarble(run *caseRun) (bool, error) {
	run.garbler.prefill = prefillTime
	if err := run.addSmallSite(); err != nil {
		return false, err
	}
	if err := run.start(); err != nil {
		return false, err
	}
	callers := &clients{run: run}
	total := garbleWarmup + garbleRounds*(garbleTime+garblePause)
	callers.start(clientsPerZone, time.Now().Add(total), client{path: streamPath, deadline: streamDeadline, events: streamEvents})
	time.Sleep(garbleWarmup)
	for range garbleRounds {
		run.garbler.active.Store(run.trouble)
		run.record.write("garble begins: %v", run.trouble)
		time.Sleep(garbleTime)
		run.garbler.active.Store(false)
		run.record.write("garble ends")
		time.Sleep(garblePause)
	}
	return run.judgeKept(callers.sentAll()), nil
}

// maxLost is how often the rule lets a machine close a kept connection without an answer.
const maxLost = 3

// judgeKept judges LOST on kept connections: a machine took the request, handed it to a sound replica and closed the
// connection without answering. A process that ends by itself, as over its memory, counts as running.
func (r *caseRun) judgeKept(all []*sent) bool {
	runs, lost, cutMidway, complete := r.runsByID(), 0, 0, 0
	for _, s := range all {
		if s.isComplete {
			complete++
		}
		isSound := len(runs[s.id]) > 0 && !r.garbler.isSpoiled(s.id)
		if !s.isBroken || !s.wasKept || !isSound || !s.node.endedOverMemoryAt(s.endedAt) {
			continue
		}
		if s.status != 0 {
			cutMidway++
			continue
		}
		lost++
		r.record.write("LOST: %s ran at a sound engine, %s closed the kept connection without any answer", s.id, s.node.name)
	}
	machines := 0
	for _, node := range r.nodes {
		r.record.write("%s: ended %d times over its memory, peak %d MB", node.name, len(node.overMemory), node.peakMB)
		if len(node.overMemory) >= 3 {
			machines++
		}
	}
	r.record.write("%d requests, %d with a complete answer; without any answer %d (the rule allows %d), cut midway %d; machines that ended three times or more: %d of %d", len(all), complete, lost, maxLost, cutMidway, machines, len(r.nodes))
	return lost <= maxLost
}

func (g *garbler) isSpoiled(id string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.spoiled[id]
}
