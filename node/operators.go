package node

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"runtime"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/thornwalk/thornwalk/coordination/membership"
	"github.com/thornwalk/thornwalk/coordination/scheduler"
	"github.com/thornwalk/thornwalk/coordination/settingsync"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/settings"
	"github.com/thornwalk/thornwalk/structs"
)

// Paths of the operators' interface.
const (
	PathOperatorStatus   = "/operator/status"
	PathOperatorPeers    = "/operator/peers"
	PathOperatorBackends = "/operator/backends"
	PathOperatorExplain  = "/operator/explain/"
	PathOperatorSettings = "/operator/settings"
	PathOperatorDrain    = "/operator/drain"
)

// changeTimeout bounds the commit of a change.
const changeTimeout = 10 * time.Second

// maxChangeBytes bounds the body of a change.
const maxChangeBytes = 8 << 20

// Status is a summary of a node's state.
type Status struct {
	Node         string                     `json:"node"`
	Zone         string                     `json:"zone"`
	Process      int64                      `json:"process"`
	Ready        bool                       `json:"ready"`
	Draining     bool                       `json:"draining"`
	Generation   uint64                     `json:"generation"`
	StoreHealthy bool                       `json:"store_up"`
	LiveNodes    int                        `json:"live_nodes"`
	InFlight     int                        `json:"in_flight"`
	Queued       int                        `json:"waiting"`
	Keys         int                        `json:"registry_keys"`
	Floors       map[string]scheduler.Floor `json:"floors"`
	HeapBytes    uint64                     `json:"heap_bytes"`
}

// Peer is another node as this one sees it.
type Peer struct {
	membership.Rumor
	StatusText string `json:"status_text"`
	Generation uint64 `json:"generation"`
}

// Backend is a replica as this node sees it.
type Backend struct {
	Replica   structs.Replica    `json:"replica"`
	Report    structs.LoadReport `json:"report"`
	AgeMS     int64              `json:"age_ms"`
	InFlight  int                `json:"in_flight"`
	Occupancy int                `json:"occupancy"`
	Slowdown  float64            `json:"slowdown"`
	Closed    bool               `json:"closed"`
	Suspended bool               `json:"suspended"`
}

// SettingsReply carries the active settings and their latest changes.
type SettingsReply struct {
	Generation uint64                     `json:"generation"`
	Branches   []settings.Branch          `json:"branches"`
	Changes    []settingsync.ChangeRecord `json:"changes"`
}

// ChangeReply carries the record of an accepted change.
type ChangeReply struct {
	Record settingsync.ChangeRecord `json:"record"`
}

// operatorHandler returns the handler of the operators' interface.
func (n *Node) operatorHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(PathOperatorStatus, n.withOperator(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, n.Status()) })).Methods(http.MethodGet)
	router.HandleFunc(PathOperatorPeers, n.withOperator(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, n.Peers()) })).Methods(http.MethodGet)
	router.HandleFunc(PathOperatorBackends, n.withOperator(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, n.Backends()) })).Methods(http.MethodGet)
	router.HandleFunc(PathOperatorExplain+"{id}", n.withOperator(n.serveExplain)).Methods(http.MethodGet)
	router.HandleFunc(PathOperatorSettings, n.withOperator(n.serveSettings)).Methods(http.MethodGet)
	router.HandleFunc(PathOperatorSettings, n.withOperator(n.serveChange)).Methods(http.MethodPost)
	router.HandleFunc(PathOperatorSpread, n.withOperator(n.serveSpread)).Methods(http.MethodGet)
	router.HandleFunc(PathOperatorDrain, n.withOperator(n.serveDrain)).Methods(http.MethodPost)
	router.HandleFunc("/debug/pprof/profile", n.withOperator(pprof.Profile))
	router.HandleFunc("/debug/pprof/{name}", n.withOperator(pprof.Index))
	return router
}

// withOperator checks the operators' token before serve is called.
func (n *Node) withOperator(serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		received := request.Header.Get("Authorization")
		expected := "Bearer " + n.config.OperatorToken
		if n.config.OperatorToken == "" || subtle.ConstantTimeCompare([]byte(received), []byte(expected)) != 1 {
			n.writeError(writer, errkind.New(errkind.Unauthorized, "authenticate operator: token does not match"), "", "")
			return
		}
		serve(writer, request)
	}
}

// Status returns a summary of the node's state.
func (n *Node) Status() Status {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	compiled := n.settings.Compiled()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	status := Status{
		Node: n.config.Name, Zone: n.config.Zone, Process: n.startMilliseconds(), Ready: n.Ready(), Draining: n.draining.Load(),
		Generation: compiled.Generation, StoreHealthy: n.storeHealthy.Load(), LiveNodes: len(n.table.Live()),
		InFlight: n.scheduler.InFlight(), Queued: n.scheduler.QueuedCount(), Keys: n.registry.Len(),
		Floors: map[string]scheduler.Floor{}, HeapBytes: memory.HeapAlloc,
	}
	for _, service := range compiled.Services() {
		status.Floors[service] = n.scheduler.Floor(service)
	}
	return status
}

// Peers returns the members of the zone as this node sees them.
func (n *Node) Peers() []Peer {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var peers []Peer
	for _, rumor := range n.table.All() {
		generation := n.peerGenerations[rumor.Member.Name].generation
		if rumor.Member.Name == n.config.Name {
			generation = n.settings.Compiled().Generation
		}
		peers = append(peers, Peer{Rumor: rumor, StatusText: rumor.Status.String(), Generation: generation})
	}
	return peers
}

// Backends returns the replicas as this node sees them.
func (n *Node) Backends() []Backend {
	now := n.now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var backends []Backend
	for _, replica := range n.scheduler.View().Replicas() {
		state, found := n.scheduler.View().Get(replica.ID)
		if !found {
			continue
		}
		backends = append(backends, Backend{
			Replica: replica, Report: state.Report, AgeMS: state.Age(now).Milliseconds(), InFlight: state.OwnInFlight(),
			Occupancy: state.Occupancy(), Slowdown: state.Slowdown, Closed: state.Closed, Suspended: state.SuspendedUntil > now,
		})
	}
	return backends
}

func (n *Node) serveExplain(writer http.ResponseWriter, request *http.Request) {
	decisions := n.decisions.forRequest(mux.Vars(request)["id"])
	if len(decisions) == 0 {
		n.writeError(writer, errkind.New(errkind.NotFound, "explain request: this node has no decision on it"), "", "")
		return
	}
	writeJSON(writer, http.StatusOK, decisions)
}

func (n *Node) serveSettings(writer http.ResponseWriter, _ *http.Request) {
	document := n.settings.Document()
	writeJSON(writer, http.StatusOK, SettingsReply{Generation: document.Generation, Branches: document.Branches, Changes: document.Changes})
}

func (n *Node) serveChange(writer http.ResponseWriter, request *http.Request) {
	var change settingsync.Change
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxChangeBytes)).Decode(&change); err != nil {
		n.writeError(writer, errkind.New(errkind.BadRequest, "decode change of settings: %v", err), "", "")
		return
	}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(request.Context(), changeTimeout)
	defer cancel()
	record, err := n.Change(ctx, change)
	if err != nil {
		n.writeError(writer, err, "", "")
		return
	}
	writeJSON(writer, http.StatusOK, ChangeReply{Record: record})
}

// serveDrain starts Drain, if it is not running yet, and responds at once.
func (n *Node) serveDrain(writer http.ResponseWriter, _ *http.Request) {
	if n.draining.CompareAndSwap(false, true) {
		go n.Drain(context.WithoutCancel(n.ctx))
	}
	writer.WriteHeader(http.StatusAccepted)
}
