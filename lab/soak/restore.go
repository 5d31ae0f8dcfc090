package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// With Options.Restore the store lists more entries than one of its answers contains, replicas write
// theirs again all the time, and the store is restored once from a backup that lists replicas which
// were deleted since.
const (
	// restoreStream is the random stream of the restore, and the next one that of the writes. Faults use
	// others.
	restoreStream = 2_000_003
	// fillerCount is the number of replicas that receive no requests. The store answers with 500 entries
	// at most.
	fillerCount = 700
	// minWriteMS and maxWriteMS bound the average interval between two writes of a run.
	minWriteMS, maxWriteMS = 30, 200
	// minBackupMS and maxBackupMS bound the time from the start of traffic to the backup.
	minBackupMS, maxBackupMS = 500, 2000
	// delayedShare is the share of runs in which other faults hit nodes and the store too. A node that is
	// started again reads the store completely, which hides a lost request for a read.
	delayedShare = 0.25
)

// The service of the relisted replicas, and its requests.
const (
	relistedService, relistedRoute = "relisted", "relisted"
	relistedCount                  = 2
	// relistedRate is the number of requests per second, to the nodes in turn.
	relistedRate = 15
)

// The rule on relisted replicas.
const (
	// relistTime is the time from the restore until nodes use what the store lists: they notice the
	// restore within a second, hold the restore window of 4 s, end it by a housekeeping every half second,
	// and make a complete read.
	relistTime = time.Second + 4*time.Second + 500*time.Millisecond + relistReadTime
	// relistReadTime is the time for the complete read of the store, in several calls.
	relistReadTime = 500 * time.Millisecond
	// relistJudgedTime is how long requests are judged from then on, at least.
	relistJudgedTime = 3 * time.Second
	// minRelistedAnswers is the least share of the judged requests that a node has to answer.
	// Pauses of a busy machine refuse some by chance.
	minRelistedAnswers = 0.8
	// minRelistedJudged is the least number of requests to a node that a run must judge.
	minRelistedJudged = 10
)

// restorePlan is what the seed determines for a run with Options.Restore.
type restorePlan struct {
	restore       fault
	writeInterval time.Duration
	// isDelayed is true if other faults hit nodes and the store.
	isDelayed bool
}

// drawRestore draws the restore from the seed.
func drawRestore(seed uint64) restorePlan {
	random := rand.New(rand.NewPCG(seed, restoreStream))
	between := func(low, high int) time.Duration {
		return time.Duration(low+random.IntN(high-low)) * time.Millisecond
	}
	return restorePlan{
		restore:       fault{kind: kindStoreCopy, offset: between(minBackupMS, maxBackupMS), duration: between(minFaultMS, maxFaultMS)},
		writeInterval: between(minWriteMS, maxWriteMS),
		isDelayed:     random.Float64() < delayedShare,
	}
}

func (p restorePlan) String() string {
	return fmt.Sprintf("a write every %v on average, faults of nodes and the store %t", p.writeInterval, p.isDelayed)
}

// kinds returns the kinds of the other faults.
func (p restorePlan) kinds() []kind {
	if p.isDelayed {
		return kinds
	}
	return slices.DeleteFunc(slices.Clone(kinds), kind.delaysReads)
}

// delaysReads reports whether the fault keeps a node from running or from reading the store.
func (k kind) delaysReads() bool {
	switch k {
	case kindKill, kindStop, kindFreeze, kindKillAll, kindStoreReset, kindStoreHang, kindStoreDown:
		return true
	}
	return false
}

// delay returns the span in which the fault, if it starts at the time, may delay the nodes' reads, with the
// time of recovery. It returns false if it delays none.
func (f fault) delay(start time.Time) (span, bool) {
	end := start.Add(f.duration + recoveryTime)
	if f.kind == kindStop {
		end = start.Add(stopGrace + restartDelay + recoveryTime)
	}
	return span{start, end}, f.kind.delaysReads()
}

// relistDue returns when every node has to use the replicas that the restored store lists: relistTime after
// the restore, or after the end of the last delay if delays overlap the time until requests were judged.
func relistDue(restoredAt time.Time, delays []span) time.Time {
	due := restoredAt.Add(relistTime)
	for _, delay := range slices.SortedFunc(slices.Values(delays), func(a, b span) int { return a.from.Compare(b.from) }) {
		if after := delay.to.Add(relistTime); delay.overlaps(span{restoredAt, due.Add(relistJudgedTime)}) && after.After(due) {
			due = after
		}
	}
	return due
}

// relistedSince returns when the present due time of relistDue was reached, and false before it.
func (i *injector) relistedSince() (time.Time, bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	due := relistDue(i.restoredAt, i.delays)
	return due, !i.restoredAt.IsZero() && !time.Now().Before(due)
}

// startFillers adds the entries of replicas that receive no requests and writes them again, one at a time,
// until the function that it returns is called.
func (d *deployment) startFillers(block string, seed uint64) (stop func()) {
	fillers := make([]*platformsim.Replica, fillerCount)
	for number := range fillers {
		fillers[number] = &platformsim.Replica{ID: fmt.Sprintf("far-%04d", number), Service: "elsewhere", Address: hostAddress(block, storeHost, replicaPort), Zone: "east", Slots: 1}
		fillers[number].Register(d.store, "ready")
	}
	random, interval := rand.New(rand.NewPCG(seed, restoreStream+1)), drawRestore(seed).writeInterval
	stopped := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(interval/2 + time.Duration(random.Int64N(int64(interval)))):
			}
			fillers[random.IntN(fillerCount)].Register(d.store, "ready")
		}
	})
	return func() { close(stopped); writer.Wait() }
}

// startRelisted starts the relisted replicas.
func (d *deployment) startRelisted(block string) error {
	for number := range relistedCount {
		listener, err := listen(hostAddress(block, firstRelistedHost+number, replicaPort))
		if err != nil {
			return err
		}
		d.replicaListeners = append(d.replicaListeners, listener)
		replica := &platformsim.Replica{ID: fmt.Sprintf("again-%d", number), Service: relistedService, Address: listener.Addr().String(), Zone: "east", Slots: registrySlots, Step: registryStep}
		go replica.Serve(listener)
		replica.Register(d.store, "ready")
		d.relisted = append(d.relisted, replica)
	}
	return nil
}

// allReplicas returns the replicas that receive requests.
func (d *deployment) allReplicas() []*platformsim.Replica {
	return slices.Concat(d.replicas, d.relisted)
}

// deleteRelisted deletes the entries of the relisted replicas, which serve on.
func (d *deployment) deleteRelisted() {
	for _, replica := range d.relisted {
		d.store.Delete("servers/" + replica.ID)
	}
}

// sendRelisted sends requests to the relisted replicas until enough were sent to judge their use after the
// restore. It returns when it started all.
func (c *callers) sendRelisted(ctx context.Context, i *injector) {
	var due time.Time
	judged := 0
	for number := 0; ctx.Err() == nil; number++ {
		if since, isDue := i.relistedSince(); !isDue || !since.Equal(due) {
			due, judged = since, 0
		} else if judged++; judged > nodeCount*minRelistedJudged && time.Since(due) > relistJudgedTime {
			return
		}
		c.group.Go(func() { c.record(c.sendOne(fmt.Sprintf("a%06d", number), relistedRoute, number%nodeCount)) })
		time.Sleep(time.Second / relistedRate)
	}
}

// checkRelisted checks that from relistDue on each node answers requests to the replicas that the restored
// store lists. Without delays each node must have refused some before, as it knew the replicas as gone;
// otherwise the run shows nothing.
func checkRelisted(result *Result, c *callers, i *injector, violate reportViolation) {
	due := relistDue(i.restoredAt, i.delays)
	var early, judged [nodeCount]tally
	var lastRefused time.Duration
	for _, call := range c.results {
		sentAt := call.span.from
		if call.route != relistedRoute || sentAt.Before(i.restoredAt) {
			continue
		}
		if sentAt.Before(due) {
			early[call.node].add(call)
		} else {
			judged[call.node].add(call)
		}
		if call.outcome != outcomeAnswered {
			lastRefused = max(lastRefused, sentAt.Sub(i.restoredAt))
		}
	}
	allowed := due.Sub(i.restoredAt)
	result.Worst["relisted"] = fmt.Sprintf("last request without an answer %.1f s after the restore, of %.1f s allowed", lastRefused.Seconds(), allowed.Seconds())
	for node, tally := range judged {
		if tally.requests < minRelistedJudged || float64(tally.answers) < minRelistedAnswers*float64(tally.requests) {
			violate("relisted: node %d answered %d of %d requests to replicas that the store lists, from %.1f s after its restore on", node, tally.answers, tally.requests, allowed.Seconds())
		}
		if len(i.delays) == 0 && early[node].answers == early[node].requests {
			violate("relisted: node %d did not know the replicas as gone: it answered all %d requests after the restore", node, early[node].requests)
		}
	}
}
