package pathfault

import (
	"path/filepath"
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a cut that fails because another one of the same process is written at that moment.
func TestOverlappingCutsAreWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "cuts")
	errs := make(chan error, 400)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range cap(errs) / 8 {
				errs <- Write(path, Modes[0], []string{"a:1"})
			}
		})
	}
	group.Wait()
	close(errs)
	for err := range errs {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
}
