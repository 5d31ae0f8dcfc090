package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/openai"
	"github.com/thornwalk/thornwalk/state/prefix"
	"github.com/thornwalk/thornwalk/state/settings"
	"github.com/thornwalk/thornwalk/structs"
)

// Headers of callers' requests and of responses.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRoute          = "Thornwalk-Route"
	HeaderDeadline       = "Thornwalk-Deadline-Ms"
	HeaderTicket         = "Thornwalk-Ticket"
	HeaderNotRepeatable  = "Thornwalk-Not-Repeatable"
	HeaderRequestID      = "Thornwalk-Request-Id"
	HeaderReceipt        = "Thornwalk-Receipt"
	HeaderOutcome        = "Thornwalk-Outcome"
	HeaderErrorCode      = "Thornwalk-Error"
	HeaderForwarded      = "Thornwalk-Forwarded"
)

const maxKeyBytes = 255

// authenticate returns the tenant of the bearer key. It looks up the key's hash,
// so that the time taken reveals nothing about valid keys.
func (n *Node) authenticate(request *http.Request) (*settings.Named, error) {
	key, isBearer := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !isBearer || key == "" {
		return nil, errkind.New(errkind.Unauthorized, "authenticate: bearer key is missing")
	}
	sum := sha256.Sum256([]byte(key))
	tenant, found := n.settings.Compiled().TenantByKeyHash(hex.EncodeToString(sum[:]))
	if !found {
		return nil, errkind.New(errkind.Unauthorized, "authenticate: bearer key belongs to no tenant")
	}
	return tenant, nil
}

// rejectedBodyTime is how long the rest of a body is read and dropped after its request was rejected, as the caller may read
// the response only then.
const rejectedBodyTime = 500 * time.Millisecond

// readBody reads the request's body of at most limit bytes. It gives up with an error of kind Stopping once new requests
// are rejected.
func (n *Node) readBody(writer http.ResponseWriter, request *http.Request, limit int) ([]byte, error) {
	control := http.NewResponseController(writer)
	interrupted := make(chan struct{})
	stop := context.AfterFunc(n.accepting, func() {
		_ = control.SetReadDeadline(time.Unix(1, 0))
		close(interrupted)
	})
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, int64(limit)))
	if !stop() {
		<-interrupted
		_ = control.SetReadDeadline(time.Now().Add(rejectedBodyTime))
		writer.Header().Set("Connection", "close")
		return nil, errkind.New(errkind.Stopping, "read request body: node %s is stopping", n.config.Name)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.TooLarge, "request body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "read request body: %v", err)
	}
	return body, nil
}

// resolveCompletion resolves an OpenAI-compatible request to a call. The route is
// named by HeaderRoute, or else by the request's model.
func (n *Node) resolveCompletion(request *http.Request, tenant *settings.Named, body []byte, chat bool) (*call, error) {
	parsed, err := openai.ParseRequest(body, chat)
	if err != nil {
		return nil, err
	}
	name := parsed.Model
	if header := request.Header.Get(HeaderRoute); header != "" {
		name = header
	}
	route, found := n.settings.Compiled().Route(name)
	if !found || route.Values.Model == "" {
		return nil, errkind.New(errkind.UnknownRoute, "%q is not a route to a model", name)
	}
	c := &call{tenant: tenant, route: name, values: route.Values, generation: parsed, body: body}
	return c, c.readHeaders(request)
}

// resolveService resolves a request to a plain service to a call. The route is
// named by HeaderRoute, or else has the name of the service.
func (n *Node) resolveService(request *http.Request, tenant *settings.Named, service, path string, body []byte) (*call, error) {
	name := request.Header.Get(HeaderRoute)
	if name == "" {
		name = service
	}
	route, found := n.settings.Compiled().Route(name)
	if !found || route.Values.Service != service || route.Values.Model != "" {
		return nil, errkind.New(errkind.UnknownRoute, "%q is not a route to the plain service %q", name, service)
	}
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	c := &call{
		tenant: tenant, route: name, values: route.Values, body: body,
		service: &serviceCall{method: request.Method, path: path, header: forwardedHeader(request.Header)},
	}
	return c, c.readHeaders(request)
}

// headersNotForwarded apply to one connection only or carry the caller's credentials.
var headersNotForwarded = []string{"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", HeaderTicket}

func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, name := range headersNotForwarded {
		forwarded.Del(name)
	}
	return forwarded
}

func (c *call) readHeaders(request *http.Request) error {
	c.key = request.Header.Get(HeaderIdempotencyKey)
	c.ticket = request.Header.Get(HeaderTicket)
	if len(c.key) > maxKeyBytes {
		return errkind.New(errkind.BadRequest, "%s has %d bytes, more than the limit of %d", HeaderIdempotencyKey, len(c.key), maxKeyBytes)
	}
	c.deadline = c.values.Deadline
	if text := request.Header.Get(HeaderDeadline); text != "" {
		milliseconds, err := strconv.Atoi(text)
		if err != nil || milliseconds < 1 || time.Duration(milliseconds) > time.Hour/time.Millisecond {
			return errkind.New(errkind.BadRequest, "%s is %q: use milliseconds from 1 to 3600000", HeaderDeadline, text)
		}
		c.deadline = time.Duration(milliseconds) * time.Millisecond
	}
	c.repeatable = c.values.Repeatable && request.Header.Get(HeaderNotRepeatable) != "true"
	c.bodyHash = hashCall(c, request)
	return nil
}

// hashCall returns a hash that distinguishes a resubmission from a different
// request under the same key.
func hashCall(c *call, request *http.Request) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(request.Method + " " + request.URL.RequestURI() + "\x00" + c.route + "\x00") // never fails
	_, _ = digest.Write(c.body)
	return digest.Sum64()
}

// newSchedulerRequest returns the request that the scheduler queues for the call.
func (n *Node) newSchedulerRequest(id string, c *call) *structs.Request {
	now := n.now()
	request := &structs.Request{
		ID: id, Tenant: c.tenant.Name, Route: c.route, Service: c.values.Service, Model: c.values.Model, Adapter: c.values.Adapter,
		Tier: c.values.Tier, Weight: c.tenant.Values.Weight, MaxTokens: c.values.MaxTokens,
		Arrived: now, Deadline: now + c.deadline, Repeatable: c.repeatable,
	}
	if tier, found := n.settings.Compiled().Tier(c.values.Tier); found {
		request.Rank = structs.Rank(tier.Values.Rank)
	}
	if c.generation != nil {
		if c.generation.MaxTokens > 0 {
			request.MaxTokens = min(request.MaxTokens, c.generation.MaxTokens)
		}
		request.PromptTokens = prefix.Tokens(len(c.generation.Prompt))
		request.Prefix = prefix.Chain(routeEngineModel(&c.values), c.generation.Prompt)
	}
	return request
}

// routeEngineModel returns the name under which engines serve the route's model.
func routeEngineModel(values *settings.Values) string {
	if values.Adapter != "" {
		return values.Adapter
	}
	return values.Model
}
