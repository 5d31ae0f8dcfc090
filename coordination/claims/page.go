package claims

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// MaximumPage bounds an encoded page in bytes; the store holds a megabyte.
const MaximumPage = 900_000

// Claim is the right to dispatch one not-repeatable request.
type Claim struct {
	// KeyHash identifies tenant and key.
	KeyHash [16]byte `msgpack:"k"`
	// BodyHash tells a resubmission from another request under the key.
	BodyHash uint64 `msgpack:"b"`
	// RequestID names the request that may be dispatched; it carries the node
	// and process of the claimant and is never used twice.
	RequestID string `msgpack:"r"`
	// Receipt tells where the request went, or will go.
	Receipt string `msgpack:"c"`
	// Hour is when a dated key was made, in hours of Unix time; zero means that
	// the key carries no date and the claim is never removed.
	Hour int64 `msgpack:"h"`
}

// page is the claims of one shard.
type page struct {
	Claims []Claim `msgpack:"c"`
}

// HashKey returns the hash that identifies the tenant's key.
func HashKey(tenant, key string) [16]byte {
	var hash [16]byte
	digest := xxhash.New()
	_, _ = digest.WriteString(tenant) // Digest never fails
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	binary.BigEndian.PutUint64(hash[:8], digest.Sum64())
	_, _ = digest.WriteString("\x00second half")
	binary.BigEndian.PutUint64(hash[8:], digest.Sum64())
	return hash
}

// KeyTime returns when a key was made, if the key is a UUID of version 7.
func KeyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}

func decodePage(data []byte) (page, error) {
	var content page
	if len(data) == 0 {
		return content, nil
	}
	err := msgpack.Unmarshal(data, &content)
	return content, errkind.Wrap(errkind.StoreUnavailable, err)
}

func (p *page) find(keyHash [16]byte) (Claim, bool) {
	for _, claim := range p.Claims {
		if claim.KeyHash == keyHash {
			return claim, true
		}
	}
	return Claim{}, false
}

// prune drops dated claims from before the hour.
func (p *page) prune(beforeHour int64) {
	kept := p.Claims[:0]
	for _, claim := range p.Claims {
		if claim.Hour == 0 || claim.Hour >= beforeHour {
			kept = append(kept, claim)
		}
	}
	p.Claims = kept
}

func (p *page) remove(claim Claim) {
	kept := p.Claims[:0]
	for _, other := range p.Claims {
		if other.KeyHash != claim.KeyHash || other.RequestID != claim.RequestID {
			kept = append(kept, other)
		}
	}
	p.Claims = kept
}

func (p *page) encode() ([]byte, error) {
	data, err := msgpack.Marshal(p)
	return data, errkind.Wrap(errkind.StoreUnavailable, err)
}
