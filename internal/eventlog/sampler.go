package eventlog

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the lines of requests that went well.
const (
	// linesASecond is the rate of lines above which such requests are sampled.
	linesASecond = 400
	// wholeShare is the share, in thousandths, at which every request is kept.
	wholeShare = 1000
	// leastShare is the least share that is kept however many lines there are.
	leastShare = 5
)

// sampler decides which requests that went well are told. It goes by the
// request's id, so that all lines of a request are kept or none, on every node
// that keeps as many.
type sampler struct {
	offered atomic.Int64
	left    atomic.Int64
	share   atomic.Int64
}

// Keep returns whether the lines of a request that went well are to be written.
// Those of all others always are.
func (l *Log) Keep(request string) bool {
	return int64(xxhash.Sum64String(request)%wholeShare) < l.sampler.share.Load()
}

// LeftOut counts lines that were not written as their request was not kept.
func (l *Log) LeftOut(lines int) {
	l.sampler.offered.Add(int64(lines))
	l.sampler.left.Add(int64(lines))
}

// adjust sets the share for the next second by the lines of the last one, and
// returns how many lines were left out.
func (s *sampler) adjust() int64 {
	share := int64(wholeShare)
	if offered := s.offered.Swap(0); offered > linesASecond {
		share = max(leastShare, wholeShare*linesASecond/offered)
	}
	s.share.Store(share)
	return s.left.Swap(0)
}
