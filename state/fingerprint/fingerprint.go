// Package fingerprint recognises a request that comes again: the same caller asks for the
// same thing by another try, which has an id of its own.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
)

// length is the bytes that are kept of the digest: nobody finds a second request with the
// same 128 bits, so that no caller can have another's request taken for its own.
const length = 16

// Fingerprint is equal for requests that ask for the same. The zero value stands for a
// request that is not known.
type Fingerprint [length]byte

// Of returns the fingerprint of what the caller asks for. The caller is part of it: what
// one sends says nothing of the requests of another. Each part is preceded by its length,
// so that no two lists of parts give the same bytes.
func Of(caller, method, host, target string, body []byte) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{caller, method, host, target} {
		writeLength(digest, len(part))
		_, _ = io.WriteString(digest, part) // a digest takes all bytes
	}
	writeLength(digest, len(body))
	_, _ = digest.Write(body)
	var sum Fingerprint
	copy(sum[:], digest.Sum(nil))
	return sum
}

func writeLength(digest io.Writer, length int) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(length))
	_, _ = digest.Write(encoded[:])
}

// IsZero returns whether nothing is known of the request.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// String returns the fingerprint in hexadecimal digits, as it stands in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != length {
		return fmt.Errorf("fingerprint %.40q: %d hexadecimal digits are needed", text, 2*length)
	}
	_, err := hex.Decode(f[:], text)
	return err
}
