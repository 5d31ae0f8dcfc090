package entry

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/structs"
)

// These tests run the watch loop alone, on a scripted directory, and place a request for a complete
// read at each point of the loop.

const (
	// maxRereadDelay is the time from a request, or from the end of the read that is in progress
	// then, to the start of the requested read: a batch of changes, a backoff and some slack.
	maxRereadDelay = watchBatchTime + minBackoff + 70*time.Millisecond
	// slowReadTime is the duration of a read that a request overlaps.
	slowReadTime = 400 * time.Millisecond
	// settledAge is the process age at which the loop is in its first watch.
	settledAge = 2 * time.Second
)

// rereadScenario is a node whose watch loop runs on a scripted directory.
type rereadScenario struct {
	*gomega.WithT
	t         *testing.T
	node      *Node
	directory *scriptedDirectory
	// onWatchStart, if set, is called once, when the loop leaves the complete read for its watches.
	onWatchStart atomic.Pointer[func()]
	requests     []requestedRead
}

// requestedRead is a request for a complete read.
type requestedRead struct {
	at time.Duration
	// calls is the number of calls that the loop had made; inProgress is the latest of them if it had
	// not ended.
	calls      int
	inProgress *directoryCall
}

// String returns the time of the request and what the loop was doing.
func (r requestedRead) String() string {
	if r.inProgress == nil {
		return fmt.Sprintf("%v between calls", r.at)
	}
	return fmt.Sprintf("%v during %s", r.at, r.inProgress.kind)
}

// runReread runs the test in virtual time, while the loop is in its first watch.
func runReread(t *testing.T, test func(s *rereadScenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		elapsed := func() time.Duration { return time.Since(began) }
		s := &rereadScenario{WithT: gomega.NewWithT(t), t: t}
		s.directory = &scriptedDirectory{now: elapsed, position: positionInEra(2, 20), changed: make(chan struct{})}
		log := eventlog.New("n1", nil)
		s.node = New(&Settings{Name: "n1", StoreRecoveryWindow: 3000}, Dependencies{Log: log, Directory: s.directory, Now: elapsed})
		var err error
		s.node.heartbeatConn, err = memnet.New().Datagrams("n1").ListenDatagrams("n1:1")
		s.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = s.node.heartbeatConn.Close() }()
		s.Expect(s.node.metrics.Register("store_reread_ms", answerHistogram{metrics.NilHistogram{}, s.leaveRead})).To(gomega.Succeed())
		s.node.catalog.Store(&catalog.Catalog{Document: &catalog.Document{Version: 1}})
		s.node.loops.Go(s.node.watchLoop)
		defer log.Close()
		defer s.node.loops.Wait()
		defer s.node.cancel()
		time.Sleep(settledAge)
		synctest.Wait()
		s.Expect(s.directory.inProgress()).To(gomega.Equal("watch"))
		test(s)
	})
}

// atWatchStart makes the loop call the hook as it leaves its next complete read.
func (s *rereadScenario) atWatchStart(hook func()) { s.onWatchStart.Store(&hook) }

// leaveRead calls the hook of atWatchStart.
func (s *rereadScenario) leaveRead() {
	if hook := s.onWatchStart.Swap(nil); hook != nil {
		(*hook)()
	}
}

// answerHistogram calls onUpdate for each request that a complete read answers, which the loop records
// between the read and its first watch.
type answerHistogram struct {
	metrics.Histogram
	onUpdate func()
}

// Update implements metrics.Histogram.
func (h answerHistogram) Update(int64) { h.onUpdate() }

// endWindow ends a restore window, which requests a complete read.
func (s *rereadScenario) endWindow() {
	s.node.mutex.Lock()
	s.node.era.isKnown, s.node.era.current = true, 2
	s.node.setRestoreWindow(structs.RestoreWindow{Base: 1, Era: 2, Listed: 20}, s.node.now()-restoreWindowDuration)
	s.node.mutex.Unlock()
	s.recordRequest()
	s.node.endRestoreWindow()
}

// restoreStore restores the store without lost revisions, which a peer reports.
func (s *rereadScenario) restoreStore() {
	s.directory.mutex.Lock()
	revision := s.directory.position.Revision()
	s.directory.position = positionInEra(3, revision)
	s.directory.mutex.Unlock()
	s.recordRequest()
	s.node.mutex.Lock()
	defer s.node.mutex.Unlock()
	s.node.mergePeerEra(liveness.Heartbeat{Name: "n2", Era: 3, RestoreWindow: &structs.RestoreWindow{Base: 2, Era: 3, Listed: revision}})
}

// failCall reports the failure of a store call other than the loop's.
func (s *rereadScenario) failCall() {
	s.recordRequest()
	s.node.recordStoreFailure(errkind.New(errkind.StoreUnavailable, "read store: connection reset"))
}

func (s *rereadScenario) recordRequest() {
	s.directory.mutex.Lock()
	defer s.directory.mutex.Unlock()
	calls := s.directory.calls
	request := requestedRead{at: s.directory.now(), calls: len(calls)}
	if last := calls[len(calls)-1]; last.ended < 0 {
		request.inProgress = last
	}
	s.requests = append(s.requests, request)
}

// expectReread waits for more than fullReadInterval, and checks that a complete read started soon
// after the last request or, if a read was in progress then, after the end of that read.
func (s *rereadScenario) expectReread() {
	s.t.Helper()
	time.Sleep(fullReadInterval + 2*watchDuration)
	synctest.Wait()
	s.directory.mutex.Lock()
	defer s.directory.mutex.Unlock()
	s.Expect(s.requests).NotTo(gomega.BeEmpty(), "the request was not made")
	last := s.requests[len(s.requests)-1]
	due, reread := last.at, time.Duration(-1)
	if last.inProgress != nil && last.inProgress.kind == readAll {
		due = last.inProgress.ended
	}
	for _, call := range s.directory.calls[last.calls:] {
		if call.kind == readAll {
			reread = call.started
			break
		}
	}
	s.t.Logf("requested at %v, complete read at %v, %v later\n%s", s.requests, reread, reread-last.at, s.directory.trace())
	s.Expect(reread).To(gomega.BeNumerically(">", 0), "no complete read followed")
	s.Expect(reread-due).To(gomega.BeNumerically("<=", maxRereadDelay), "delay of the complete read")
}

// Guards against a request for a complete read that is lost unless it meets a watch in progress, so
// that what a restored store lists counts up to fullReadInterval late.
func TestRequestedCompleteReadFollowsAtOnce(t *testing.T) {
	for _, test := range []struct {
		name string
		run  func(s *rereadScenario)
	}{
		{"during a watch", func(s *rereadScenario) {
			s.endWindow()
		}},
		{"between two watches, while changes accumulate", func(s *rereadScenario) {
			s.directory.change()
			time.Sleep(watchBatchTime / 2)
			s.Expect(s.directory.inProgress()).To(gomega.BeEmpty())
			s.endWindow()
		}},
		{"while an update is applied", func(s *rereadScenario) {
			s.directory.set(func(d *scriptedDirectory) {
				d.problem = problemFunc(func() string { s.endWindow(); return "entry is invalid" })
			})
			s.directory.change()
		}},
		{"as a watch returns an update", func(s *rereadScenario) {
			s.directory.set(func(d *scriptedDirectory) { d.beforeWatchReturns = s.endWindow })
			s.directory.change()
		}},
		{"as a watch returns without an update", func(s *rereadScenario) {
			s.directory.set(func(d *scriptedDirectory) { d.beforeWatchReturns = s.endWindow })
		}},
		{"between a complete read and the first watch", func(s *rereadScenario) {
			s.atWatchStart(s.endWindow)
			s.endWindow()
		}},
		{"while a complete read is applied", func(s *rereadScenario) {
			s.directory.set(func(d *scriptedDirectory) { d.reportsInRead = true })
			s.directory.set(func(d *scriptedDirectory) {
				d.problem = problemFunc(func() string { s.endWindow(); return "entry is invalid" })
			})
			s.endWindow()
		}},
		{"while a complete read is in progress", func(s *rereadScenario) {
			s.directory.set(func(d *scriptedDirectory) { d.readTime = slowReadTime })
			s.endWindow()
			time.Sleep(slowReadTime / 2)
			s.Expect(s.directory.inProgress()).To(gomega.Equal(readAll))
			s.endWindow()
		}},
		{"twice during one watch", func(s *rereadScenario) {
			s.directory.set(func(d *scriptedDirectory) { d.cancelTime = watchBatchTime / 4 })
			s.endWindow()
			s.endWindow()
		}},
		{"twice between two watches", func(s *rereadScenario) {
			s.directory.change()
			time.Sleep(watchBatchTime / 4)
			s.endWindow()
			time.Sleep(watchBatchTime / 4)
			s.Expect(s.directory.inProgress()).To(gomega.BeEmpty())
			s.endWindow()
		}},
		{"new era, during a watch", func(s *rereadScenario) {
			s.restoreStore()
		}},
		{"new era, between two watches", func(s *rereadScenario) {
			s.directory.change()
			time.Sleep(watchBatchTime / 2)
			s.Expect(s.directory.inProgress()).To(gomega.BeEmpty())
			s.restoreStore()
		}},
		{"new era, while a complete read is in progress", func(s *rereadScenario) {
			s.directory.set(func(d *scriptedDirectory) { d.readTime = slowReadTime })
			s.endWindow()
			time.Sleep(slowReadTime / 2)
			s.Expect(s.directory.inProgress()).To(gomega.Equal(readAll))
			s.restoreStore()
		}},
		{"between two watches and during the next one", func(s *rereadScenario) {
			s.directory.change()
			time.Sleep(watchBatchTime / 2)
			s.endWindow()
			time.Sleep(watchBatchTime)
			s.Expect(s.directory.inProgress()).To(gomega.Equal("watch"))
			s.endWindow()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			runReread(t, func(s *rereadScenario) {
				test.run(s)
				s.expectReread()
			})
		})
	}
}

// Guards against a failed store call after which the loop watches on instead of reading the store
// again, so that the node regards the store as down until the watch ends.
func TestCompleteReadFollowsFailedStoreCall(t *testing.T) {
	for _, test := range []struct {
		name string
		run  func(s *rereadScenario)
	}{
		{"during a watch", func(s *rereadScenario) {
			s.failCall()
		}},
		{"between two watches", func(s *rereadScenario) {
			s.directory.change()
			time.Sleep(watchBatchTime / 2)
			s.Expect(s.directory.inProgress()).To(gomega.BeEmpty())
			s.failCall()
		}},
		{"while an update is applied", func(s *rereadScenario) {
			s.directory.set(func(d *scriptedDirectory) {
				d.problem = problemFunc(func() string { s.failCall(); return "entry is invalid" })
			})
			s.directory.change()
		}},
		{"as a watch returns an update", func(s *rereadScenario) {
			s.directory.set(func(d *scriptedDirectory) { d.beforeWatchReturns = s.failCall })
			s.directory.change()
		}},
		{"between a complete read and the first watch", func(s *rereadScenario) {
			s.atWatchStart(s.failCall)
			s.endWindow()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			runReread(t, func(s *rereadScenario) {
				test.run(s)
				time.Sleep(2 * maxRereadDelay)
				synctest.Wait()
				isDown := func() bool {
					s.node.mutex.Lock()
					defer s.node.mutex.Unlock()
					return s.node.isStoreDown
				}
				downAfterDelay, requested := isDown(), s.requests
				for isDown() {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("failed at %v, store regarded as up by %v", requested, s.directory.now())
				s.expectReread()
				s.Expect(downAfterDelay).To(gomega.BeFalse(), "store is regarded as down")
			})
		})
	}
}

// Guards against a replica that is used on after it left, because the node still regards the store as
// down after one failed call. No peer watches the store.
func TestReplicaThatLeftAfterAFailedStoreCallIsRemovedAtOnce(t *testing.T) {
	const timeAfterFailure = 6 * time.Second
	for name, batchTime := range map[string]time.Duration{"failed during a watch": 2 * watchBatchTime, "failed between two watches": watchBatchTime / 2} {
		t.Run(name, func(t *testing.T) {
			runReread(t, func(s *rereadScenario) {
				s.node.sendingBytes = func() int64 { return 0 }
				s.node.loops.Go(s.node.housekeeping)
				s.directory.change()
				time.Sleep(batchTime)
				s.failCall()
				time.Sleep(timeAfterFailure)
				left := s.directory.now()
				s.directory.removeReplica()
				for isKnown := true; isKnown; {
					time.Sleep(10 * time.Millisecond)
					s.node.mutex.Lock()
					_, isKnown = s.node.table.Get("r")
					s.node.mutex.Unlock()
				}
				removed := s.directory.now() - left
				s.directory.mutex.Lock()
				defer s.directory.mutex.Unlock()
				t.Logf("call failed at %v, the entry was removed at %v, the node removed the replica %v later\n%s", s.requests, left, removed, s.directory.trace())
				s.Expect(removed).To(gomega.BeNumerically("<=", maxRereadDelay))
			})
		})
	}
}
