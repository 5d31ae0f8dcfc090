package node

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/coordination/membership"
	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// PathOperatorSpread tells how far a generation has spread.
const PathOperatorSpread = "/operator/spread"

// spreadFreshness is how long the last word of a node counts.
const generationFreshness = 5 * time.Second

// ZoneSpread is how far a generation has spread in one zone, as this node has
// heard.
type ZoneSpread struct {
	Zone string `json:"zone"`
	// InForce lists the nodes that are known to have it in force.
	InForce []string `json:"in_force"`
	// Behind lists the live nodes that were last heard with a lower one.
	Behind []string `json:"behind"`
	// Unheard lists the nodes of the machine list that were not heard lately:
	// they may be gone, or the zone is large and they were not asked yet.
	Unheard []string `json:"unheard"`
	// CutOff is true if nothing was heard of the zone lately.
	CutOff bool `json:"cut_off"`
}

// serveSpread answers how far the generation has spread.
func (n *Node) serveSpread(writer http.ResponseWriter, request *http.Request) {
	generation, err := strconv.ParseUint(request.URL.Query().Get("generation"), 10, 64)
	if err != nil {
		n.writeError(writer, errkind.New(errkind.BadRequest, "generation is %q: write a number", request.URL.Query().Get("generation")), "", "")
		return
	}
	writeJSON(writer, http.StatusOK, n.Spread(generation))
}

// Spread returns how far the generation has spread, by zone.
func (n *Node) Spread(generation uint64) []ZoneSpread {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	zones := map[string]*ZoneSpread{}
	zone := func(name string) *ZoneSpread {
		if zones[name] == nil {
			zones[name] = &ZoneSpread{Zone: name, InForce: []string{}, Behind: []string{}, Unheard: []string{}}
		}
		return zones[name]
	}
	n.addNode(zone(n.config.Zone), n.config.Name, n.settings.Compiled().Generation, generation)
	for _, machine := range n.machines.entries {
		if machine.Name == n.config.Name {
			continue
		}
		spread := zone(machine.Zone)
		if machine.Zone != n.config.Zone {
			lastSeen, known := n.zoneLastSeen[machine.Zone]
			spread.CutOff = !known || n.now()-lastSeen > zoneFreshness
		}
		if rumor, known := n.table.Get(machine.Name); known && rumor.Status == membership.Dead {
			continue
		}
		observed, isObserved := n.peerGenerations[machine.Name]
		if isObserved && (observed.generation >= generation || n.now()-observed.at < generationFreshness) {
			n.addNode(spread, machine.Name, observed.generation, generation)
		} else {
			spread.Unheard = append(spread.Unheard, machine.Name)
		}
	}
	sorted := make([]ZoneSpread, 0, len(zones))
	for _, spread := range zones {
		sorted = append(sorted, *spread)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Zone < sorted[j].Zone })
	return sorted
}

func (n *Node) addNode(spread *ZoneSpread, name string, observed, wanted uint64) {
	if observed >= wanted {
		spread.InForce = append(spread.InForce, name)
		return
	}
	spread.Behind = append(spread.Behind, name)
}
