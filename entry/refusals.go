package entry

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

// refusals remembers which requests were refused lately, in two generations.
type refusals struct {
	young, old map[fingerprint.Fingerprint]bool
	turned     structs.Instant
}

func newRefusals() *refusals {
	return &refusals{young: map[fingerprint.Fingerprint]bool{}, old: map[fingerprint.Fingerprint]bool{}}
}

func (r *refusals) turn(now structs.Instant) {
	if now-r.turned > refusalMemory/2 || len(r.young) > maximumRefusals {
		r.old, r.young, r.turned = r.young, map[fingerprint.Fingerprint]bool{}, now
	}
}

func (r *refusals) add(now structs.Instant, content fingerprint.Fingerprint) {
	r.turn(now)
	r.young[content] = true
}

func (r *refusals) has(now structs.Instant, content fingerprint.Fingerprint) bool {
	r.turn(now)
	return r.young[content] || r.old[content]
}
