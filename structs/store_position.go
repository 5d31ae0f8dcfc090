package structs

import "fmt"

// StorePosition is a point in the history of the store: an era and a revision within it. The store's
// era rises by one each time the store is restored from a backup, after which it assigns revisions
// again that it had assigned before: revisions of different eras are not comparable.
//
// Positions compare as integers, the era first. In era zero, which stores without eras have, a
// position equals its revision; nodes of versions without eras therefore compare them correctly.
// The zero value comes before every change and stands for none.
type StorePosition int64

// revisionBits is the number of low bits that hold the revision; the other 23 hold the era. They suffice for
// 87 years at 400 writes per second, and eight million eras.
const revisionBits = 40

// NewStorePosition returns the position of the revision in the era. It fails if one of them is
// negative or too large.
func NewStorePosition(era, revision int64) (StorePosition, error) {
	if era < 0 || era >= 1<<(63-revisionBits) || revision < 0 || revision >= 1<<revisionBits {
		return 0, fmt.Errorf("build store position: era %d is not in [0, 2^23) or revision %d is not in [0, 2^40)", era, revision)
	}
	return StorePosition(era<<revisionBits | revision), nil
}

// Era returns the era.
func (p StorePosition) Era() int64 { return int64(p) >> revisionBits }

// Revision returns the store's own revision within the era.
func (p StorePosition) Revision() int64 { return int64(p) & (1<<revisionBits - 1) }

// String returns the position as "era.revision".
func (p StorePosition) String() string { return fmt.Sprintf("%d.%d", p.Era(), p.Revision()) }

// RestoreWindow describes the time after the store was restored from a backup, until its writers have
// written again the entries that it lost. In that time the store may list entries that are older than
// those a node already has. The zero value means that no restore is in progress.
type RestoreWindow struct {
	// Base is the last era before the restore, Era the present one; both are equal if the store was
	// not restored.
	Base, Era int64
	// Listed is the revision of the first response in the present era. Entries up to this revision
	// may come from the backup; later ones were written after the restore.
	Listed int64
}

// OrderingPosition returns the position by which an entry is ordered. An entry that may come from the
// backup is ordered by its revision in the base era, so that it does not replace a later change.
func (w RestoreWindow) OrderingPosition(p StorePosition) StorePosition {
	if p.Era() <= w.Base || p.Era() > w.Era || p.Revision() > w.Listed {
		return p
	}
	return StorePosition(w.Base<<revisionBits | p.Revision())
}

// IsBefore reports whether the first position is ordered before the second, by OrderingPosition.
func (w RestoreWindow) IsBefore(first, second StorePosition) bool {
	return w.OrderingPosition(first) < w.OrderingPosition(second)
}
