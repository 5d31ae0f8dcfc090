package httphead

import (
	"fmt"
	"net/http"

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
	return checkNames(header)
}

// checkNames returns an *Error if a name is no token (RFC 9110, section 5.1).
func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return &Error{Violation: InvalidName, Detail: quoted(name)}
		}
	}
	return nil
}
