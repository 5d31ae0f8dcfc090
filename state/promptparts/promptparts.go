// Package promptparts reads the parts of which a prompt consists, as callers state them.
package promptparts

import (
	"slices"
	"strings"

	"github.com/thornwalk/thornwalk/state/fingerprint"
)

const (
	// MaxParts bounds the shared parts of one prompt that are considered, the first ones.
	MaxParts = 16
	// maxIDBytes bounds the ID of a part; a longer one makes the list malformed.
	maxIDBytes = 64
)

// Shared returns the IDs of the parts that requests may share, in order and each once. The list has the form
// ID:TOKENS,ID:TOKENS,...; its last part belongs to the request itself. A malformed list has no parts.
func Shared(list string) []string {
	if strings.TrimSpace(list) == "" {
		return nil
	}
	fields := strings.Split(list, ",")
	var ids []string
	for i, field := range fields {
		id, _, found := strings.Cut(strings.TrimSpace(field), ":")
		if !found || id == "" || len(id) > maxIDBytes {
			return nil
		}
		if i < len(fields)-1 && len(ids) < MaxParts && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Key returns the key under which a part of one caller's prompts for a service is tracked. It differs from the
// fingerprints of requests, and between callers, so that one caller's requests do not affect those of another.
func Key(caller, service, id string) fingerprint.Fingerprint {
	return fingerprint.Of(caller, "prompt part", service, id, nil)
}
