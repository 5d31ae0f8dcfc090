// Package workload describes the deployments of two users and generates their traffic
// from a seed, with log-normal lengths, conversations whose turns share a prefix, a few
// large tenants and bursts. It does not send requests.
package workload

import (
	"fmt"
	"time"

	"github.com/thornwalk/thornwalk/lab/enginesim"
	"github.com/thornwalk/thornwalk/structs"
)

// Kind is a kind of request with its deadline.
type Kind struct {
	Name string
	Tier string
	Rank structs.Rank
	// Share is the share of sessions that are of this kind.
	Share float64
	// Deadline is the agreed maximum time until the answer is complete.
	Deadline time.Duration
	// SharedTokens is the length of the prefix that all prompts of the kind share.
	SharedTokens int
	// Prompt and Output are the medians of the log-normal lengths of prompts and
	// answers, in tokens. PromptSpread and OutputSpread are the standard deviations of
	// the logarithms.
	Prompt, Output             int
	PromptSpread, OutputSpread float64
	// Turns is the mean number of turns of a conversation.
	Turns      float64
	Repeatable bool
}

// Deployment is a user's deployment of thornwalk.
type Deployment struct {
	Name         string
	Service      string
	PlainService string
	Model        string
	Zones        []string
	NodesPerZone []int
	// Engines has the specs of the engine replicas of each zone.
	Engines [][]enginesim.Spec
	// BetweenZones and ToClients are one-way delays.
	BetweenZones, ToClients time.Duration
	// WithinZone is the one-way delay within a zone.
	WithinZone time.Duration
	Kinds      []Kind
	// TenantShares are the shares of the sessions that belong to each tenant.
	TenantShares []float64
	// BurstKind is the index of the kind whose sessions arrive BurstFactor times as
	// often during the middle sixth of a run.
	BurstKind   int
	BurstFactor float64
}

// newSpec returns the spec of a replica with the given number of accelerators. The
// factor multiplies the time per sequence and token; it is 1 for the newest generation.
func newSpec(generation string, accelerators int, base time.Duration, factor float64) enginesim.Spec {
	perAccelerator := func(single time.Duration) time.Duration {
		return time.Duration(float64(single) * factor / float64(accelerators))
	}
	return enginesim.Spec{
		Generation: generation, Accelerators: accelerators,
		Slots: 8 * accelerators, BaseStep: base,
		PerSequence: perAccelerator(350 * time.Microsecond), PerPrefillToken: perAccelerator(120 * time.Microsecond),
		ChunkTokens: 128 * accelerators, CacheBlocks: 800 * accelerators, KVTokens: 40000 * accelerators,
	}
}

// zoneSpecs returns one replica for each number of accelerators, of the generations in
// turn from the newest to the oldest. fastestStep is the base step time of the newest
// generation.
func zoneSpecs(fastestStep time.Duration, accelerators ...int) []enginesim.Spec {
	factors := []float64{1, 1.4, 1.9}
	specs := make([]enginesim.Spec, len(accelerators))
	for i, count := range accelerators {
		factor := factors[i%len(factors)]
		base := time.Duration(float64(fastestStep) * factor)
		specs[i] = newSpec(fmt.Sprintf("g%d", len(factors)-i%len(factors)), count, base, factor)
	}
	return specs
}

// Agency returns the deployment of a municipal office with 3 zones, 8 nodes and 9
// replicas on 32 accelerators.
func Agency() Deployment {
	return Deployment{
		Name: "agency", Service: "ezik-servers", PlainService: "registar-app", Model: "ezik",
		Zones:        []string{"trakiya", "kapana", "maritsa"},
		NodesPerZone: []int{3, 3, 2},
		Engines: [][]enginesim.Spec{
			zoneSpecs(6*time.Millisecond, 4, 4, 3),
			zoneSpecs(6*time.Millisecond, 4, 4, 3),
			zoneSpecs(6*time.Millisecond, 4, 3, 3),
		},
		BetweenZones: 500 * time.Microsecond, ToClients: time.Millisecond, WithinZone: 200 * time.Microsecond,
		Kinds: []Kind{
			{Name: "ruling", Tier: "rulings", Rank: 0, Share: 0.20, Deadline: 6 * time.Second, SharedTokens: 320, Prompt: 300, PromptSpread: 0.7, Output: 80, OutputSpread: 0.5, Turns: 2, Repeatable: true},
			{Name: "appeal", Tier: "appeals", Rank: 1, Share: 0.12, Deadline: 17 * time.Second, SharedTokens: 512, Prompt: 1800, PromptSpread: 0.9, Output: 250, OutputSpread: 0.5, Turns: 3, Repeatable: false},
			{Name: "summary", Tier: "summaries", Rank: 2, Share: 0.18, Deadline: 20 * time.Second, SharedTokens: 512, Prompt: 900, PromptSpread: 0.7, Output: 300, OutputSpread: 0.5, Turns: 3, Repeatable: true},
			{Name: "status", Tier: "status", Rank: 3, Share: 0.50, Deadline: 3500 * time.Millisecond, SharedTokens: 256, Prompt: 50, PromptSpread: 0.4, Output: 40, OutputSpread: 0.4, Turns: 1.3, Repeatable: true},
		},
		TenantShares: []float64{0.45, 0.3, 0.15, 0.06, 0.04},
		BurstKind:    0, BurstFactor: 2,
	}
}

// Coop returns the deployment of a heating co-op with 3 zones, 8 nodes and 12 replicas
// on 38 accelerators.
func Coop() Deployment {
	return Deployment{
		Name: "coop", Service: "thornwalk-llm", PlainService: "member-portal", Model: "oberland",
		Zones:        []string{"rosenheim", "miesbach", "weilheim"},
		NodesPerZone: []int{3, 3, 2},
		Engines: [][]enginesim.Spec{
			zoneSpecs(5*time.Millisecond, 4, 3, 3, 3),
			zoneSpecs(5*time.Millisecond, 4, 3, 3, 3),
			zoneSpecs(5*time.Millisecond, 3, 3, 3, 3),
		},
		BetweenZones: 1500 * time.Microsecond, ToClients: 3 * time.Millisecond, WithinZone: 200 * time.Microsecond,
		Kinds: []Kind{
			{Name: "fault", Tier: "faults", Rank: 0, Share: 0.12, Deadline: 11 * time.Second, SharedTokens: 384, Prompt: 900, PromptSpread: 0.9, Output: 150, OutputSpread: 0.4, Turns: 3, Repeatable: true},
			{Name: "setpoint", Tier: "setpoints", Rank: 1, Share: 0.13, Deadline: 8 * time.Second, SharedTokens: 384, Prompt: 250, PromptSpread: 0.6, Output: 100, OutputSpread: 0.4, Turns: 2, Repeatable: false},
			{Name: "commissioning", Tier: "logs", Rank: 2, Share: 0.15, Deadline: 15 * time.Second, SharedTokens: 256, Prompt: 3000, PromptSpread: 0.8, Output: 150, OutputSpread: 0.5, Turns: 3, Repeatable: true},
			{Name: "status", Tier: "status", Rank: 3, Share: 0.60, Deadline: 3500 * time.Millisecond, SharedTokens: 256, Prompt: 50, PromptSpread: 0.4, Output: 40, OutputSpread: 0.4, Turns: 1.3, Repeatable: true},
		},
		TenantShares: []float64{0.4, 0.3, 0.2, 0.06, 0.04},
		BurstKind:    0, BurstFactor: 2,
	}
}

// ByName returns the deployment with the name. It returns false if there is none.
func ByName(name string) (Deployment, bool) {
	switch name {
	case "agency":
		return Agency(), true
	case "coop":
		return Coop(), true
	}
	return Deployment{}, false
}

// Nodes returns the number of entry nodes.
func (d *Deployment) Nodes() int {
	total := 0
	for _, count := range d.NodesPerZone {
		total += count
	}
	return total
}

// LowestRank returns the rank of the lowest tier.
func (d *Deployment) LowestRank() structs.Rank {
	lowest := structs.Rank(0)
	for _, kind := range d.Kinds {
		lowest = max(lowest, kind.Rank)
	}
	return lowest
}
