package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/lab/pathfault"
)

// Cuts of the paths between some nodes and all replicas, with Options.Cuts.

const (
	cutCount = 2
	// minCutTime and cutTimeRange bound how long a cut lasts, and cutGraceTime is the time after its start from
	// which callers of its nodes must be served like others.
	minCutTime   = 5 * time.Second
	cutTimeRange = 3 * time.Second
	cutGraceTime = 3 * time.Second
	// maxCutNodes leaves one node with paths to replicas.
	maxCutNodes = nodeCount - 1
	// A cut's callers may miss minAllowedFailures and a share of allowedFailureShare of their requests, or
	// be served minServedRatio as often as the others.
	minAllowedFailures  = 10
	allowedFailureShare = 1.0 / 50
	minServedRatio      = 2.0 / 3
)

// cutFaults returns cuts one after the other, drawn with the seed.
func cutFaults(seed uint64, traffic time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, seed+1))
	var plan []fault
	for number := range cutCount {
		from := traffic * time.Duration(number) / cutCount
		slack := max(traffic/cutCount-minCutTime-cutTimeRange, time.Second)
		plan = append(plan, fault{
			kind: kindPathCut, offset: from + time.Duration(random.Int64N(int64(slack))), duration: minCutTime + time.Duration(random.Int64N(int64(cutTimeRange))),
			nodes: random.Perm(nodeCount)[:1+random.IntN(maxCutNodes)], mode: pathfault.Modes[random.IntN(len(pathfault.Modes))],
		})
	}
	return plan
}

// cutPaths cuts the paths between the fault's nodes and its replicas with processes, or all replicas if it has none.
func (i *injector) cutPaths(f fault) (heal func()) {
	write := func(mode pathfault.Mode, addresses []string) {
		for _, node := range f.nodes {
			if err := pathfault.Write(i.deployment.processes[node].cutsPath, mode, addresses); err != nil {
				i.deployment.processes[node].recordFailure(err)
			}
		}
	}
	var addresses []string
	for _, replicaProxy := range i.deployment.replicaProxies {
		addresses = append(addresses, replicaProxy.address())
	}
	if len(f.replicas) > 0 {
		addresses = nil
	}
	for _, number := range f.replicas {
		addresses = append(addresses, i.deployment.processAddress(number))
	}
	now := time.Now()
	write(f.mode, addresses)
	i.mutex.Lock()
	i.cuts = append(i.cuts, cutSpan{span: span{now, now.Add(f.duration)}, fault: f})
	i.mutex.Unlock()
	return func() { write("", nil) }
}

// cutSpan is when a cut was in effect.
type cutSpan struct {
	span
	fault fault
}

// servedCount counts requests and those of them that were answered.
type servedCount struct{ sent, served int }

func (s servedCount) failed() int { return s.sent - s.served }

func (s servedCount) share() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// checkCuts checks that callers of nodes without paths to replicas were served like those of other nodes.
func checkCuts(result *Result, c *callers, i *injector, violate reportViolation) {
	for _, cut := range i.cuts {
		if len(cut.fault.replicas) > 0 {
			continue // other replicas can be reached
		}
		judged := span{cut.from.Add(cutGraceTime), cut.to}
		var atCut, atOthers servedCount
		for _, call := range c.results {
			if call.span.from.Before(judged.from) || call.span.from.After(judged.to) || i.isNodeDisturbed(call.node, call.span) {
				continue
			}
			counted := &atOthers
			if slices.Contains(cut.fault.nodes, call.node) {
				if i.areAllOthersSuspended(cut.fault.nodes, call.span) {
					continue
				}
				counted = &atCut
			}
			counted.sent++
			if call.outcome == outcomeAnswered {
				counted.served++
			}
		}
		result.Counts["sent at cut nodes"] += atCut.sent
		result.Counts["served at cut nodes"] += atCut.served
		allowed := minAllowedFailures + int(float64(atCut.sent)*allowedFailureShare)
		if atCut.failed() > allowed && atCut.share() < minServedRatio*atOthers.share() {
			violate("nodes %v without paths to replicas (%s) served %d of %d, the others %d of %d", cut.fault.nodes, cut.fault.mode, atCut.served, atCut.sent, atOthers.served, atOthers.sent)
		}
	}
}

// areAllOthersSuspended reports whether each node outside of the cut was suspended during a part of the span, so that
// no node could reach replicas throughout it.
func (i *injector) areAllOthersSuspended(cutNodes []int, call span) bool {
	for node := range nodeCount {
		if !slices.Contains(cutNodes, node) && !slices.ContainsFunc(i.suspensions[node], call.overlaps) {
			return false
		}
	}
	return true
}

// isNodeDisturbed reports whether the node's process ended or was suspended around the span.
func (i *injector) isNodeDisturbed(node int, around span) bool {
	widened := span{around.from.Add(-cutGraceTime), around.to}
	overlaps := func(disturbance span) bool { return disturbance.overlaps(widened) }
	return slices.ContainsFunc(i.restarts[node], overlaps) || slices.ContainsFunc(i.suspensions[node], overlaps)
}
