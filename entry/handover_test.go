package entry

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a request that waits forever for a successor that was never looked for, as its sends were not
// written or its only replica broke off.
func TestCallWithoutSearchHasNoSuccessor(t *testing.T) {
	g := gomega.NewWithT(t)
	watch := &silenceWatch{call: &call{}}
	g.Expect(watch.next()).To(gomega.BeNil(), "before anything was written")
	watch.setCurrent(func() {})
	watch.interrupted()
	g.Expect(watch.next()).To(gomega.BeNil(), "after its replica broke off")
	g.Expect(watch.next()).To(gomega.BeNil(), "after a second send that was not written")
}
