package emulator

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/coordination/scheduler"
	"github.com/thornwalk/thornwalk/lab/workload"
	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// Policies are the names of all policies in the order of reports.
var Policies = []string{"round-robin", "least-reported-load", "power-of-two", "prefix-hash", "thornwalk", "oracle"}

var choosers = map[string]chooser{
	"round-robin":         roundRobin,
	"least-reported-load": leastReportedLoad,
	"power-of-two":        powerOfTwo,
	"prefix-hash":         prefixHash,
}

// Experiment is a set of runs of several policies on the same arrivals.
type Experiment struct {
	Deployment workload.Deployment
	Load       float64
	Seed       uint64
	Duration   time.Duration
	Policies   []string
	Conditions Conditions
	// Adjust changes the scheduler options of the policies thornwalk and oracle. Nil
	// means no changes.
	Adjust func(*scheduler.Options)
}

// Run runs all policies concurrently, each in its own simulation, and returns their
// results in the order of Policies. The error is of kind BadRequest if a policy is
// unknown.
func (e *Experiment) Run() ([]Result, error) {
	for _, policy := range e.Policies {
		if _, known := choosers[policy]; !known && policy != "thornwalk" && policy != "oracle" {
			return nil, errkind.New(errkind.BadRequest, "unknown policy %q: choose among %v", policy, Policies)
		}
	}
	arrivals := workload.Generate(&e.Deployment, e.Load, e.Duration, e.Seed)
	results := make([]Result, len(e.Policies))
	var group sync.WaitGroup
	for i, policy := range e.Policies {
		group.Go(func() {
			s := newSimulation(&e.Deployment, e.Conditions, e.Duration, e.Seed)
			e.addNodes(s, policy, arrivals)
			s.run(arrivals)
			results[i] = s.result(policy, e.Load, e.Seed)
		})
	}
	group.Wait()
	return results, nil
}

func (e *Experiment) addNodes(s *simulation, policy string, arrivals []workload.Arrival) {
	choose, isBaseline := choosers[policy]
	var lengths oracleLengths
	if policy == "oracle" {
		lengths = newOracleLengths(arrivals)
	}
	for zone, count := range e.Deployment.NodesPerZone {
		var nodes []node
		peers := map[string]*thornwalkNode{}
		var members []string
		for index := range count {
			random := rand.New(rand.NewPCG(e.Seed, uint64(100+10*zone+index)))
			if isBaseline {
				nodes = append(nodes, newBaselineNode(s, zone, choose, random))
				continue
			}
			options := scheduler.DefaultOptions(e.Deployment.Zones[zone], e.Deployment.LowestRank())
			if policy == "oracle" {
				options.Lengths = lengths
				options.Prefixes = oraclePrefixes{simulation: s, zone: zone}
			}
			if e.Adjust != nil {
				e.Adjust(&options)
			}
			n := newThornwalkNode(s, zone, index, options, random)
			n.seesCurrentLoad = policy == "oracle"
			peers[n.name] = n
			members = append(members, n.name)
			nodes = append(nodes, n)
		}
		for _, name := range members {
			peers[name].setPeers(peers, members)
		}
		s.nodes = append(s.nodes, nodes)
	}
}

func newOracleLengths(arrivals []workload.Arrival) oracleLengths {
	lengths := oracleLengths{byRequest: make(map[string]int, len(arrivals))}
	for i := range arrivals {
		lengths.byRequest[arrivals[i].ID] = arrivals[i].OutputTokens
	}
	return lengths
}

// String returns the deployment, load and seed.
func (e *Experiment) String() string {
	return fmt.Sprintf("%s load %.2f seed %d", e.Deployment.Name, e.Load, e.Seed)
}
