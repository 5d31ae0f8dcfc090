package catalog

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// largeDocument has so many routes with names of usual length that share nothing.
func largeDocument(version int64, routes int) *Document {
	random := rand.New(rand.NewPCG(7, 11))
	document := &Document{Version: version, Limits: Limits{BodyBytes: 1 << 20}, Services: []Service{{Name: "engines"}, {Name: "registry"}}}
	for i := range 16 {
		document.Tenants = append(document.Tenants, Tenant{Name: fmt.Sprintf("tenant-%02d", i), Keys: []string{fmt.Sprintf("%020x", random.Uint64())}})
	}
	for range routes {
		document.Routes = append(document.Routes, Route{
			Name: fmt.Sprintf("r-%07x", random.Uint32()), Host: fmt.Sprintf("h%04x.example", random.Uint32()%0x10000), PathPrefix: fmt.Sprintf("/p%08x/", random.Uint32()),
			Kind: KindSafe, Backends: []WeightedService{{Service: "registry", Weight: 1}}, MaxAttempts: 2,
		})
	}
	return document
}

// names returns the hashes of the document's parts in order, and the length of all of
// them when compressed.
func names(t testing.TB, document *Document) (hashes []Hash, compressed int) {
	for _, part := range Split(document) {
		hash, content, err := part.Encode()
		if err != nil {
			t.Fatal(err)
		}
		packed, err := Compress(hash, content)
		if err != nil {
			t.Fatal(err)
		}
		hashes = append(hashes, hash)
		compressed += len(packed.Content)
	}
	return hashes, compressed
}

func lacking(held, wanted []Hash) int {
	have := map[Hash]bool{}
	for _, hash := range held {
		have[hash] = true
	}
	count := 0
	for _, hash := range wanted {
		if !have[hash] {
			count++
		}
	}
	return count
}

func TestPartsMakeTheDocumentAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		document := largeDocument(5, rapid.IntRange(0, 1500).Draw(t, "routes"))
		var parts []Part
		for _, part := range Split(document) {
			hash, content, err := part.Encode()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			sent, err := Compress(hash, content)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			packed, got, err := Decompress(sent.Content)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(packed.Hash).To(gomega.Equal(hash))
			parts = append(parts, *got)
		}
		joined := Join(5, parts)
		g.Expect(joined.Routes).To(gomega.HaveLen(len(document.Routes)))
		for i := range document.Routes {
			g.Expect(joined.Routes[i]).To(gomega.Equal(document.Routes[i]))
		}
		g.Expect(joined.Tenants).To(gomega.Equal(document.Tenants))
		g.Expect(joined.Services).To(gomega.Equal(document.Services))
		g.Expect(joined.Limits).To(gomega.Equal(document.Limits))
	})
}

func TestAChangeTouchesFewParts(t *testing.T) {
	g := gomega.NewWithT(t)
	before, whole := names(t, largeDocument(1, 5600))
	t.Logf("%d parts, %d bytes compressed", len(before), whole)
	for _, place := range []int{0, 17, 2800, 5599} {
		changed := largeDocument(2, 5600)
		changed.Routes[place].MaxAttempts = 3
		after, _ := names(t, changed)
		g.Expect(lacking(before, after)).To(gomega.Equal(1), "route %d has other attempts", place)
		removed := largeDocument(3, 5600)
		removed.Routes = append(removed.Routes[:place], removed.Routes[place+1:]...)
		after, _ = names(t, removed)
		g.Expect(lacking(before, after)).To(gomega.BeNumerically("<=", 1), "route %d is gone", place)
	}
	fewer, _ := names(t, largeDocument(4, 4200))
	g.Expect(lacking(fewer, before)).To(gomega.BeNumerically("<=", len(before)/4+3), "a quarter of the routes is new")
	same, _ := names(t, largeDocument(9, 5600))
	g.Expect(lacking(before, same)).To(gomega.BeZero(), "a version that changes nothing has no new part")
}

func TestOnlyWholePartsAreTaken(t *testing.T) {
	g := gomega.NewWithT(t)
	part := Split(largeDocument(1, 300))[2]
	hash, content, err := part.Encode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	packed, err := Compress(hash, content)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, bad := range [][]byte{nil, packed.Content[:len(packed.Content)/2], []byte("no compressed part")} {
		_, _, err := Decompress(bad)
		g.Expect(err).To(gomega.MatchError(errkind.BadFrame))
	}
	zeros, err := Compress(0, make([]byte, MaximumPart+1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _, err = Decompress(zeros.Content)
	g.Expect(err).To(gomega.MatchError(errkind.BadFrame), "few bytes that stand for very many")
}

// FuzzUnpack feeds any bytes in: they are refused or give a part, and never crash.
func FuzzUnpack(f *testing.F) {
	part := Split(largeDocument(1, 3))[2]
	hash, content, err := part.Encode()
	if err != nil {
		f.Fatal(err)
	}
	packed, err := Compress(hash, content)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed.Content)
	f.Fuzz(func(t *testing.T, content []byte) {
		packed, part, err := Decompress(content)
		if err == nil && (part == nil || packed.Size > MaximumPart) {
			t.Fatal("neither a part nor an error")
		}
	})
}

// BenchmarkCompile tells what taking a version of 5,600 routes into force costs, with
// routes of one host and of many.
func BenchmarkCompile(b *testing.B) {
	for _, hosts := range []int{1, 1000} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			document := largeDocument(1, 5600)
			for i := range document.Routes {
				document.Routes[i].Host = fmt.Sprint("h", i%hosts, ".example")
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Compile(document); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMatch tells what finding the route of a request costs among 5,600 of one host.
func BenchmarkMatch(b *testing.B) {
	document := largeDocument(1, 5600)
	for i := range document.Routes {
		document.Routes[i].Host = "h.example"
	}
	compiled, err := Compile(document)
	if err != nil {
		b.Fatal(err)
	}
	path := document.Routes[5000].PathPrefix + "status/17"
	for b.Loop() {
		if compiled.Match("h.example", path) == nil {
			b.Fatal("no route")
		}
	}
}
