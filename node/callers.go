package node

import (
	"context"
	"net/http"
	"strconv"

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
	"github.com/thornwalk/thornwalk/transport/unframed"
)

// Paths of the callers' interface, in addition to those of package openai.
const (
	PathServices        = "/services/{name}"
	PathTickets         = "/v1/tickets"
	PathRequests        = "/v1/requests"
	PathInternalAnswers = "/internal/answers/"
	PathLive            = "/livez"
	PathReady           = "/readyz"
	PathMetrics         = "/metrics"
)

// callerHandler returns the handler of the callers' interface.
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

// withTenant authenticates the caller and counts open callers around serve. In a planned stop it ends the caller's
// connection with the response, so that the next request goes to another node.
func (n *Node) withTenant(serve func(http.ResponseWriter, *http.Request, *settings.Named)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		n.traffic.openCallers.Add(1)
		defer n.traffic.openCallers.Add(-1)
		if n.draining.Load() {
			writer.Header().Set("Connection", "close")
		}
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
	body, err := n.readBody(writer, request, tenant.Values.MaxBodyBytes)
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

// startOrForward starts the execution of a call, or forwards the call to the
// process that issued its ticket; err is the error of resolving the call. It
// returns true if it has already written the response.
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
	body, err := n.readBody(writer, request, tenant.Values.MaxBodyBytes)
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

// ticketReply is the response to a request for a ticket.
type ticketReply struct {
	Ticket string `json:"ticket"`
	Node   string `json:"node"`
}

func (n *Node) serveTicket(writer http.ResponseWriter, _ *http.Request, tenant *settings.Named) {
	if n.accepting.Err() != nil || n.draining.Load() {
		n.writeError(writer, errkind.New(errkind.Stopping, "issue ticket: node %s is stopping", n.config.Name), "", "")
		return
	}
	ticket, err := n.issueTicket(tenant.Name)
	if err != nil {
		n.writeError(writer, err, "", "")
		return
	}
	writeJSON(writer, http.StatusOK, ticketReply{Ticket: ticket, Node: n.config.Name})
}

// RequestStatus is the state of a request as this node knows it.
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
		unframed.Abort(request)
	}
	if view.Head != nil || n.isFromService(view.Receipt) {
		n.writeService(writer, request, ans)
		return
	}
	stream := request.Header.Get("Accept") == "text/event-stream"
	n.writeGeneration(writer, request, ans, stream, true, lastEventID(request))
}

// isFromService reports whether the receipt is of a request to a plain service, which
// may have been dispatched without an answer so far.
func (n *Node) isFromService(sealed string) bool {
	var opened receipt.Receipt
	return n.sealer.Open(sealed, &opened) == nil && !opened.Engine
}

// serveLookupByKey responds with the status of the request that has the key.
func (n *Node) serveLookupByKey(writer http.ResponseWriter, request *http.Request, tenant *settings.Named) {
	key := registry.Key{Tenant: tenant.Name, Key: request.Header.Get(HeaderIdempotencyKey)}
	if key.Key == "" {
		n.writeError(writer, errkind.New(errkind.BadRequest, "look up request: header %s is missing", HeaderIdempotencyKey), "", "")
		return
	}
	entry, found := n.lookupKey(request.Context(), key)
	if !found {
		n.writeError(writer, errkind.New(errkind.NotFound, "look up request: the zone has no request with this key"), "", "")
		return
	}
	states := map[registry.Progress]string{registry.Registered: "waiting", registry.Dispatched: "dispatched", registry.Ended: "ended"}
	status := RequestStatus{RequestID: entry.RequestID, State: states[entry.Progress], Receipt: entry.Receipt, Node: entry.Node}
	if entry.Progress == registry.Ended {
		status.Outcome = entry.Outcome.String()
	}
	writeJSON(writer, http.StatusOK, status)
}

// findAnswer returns the answer of a request from this node, from the node that
// has it or, if that process has ended, from the engine that the receipt names.
func (n *Node) findAnswer(ctx context.Context, id, sealed, tenant string) (*answer.Answer, error) {
	if own, found := n.answers.Get(id); found {
		if own.Tenant != tenant {
			return nil, errkind.New(errkind.NotFound, "find request %s", id)
		}
		return own, nil
	}
	name, process, valid := parseRequestID(id)
	if !valid {
		return nil, errkind.New(errkind.NotFound, "%q is not a request id", id)
	}
	if address, found := n.callerAddressOf(name, uint64(process)); found {
		return n.relayAnswer(address, id, tenant, sealed), nil
	}
	if sealed == "" {
		return nil, errkind.New(errkind.NotFound, "find request %s: its process has ended; send the receipt in header %s", id, HeaderReceipt)
	}
	var opened receipt.Receipt
	if err := n.sealer.Open(sealed, &opened); err != nil {
		return nil, err
	}
	if opened.RequestID != id {
		return nil, errkind.New(errkind.BadReceipt, "receipt belongs to another request")
	}
	return n.resumeByReceipt(ctx, sealed, tenant)
}

// callerAddressOf returns the callers' address of a node, and whether its process
// may still run. Nodes of other zones are looked up in the machine list.
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

// lookupKey returns the entry of a key from the members that store it.
func (n *Node) lookupKey(ctx context.Context, key registry.Key) (registry.Entry, bool) {
	for _, member := range n.registryNodes(key) {
		reply, err := callOrServe(ctx, n, member, kindLookup, &key, n.serveRegistryLookup)
		if err == nil && reply.Found {
			return reply.Entry, true
		}
	}
	return registry.Entry{}, false
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	content := append(mustJSON(value), '\n')
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
	writer.WriteHeader(status)
	_, _ = writer.Write(content) // fails only if the caller has disconnected
}

// outcomeOf returns the outcome that an error proves.
func outcomeOf(err error) structs.Outcome { return errkind.Of(err).Outcome }
