package promptparts

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a list of parts that is misread, and against a list that a caller makes up to fill memory.
func TestSharedParts(t *testing.T) {
	var long []string
	for i := range 100 {
		long = append(long, fmt.Sprintf("%x:10", i))
	}
	for list, want := range map[string][]string{
		"":                                 nil,
		"a:1":                              nil,
		"a:1,b:2,c:3":                      {"a", "b"},
		" a:1 , b:2 ,c:3":                  {"a", "b"},
		"a:1,a:1,b:2,a:1":                  {"a", "b"},
		"a:1,b":                            nil,
		"a:1,,b:2":                         nil,
		":1,b:2":                           nil,
		"a,b,c":                            nil,
		strings.Repeat("a", 65) + ":1,b:1": nil,
	} {
		gomega.NewWithT(t).Expect(Shared(list)).To(gomega.Equal(want), list)
	}
	gomega.NewWithT(t).Expect(Shared(strings.Join(long, ","))).To(gomega.HaveLen(MaxParts))
}

// Guards against parts that are tracked together though they belong to other callers or services.
func TestKeysDifferByCallerServiceAndPart(t *testing.T) {
	g := gomega.NewWithT(t)
	base := Key("caller", "engines", "a")
	g.Expect(Key("caller", "engines", "a")).To(gomega.Equal(base))
	for _, other := range [][3]string{{"other", "engines", "a"}, {"caller", "others", "a"}, {"caller", "engines", "b"}} {
		g.Expect(Key(other[0], other[1], other[2])).NotTo(gomega.Equal(base))
	}
}
