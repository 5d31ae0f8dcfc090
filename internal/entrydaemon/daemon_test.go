package entrydaemon

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/internal/eventlog"
)

const validSettings = "name: n1\nzone: east\ncallers: a:1\nreadiness: a:2\noperators: a:3\nhost: a\nstore: b:1\npeer_port: 7\n"

// Guards against changes of the settings file that are never applied, or applied though they are not valid: one shortly
// after the start, one read while it is being written, and one that is taken back.
func TestChangesOfTheSettingsFileAreApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) { g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed()) }
	var applied []int
	log := eventlog.New("n1", nil)
	defer log.Close()
	write(validSettings)
	watched, settings, err := openSettings(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(settings.StopGrace).To(gomega.Equal(8000))
	check := func(forced bool) {
		watched.reload(forced, log, func(changed *entry.Settings) { applied = append(applied, changed.StopGrace) })
	}
	check(false)
	g.Expect(applied).To(gomega.BeEmpty(), "nothing changed")
	write(validSettings + "stop_grace_ms: 5000\n")
	check(false)
	g.Expect(applied).To(gomega.Equal([]int{5000}), "changed between the start and the first check")
	write(validSettings[:40])
	check(false)
	check(true)
	g.Expect(applied).To(gomega.HaveLen(1), "not valid")
	write(validSettings + "stop_grace_ms: 6000\n")
	check(false)
	check(false)
	g.Expect(applied).To(gomega.Equal([]int{5000, 6000}))
	check(true)
	g.Expect(applied).To(gomega.Equal([]int{5000, 6000, 6000}), "a signal applies it in any case")
	g.Expect(os.Remove(path)).To(gomega.Succeed())
	check(false)
	write(validSettings + "stop_grace_ms: 6000\n")
	check(false)
	g.Expect(applied).To(gomega.HaveLen(4), "it was away for a while")
}
