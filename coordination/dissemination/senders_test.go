package dissemination

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

func TestRepliesUnderWayFollowTheLink(t *testing.T) {
	g := gomega.NewWithT(t)
	for link, count := range map[float64]int{0: unknownSenders, 5: 1, 10: 1, 100: 5, 200: 10, 10_000: mostSenders} {
		g.Expect(cap(NewSendLimiter(link))).To(gomega.Equal(count), "%v Mbit/s", link)
	}
}

func TestATurnIsWaitedForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		turns := NewSendLimiter(10)
		g.Expect(turns.Acquire(context.Background())).To(gomega.BeTrue())
		begun := time.Now()
		g.Expect(turns.Acquire(context.Background())).To(gomega.BeFalse(), "nobody leaves")
		g.Expect(time.Since(begun)).To(gomega.Equal(turnWait))
		time.AfterFunc(turnWait/2, turns.Release)
		g.Expect(turns.Acquire(context.Background())).To(gomega.BeTrue())
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		g.Expect(turns.Acquire(ended)).To(gomega.BeFalse(), "the asking node is gone")
	})
}
