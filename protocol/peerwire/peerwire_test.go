package peerwire

import (
	"bytes"
	"errors"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

func frame(t testing.TB, envelope *Envelope) []byte {
	var buffer bytes.Buffer
	if _, err := WriteFrame(&buffer, envelope); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

func TestFrameSurvives(t *testing.T) {
	g := gomega.NewWithT(t)
	body, err := Marshal("text")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sent := &Envelope{Call: 7, Kind: KindHeartbeat, Reply: true, Code: "c", Detail: "d", Body: body}
	content := frame(t, sent)
	read, size, err := ReadFrame(bytes.NewReader(content))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(size).To(gomega.Equal(len(content)))
	g.Expect(read).To(gomega.Equal(sent))
}

func TestHostileFramesAreRefused(t *testing.T) {
	good := frame(t, &Envelope{Call: 1, Kind: KindHeartbeat})
	unknown := frame(t, &Envelope{Call: 1, Kind: kindEnd})
	for name, content := range map[string][]byte{
		"no length":       {0, 0, 0, 0},
		"a false length":  {0x7f, 0xff, 0xff, 0xff, 1},
		"cut short":       good[:len(good)-1],
		"no msgpack":      {0, 0, 0, 2, 0xc1, 0xc1},
		"an unknown kind": unknown,
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := ReadFrame(bytes.NewReader(content))
			if !errors.Is(err, errkind.BadFrame) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0x90})
	f.Add(frame(f, &Envelope{Call: 1, Kind: KindHeartbeat}))
	f.Fuzz(func(_ *testing.T, content []byte) {
		_, _, _ = ReadFrame(bytes.NewReader(content)) // must not crash or take memory by a false length
	})
}
