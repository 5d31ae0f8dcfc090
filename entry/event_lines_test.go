package entry

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a continuation that may lack an event and leaves no trace, as nothing shows how the replica counts events.
func TestContinuationsThatCannotBeCheckedAreCounted(t *testing.T) {
	for name, course := range map[string]struct {
		before    []string
		next      string
		unchecked bool
	}{
		"it follows":               {[]string{"1", "2"}, "3", false},
		"it lacks one":             {[]string{"1", "2"}, "4", false}, // an error
		"too few before it":        {[]string{"1"}, "4", true},
		"steps change":             {[]string{"1", "2", "5"}, "8", true},
		"steps are not one":        {[]string{"3", "6", "9"}, "15", true},
		"no numbers":               {[]string{"a", "b"}, "d", true},
		"nothing was sent before":  {nil, "4", false},
		"steps change, it follows": {[]string{"1", "2", "5"}, "6", true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ids := relayedIDs{}
			for _, id := range course.before {
				g.Expect(ids.next(id)).To(gomega.Succeed())
			}
			ids.isNewAnswer = true
			g.Expect(ids.isUncheckedContinuation(course.next)).To(gomega.Equal(course.unchecked))
		})
	}
}
