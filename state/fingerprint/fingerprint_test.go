package fingerprint

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against requests that share a fingerprint although they differ in one part, or only in
// where one part ends and the next begins.
func TestFingerprintsDifferByCallerAndContent(t *testing.T) {
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

// Guards against texts that are not read back as the same fingerprint, and against invalid texts.
func TestFingerprintIsReadBackFromItsText(t *testing.T) {
	g := gomega.NewWithT(t)
	original := Of("office", "GET", "a.example", "/x", nil)
	var parsed Fingerprint
	g.Expect(parsed.UnmarshalText([]byte(original.String()))).To(gomega.Succeed())
	g.Expect(parsed).To(gomega.Equal(original))
	g.Expect(parsed.UnmarshalText([]byte("12"))).To(gomega.MatchError(gomega.ContainSubstring("32 hexadecimal digits")))
	g.Expect(parsed.UnmarshalText([]byte("zz0102030405060708090a0b0c0d0e0f"))).NotTo(gomega.Succeed())
}
