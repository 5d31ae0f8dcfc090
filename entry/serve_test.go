package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a rejection by quota without a Retry-After, or with one of zero, because the bucket is
// refilled within some milliseconds.
func TestQuotaRejectionAlwaysHasARetryAfter(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, wait := range []time.Duration{0, time.Millisecond} {
		g.Expect((&grant{assignReply: &assignReply{Reason: reasonQuota, RetryAfter: wait}}).retryAfter()).To(gomega.Equal(minRetryAfterHeader))
	}
	g.Expect((&grant{assignReply: &assignReply{Reason: reasonQuota, RetryAfter: time.Second}}).retryAfter()).To(gomega.Equal(time.Second))
}
