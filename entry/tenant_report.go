package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/thornwalk/thornwalk/coordination/tenantstats"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/openai"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/peer"
)

// Reports by tenant: the scheduling node has them, and every other node asks it.

// TenantTable is what the tenants of each service get, as the scheduling node counts it.
type TenantTable struct {
	Scheduler string `json:"scheduler"`
	// CountedMS is the time in milliseconds since the scheduling node began to count, at the latest when it
	// became the scheduling node.
	CountedMS int64 `json:"counted_for_ms"`
	// IsShared is true if the setting tenant_shares of the scheduling node is on. Otherwise the shares of
	// the table are not enforced.
	IsShared bool              `json:"tenant_shares"`
	Tenants  []tenantstats.Row `json:"tenants"`
}

// Rejections are the remembered rejections of one request, the latest first.
type Rejections struct {
	// Scheduler is the node that decided, and CountedMS the time in milliseconds since it began to count. A
	// rejection may be older: nodes remember it when their role changes.
	Scheduler  string                    `json:"scheduler"`
	CountedMS  int64                     `json:"counted_for_ms"`
	Rejections []tenantstats.Explanation `json:"rejections"`
}

// tenantReportRequest asks the scheduling node for the table, or for the rejections of Request if that
// is not empty.
type tenantReportRequest struct {
	Request string `msgpack:",omitempty"`
}

// tenantReportReply has what was asked for as JSON, so that nodes of other versions pass fields on that
// they don't know.
type tenantReportReply struct {
	JSON []byte
}

// tenantReportTimeout bounds the query to the scheduling node.
const tenantReportTimeout = 2 * time.Second

// reportError is an error of a report with a message for operators.
type reportError struct {
	kind    *errkind.Kind
	message string
}

func newReportError(kind *errkind.Kind, format string, arguments ...any) error {
	return &reportError{kind: kind, message: fmt.Sprintf(format, arguments...)}
}

func (e *reportError) Error() string { return e.message }

func (e *reportError) Unwrap() error { return e.kind }

// serveTenantReport answers the query of another node. It fails if this node does not schedule.
func (n *Node) serveTenantReport(_ context.Context, request *tenantReportRequest) (*tenantReportReply, error) {
	if scheduler, address := n.currentScheduler(); address != "" {
		return nil, newReportError(errkind.PeerUnavailable, "it does not schedule any more, %s does", scheduler)
	}
	report, err := n.localTenantReport(request)
	return &tenantReportReply{JSON: report}, err
}

// localTenantReport returns the report of this node's scheduling service.
func (n *Node) localTenantReport(request *tenantReportRequest) ([]byte, error) {
	name := n.settings.Load().Name
	if request.Request == "" {
		table := n.scheduling.tenantTable()
		table.Scheduler = name
		return json.Marshal(table)
	}
	found := n.scheduling.explain(request.Request)
	found.Scheduler = name
	return json.Marshal(found)
}

// tenantReport returns the report of the scheduling node. If that node has no rejection of the request
// or can't be reached, those that this node decided on its own are looked up too.
func (n *Node) tenantReport(ctx context.Context, request *tenantReportRequest) ([]byte, error) {
	scheduler, address := n.currentScheduler()
	ask := func() ([]byte, error) { return n.askTenantReport(ctx, scheduler, address, request) }
	if address == "" {
		ask = func() ([]byte, error) { return n.localTenantReport(request) }
	}
	report, err := ask()
	if request.Request == "" || err == nil && hasRejections(report) {
		return report, err
	}
	if own, ownErr := n.localTenantReport(request); ownErr == nil && hasRejections(own) {
		return own, nil
	}
	if err != nil {
		return nil, err
	}
	var none Rejections
	_ = json.Unmarshal(report, &none)
	counted := (time.Duration(none.CountedMS) * time.Millisecond).Round(time.Second)
	return nil, newReportError(errkind.NotFound, "%s, which schedules and has counted for %s, remembers no rejection of %.80q: it keeps the latest ones only, and none of requests that were rejected without a scheduling node; look for these with thornwalk explain -logs", none.Scheduler, counted, request.Request)
}

// hasRejections reports whether a report has rejections.
func hasRejections(report []byte) bool {
	var found Rejections
	return json.Unmarshal(report, &found) == nil && len(found.Rejections) > 0
}

// askTenantReport asks the scheduling node over a connection of its own: a node of a version without
// this query closes the connection, which must not break the assignments on the one in use.
func (n *Node) askTenantReport(ctx context.Context, scheduler, address string, request *tenantReportRequest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, tenantReportTimeout)
	defer cancel()
	client := peer.NewClient(n.dependencies.Network, nil)
	defer client.Close()
	reply := &tenantReportReply{}
	// The ping shows the scheduling node that the connection in use is not silent; otherwise it would take
	// the second one for its replacement.
	err := n.peers.Ping(ctx, address)
	if err == nil {
		err = client.Call(ctx, address, peerwire.KindTenantReport, request, reply)
	}
	switch {
	case errors.Is(err, peer.ErrLinkBroken):
		return nil, newReportError(errkind.PeerUnavailable, "the scheduling node %s closed the connection: it has ended, or its version does not count by tenant; ask again once all nodes are updated", scheduler)
	case err != nil:
		return nil, newReportError(errkind.PeerUnavailable, "the scheduling node %s gave no report by tenant: ask again, since another node schedules soon if it has ended (%v)", scheduler, err)
	}
	return reply.JSON, nil
}

// Paths of the reports by tenant at the operators' address.
const (
	// PathTenants is where a node serves the TenantTable.
	PathTenants = "/tenants"
	// PathExplain, followed by a request's fingerprint or the caller's ID of it, has its Rejections.
	PathExplain = "/explain/"
)

// handleTenantReports adds the paths of the reports to the router.
func (n *Node) handleTenantReports(router *mux.Router) {
	router.HandleFunc(PathTenants, n.serveOperatorReport).Methods(http.MethodGet)
	router.HandleFunc(PathExplain+"{request:.+}", n.serveOperatorReport).Methods(http.MethodGet)
}

func (n *Node) serveOperatorReport(w http.ResponseWriter, r *http.Request) {
	report, err := n.tenantReport(r.Context(), &tenantReportRequest{Request: mux.Vars(r)["request"]})
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		kind := errkind.Of(err)
		w.WriteHeader(kind.Status)
		_ = json.NewEncoder(w).Encode(openai.ErrorBody{Error: openai.ErrorDetail{Message: err.Error(), Type: kind.Code, Code: kind.Code, Outcome: structs.OutcomePending.String()}})
		return
	}
	_, _ = w.Write(report)
}

// registerTenantMetrics registers the gauge of active tenants and counts rejections by reason.
func (n *Node) registerTenantMetrics() {
	// Registration fails only for a name in use, and a node registers once.
	_ = n.metrics.Register("tenants.active", metrics.NewFunctionalGauge(n.scheduling.activeTenants))
	n.scheduling.onRejection = func(reason string) { n.counter("tenants.refused." + reason).Inc(1) }
}
