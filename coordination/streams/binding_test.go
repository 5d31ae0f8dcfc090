package streams

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
)

// Guards against streams that go on although their version is in doubt, and against ones that are refused
// without need.
func TestStreamIsBoundToTheVersionThatBeganIt(t *testing.T) {
	only := func(version string, isOnly bool) func(string) (string, bool) {
		return func(string) (string, bool) { return version, isOnly }
	}
	known := streamorigins.Origin{Service: "engines", Version: "v1"}
	for name, testCase := range map[string]struct {
		evidence Evidence
		version  string
		refusal  Refusal
	}{
		"recorded":                        {Evidence{Origin: known, Knowledge: streamorigins.Known, Services: []string{"engines"}, OnlyVersion: only("v2", true)}, "v1", RefusalNone},
		"recorded at another service":     {Evidence{Origin: known, Knowledge: streamorigins.Known, Services: []string{"others"}, OnlyVersion: only("v1", true)}, "", RefusalOtherService},
		"recorded at one of two services": {Evidence{Origin: known, Knowledge: streamorigins.Known, Services: []string{"others", "engines"}, OnlyVersion: only("", false)}, "v1", RefusalNone},
		"recorded without a version":      {Evidence{Origin: streamorigins.Origin{Service: "engines"}, Knowledge: streamorigins.Known, Services: []string{"engines"}, OnlyVersion: only("v1", true)}, "", RefusalNoVersion},
		"ambiguous":                       {Evidence{Knowledge: streamorigins.Ambiguous, Services: []string{"engines"}, OnlyVersion: only("v1", true)}, "", RefusalAmbiguous},
		"a state of a later version":      {Evidence{Knowledge: 7, Services: []string{"engines"}, OnlyVersion: only("v1", true)}, "", RefusalAmbiguous},
		"unknown, one version":            {Evidence{Services: []string{"engines"}, OnlyVersion: only("v1", true)}, "v1", RefusalNone},
		"unknown, several versions":       {Evidence{Services: []string{"engines"}, OnlyVersion: only("", false)}, "", RefusalUnknown},
		"unknown, at one of two services": {Evidence{Services: []string{"engines", "others"}, OnlyVersion: only("v1", true)}, "", RefusalUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			origin, refusal := Bind(testCase.evidence)
			g.Expect(refusal).To(gomega.Equal(testCase.refusal))
			if refusal == RefusalNone {
				g.Expect(origin).To(gomega.Equal(streamorigins.Origin{Service: "engines", Version: testCase.version}))
			}
		})
	}
}

// Guards against a stream that goes on at a replica whose version the node knows to be another, or does not
// know for certain.
func TestStreamGoesOnOnlyAtReplicasOfItsVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	origin := streamorigins.Origin{Service: "engines", Version: "v1"}
	same := replicas.Replica{ID: "r", Service: "engines", Version: "v1", StartedAt: 1}
	restarted, upgraded := same, same
	restarted.StartedAt = 2
	upgraded.Version = "v2"
	g.Expect(MayGoOnAt(origin, same, same, true)).To(gomega.BeTrue())
	g.Expect(MayGoOnAt(origin, same, replicas.Replica{}, false)).To(gomega.BeTrue())
	g.Expect(MayGoOnAt(origin, upgraded, upgraded, true)).To(gomega.BeFalse())
	g.Expect(MayGoOnAt(origin, same, upgraded, true)).To(gomega.BeFalse())
	g.Expect(MayGoOnAt(origin, same, restarted, true)).To(gomega.BeFalse())
	unstated := replicas.Replica{ID: "r", Service: "engines"}
	g.Expect(MayGoOnAt(streamorigins.Origin{Service: "engines"}, unstated, unstated, true)).To(gomega.BeFalse())
	g.Expect(OriginAt(same, restarted, true).Version).To(gomega.BeEmpty())
}
