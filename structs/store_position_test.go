package structs

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against an encoding in which a large revision reaches into the era.
func TestStorePositionsAreOrderedByEraThenRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, revision := rapid.Int64Range(0, 1<<20).Draw(t, "era"), rapid.Int64Range(0, 1<<39).Draw(t, "revision")
		otherEra, otherRevision := rapid.Int64Range(0, 1<<20).Draw(t, "other era"), rapid.Int64Range(0, 1<<39).Draw(t, "other revision")
		first, err := NewStorePosition(era, revision)
		if err != nil {
			t.Fatal(err)
		}
		second, err := NewStorePosition(otherEra, otherRevision)
		if err != nil {
			t.Fatal(err)
		}
		if isBefore := era < otherEra || era == otherEra && revision < otherRevision; isBefore != (first < second) {
			t.Fatalf("%v and %v are ordered wrongly", first, second)
		}
		if first.Era() != era || first.Revision() != revision {
			t.Fatalf("%v is not era %d, revision %d", first, era, revision)
		}
	})
}

// Guards against eras and revisions that overflow their bits.
func TestNewStorePositionRejectsValuesOutOfRange(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, invalid := range [][2]int64{{-1, 0}, {0, -1}, {0, 1 << 40}, {1 << 23, 0}} {
		_, err := NewStorePosition(invalid[0], invalid[1])
		g.Expect(err).To(gomega.HaveOccurred())
	}
}

// Guards against entries of a restored backup that replace changes made after the backup.
func TestEntriesFromABackupAreOrderedInTheBaseEra(t *testing.T) {
	g := gomega.NewWithT(t)
	positionOf := func(era, revision int64) StorePosition {
		position, err := NewStorePosition(era, revision)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return position
	}
	window := RestoreWindow{Base: 1, Era: 3, Listed: 50}
	g.Expect(window.OrderingPosition(positionOf(3, 40))).To(gomega.Equal(positionOf(1, 40)))
	g.Expect(window.OrderingPosition(positionOf(2, 40))).To(gomega.Equal(positionOf(1, 40)))
	for _, unaffected := range []StorePosition{positionOf(3, 51), positionOf(1, 40), positionOf(0, 40), positionOf(4, 40)} {
		g.Expect(window.OrderingPosition(unaffected)).To(gomega.Equal(unaffected))
	}
	g.Expect(RestoreWindow{}.OrderingPosition(positionOf(3, 40))).To(gomega.Equal(positionOf(3, 40)))
}
