package memnet

import (
	"context"
	"fmt"
)

// PathCut is how the connections between two groups of hosts fail.
type PathCut int

const (
	// CutSilent loses all data, and dials block.
	CutSilent PathCut = iota + 1
	// CutReset closes open connections, and dials are refused.
	CutReset
	// CutRefuseNew refuses dials; open connections work.
	CutRefuseNew
	// CutSilenceNew blocks dials; open connections work.
	CutSilenceNew
)

// PathCuts are all kinds of cuts.
var PathCuts = []PathCut{CutSilent, CutReset, CutRefuseNew, CutSilenceNew}

// String returns the name of the cut in the output of tests.
func (c PathCut) String() string {
	return [...]string{"none", "silent", "reset", "refuse new", "silence new"}[c]
}

// refusesDials reports whether dials fail at once.
func (c PathCut) refusesDials() bool { return c == CutReset || c == CutRefuseNew }

// CutPaths cuts the paths between the two groups of hosts, in both directions, until Heal. All other
// paths of these hosts work.
func (f *Fabric) CutPaths(left, right []string, cut PathCut) {
	if cut == CutSilent {
		f.Partition(left, right)
		return
	}
	var resets []*connection
	f.mutex.Lock()
	for _, a := range left {
		for _, b := range right {
			f.cutPaths[hostPair{a, b}], f.cutPaths[hostPair{b, a}] = cut, cut
		}
	}
	for c := range f.connections {
		if f.cutPaths[c.hostPair] == CutReset {
			resets = append(resets, c)
			delete(f.connections, c)
		}
	}
	f.mutex.Unlock()
	for _, c := range resets {
		c.close()
	}
}

// awaitPath returns nil if the host may connect to the target, or the error of the dial. It blocks until
// the context ends if the path is silent.
func (h host) awaitPath(ctx context.Context, target, address string) error {
	h.fabric.mutex.Lock()
	isBlocked := h.fabric.blockedLinks[hostPair{h.name, target}] || h.fabric.blockedLinks[hostPair{target, h.name}]
	cut := h.fabric.cutPaths[hostPair{h.name, target}]
	h.fabric.mutex.Unlock()
	switch {
	case cut.refusesDials():
		return fmt.Errorf("dial %s: %w", address, errRefused)
	case isBlocked || cut == CutSilenceNew:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}
