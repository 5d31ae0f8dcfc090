// Package receipt seals what a node must know to resume or look up an answer
// at its engine. A receipt is opaque to callers and authenticated: only nodes
// that share the key can make one.
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

// Receipt names a dispatched request and where it went.
type Receipt struct {
	RequestID   string            `msgpack:"r"`
	Tenant      string            `msgpack:"t"`
	Route       string            `msgpack:"u"`
	Zone        string            `msgpack:"z"`
	Node        string            `msgpack:"n"`
	Incarnation uint64            `msgpack:"i"`
	Replica     structs.ReplicaID `msgpack:"b"`
	Address     string            `msgpack:"a"`
	// Engine is true if the answer can be read again at the back end; a plain
	// service must not be asked, since asking would be a call.
	Engine bool `msgpack:"e"`
}

// Ticket allows one dispatch by one process.
type Ticket struct {
	ID          string `msgpack:"d"`
	Tenant      string `msgpack:"t"`
	Zone        string `msgpack:"z"`
	Node        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	// Address is where the node serves callers.
	Address string `msgpack:"a"`
}

// Sealer makes and opens receipts and tickets. The first key seals; all open,
// so that keys can be changed without refusing what was sealed before. It is
// safe for concurrent use.
type Sealer struct{ keys atomic.Pointer[[][]byte] }

// NewSealer returns a sealer with the secret keys.
func NewSealer(keys ...[]byte) *Sealer {
	s := &Sealer{}
	s.SetKeys(keys...)
	return s
}

// SetKeys takes changed keys into force.
func (s *Sealer) SetKeys(keys ...[]byte) {
	copied := make([][]byte, len(keys))
	for i, key := range keys {
		copied[i] = append([]byte(nil), key...)
	}
	s.keys.Store(&copied)
}

// Seal returns the text form of the value, which is a Receipt or a Ticket.
func (s *Sealer) Seal(value any) (string, error) {
	content, err := msgpack.Marshal(value)
	if err != nil {
		return "", errkind.Wrap(errkind.BadReceipt, err)
	}
	return base64.RawURLEncoding.EncodeToString(append(sum((*s.keys.Load())[0], content), content...)), nil
}

// Open checks the text and decodes it into value. The error is of kind
// BadReceipt if the text was not sealed with any of the keys.
func (s *Sealer) Open(text string, value any) error {
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(sealed) < sha256.Size {
		return errkind.New(errkind.BadReceipt, "not a receipt or ticket")
	}
	content := sealed[sha256.Size:]
	for _, key := range *s.keys.Load() {
		if hmac.Equal(sealed[:sha256.Size], sum(key, content)) {
			return errkind.Wrap(errkind.BadReceipt, msgpack.Unmarshal(content, value))
		}
	}
	return errkind.New(errkind.BadReceipt, "the seal does not match")
}

func sum(key, content []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(content)
	return mac.Sum(nil)
}
