package catalog

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// document returns a valid document of the routes, with defaults for missing fields.
func document(routes ...Route) *Document {
	for i := range routes {
		if routes[i].Kind == "" {
			routes[i].Kind = KindSafe
		}
		if routes[i].Backends == nil {
			routes[i].Backends = []WeightedService{{Service: "s", Weight: 1}}
		}
	}
	return &Document{Version: 1, Routes: routes, Tenants: []Tenant{{Name: "t", Keys: []string{"k1", "k2"}}}}
}

// Guards against a match of a route with a shorter prefix or another host, and against keys of
// another tenant.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	g := gomega.NewWithT(t)
	compiled, err := Compile(document(
		Route{Name: "short", Host: "a.example", PathPrefix: "/x/"}, Route{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		Route{Name: "other", Host: "b.example", PathPrefix: "/x/y/z/"},
	))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(compiled.Match("A.example:80", "/x/y/z").Name).To(gomega.Equal("long"))
	g.Expect(compiled.Match("a.example", "/x/z").Name).To(gomega.Equal("short"))
	g.Expect(compiled.Match("a.example", "/x")).To(gomega.BeNil())
	g.Expect(compiled.Match("c.example", "/x/")).To(gomega.BeNil())
	g.Expect(compiled.TenantOfKey("k2").Name).To(gomega.Equal("t"))
	g.Expect(compiled.TenantOfKey("")).To(gomega.BeNil())
}

// Guards against errors that don't name the invalid part of a document.
func TestInvalidDocumentsAreRejectedWithPathAndValue(t *testing.T) {
	g := gomega.NewWithT(t)
	for text, invalid := range map[string]*Document{
		"version: 0":             {},
		"routes/r/kind: \"odd\"": document(Route{Name: "r", Kind: "odd", PathPrefix: "/"}),
		"routes/r/path_prefix":   document(Route{Name: "r", PathPrefix: "x"}),
		"names no service":       document(Route{Name: "r", PathPrefix: "/", Backends: []WeightedService{}}),
	} {
		_, err := Compile(invalid)
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(text)))
		g.Expect(errors.Is(err, errkind.InvalidSettings)).To(gomega.BeTrue())
	}
}

// Guards against services that get more or less than their share, and against a failure when all
// weights are zero.
func TestPickServiceFollowsTheWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	route := Route{Backends: []WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[route.PickService(float64(i)/1000)]++
	}
	g.Expect(counts).To(gomega.Equal(map[string]int{"a": 900, "b": 100}))
	g.Expect((&Route{Backends: []WeightedService{{Service: "only"}}}).PickService(0.5)).To(gomega.Equal("only"))
}

// Guards against a route index whose results differ from a scan of all routes.
func TestMatchAgreesWithALinearSearch(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "ab", "b", "", "a b"})
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		path := func(label string) string {
			text := "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, label), "/")
			if rapid.Bool().Draw(t, label+" ends with a slash") {
				text += "/"
			}
			return text
		}
		document := &Document{Version: 1}
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			document.Routes = append(document.Routes, Route{Name: fmt.Sprint(i), Host: "h", PathPrefix: path("prefix"), Kind: KindSafe, Backends: []WeightedService{{Service: "s"}}})
		}
		compiled, err := Compile(document)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		requestPath := path("path")
		var expected *Route
		for i := range document.Routes {
			route := &document.Routes[i]
			if strings.HasPrefix(requestPath, route.PathPrefix) && (expected == nil || len(route.PathPrefix) > len(expected.PathPrefix)) {
				expected = route
			}
		}
		if expected == nil {
			g.Expect(compiled.Match("h", requestPath)).To(gomega.BeNil())
			return
		}
		g.Expect(compiled.Match("h", requestPath).Name).To(gomega.Equal(expected.Name))
	})
}
