package admission

import "slices"

// Serving the shortest answers first serves the most requests, but under lasting overload the longest
// would never be served. So the served share is tracked for the long bands of each route, and requests
// of a band that falls too far behind its route go first until it has caught up.

const (
	// longestShare is the share of a route's requests in bandLongest, and longShare the share in
	// bandLong and bandLongest together.
	longestShare = 0.1
	longShare    = 0.3
	// minServedRatio is the ratio of a band's served share to the route's below which the band goes
	// first.
	minServedRatio = 0.65
	// minFeasibleServedRatio is that with Policy.FeasibleOrder, which rejects requests early: a long one has
	// fewer rounds in which it goes first, so that its share falls further before it catches up.
	minFeasibleServedRatio = 0.8
	// maxRecentLengths is the number of requests from which the bands are computed, and
	// thresholdInterval the number of requests between two computations.
	maxRecentLengths  = 200
	thresholdInterval = 20
	// servedShareWeight is the weight of a new decision in the served shares.
	servedShareWeight = 0.02
)

// lengthBand classifies the requests of a route by the expected length of their answers.
type lengthBand int

const (
	bandUsual lengthBand = iota
	bandLong
	bandLongest
	bandCount
)

// responseLengths holds the recent lengths of one route's answers and the served share of each band.
type responseLengths struct {
	// recent is a ring buffer of the latest lengths in tokens, and recorded counts all of them.
	recent   []int
	recorded int
	// Answers above these lengths are in the long or the longest band; zero until computed.
	longThreshold, longestThreshold int
	// servedShare and totalServedShare are the smoothed shares of decided requests that were assigned.
	servedShare      [bandCount]float64
	totalServedShare float64
}

func newResponseLengths() *responseLengths {
	return &responseLengths{servedShare: [bandCount]float64{1, 1, 1}, totalServedShare: 1}
}

// record adds the expected length of an answer and returns its band. Lengths of zero are ignored.
func (l *responseLengths) record(answerTokens int) lengthBand {
	if answerTokens <= 0 {
		return bandUsual
	}
	if len(l.recent) < maxRecentLengths {
		l.recent = append(l.recent, answerTokens)
	} else {
		l.recent[l.recorded%maxRecentLengths] = answerTokens
	}
	if l.recorded++; l.recorded%thresholdInterval == 0 {
		sorted := slices.Clone(l.recent)
		slices.Sort(sorted)
		l.longThreshold = sorted[int(float64(len(sorted))*(1-longShare))]
		l.longestThreshold = sorted[int(float64(len(sorted))*(1-longestShare))]
	}
	switch {
	case l.longestThreshold > 0 && answerTokens > l.longestThreshold:
		return bandLongest
	case l.longThreshold > 0 && answerTokens > l.longThreshold:
		return bandLong
	}
	return bandUsual
}

// recordDecision records whether a request of the band was assigned or rejected.
func (l *responseLengths) recordDecision(band lengthBand, assigned bool) {
	share := 0.0
	if assigned {
		share = 1
	}
	l.servedShare[band] += servedShareWeight * (share - l.servedShare[band])
	l.totalServedShare += servedShareWeight * (share - l.totalServedShare)
}

// isUnderserved reports whether requests of the band go first, by the ratio of its served share to the
// route's.
func (l *responseLengths) isUnderserved(band lengthBand, minRatio float64) bool {
	return band != bandUsual && l.servedShare[band] < minRatio*l.totalServedShare
}

// lengthsOf returns the response lengths of the route, and creates them if needed.
func (p *servicePool) lengthsOf(route string) *responseLengths {
	lengths, found := p.lengthsByRoute[route]
	if !found {
		lengths = newResponseLengths()
		p.lengthsByRoute[route] = lengths
	}
	return lengths
}

// effectiveLength returns the answer length to sort the request by: zero if its band is underserved.
func (r *queuedRequest) effectiveLength(minRatio float64) int {
	if r.lengths.isUnderserved(r.band, minRatio) {
		return 0
	}
	return r.AnswerTokens
}
