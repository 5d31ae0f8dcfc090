package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// memoryPollInterval is the time between two looks at the memory of the processes.
const memoryPollInterval = 20 * time.Millisecond

// enforceMemory kills each process that goes over memoryMB, as the platform does, until stop is closed.
func (r *caseRun) enforceMemory(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryPollInterval):
		}
		for _, node := range r.nodes {
			node.killOverMemory()
		}
	}
}

// killOverMemory kills the process if its resident memory is over the limit.
func (n *node) killOverMemory() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.command == nil || n.isKilled {
		return
	}
	resident := residentMB(n.command.Process.Pid)
	n.peakMB = max(n.peakMB, resident)
	if resident <= memoryMB {
		return
	}
	_ = n.command.Process.Kill()
	n.isKilled = true
	n.overMemory = append(n.overMemory, time.Now())
	n.run.record.write("platform: %s killed, its memory of %d MB is over the limit of %d MB", n.name, resident, memoryMB)
}

// residentMB returns the resident memory of the process, or zero if it is gone.
func residentMB(process int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes >> 10
		}
	}
	return 0
}

// endedOverMemoryAt reports whether the node's process was killed over its memory at that time, give or take a
// second.
func (n *node) endedOverMemoryAt(at time.Time) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, killed := range n.overMemory {
		if at.Sub(killed).Abs() < time.Second {
			return true
		}
	}
	return false
}
