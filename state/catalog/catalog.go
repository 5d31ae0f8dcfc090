// Package catalog holds one version of the routing configuration: host and path
// routes, services, tenants and limits. A Catalog is immutable; a newer version
// replaces all of it. The package does no I/O: a Document comes from an adapter
// (see package platform) or from a peer that relays it.
package catalog

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// RouteKind determines whether requests of a route may run more than once.
type RouteKind string

const (
	// KindSafe requests may run more than once.
	KindSafe RouteKind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe RouteKind = "unsafe"
	// KindStreaming requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	KindStreaming RouteKind = "streaming"
)

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service string `msgpack:"s"`
	// Weight is relative to those of the route's other backends.
	Weight int `msgpack:"w"`
}

// Route matches requests by host and path prefix.
type Route struct {
	Name       string    `msgpack:"n"`
	Host       string    `msgpack:"h"`
	PathPrefix string    `msgpack:"p"`
	Kind       RouteKind `msgpack:"k"`
	// Timeout bounds the total time of a request; zero means no bound.
	Timeout time.Duration `msgpack:"t"`
	// TargetLatency is the target for the time until the response starts.
	TargetLatency time.Duration `msgpack:"a"`
	// TargetEventGap is the target for the time between two events of a stream.
	TargetEventGap time.Duration `msgpack:"g"`
	// Priority 0 is the most urgent; higher values are less urgent.
	Priority int               `msgpack:"r"`
	Backends []WeightedService `msgpack:"b"`
	// MaxAttempts bounds how often one request is sent to a replica.
	MaxAttempts int `msgpack:"m"`
	// Public routes need no API key.
	Public bool `msgpack:"u"`
	// Sticky is part of the configuration, but no node uses it.
	Sticky bool `msgpack:"y"`
	// Resumable means that a streaming request may run more than once.
	Resumable bool `msgpack:"e"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStreaming && r.Resumable)
}

// Engine describes the model engines that run a service.
type Engine struct {
	Slots int `msgpack:"s"`
	// TokensPerEvent is the number of tokens in each event of a stream.
	TokensPerEvent int `msgpack:"d"`
	// TokenCapacity is the size of the KV cache in tokens.
	TokenCapacity int `msgpack:"k"`
	// Moves and Backups are part of the configuration, but no node uses them.
	Moves   bool `msgpack:"m"`
	Backups bool `msgpack:"b"`
}

// Service is a pool of replicas.
type Service struct {
	Name           string `msgpack:"n"`
	MaxConnections int    `msgpack:"c"`
	// WarmupTime is the time that a replica stays cold after its start.
	// SlowStartRate bounds its requests per second meanwhile; zero means no bound.
	WarmupTime    time.Duration `msgpack:"ct,omitempty"`
	SlowStartRate float64       `msgpack:"cr,omitempty"`
	// Engine is nil for plain services.
	Engine *Engine `msgpack:"e"`
}

// Tenant is a group of callers that share API keys, a priority and a quota.
type Tenant struct {
	Name string   `msgpack:"n"`
	Keys []string `msgpack:"k"`
	// Priority overrides that of the route if HasPriority is true.
	Priority    int  `msgpack:"p"`
	HasPriority bool `msgpack:"h"`
	// Rate is the quota in tokens or requests per second and Burst the size of the
	// token bucket; a zero Rate means no limit.
	Rate  float64 `msgpack:"r"`
	Burst float64 `msgpack:"b"`
	// CountTokens means that the quota counts tokens instead of requests.
	CountTokens bool `msgpack:"t"`
	// DefaultTokens is charged for a request without a token count.
	DefaultTokens int `msgpack:"l"`
}

// Limits bound requests and connections of callers.
type Limits struct {
	HeaderBytes   int           `msgpack:"h"`
	BodyBytes     int64         `msgpack:"b"`
	HeaderTimeout time.Duration `msgpack:"t"`
	IdleTimeout   time.Duration `msgpack:"i"`
}

// MaxVersion is the highest version of a configuration. JSON numbers beyond it are not exact for all writers, and no
// version could follow the highest integer.
const MaxVersion = 1<<53 - 1

// Document is the form in which nodes exchange a configuration.
type Document struct {
	// Version increases with each accepted change; zero means no configuration.
	Version  int64     `msgpack:"v"`
	Routes   []Route   `msgpack:"r"`
	Services []Service `msgpack:"s"`
	Tenants  []Tenant  `msgpack:"t"`
	Limits   Limits    `msgpack:"l"`
}

// Catalog is a compiled Document with lookup indexes. It is immutable and safe for
// concurrent use.
type Catalog struct {
	*Document
	byHost   map[string]*hostRoutes
	byKey    map[string]*Tenant
	services map[string]*Service
	tenants  map[string]*Tenant
	// meanTokenRate and meanRequestRate are the mean rates of the tenants that have one, which counts
	// tokens or requests.
	meanTokenRate, meanRequestRate float64
}

// hostRoutes indexes the routes of one host. There may be thousands, so match must
// not scan all of them.
type hostRoutes struct {
	// slashPrefixes has the routes whose prefix ends with a slash. otherPrefixes has
	// the others, longest first; they may match within a path segment.
	slashPrefixes map[string]*Route
	otherPrefixes []*Route
	// maxSlashPrefixBytes is the length of the longest prefix in slashPrefixes.
	maxSlashPrefixBytes int
}

// add indexes a route. Of several routes with the same prefix the first one wins.
func (h *hostRoutes) add(route *Route) {
	if !strings.HasSuffix(route.PathPrefix, "/") {
		h.otherPrefixes = append(h.otherPrefixes, route)
		return
	}
	if _, exists := h.slashPrefixes[route.PathPrefix]; !exists {
		h.slashPrefixes[route.PathPrefix] = route
		h.maxSlashPrefixBytes = max(h.maxSlashPrefixBytes, len(route.PathPrefix))
	}
}

// match returns the route with the longest prefix of path, or nil.
func (h *hostRoutes) match(path string) *Route {
	var best *Route
	for end := min(len(path), h.maxSlashPrefixBytes); end > 0 && best == nil; end-- {
		if path[end-1] == '/' {
			best = h.slashPrefixes[path[:end]]
		}
	}
	for _, route := range h.otherPrefixes {
		if best != nil && len(route.PathPrefix) < len(best.PathPrefix) {
			break
		}
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return best
}

// Compile validates the document and builds its indexes. The catalog retains the
// document and sets route.MaxAttempts to at least 1. Errors are of kind
// InvalidSettings and name the path and, if there is one, the invalid value.
func Compile(document *Document) (*Catalog, error) {
	c := &Catalog{
		Document: document, byHost: map[string]*hostRoutes{}, byKey: map[string]*Tenant{},
		services: map[string]*Service{}, tenants: map[string]*Tenant{},
	}
	if document.Version <= 0 || document.Version > MaxVersion {
		return nil, errkind.New(errkind.InvalidSettings, "version: %d is not in 1 to %d", document.Version, int64(MaxVersion))
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
		sort.SliceStable(routes.otherPrefixes, func(i, j int) bool {
			return len(routes.otherPrefixes[i].PathPrefix) > len(routes.otherPrefixes[j].PathPrefix)
		})
	}
	for i := range document.Tenants {
		tenant := &document.Tenants[i]
		c.tenants[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			c.byKey[key] = tenant
		}
	}
	c.meanTokenRate, c.meanRequestRate = meanRate(document.Tenants, true), meanRate(document.Tenants, false)
	return c, nil
}

// hasRate reports whether the rate is usable in a ratio.
func (t *Tenant) hasRate() bool { return t.Rate > 0 && !math.IsInf(t.Rate, 1) }

// meanRate returns the mean rate of the tenants whose rate counts tokens, or requests.
func meanRate(tenants []Tenant, countTokens bool) float64 {
	mean, count := 0.0, 0.0
	for i := range tenants {
		if tenant := &tenants[i]; tenant.hasRate() && tenant.CountTokens == countTokens {
			count++
			mean += (tenant.Rate - mean) / count // a sum could overflow
		}
	}
	return mean
}

// RelativeRate returns the rate of the tenant divided by the mean rate of all tenants with a rate in the
// same unit. It is 1 for a tenant without a rate.
func (c *Catalog) RelativeRate(tenant *Tenant) float64 {
	mean := c.meanRequestRate
	if tenant.CountTokens {
		mean = c.meanTokenRate
	}
	if !tenant.hasRate() || mean <= 0 {
		return 1
	}
	return tenant.Rate / mean
}

func (c *Catalog) addRoute(route *Route) error {
	switch route.Kind {
	case KindSafe, KindUnsafe, KindStreaming:
	default:
		return errkind.New(errkind.InvalidSettings, "routes/%s/kind: %q is not one of safe, unsafe and streaming", route.Name, route.Kind)
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
		routes = &hostRoutes{slashPrefixes: map[string]*Route{}}
		c.byHost[host] = routes
	}
	routes.add(route)
	return nil
}

// Match returns the route of host with the longest prefix of path, or nil. The case
// of host and a port in it are ignored.
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

// TenantOfKey returns the tenant that owns the API key, or nil.
func (c *Catalog) TenantOfKey(key string) *Tenant { return c.byKey[key] }

// Tenant returns the tenant of that name, or nil.
func (c *Catalog) Tenant(name string) *Tenant { return c.tenants[name] }

// Service returns the service of that name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// RequiresKey reports whether requests of the route need a tenant's API key.
func (c *Catalog) RequiresKey(route *Route) bool { return len(c.Tenants) > 0 && !route.Public }

// Services returns the names of the services to which the route leads.
func (r *Route) Services() []string {
	var names []string
	for _, backend := range r.Backends {
		if backend.Weight > 0 && !slices.Contains(names, backend.Service) {
			names = append(names, backend.Service)
		}
	}
	if len(names) == 0 {
		names = []string{r.Backends[0].Service}
	}
	return names
}

// PickService returns the name of a service, chosen by weight. The caller passes a
// random number draw that is uniform over [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, backend := range r.Backends {
		total += max(backend.Weight, 0)
	}
	remaining := int(draw * float64(total))
	for _, backend := range r.Backends {
		remaining -= max(backend.Weight, 0)
		if remaining < 0 {
			return backend.Service
		}
	}
	return r.Backends[0].Service
}
