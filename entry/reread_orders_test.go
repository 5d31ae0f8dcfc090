package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/structs"
)

// These tests place a request for a complete read at the points where other things than the watch loop
// decide: a failed read, a response of an earlier era, a change of the role, other reads, the node's stop.

// callsSince returns the kinds of the calls that started after the given number of calls, each with its
// outcome.
func (d *scriptedDirectory) callsSince(count int) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var kinds []string
	for _, call := range d.calls[count:] {
		outcome := "in progress"
		if call.err != nil {
			outcome = "error"
		} else if call.ended >= 0 {
			outcome = fmt.Sprintf("era %d", call.answer.Era())
		}
		kinds = append(kinds, call.kind+": "+outcome)
	}
	return kinds
}

// callCount returns the number of calls.
func (d *scriptedDirectory) callCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.calls)
}

// reread returns the pending requests.
func (s *rereadScenario) reread() *RereadStatus {
	s.node.mutex.Lock()
	defer s.node.mutex.Unlock()
	return s.node.rereads.status(s.node.now())
}

// failNextRead makes the next read fail after it calls during.
func (s *rereadScenario) failNextRead(during func()) {
	s.directory.set(func(d *scriptedDirectory) {
		d.readTime = slowReadTime
		d.beforeReadReturns = func() (structs.StorePosition, error) {
			during()
			return 0, errkind.New(errkind.StoreUnavailable, "read store: status 503")
		}
	})
}

// Guards against a request that is lost, or that takes a second read, because the read in progress fails.
func TestRetryAnswersRequestsMadeDuringAFailedRead(t *testing.T) {
	for name, request := range map[string]func(s *rereadScenario){
		"no request":    func(*rereadScenario) {},
		"end of window": (*rereadScenario).endWindow,
		"failed call":   (*rereadScenario).failCall,
		"new era":       (*rereadScenario).restoreStore,
	} {
		t.Run(name, func(t *testing.T) {
			runReread(t, func(s *rereadScenario) {
				s.failNextRead(func() { request(s) })
				count := s.directory.callCount()
				s.endWindow()
				time.Sleep(slowReadTime + minBackoff/2)
				s.Expect(s.reread()).To(gomega.HaveValue(gomega.And(
					gomega.HaveField("Reason", "restore-window-ended"), gomega.HaveField("AgeMS", (slowReadTime+minBackoff/2).Milliseconds()))), "the failed read answers nothing")
				time.Sleep(minBackoff + slowReadTime)
				synctest.Wait()
				s.Expect(s.reread()).To(gomega.BeNil())
				era := "era 2"
				if name == "new era" {
					era = "era 3"
				}
				s.Expect(s.directory.callsSince(count)).To(gomega.Equal([]string{"read all: error", "read all: " + era, "watch: in progress"}))
				s.expectReread()
			})
		})
	}
}

// Guards against a response of an earlier era, as a lagging server of the store gives it, that answers
// requests or is watched from.
func TestResponseOfAnEarlierEraAnswersNoRequest(t *testing.T) {
	for name, isDuringRead := range map[string]bool{"new era known before the read": false, "new era reported during the read": true} {
		t.Run(name, func(t *testing.T) {
			runReread(t, func(s *rereadScenario) {
				earlier := positionInEra(2, 20)
				s.directory.set(func(d *scriptedDirectory) {
					d.readTime = slowReadTime
					d.beforeReadReturns = func() (structs.StorePosition, error) {
						if isDuringRead {
							s.restoreStore()
						}
						return earlier, nil
					}
				})
				count := s.directory.callCount()
				s.endWindow()
				if !isDuringRead {
					s.restoreStore()
				}
				time.Sleep(slowReadTime + minBackoff/2)
				s.Expect(s.reread()).To(gomega.HaveValue(gomega.HaveField("Count", gomega.BeNumerically(">=", 2))), "requests that the earlier era does not answer")
				time.Sleep(minBackoff + slowReadTime)
				synctest.Wait()
				s.Expect(s.reread()).To(gomega.BeNil())
				s.Expect(s.directory.callsSince(count)).To(gomega.Equal([]string{"read all: era 2", "read all: era 3", "watch: in progress"}))
				s.expectReread()
			})
		})
	}
}

// peersBefore is the number of peers in roles; more than watchingNodes of them rank before the node.
const peersBefore = 12

// setRole gives the node its role by the heartbeats of peers, all of which reach the store or none of
// which does.
func (s *rereadScenario) setRole(reachStore bool) {
	s.node.mutex.Lock()
	defer s.node.mutex.Unlock()
	now := s.node.now()
	for i := range peersBefore {
		s.node.members.Observe(now, liveness.Heartbeat{Name: fmt.Sprint("peer", i), Incarnation: 1, StoreUnreachable: !reachStore, Cores: 1})
	}
	s.node.lastContactAt = now
	s.node.updateRole(now, s.node.members.Live(now))
	s.Expect(s.node.watchesStore(now)).To(gomega.Equal(!reachStore))
}

// keepContact makes heartbeats arrive for the time, so that the node is not isolated.
func (s *rereadScenario) keepContact(duration time.Duration) {
	for end := s.directory.now() + duration; s.directory.now() < end; {
		s.node.mutex.Lock()
		s.node.lastContactAt = s.node.now()
		s.node.mutex.Unlock()
		time.Sleep(heartbeatInterval)
	}
	synctest.Wait()
}

// delayCanceledWatch makes canceled watches return late, so that what a test does at the moment of a
// request comes before the loop's next step.
func (s *rereadScenario) delayCanceledWatch() {
	s.directory.set(func(d *scriptedDirectory) { d.cancelTime = watchBatchTime / 4 })
}

// Guards against a node that, as it ceases to watch at the moment of a request, reads the store all the
// same or reports the request as pending for good, and against one that watches again without a read.
func TestRequestAsTheNodeCeasesToWatch(t *testing.T) {
	stopWatching := func(s *rereadScenario) { s.setRole(true) }
	for _, order := range []struct {
		name  string
		steps []func(s *rereadScenario)
	}{
		{"role, then request", []func(s *rereadScenario){stopWatching, (*rereadScenario).endWindow}},
		{"request, then role", []func(s *rereadScenario){(*rereadScenario).endWindow, stopWatching}},
	} {
		for point, prepare := range map[string]func(s *rereadScenario){
			"during a watch": (*rereadScenario).delayCanceledWatch,
			"between two watches": func(s *rereadScenario) {
				s.directory.change()
				time.Sleep(watchBatchTime / 2)
				s.Expect(s.directory.inProgress()).To(gomega.BeEmpty())
			},
		} {
			t.Run(order.name+" "+point, func(t *testing.T) {
				runReread(t, func(s *rereadScenario) {
					prepare(s)
					count := s.directory.callCount()
					for _, step := range order.steps {
						step(s)
					}
					s.keepContact(3 * time.Second)
					s.Expect(s.directory.callsSince(count)).To(gomega.BeEmpty(), "calls by a node that does not watch")
					s.Expect(s.reread()).To(gomega.BeNil())
					s.Expect(s.node.rereadAgeMS()).To(gomega.BeZero())
					s.setRole(false)
					time.Sleep(2 * heartbeatInterval)
					synctest.Wait()
					s.Expect(s.directory.callsSince(count)).To(gomega.Equal([]string{"read all: era 2", "watch: in progress"}))
				})
			})
		}
	}
}

// Guards against a node that, as it begins to watch at the moment of a request, watches before the read,
// and against a second read for one request.
func TestRequestAsTheNodeBeginsToWatch(t *testing.T) {
	startWatching := func(s *rereadScenario) { s.setRole(false) }
	for name, steps := range map[string][]func(s *rereadScenario){
		"role, then request":          {startWatching, (*rereadScenario).endWindow},
		"request, then role":          {(*rereadScenario).endWindow, startWatching},
		"request, role, request":      {(*rereadScenario).endWindow, startWatching, (*rereadScenario).endWindow},
		"role, then report of an era": {startWatching, (*rereadScenario).restoreStore},
		"report of an era, then role": {(*rereadScenario).restoreStore, startWatching},
	} {
		t.Run(name, func(t *testing.T) {
			runReread(t, func(s *rereadScenario) {
				s.setRole(true)
				s.directory.change()
				s.keepContact(time.Second)
				count := s.directory.callCount()
				for _, step := range steps {
					step(s)
				}
				time.Sleep(2 * heartbeatInterval)
				synctest.Wait()
				calls := s.directory.callsSince(count)
				s.Expect(calls).To(gomega.HaveLen(2))
				s.Expect(calls[0]).To(gomega.HavePrefix(readAll))
				s.Expect(calls[1]).To(gomega.Equal("watch: in progress"))
				s.Expect(s.reread()).To(gomega.BeNil())
			})
		})
	}
}

// Guards against a request that is lost between two changes of the role that the loop does not notice.
func TestRequestBetweenTwoUnnoticedChangesOfTheRole(t *testing.T) {
	runReread(t, func(s *rereadScenario) {
		s.delayCanceledWatch()
		s.setRole(true)
		s.endWindow()
		s.setRole(false)
		s.expectReread()
	})
}

// hookedRevisions answers with the position and calls the hook before it does.
type hookedRevisions struct {
	position structs.StorePosition
	calls    int
	hook     func()
}

// Revision implements outside.Revisions.
func (r *hookedRevisions) Revision(context.Context) (structs.StorePosition, error) {
	r.calls++
	if r.hook != nil {
		r.hook()
	}
	return r.position, nil
}

// Guards against a check of the revision that takes the place of a read although a complete read is
// requested: a request says that what the watch delivered is not enough.
func TestPendingRequestIsNotSparedItsRead(t *testing.T) {
	for _, test := range []struct {
		name string
		// The request comes before the check, in its call of the store, or while it waits for the watch.
		before, during, waiting bool
		isSpared                bool
		calls                   int
	}{
		{name: "no request", isSpared: true, calls: 1},
		{name: "pending before the check", before: true},
		{name: "during the call", during: true, calls: 1},
		{name: "while the check waits for the watch", waiting: true, calls: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				log := eventlog.New("n", nil)
				defer log.Close()
				position := positionInEra(2, 20)
				revisions := &hookedRevisions{position: position}
				n := New(&Settings{Name: "n"}, Dependencies{Log: log, Revisions: revisions})
				defer n.cancel()
				n.era.isKnown, n.era.current = true, position.Era()
				n.table.SetCompleteTo(position)
				n.readCalls, n.watchHealthy = 2, true
				request := func() { n.requestReread(rereadRestoreWindowEnded) }
				if test.before {
					request()
				}
				if test.during {
					revisions.hook = request
				}
				if test.waiting {
					time.AfterFunc(maxWatchDelay/2, request)
				}
				g.Expect(n.mayHaveMissedChanges()).To(gomega.Equal(!test.isSpared))
				g.Expect(revisions.calls).To(gomega.Equal(test.calls))
				g.Expect(n.replicaFreshness.Known()).To(gomega.Equal(test.isSpared), "the replicas are recorded as read")
				revisions.hook = nil
				n.mutex.Lock()
				n.rereads.beginRead()
				n.rereads.answer(position.Era())
				n.mutex.Unlock()
				g.Expect(n.mayHaveMissedChanges()).To(gomega.BeFalse(), "the request is answered")
			})
		})
	}
}

// Guards against a request that the regular read of the reading node answers, which began before it, and
// against a loop that waits for that read.
func TestRegularReadAnswersNoRequest(t *testing.T) {
	runReread(t, func(s *rereadScenario) {
		s.directory.set(func(d *scriptedDirectory) { d.readTime = slowReadTime })
		s.node.loops.Go(s.node.readLoop)
		for s.directory.inProgress() != readAll {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
		}
		regular, count := s.directory.lastCall(), s.directory.callCount()
		time.Sleep(slowReadTime / 2)
		s.endWindow()
		synctest.Wait()
		s.Expect(s.directory.callsSince(count)).To(gomega.Equal([]string{"read all: in progress"}), "the loop reads at once")
		requested := s.directory.lastCall()
		time.Sleep(slowReadTime * 3 / 4)
		s.directory.mutex.Lock()
		s.Expect(regular.ended).To(gomega.BeNumerically(">", 0), "the regular read ended")
		s.Expect(requested.ended).To(gomega.BeNumerically("<", 0), "the requested read goes on")
		s.directory.mutex.Unlock()
		s.Expect(s.reread()).NotTo(gomega.BeNil())
		time.Sleep(slowReadTime / 2)
		synctest.Wait()
		s.Expect(s.reread()).To(gomega.BeNil())
		s.Expect(s.directory.callsSince(count)[:2]).To(gomega.Equal([]string{"read all: era 2", "watch: in progress"}))
	})
}

// lastCall returns the latest call.
func (d *scriptedDirectory) lastCall() *directoryCall {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.calls[len(d.calls)-1]
}

// Guards against a node whose stop hangs, or that leaves a goroutine or calls the store after it, because
// of requests made meanwhile.
func TestNodeStopsWhileReadsAreRequested(t *testing.T) {
	for name, prepare := range map[string]func(s *rereadScenario){
		"during a watch": func(*rereadScenario) {},
		"between two watches": func(s *rereadScenario) {
			s.directory.change()
			time.Sleep(watchBatchTime / 2)
		},
		"during a read": func(s *rereadScenario) {
			s.directory.set(func(d *scriptedDirectory) { d.readTime = slowReadTime })
			s.endWindow()
			time.Sleep(slowReadTime / 2)
			s.Expect(s.directory.inProgress()).To(gomega.Equal(readAll))
		},
		"after a failed read": func(s *rereadScenario) {
			s.failNextRead(func() {})
			s.endWindow()
			time.Sleep(slowReadTime + minBackoff/2)
			s.Expect(s.directory.inProgress()).To(gomega.BeEmpty())
		},
		"as a canceled watch returns": func(s *rereadScenario) {
			s.directory.set(func(d *scriptedDirectory) { d.cancelTime = watchBatchTime })
			s.endWindow()
			time.Sleep(watchBatchTime / 2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runReread(t, func(s *rereadScenario) {
				s.node.loops.Go(s.node.readLoop)
				s.node.loops.Go(s.node.housekeeping)
				s.node.sendingBytes = func() int64 { return 0 }
				prepare(s)
				var requests sync.WaitGroup
				for _, reason := range slices.Clone(rereadReasons) {
					requests.Go(func() {
						for range 20 {
							s.node.requestReread(reason)
							s.node.recordStoreFailure(errkind.New(errkind.StoreUnavailable, "read store: connection reset"))
						}
					})
				}
				stopped := s.directory.now()
				s.node.cancel()
				s.node.loops.Wait()
				requests.Wait()
				s.Expect(s.directory.now()-stopped).To(gomega.BeNumerically("<=", watchBatchTime), "time to stop")
				s.endWindow()
				count := s.directory.callCount()
				time.Sleep(2 * watchDuration)
				s.Expect(s.directory.callCount()).To(gomega.Equal(count), "calls after the stop")
				s.Expect(s.directory.inProgress()).To(gomega.BeEmpty())
			})
		})
	}
}

// Guards against a complete read of the watch loop that leaves no line and no counter, because each of its
// requests was made again while it was in progress.
func TestReadDuringWhichItsRequestIsMadeAgainIsCounted(t *testing.T) {
	runReread(t, func(s *rereadScenario) {
		s.directory.set(func(d *scriptedDirectory) { d.readTime = slowReadTime })
		count := s.directory.callCount()
		s.endWindow()
		time.Sleep(slowReadTime / 2)
		s.endWindow()
		time.Sleep(2 * slowReadTime)
		synctest.Wait()
		s.Expect(s.directory.callsSince(count)).To(gomega.Equal([]string{"read all: era 2", "read all: era 2", "watch: in progress"}))
		s.Expect(s.node.counter("store.rereads.restore-window-ended").Count()).To(gomega.Equal(int64(2)), "complete reads by the watch loop")
	})
}
