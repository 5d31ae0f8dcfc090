package jsonstream

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// endless is a reader of spaces or other bytes without end that counts what was read.
type endless struct {
	content byte
	read    int64
}

func (e *endless) Read(into []byte) (int, error) {
	for i := range into {
		into[i] = e.content
	}
	e.read += int64(len(into))
	return len(into), nil
}

// Guards against a value without end that is held until the process is over its memory limit.
func TestValuesWithoutEndAreGivenUp(t *testing.T) {
	for _, content := range []byte{' ', 'x', '['} {
		g := gomega.NewWithT(t)
		reader := &endless{content: content}
		var value string
		err := NewDecoder(io.MultiReader(strings.NewReader(`"`), reader), 1<<20).Decode(&value)
		var tooLong *TooLongError
		g.Expect(errors.As(err, &tooLong)).To(gomega.BeTrue(), "%.100v", err)
		g.Expect(reader.read).To(gomega.BeNumerically("<=", 3<<20))
	}
}

// Guards against a limit on all values together: a watch has no end.
func TestLimitIsThatOfEachValue(t *testing.T) {
	g := gomega.NewWithT(t)
	decoder := NewDecoder(strings.NewReader(strings.Repeat(`"`+strings.Repeat("x", 700)+`" `, 100)), 1000)
	for range 100 {
		var value string
		g.Expect(decoder.Decode(&value)).To(gomega.Succeed())
		g.Expect(value).To(gomega.HaveLen(700))
	}
	var value string
	g.Expect(decoder.Decode(&value)).To(gomega.MatchError(io.EOF))
}
