package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestSettings(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "settings")
}

// base is a valid tree that the tests change.
const base = `
branches:
  /: {deadline: 20s}
  /node: {}
  /tiers/first: {rank: 0}
  /tiers/second: {rank: 1}
  /services/llm: {}
  /routes: {service: llm, tier: second}
  /routes/slow: {deadline: 1m, model: m}
  /routes/slow/urgent: {tier: first}
  /tenants/city: {rate: 50}
  /tenants/city/couriers: {weight: 3}
`

func mustParse(text string) *Tree {
	tree, err := ParseYAML([]byte(text))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return tree
}

// Guards against wrongly inherited values, invalid trees that are accepted, and values lost in YAML.
var _ = ginkgo.Describe("a tree", func() {
	ginkgo.It("inherits values along the path unless a branch overrides", func() {
		compiled, err := mustParse(base).Compile(7)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		route, found := compiled.Route("slow/urgent")
		gomega.Expect(found).To(gomega.BeTrue())
		gomega.Expect(route.Values.Deadline).To(gomega.Equal(time.Minute))
		gomega.Expect(route.Values.Tier).To(gomega.Equal("first"))
		gomega.Expect(route.Values.Service).To(gomega.Equal("llm"))
		tenant, _ := compiled.Tenant("city/couriers")
		gomega.Expect(tenant.Values.Rate).To(gomega.Equal(50.0))
		gomega.Expect(tenant.Values.Weight).To(gomega.Equal(3.0))
	})

	ginkgo.It("inherits a value after it is unset", func() {
		tree := mustParse(base).Unset("routes/slow", "deadline")
		gomega.Expect(tree.Resolve("routes/slow").Deadline).To(gomega.Equal(20 * time.Second))
		text, origin, err := tree.Lookup("routes/slow", "deadline")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect([]string{text, origin}).To(gomega.Equal([]string{"20s", "/"}))
	})

	ginkgo.It("is unchanged after encoding and decoding as YAML", func() {
		tree := mustParse(base)
		text, err := FormatYAML(tree)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(Diff(tree, mustParse(string(text)))).To(gomega.BeEmpty())
	})

	ginkgo.DescribeTable("is rejected with path, value and remedy", func(path, key, text, expected string) {
		_, err := mustParse(base).Set(path, key, text).Compile(1)
		gomega.Expect(err).To(gomega.MatchError(gomega.And(gomega.ContainSubstring("/"+path), gomega.ContainSubstring(text), gomega.ContainSubstring(expected))))
	},
		ginkgo.Entry("out of range", "tiers/first", "rank", "99", "choose a value in that range"),
		ginkgo.Entry("wrong type", "routes/slow", "deadline", "soon", "write a number with a unit"),
		ginkgo.Entry("unknown key", "routes/slow", "deadlin", "3s", "did you mean deadline"),
		ginkgo.Entry("missing tier", "routes/slow", "tier", "third", "add the branch tiers/third"),
		ginkgo.Entry("missing service", "routes/slow", "service", "gone", "add the branch services/gone"),
		ginkgo.Entry("duplicate rank", "tiers/second", "rank", "0", "give each tier its own"),
		ginkgo.Entry("unknown section", "zebra/0", "rank", "0", "unknown section"),
		ginkgo.Entry("a key instead of its hash", "tenants/city", "key_hash", "secret", "64 hexadecimal digits"),
		ginkgo.Entry("contradictory times", "node", "suspect_after", "30s", "lower it"),
		ginkgo.Entry("not a number", "tenants/city", "weight", "NaN", "is not a number"),
	)

	ginkgo.DescribeTable("is rejected as YAML with the position", func(text, expected string) {
		_, err := ParseYAML([]byte(text))
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(expected)))
	},
		ginkgo.Entry("syntax", "branches:\n  /a: {b: [", "["),
		ginkgo.Entry("an unknown field", "branchs: {}", "branchs"),
		ginkgo.Entry("a duplicate branch", "branches:\n  /a/: {}\n  /a: {}\n", "defined twice"),
		ginkgo.Entry("a nested branch", "branches:\n  /a: {b: {c: 1}}\n", "path of its own"),
		ginkgo.Entry("a list as branch", "branches:\n  /a: [1]\n", "is not a mapping"),
	)

	ginkgo.It("rejects two tenants with the same key", func() {
		hash := strings.Repeat("a", keyHashDigits)
		_, err := mustParse(base).Set("tenants/city", "key_hash", hash).Set("tenants/other", "key_hash", hash).Compile(1)
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("give each tenant its own")))
	})
})

// Guards against YAML that crashes the parser or the compiler.
func FuzzParseYAML(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte("branches: {/a: {b: [1, 2]}}"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		tree, err := ParseYAML(text)
		if err == nil {
			_, _ = tree.Compile(1) // most trees are invalid
		}
	})
}

// BenchmarkLookup measures finding a tenant by key hash among 1,800 tenants.
func BenchmarkLookup(b *testing.B) {
	var branches []Branch
	for number := range 1800 {
		branches = append(branches, Branch{Path: fmt.Sprintf("tenants/t%d", number), Settings: []Setting{{"key_hash", fmt.Sprintf("%064x", number)}}})
	}
	compiled, err := NewTree(branches...).Compile(1)
	if err != nil {
		b.Fatal(err)
	}
	hash := fmt.Sprintf("%064x", 900)
	for b.Loop() {
		if _, found := compiled.TenantByKeyHash(hash); !found {
			b.Fatal("tenant not found")
		}
	}
}

// Guards against a settings reference that was not regenerated after a schema change.
func TestReferenceIsUpToDate(t *testing.T) {
	content, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(content) != Reference() {
		t.Fatal("docs/SETTINGS.md is out of date: regenerate it with go run ./cmd/thornwalk config reference")
	}
}
