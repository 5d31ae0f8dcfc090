package eventlog

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the sampling of requests that succeeded.
const (
	// maxLinesPerSecond is the rate of lines above which such requests are sampled.
	maxLinesPerSecond = 400
	// fullShare is the share at which every request is kept; shares are in thousandths.
	fullShare = 1000
	// minShare is the share that is always kept.
	minShare = 5
)

// sampler selects the successful requests whose lines are written. The selection depends on the
// request's ID only, so that nodes with the same share select the same requests and all lines of a
// request are kept or none.
type sampler struct {
	offered atomic.Int64
	leftOut atomic.Int64
	share   atomic.Int64
}

// Keep reports whether the lines of a successful request are to be written. Lines of other requests
// are always written.
func (l *Log) Keep(request string) bool {
	return int64(xxhash.Sum64String(request)%fullShare) < l.sampler.share.Load()
}

// LeftOut counts lines that were not written because their request was not selected.
func (l *Log) LeftOut(lines int) {
	l.sampler.offered.Add(int64(lines))
	l.sampler.leftOut.Add(int64(lines))
}

// adjust sets the share by the number of lines since the last call, one second ago, and returns how
// many of them were left out.
func (s *sampler) adjust() int64 {
	share := int64(fullShare)
	if offered := s.offered.Swap(0); offered > maxLinesPerSecond {
		share = max(minShare, fullShare*maxLinesPerSecond/offered)
	}
	s.share.Store(share)
	return s.leftOut.Swap(0)
}
