package catalog

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// largeDocument returns a document with the given number of routes, whose hosts and
// prefixes are pseudo-random and the same in each call.
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

// encodeParts returns the hashes of the document's parts in order and their total
// compressed size.
func encodeParts(t testing.TB, document *Document) (hashes []Hash, compressedBytes int) {
	for _, part := range Split(document) {
		hash, content, err := part.Encode()
		if err != nil {
			t.Fatal(err)
		}
		compressedPart, err := Compress(hash, content)
		if err != nil {
			t.Fatal(err)
		}
		hashes = append(hashes, hash)
		compressedBytes += len(compressedPart.Content)
	}
	return hashes, compressedBytes
}

// countMissing returns the number of wanted hashes that are not in available.
func countMissing(available, wanted []Hash) int {
	isAvailable := map[Hash]bool{}
	for _, hash := range available {
		isAvailable[hash] = true
	}
	count := 0
	for _, hash := range wanted {
		if !isAvailable[hash] {
			count++
		}
	}
	return count
}

// Guards against content that is lost or reordered on the way through Split, Encode,
// Compress, Decompress and Join.
func TestJoinRestoresTheSplitDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		document := largeDocument(5, rapid.IntRange(0, 1500).Draw(t, "routes"))
		var parts []Part
		for _, part := range Split(document) {
			hash, content, err := part.Encode()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			sent, err := Compress(hash, content)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			compressedPart, got, err := Decompress(sent.Content)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(compressedPart.Hash).To(gomega.Equal(hash))
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

// Guards against small changes of the configuration that make peers fetch many parts.
func TestAChangeAffectsFewParts(t *testing.T) {
	g := gomega.NewWithT(t)
	before, compressedBytes := encodeParts(t, largeDocument(1, 5600))
	t.Logf("%d parts, %d bytes compressed", len(before), compressedBytes)
	for _, index := range []int{0, 17, 2800, 5599} {
		changed := largeDocument(2, 5600)
		changed.Routes[index].MaxAttempts = 3
		after, _ := encodeParts(t, changed)
		g.Expect(countMissing(before, after)).To(gomega.Equal(1), "route %d has a different MaxAttempts", index)
		removed := largeDocument(3, 5600)
		removed.Routes = append(removed.Routes[:index], removed.Routes[index+1:]...)
		after, _ = encodeParts(t, removed)
		g.Expect(countMissing(before, after)).To(gomega.BeNumerically("<=", 1), "route %d is removed", index)
	}
	fewer, _ := encodeParts(t, largeDocument(4, 4200))
	g.Expect(countMissing(fewer, before)).To(gomega.BeNumerically("<=", len(before)/4+3), "a quarter of the routes is added")
	same, _ := encodeParts(t, largeDocument(9, 5600))
	g.Expect(countMissing(before, same)).To(gomega.BeZero(), "a version without changes has no new part")
}

// Guards against accepting truncated, unrelated or excessively long content from a peer.
func TestDecompressRejectsMalformedParts(t *testing.T) {
	g := gomega.NewWithT(t)
	part := Split(largeDocument(1, 300))[2]
	hash, content, err := part.Encode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	compressedPart, err := Compress(hash, content)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, bad := range [][]byte{nil, compressedPart.Content[:len(compressedPart.Content)/2], []byte("no compressed part")} {
		_, _, err := Decompress(bad)
		g.Expect(err).To(gomega.MatchError(errkind.BadFrame))
	}
	zeros, err := Compress(0, make([]byte, MaxPartBytes+1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _, err = Decompress(zeros.Content)
	g.Expect(err).To(gomega.MatchError(errkind.BadFrame), "a few bytes that decompress to more than the maximum")
}

// Guards against content from a peer that crashes the decoder or exceeds the maximum.
func FuzzDecompress(f *testing.F) {
	part := Split(largeDocument(1, 3))[2]
	hash, content, err := part.Encode()
	if err != nil {
		f.Fatal(err)
	}
	compressedPart, err := Compress(hash, content)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(compressedPart.Content)
	f.Fuzz(func(t *testing.T, content []byte) {
		compressedPart, part, err := Decompress(content)
		if err == nil && (part == nil || compressedPart.Size > MaxPartBytes) {
			t.Fatal("decompressing without an error gave no part or one longer than MaxPartBytes")
		}
	})
}

// BenchmarkCompile measures compiling 5,600 routes, of one host and of many.
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

// BenchmarkMatch measures finding a request's route among 5,600 routes of one host.
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
