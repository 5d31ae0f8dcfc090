package dissemination

import (
	"math/rand/v2"
	"slices"
	"sync"
)

const (
	// mostHolders bounds the nodes that are remembered for a version. Who gets a version
	// late finds others that have it by their heartbeats.
	mostHolders = 64
	// namedHolders is how many of them a busy node names: one may have ended meanwhile.
	namedHolders = 3
)

// holder is a node that was sent the last part of a version.
type holder struct{ address, zone string }

// Sources remembers the nodes that have the version in force from this node, to name
// them to others while this node is busy.
type Sources struct {
	mutex   sync.Mutex
	version int64
	nodes   []holder
}

// Add records that the sender of the request was sent all of the version.
func (h *Sources) Add(version int64, request *Request) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if version > h.version {
		h.version, h.nodes = version, nil
	}
	node := holder{address: request.Address, zone: request.Zone}
	if version == h.version && len(h.nodes) < mostHolders && !slices.Contains(h.nodes, node) {
		h.nodes = append(h.nodes, node)
	}
}

// Suggest returns addresses of some nodes that have a version newer than the sender's,
// those of its own zone first.
func (h *Sources) Suggest(request *Request) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.version <= request.Version {
		return nil
	}
	var near, far []string
	for _, i := range rand.Perm(len(h.nodes)) {
		node := h.nodes[i]
		switch {
		case node.address == request.Address:
		case node.zone == request.Zone:
			near = append(near, node.address)
		default:
			far = append(far, node.address)
		}
	}
	named := append(near, far...)
	return named[:min(namedHolders, len(named))]
}
