package memnet

import (
	"io"
	"os"
	"time"
)

// Sizes and times of limited links.
const (
	// chunkBytes is the size of the chunks of a stream on a limited link. Connections
	// that share a link take turns after each chunk.
	chunkBytes = 8 << 10
	// maxDatagramQueueDelay is the queueing delay of a link above which datagrams are
	// dropped, as by a router with a full buffer.
	maxDatagramQueueDelay = 200 * time.Millisecond
	bitsPerByte           = 8
)

// linkQueue is one direction of a host's link. A nil linkQueue has no limit. The caller
// of its methods holds the fabric's mutex.
type linkQueue struct {
	bitsPerSecond float64
	// freeAt is the time at which all queued bytes have been transmitted.
	freeAt time.Time
}

// delay returns the time until all queued bytes have been transmitted.
func (l *linkQueue) delay(now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	return max(l.freeAt.Sub(now), 0)
}

// enqueue queues bytes and returns the time until they have been transmitted.
func (l *linkQueue) enqueue(now time.Time, bytes int) time.Duration {
	if l == nil {
		return 0
	}
	transmission := time.Duration(float64(bytes*bitsPerByte) / l.bitsPerSecond * float64(time.Second))
	delay := l.delay(now) + transmission
	l.freeAt = now.Add(delay)
	return delay
}

// hostLinks holds the limited links and the counters of sent bytes. Hosts without an
// entry in outgoing or incoming have no limit in that direction.
type hostLinks struct {
	outgoing, incoming map[string]*linkQueue
	sent               map[hostPair]int64
}

func newHostLinks() hostLinks {
	return hostLinks{outgoing: map[string]*linkQueue{}, incoming: map[string]*linkQueue{}, sent: map[hostPair]int64{}}
}

// SetBandwidth limits the link of a host to bitsPerSecond in each direction. All
// connections and datagrams of the host share the link, except traffic to itself. Zero
// means no limit.
func (f *Fabric) SetBandwidth(host string, bitsPerSecond float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.hostLinks.outgoing, host)
	delete(f.hostLinks.incoming, host)
	if bitsPerSecond > 0 {
		f.hostLinks.outgoing[host] = &linkQueue{bitsPerSecond: bitsPerSecond}
		f.hostLinks.incoming[host] = &linkQueue{bitsPerSecond: bitsPerSecond}
	}
}

// SentBytes returns the number of payload bytes that the host sent to other hosts in streams
// and datagrams.
func (f *Fabric) SentBytes(host string) int64 {
	return f.SentBytesWhere(func(from, _ string) bool { return from == host })
}

// SentBytesWhere returns the number of payload bytes sent between all pairs of distinct hosts
// for which matches returns true.
func (f *Fabric) SentBytesWhere(matches func(from, to string) bool) int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	total := int64(0)
	for pair, bytes := range f.hostLinks.sent {
		if matches(pair.from, pair.to) {
			total += bytes
		}
	}
	return total
}

// isLimited reports whether traffic between the hosts passes a link with a limit.
func (f *Fabric) isLimited(from, to string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return from != to && (f.hostLinks.outgoing[from] != nil || f.hostLinks.incoming[to] != nil)
}

// enqueueStream queues bytes of a stream on the links of both hosts and returns the
// time until the slower link has transmitted them.
func (f *Fabric) enqueueStream(from, to string, bytes int) time.Duration {
	if from == to {
		return 0
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	f.hostLinks.sent[hostPair{from, to}] += int64(bytes)
	return max(f.hostLinks.outgoing[from].enqueue(now, bytes), f.hostLinks.incoming[to].enqueue(now, bytes))
}

// tryEnqueue queues a datagram and returns the time until it has been transmitted. It
// returns false if the datagram is dropped because the queue is too long.
func (l *linkQueue) tryEnqueue(now time.Time, bytes int) (time.Duration, bool) {
	if l.delay(now) > maxDatagramQueueDelay {
		return 0, false
	}
	return l.enqueue(now, bytes), true
}

// sendDatagram queues a datagram on the sender's link. It returns the time until the
// datagram has been transmitted, or false if it is dropped. The caller holds the mutex.
func (f *Fabric) sendDatagram(from, to string, bytes int) (time.Duration, bool) {
	if from == to {
		return 0, true
	}
	delay, queued := f.hostLinks.outgoing[from].tryEnqueue(time.Now(), bytes)
	if queued {
		f.hostLinks.sent[hostPair{from, to}] += int64(bytes)
	}
	return delay, queued
}

// receiveDatagram queues a datagram on the receiver's link, as sendDatagram does.
func (f *Fabric) receiveDatagram(from, to string, bytes int) (time.Duration, bool) {
	if from == to {
		return 0, true
	}
	return f.hostLinks.incoming[to].tryEnqueue(time.Now(), bytes)
}

// writeChunks writes over limited links, one chunk after the other. Concurrent writes
// of the same endpoint take turns.
func (e *endpoint) writeChunks(content []byte) (int, error) {
	select {
	case e.writeSlot <- struct{}{}:
	case <-e.deadline.done():
		return 0, os.ErrDeadlineExceeded
	case <-e.connection.closed:
		return 0, io.ErrClosedPipe
	}
	defer func() { <-e.writeSlot }()
	written := 0
	for written < len(content) {
		chunk := content[written:min(written+chunkBytes, len(content))]
		if err := e.waitForLinks(len(chunk)); err != nil {
			return written, err
		}
		count, err := e.deliver(chunk)
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// waitForLinks waits until the links of both hosts have transmitted the bytes. It
// returns early with an error if the connection is closed or the write deadline passes.
func (e *endpoint) waitForLinks(bytes int) error {
	if err := e.closeError(); err != nil {
		return err
	}
	transmitted := time.NewTimer(e.fabric.enqueueStream(e.local, e.remote, bytes))
	defer transmitted.Stop()
	select {
	case <-transmitted.C:
		return nil
	case <-e.deadline.done():
	case <-e.connection.closed:
	}
	return e.closeError()
}

// closeError returns the error of further writes, or nil if writing is still possible.
func (e *endpoint) closeError() error {
	select {
	case <-e.connection.closed:
		return io.ErrClosedPipe
	default:
	}
	select {
	case <-e.deadline.done():
		return os.ErrDeadlineExceeded
	default:
		return nil
	}
}
