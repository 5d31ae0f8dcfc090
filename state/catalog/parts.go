package catalog

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/msgpackcheck"
)

// Nodes exchange a configuration in parts that are identified by the hash of their
// content, so that a node fetches only the parts it lacks. The boundaries between
// parts of routes are content-defined: a change of a route affects only the parts
// next to it.

const (
	// meanPartRoutes is the mean number of routes between two content-defined
	// boundaries. Smaller parts lengthen the manifest, larger ones waste bandwidth. At some 200 bytes a route
	// a compressed part has about 6 kB, 5 ms of a link of 10 Mbit/s, and 5,600 routes make 44 parts.
	meanPartRoutes = 128
	// maxPartRoutes bounds the routes of a part without a content-defined boundary.
	maxPartRoutes = 4 * meanPartRoutes
	// maxPartTenants bounds the tenants of a part.
	maxPartTenants = 128
	// MaxPartBytes bounds the encoded size of a part before compression. It leaves
	// 4 KiB for each of maxPartRoutes routes.
	MaxPartBytes = 2 << 20
)

// Hash identifies a part by its content.
type Hash uint64

// Part is a fragment of a Document. Join restores the document from all parts in order.
type Part struct {
	Routes   []Route   `msgpack:"r,omitempty"`
	Services []Service `msgpack:"s,omitempty"`
	Tenants  []Tenant  `msgpack:"t,omitempty"`
	// Limits is set in exactly one part of a document.
	Limits *Limits `msgpack:"l,omitempty"`
}

// Clone returns a copy with slices of its own. Their elements and Limits are shared.
func (p *Part) Clone() Part {
	return Part{
		Routes: slices.Clone(p.Routes), Services: slices.Clone(p.Services), Tenants: slices.Clone(p.Tenants),
		Limits: p.Limits,
	}
}

// Manifest lists the hashes of a version's parts in order.
type Manifest struct {
	Version int64  `msgpack:"v"`
	Parts   []Hash `msgpack:"p"`
}

// CompressedPart is an encoded and compressed part, as sent to peers. It is immutable.
type CompressedPart struct {
	Hash Hash
	// Content is compressed.
	Content []byte
	// Size is the length of the content before compression, in bytes.
	Size int
}

// Split splits the document into parts: services and limits, then tenants, then
// routes. The parts share memory with the document.
func Split(document *Document) []Part {
	limits := document.Limits
	parts := []Part{{Services: document.Services, Limits: &limits}}
	for remaining := document.Tenants; len(remaining) > 0; {
		count := min(maxPartTenants, len(remaining))
		parts = append(parts, Part{Tenants: remaining[:count]})
		remaining = remaining[count:]
	}
	start := 0
	for i := range document.Routes {
		if i+1-start >= maxPartRoutes || isPartBoundary(&document.Routes[i]) {
			parts = append(parts, Part{Routes: document.Routes[start : i+1]})
			start = i + 1
		}
	}
	if start < len(document.Routes) {
		parts = append(parts, Part{Routes: document.Routes[start:]})
	}
	return parts
}

// isPartBoundary reports whether the route ends a part. It depends on the route's
// host and prefix only, so that nodes agree and other changes keep the boundaries.
func isPartBoundary(route *Route) bool {
	return xxhash.Sum64String(route.Host+route.PathPrefix)%meanPartRoutes == 0
}

// Join returns the document that consists of the parts. It shares memory with them.
func Join(version int64, parts []Part) *Document {
	document := &Document{Version: version}
	routeCount := 0
	for i := range parts {
		routeCount += len(parts[i].Routes)
	}
	document.Routes = make([]Route, 0, routeCount)
	for i := range parts {
		part := &parts[i]
		document.Routes = append(document.Routes, part.Routes...)
		document.Services = append(document.Services, part.Services...)
		document.Tenants = append(document.Tenants, part.Tenants...)
		if part.Limits != nil {
			document.Limits = *part.Limits
		}
	}
	return document
}

// Encode returns the encoded part, uncompressed, and its hash. Equal parts have equal
// hashes on all nodes.
func (p *Part) Encode() (Hash, []byte, error) {
	content, err := msgpack.Marshal(p)
	if err != nil {
		return 0, nil, errkind.Wrap(errkind.InvalidSettings, err)
	}
	return Hash(xxhash.Sum64(content)), content, nil
}

// Compress compresses the content that Part.Encode returned with the hash.
func Compress(hash Hash, content []byte) (*CompressedPart, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err)
	}
	if _, err := writer.Write(content); err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err)
	}
	if err := writer.Close(); err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err)
	}
	return &CompressedPart{Hash: hash, Content: bytes.Clone(buffer.Bytes()), Size: len(content)}, nil
}

// Decompress decompresses and decodes a part received from a peer. The compressed
// bytes are retained. Content that is truncated, longer than MaxPartBytes or not an
// encoded part gives an error of kind BadFrame.
func Decompress(compressed []byte) (*CompressedPart, *Part, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	content, err := io.ReadAll(io.LimitReader(reader, MaxPartBytes+1))
	if err != nil {
		return nil, nil, errkind.Wrap(errkind.BadFrame, err)
	}
	if len(content) > MaxPartBytes {
		return nil, nil, errkind.New(errkind.BadFrame, "decompress configuration part: content exceeds the maximum of %d bytes", MaxPartBytes)
	}
	part := &Part{}
	if err := msgpackcheck.Unmarshal(content, part); err != nil {
		return nil, nil, errkind.Wrap(errkind.BadFrame, err)
	}
	compressedPart := &CompressedPart{Hash: Hash(xxhash.Sum64(content)), Content: compressed, Size: len(content)}
	return compressedPart, part, nil
}
