package emulator

import (
	"github.com/thornwalk/thornwalk/structs"
)

// oraclePrefixes looks prefixes up in the engines' caches, without delay or loss.
type oraclePrefixes struct {
	simulation *simulation
	zone       int
}

func (o oraclePrefixes) CachedTokens(id structs.ReplicaID, chain []uint64) int {
	engine := o.simulation.byID[id].engine
	for i, block := range chain {
		if !engine.IsCached(block) {
			return i * structs.BlockTokens
		}
	}
	return len(chain) * structs.BlockTokens
}

func (o oraclePrefixes) Holders(chain []uint64) []structs.ReplicaID {
	var holders []structs.ReplicaID
	maxCached := 0
	for _, r := range o.simulation.zones[o.zone] {
		cached := o.CachedTokens(r.ID, chain)
		if cached > maxCached {
			holders, maxCached = holders[:0], cached
		}
		if cached == maxCached && cached > 0 {
			holders = append(holders, r.ID)
		}
	}
	return holders
}

func (oraclePrefixes) RecordSent(structs.ReplicaID, []uint64)                {}
func (oraclePrefixes) ApplyCacheEvent(structs.ReplicaID, structs.CacheEvent) {}

// oracleLengths has the actual answer length of each request, by request id.
type oracleLengths struct {
	byRequest map[string]int
}

func (o oracleLengths) Percentile(request *structs.Request, _ float64) int {
	return o.byRequest[request.ID]
}

func (oracleLengths) Observe(*structs.Request, int) {}
