package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against tenants that are shown to be refused although all of their requests were answered in one try, as the
// searches for successors of silent engines were refused.
func TestRefusedSearchesDoNotCountAsRefusedRequests(t *testing.T) {
	runSilent(t, func(s *silentScenario) {
		await := s.startStreams(silentStreams)
		s.silence(s.engineHosts, 2500*time.Millisecond)
		for _, got := range await() {
			s.Expect(isWholeStream(got)).To(gomega.BeTrue())
		}
		for _, row := range s.tenantTable(s.scheduler()).Tenants {
			s.Expect(row.Refused).To(gomega.BeEmpty(), "of %d answered", row.Answered)
			s.Expect(row.Unanswered).To(gomega.BeZero(), "of %d answered", row.Answered)
		}
	})
}
