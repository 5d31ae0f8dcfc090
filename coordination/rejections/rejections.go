// Package rejections remembers the fingerprints of recently rejected requests, so that a request that
// is sent again can be distinguished from a new one. It reads no clock.
package rejections

import (
	"time"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// A set in steady use remembers a rejection for retention at most, and for half of it at least
	// unless maxPerGeneration is exceeded before. Generations rotate only when the set is
	// used: after a long idle time the first use still finds earlier rejections.
	retention        = 12 * time.Second
	maxPerGeneration = 20000
)

// Recent is a set of recently rejected requests. It keeps two generations and drops the older one at
// each rotation. It is not safe for concurrent use.
type Recent struct {
	current, previous map[fingerprint.Fingerprint]bool
	rotatedAt         structs.Instant
}

// New returns an empty set.
func New() *Recent {
	return &Recent{current: map[fingerprint.Fingerprint]bool{}, previous: map[fingerprint.Fingerprint]bool{}}
}

// rotate starts a new generation if the current one is too old or full.
func (r *Recent) rotate(now structs.Instant) {
	if now-r.rotatedAt > retention/2 || len(r.current) > maxPerGeneration {
		r.previous, r.current, r.rotatedAt = r.current, map[fingerprint.Fingerprint]bool{}, now
	}
}

// Add records that a request with the fingerprint was rejected.
func (r *Recent) Add(now structs.Instant, request fingerprint.Fingerprint) {
	r.rotate(now)
	r.current[request] = true
}

// Has reports whether a request with the fingerprint was rejected recently.
func (r *Recent) Has(now structs.Instant, request fingerprint.Fingerprint) bool {
	r.rotate(now)
	return r.current[request] || r.previous[request]
}
