package poison

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/poisonrecords"
)

// Guards against records of another writer that block a request which no operator can unblock any more, or that take
// more memory than records do.
func TestOddRecordsAreKeptOut(t *testing.T) {
	for name, spoil := range map[string]func(*poisonrecords.Record){
		"generation without a next one": func(r *poisonrecords.Record) { r.Generation = math.MaxUint32 },
		"many incarnations": func(r *poisonrecords.Record) {
			r.Generation, r.Incarnations = 1, make([]poisonrecords.Incarnation, 100_000)
		},
		"long incarnation": func(r *poisonrecords.Record) {
			r.Incarnations[0] = poisonrecords.Incarnation(strings.Repeat("n", 1<<20))
		},
		"long service":    func(r *poisonrecords.Record) { r.Service = strings.Repeat("n", 1<<20) },
		"negative trials": func(r *poisonrecords.Record) { r.Trials = -1 << 40 },
		"many trials":     func(r *poisonrecords.Record) { r.Trials = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			tracker, odd, sound := newTestTracker(), requestNamed("odd"), requestNamed("sound")
			for _, request := range []*poisonrecords.Record{&odd, &sound} {
				request.IsPersistent = true
				for _, replica := range []string{"a", "b", "c"} {
					request.Add(poisonrecords.IncarnationOf(replica, 1))
				}
			}
			spoil(&odd)
			tracker.Merge(0, []poisonrecords.Record{odd, sound})
			g.Expect(tracker.stateAt(100*time.Millisecond, odd)).To(gomega.Equal(Clear))
			g.Expect(tracker.stateAt(100*time.Millisecond, sound)).To(gomega.Equal(Blocked))
			g.Expect(tracker.Unblock(time.Second, sound.Fingerprint)).To(gomega.BeTrue())
			tracker.Merge(2*time.Second, []poisonrecords.Record{sound})
			g.Expect(tracker.stateAt(2*time.Second, sound)).To(gomega.Equal(Clear))
		})
	}
}
