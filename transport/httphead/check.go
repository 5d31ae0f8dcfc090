package httphead

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

// http.ReadResponse takes bytes for a head that are none: any three digits for a status, and names of fields with blanks,
// which it keeps as they are. Such a field is not recognized as what its sender meant, so that a body may get another end
// and an answer another owner.

// minStatus is the lowest status. Statuses above 599 are not valid either, but a recipient handles them as those of server
// errors (RFC 9110, section 15).
const minStatus = 100

// Check returns an *Error if the status or the name of a field shows that what was parsed is no head, provisional ones
// included.
func Check(status int, header http.Header) error {
	if status < minStatus {
		return &Error{Violation: InvalidStatus, Detail: fmt.Sprintf("%03d", status)}
	}
	return checkNames(header, InvalidName)
}

// checkNames returns an *Error with the violation if a name is no token (RFC 9110, section 5.1). The fields that a
// trailer is announced to have, and does not have, are nil.
func checkNames(fields http.Header, violation Violation) error {
	for name, values := range fields {
		if values != nil && !httpguts.ValidHeaderFieldName(name) {
			return &Error{Violation: violation, Detail: quoted(name)}
		}
	}
	return nil
}

// checkedBody is a body whose reads end with io.EOF only if the trailer is one.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(into []byte) (int, error) {
	count, err := b.ReadCloser.Read(into)
	if err == io.EOF {
		if invalid := checkNames(b.response.Trailer, InvalidTrailerName); invalid != nil {
			err = invalid
		}
	}
	return count, err
}

// checkResponse checks the head, and has the trailer checked at the end of the body.
func checkResponse(response *http.Response) error {
	if err := Check(response.StatusCode, response.Header); err != nil {
		return err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &checkedBody{ReadCloser: response.Body, response: response}
	}
	return nil
}

// Transport is an http.RoundTripper whose answers have heads and trailers as Check requires.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper. Its error is of type *Error if what arrived is no head.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
		return Check(status, http.Header(header))
	}}
	response, err := t.RoundTripper.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes those of the wrapped transport, as http.Client does.
func (t Transport) CloseIdleConnections() {
	if closer, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
