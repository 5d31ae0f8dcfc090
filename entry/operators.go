package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// Status is the state of one node for operators.
type Status struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	Version  int64  `json:"configuration_version"`
	// Revision is the store revision up to which the replicas are known, in Era, and zero while they are
	// known only from an earlier era. Restored is the
	// time in milliseconds since the store was restored from a backup, and zero outside the
	// restore window.
	Revision   int64 `json:"store_revision"`
	Era        int64 `json:"store_era"`
	Restored   int64 `json:"store_restored_ms,omitempty"`
	UpdatesAge int64 `json:"news_age_ms"`
	// ViewAge is the age of the latest view of the store's replicas in milliseconds, or -1 if there was none.
	ViewAge   int64  `json:"view_age_ms"`
	StoreDown bool   `json:"store_down"`
	Scheduler string `json:"scheduler"`
	// NonDelegate is true if this node is no delegate of its zone, and Fleet is the estimated
	// number of nodes.
	NonDelegate bool     `json:"ordinary"`
	Fleet       int      `json:"fleet"`
	Live        []string `json:"live_peers"`
	Silent      []string `json:"silent_peers"`
	Failing     []string `json:"failing_replicas"`
	// Unreached are the replicas that the last connect of this node did not reach.
	Unreached []string `json:"unreached_replicas"`
	// Partitioned is true if peers forward this node's connections to all replicas. Forwarding is the
	// number of connections that this node forwards for peers.
	Partitioned bool  `json:"partitioned"`
	Forwarding  int64 `json:"forwarding"`
	// Isolated are the live peers that have lately reached no replica.
	Isolated []string                           `json:"isolated_peers,omitempty"`
	Replicas []replicas.Replica                 `json:"replicas"`
	Services map[string]admission.ServiceStatus `json:"services"`
	// SilentRequests describes the requests whose replica is silent, by service.
	SilentRequests map[string]SilenceStatus `json:"silent_requests,omitempty"`
	// Reread is set while requests for a complete read of the store are pending.
	Reread *RereadStatus `json:"store_reread,omitempty"`
	// Pushback is what replicas reported to this node to limit requests.
	Pushback []PushbackStatus `json:"pushback,omitempty"`
	// Evacuations are the zones that operators evacuated, and the orders that were lifted.
	Evacuations []EvacuationStatus `json:"evacuations,omitempty"`
	// Rollouts has the latest record of each service that was ever rolled out.
	Rollouts map[string]RolloutStatus `json:"rollouts,omitempty"`
	// Blocked are the blocked poison requests.
	Blocked []PoisonStatus `json:"barred,omitempty"`
}

// Status returns the node's current state.
func (n *Node) Status() *Status {
	settings := n.settings.Load()
	status := &Status{Name: settings.Name, Zone: settings.Zone, Ready: n.Ready(), Stopping: n.stoppingSince.Load() != 0, Services: n.scheduling.counts(), Blocked: n.poisonStatus()}
	if current := n.catalog.Load(); current != nil {
		status.Version = current.Version
	}
	status.SilentRequests = n.silences.status(n.now())
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	if known := n.table.CompleteTo(); known.Era() == n.era.current {
		status.Revision = known.Revision()
	}
	status.Era, status.Restored = n.era.current, n.era.restoreWindowAge(now).Milliseconds()
	status.UpdatesAge, status.StoreDown = (now - n.updatedAt).Milliseconds(), n.isStoreDown
	status.ViewAge = n.replicaFreshness.Age(now)
	status.Reread = n.rereads.status(now)
	status.Scheduler, status.Failing, status.Replicas = n.scheduler, n.health.Failing(now), n.table.All()
	status.Unreached, status.Partitioned, status.Forwarding = n.paths.Lost(), n.paths.IsPartitioned(), n.forwarded.Load()
	status.NonDelegate, status.Fleet = n.isNonDelegate, n.fleetSize
	status.Pushback = n.pushbackStatus(now)
	status.Rollouts, status.Evacuations = n.rolloutStatus(now), n.evacuationStatus()
	for _, member := range n.members.All(now) {
		if member.SinceHeartbeat(now) < member.FailureTimeout() {
			status.Live = append(status.Live, member.Name)
			if member.Isolated {
				status.Isolated = append(status.Isolated, member.Name)
			}
		} else {
			status.Silent = append(status.Silent, member.Name)
		}
	}
	return status
}

// Paths at the operators' address.
const (
	// PathStatus is where a node serves its Status.
	PathStatus = "/status"
	// PathUnblock, followed by a blocked request's fingerprint, unblocks the request.
	PathUnblock = "/barred/lift/"
)

func (n *Node) operatorsHandler() http.Handler {
	router := mux.NewRouter().SkipClean(true) // IDs of requests may have any characters, "//" and ".." too
	router.HandleFunc(PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.Status())
	}).Methods(http.MethodGet)
	router.HandleFunc(PathUnblock+"{content}", func(w http.ResponseWriter, r *http.Request) {
		if err := n.Unblock(mux.Vars(r)["content"]); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
		}
	}).Methods(http.MethodPost)
	n.handleTenantReports(router)
	router.HandleFunc("/metrics", n.serveMetrics).Methods(http.MethodGet)
	return router
}

// serveMetrics writes the metrics in the Prometheus text format.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	opened, reused := n.pool.Counts()
	fmt.Fprintf(w, "thornwalk_connections_opened %d\nthornwalk_connections_reused %d\n", opened, reused)
	fmt.Fprintf(w, "thornwalk_requests_in_progress %d\nthornwalk_log_lines_lost %d\n", n.inFlight.Load(), n.log.Lost())
	n.metrics.Each(func(name string, metric any) {
		name = "thornwalk_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch kind := metric.(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "%s %d\n", name, kind.Count())
		case metrics.Gauge:
			fmt.Fprintf(w, "%s %d\n", name, kind.Value())
		case metrics.Histogram:
			writeHistogram(w, name, kind)
		}
	})
}

// quantiles are the quantiles that are written of each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

func writeHistogram(w io.Writer, name string, histogram metrics.Histogram) {
	values := histogram.Snapshot().Percentiles(quantiles)
	for i, quantile := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%v\"} %v\n", name, quantile, values[i])
	}
	fmt.Fprintf(w, "%s_count %d\n", name, histogram.Count())
}
