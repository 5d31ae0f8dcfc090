package node

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/thornwalk/thornwalk/coordination/membership"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/openai"
	"github.com/thornwalk/thornwalk/protocol/receipt"
	"github.com/thornwalk/thornwalk/state/answer"
	"github.com/thornwalk/thornwalk/state/registry"
	"github.com/thornwalk/thornwalk/state/settings"
	"github.com/thornwalk/thornwalk/structs"
)

// Paths of the callers' interface beside the OpenAI-compatible ones.
const (
	PathServices        = "/services/{name}"
	PathTickets         = "/v1/tickets"
	PathRequests        = "/v1/requests"
	PathInternalAnswers = "/internal/answers/"
	PathLive            = "/livez"
	PathReady           = "/readyz"
	PathMetrics         = "/metrics"
)

// callerHandler is the callers' interface.
func (n *Node) callerHandler() http.Handler {
	router := mux.NewRouter()
	router.UseEncodedPath()
	router.HandleFunc(openai.PathChat, n.withTenant(n.serveChat)).Methods(http.MethodPost)
	router.HandleFunc(openai.PathCompletions, n.withTenant(n.serveCompletion)).Methods(http.MethodPost)
	router.HandleFunc(openai.PathModels, n.withTenant(n.serveModels)).Methods(http.MethodGet)
	router.HandleFunc(PathTickets, n.withTenant(n.serveTicket)).Methods(http.MethodPost)
	router.HandleFunc(PathRequests, n.withTenant(n.serveLookupByKey)).Methods(http.MethodGet)
	router.HandleFunc(PathRequests+"/{id}", n.withTenant(n.serveStatus)).Methods(http.MethodGet)
	router.HandleFunc(PathRequests+"/{id}/answer", n.withTenant(n.serveAnswer)).Methods(http.MethodGet)
	router.PathPrefix(PathServices).HandlerFunc(n.withTenant(n.serveService))
	router.HandleFunc(PathInternalAnswers+"{id}", n.serveRelay).Methods(http.MethodGet)
	router.HandleFunc(PathLive, func(http.ResponseWriter, *http.Request) {})
	router.HandleFunc(PathReady, n.serveReady)
	router.HandleFunc(PathMetrics, func(writer http.ResponseWriter, _ *http.Request) { metrics.WriteJSONOnce(n.metrics, writer) })
	return router
}

// withTenant authenticates before it serves, and counts open callers.
func (n *Node) withTenant(serve func(http.ResponseWriter, *http.Request, *settings.Named)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		n.traffic.openCallers.Add(1)
		defer n.traffic.openCallers.Add(-1)
		tenant, err := n.authenticate(request)
		if err != nil {
			n.writeError(writer, err, "", "")
			return
		}
		serve(writer, request, tenant)
	}
}

func (n *Node) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) serveChat(writer http.ResponseWriter, request *http.Request, tenant *settings.Named) {
	n.serveGeneration(writer, request, tenant, true)
}

func (n *Node) serveCompletion(writer http.ResponseWriter, request *http.Request, tenant *settings.Named) {
	n.serveGeneration(writer, request, tenant, false)
}

func (n *Node) serveGeneration(writer http.ResponseWriter, request *http.Request, tenant *settings.Named, chat bool) {
	body, err := readBody(writer, request, tenant.Values.MaxBodyBytes)
	if err != nil {
		n.writeError(writer, err, "", "")
		return
	}
	c, err := n.resolveCompletion(request, tenant, body, chat)
	ans, answered := n.startOrForward(writer, request, c, err)
	if answered {
		return
	}
	n.writeGeneration(writer, request, ans, c.generation.Stream, c.generation.IncludeUsage, 0)
}

// take begins a call that was resolved, or forwards it to the process of its
// ticket. It returns true if the caller was answered already.
func (n *Node) startOrForward(writer http.ResponseWriter, request *http.Request, c *call, err error) (*answer.Answer, bool) {
	if err != nil {
		n.writeError(writer, err, "", "")
		return nil, true
	}
	if c.ticket != "" && n.forwardToTicketOwner(writer, request, c) {
		return nil, true
	}
	ans, err := n.startExecution(request.Context(), c)
	if err != nil {
		n.writeError(writer, err, "", "")
		return nil, true
	}
	return ans, false
}

func (n *Node) serveService(writer http.ResponseWriter, request *http.Request, tenant *settings.Named) {
	body, err := readBody(writer, request, tenant.Values.MaxBodyBytes)
	if err != nil {
		n.writeError(writer, err, "", "")
		return
	}
	name := mux.Vars(request)["name"]
	path := request.URL.EscapedPath()[len("/services/")+len(name):]
	if path == "" {
		path = "/"
	}
	c, err := n.resolveService(request, tenant, name, path, body)
	ans, answered := n.startOrForward(writer, request, c, err)
	if answered {
		return
	}
	n.writeService(writer, request, ans)
}

func (n *Node) serveModels(writer http.ResponseWriter, _ *http.Request, _ *settings.Named) {
	compiled := n.settings.Compiled()
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for _, name := range compiled.Routes() {
		if route, found := compiled.Route(name); found && route.Values.Model != "" {
			list.Data = append(list.Data, openai.Model{ID: name, Object: "model", OwnedBy: route.Values.Service})
		}
	}
	writeJSON(writer, http.StatusOK, list)
}

// ticketReply is the answer to a request for a ticket.
type ticketReply struct {
	Ticket string `json:"ticket"`
	Node   string `json:"node"`
}

func (n *Node) serveTicket(writer http.ResponseWriter, _ *http.Request, tenant *settings.Named) {
	if n.rejecting.Load() || n.draining.Load() {
		n.writeError(writer, errkind.New(errkind.Stopping, "%s is stopping", n.config.Name), "", "")
		return
	}
	ticket, err := n.issueTicket(tenant.Name)
	if err != nil {
		n.writeError(writer, err, "", "")
		return
	}
	writeJSON(writer, http.StatusOK, ticketReply{Ticket: ticket, Node: n.config.Name})
}

// RequestStatus is what is known of a request.
type RequestStatus struct {
	RequestID string `json:"request_id"`
	State     string `json:"state"`
	Outcome   string `json:"outcome,omitempty"`
	Error     string `json:"error,omitempty"`
	Receipt   string `json:"receipt,omitempty"`
	Node      string `json:"node,omitempty"`
}

func statusOf(ans *answer.Answer) RequestStatus {
	view, _ := ans.Snapshot(0)
	status := RequestStatus{RequestID: ans.RequestID, State: "waiting", Receipt: view.Receipt}
	switch {
	case view.Ended:
		status.State, status.Outcome = "ended", view.Outcome.String()
		if view.Err != nil {
			status.Error = view.Err.Error()
		}
	case view.Receipt != "":
		status.State = "dispatched"
	}
	return status
}

func (n *Node) serveStatus(writer http.ResponseWriter, request *http.Request, tenant *settings.Named) {
	ans, err := n.findAnswer(request.Context(), mux.Vars(request)["id"], request.Header.Get(HeaderReceipt), tenant.Name)
	if err != nil {
		n.writeError(writer, err, mux.Vars(request)["id"], "")
		return
	}
	awaitKnownState(request.Context(), ans)
	writeJSON(writer, http.StatusOK, statusOf(ans))
}

func (n *Node) serveAnswer(writer http.ResponseWriter, request *http.Request, tenant *settings.Named) {
	ans, err := n.findAnswer(request.Context(), mux.Vars(request)["id"], request.Header.Get(HeaderReceipt), tenant.Name)
	if err != nil {
		n.writeError(writer, err, mux.Vars(request)["id"], "")
		return
	}
	view, err := ans.Await(request.Context(), 0, 0)
	if err != nil {
		return
	}
	if view.Head != nil {
		n.writeService(writer, request, ans)
		return
	}
	stream := request.Header.Get("Accept") == "text/event-stream"
	n.writeGeneration(writer, request, ans, stream, true, lastEventID(request))
}

// serveLookupByKey answers what is known of the request under a key.
func (n *Node) serveLookupByKey(writer http.ResponseWriter, request *http.Request, tenant *settings.Named) {
	key := registry.Key{Tenant: tenant.Name, Key: request.Header.Get(HeaderIdempotencyKey)}
	if key.Key == "" {
		n.writeError(writer, errkind.New(errkind.BadRequest, "send the key in %s", HeaderIdempotencyKey), "", "")
		return
	}
	entry, found := n.lookupKey(request.Context(), key)
	if !found {
		n.writeError(writer, errkind.New(errkind.NotFound, "no request under this key is remembered in the zone"), "", "")
		return
	}
	states := map[registry.Progress]string{registry.Registered: "waiting", registry.Dispatched: "dispatched", registry.Ended: "ended"}
	status := RequestStatus{RequestID: entry.RequestID, State: states[entry.Progress], Receipt: entry.Receipt, Node: entry.Node}
	if entry.Progress == registry.Ended {
		status.Outcome = entry.Outcome.String()
	}
	writeJSON(writer, http.StatusOK, status)
}

// findAnswer finds the answer of a request here, at the node that has it, or,
// by the receipt, at its engine.
func (n *Node) findAnswer(ctx context.Context, id, sealed, tenant string) (*answer.Answer, error) {
	if own, found := n.answers.Get(id); found {
		if own.Tenant != tenant {
			return nil, errkind.New(errkind.NotFound, "request %s", id)
		}
		return own, nil
	}
	name, process, valid := parseRequestID(id)
	if !valid {
		return nil, errkind.New(errkind.NotFound, "%q is no request id", id)
	}
	if address, found := n.callerAddressOf(name, uint64(process)); found {
		return n.relayAnswer(address, id, tenant, sealed), nil
	}
	if sealed == "" {
		return nil, errkind.New(errkind.NotFound, "the process that took request %s is gone: send the receipt in %s", id, HeaderReceipt)
	}
	var opened receipt.Receipt
	if err := n.sealer.Open(sealed, &opened); err != nil {
		return nil, err
	}
	if opened.RequestID != id {
		return nil, errkind.New(errkind.BadReceipt, "the receipt belongs to another request")
	}
	return n.resumeByReceipt(ctx, sealed, tenant)
}

// addressOf returns where the process of a node serves callers: by membership
// in this zone, by the machine list in others.
func (n *Node) callerAddressOf(name string, process uint64) (string, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if known, found := n.table.Get(name); found && name != n.config.Name {
		return known.Member.CallerAddress, known.Member.Process() == process && known.Status != membership.Dead
	}
	for _, machine := range n.machines.entries {
		if machine.Name == name && machine.Zone != n.config.Zone {
			return machine.CallerAddress, true
		}
	}
	return "", false
}

// lookup asks the keepers for the entry of a key.
func (n *Node) lookupKey(ctx context.Context, key registry.Key) (registry.Entry, bool) {
	for _, keeper := range n.registryNodes(key) {
		reply, err := callOrServe(ctx, n, keeper, kindLookup, &key, n.serveRegistryLookup)
		if err == nil && reply.Found {
			return reply.Entry, true
		}
	}
	return registry.Entry{}, false
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value) // the caller is gone if this fails
}

// outcomeOf is the outcome that a caller is told with an error.
func outcomeOf(err error) structs.Outcome { return errkind.Of(err).Outcome }
