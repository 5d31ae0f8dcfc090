package caller

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/node"
)

// TestOverflowGoesToTheOtherZone takes the zone's only engine away.
func TestOverflowGoesToTheOtherZone(t *testing.T) {
	play(t, func(s *scene) {
		s.cluster.LeaveBackend("trakiya-e0")
		time.Sleep(4 * time.Second)
		got := s.send("POST", at(s.first, "/v1/chat/completions"), "couriers-key", question)
		s.Expect(got.status).To(gomega.Equal(200))
		executions := s.cluster.Executions()
		s.Expect(executions).To(gomega.HaveLen(1))
		s.Expect(executions[0].Replica).To(gomega.BeEquivalentTo("kapana-e0"))
	}, "services/ezik-servers", "overflow", "true", "services/ezik-servers", "overflow_zones", "kapana")
}

// TestNoOverflowUnlessSettingsAllowIt is the same without the settings.
func TestNoOverflowUnlessSettingsAllowIt(t *testing.T) {
	play(t, func(s *scene) {
		s.cluster.LeaveBackend("trakiya-e0")
		time.Sleep(4 * time.Second)
		got := s.send("POST", at(s.first, "/v1/chat/completions"), "couriers-key", question)
		s.Expect(got.header.Get(node.HeaderErrorCode)).To(gomega.Equal("no-replica"))
		s.Expect(s.cluster.Executions()).To(gomega.BeEmpty())
	})
}
