// Package fingerprint recognizes retries under a new request ID: requests of the same caller with the
// same method, host, target and body. It keeps no requests.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
)

// sizeBytes is the size of a fingerprint. 128 bits make it infeasible to construct a request with
// the fingerprint of another one.
const sizeBytes = 16

// Fingerprint is equal for requests of one caller with the same method, host, target and body. The
// zero value stands for an unknown request.
type Fingerprint [sizeBytes]byte

// Of returns the fingerprint of a request. It includes the caller, so that requests of one caller do
// not affect those of another. Each part is prefixed with its length, so that moving bytes between
// adjacent parts changes the result.
func Of(caller, method, host, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{caller, method, host, target} {
		writeLength(hash, len(part))
		_, _ = io.WriteString(hash, part) // a hash never returns an error
	}
	writeLength(hash, len(body))
	_, _ = hash.Write(body)
	var sum Fingerprint
	copy(sum[:], hash.Sum(nil))
	return sum
}

func writeLength(hash io.Writer, length int) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(length))
	_, _ = hash.Write(encoded[:])
}

// IsZero reports whether the request is unknown.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler. It returns the text of String.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. After an error the value of f is undefined.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != sizeBytes {
		return fmt.Errorf("parse fingerprint %.40q: want %d hexadecimal digits", text, 2*sizeBytes)
	}
	_, err := hex.Decode(f[:], text)
	return err
}
