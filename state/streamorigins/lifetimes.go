package streamorigins

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

const (
	// lifetimeTimeouts is within how many times the timeout of its route a stream begins and breaks off before it is
	// resumed, if its caller does not say that it has more time.
	lifetimeTimeouts = 2
)

// RouteTerms is what a configuration says of the streams of one route.
type RouteTerms struct {
	Name string
	// Timeout bounds one request; zero means no bound.
	Timeout time.Duration
	// Services are those to which the route leads.
	Services []string
}

// lifetime returns how long ago a stream that is resumed may have begun under the terms.
func (r RouteTerms) lifetime() time.Duration {
	if r.Timeout <= 0 {
		return Retention
	}
	return lifetimeTimeouts * r.Timeout
}

// Lifetimes knows how long ago the streams may have begun that callers resume, and to which services their routes led
// then. It is not safe for concurrent use.
type Lifetimes struct {
	routes map[string]*routeHistory
}

// routeHistory has the present terms of a route, if it isConfigured, and former ones.
type routeHistory struct {
	current      RouteTerms
	isConfigured bool
	former       []formerTerms
}

// formerTerms were in force until the instant.
type formerTerms struct {
	RouteTerms
	until structs.Instant
}

// NewLifetimes returns lifetimes without routes.
func NewLifetimes() *Lifetimes { return &Lifetimes{routes: map[string]*routeHistory{}} }

// Configure states the terms of all routes from now on.
func (l *Lifetimes) Configure(now structs.Instant, routes []RouteTerms) {
	before := map[string]bool{}
	for name, route := range l.routes {
		before[name], route.isConfigured = route.isConfigured, false
	}
	for _, terms := range routes {
		route := l.routes[terms.Name]
		if route == nil {
			route = &routeHistory{}
			l.routes[terms.Name] = route
		}
		if before[terms.Name] && (route.current.Timeout != terms.Timeout || !slices.Equal(route.current.Services, terms.Services)) {
			route.former = append(route.former, formerTerms{RouteTerms: route.current, until: now})
		}
		route.current, route.isConfigured = terms, true
	}
	for name, route := range l.routes {
		if before[name] && !route.isConfigured {
			route.former = append(route.former, formerTerms{RouteTerms: route.current, until: now})
		}
		route.former = slices.DeleteFunc(route.former, func(past formerTerms) bool { return past.isOver(now) })
		if !route.isConfigured && len(route.former) == 0 {
			delete(l.routes, name)
		}
	}
}

// isOver reports whether no stream is left that began under the terms.
func (f formerTerms) isOver(now structs.Instant) bool { return now-f.until > f.lifetime() }

// Of returns how long ago a stream of the route that is resumed now may have begun, and the services to which the route
// led in that time.
func (l *Lifetimes) Of(now structs.Instant, terms RouteTerms) (time.Duration, []string) {
	longest, services := terms.lifetime(), slices.Clone(terms.Services)
	if route := l.routes[terms.Name]; route != nil {
		for _, past := range append(slices.Clone(route.former), formerTerms{RouteTerms: route.current, until: now}) {
			if past.isOver(now) {
				continue
			}
			longest = max(longest, past.lifetime())
			for _, service := range past.Services {
				if !slices.Contains(services, service) {
					services = append(services, service)
				}
			}
		}
	}
	return longest, services
}
