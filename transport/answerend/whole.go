package answerend

import (
	"fmt"
	"io"
	"net/http"
)

// ErrNothingSent is the error of an answer without framing whose connection was closed right after the head.
var ErrNothingSent = fmt.Errorf("read answer: without framing, and nothing was sent before the close: %w", io.ErrUnexpectedEOF)

// ErrNotServing is the error of an answer without framing whose server may have ended with the connection.
var ErrNotServing = fmt.Errorf("read answer: without framing, and the server is not reached after the close: %w", io.ErrUnexpectedEOF)

// IsUnframed reports whether the body has neither a length nor chunks, so that only the close of the connection ends it.
func IsUnframed(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// CheckClosed returns an error unless an answer without framing that was read up to the close of its connection is whole:
// the server sent content before, and still serves, as the kernel closes the connections of a killed process in order too.
// isStillServing is called after the close, and reports whether the server accepts another connection.
func CheckClosed(hasContent bool, isStillServing func() bool) error {
	switch {
	case !hasContent:
		return ErrNothingSent
	case !isStillServing():
		return ErrNotServing
	}
	return nil
}
