// Package prefix keeps a bounded view of which replica is thought to hold
// which prompt prefix. It learns from what was sent, from cache events (late
// and with gaps) and from the cached-token counts in answers. The view may be
// wrong in both directions; it steers scores and never correctness.
package prefix

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thornwalk/thornwalk/structs"
)

// maximumHolders bounds the replicas remembered for one block. A block held by
// more is so common that any of them will do.
const maximumHolders = 6

// Index is what the routing pipeline asks of a view of the prefix caches.
type Index interface {
	// CachedTokens returns the prompt tokens that the replica is thought to hold.
	CachedTokens(replica structs.ReplicaID, chain []uint64) int
	// Holders returns replicas thought to hold the longest known part.
	Holders(chain []uint64) []structs.ReplicaID
	// Sent records that the replica was sent a prompt with the chain.
	Sent(replica structs.ReplicaID, chain []uint64)
	// Event applies a cache event of the replica.
	Event(replica structs.ReplicaID, event structs.CacheEvent)
}

// LRUIndex maps prefix blocks to the replicas thought to hold them.
type LRUIndex struct {
	blocks *simplelru.LRU[uint64, []structs.ReplicaID]
}

// NewLRUIndex returns a view of at most capacity blocks.
func NewLRUIndex(capacity int) *LRUIndex {
	blocks, err := simplelru.NewLRU[uint64, []structs.ReplicaID](max(capacity, 1), nil)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &LRUIndex{blocks: blocks}
}

// Len returns the number of blocks in the view.
func (v *LRUIndex) Len() int { return v.blocks.Len() }

// Sent records that the replica was sent a prompt with the chain.
func (v *LRUIndex) Sent(replica structs.ReplicaID, chain []uint64) {
	for _, block := range chain {
		v.add(replica, block)
	}
}

// Event applies a cache event of the replica.
func (v *LRUIndex) Event(replica structs.ReplicaID, event structs.CacheEvent) {
	if event.Stored {
		v.add(replica, event.Block)
		return
	}
	v.remove(replica, event.Block)
}

// Forget drops everything known of the replica, such as after it restarted.
func (v *LRUIndex) Forget(replica structs.ReplicaID) {
	for _, block := range v.blocks.Keys() {
		v.remove(replica, block)
	}
}

func (v *LRUIndex) add(replica structs.ReplicaID, block uint64) {
	holders, _ := v.blocks.Get(block)
	if slices.Contains(holders, replica) {
		return
	}
	if len(holders) >= maximumHolders {
		holders = holders[1:]
	}
	grown := make([]structs.ReplicaID, 0, len(holders)+1)
	grown = append(grown, holders...)
	v.blocks.Add(block, append(grown, replica))
}

func (v *LRUIndex) remove(replica structs.ReplicaID, block uint64) {
	holders, found := v.blocks.Peek(block)
	if !found || !slices.Contains(holders, replica) {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(holders), func(holder structs.ReplicaID) bool { return holder == replica })
	if len(kept) == 0 {
		v.blocks.Remove(block)
		return
	}
	v.blocks.Add(block, kept)
}

// CachedTokens returns the prompt tokens that the replica is thought to hold.
// It looks from the end of the chain: of what other nodes sent only the last
// block is known, and a block that is held stands for all before it.
func (v *LRUIndex) CachedTokens(replica structs.ReplicaID, chain []uint64) int {
	for index := len(chain) - 1; index >= 0; index-- {
		holders, known := v.blocks.Peek(chain[index])
		if known && slices.Contains(holders, replica) {
			return (index + 1) * structs.BlockTokens
		}
	}
	return 0
}

// Holders returns the replicas thought to hold the longest known part of the
// chain. The result must not be changed.
func (v *LRUIndex) Holders(chain []uint64) []structs.ReplicaID {
	for index := len(chain) - 1; index >= 0; index-- {
		if holders, known := v.blocks.Peek(chain[index]); known {
			return holders
		}
	}
	return nil
}

// bytesPerToken approximates the length of a token of ordinary text.
const bytesPerToken = 4

// Tokens approximates the number of tokens of a text of the given length.
func Tokens(length int) int { return (length + bytesPerToken - 1) / bytesPerToken }

// Chain returns the hash chain of the whole blocks of a prompt's text. Two
// prompts share the first n elements if they share the first n blocks. The
// salt keeps models and adapters apart.
func Chain(salt, prompt string) []uint64 {
	const blockBytes = structs.BlockTokens * bytesPerToken
	digest := xxhash.New()
	_, _ = digest.WriteString(salt) // Digest never fails
	chain := make([]uint64, 0, len(prompt)/blockBytes)
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		_, _ = digest.WriteString(prompt[start : start+blockBytes])
		chain = append(chain, digest.Sum64())
	}
	return chain
}
