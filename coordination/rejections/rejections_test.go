package rejections

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/fingerprint"
)

func TestRejectionIsRememberedForItsRetention(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := New()
	first, other := fingerprint.Of("", "GET", "h", "/a", nil), fingerprint.Of("", "GET", "h", "/b", nil)
	memory.Add(0, first)
	g.Expect(memory.Has(5*time.Second, first)).To(gomega.BeTrue())
	g.Expect(memory.Has(5*time.Second, other)).To(gomega.BeFalse())
	g.Expect(memory.Has(10*time.Second, first)).To(gomega.BeTrue())
	g.Expect(memory.Has(20*time.Second, first)).To(gomega.BeFalse())
}
