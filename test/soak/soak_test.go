// Package soak plays a few short seeds of the fault soak, with the daemon as
// real processes on loopback. The long run by hand is thornwalk-lab soak.
package soak

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/soak"
)

func TestShortSoak(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "thornwalkd")
	if output, err := exec.Command("go", "build", "-o", daemon, "github.com/thornwalk/thornwalk/cmd/thornwalkd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			result, err := soak.Run(context.Background(), soak.Options{
				Daemon: daemon, Seed: seed + 1, Traffic: 6 * time.Second, Rate: 40, Block: fmt.Sprintf("127.0.%d", 30+seed),
			})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(result.Violations).To(gomega.BeEmpty(), "faults: %v", result.Faults)
			g.Expect(result.Counts["answered"]).To(gomega.BeNumerically(">", 50))
		})
	}
}
