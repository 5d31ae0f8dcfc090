// Package receipt seals what a node needs to resume or look up an answer at its
// engine. Receipts and tickets are opaque to callers and authenticated, but not
// encrypted: only nodes that share the key can create one.
package receipt

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/structs"
)

// Receipt identifies a dispatched request and the replica that it was sent to.
type Receipt struct {
	RequestID   string            `msgpack:"r"`
	Tenant      string            `msgpack:"t"`
	Route       string            `msgpack:"u"`
	Zone        string            `msgpack:"z"`
	Node        string            `msgpack:"n"`
	Incarnation uint64            `msgpack:"i"`
	Replica     structs.ReplicaID `msgpack:"b"`
	Address     string            `msgpack:"a"`
	// Engine reports whether the replica is an engine, from which the answer can
	// be read again. Reading from a plain service would run the request again.
	Engine bool `msgpack:"e"`
}

// Ticket permits a single dispatch by the process that issued it.
type Ticket struct {
	ID          string `msgpack:"d"`
	Tenant      string `msgpack:"t"`
	Zone        string `msgpack:"z"`
	Node        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	// Address is the address at which the node serves callers.
	Address string `msgpack:"a"`
}

// Sealer seals and opens receipts and tickets. The first key seals and every
// key opens, so that keys can be rotated. It is safe for concurrent use.
type Sealer struct{ keys atomic.Pointer[[][]byte] }

// NewSealer returns a sealer with the secret keys, at least one.
func NewSealer(keys ...[]byte) *Sealer {
	s := &Sealer{}
	s.SetKeys(keys...)
	return s
}

// SetKeys replaces the keys; at least one is required.
func (s *Sealer) SetKeys(keys ...[]byte) {
	copied := make([][]byte, len(keys))
	for i, key := range keys {
		copied[i] = append([]byte(nil), key...)
	}
	s.keys.Store(&copied)
}

// Seal returns the sealed text of the value, such as a Receipt or a Ticket. The
// error is of kind BadReceipt.
func (s *Sealer) Seal(value any) (string, error) {
	content, err := msgpack.Marshal(value)
	if err != nil {
		return "", errkind.Wrap(errkind.BadReceipt, err)
	}
	return base64.RawURLEncoding.EncodeToString(append(computeMAC((*s.keys.Load())[0], content), content...)), nil
}

// Open checks the seal of the text and decodes the text into value. The error is
// of kind BadReceipt, also if none of the keys matches.
func (s *Sealer) Open(text string, value any) error {
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(sealed) < sha256.Size {
		return errkind.New(errkind.BadReceipt, "open receipt or ticket: not a sealed text")
	}
	content := sealed[sha256.Size:]
	for _, key := range *s.keys.Load() {
		if hmac.Equal(sealed[:sha256.Size], computeMAC(key, content)) {
			return errkind.Wrap(errkind.BadReceipt, msgpack.Unmarshal(content, value))
		}
	}
	return errkind.New(errkind.BadReceipt, "open receipt or ticket: seal matches no key")
}

func computeMAC(key, content []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(content)
	return mac.Sum(nil)
}
