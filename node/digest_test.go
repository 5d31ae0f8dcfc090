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

var sampleReport = structs.LoadReport{
	Replica: "trakiya-e0", Age: 120 * time.Millisecond, Running: 20, Waiting: 3, WaitingTokens: 4000, Slots: 32, KVFree: 0.5,
	PrefillRate: 20000, StepTime: 12 * time.Millisecond, Models: []string{"ezik"}, Role: structs.RoleBoth,
}

// Guards against fields of a report that are lost in its digest.
func TestDigestRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	full := newDigest(&sampleReport, true)
	g.Expect(full.expand(&structs.LoadReport{})).To(gomega.Equal(sampleReport))
	withoutRare := newDigest(&sampleReport, false)
	g.Expect(withoutRare.expand(&sampleReport)).To(gomega.Equal(sampleReport), "fields that are left out keep their values")
	slower := sampleReport
	slower.StepTime *= 2
	g.Expect(rareChanged(&sampleReport, &slower)).To(gomega.BeTrue())
	g.Expect(rareChanged(&sampleReport, &sampleReport)).To(gomega.BeFalse())
}

// A node that joins between two rare parts must not treat replicas as engines
// without models, or it rejects all requests until the next rare part.
func TestDigestWithoutRarePartNeedsEarlierReport(t *testing.T) {
	g := gomega.NewWithT(t)
	n := &Node{
		scheduler:   scheduler.New(scheduler.Options{}, rand.New(rand.NewPCG(1, 1))),
		reportQueue: gossip.NewBroadcastQueue[structs.ReplicaID, timestampedDigest](maxQueuedReports, gossip.RetransmitMinimal),
	}
	n.scheduler.View().Upsert(structs.Replica{ID: sampleReport.Replica, Kind: structs.KindEngine})
	state, _ := n.scheduler.View().Get(sampleReport.Replica)
	n.applyDigests([]digest{newDigest(&sampleReport, false)})
	g.Expect(state.HasReport).To(gomega.BeFalse())
	newer := sampleReport
	newer.Age = 0
	n.applyDigests([]digest{newDigest(&newer, true)})
	g.Expect(state.HasReport).To(gomega.BeTrue())
	g.Expect(state.Report.Models).To(gomega.Equal(sampleReport.Models))
}

// BenchmarkDigest measures encoding and decoding a heartbeat full of digests.
func BenchmarkDigest(b *testing.B) {
	message := heartbeat{}
	for number := range reportsPerMessage {
		report := sampleReport
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
