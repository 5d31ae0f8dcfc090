package httphead

import "fmt"

// minStatus is the lowest status. Statuses above 599 are not valid either, but a recipient handles them as those of server
// errors (RFC 9110, section 15).
const minStatus = 100

// Check returns an *Error if the status shows that what was parsed is no head. http.ReadResponse takes any three digits.
func Check(status int) error {
	if status < minStatus {
		return &Error{Violation: InvalidStatus, Detail: fmt.Sprintf("%03d", status)}
	}
	return nil
}
