package platformsim

import (
	"maps"
	"slices"
)

// firstEra is the era of a store that was never restored.
const firstEra = 1

// eraHeader is the header of every answer that carries the era.
const eraHeader = "Store-Era"

// StoreBackup is a copy of the store's state, for Store.Restore.
type StoreBackup struct {
	items             map[string]Item
	history           []Item
	compactedRevision int64
	revision          int64
}

// Backup returns a copy of the items, the history and the revision.
func (s *Store) Backup() *StoreBackup {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return &StoreBackup{items: maps.Clone(s.items), history: slices.Clone(s.history), compactedRevision: s.compactedRevision, revision: s.revision}
}

// Restore resets the store to the backup and increments the era. Later changes and all leases with their
// keys are lost, revisions since the backup are assigned again, and pending watches are aborted.
func (s *Store) Restore(from *StoreBackup) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.items, s.history, s.compactedRevision, s.revision = maps.Clone(from.items), slices.Clone(from.history), from.compactedRevision, from.revision
	for key, item := range s.items {
		if item.Lease != 0 {
			delete(s.items, key)
		}
	}
	s.leases = map[int64]*lease{}
	s.era++
	close(s.restored)
	s.restored = make(chan struct{})
}

// SetEra sets the era that the store sends; a negative one sends none.
func (s *Store) SetEra(era int64) { s.update(func() { s.era, s.sendsEra = era, era >= 0 }) }
