package admission

import "slices"

// The shortest answers first serve the most requests, and under an excess that lasts the longest
// never. So it is counted, by route, which share of the longest tenth and of the fifth below it gets a
// place; those that fall too far behind all of their route go first until they have caught up.

const (
	// longestPart and longPart are the parts of a route's requests, the longest of them, that
	// are counted by themselves.
	longestPart = 0.1
	longPart    = 0.3
	// leastPart is the part of the share of all that is served below which a band goes first: its
	// callers are owed half.
	leastPart = 0.65
	// sizesKept is how many of the latest requests of a route tell which ones are long, and
	// sizesStep how many come between two looks at them.
	sizesKept = 200
	sizesStep = 20
	// servedWeight is the weight of one more decision in the share that is served.
	servedWeight = 0.02
)

// band is a part of a route's requests by the length of their answers.
type band int

const (
	bandUsual band = iota
	bandLong
	bandLongest
	bands
)

// sizes is what is known of the lengths of one route's answers and of who gets a place.
type sizes struct {
	// kept are the latest lengths, as a ring.
	kept []int
	next int
	// long and longest are the lengths above which an answer is of those bands; zero until they
	// are known.
	long, longest int
	// served is the share of each band that got a place, and all that of the route.
	served [bands]float64
	all    float64
}

func newSizes() *sizes {
	return &sizes{served: [bands]float64{1, 1, 1}, all: 1}
}

// note enters the length of one more answer and returns its band.
func (s *sizes) note(answer int) band {
	if answer <= 0 {
		return bandUsual
	}
	if len(s.kept) < sizesKept {
		s.kept = append(s.kept, answer)
	} else {
		s.kept[s.next%sizesKept] = answer
	}
	if s.next++; s.next%sizesStep == 0 {
		sorted := slices.Clone(s.kept)
		slices.Sort(sorted)
		s.long = sorted[int(float64(len(sorted))*(1-longPart))]
		s.longest = sorted[int(float64(len(sorted))*(1-longestPart))]
	}
	switch {
	case s.longest > 0 && answer > s.longest:
		return bandLongest
	case s.long > 0 && answer > s.long:
		return bandLong
	}
	return bandUsual
}

// decided enters whether a request of the band got a place.
func (s *sizes) decided(of band, isServed bool) {
	share := 0.0
	if isServed {
		share = 1
	}
	s.served[of] += servedWeight * (share - s.served[of])
	s.all += servedWeight * (share - s.all)
}

// isBehind returns whether requests of the band go first.
func (s *sizes) isBehind(of band) bool {
	return of != bandUsual && s.served[of] < leastPart*s.all
}

// sizesOf returns what is known of the route's lengths.
func (s *service) sizesOf(route string) *sizes {
	held, found := s.routes[route]
	if !found {
		held = newSizes()
		s.routes[route] = held
	}
	return held
}

// order is the length that the request is ordered by among equals.
func (w *waiting) order() int {
	if w.sizes.isBehind(w.band) {
		return 0
	}
	return w.Answer
}
