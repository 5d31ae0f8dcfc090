// Package names checks that the platform's names stay in the adapter.
package names

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/platform"
)

// root is the repository's folder as seen from this package.
const root = "../.."

// fixed are names of paths and keys that no other folder may know.
var fixed = []string{"kv-txn", "kv-watch", "kv-range", "kv-key", "kv-lease", "op/config", "servers/", "api/readyz", "api/report", "tls_key", "path_prefix\"", "Server-Limit", "Server-Leaving"}

// exempt are folders of stand-ins and tests, which speak for the platform.
var exempt = []string{"platform/", "lab/", "test/"}

func TestNoPlatformNameOutsideTheAdapter(t *testing.T) {
	g := gomega.NewWithT(t)
	headers := platform.Headers()
	names := append([]string{}, fixed...)
	names = append(names, headers.RequestID, headers.Deadline, headers.TokenUsage, headers.ExpectReplica, headers.Tenant, headers.NotRun, headers.Signature, headers.Load, headers.LengthHint)
	quoted := make([]string, len(names))
	for i, name := range names {
		quoted[i] = regexp.QuoteMeta(name)
	}
	pattern := regexp.MustCompile("(?i)" + strings.Join(quoted, "|"))
	looked := 0
	err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		relative, _ := filepath.Rel(root, path)
		if err == nil && entry.IsDir() && relative == buildOutput {
			return filepath.SkipDir
		}
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || isExempt(relative) {
			return err
		}
		looked++
		content, err := os.ReadFile(path)
		if found := pattern.Find(content); found != nil {
			t.Errorf("%s knows the platform's name %q", relative, found)
		}
		return err
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(looked).To(gomega.BeNumerically(">", 100))
}

// buildOutput is the folder that builds write to; it holds no sources of the repository.
const buildOutput = "target"

func isExempt(path string) bool {
	for _, prefix := range exempt {
		if strings.HasPrefix(filepath.ToSlash(path), prefix) {
			return true
		}
	}
	return false
}
