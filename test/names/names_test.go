// Package names checks that only the adapter in package platform uses the platform's names.
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

// repositoryRoot is the path of the repository, relative to this folder.
const repositoryRoot = "../.."

// pathsAndKeys are the platform's paths and keys, which no other folder may contain.
var pathsAndKeys = []string{"kv-txn", "kv-watch", "kv-range", "kv-key", "kv-lease", "op/config", "servers/", "api/readyz", "api/report", "tls_key", "path_prefix\"", "Server-Limit", "Server-Leaving", "Server-Brittle"}

// exemptFolders may contain the names: the adapter, stand-ins of the platform and tests.
var exemptFolders = []string{"platform/", "lab/", "test/"}

// Guards against code outside the adapter that depends on the platform's names.
func TestNoPlatformNameOutsideTheAdapter(t *testing.T) {
	g := gomega.NewWithT(t)
	headers := platform.Headers()
	platformNames := append([]string{}, pathsAndKeys...)
	platformNames = append(platformNames, headers.RequestID, headers.Deadline, headers.TokenUsage, headers.ExpectReplica, headers.Tenant, headers.NotRun, headers.Signature, headers.Load, headers.LengthHint)
	quoted := make([]string, len(platformNames))
	for i, name := range platformNames {
		quoted[i] = regexp.QuoteMeta(name)
	}
	pattern := regexp.MustCompile("(?i)" + strings.Join(quoted, "|"))
	filesChecked := 0
	err := filepath.WalkDir(repositoryRoot, func(path string, entry os.DirEntry, err error) error {
		relative, _ := filepath.Rel(repositoryRoot, path)
		if err == nil && entry.IsDir() && relative == buildOutput {
			return filepath.SkipDir
		}
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || isExempt(relative) {
			return err
		}
		filesChecked++
		content, err := os.ReadFile(path)
		if found := pattern.Find(content); found != nil {
			t.Errorf("%s contains the platform's name %q, which only the adapter may use", relative, found)
		}
		return err
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(filesChecked).To(gomega.BeNumerically(">", 100))
}

// buildOutput is the folder that builds write to; it is not searched.
const buildOutput = "target"

func isExempt(path string) bool {
	for _, prefix := range exemptFolders {
		if strings.HasPrefix(filepath.ToSlash(path), prefix) {
			return true
		}
	}
	return false
}
