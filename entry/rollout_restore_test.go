package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/rollout"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// rolloutStore is a store of one roll-out's record.
type rolloutStore struct {
	record   rollouts.Record
	position structs.StorePosition
	// lastWritten is the latest record that was written since the test reset it.
	lastWritten rollouts.Record
}

func (s *rolloutStore) WriteRollout(_ context.Context, record rollouts.Record) (structs.StorePosition, error) {
	if record.Position.Revision() != s.record.Position.Revision() {
		return 0, errkind.New(errkind.Conflict, "write roll-out: the record is at %v", s.record.Position)
	}
	hasOtherEra := record.Position > 0 && record.Position.Era() != s.position.Era()
	s.position++
	record.Position = s.position
	s.record, s.lastWritten = record, record
	if hasOtherEra {
		return 0, errkind.New(errkind.StoreUnknown, "write roll-out: the store is in another era")
	}
	return s.position, nil
}

func (s *rolloutStore) ReadRollout(context.Context, string) (rollouts.Record, structs.StorePosition, error) {
	if s.record.Position == 0 {
		return rollouts.Record{Service: "s"}, s.position, nil
	}
	return s.record, s.position, nil
}

// restore restores the store, in the next era, from a backup at the revision with the record, which may have position zero.
func (s *rolloutStore) restore(record rollouts.Record, revision int64) {
	era := s.position.Era() + 1
	if record.Position > 0 {
		record.Position = positionInEra(era, record.Position.Revision())
	}
	s.record, s.position, s.lastWritten = record, positionInEra(era, revision), rollouts.Record{}
}

// recordWith returns a record of the order at revision 6 in the canary phase.
func recordWith(requests int, position structs.StorePosition) rollouts.Record {
	return rollouts.Record{
		Service: "s", Target: "v2", OrderPosition: positionInEra(1, 6), Phase: rollouts.PhaseCanary, Requests: requests, Exposed: 40 + requests/10,
		Elapsed: time.Duration(requests) * time.Millisecond, Position: position,
	}
}

// runRolloutNode runs the test with a node that schedules and steps a roll-out with 420 requests, in era 1.
func runRolloutNode(t *testing.T, test func(g *gomega.WithT, n *Node, store *rolloutStore)) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		compiled, err := catalog.Compile(&catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s"}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		log := eventlog.New("n", nil)
		store := &rolloutStore{record: recordWith(420, positionInEra(1, 25)), position: positionInEra(1, 30)}
		n := New(&Settings{Name: "n"}, Dependencies{Rollouts: store, Log: log})
		defer func() { n.cancel(); log.Close() }()
		n.catalog.Store(compiled)
		n.mutex.Lock()
		n.scheduler = "n"
		n.checkEra(store.position)
		for id, version := range map[string]string{"a": "v1", "b": "v2"} {
			n.table.Put(replicas.Replica{ID: id, Service: "s", Version: version, Slots: 4, Position: positionInEra(1, 7)})
		}
		n.mutex.Unlock()
		n.applyRollouts([]rollouts.Order{{Service: "s", Target: "v2", Duration: time.Minute, Position: positionInEra(1, 6)}}, []rollouts.Record{store.record}, store.position)
		test(g, n, store)
	})
}

// knownRecord returns the record that the node knows.
func (n *Node) knownRecord() rollouts.Record {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	record, _ := n.rollouts.Record("s")
	return record
}

// Guards against a record of a backup that replaces the later one of the scheduling node, by the read after a failed write,
// so that the target gets the requests between them once more.
func TestRecordReadAfterAFailedWriteDoesNotSetARolloutBack(t *testing.T) {
	for name, backup := range map[string]rollouts.Record{
		"an earlier record": recordWith(300, positionInEra(1, 21)),
		"no record":         {},
	} {
		t.Run(name, func(t *testing.T) {
			runRolloutNode(t, func(g *gomega.WithT, n *Node, store *rolloutStore) {
				store.restore(backup, 23)
				n.rereadRollout(t.Context(), "s")
				g.Expect(n.knownRecord().Requests).To(gomega.Equal(420))
				g.Expect(n.lostRollouts()).To(gomega.Equal([]string{"s"}))
				n.restoreRollout("s")
				g.Expect(store.record.Requests).To(gomega.Equal(420), "the store has what the node knows")
				g.Expect(n.knownRecord().Position).To(gomega.Equal(store.record.Position))
				g.Expect(n.lostRollouts()).To(gomega.BeEmpty())
			})
		})
	}
}

// Guards against nodes that know a later record than the scheduling node and wait for one that it has written since the
// restore, which it does not as it only has what the backup has.
func TestRecordOfABackupIsWrittenAgain(t *testing.T) {
	runRolloutNode(t, func(g *gomega.WithT, n *Node, store *rolloutStore) {
		store.restore(store.record, 28)
		n.checkEraOf(store.position)
		g.Expect(n.lostRollouts()).To(gomega.Equal([]string{"s"}))
		n.restoreRollout("s")
		g.Expect(store.lastWritten.Requests).To(gomega.Equal(420))
		g.Expect(n.knownRecord().Position).To(gomega.Equal(store.record.Position))
		g.Expect(n.lostRollouts()).To(gomega.BeEmpty())
	})
}

// Guards against a roll-out that begins anew, with a second canary budget, as its order gets its position in the restored
// store between the check for lost records and the step.
func TestRolloutIsNotSteppedUntilItsRecordNamesTheOrderOfTheRestoredStore(t *testing.T) {
	runRolloutNode(t, func(g *gomega.WithT, n *Node, store *rolloutStore) {
		n.stepRollout("s") // its controller has the record
		store.restore(n.knownRecord(), 40)
		n.checkEraOf(store.position)
		n.restoreRollout("s")
		n.stepRollout("s")
		before := store.record
		g.Expect(n.lostRollouts()).To(gomega.BeEmpty())
		time.Sleep(restoreWindowDuration)
		n.endRestoreWindow()
		n.applyRollouts([]rollouts.Order{{Service: "s", Target: "v2", Duration: time.Minute, Position: positionInEra(2, 6)}}, nil, 0)
		n.stepRollout("s")
		g.Expect(store.record.Requests).To(gomega.BeNumerically(">=", before.Requests))
		n.restoreRollout("s")
		g.Expect(store.record.OrderPosition).To(gomega.Equal(positionInEra(2, 6)))
		g.Expect(store.record.Exposed).To(gomega.Equal(before.Exposed))
		g.Expect(n.lostRollouts()).To(gomega.BeEmpty())
	})
}

// Guards against a restore that is noticed by the read of a record, after which what the backup lists counts as written
// since, as the record's own revision passes for that of the read.
func TestRestoreFoundByTheReadOfARecordCoversTheWholeBackup(t *testing.T) {
	runRolloutNode(t, func(g *gomega.WithT, n *Node, store *rolloutStore) {
		store.restore(recordWith(300, positionInEra(1, 21)), 23)
		n.restoreRollout("s")
		g.Expect(n.era.restoreWindow).To(gomega.Equal(structs.RestoreWindow{Base: 1, Era: 2, Listed: 23}))
	})
}

// Guards against a roll-out that forgets the answers since its latest record, and so may let a bad version pass, as its
// order gets its position in the restored store.
func TestEvidenceIsKeptWhenTheOrderGetsItsPositionInTheRestoredStore(t *testing.T) {
	runRolloutNode(t, func(g *gomega.WithT, n *Node, store *rolloutStore) {
		n.scheduling.rolloutPolicy = rollout.Policy{Share: 0.1, Slack: 100}
		n.stepRollout("s")
		store.restore(n.knownRecord(), 40)
		n.checkEraOf(store.position)
		n.restoreRollout("s")
		n.stepRollout("s")
		for i := range 6 {
			n.scheduling.mutex.Lock()
			n.scheduling.recordRolloutResult(admission.Completion{Service: "s", Route: "r", Replica: fmt.Sprint("b", i%2), Version: "v2", AssignedAt: n.now()},
				admission.Observation{Duration: 20 * time.Millisecond, Failed: true}, false)
			n.scheduling.mutex.Unlock()
		}
		before, _ := n.scheduling.regressionScore("s")
		g.Expect(before).To(gomega.BeNumerically(">", 0.5))
		time.Sleep(restoreWindowDuration)
		n.endRestoreWindow()
		n.applyRollouts([]rollouts.Order{{Service: "s", Target: "v2", Duration: time.Minute, Position: positionInEra(2, 6)}}, nil, 0)
		n.restoreRollout("s")
		requests := store.record.Requests
		n.stepRollout("s")
		after, _ := n.scheduling.regressionScore("s")
		g.Expect(after).To(gomega.Equal(before))
		g.Expect(store.record.OrderPosition).To(gomega.Equal(positionInEra(2, 6)))
		g.Expect(store.record.Requests).To(gomega.Equal(requests+6), "those since the record")
	})
}
