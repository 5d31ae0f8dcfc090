package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
)

// Guards against a successor that starts from the buckets of a former scheduling node: nothing is
// taken from these any more, so they refill while the current one grants from the quotas.
func TestLevelsOfAFormerSchedulerDoNotReplaceThoseOfTheCurrentOne(t *testing.T) {
	g := gomega.NewWithT(t)
	n := New(&Settings{Name: "n", LinkMbps: 10}, Dependencies{Log: eventlog.New("n", nil)})
	now := 20 * time.Second
	current := liveness.Heartbeat{Name: "a", Scheduler: "a", BucketLevels: map[string]float64{"tenant": 3}}
	former := liveness.Heartbeat{Name: "b", Scheduler: "a", BucketLevels: map[string]float64{"tenant": 300}}
	g.Expect(n.recordBucketLevels(now, former)).To(gomega.BeTrue(), "no other node has reported levels")
	g.Expect(n.recordBucketLevels(now, current)).To(gomega.BeTrue())
	g.Expect(n.recordBucketLevels(now+100*time.Millisecond, former)).To(gomega.BeFalse())
	g.Expect(n.bucketLevels).To(gomega.Equal(current.BucketLevels))
	g.Expect(n.recordBucketLevels(now+2*formerSchedulerReportTime, former)).To(gomega.BeTrue(), "the current one is silent")
}

// Guards against usage that no scheduling node counts: the one that began later did not charge what the
// earlier one granted, as if its levels always included that.
func TestUsageIsChargedWhoeverBeganToScheduleFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	n := New(&Settings{Name: "n", LinkMbps: 10}, Dependencies{Log: eventlog.New("n", nil)})
	report := func(taken float64) liveness.Heartbeat {
		return liveness.Heartbeat{Name: "a", Incarnation: 1, Usage: &liveness.QuotaUsage{Epoch: 1, Led: time.Hour.Milliseconds(), Taken: map[string]float64{"tenant": taken}}}
	}
	_, isKnown := n.recordUsage(0, report(70))
	g.Expect(isKnown).To(gomega.BeFalse(), "the levels that this node started from may include it")
	usage, isKnown := n.recordUsage(0, report(95))
	g.Expect(isKnown).To(gomega.BeTrue())
	g.Expect(usage.Amounts).To(gomega.Equal(map[string]float64{"tenant": 25}))
}

// Guards against queued requests of a tenant below its quota that are rejected by a successor, to which
// nothing was credited for the time in which nobody granted its share.
func TestSuccessorIsCreditedFromWhenThePredecessorGrantsOnlyItsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	n := New(&Settings{Name: "n", LinkMbps: 10}, Dependencies{Log: eventlog.New("n", nil)})
	n.members.Observe(0, liveness.Heartbeat{Name: "a", IntervalMS: 100})
	g.Expect(n.shareTimeoutOf("a")).To(gomega.Equal(300*time.Millisecond), "out of contact after two intervals, computed within another")
	g.Expect(n.shareTimeoutOf("unknown")).To(gomega.Equal(bucketLevelsRetention))
	n.isLarge = true
	g.Expect(n.shareTimeoutOf("a")).To(gomega.Equal(400*time.Millisecond), "large fleets go by the failure timeout")
}
