package dissemination

import (
	"sync"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/catalog"
)

// maximumParts bounds the parts of a manifest: 100,000 routes are some 800 parts.
const maximumParts = 16384

// Request asks a peer for what the sender lacks of the peer's version.
type Request struct {
	// Version is the sender's configuration in force; zero means none.
	Version int64 `msgpack:"v"`
	// HeldParts names the parts that the sender has.
	HeldParts []catalog.Hash `msgpack:"h"`
	// Address and Zone are the sender's: it will be named to others that ask.
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z"`
}

// Reply is a peer's answer to a Request.
type Reply struct {
	// Manifest is of the peer's version in force, and empty if the sender's is no older.
	Manifest catalog.Manifest `msgpack:"m"`
	// Content holds compressed parts that the sender lacks, as many as one reply takes.
	Content [][]byte `msgpack:"c"`
	// Busy is true if the peer sends to as many others as it may. Nothing else is set
	// then but Sources, addresses of nodes that have the version from this peer.
	Busy    bool     `msgpack:"b"`
	Sources []string `msgpack:"o"`
}

// entry is one part, as it is used and as it travels.
type entry struct {
	part   catalog.Part
	packed *catalog.CompressedPart
}

// PartStore holds the parts of the configuration in force and of the one being fetched.
type PartStore struct {
	mutex    sync.Mutex
	entries  map[catalog.Hash]entry
	inForce  catalog.Manifest
	fetching catalog.Manifest
	dropped  int
}

// NewPartStore returns a library without a version.
func NewPartStore() *PartStore { return &PartStore{entries: map[catalog.Hash]entry{}} }

// Publish makes the document, which was compiled, the version in force. Parts that are
// here already are not compressed again.
func (l *PartStore) Publish(document *catalog.Document) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	parts := catalog.Split(document)
	manifest := catalog.Manifest{Version: document.Version, Parts: make([]catalog.Hash, 0, len(parts))}
	for i := range parts {
		hash, content, err := parts[i].Encode()
		if err != nil {
			return err
		}
		manifest.Parts = append(manifest.Parts, hash)
		if _, found := l.entries[hash]; found {
			continue
		}
		packed, err := catalog.Compress(hash, content)
		if err != nil {
			return err
		}
		// A part that shared the document's memory would keep all of it for as long as
		// later versions have the part.
		l.entries[hash] = entry{part: parts[i].Clone(), packed: packed}
	}
	l.adopt(manifest)
	return nil
}

// Activate makes the version that Merge returned the one in force.
func (l *PartStore) Activate(version int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.fetching.Version == version && !l.lacks(l.fetching) {
		l.adopt(l.fetching)
	}
}

// CancelFetch forgets which version is being fetched, as nobody may have all of it any more.
// The parts that came stay until the next reply tells which of them are needed.
func (l *PartStore) CancelFetch() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fetching = catalog.Manifest{}
}

// adopt takes the manifest into force unless a newer one is. The caller holds the mutex.
func (l *PartStore) adopt(manifest catalog.Manifest) {
	if manifest.Version <= l.inForce.Version {
		return
	}
	l.inForce = manifest
	if l.fetching.Version <= manifest.Version {
		l.fetching = catalog.Manifest{}
	}
	l.prune()
}

// prune drops the parts that no version needs. The caller holds the mutex.
func (l *PartStore) prune() {
	needed := make(map[catalog.Hash]bool, len(l.inForce.Parts))
	for _, manifest := range []catalog.Manifest{l.inForce, l.fetching} {
		for _, hash := range manifest.Parts {
			needed[hash] = true
		}
	}
	for hash := range l.entries {
		if !needed[hash] {
			delete(l.entries, hash)
		}
	}
}

// lacks returns whether some part of the manifest is not here. The caller holds the mutex.
func (l *PartStore) lacks(manifest catalog.Manifest) bool {
	for _, hash := range manifest.Parts {
		if _, found := l.entries[hash]; !found {
			return true
		}
	}
	return false
}

// Version returns the version in force; zero means none.
func (l *PartStore) Version() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.inForce.Version
}

// Fetching returns the version that is being fetched; zero means none.
func (l *PartStore) Fetching() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fetching.Version
}

// HeldParts returns the names of all parts that are here.
func (l *PartStore) HeldParts() []catalog.Hash {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := make([]catalog.Hash, 0, len(l.entries))
	for hash := range l.entries {
		held = append(held, hash)
	}
	return held
}

// Size returns the length of all parts that are here before compression, in bytes.
func (l *PartStore) Size() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	size := 0
	for _, held := range l.entries {
		size += held.packed.Size
	}
	return size
}

// Dropped returns how many parts came that no manifest names or that did not decode.
func (l *PartStore) Dropped() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.dropped
}

// Respond answers a request with parts of at most the budget in bytes, but at least one.
// Whole is true if the sender has every part of the version once it has the reply.
func (l *PartStore) Respond(request *Request, budget int) (reply *Reply, whole bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reply = &Reply{}
	if l.inForce.Version <= request.Version {
		return reply, false
	}
	reply.Manifest = l.inForce
	held := make(map[catalog.Hash]bool, len(request.HeldParts))
	for _, hash := range request.HeldParts {
		held[hash] = true
	}
	length := 0
	for _, hash := range l.inForce.Parts {
		if held[hash] {
			continue
		}
		content := l.entries[hash].packed.Content
		if length > 0 && length+len(content) > budget {
			return reply, false
		}
		held[hash] = true
		length += len(content)
		reply.Content = append(reply.Content, content)
	}
	return reply, true
}

// Merge enters what a peer sent and returns the document once nothing of it is missing;
// until then it returns nil. Progress is true if a part came that was missing. The
// error is of kind BadFrame for a reply that no correct peer sends; the parts that fit
// their names are kept all the same.
func (l *PartStore) Merge(reply *Reply) (document *catalog.Document, progress bool, err error) {
	if len(reply.Manifest.Parts) > maximumParts {
		return nil, false, errkind.New(errkind.BadFrame, "a manifest of %d parts exceeds %d", len(reply.Manifest.Parts), maximumParts)
	}
	received, err := unpackAll(reply.Content)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if reply.Manifest.Version <= l.inForce.Version {
		return nil, false, err
	}
	// A peer that is itself behind may send parts of the version that is being fetched,
	// but not lead back to its own.
	if reply.Manifest.Version > l.fetching.Version {
		l.fetching = reply.Manifest
	}
	missing := map[catalog.Hash]bool{}
	for _, hash := range l.fetching.Parts {
		if _, found := l.entries[hash]; !found {
			missing[hash] = true
		}
	}
	for _, part := range received {
		if !missing[part.packed.Hash] {
			l.dropped++
			continue
		}
		l.entries[part.packed.Hash] = part
		progress = true
	}
	l.prune()
	if err != nil {
		l.dropped++
		return nil, progress, err
	}
	if l.lacks(l.fetching) {
		return nil, progress, nil
	}
	return l.join(l.fetching), progress, nil
}

// unpackAll decodes the parts up to the first that is not one.
func unpackAll(contents [][]byte) ([]entry, error) {
	var received []entry
	for _, content := range contents {
		packed, part, err := catalog.Decompress(content)
		if err != nil {
			return received, err
		}
		received = append(received, entry{part: *part, packed: packed})
	}
	return received, nil
}

// join makes the document of a manifest that lacks nothing. The caller holds the mutex.
func (l *PartStore) join(manifest catalog.Manifest) *catalog.Document {
	parts := make([]catalog.Part, 0, len(manifest.Parts))
	for _, hash := range manifest.Parts {
		parts = append(parts, l.entries[hash].part)
	}
	return catalog.Join(manifest.Version, parts)
}
