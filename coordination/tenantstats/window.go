package tenantstats

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

const (
	// Window is the time over which use and the longest wait are computed. It is as long as some
	// responses take, and short enough to show the present.
	Window = 10 * time.Second
	// bucketTime is the length of one bucket of a window. There is one bucket more than fit into the
	// window, since the newest one is only partly past.
	bucketTime  = time.Second
	bucketCount = int64(Window/bucketTime) + 1
)

// window holds slot seconds and the longest wait of the last time, in buckets.
type window struct {
	// newest is the number of the newest bucket since time zero.
	newest int64
	used   [bucketCount]float64
	waits  [bucketCount]time.Duration
}

// roll clears the buckets that are reused for the time up to now.
func (w *window) roll(now structs.Instant) {
	current := int64(now / bucketTime)
	for number := max(w.newest+1, current-bucketCount+1); number <= current; number++ {
		w.used[number%bucketCount], w.waits[number%bucketCount] = 0, 0
	}
	w.newest = max(w.newest, current)
}

// add adds the slot time of a number of requests that ran from one time to another.
func (w *window) add(from, to structs.Instant, running int) {
	w.roll(to)
	if running <= 0 {
		return
	}
	from = max(from, structs.Instant(max(w.newest-bucketCount+1, 0))*bucketTime)
	for from < to {
		number := int64(from / bucketTime)
		end := min(structs.Instant(number+1)*bucketTime, to)
		w.used[number%bucketCount] += float64(running) * (end - from).Seconds()
		from = end
	}
}

// total returns the slot seconds within the window. Time in the oldest bucket counts as far as the
// bucket lies in the window.
func (w *window) total(now structs.Instant) float64 {
	w.roll(now)
	sum := 0.0
	for _, used := range w.used {
		sum += used
	}
	oldest := w.used[(w.newest+1)%bucketCount]
	past := float64(now%bucketTime) / float64(bucketTime)
	return max(sum-oldest*past, 0)
}

// longestWait returns the longest wait in the newest bucket, to be raised.
func (w *window) longestWait(now structs.Instant) *time.Duration {
	w.roll(now)
	return &w.waits[w.newest%bucketCount]
}

// maxWait returns the longest wait of the window.
func (w *window) maxWait(now structs.Instant) time.Duration {
	w.roll(now)
	longest := time.Duration(0)
	for _, wait := range w.waits {
		longest = max(longest, wait)
	}
	return longest
}

// merge adds the buckets of another window.
func (w *window) merge(now structs.Instant, other *window) {
	w.roll(now)
	other.roll(now)
	for i := range w.used {
		w.used[i] += other.used[i]
		w.waits[i] = max(w.waits[i], other.waits[i])
	}
}
