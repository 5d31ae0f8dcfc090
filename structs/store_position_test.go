package structs

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestPlacesAreOrderedByEraAndThenByRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, revision := rapid.Int64Range(0, 1<<20).Draw(t, "era"), rapid.Int64Range(0, 1<<39).Draw(t, "revision")
		otherEra, other := rapid.Int64Range(0, 1<<20).Draw(t, "other era"), rapid.Int64Range(0, 1<<39).Draw(t, "other revision")
		first, err := NewStorePosition(era, revision)
		if err != nil {
			t.Fatal(err)
		}
		second, err := NewStorePosition(otherEra, other)
		if err != nil {
			t.Fatal(err)
		}
		if isBefore := era < otherEra || era == otherEra && revision < other; isBefore != (first < second) {
			t.Fatalf("%v and %v", first, second)
		}
		if first.Era() != era || first.Revision() != revision {
			t.Fatalf("%v is not %d.%d", first, era, revision)
		}
	})
}

func TestWhatIsNoPlaceIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, given := range [][2]int64{{-1, 0}, {0, -1}, {0, 1 << 40}, {1 << 23, 0}} {
		_, err := NewStorePosition(given[0], given[1])
		g.Expect(err).To(gomega.HaveOccurred())
	}
}

func TestWhatMayBeOfACopyComesBeforeWhatCameLater(t *testing.T) {
	g := gomega.NewWithT(t)
	at := func(era, revision int64) StorePosition {
		place, err := NewStorePosition(era, revision)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return place
	}
	restored := RestoreWindow{Base: 1, Era: 3, Listed: 50}
	g.Expect(restored.OrderingPosition(at(3, 40))).To(gomega.Equal(at(1, 40)))
	g.Expect(restored.OrderingPosition(at(2, 40))).To(gomega.Equal(at(1, 40)))
	for _, certain := range []StorePosition{at(3, 51), at(1, 40), at(0, 40), at(4, 40)} {
		g.Expect(restored.OrderingPosition(certain)).To(gomega.Equal(certain))
	}
	g.Expect(RestoreWindow{}.OrderingPosition(at(3, 40))).To(gomega.Equal(at(3, 40)))
}
