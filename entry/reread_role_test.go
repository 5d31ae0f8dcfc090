package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a read of the replicas alone that is taken for the answer to a request, and against
// requests that stay pending at a node that leaves complete reads to others.
func TestReadOfTheReplicasAnswersNoRequest(t *testing.T) {
	runReread(t, func(s *rereadScenario) {
		setRole := func(rank int) {
			s.node.mutex.Lock()
			defer s.node.mutex.Unlock()
			s.node.watchRank, s.node.lastContactAt = rank, s.node.now()+time.Hour
		}
		setRole(watchingNodes)
		s.directory.set(func(d *scriptedDirectory) { d.readTime = slowReadTime })
		s.failCall()
		for s.directory.inProgress() != "read replicas" {
			time.Sleep(time.Millisecond)
		}
		s.node.mutex.Lock()
		s.node.lastContactAt += time.Hour
		s.node.mutex.Unlock()
		time.Sleep(slowReadTime + heartbeatInterval + minBackoff)
		synctest.Wait()
		s.Expect(s.node.counter("store.rereads.store-failed").Count()).To(gomega.BeZero())
		s.Expect(s.node.rereadAgeMS()).To(gomega.BeZero())
		setRole(0)
		s.recordRequest()
		time.Sleep(2*heartbeatInterval + slowReadTime)
		synctest.Wait()
		s.directory.mutex.Lock()
		defer s.directory.mutex.Unlock()
		s.Expect(s.directory.calls[s.requests[1].calls].kind).To(gomega.Equal(readAll), s.directory.trace())
	})
}

// Guards against a read at once after a failed call of another loop: the loop waits as after its own
// failures, so that a store that fails and recovers quickly is not read in a tight loop.
func TestCompleteReadAfterAFailedStoreCallIsDelayed(t *testing.T) {
	runReread(t, func(s *rereadScenario) {
		s.failCall()
		s.expectReread()
		s.directory.mutex.Lock()
		defer s.directory.mutex.Unlock()
		s.Expect(s.directory.calls[s.requests[0].calls].started - s.requests[0].at).To(gomega.BeNumerically(">=", minBackoff))
	})
}
