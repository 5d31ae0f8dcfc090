package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/scheduler"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/gossip"
	"github.com/thornwalk/thornwalk/structs"
)

var sample = structs.LoadReport{
	Replica: "trakiya-e0", Age: 120 * time.Millisecond, Running: 20, Waiting: 3, WaitingTokens: 4000, Slots: 32, KVFree: 0.5,
	PrefillRate: 20000, StepTime: 12 * time.Millisecond, Models: []string{"ezik"}, Role: structs.RoleBoth,
}

func TestDigestKeepsTheReport(t *testing.T) {
	g := gomega.NewWithT(t)
	whole := newDigest(&sample, true)
	g.Expect(whole.expand(&structs.LoadReport{})).To(gomega.Equal(sample))
	short := newDigest(&sample, false)
	g.Expect(short.expand(&sample)).To(gomega.Equal(sample), "what is left out stays")
	moved := sample
	moved.StepTime *= 2
	g.Expect(rareChanged(&sample, &moved)).To(gomega.BeTrue())
	g.Expect(rareChanged(&sample, &sample)).To(gomega.BeFalse())
}

// Seen in the fault matrix as "request at gate: load reports stale": a node that
// joined between two rare parts took the replicas for engines without models,
// and refused every request until the next report.
func TestDigestWithoutRarePartIsNoReportByItself(t *testing.T) {
	g := gomega.NewWithT(t)
	n := &Node{
		scheduler:   scheduler.New(scheduler.Options{}, rand.New(rand.NewPCG(1, 1))),
		reportQueue: gossip.NewBroadcastQueue[structs.ReplicaID, timestampedDigest](maxQueuedReports, gossip.RetransmitMinimal),
	}
	n.scheduler.View().Upsert(structs.Replica{ID: sample.Replica, Kind: structs.KindEngine})
	state, _ := n.scheduler.View().Get(sample.Replica)
	n.applyDigests([]digest{newDigest(&sample, false)})
	g.Expect(state.HasReport).To(gomega.BeFalse())
	newer := sample
	newer.Age = 0
	n.applyDigests([]digest{newDigest(&newer, true)})
	g.Expect(state.HasReport).To(gomega.BeTrue())
	g.Expect(state.Report.Models).To(gomega.Equal(sample.Models))
}

// BenchmarkDigest measures a heartbeat of a full set of digests.
func BenchmarkDigest(b *testing.B) {
	message := heartbeat{}
	for number := range reportsPerMessage {
		report := sample
		report.Replica = structs.ReplicaID(fmt.Sprintf("trakiya-e%d", number))
		message.Reports = append(message.Reports, newDigest(&report, false))
	}
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		body, err := peerwire.Marshal(&message)
		if err != nil {
			b.Fatal(err)
		}
		var read heartbeat
		if err := peerwire.Unmarshal(body, &read); err != nil {
			b.Fatal(err)
		}
		size = len(body)
	}
	b.ReportMetric(float64(size)/reportsPerMessage, "B/digest")
}
