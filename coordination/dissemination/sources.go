package dissemination

import (
	"math/rand/v2"
	"slices"
	"sync"
)

const (
	// maxSources bounds the nodes remembered for a version. Requesters also find sources by their
	// heartbeats.
	maxSources = 64
	// maxSuggestions is greater than one because a suggested node may have failed meanwhile.
	maxSuggestions = 3
)

// source is a node that has all parts of a version.
type source struct{ address, zone string }

// Sources remembers the nodes that got the newest version from this node, to suggest them to
// others while this node is busy. The zero value is ready to use. It is safe for concurrent use.
type Sources struct {
	mutex   sync.Mutex
	version int64
	sources []source
}

// Add records that the sender of the request has all parts of the version.
func (s *Sources) Add(version int64, request *Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if version > s.version {
		s.version, s.sources = version, nil
	}
	node := source{address: request.Address, zone: request.Zone}
	if version == s.version && len(s.sources) < maxSources && !slices.Contains(s.sources, node) {
		s.sources = append(s.sources, node)
	}
}

// Suggest returns addresses of up to maxSuggestions random nodes with a version newer than the
// sender's, those of its own zone first. The sender itself is left out.
func (s *Sources) Suggest(request *Request) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.version <= request.Version {
		return nil
	}
	var sameZone, otherZones []string
	for _, i := range rand.Perm(len(s.sources)) {
		node := s.sources[i]
		switch {
		case node.address == request.Address:
		case node.zone == request.Zone:
			sameZone = append(sameZone, node.address)
		default:
			otherZones = append(otherZones, node.address)
		}
	}
	addresses := append(sameZone, otherZones...)
	return addresses[:min(maxSuggestions, len(addresses))]
}
