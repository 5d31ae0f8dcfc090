package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/state/replicas"
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

// Guards against requests of a process that are dropped, and whose slots are given away, since a late heartbeat of the
// former process of its node came in between.
func TestLateHeartbeatOfAFormerProcessDropsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := eventlog.New("n", nil)
		defer log.Close()
		started := time.Now()
		n := New(&Settings{Name: "n"}, Dependencies{Log: log, Now: func() time.Duration { return time.Since(started) }})
		defer n.scheduling.timer.Stop()
		var err error
		n.heartbeatConn, err = memnet.New().Datagrams("n").ListenDatagrams("n:1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = n.heartbeatConn.Close() }()
		former := liveness.Heartbeat{Name: "m", Incarnation: 7, UptimeMS: 60000}
		n.applyHeartbeat(former)
		next := liveness.Heartbeat{Name: "m", Incarnation: 3, UptimeMS: 100}
		n.applyHeartbeat(next)
		n.scheduling.update(func(s *admission.Scheduler) {
			s.SetReplicas(0, []replicas.Replica{{ID: "r", Service: "s", Slots: 1}})
			s.SetSlowStart("s", admission.SlowStart{})
		})
		process := processName("m", next.Incarnation)
		reply := n.scheduling.assign(t.Context(), &assignRequest{Request: admission.Request{ID: "1", Node: process, Service: "s", Deadline: time.Minute, Patience: time.Minute}})
		g.Expect(reply.Reason).To(gomega.BeEmpty())
		former.UptimeMS += 100 // sent before its end, 100 ms ago
		n.applyHeartbeat(former)
		n.releaseDeadNodes()
		n.scheduling.update(func(s *admission.Scheduler) { g.Expect(s.Nodes()).To(gomega.HaveKey(process)) })
	})
}
