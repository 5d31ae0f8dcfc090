package entrylab

import (
	"bytes"
	"io"
)

// lineWriter passes on whole lines, so that those of several nodes are not mixed in one log. It is not safe for
// concurrent use.
type lineWriter struct {
	writer io.Writer
	// partial is the beginning of a line.
	partial []byte
}

// Write implements io.Writer.
func (w *lineWriter) Write(content []byte) (int, error) {
	end := bytes.LastIndexByte(content, '\n') + 1
	if end == 0 {
		w.partial = append(w.partial, content...)
		return len(content), nil
	}
	lines := append(w.partial, content[:end]...)
	w.partial = bytes.Clone(content[end:])
	if _, err := w.writer.Write(lines); err != nil {
		return 0, err
	}
	return len(content), nil
}
