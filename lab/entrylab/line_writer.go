package entrylab

import (
	"bytes"
	"io"
)

// lineWriter passes on whole lines, so that those of several nodes are not mixed in one log. It is not safe for
// concurrent use.
type lineWriter struct {
	writer io.Writer
	// partial is the beginning of a line that is not passed on yet.
	partial []byte
}

// Write implements io.Writer.
func (w *lineWriter) Write(content []byte) (int, error) {
	w.partial = append(w.partial, content...)
	end := bytes.LastIndexByte(w.partial, '\n') + 1
	_, err := w.writer.Write(w.partial[:end])
	w.partial = append(w.partial[:0], w.partial[end:]...)
	return len(content), err
}
