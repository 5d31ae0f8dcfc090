package dissemination

import (
	"sync"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/catalog"
)

// maxManifestParts bounds the memory that a manifest of a peer can take.
const maxManifestParts = 16384

// Request asks a peer for the parts of its version that the sender lacks.
type Request struct {
	// Version is the sender's active version; zero means none.
	Version int64 `msgpack:"v"`
	// HeldParts are the hashes of the parts that the sender has.
	HeldParts []catalog.Hash `msgpack:"h"`
	// Address and Zone are the sender's. The peer suggests it as a source to others.
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z"`
}

// Reply is a peer's answer to a Request.
type Reply struct {
	// Manifest is that of the peer's active version, or empty if that is no newer than the
	// sender's.
	Manifest catalog.Manifest `msgpack:"m"`
	// Content holds compressed parts that the sender lacks, as many as fit into one reply.
	Content [][]byte `msgpack:"c"`
	// Busy is true if the peer already sends to the maximum number of nodes. Then only Sources is
	// set as well: addresses of nodes that got the version from this peer.
	Busy    bool     `msgpack:"b"`
	Sources []string `msgpack:"o"`
}

// storedPart is a part, decoded and as it is sent.
type storedPart struct {
	part       catalog.Part
	compressed *catalog.CompressedPart
}

// PartStore holds the parts of the active configuration and of the one being fetched. Create it
// with NewPartStore. It is safe for concurrent use.
type PartStore struct {
	mutex        sync.Mutex
	parts        map[catalog.Hash]storedPart
	active       catalog.Manifest
	fetching     catalog.Manifest
	droppedParts int
}

// NewPartStore returns a store without a version.
func NewPartStore() *PartStore { return &PartStore{parts: map[catalog.Hash]storedPart{}} }

// Publish activates the document's version if it is newer than the active one. The document must
// be valid. Parts that the store already has are not compressed again.
func (s *PartStore) Publish(document *catalog.Document) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	parts := catalog.Split(document)
	manifest := catalog.Manifest{Version: document.Version, Parts: make([]catalog.Hash, 0, len(parts))}
	for i := range parts {
		hash, content, err := parts[i].Encode()
		if err != nil {
			return err
		}
		manifest.Parts = append(manifest.Parts, hash)
		if _, found := s.parts[hash]; found {
			continue
		}
		compressed, err := catalog.Compress(hash, content)
		if err != nil {
			return err
		}
		// Without the copy, the part would keep the memory of the whole document in use as long
		// as later versions contain the part.
		s.parts[hash] = storedPart{part: parts[i].Clone(), compressed: compressed}
	}
	s.activate(manifest)
	return nil
}

// Activate activates the version being fetched, if it is the given one and complete.
func (s *PartStore) Activate(version int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.fetching.Version == version && !s.isIncomplete(s.fetching) {
		s.activate(s.fetching)
	}
}

// CancelFetch cancels fetching a version, as possibly no node has all of it any more. Its parts
// are kept until the next reply or activation shows which of them are needed.
func (s *PartStore) CancelFetch() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fetching = catalog.Manifest{}
}

// activate makes the manifest the active one unless it is older or the same. The caller holds the
// mutex.
func (s *PartStore) activate(manifest catalog.Manifest) {
	if manifest.Version <= s.active.Version {
		return
	}
	s.active = manifest
	if s.fetching.Version <= manifest.Version {
		s.fetching = catalog.Manifest{}
	}
	s.prune()
}

// prune removes the parts that are in neither manifest. The caller holds the mutex.
func (s *PartStore) prune() {
	needed := make(map[catalog.Hash]bool, len(s.active.Parts))
	for _, manifest := range []catalog.Manifest{s.active, s.fetching} {
		for _, hash := range manifest.Parts {
			needed[hash] = true
		}
	}
	for hash := range s.parts {
		if !needed[hash] {
			delete(s.parts, hash)
		}
	}
}

// isIncomplete reports whether a part of the manifest is missing. The caller holds the mutex.
func (s *PartStore) isIncomplete(manifest catalog.Manifest) bool {
	for _, hash := range manifest.Parts {
		if _, found := s.parts[hash]; !found {
			return true
		}
	}
	return false
}

// Version returns the active version; zero means none.
func (s *PartStore) Version() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.active.Version
}

// Fetching returns the version being fetched; zero means none.
func (s *PartStore) Fetching() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fetching.Version
}

// HeldParts returns the hashes of all parts in the store.
func (s *PartStore) HeldParts() []catalog.Hash {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	hashes := make([]catalog.Hash, 0, len(s.parts))
	for hash := range s.parts {
		hashes = append(hashes, hash)
	}
	return hashes
}

// Size returns the total length of all parts before compression, in bytes.
func (s *PartStore) Size() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	size := 0
	for _, stored := range s.parts {
		size += stored.compressed.Size
	}
	return size
}

// DroppedParts returns the number of received parts that were not needed or could not be decoded.
func (s *PartStore) DroppedParts() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.droppedParts
}

// Respond answers a request with parts of up to budgetBytes in total, but with at least one if
// any is missing. isComplete is true if the sender has every part of the version after this
// reply. The reply is empty, and isComplete false, if the sender's version is not older than the
// active one.
func (s *PartStore) Respond(request *Request, budgetBytes int) (reply *Reply, isComplete bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply = &Reply{}
	if s.active.Version <= request.Version {
		return reply, false
	}
	reply.Manifest = s.active
	isHeld := make(map[catalog.Hash]bool, len(request.HeldParts))
	for _, hash := range request.HeldParts {
		isHeld[hash] = true
	}
	length := 0
	for _, hash := range s.active.Parts {
		if isHeld[hash] {
			continue
		}
		content := s.parts[hash].compressed.Content
		if length > 0 && length+len(content) > budgetBytes {
			return reply, false
		}
		isHeld[hash] = true
		length += len(content)
		reply.Content = append(reply.Content, content)
	}
	return reply, true
}

// Merge stores the parts of a peer's reply. It returns the document once it is complete, else
// nil. hasProgress is true if the reply contained a missing part. The error is of kind BadFrame
// if the reply is malformed; parts before the malformed one are kept. Merge does not activate the
// document: see Activate.
func (s *PartStore) Merge(reply *Reply) (document *catalog.Document, hasProgress bool, err error) {
	if len(reply.Manifest.Parts) > maxManifestParts {
		return nil, false, errkind.New(errkind.BadFrame, "merge reply: manifest has %d parts, more than the maximum of %d", len(reply.Manifest.Parts), maxManifestParts)
	}
	received, err := decodeParts(reply.Content)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if reply.Manifest.Version <= s.active.Version {
		return nil, false, err
	}
	// A peer that is behind may supply parts of the version being fetched, but must not replace
	// it by its own, older one.
	if reply.Manifest.Version > s.fetching.Version {
		s.fetching = reply.Manifest
	}
	missing := map[catalog.Hash]bool{}
	for _, hash := range s.fetching.Parts {
		if _, found := s.parts[hash]; !found {
			missing[hash] = true
		}
	}
	for _, part := range received {
		if !missing[part.compressed.Hash] {
			s.droppedParts++
			continue
		}
		s.parts[part.compressed.Hash] = part
		hasProgress = true
	}
	s.prune()
	if err != nil {
		s.droppedParts++
		return nil, hasProgress, err
	}
	if s.isIncomplete(s.fetching) {
		return nil, hasProgress, nil
	}
	return s.assemble(s.fetching), hasProgress, nil
}

// decodeParts decodes the parts up to the first that is malformed.
func decodeParts(contents [][]byte) ([]storedPart, error) {
	var received []storedPart
	for _, content := range contents {
		compressed, part, err := catalog.Decompress(content)
		if err != nil {
			return received, err
		}
		received = append(received, storedPart{part: *part, compressed: compressed})
	}
	return received, nil
}

// assemble returns the document of a complete manifest. The caller holds the mutex.
func (s *PartStore) assemble(manifest catalog.Manifest) *catalog.Document {
	parts := make([]catalog.Part, 0, len(manifest.Parts))
	for _, hash := range manifest.Parts {
		parts = append(parts, s.parts[hash].part)
	}
	return catalog.Join(manifest.Version, parts)
}
