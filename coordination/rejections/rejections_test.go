package rejections

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/fingerprint"
)

// Guards against forgetting a rejection too early or keeping it too long.
func TestRejectionIsRememberedForItsRetention(t *testing.T) {
	g := gomega.NewWithT(t)
	recent := New()
	first, other := fingerprint.Of("", "GET", "h", "/a", nil), fingerprint.Of("", "GET", "h", "/b", nil)
	recent.Add(0, first)
	g.Expect(recent.Has(5*time.Second, first)).To(gomega.BeTrue())
	g.Expect(recent.Has(5*time.Second, other)).To(gomega.BeFalse())
	g.Expect(recent.Has(10*time.Second, first)).To(gomega.BeTrue())
	g.Expect(recent.Has(20*time.Second, first)).To(gomega.BeFalse())
}
