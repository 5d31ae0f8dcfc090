package streamorigins

import (
	"slices"
	"testing"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Guards against a stream that is taken for younger than it may be after a configuration changed its route's terms, and
// against terms that count for longer than streams may live under them.
func TestFormerTermsCountWhileTheirStreamsMayLive(t *testing.T) {
	long := RouteTerms{Name: "route", Timeout: 20 * time.Second, Services: []string{"engines"}}
	short := RouteTerms{Name: "route", Timeout: time.Second, Services: []string{"engines"}}
	other := RouteTerms{Name: "route", Timeout: time.Second, Services: []string{"others"}}
	unbounded := RouteTerms{Name: "route", Services: []string{"engines"}}
	for name, testCase := range map[string]struct {
		// configurations take effect 10 s apart from each other, from 10 s on; nil lacks the route.
		configurations []*RouteTerms
		at             structs.Instant
		terms          RouteTerms
		lifetime       time.Duration
		services       []string
	}{
		"one":                            {[]*RouteTerms{&long}, 11 * time.Second, long, 40 * time.Second, []string{"engines"}},
		"shortened":                      {[]*RouteTerms{&long, &short}, 60 * time.Second, short, 40 * time.Second, []string{"engines"}},
		"shortened long ago":             {[]*RouteTerms{&long, &short}, 61 * time.Second, short, 2 * time.Second, []string{"engines"}},
		"longer":                         {[]*RouteTerms{&short, &long}, 21 * time.Second, long, 40 * time.Second, []string{"engines"}},
		"shortened twice":                {[]*RouteTerms{&long, &short, &other}, 31 * time.Second, other, 40 * time.Second, []string{"others", "engines"}},
		"another service":                {[]*RouteTerms{&short, &other}, 21 * time.Second, other, 2 * time.Second, []string{"others", "engines"}},
		"another service long ago":       {[]*RouteTerms{&short, &other}, 23 * time.Second, other, 2 * time.Second, []string{"others"}},
		"without a bound":                {[]*RouteTerms{&unbounded}, 11 * time.Second, unbounded, Retention, []string{"engines"}},
		"without a bound before":         {[]*RouteTerms{&unbounded, &short}, 80 * time.Second, short, Retention, []string{"engines"}},
		"removed and configured again":   {[]*RouteTerms{&long, nil, &other}, 60 * time.Second, other, 40 * time.Second, []string{"others", "engines"}},
		"removed":                        {[]*RouteTerms{&long, nil}, 30 * time.Second, long, 40 * time.Second, []string{"engines"}},
		"terms of a later configuration": {[]*RouteTerms{&long}, 11 * time.Second, other, 40 * time.Second, []string{"others", "engines"}},
		"no configuration":               {nil, time.Second, short, 2 * time.Second, []string{"engines"}},
	} {
		lifetimes := NewLifetimes()
		for i, terms := range testCase.configurations {
			routes := []RouteTerms{}
			if terms != nil {
				routes = append(routes, *terms)
			}
			lifetimes.Configure(structs.Instant(i+1)*10*time.Second, routes)
		}
		lifetime, services := lifetimes.Of(testCase.at, testCase.terms)
		if lifetime != testCase.lifetime || !slices.Equal(services, testCase.services) {
			t.Errorf("%s: %v, %v", name, lifetime, services)
		}
	}
}

// Guards against former terms that are kept for ever.
func TestFormerTermsAreForgotten(t *testing.T) {
	lifetimes := NewLifetimes()
	for i := range 100 {
		lifetimes.Configure(structs.Instant(i)*time.Second, []RouteTerms{{Name: "route", Timeout: time.Duration(1+i%3) * time.Second}})
	}
	if former := len(lifetimes.routes["route"].former); former > 7 {
		t.Errorf("%d former terms", former)
	}
	lifetimes.Configure(110*time.Second, nil)
	lifetimes.Configure(120*time.Second, nil)
	if len(lifetimes.routes) != 0 {
		t.Errorf("%d routes", len(lifetimes.routes))
	}
}

// Guards against a stream that is taken for younger than its caller says, at its node or at others, and against callers
// that count for longer than they have time.
func TestCallersWithMoreTimeCountWhileTheyHaveIt(t *testing.T) {
	terms := RouteTerms{Name: "route", Timeout: time.Second}
	check := func(name string, lifetimes *Lifetimes, at structs.Instant, want time.Duration) {
		t.Helper()
		if got, _ := lifetimes.Of(at, terms); got != want {
			t.Errorf("%s: %v after %v", name, got, at)
		}
	}
	one := NewLifetimes()
	one.State(10*time.Second, 20*time.Second)
	check("one", one, 11*time.Second, 2*time.Second)
	check("one", one, 30*time.Second, 20*time.Second)
	check("one", one, 31*time.Second, 2*time.Second)

	many := NewLifetimes()
	for at := range 100 {
		many.State(structs.Instant(at)*time.Second, 20*time.Second)
		many.State(structs.Instant(at)*time.Second, 5*time.Second)
	}
	check("many", many, 99*time.Second, 20*time.Second)
	check("many", many, 109*time.Second, 20*time.Second)
	check("many", many, 120*time.Second, 2*time.Second)

	close := NewLifetimes()
	for at := range 100_000 {
		close.State(structs.Instant(at)*time.Millisecond, time.Hour)
		close.State(structs.Instant(at)*time.Millisecond, time.Minute)
	}
	if count := len(close.stated); count > statedSteps+1 {
		t.Errorf("%d streams are kept", count)
	}
	check("close together", close, 100*time.Second, 100*time.Second)

	sender, other := NewLifetimes(), NewLifetimes()
	sender.State(10*time.Second, 20*time.Second)
	other.Report(11*time.Second, 10*time.Second, sender.Longest(10*time.Second))
	other.Report(12*time.Second, 12*time.Second, 0)
	check("reported", other, 29*time.Second, 20*time.Second)
	check("reported", other, 31*time.Second, 2*time.Second)
	if other.Longest(12*time.Second) != 0 {
		t.Error("what was reported is passed on")
	}
}
