package structs

import "fmt"

// StorePosition is a point in the history of the store: the era, which rises by one each time the store
// comes back from a copy, and the revision within it. A store that comes back from a copy gives
// revisions out again, so that a revision alone tells nothing of what came first: ordered by it,
// all of 30 requests went to a replica that had left three seconds before.
//
// Places are ordered as numbers are, the era first. In era zero, that of a store that tells none,
// a place is its revision; so nodes of versions that know no eras order all places rightly, too.
type StorePosition int64

// revisionBits is the part of a place that holds the revision: 10^12 of them, at 400 writes a
// second 87 years. Eight million eras are left.
const revisionBits = 40

// NewStorePosition returns the place of the revision in the era. It fails if either is negative or too
// large.
func NewStorePosition(era, revision int64) (StorePosition, error) {
	if era < 0 || era >= 1<<(63-revisionBits) || revision < 0 || revision >= 1<<revisionBits {
		return 0, fmt.Errorf("era %d, revision %d: not a place in a store's history", era, revision)
	}
	return StorePosition(era<<revisionBits | revision), nil
}

// Era returns the era.
func (p StorePosition) Era() int64 { return int64(p) >> revisionBits }

// Revision returns the revision within the era, which the store knows.
func (p StorePosition) Revision() int64 { return int64(p) & (1<<revisionBits - 1) }

// String returns both for people.
func (p StorePosition) String() string { return fmt.Sprintf("%d.%d", p.Era(), p.Revision()) }

// RestoreWindow tells of a store that came back from a copy so lately that its writers need not have
// written again what it lost. Until they have, what it lists may be older than what is known.
type RestoreWindow struct {
	// Base is the era of before, and Era the present one: equal if nothing is restored.
	Base, Era int64
	// Listed is the revision of the first answer of the present era. Up to there an entry may
	// be of the copy; what has a later revision was written since.
	Listed int64
}

// OrderingPosition returns the place by which an entry is ordered: one that may be of the copy has the
// place that its revision had before, so that it takes back nothing that came later.
func (r RestoreWindow) OrderingPosition(p StorePosition) StorePosition {
	if p.Era() <= r.Base || p.Era() > r.Era || p.Revision() > r.Listed {
		return p
	}
	return StorePosition(r.Base<<revisionBits | p.Revision())
}

// IsBefore returns whether the first place comes before the second.
func (r RestoreWindow) IsBefore(first, second StorePosition) bool {
	return r.OrderingPosition(first) < r.OrderingPosition(second)
}
