package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/structs"
)

// restoredRecordStore is a store of poison records whose first write is acknowledged late: the write takes
// effect in the first era, and the store is restored from a backup without records before the answer
// arrives.
type restoredRecordStore struct {
	position structs.StorePosition
	records  []poisonrecords.Record
	writes   atomic.Int64
	// restored is called after the restore and before the answer to the first write.
	restored func()
}

func (s *restoredRecordStore) WritePoisonRecords(_ context.Context, records []poisonrecords.Record, expected structs.StorePosition) (structs.StorePosition, error) {
	if s.writes.Add(1) == 1 {
		s.restored()
		return positionInEra(1, 30), nil
	}
	if expected != s.position {
		return 0, errkind.New(errkind.Conflict, "write poison records: the key is not at %v", expected)
	}
	s.records, s.position = records, positionInEra(2, 31)
	return s.position, nil
}

func (s *restoredRecordStore) ReadPoisonRecords(context.Context) ([]poisonrecords.Record, structs.StorePosition, error) {
	return s.records, s.position, nil
}

// Guards against a restore that loses the records of blocked requests for good, because the answer to a
// write before the restore arrives after it and counts as proof that the restored store has them. The
// late answer itself is the only difference to the first case.
func TestPoisonRecordsAreWrittenAgainAfterALateAnswer(t *testing.T) {
	for name, isLate := range map[string]bool{"answer before the restore": false, "answer after the restore": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				store, log := &restoredRecordStore{}, eventlog.New("n", nil)
				n := New(&Settings{Name: "n", BlockedAfter: 2}, Dependencies{PoisonRecords: store, Log: log})
				defer func() { n.cancel(); n.loops.Wait(); log.Close() }()
				restore := func() {
					n.mutex.Lock()
					n.checkEra(positionInEra(2, 20))
					n.mutex.Unlock()
				}
				n.mutex.Lock()
				n.scheduler = "n"
				n.checkEra(positionInEra(1, 10))
				n.mutex.Unlock()
				store.restored = func() {
					if isLate {
						restore()
					}
				}
				n.scheduling.mergePoisonRecords([]poisonrecords.Record{{
					Fingerprint: fingerprint.Fingerprint{1}, Service: "s", Route: "r", IsPersistent: true, Incarnations: []poisonrecords.Incarnation{"a/1", "b/1"},
				}})
				g.Expect(n.scheduling.persistentPoisonRecords()).To(gomega.HaveLen(1))
				n.loops.Go(n.poisonSyncLoop)
				for store.writes.Load() == 0 {
					time.Sleep(poisonSyncInterval)
					synctest.Wait()
				}
				if !isLate {
					restore()
				}
				time.Sleep(5 * time.Minute)
				g.Expect(n.apply(&outside.Update{Position: positionInEra(2, 40), Complete: true, FullSnapshot: true})).To(gomega.BeTrue(), "a complete read, which finds no records")
				time.Sleep(5 * time.Minute)
				synctest.Wait()
				g.Expect(store.records).To(gomega.HaveLen(1), "records in the store ten minutes after the restore, %d writes", store.writes.Load())
			})
		})
	}
}

// emptiedRecordStore is a store of poison records whose key can be removed.
type emptiedRecordStore struct {
	revision, position structs.StorePosition
	writes             int
}

func (s *emptiedRecordStore) WritePoisonRecords(_ context.Context, _ []poisonrecords.Record, expected structs.StorePosition) (structs.StorePosition, error) {
	s.writes++
	if expected != s.position {
		return 0, errkind.New(errkind.Conflict, "write poison records: the key is not at %v", expected)
	}
	s.revision++
	s.position = s.revision
	return s.position, nil
}

func (s *emptiedRecordStore) ReadPoisonRecords(context.Context) ([]poisonrecords.Record, structs.StorePosition, error) {
	return nil, s.position, nil
}

// Guards against blocked requests that never reach the store again, and a write four times a second, after their key was
// removed: each write expects the former position, and the read that follows finds none.
func TestPoisonRecordsAreWrittenAfterTheirKeyWasRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store, log := &emptiedRecordStore{revision: positionInEra(1, 30)}, eventlog.New("n", nil)
		n := New(&Settings{Name: "n", BlockedAfter: 2}, Dependencies{PoisonRecords: store, Log: log})
		defer func() { n.cancel(); n.loops.Wait(); log.Close() }()
		n.mutex.Lock()
		n.scheduler = "n"
		n.checkEra(positionInEra(1, 10))
		n.mutex.Unlock()
		block := func(number byte) {
			n.scheduling.mergePoisonRecords([]poisonrecords.Record{{
				Fingerprint: fingerprint.Fingerprint{number}, Service: "s", Route: "r", IsPersistent: true, Incarnations: []poisonrecords.Incarnation{"a/1", "b/1"},
			}})
			time.Sleep(2 * poisonIdleInterval)
			synctest.Wait()
		}
		n.loops.Go(n.poisonSyncLoop)
		block(1)
		g.Expect(store.position).NotTo(gomega.BeZero())
		store.position, store.writes = 0, 0
		block(2)
		g.Expect(store.position).NotTo(gomega.BeZero(), "%d writes", store.writes)
		g.Expect(store.writes).To(gomega.Equal(2))
	})
}
