package fingerprint

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestAFingerprintTellsCallerAndContentApart(t *testing.T) {
	g := gomega.NewWithT(t)
	base := Of("office", "POST", "a.example", "/x", []byte("body"))
	g.Expect(Of("office", "POST", "a.example", "/x", []byte("body"))).To(gomega.Equal(base))
	for _, other := range []Fingerprint{
		Of("other", "POST", "a.example", "/x", []byte("body")), Of("office", "GET", "a.example", "/x", []byte("body")),
		Of("office", "POST", "b.example", "/x", []byte("body")), Of("office", "POST", "a.example", "/y", []byte("body")),
		Of("office", "POST", "a.example", "/x", []byte("body.")), Of("office", "POST", "a.example/", "x", []byte("body")),
		Of("officeP", "OST", "a.example", "/x", []byte("body")),
	} {
		g.Expect(other).NotTo(gomega.Equal(base))
	}
}

func TestAFingerprintSurvivesItsText(t *testing.T) {
	g := gomega.NewWithT(t)
	given := Of("office", "GET", "a.example", "/x", nil)
	var read Fingerprint
	g.Expect(read.UnmarshalText([]byte(given.String()))).To(gomega.Succeed())
	g.Expect(read).To(gomega.Equal(given))
	g.Expect(read.UnmarshalText([]byte("12"))).To(gomega.MatchError(gomega.ContainSubstring("32 hexadecimal digits")))
	g.Expect(read.UnmarshalText([]byte("zz0102030405060708090a0b0c0d0e0f"))).NotTo(gomega.Succeed())
}
