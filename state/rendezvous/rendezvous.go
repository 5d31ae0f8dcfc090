// Package rendezvous chooses members by highest random weight, so that every
// node with the same member list makes the same choice, and the loss of one
// member moves only what that member held.
package rendezvous

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of the member for the key.
func Weight(member string, key uint64) uint64 {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], key)
	return mix(xxhash.Sum64String(member) ^ xxhash.Sum64(buffer[:]))
}

// WeightHashed is Weight for a member whose hash is known.
func WeightHashed(member, key uint64) uint64 { return mix(member ^ mix(key)) }

// mix is the finaliser of MurmurHash3, which spreads every bit.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// Key returns the key of a text.
func Key(text string) uint64 { return xxhash.Sum64String(text) }

// Top returns up to count members, heaviest first.
func Top(members []string, key uint64, count int) []string {
	if count > len(members) {
		count = len(members)
	}
	chosen := make([]string, 0, count)
	weights := make([]uint64, 0, count)
	for _, member := range members {
		weight := Weight(member, key)
		position := len(chosen)
		for position > 0 && weights[position-1] < weight {
			position--
		}
		if position >= count {
			continue
		}
		chosen, weights = insert(chosen, weights, position, member, weight, count)
	}
	return chosen
}

func insert(chosen []string, weights []uint64, position int, member string, weight uint64, count int) ([]string, []uint64) {
	if len(chosen) < count {
		chosen = append(chosen, "")
		weights = append(weights, 0)
	}
	copy(chosen[position+1:], chosen[position:])
	copy(weights[position+1:], weights[position:])
	chosen[position] = member
	weights[position] = weight
	return chosen, weights
}
