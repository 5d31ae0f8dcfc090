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
	// maxStatedTime bounds the time of a caller that counts.
	maxStatedTime = time.Hour
	// statedSteps is the number of entries that are kept for the time of a caller.
	statedSteps = 64
	// maxReportDelay is the time from the begin of a stream to the first report of it.
	maxReportDelay = time.Second
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
	// stated are streams of this node whose callers have more time than their routes suggest, and reported those of other
	// nodes.
	stated, reported longStreams
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
	longest, services := max(terms.lifetime(), l.stated.age(now), l.reported.age(now)), slices.Clone(terms.Services)
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

// HasMoreTime reports whether a caller with so much time may resume its stream later than the terms suggest.
func (r RouteTerms) HasMoreTime(callerTime time.Duration) bool { return callerTime > r.lifetime() }

// State records that a stream begins, or goes on, whose caller has more time than its route suggests.
func (l *Lifetimes) State(now structs.Instant, callerTime time.Duration) {
	l.stated.add(now, now, callerTime)
}

// Longest returns the longest time of the callers that have more time than their routes suggest, for other nodes; zero if
// there are none.
func (l *Lifetimes) Longest(now structs.Instant) time.Duration { return l.stated.longest(now) }

// Report records the Longest of another node, as of the instant.
func (l *Lifetimes) Report(now, asOf structs.Instant, longest time.Duration) {
	if longest > 0 {
		l.reported.add(now, asOf-maxReportDelay, longest)
	}
}

// longStreams are the begins of streams and the ends of their callers' time, both rising. A stream that began earlier and
// ends later than another one stands for both.
type longStreams []longStream

type longStream struct{ began, ends structs.Instant }

func (s *longStreams) add(now, began structs.Instant, callerTime time.Duration) {
	s.prune(now)
	callerTime = min(callerTime, maxStatedTime)
	ends, last := began+callerTime, len(*s)-1
	switch {
	case last >= 0 && ends <= (*s)[last].ends:
	case last >= 0 && began-(*s)[last].began < callerTime/statedSteps:
		(*s)[last].ends = ends
	default:
		*s = append(*s, longStream{began: began, ends: ends})
	}
}

// prune drops the streams whose callers have no time left.
func (s *longStreams) prune(now structs.Instant) {
	*s = slices.DeleteFunc(*s, func(stream longStream) bool { return stream.ends < now })
}

func (s *longStreams) longest(now structs.Instant) time.Duration {
	s.prune(now)
	longest := time.Duration(0)
	for _, stream := range *s {
		longest = max(longest, stream.ends-stream.began)
	}
	return longest
}

// age returns how long ago the oldest of the streams began.
func (s *longStreams) age(now structs.Instant) time.Duration {
	s.prune(now)
	if len(*s) == 0 {
		return 0
	}
	return now - (*s)[0].began
}
