package claims

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// MaximumPage bounds an encoded page in bytes; the store holds a megabyte.
const MaximumPage = 900_000

// BucketLength is the time of keys that share pages. A dated key is looked for
// in the pages of its own time only, so that old pages are never written again
// and vanish as wholes. Each write sends a whole page to the store: short times
// keep that small, and move the writing from node to node.
const BucketLength = time.Second

// Claim is the right to dispatch one not-repeatable request. It takes about 80
// bytes in a page.
type Claim struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// KeyHash identifies tenant and key.
	KeyHash [16]byte
	// BodyHash tells a resubmission from another request under the key.
	BodyHash uint64
	// RequestID names the request that may be dispatched; it carries the node
	// and process of the claimant and is never used twice.
	RequestID string
	// Address is where the request went, or will go, and Engine is true if its
	// answer can be read again there.
	Address string
	Engine  bool
}

// Page names a page in the store.
type Page struct {
	// Bucket is the number of the keys' time; zero is that of undated keys,
	// whose claims are never removed.
	Bucket int64
	Shard  int
}

// Key returns the store key of the page.
func (p Page) Key() string { return fmt.Sprintf("thornwalk/claims/%d/%02d", p.Bucket, p.Shard) }

// PageOf returns the page of a tenant's key.
func PageOf(tenant, key string, shards int) Page {
	hash := HashKey(tenant, key)
	page := Page{Shard: int(binary.BigEndian.Uint64(hash[:8]) % uint64(max(1, shards)))}
	if made, dated := KeyTime(key); dated {
		page.Bucket = made.Unix() / int64(BucketLength/time.Second)
	}
	return page
}

// claimPage is the content of a page.
type claimPage struct {
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

func decodePage(data []byte) (claimPage, error) {
	var content claimPage
	if len(data) == 0 {
		return content, nil
	}
	err := msgpack.Unmarshal(data, &content)
	return content, errkind.Wrap(errkind.StoreUnavailable, err)
}

func (p *claimPage) find(keyHash [16]byte) (Claim, bool) {
	for _, claim := range p.Claims {
		if claim.KeyHash == keyHash {
			return claim, true
		}
	}
	return Claim{}, false
}

func (p *claimPage) remove(claim Claim) {
	kept := p.Claims[:0]
	for _, other := range p.Claims {
		if other.KeyHash != claim.KeyHash || other.RequestID != claim.RequestID {
			kept = append(kept, other)
		}
	}
	p.Claims = kept
}

func (p *claimPage) encode() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	err := encoder.Encode(p)
	return buffer.Bytes(), errkind.Wrap(errkind.StoreUnavailable, err)
}
