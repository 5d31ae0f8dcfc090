// Package rendezvous implements rendezvous hashing (highest random weight): all nodes
// with the same member list make the same choice, and the loss of a member affects
// only the keys that were assigned to it.
package rendezvous

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of the member for the key. The member with the highest
// weight is chosen.
func Weight(member string, key uint64) uint64 {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], key)
	return mix(xxhash.Sum64String(member) ^ xxhash.Sum64(buffer[:]))
}

// WeightOfHash returns the weight of a member given by the Hash of its name. It differs
// from that of Weight.
func WeightOfHash(member, key uint64) uint64 { return mix(member ^ mix(key)) }

// mix is the 64-bit finalizer of MurmurHash3.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// Hash returns the hash of text, to pass as a key or as the member of WeightOfHash.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// Top returns up to count members with the highest weights for the key, in descending
// order.
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
		chosen, weights = insertAt(chosen, weights, position, member, weight, count)
	}
	return chosen
}

// insertAt inserts member and weight at position and drops elements beyond count.
func insertAt(chosen []string, weights []uint64, position int, member string, weight uint64, count int) ([]string, []uint64) {
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
