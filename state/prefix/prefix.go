// Package prefix keeps a bounded index of the prompt prefixes that replicas have
// probably cached. It is fed with the prompts sent to replicas and with their cache
// events, which may be late or lost. The index may be wrong in both directions, so
// it may affect scores only, never correctness.
package prefix

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thornwalk/thornwalk/structs"
)

// maxHoldersPerBlock bounds the replicas indexed for one block. Routing does not
// need all holders of a common block.
const maxHoldersPerBlock = 6

// Index is the view of the replicas' prefix caches that the routing pipeline uses. A
// chain is the result of Chain.
type Index interface {
	// CachedTokens estimates the number of the prompt's tokens in the replica's cache.
	CachedTokens(replica structs.ReplicaID, chain []uint64) int
	// Holders returns replicas that probably hold the longest indexed prefix.
	Holders(chain []uint64) []structs.ReplicaID
	// RecordSent records that a prompt with the chain was sent to the replica.
	RecordSent(replica structs.ReplicaID, chain []uint64)
	// ApplyCacheEvent applies a cache event of the replica.
	ApplyCacheEvent(replica structs.ReplicaID, event structs.CacheEvent)
}

// LRUIndex is an Index that evicts the least recently used blocks. It is not safe for
// concurrent use.
type LRUIndex struct {
	blocks *simplelru.LRU[uint64, []structs.ReplicaID]
}

// NewLRUIndex returns an index of at most maxBlocks blocks.
func NewLRUIndex(maxBlocks int) *LRUIndex {
	blocks, err := simplelru.NewLRU[uint64, []structs.ReplicaID](max(maxBlocks, 1), nil)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &LRUIndex{blocks: blocks}
}

// Len returns the number of indexed blocks.
func (l *LRUIndex) Len() int { return l.blocks.Len() }

// RecordSent records that a prompt with the chain was sent to the replica.
func (l *LRUIndex) RecordSent(replica structs.ReplicaID, chain []uint64) {
	for _, block := range chain {
		l.add(replica, block)
	}
}

// ApplyCacheEvent applies a cache event of the replica.
func (l *LRUIndex) ApplyCacheEvent(replica structs.ReplicaID, event structs.CacheEvent) {
	if event.Stored {
		l.add(replica, event.BlockHash)
		return
	}
	l.remove(replica, event.BlockHash)
}

// RemoveReplica removes the replica from all blocks, for instance after a restart.
func (l *LRUIndex) RemoveReplica(replica structs.ReplicaID) {
	for _, block := range l.blocks.Keys() {
		l.remove(replica, block)
	}
}

func (l *LRUIndex) add(replica structs.ReplicaID, block uint64) {
	holders, _ := l.blocks.Get(block)
	if slices.Contains(holders, replica) {
		return
	}
	if len(holders) >= maxHoldersPerBlock {
		holders = holders[1:]
	}
	updated := make([]structs.ReplicaID, 0, len(holders)+1)
	updated = append(updated, holders...)
	l.blocks.Add(block, append(updated, replica))
}

func (l *LRUIndex) remove(replica structs.ReplicaID, block uint64) {
	holders, found := l.blocks.Peek(block)
	if !found || !slices.Contains(holders, replica) {
		return
	}
	remaining := slices.DeleteFunc(slices.Clone(holders), func(holder structs.ReplicaID) bool { return holder == replica })
	if len(remaining) == 0 {
		l.blocks.Remove(block)
		return
	}
	l.blocks.Add(block, remaining)
}

// CachedTokens estimates the number of the prompt's tokens in the replica's cache. It
// searches from the end of the chain, since a cached block implies all blocks before
// it, and other nodes report only the last block that they sent.
func (l *LRUIndex) CachedTokens(replica structs.ReplicaID, chain []uint64) int {
	for index := len(chain) - 1; index >= 0; index-- {
		holders, known := l.blocks.Peek(chain[index])
		if known && slices.Contains(holders, replica) {
			return (index + 1) * structs.BlockTokens
		}
	}
	return 0
}

// Holders returns the replicas that probably hold the longest indexed prefix of the
// chain. The caller must not modify the result.
func (l *LRUIndex) Holders(chain []uint64) []structs.ReplicaID {
	for index := len(chain) - 1; index >= 0; index-- {
		if holders, known := l.blocks.Peek(chain[index]); known {
			return holders
		}
	}
	return nil
}

// bytesPerToken approximates the length of a token.
const bytesPerToken = 4

// Tokens approximates the number of tokens of a text from its length in bytes.
func Tokens(length int) int { return (length + bytesPerToken - 1) / bytesPerToken }

// Chain returns the hash chain of a prompt's complete blocks: element n identifies
// the salt and blocks 0 to n. The salt separates the caches of models and adapters.
func Chain(salt, prompt string) []uint64 {
	const blockBytes = structs.BlockTokens * bytesPerToken
	digest := xxhash.New()
	_, _ = digest.WriteString(salt) // xxhash.Digest returns no errors
	chain := make([]uint64, 0, len(prompt)/blockBytes)
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		_, _ = digest.WriteString(prompt[start : start+blockBytes])
		chain = append(chain, digest.Sum64())
	}
	return chain
}
