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
	"github.com/thornwalk/thornwalk/protocol/msgpackcheck"
)

// MaxPageBytes bounds an encoded page; the store accepts values of one megabyte.
const MaxPageBytes = 900_000

// BucketDuration is the range of creation times of the keys in one bucket. Since
// a dated key belongs to the pages of its own bucket, old pages are no longer
// written and expire. Each write sends a complete page, so buckets are short.
const BucketDuration = time.Second

// Claim is the right to dispatch one request that must not run twice.
type Claim struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// KeyHash identifies the tenant and key.
	KeyHash [16]byte
	// BodyHash distinguishes a resubmission from another request under the key.
	BodyHash uint64
	// RequestID identifies the request that may be dispatched. It contains the
	// claiming node and process and is never reused.
	RequestID string
	// Address is the replica that the request is sent to, and Engine is true if
	// its answer can be read again there.
	Address string
	Engine  bool
}

// Page identifies a page in the store.
type Page struct {
	// Bucket is the keys' creation time divided by BucketDuration. It is zero for
	// undated keys, whose claims don't expire.
	Bucket int64
	Shard  int
}

// Key returns the store key of the page.
func (p Page) Key() string { return fmt.Sprintf("thornwalk/claims/%d/%02d", p.Bucket, p.Shard) }

// PageOf returns the page of a tenant's key.
func PageOf(tenant, key string, shards int) Page {
	hash := HashKey(tenant, key)
	page := Page{Shard: int(binary.BigEndian.Uint64(hash[:8]) % uint64(max(1, shards)))}
	if createdAt, dated := KeyCreatedAt(key); dated {
		page.Bucket = createdAt.Unix() / int64(BucketDuration/time.Second)
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
	_, _ = digest.WriteString(tenant) // a Digest never returns an error
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	binary.BigEndian.PutUint64(hash[:8], digest.Sum64())
	_, _ = digest.WriteString("\x00second half")
	binary.BigEndian.PutUint64(hash[8:], digest.Sum64())
	return hash
}

// KeyCreatedAt returns when a key was created. It returns false unless the key is
// a version 7 UUID.
func KeyCreatedAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}

// decodePage decodes a stored page; no data is an empty page. The error is of
// kind StoreUnavailable.
func decodePage(data []byte) (claimPage, error) {
	var content claimPage
	if len(data) == 0 {
		return content, nil
	}
	err := msgpackcheck.Unmarshal(data, &content)
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

// remove removes the claim if the same request holds it.
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
