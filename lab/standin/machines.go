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

// Machines stands in for the platform's machine list. It lags.
type Machines struct {
	// Lag is the time after which a change shows.
	Lag time.Duration

	mutex    sync.Mutex
	changes  []machineChange
	down     bool
	machines map[string]outside.Machine
	// version rises with each change that shows.
	version int
}

type machineChange struct {
	at      time.Time
	machine outside.Machine
	removed bool
}

// NewMachines returns an empty list.
func NewMachines(lag time.Duration) *Machines {
	return &Machines{Lag: lag, machines: map[string]outside.Machine{}}
}

// Add enters or changes a machine.
func (m *Machines) Add(machine outside.Machine) { m.enter(machine, false) }

// Remove takes a machine off the list.
func (m *Machines) Remove(name string) { m.enter(outside.Machine{Name: name}, true) }

// SetDown makes the list refuse requests.
func (m *Machines) SetDown(down bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.down = down
}

func (m *Machines) enter(machine outside.Machine, removed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.changes = append(m.changes, machineChange{at: time.Now().Add(m.Lag), machine: machine, removed: removed})
}

// list returns the machines whose changes show by now.
func (m *Machines) list() ([]outside.Machine, int, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down {
		return nil, 0, false
	}
	now := time.Now()
	pending := m.changes[:0]
	for _, change := range m.changes {
		switch {
		case change.at.After(now):
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

// Handler returns the HTTP side.
func (m *Machines) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(machinelist.Path, func(writer http.ResponseWriter, request *http.Request) {
		machines, version, up := m.list()
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
