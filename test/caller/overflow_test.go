package caller

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/node"
)

// Guards against requests that fail although overflow to another zone is enabled.
func TestOverflowIsSentToConfiguredZone(t *testing.T) {
	runWithDeployment(t, func(d *deployment) {
		d.cluster.MarkBackendLeaving("trakiya-e0")
		time.Sleep(4 * time.Second)
		got := d.send("POST", callerURL(d.first, "/v1/chat/completions"), "couriers-key", chatRequest)
		d.Expect(got.status).To(gomega.Equal(200))
		executions := d.cluster.Executions()
		d.Expect(executions).To(gomega.HaveLen(1))
		d.Expect(executions[0].Replica).To(gomega.BeEquivalentTo("kapana-e0"))
	}, "services/ezik-servers", "overflow", "true", "services/ezik-servers", "overflow_zones", "kapana")
}

// Guards against requests that leave their zone although overflow is not enabled.
func TestNoOverflowByDefault(t *testing.T) {
	runWithDeployment(t, func(d *deployment) {
		d.cluster.MarkBackendLeaving("trakiya-e0")
		time.Sleep(4 * time.Second)
		got := d.send("POST", callerURL(d.first, "/v1/chat/completions"), "couriers-key", chatRequest)
		d.Expect(got.header.Get(node.HeaderErrorCode)).To(gomega.Equal("no-replica"))
		d.Expect(d.cluster.Executions()).To(gomega.BeEmpty())
	})
}
