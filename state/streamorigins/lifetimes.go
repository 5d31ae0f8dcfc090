package streamorigins

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

const (
	// maxStatedTime bounds the time of a caller that counts.
	maxStatedTime = time.Hour
	// statedSteps is the number of entries that are kept for the time of a caller.
	statedSteps = 64
	// maxReportDelay is the time from the begin of a stream to the first report of it.
	maxReportDelay = time.Second
)

// Lifetimes knows how long ago the streams may have begun that callers resume: longer than their routes suggest if the callers
// have more time. The zero value knows of no such callers. It is not safe for concurrent use.
type Lifetimes struct {
	// stated are streams of this node whose callers have more time than their routes suggest, and reported those of other
	// nodes.
	stated, reported longStreams
}

// Of returns how long ago a stream of a route with the timeout may have begun that is resumed now.
func (l *Lifetimes) Of(now structs.Instant, timeout time.Duration) time.Duration {
	return max(StreamLifetime(timeout), l.stated.age(now), l.reported.age(now))
}

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
