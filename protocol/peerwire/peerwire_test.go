package peerwire

import (
	"bytes"
	"errors"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

func encodeFrame(t testing.TB, envelope *Envelope) []byte {
	var buffer bytes.Buffer
	if _, err := WriteFrame(&buffer, envelope); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

// Guards against fields that are lost between writing and reading a frame.
func TestFrameRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	body, err := Marshal("text")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sent := &Envelope{Call: 7, Kind: KindHeartbeat, Reply: true, Code: "c", Detail: "d", Body: body}
	content := encodeFrame(t, sent)
	read, size, err := ReadFrame(bytes.NewReader(content))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(size).To(gomega.Equal(len(content)))
	g.Expect(read).To(gomega.Equal(sent))
}

// Invalid frames must be rejected as BadFrame, without a panic.
func TestInvalidFramesAreRejected(t *testing.T) {
	valid := encodeFrame(t, &Envelope{Call: 1, Kind: KindHeartbeat})
	unknown := encodeFrame(t, &Envelope{Call: 1, Kind: kindEnd})
	for name, content := range map[string][]byte{
		"zero length":      {0, 0, 0, 0},
		"excessive length": {0x7f, 0xff, 0xff, 0xff, 1},
		"truncated":        valid[:len(valid)-1],
		"invalid msgpack":  {0, 0, 0, 2, 0xc1, 0xc1},
		"unknown kind":     unknown,
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := ReadFrame(bytes.NewReader(content))
			if !errors.Is(err, errkind.BadFrame) {
				t.Fatalf("error is %v, want kind bad-frame", err)
			}
		})
	}
}

// Arbitrary bytes must neither cause a panic nor an allocation by a wrong length.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0x90})
	f.Add(encodeFrame(f, &Envelope{Call: 1, Kind: KindHeartbeat}))
	f.Fuzz(func(_ *testing.T, content []byte) {
		_, _, _ = ReadFrame(bytes.NewReader(content))
	})
}
