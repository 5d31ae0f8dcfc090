package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against errors that don't name the setting, its value and the allowed range.
func TestCheckSettingsReportsInvalidValues(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	valid := "name: n1\nzone: east\ncallers: a:1\nreadiness: a:2\noperators: a:3\nhost: a\npeer_port: 7600\nstore: s:1\n"
	g.Expect(os.WriteFile(path, []byte(valid), 0o600)).To(gomega.Succeed())
	var output bytes.Buffer
	g.Expect(runEntryCommand([]string{"check-settings", path}, &output)).To(gomega.Succeed())
	g.Expect(output.String()).To(gomega.ContainSubstring("valid, node n1 in zone east"))
	g.Expect(os.WriteFile(path, []byte(valid+"retry_ratio: -5\n"), 0o600)).To(gomega.Succeed())
	g.Expect(runEntryCommand([]string{"check-settings", path}, &output)).To(gomega.MatchError(gomega.ContainSubstring("retry_ratio: -5 is not in 0 to 10")))
	g.Expect(runEntryCommand([]string{"nothing"}, &output)).To(gomega.MatchError(gomega.ContainSubstring("see thornwalkd entry -h")))
}

// Guards against a version line that doesn't identify the build.
func TestPrintVersionIncludesToolchain(t *testing.T) {
	g := gomega.NewWithT(t)
	var output bytes.Buffer
	g.Expect(printVersion(&output)).To(gomega.Succeed())
	g.Expect(output.String()).To(gomega.MatchRegexp("thornwalkd .*revision .*go1"))
}
