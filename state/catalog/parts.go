package catalog

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// A version of the configuration travels between nodes in parts that are named by
// their content, so that a node which has most of it is sent only what it lacks.
// Routes are cut where their own content says so: adding or changing routes anywhere
// in the list changes the parts around them and leaves the others as they are.

const (
	// meanRoutes is the number of routes that a part has on average. At some 200 bytes
	// a route one part is about 6 kB when compressed, which costs 5 ms of a link of 10
	// Mbit/s, and 5,600 routes make a list of 44 parts.
	meanRoutes = 128
	// mostRoutes bounds the routes of a part whose routes name no cut.
	mostRoutes = 4 * meanRoutes
	// mostTenants bounds the tenants of a part; a tenant has several keys that do not
	// compress.
	mostTenants = 128
	// MaximumPart bounds a part in bytes before compression: mostRoutes routes of 4 kB.
	MaximumPart = 2 << 20
)

// Hash names a part by its content.
type Hash uint64

// Part is a piece of a Document. The pieces of all parts in order make the document.
type Part struct {
	Routes   []Route   `msgpack:"r,omitempty"`
	Services []Service `msgpack:"s,omitempty"`
	Tenants  []Tenant  `msgpack:"t,omitempty"`
	// Limits is set in one part only.
	Limits *Limits `msgpack:"l,omitempty"`
}

// Clone returns a part that shares no list with this one.
func (p *Part) Clone() Part {
	return Part{
		Routes: slices.Clone(p.Routes), Services: slices.Clone(p.Services), Tenants: slices.Clone(p.Tenants),
		Limits: p.Limits,
	}
}

// Manifest lists the parts of one version in order.
type Manifest struct {
	Version int64  `msgpack:"v"`
	Parts   []Hash `msgpack:"p"`
}

// CompressedPart is a part as it travels: encoded and compressed. It is immutable.
type CompressedPart struct {
	Hash    Hash
	Content []byte
	// Size is the length of the content before compression, in bytes.
	Size int
}

// Split cuts the document into parts, the settings that all routes share first.
func Split(document *Document) []Part {
	limits := document.Limits
	parts := []Part{{Services: document.Services, Limits: &limits}}
	for rest := document.Tenants; len(rest) > 0; {
		count := min(mostTenants, len(rest))
		parts = append(parts, Part{Tenants: rest[:count]})
		rest = rest[count:]
	}
	begin := 0
	for i := range document.Routes {
		if i+1-begin >= mostRoutes || endsPart(&document.Routes[i]) {
			parts = append(parts, Part{Routes: document.Routes[begin : i+1]})
			begin = i + 1
		}
	}
	if begin < len(document.Routes) {
		parts = append(parts, Part{Routes: document.Routes[begin:]})
	}
	return parts
}

// endsPart returns whether a part ends with the route.
func endsPart(route *Route) bool {
	return xxhash.Sum64String(route.Host+route.PathPrefix)%meanRoutes == 0
}

// Join makes the document of the parts, which share their content with it.
func Join(version int64, parts []Part) *Document {
	document := &Document{Version: version}
	routes := 0
	for i := range parts {
		routes += len(parts[i].Routes)
	}
	document.Routes = make([]Route, 0, routes)
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

// Encode returns the part's name and its content before compression. Two nodes that
// have the same part get the same name.
func (p *Part) Encode() (Hash, []byte, error) {
	content, err := msgpack.Marshal(p)
	if err != nil {
		return 0, nil, errkind.Wrap(errkind.InvalidSettings, err)
	}
	return Hash(xxhash.Sum64(content)), content, nil
}

// Compress compresses the content of a part.
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

// Decompress checks and decodes what a peer sent. The error is of kind BadFrame for content
// that is cut short, too long or not a part.
func Decompress(compressed []byte) (*CompressedPart, *Part, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	content, err := io.ReadAll(io.LimitReader(reader, MaximumPart+1))
	if err != nil {
		return nil, nil, errkind.Wrap(errkind.BadFrame, err)
	}
	if len(content) > MaximumPart {
		return nil, nil, errkind.New(errkind.BadFrame, "a part of the configuration is longer than %d bytes", MaximumPart)
	}
	part := &Part{}
	if err := msgpack.Unmarshal(content, part); err != nil {
		return nil, nil, errkind.Wrap(errkind.BadFrame, err)
	}
	packed := &CompressedPart{Hash: Hash(xxhash.Sum64(content)), Content: compressed, Size: len(content)}
	return packed, part, nil
}
