package dissemination

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against replies that fill a narrow link.
func TestConcurrentRepliesDependOnTheBandwidth(t *testing.T) {
	g := gomega.NewWithT(t)
	for link, count := range map[float64]int{0: defaultReplies, 5: 1, 10: 1, 100: 5, 200: 10, 10_000: maxReplies} {
		g.Expect(cap(NewSendLimiter(link))).To(gomega.Equal(count), "%v Mbit/s", link)
	}
}

// Guards against a request that waits for longer than its timeout or context.
func TestAcquireWaitsForARelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		limiter := NewSendLimiter(10)
		g.Expect(limiter.Acquire(context.Background())).To(gomega.BeTrue())
		start := time.Now()
		g.Expect(limiter.Acquire(context.Background())).To(gomega.BeFalse(), "no reply ends in time")
		g.Expect(time.Since(start)).To(gomega.Equal(acquireTimeout))
		time.AfterFunc(acquireTimeout/2, limiter.Release)
		g.Expect(limiter.Acquire(context.Background())).To(gomega.BeTrue())
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		g.Expect(limiter.Acquire(canceled)).To(gomega.BeFalse(), "the context is canceled")
	})
}
