package standin

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/transport/machinelist"
)

// Machines is a stand-in for the platform's machine list. Changes become visible with a
// delay. It is safe for concurrent use.
type Machines struct {
	// Lag is the time until a change becomes visible.
	Lag time.Duration

	mutex    sync.Mutex
	changes  []machineChange
	down     bool
	machines map[string]outside.Machine
	// version increases with each change that becomes visible.
	version int
}

type machineChange struct {
	visibleAt time.Time
	machine   outside.Machine
	removed   bool
}

// NewMachines returns an empty machine list with the given Lag.
func NewMachines(lag time.Duration) *Machines {
	return &Machines{Lag: lag, machines: map[string]outside.Machine{}}
}

// Add adds or replaces a machine.
func (m *Machines) Add(machine outside.Machine) { m.addChange(machine, false) }

// Remove removes a machine.
func (m *Machines) Remove(name string) { m.addChange(outside.Machine{Name: name}, true) }

// SetDown sets whether the list rejects requests with status 503.
func (m *Machines) SetDown(down bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.down = down
}

func (m *Machines) addChange(machine outside.Machine, removed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.changes = append(m.changes, machineChange{visibleAt: time.Now().Add(m.Lag), machine: machine, removed: removed})
}

// visibleMachines applies the changes that are visible by now and returns the machines
// sorted by name and the version. It returns false if the list is down.
func (m *Machines) visibleMachines() ([]outside.Machine, int, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down {
		return nil, 0, false
	}
	now := time.Now()
	pending := m.changes[:0]
	for _, change := range m.changes {
		switch {
		case change.visibleAt.After(now):
			pending = append(pending, change)
		case change.removed:
			m.version++
			delete(m.machines, change.machine.Name)
		default:
			m.version++
			m.machines[change.machine.Name] = change.machine
		}
	}
	m.changes = pending
	machines := make([]outside.Machine, 0, len(m.machines))
	for _, machine := range m.machines {
		machines = append(machines, machine)
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].Name < machines[j].Name })
	return machines, m.version, true
}

// Handler returns the HTTP interface of the machine list.
func (m *Machines) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(machinelist.Path, func(writer http.ResponseWriter, request *http.Request) {
		machines, version, up := m.visibleMachines()
		tag := fmt.Sprintf("%q", strconv.Itoa(version))
		switch {
		case !up:
			writer.WriteHeader(http.StatusServiceUnavailable)
		case request.Header.Get("If-None-Match") == tag:
			writer.WriteHeader(http.StatusNotModified)
		default:
			writer.Header().Set("ETag", tag)
			encode(writer, machines)
		}
	})
	return router
}
