package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/lab/enginesim"
	"github.com/thornwalk/thornwalk/structs"
)

// Arrival is a request of a generated workload. Kind, Zone, Node and Tenant are indices
// into the deployment; Node is the index within the zone.
type Arrival struct {
	// At is the time since the start of the run.
	At           time.Duration
	ID           string
	Kind         int
	Zone         int
	Node         int
	Tenant       int
	PromptTokens int
	OutputTokens int
	Chain        []uint64
	// Session identifies the conversation. Turn is the number of the turn in it, from
	// zero.
	Session, Turn int
}

// meanThinkTime is the mean time between half the deadline of a turn and the next turn
// of the conversation.
const meanThinkTime = 4 * time.Second

// Maximum lengths as multiples of the medians. MaxOutputFactor also gives the max_tokens
// of a route.
const (
	maxPromptFactor = 12
	MaxOutputFactor = 2
)

// maxPromptTokens is the maximum length of a prompt, given by the context of the
// engines.
const maxPromptTokens = 16000

// burstShare is the share of the run, in its middle, that the burst takes.
const burstShare = 1.0 / 6

// generator generates the arrivals of one run.
type generator struct {
	deployment *Deployment
	random     *rand.Rand
	duration   time.Duration
	arrivals   []Arrival
	sessions   int
}

// Generate returns the arrivals of a run in the order of their times. Load 1 is the
// rate at which the mean work of all requests, with each shared prefix computed once,
// equals the capacity of the engines with full batches. The same arguments give the
// same arrivals.
func Generate(deployment *Deployment, load float64, duration time.Duration, seed uint64) []Arrival {
	rate := load * Capacity(deployment) / meanSessionWork(deployment)
	g := &generator{deployment: deployment, random: rand.New(rand.NewPCG(seed, 1)), duration: duration}
	for kind := range deployment.Kinds {
		g.drawSessions(kind, rate*deployment.Kinds[kind].Share)
	}
	sort.SliceStable(g.arrivals, func(i, j int) bool { return g.arrivals[i].At < g.arrivals[j].At })
	for i := range g.arrivals {
		g.arrivals[i].ID = fmt.Sprintf("r%06d", i)
	}
	return g.arrivals
}

// drawSessions generates sessions with Poisson arrivals at the rate per second,
// multiplied by the burst factor during the burst.
func (g *generator) drawSessions(kind int, rate float64) {
	factor := 1.0
	if kind == g.deployment.BurstKind {
		factor = max(1, g.deployment.BurstFactor)
	}
	warmUp := -20 * time.Second // so that sessions are in progress at the start
	for at := warmUp; at < g.duration; {
		at += time.Duration(g.random.ExpFloat64() / (rate * factor) * float64(time.Second))
		if !g.isInBurst(at) && g.random.Float64() > 1/factor {
			continue
		}
		g.drawSession(kind, at)
	}
}

func (g *generator) isInBurst(at time.Duration) bool {
	middle := g.duration / 2
	halfBurst := time.Duration(burstShare / 2 * float64(g.duration))
	return at > middle-halfBurst && at < middle+halfBurst
}

func (g *generator) drawSession(kindIndex int, at time.Duration) {
	kind := &g.deployment.Kinds[kindIndex]
	g.sessions++
	session := g.sessions
	turns := 1
	for g.random.Float64() > 1/kind.Turns && turns < 10 {
		turns++
	}
	zone := g.drawZone()
	tenant := g.drawTenant()
	context := kind.SharedTokens
	for turn := range turns {
		prompt := logNormal(g.random, kind.Prompt, kind.PromptSpread, maxPromptFactor)
		if turn > 0 {
			prompt = max(1, prompt/4)
		}
		output := logNormal(g.random, kind.Output, kind.OutputSpread, MaxOutputFactor)
		context = min(context+prompt, maxPromptTokens)
		if at >= 0 && at < g.duration {
			g.arrivals = append(g.arrivals, Arrival{
				At: at, Kind: kindIndex, Zone: zone, Tenant: tenant, Session: session, Turn: turn,
				Node:         g.random.IntN(g.deployment.NodesPerZone[zone]),
				PromptTokens: context, OutputTokens: output,
				Chain: blockChain(kindIndex, session, kind.SharedTokens, context),
			})
		}
		context += output
		at += kind.Deadline/2 + time.Duration(g.random.ExpFloat64()*float64(meanThinkTime))
	}
}

func (g *generator) drawZone() int { return g.random.IntN(len(g.deployment.Zones)) }

func (g *generator) drawTenant() int {
	remaining := g.random.Float64()
	for i, share := range g.deployment.TenantShares {
		if remaining -= share; remaining < 0 {
			return i
		}
	}
	return 0
}

// logNormal returns a log-normal length of at least one token and at most maxFactor
// times the median.
func logNormal(random *rand.Rand, median int, spread, maxFactor float64) int {
	value := float64(median) * math.Exp(spread*random.NormFloat64())
	return int(min(max(value, 1), maxFactor*float64(median)))
}

// blockChain returns the block numbers of a prompt. Blocks of the shared prefix of the
// kind are the same for all sessions; the others are unique to the session.
func blockChain(kind, session, shared, tokens int) []uint64 {
	blocks := make([]uint64, tokens/structs.BlockTokens)
	for i := range blocks {
		namespace := uint64(session)<<24 | 1<<63
		if (i+1)*structs.BlockTokens <= shared {
			namespace = uint64(kind+1) << 48
		}
		blocks[i] = namespace | uint64(i)
	}
	return blocks
}

// Capacity returns the engine time per second of the deployment, in seconds of its
// first engine.
func Capacity(deployment *Deployment) float64 {
	total := 0.0
	for _, zone := range deployment.Engines {
		for _, spec := range zone {
			total += tokensPerSecond(spec) / tokensPerSecond(deployment.Engines[0][0])
		}
	}
	return total
}

// tokensPerSecond returns the decoding rate of an engine with a full batch.
func tokensPerSecond(spec enginesim.Spec) float64 {
	step := spec.BaseStep + time.Duration(spec.Slots)*spec.PerSequence
	return float64(spec.Slots) / step.Seconds()
}

// meanSessionWork returns the mean time of a session on the first engine, in seconds,
// with full batches and each prefix computed once.
func meanSessionWork(deployment *Deployment) float64 {
	reference := deployment.Engines[0][0]
	perToken := 1 / tokensPerSecond(reference)
	work := 0.0
	for index, kind := range deployment.Kinds {
		prompt := meanLength(kind.Prompt, kind.PromptSpread) * (1 + (kind.Turns-1)/4)
		output := meanLength(kind.Output, kind.OutputSpread)
		share := kind.Share
		if index == deployment.BurstKind {
			share *= 1 + (max(1, deployment.BurstFactor)-1)*burstShare
		}
		work += share * (prompt*reference.PerPrefillToken.Seconds() + kind.Turns*output*perToken + (kind.Turns-1)*output*reference.PerPrefillToken.Seconds())
	}
	return work
}

func meanLength(median int, spread float64) float64 {
	return float64(median) * math.Exp(spread*spread/2)
}
