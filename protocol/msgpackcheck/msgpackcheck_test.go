package msgpackcheck

import (
	"bytes"
	"errors"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// record has elements of some size, as messages between nodes have.
type record struct {
	Large  []struct{ Numbers [64]int64 }
	Named  map[string]record
	Text   string
	Bytes  []byte
	At     time.Time
	Number float64
	Any    any
}

// allocated returns the bytes that were allocated while the function ran.
func allocated(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a message of a few bytes for which the codec allocates what its counts declare.
func TestDeclaredCountsAllocateNothing(t *testing.T) {
	for name, content := range map[string][]byte{
		"array":       append([]byte{0x81, 0xa5}, "Large\xdd\x00\x02\x00\x00"...),
		"large array": append([]byte{0x81, 0xa5}, "Large\xdd\xff\xff\xff\xff"...),
		"map":         append([]byte{0x81, 0xa5}, "Named\xdf\x7f\xff\xff\xff"...),
		"text":        append([]byte{0x81, 0xa4}, "Text\xdb\xff\xff\xff\xff"...),
		"bytes":       append([]byte{0x81, 0xa5}, "Bytes\xc6\xff\xff\xff\xff"...),
		"extension":   append([]byte{0x81, 0xa3}, "Any\xc9\xff\xff\xff\xff\x05"...),
		"nested":      append([]byte{0x81, 0xa3}, append([]byte("Any"), bytes.Repeat([]byte{0x91}, 1<<20)...)...),
		"truncated":   {0x81},
		"empty":       {},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var err error
			bytes := allocated(func() { err = Unmarshal(content, &record{}) })
			g.Expect(errors.Is(err, errkind.BadFrame)).To(gomega.BeTrue(), "%v", err)
			g.Expect(bytes).To(gomega.BeNumerically("<", 64<<10))
		})
	}
}

// Guards against a valid message that is refused, and an invalid one that is not.
func FuzzCheckAgreesWithTheCodec(f *testing.F) {
	message := record{Text: "text", Bytes: make([]byte, 300), At: time.Unix(1, 2), Number: 0.5, Named: map[string]record{"a": {Any: []any{1, "b", int64(1) << 40, -7, true, nil}}}}
	content, err := msgpack.Marshal(&message)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add([]byte{0xdc, 0, 2, 0xc0, 0xc0})
	f.Add([]byte{0xc7, 1, 5, 0})
	for _, depth := range []int{maxDepth, maxDepth + 1} {
		f.Add(append(bytes.Repeat([]byte{0x91}, depth), 0xc0))
	}
	for _, count := range []int{maxElements, maxElements + 1} {
		f.Add(append([]byte{0xdd, 0, byte(count >> 16), byte(count >> 8), byte(count)}, bytes.Repeat([]byte{0xc0}, count)...))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		// The codec skips a value with the same structure; 0xc1 is not used by the format.
		decoder := msgpack.NewDecoder(bytes.NewReader(content))
		if bytes.IndexByte(content, 0xc1) >= 0 {
			return
		}
		codecErr, err := decoder.Skip(), Check(content)
		isValid := codecErr == nil && !exceedsLimits(msgpack.NewDecoder(bytes.NewReader(content)), 0)
		if isValid != (err == nil) {
			t.Errorf("codec: %v, check: %v", codecErr, err)
		}
	})
}

// exceedsLimits reports whether the value, which is valid, is over a limit of Check at the depth.
func exceedsLimits(decoder *msgpack.Decoder, depth int) bool {
	code, _ := decoder.PeekCode()
	if !isContainer(code) {
		_ = decoder.Skip()
		return false
	}
	var count int
	if msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32 {
		count, _ = decoder.DecodeArrayLen()
	} else {
		count, _ = decoder.DecodeMapLen()
		count *= 2
	}
	if depth == maxDepth || count > maxElements {
		return true
	}
	for range count {
		if exceedsLimits(decoder, depth+1) {
			return true
		}
	}
	return false
}

// BenchmarkUnmarshal compares decoding with and without the check.
func BenchmarkUnmarshal(b *testing.B) {
	message := record{Text: "text", Named: map[string]record{}}
	for name := range 20 {
		message.Named[string(rune('a'+name))] = record{Text: "node", Number: 0.5, Bytes: make([]byte, 16)}
	}
	content, err := msgpack.Marshal(&message)
	if err != nil {
		b.Fatal(err)
	}
	for name, decode := range map[string]func([]byte, any) error{"checked": Unmarshal, "codec": func(content []byte, value any) error { return msgpack.Unmarshal(content, value) }} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := decode(content, &record{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
