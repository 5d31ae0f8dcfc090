// Package rejections remembers which requests were refused lately, by their content: one that comes
// back is told apart from one that comes for the first time. It reads no clock.
package rejections

import (
	"time"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/structs"
)

// Bounds of what is remembered of refused requests.
const (
	refusalMemory   = 12 * time.Second
	maximumRefusals = 20000
)

// Recent holds the refused requests in two generations. It is not safe for concurrent use.
type Recent struct {
	young, old map[fingerprint.Fingerprint]bool
	turned     structs.Instant
}

// New returns an empty memory.
func New() *Recent {
	return &Recent{young: map[fingerprint.Fingerprint]bool{}, old: map[fingerprint.Fingerprint]bool{}}
}

func (r *Recent) turn(now structs.Instant) {
	if now-r.turned > refusalMemory/2 || len(r.young) > maximumRefusals {
		r.old, r.young, r.turned = r.young, map[fingerprint.Fingerprint]bool{}, now
	}
}

// Add remembers that the request was refused.
func (r *Recent) Add(now structs.Instant, content fingerprint.Fingerprint) {
	r.turn(now)
	r.young[content] = true
}

// Has returns whether the request was refused lately.
func (r *Recent) Has(now structs.Instant, content fingerprint.Fingerprint) bool {
	r.turn(now)
	return r.young[content] || r.old[content]
}
