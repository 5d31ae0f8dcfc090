package entry

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/coordination/liveness"
)

// In a burst the scheduling node's heartbeats grew beyond what a datagram carries and
// nobody heard it.
func TestHeartbeatsFitADatagram(t *testing.T) {
	g := gomega.NewWithT(t)
	beat := liveness.Heartbeat{Name: "n", Address: "10.0.0.1:7600", BucketLevels: map[string]float64{}, InFlight: map[string]liveness.InFlightCount{"foreign": {Total: 2, External: 1}}}
	for i := range 100 {
		beat.InFlight[fmt.Sprintf("i-%010d", i)] = liveness.InFlightCount{Total: 1}
	}
	for i := range 20 {
		beat.BucketLevels[fmt.Sprintf("tenant%d", i)] = 12345.6
	}
	content, err := encodeHeartbeat(beat)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(content)).To(gomega.BeNumerically("<=", maxHeartbeatBytes))
	var heard liveness.Heartbeat
	g.Expect(msgpack.Unmarshal(content, &heard)).To(gomega.Succeed())
	g.Expect(heard.InFlight).To(gomega.Equal(map[string]liveness.InFlightCount{"foreign": {Total: 2, External: 1}}))
	g.Expect(heard.BucketLevels).To(gomega.HaveLen(20))
	for i := range 200 {
		beat.InFlight[fmt.Sprintf("i-%010d", i)] = liveness.InFlightCount{Total: 1, External: 1}
		beat.FailingReplicas = append(beat.FailingReplicas, fmt.Sprintf("i-%010d", i))
	}
	content, err = encodeHeartbeat(beat)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(content)).To(gomega.BeNumerically("<=", maxHeartbeatBytes))
}

// With 83 nodes heartbeats are a second apart, which was taken for a pause each time.
func TestLongHeartbeatIntervalIsNoSuspension(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, members := range []int{1, 9, 65, 83, 390} {
		wait := heartbeatIntervalFor(members)
		g.Expect(isSuspension(wait+wait/10, wait)).To(gomega.BeFalse(), fmt.Sprint(members))
		g.Expect(isSuspension(wait+2*suspensionThreshold, wait)).To(gomega.BeTrue(), fmt.Sprint(members))
	}
}
