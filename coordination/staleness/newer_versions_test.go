package staleness

import (
	"math"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a node that ignores every later version since it could not activate one with a very large number.
func TestRejectedVersionDoesNotHideOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	versions := &NewerVersions{}
	g.Expect(versions.Observe(0, 3, 4)).To(gomega.BeTrue())
	g.Expect(versions.Observe(0, 3, math.MaxInt64)).To(gomega.BeTrue())
	versions.Reject(math.MaxInt64)
	g.Expect(versions.HasNewer(3)).To(gomega.BeTrue(), "version 4 is known")
	g.Expect(versions.HasNewer(4)).To(gomega.BeFalse())
	g.Expect(versions.Observe(1, 4, math.MaxInt64)).To(gomega.BeFalse())
	g.Expect(versions.Observe(1, 4, 5)).To(gomega.BeTrue())
	g.Expect(versions.BehindFor(3, 4)).To(gomega.BeEquivalentTo(2))
}

// Guards against rejected versions that are remembered without bound.
func TestRejectedVersionsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	versions := &NewerVersions{}
	for version := range int64(3 * maxVersions) {
		versions.Reject(version + 10)
	}
	g.Expect(versions.rejected).To(gomega.HaveLen(maxVersions))
	g.Expect(versions.Observe(0, 3, 3*maxVersions+9)).To(gomega.BeFalse())
}
