package entry

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/coordination/liveness"
)

// Guards against heartbeats of a busy scheduling node that exceed a datagram and never arrive.
func TestHeartbeatsFitADatagram(t *testing.T) {
	g := gomega.NewWithT(t)
	heartbeat := liveness.Heartbeat{Name: "n", Address: "10.0.0.1:7600", BucketLevels: map[string]float64{}, InFlight: map[string]liveness.InFlightCount{"external": {Total: 2, External: 1}}}
	for i := range 100 {
		heartbeat.InFlight[fmt.Sprintf("i-%010d", i)] = liveness.InFlightCount{Total: 1}
	}
	for i := range 20 {
		heartbeat.BucketLevels[fmt.Sprintf("tenant%d", i)] = 12345.6
	}
	content, err := encodeHeartbeat(heartbeat)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(content)).To(gomega.BeNumerically("<=", maxHeartbeatBytes))
	var received liveness.Heartbeat
	g.Expect(msgpack.Unmarshal(content, &received)).To(gomega.Succeed())
	g.Expect(received.InFlight).To(gomega.Equal(map[string]liveness.InFlightCount{"external": {Total: 2, External: 1}}))
	g.Expect(received.BucketLevels).To(gomega.HaveLen(20))
	for i := range 200 {
		heartbeat.InFlight[fmt.Sprintf("i-%010d", i)] = liveness.InFlightCount{Total: 1, External: 1}
		heartbeat.FailingReplicas = append(heartbeat.FailingReplicas, fmt.Sprintf("i-%010d", i))
	}
	content, err = encodeHeartbeat(heartbeat)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(content)).To(gomega.BeNumerically("<=", maxHeartbeatBytes))
}

// Guards against the long heartbeat interval of a large fleet being detected as a suspension.
func TestLongHeartbeatIntervalIsNoSuspension(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, members := range []int{1, 9, 65, 83, 390} {
		wait := heartbeatIntervalFor(members)
		g.Expect(isSuspension(wait+wait/10, wait)).To(gomega.BeFalse(), fmt.Sprint(members))
		g.Expect(isSuspension(wait+2*suspensionThreshold, wait)).To(gomega.BeTrue(), fmt.Sprint(members))
	}
}
