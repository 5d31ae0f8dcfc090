// Package httphead reads the heads of HTTP/1.1 answers within limits. http.ReadResponse leaves it to its caller to
// limit what it reads: a head without end would be held until the process is over its memory limit.
//
// Guarantees:
//   - No more than Limits.Bytes bytes and Limits.Lines lines of heads are held, provisional responses included.
//   - A head that has begun ends within Limits.Duration, or fails.
//   - A head within the limits is read as by http.ReadResponse, which leaves the same bytes unread, unless its status or
//     the name of a field is not valid. The same holds for the names of a trailer, which is read with the body.
//   - Errors don't quote more than maxQuotedBytes bytes of what the other side sent.
package httphead

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// Limits bound what is read of heads from Begin on, until the body of the answer. Fields that are zero set no limit.
type Limits struct {
	Bytes, Lines int
	// Duration is the time from the first bytes of a head to its end. The time until the first bytes is not limited.
	Duration time.Duration
	// Reserve, if not nil, is called before more bytes than the reader's buffer has are held. Its error ends the read.
	Reserve func(bytes int64) error
}

// Defaults of the limits, for servers whose heads are small.
const (
	DefaultBytes    = 16 << 10
	DefaultLines    = 128
	DefaultDuration = 2 * time.Second
)

// WithDefaults returns the limits with the defaults in place of zeros.
func (l Limits) WithDefaults() Limits {
	l.Bytes, l.Lines = cmp.Or(l.Bytes, DefaultBytes), cmp.Or(l.Lines, DefaultLines)
	l.Duration = cmp.Or(l.Duration, DefaultDuration)
	return l
}

// Violation is what is wrong with a head.
type Violation string

// Violations.
const (
	TooLong      Violation = "head-too-long"
	TooManyLines Violation = "head-too-many-lines"
	TooSlow      Violation = "head-too-slow"
	Malformed    Violation = "head-malformed"
	// InvalidStatus means that the status is below those of provisional heads.
	InvalidStatus Violation = "head-invalid-status"
	// InvalidName and InvalidTrailerName mean that the name of a field of the head, or the trailer, is no token.
	InvalidName        Violation = "head-invalid-name"
	InvalidTrailerName Violation = "trailer-invalid-name"
)

// Error says what is wrong with a head or a trailer. After it the connection must be closed.
type Error struct {
	Violation Violation
	// Bytes is the number of bytes of heads that were read until a limit or the parser ended the read; otherwise zero.
	Bytes int
	// Detail is empty, or what is not valid or the text of the parser's error, shortened.
	Detail string
}

func (e *Error) Error() string {
	text := "read answer: " + string(e.Violation)
	if e.Bytes > 0 {
		text += fmt.Sprintf(" after %d bytes", e.Bytes)
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// maxQuotedBytes bounds what an error has of the parser's error, which quotes the line that it can't parse.
const maxQuotedBytes = 80

// Reader is a buffered reader of a connection on which answers arrive. It is not safe for concurrent use.
type Reader struct {
	*bufio.Reader
	source source
}

// NewReader returns a reader of the connection with a buffer of the size in bytes.
func NewReader(connection net.Conn, size int) *Reader {
	reader := &Reader{source: source{connection: connection, bufferBytes: size}}
	reader.Reader = bufio.NewReaderSize(&reader.source, size)
	return reader
}

// Begin sets the limits of all heads that are read until the next Begin.
func (r *Reader) Begin(limits Limits) {
	r.source.limits, r.source.received, r.source.lines = limits, r.Buffered(), 0
}

// ReadResponse reads a head, as http.ReadResponse does. The error is of type *Error if the head is malformed, not valid or
// over a limit, that of Limits.Reserve, or the connection's. Reads of the body fail with an *Error if the trailer is not
// valid.
func (r *Reader) ReadResponse(request *http.Request) (*http.Response, error) {
	buffered, _ := r.Peek(r.Buffered())
	err := r.source.beginHead(buffered)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(r.Reader, request)
	}
	r.source.endHead()
	if err != nil {
		return nil, r.source.describe(err)
	}
	if err := checkResponse(response); err != nil {
		return nil, err
	}
	return response, nil
}

// source is the connection as the buffered reader reads it. While a head is read, it enforces the limits.
type source struct {
	connection  net.Conn
	bufferBytes int
	limits      Limits
	// received is the number of bytes of heads since Begin, and lines that of their lines.
	received, lines int
	// isHead is true while a head is read, and isComplete once its empty line was received.
	isHead, isComplete bool
	// lineBytes is the number of bytes of the unfinished line, and firstByte the first of them.
	lineBytes int
	firstByte byte
	// hasDeadline is true while the connection has a read deadline for the head.
	hasDeadline bool
	// limitErr is the error of a limit, and readErr that of the connection, during the head. The buffered reader drops
	// an error that comes within a line.
	limitErr, readErr error
}

// beginHead begins a head of which the bytes are in the buffer already.
func (s *source) beginHead(buffered []byte) error {
	s.isHead, s.isComplete, s.lineBytes, s.limitErr, s.readErr = true, false, 0, nil, nil
	return s.countLines(buffered)
}

// endHead ends the limits; the body follows.
func (s *source) endHead() {
	s.isHead = false
	if s.hasDeadline {
		s.hasDeadline = false
		_ = s.connection.SetReadDeadline(time.Time{})
	}
}

// Read implements io.Reader.
func (s *source) Read(into []byte) (int, error) {
	if !s.isHead {
		return s.connection.Read(into)
	}
	if s.limitErr != nil {
		return 0, s.limitErr
	}
	if s.limits.Bytes > 0 {
		left := s.limits.Bytes - s.received
		if left <= 0 {
			return 0, s.violate(TooLong)
		}
		into = into[:min(len(into), left)]
	}
	s.startDeadline()
	count, err := s.connection.Read(into)
	s.received += count
	switch {
	case err != nil && s.hasDeadline && errors.Is(err, os.ErrDeadlineExceeded):
		return 0, s.violate(TooSlow)
	case err != nil:
		s.readErr = err
		return count, err
	}
	if err := s.countLines(into[:count]); err != nil {
		return 0, err
	}
	if s.limitErr = s.reserve(count); s.limitErr != nil {
		return 0, s.limitErr
	}
	return count, nil
}

// violate records and returns the error of a limit.
func (s *source) violate(violation Violation) error {
	s.limitErr = &Error{Violation: violation, Bytes: s.received}
	return s.limitErr
}

// startDeadline limits the time to the end of the head, once a part of it was received.
func (s *source) startDeadline() {
	if s.hasDeadline || s.received == 0 || s.limits.Duration <= 0 {
		return
	}
	s.hasDeadline = true
	_ = s.connection.SetReadDeadline(time.Now().Add(s.limits.Duration))
}

// countLines counts the lines of the head in what was received.
func (s *source) countLines(content []byte) error {
	for !s.isComplete && len(content) > 0 {
		end := bytes.IndexByte(content, '\n')
		line := content
		if end >= 0 {
			line = content[:end]
		}
		if s.lineBytes == 0 && len(line) > 0 {
			s.firstByte = line[0]
		}
		s.lineBytes += len(line)
		if end < 0 {
			return nil
		}
		s.isComplete = s.lineBytes == 0 || s.lineBytes == 1 && s.firstByte == '\r'
		content, s.lineBytes = content[end+1:], 0
		if s.lines++; s.limits.Lines > 0 && s.lines > s.limits.Lines {
			return s.violate(TooManyLines)
		}
	}
	return nil
}

// heldPerByte is how many bytes are held for one that was received, as the line is copied while it grows and its
// parts are entered into a map.
const heldPerByte = 3

// reserve reserves memory for what exceeds the buffer.
func (s *source) reserve(count int) error {
	if s.limits.Reserve == nil || s.received <= s.bufferBytes {
		return nil
	}
	return s.limits.Reserve(int64(count) * heldPerByte)
}

// describe returns the error for an error of http.ReadResponse.
func (s *source) describe(err error) error {
	switch {
	case s.limitErr != nil:
		return s.limitErr
	case errors.Is(err, io.ErrUnexpectedEOF), s.readErr != nil && errors.Is(err, s.readErr):
		return err
	case s.readErr != nil && !s.isComplete:
		// The parser takes what was received of the status line for a whole one.
		if errors.Is(s.readErr, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return s.readErr
	}
	return &Error{Violation: Malformed, Bytes: s.received, Detail: quoted(err.Error())}
}

// quoted returns the text in quotes, shortened to maxQuotedBytes before.
func quoted(text string) string { return fmt.Sprintf("%q", text[:min(len(text), maxQuotedBytes)]) }
