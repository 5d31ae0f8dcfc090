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
