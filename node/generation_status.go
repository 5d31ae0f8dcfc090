package node

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/coordination/membership"
	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// PathOperatorSpread serves, by zone, which nodes have activated a generation.
const PathOperatorSpread = "/operator/spread"

// generationFreshness is how long the last heartbeat of a node counts.
const generationFreshness = 5 * time.Second

// ZoneSpread lists which nodes of a zone have activated a generation, as far as
// this node knows.
type ZoneSpread struct {
	Zone string `json:"zone"`
	// Active lists the nodes that have activated the generation or a higher one.
	Active []string `json:"in_force"`
	// Behind lists the nodes that recently had a lower generation.
	Behind []string `json:"behind"`
	// Unreported lists the nodes of the machine list without a recent heartbeat; they
	// may have ended, or this node has not exchanged heartbeats with them yet.
	Unreported []string `json:"unheard"`
	// Unreachable reports whether no recent heartbeat came from the zone.
	Unreachable bool `json:"cut_off"`
}

// serveSpread responds with the ZoneSpreads of the generation of the query.
func (n *Node) serveSpread(writer http.ResponseWriter, request *http.Request) {
	generation, err := strconv.ParseUint(request.URL.Query().Get("generation"), 10, 64)
	if err != nil {
		n.writeError(writer, errkind.New(errkind.BadRequest, "generation is %q: use an unsigned integer", request.URL.Query().Get("generation")), "", "")
		return
	}
	writeJSON(writer, http.StatusOK, n.Spread(generation))
}

// Spread returns, sorted by zone, which nodes have activated the generation.
func (n *Node) Spread(generation uint64) []ZoneSpread {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	zones := map[string]*ZoneSpread{}
	zone := func(name string) *ZoneSpread {
		if zones[name] == nil {
			zones[name] = &ZoneSpread{Zone: name, Active: []string{}, Behind: []string{}, Unreported: []string{}}
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
			spread.Unreachable = !known || n.now()-lastSeen > zoneFreshness
		}
		if rumor, known := n.table.Get(machine.Name); known && rumor.Status == membership.Dead {
			continue
		}
		observed, isObserved := n.peerGenerations[machine.Name]
		if isObserved && (observed.generation >= generation || n.now()-observed.at < generationFreshness) {
			n.addNode(spread, machine.Name, observed.generation, generation)
		} else {
			spread.Unreported = append(spread.Unreported, machine.Name)
		}
	}
	sorted := make([]ZoneSpread, 0, len(zones))
	for _, spread := range zones {
		sorted = append(sorted, *spread)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Zone < sorted[j].Zone })
	return sorted
}

// addNode adds the node to those that have activated the wanted generation or to
// those behind.
func (n *Node) addNode(spread *ZoneSpread, name string, observed, wanted uint64) {
	if observed >= wanted {
		spread.Active = append(spread.Active, name)
		return
	}
	spread.Behind = append(spread.Behind, name)
}
