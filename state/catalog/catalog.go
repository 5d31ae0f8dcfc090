// Package catalog holds one version of the configuration by which requests are
// routed: host and path routes, services, tenants and limits. A Catalog is
// immutable once compiled; a newer version replaces it as a whole.
//
// The package does no I/O. The source of a catalog is an adapter (see package
// platform) or a peer that relays it, in the form of Document.
package catalog

import (
	"sort"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// RouteKind says what may be repeated.
type RouteKind string

// The kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe RouteKind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe RouteKind = "unsafe"
	// KindStreaming answers are series of events; they run at most once unless
	// the route is resumable.
	KindStreaming RouteKind = "streaming"
)

// WeightedService is a service that a route sends a share of its requests to.
type WeightedService struct {
	Service string `msgpack:"s"`
	// Weight is the share, relative to the other backends of the route.
	Weight int `msgpack:"w"`
}

// Route matches requests by host and path prefix.
type Route struct {
	Name       string    `msgpack:"n"`
	Host       string    `msgpack:"h"`
	PathPrefix string    `msgpack:"p"`
	Kind       RouteKind `msgpack:"k"`
	// Timeout is the longest time that a request is held; zero means no bound.
	Timeout time.Duration `msgpack:"t"`
	// TargetLatency is the time within which an answer earns its full credit.
	TargetLatency time.Duration `msgpack:"a"`
	// TargetEventGap is the longest pause between two events of a stream.
	TargetEventGap time.Duration `msgpack:"g"`
	// Priority orders routes; zero is the most urgent.
	Priority int               `msgpack:"r"`
	Backends []WeightedService `msgpack:"b"`
	// MaxAttempts bounds the replicas that may run one request.
	MaxAttempts int  `msgpack:"m"`
	Public      bool `msgpack:"u"`
	Sticky      bool `msgpack:"y"`
	Resumable   bool `msgpack:"e"`
}

// Repeatable returns whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStreaming && r.Resumable)
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int `msgpack:"s"`
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int  `msgpack:"d"`
	TokenCapacity  int  `msgpack:"k"`
	Moves          bool `msgpack:"m"`
	Backups        bool `msgpack:"b"`
}

// Service is a pool of replicas.
type Service struct {
	Name           string `msgpack:"n"`
	MaxConnections int    `msgpack:"c"`
	// WarmupTime is how long a replica stays cold after its start, and SlowStartRate the requests a
	// second that it bears meanwhile; zero means any.
	WarmupTime    time.Duration `msgpack:"ct,omitempty"`
	SlowStartRate float64       `msgpack:"cr,omitempty"`
	// Engine is nil for plain services.
	Engine *Engine `msgpack:"e"`
}

// Tenant is a holder of keys with a quota.
type Tenant struct {
	Name string   `msgpack:"n"`
	Keys []string `msgpack:"k"`
	// Priority replaces that of the route if HasPriority is true.
	Priority    int  `msgpack:"p"`
	HasPriority bool `msgpack:"h"`
	// Rate is tokens (or requests) a second and Burst what may come on top;
	// zero means no limit.
	Rate  float64 `msgpack:"r"`
	Burst float64 `msgpack:"b"`
	// CountTokens is true if the quota counts tokens and false if requests.
	CountTokens bool `msgpack:"t"`
	// DefaultTokens is what a request without a token count stands for.
	DefaultTokens int `msgpack:"l"`
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int           `msgpack:"h"`
	BodyBytes     int64         `msgpack:"b"`
	HeaderTimeout time.Duration `msgpack:"t"`
	IdleTimeout   time.Duration `msgpack:"i"`
}

// Document is a configuration as it is relayed between nodes.
type Document struct {
	// Version rises with each accepted change; zero means none.
	Version  int64     `msgpack:"v"`
	Routes   []Route   `msgpack:"r"`
	Services []Service `msgpack:"s"`
	Tenants  []Tenant  `msgpack:"t"`
	Limits   Limits    `msgpack:"l"`
}

// Catalog is a compiled document.
type Catalog struct {
	*Document
	byHost   map[string]*hostRoutes
	byKey    map[string]*Tenant
	services map[string]*Service
	tenants  map[string]*Tenant
}

// hostRoutes finds the routes of one host. There may be thousands, so that a request does
// not look at each.
type hostRoutes struct {
	// byPrefix has the routes whose prefix ends with a slash, and partial the others,
	// longest first, which may end within a segment of a path.
	byPrefix map[string]*Route
	partial  []*Route
	// longest is the length of the longest prefix in byPrefix.
	longest int
}

// add enters a route. Of several with the same prefix the first counts.
func (h *hostRoutes) add(route *Route) {
	if !strings.HasSuffix(route.PathPrefix, "/") {
		h.partial = append(h.partial, route)
		return
	}
	if _, taken := h.byPrefix[route.PathPrefix]; !taken {
		h.byPrefix[route.PathPrefix] = route
		h.longest = max(h.longest, len(route.PathPrefix))
	}
}

// match returns the route with the longest prefix of the path, or nil.
func (h *hostRoutes) match(path string) *Route {
	var longest *Route
	for end := min(len(path), h.longest); end > 0 && longest == nil; end-- {
		if path[end-1] == '/' {
			longest = h.byPrefix[path[:end]]
		}
	}
	for _, route := range h.partial {
		if longest != nil && len(route.PathPrefix) < len(longest.PathPrefix) {
			break
		}
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return longest
}

// Compile checks the document and builds its indexes. The error is of kind
// InvalidSettings and names path, value and remedy.
func Compile(document *Document) (*Catalog, error) {
	c := &Catalog{
		Document: document, byHost: map[string]*hostRoutes{}, byKey: map[string]*Tenant{},
		services: map[string]*Service{}, tenants: map[string]*Tenant{},
	}
	if document.Version <= 0 {
		return nil, errkind.New(errkind.InvalidSettings, "version: %d is not positive", document.Version)
	}
	for i := range document.Services {
		c.services[document.Services[i].Name] = &document.Services[i]
	}
	for i := range document.Routes {
		if err := c.addRoute(&document.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes.partial, func(i, j int) bool { return len(routes.partial[i].PathPrefix) > len(routes.partial[j].PathPrefix) })
	}
	for i := range document.Tenants {
		tenant := &document.Tenants[i]
		c.tenants[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			c.byKey[key] = tenant
		}
	}
	return c, nil
}

func (c *Catalog) addRoute(route *Route) error {
	switch route.Kind {
	case KindSafe, KindUnsafe, KindStreaming:
	default:
		return errkind.New(errkind.InvalidSettings, "routes/%s/kind: %q is none of safe, unsafe and streaming", route.Name, route.Kind)
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		return errkind.New(errkind.InvalidSettings, "routes/%s/path_prefix: %q does not begin with a slash", route.Name, route.PathPrefix)
	}
	if len(route.Backends) == 0 {
		return errkind.New(errkind.InvalidSettings, "routes/%s: names no service", route.Name)
	}
	route.MaxAttempts = max(route.MaxAttempts, 1)
	host := strings.ToLower(route.Host)
	routes, known := c.byHost[host]
	if !known {
		routes = &hostRoutes{byPrefix: map[string]*Route{}}
		c.byHost[host] = routes
	}
	routes.add(route)
	return nil
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	routes, known := c.byHost[host]
	if !known {
		return nil
	}
	return routes.match(path)
}

// TenantOfKey returns the tenant that holds the key, or nil.
func (c *Catalog) TenantOfKey(key string) *Tenant { return c.byKey[key] }

// Tenant returns the tenant with the name, or nil.
func (c *Catalog) Tenant(name string) *Tenant { return c.tenants[name] }

// Service returns the service with the name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// RequiresKey returns whether requests of the route need a tenant's key.
func (c *Catalog) RequiresKey(route *Route) bool { return len(c.Tenants) > 0 && !route.Public }

// PickService returns the service for a request, where draw is evenly spread over
// 0 (included) to 1 (excluded).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, backend := range r.Backends {
		total += max(backend.Weight, 0)
	}
	rest := int(draw * float64(total))
	for _, backend := range r.Backends {
		rest -= max(backend.Weight, 0)
		if rest < 0 {
			return backend.Service
		}
	}
	return r.Backends[0].Service
}
