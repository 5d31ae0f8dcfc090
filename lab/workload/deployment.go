// Package workload describes the two users' deployments at today's sizes and
// generates their traffic from a seed: unlike lengths, conversations whose
// turns share a prefix, few large tenants and bursts.
package workload

import (
	"fmt"
	"time"

	"github.com/thornwalk/thornwalk/lab/enginesim"
	"github.com/thornwalk/thornwalk/structs"
)

// Kind is one kind of request with its agreed waiting time.
type Kind struct {
	Name string
	Tier string
	Rank structs.Rank
	// Share is the part of all sessions that are of this kind.
	Share float64
	// Deadline is the agreed waiting time to the whole answer. The users do not
	// give it; it is taken as twice the time of a median answer at the target's
	// pace, 0.46 s to the first token and 32 ms for each, with a margin for the
	// long prompts of commissioning logs.
	Deadline time.Duration
	// SharedTokens is the prompt that all requests of the kind begin with.
	SharedTokens int
	// Prompt and Output are medians of log-normal lengths, in tokens, with
	// the standard deviations of their logarithms.
	Prompt, Output             int
	PromptSpread, OutputSpread float64
	// Turns is the mean number of turns of a conversation.
	Turns      float64
	Repeatable bool
}

// Deployment is a user's system at one size.
type Deployment struct {
	Name         string
	Service      string
	PlainService string
	Model        string
	Zones        []string
	NodesPerZone []int
	// Engines lists the specs of the replicas of each zone.
	Engines [][]enginesim.Spec
	// BetweenZones and ToClients are one-way delays.
	BetweenZones, ToClients time.Duration
	// WithinZone is the assumed one-way delay inside a zone.
	WithinZone time.Duration
	Kinds      []Kind
	// TenantShares are the parts of the traffic of the tenants.
	TenantShares []float64
	// BurstKind is the kind whose sessions arrive BurstFactor times as often
	// in the middle sixth of a run.
	BurstKind   int
	BurstFactor float64
}

// Engine generations: the newest is about twice as fast as the oldest.
func newSpec(generation string, accelerators int, base time.Duration, factor float64) enginesim.Spec {
	perAccelerator := func(one time.Duration) time.Duration {
		return time.Duration(float64(one) * factor / float64(accelerators))
	}
	return enginesim.Spec{
		Generation: generation, Accelerators: accelerators,
		Slots: 8 * accelerators, BaseStep: base,
		PerSequence: perAccelerator(350 * time.Microsecond), PerPrefillToken: perAccelerator(120 * time.Microsecond),
		ChunkTokens: 128 * accelerators, CacheBlocks: 800 * accelerators, KVTokens: 40000 * accelerators,
	}
}

// zoneSpecs returns one replica of each generation.
func zoneSpecs(fastest time.Duration, accelerators ...int) []enginesim.Spec {
	factors := []float64{1, 1.4, 1.9}
	specs := make([]enginesim.Spec, len(accelerators))
	for i, count := range accelerators {
		factor := factors[i%len(factors)]
		base := time.Duration(float64(fastest) * factor)
		specs[i] = newSpec(fmt.Sprintf("g%d", len(factors)-i%len(factors)), count, base, factor)
	}
	return specs
}

// Agency is the municipal office: 3 zones, 8 nodes, 9 replicas on 32 engines.
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

// Coop is the heating co-op: 3 zones, 8 nodes, 12 replicas on 38 engines.
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

// ByName returns the deployment with the name.
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
