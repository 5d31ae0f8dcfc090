package memnet

import (
	"io"
	"os"
	"time"
)

// Sizes and times of limited links.
const (
	// pieceBytes is how much of a stream passes a link at once, so that connections
	// share the link by turns. About six segments of Ethernet; a choice of this package.
	pieceBytes = 8 << 10
	// datagramPatience is the queue ahead on a link at which a datagram is dropped, as
	// a full buffer of a router would; a choice of this package.
	datagramPatience = 200 * time.Millisecond
	bitsPerByte      = 8
)

// lane is one direction of a host's link.
type lane struct {
	bitsPerSecond float64
	// free is when everything that was given to the lane has passed.
	free time.Time
}

// queue returns for how long the lane is busy with what it was given.
func (l *lane) queue(now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	return max(l.free.Sub(now), 0)
}

// pass queues so many bytes and returns the time until they have passed.
func (l *lane) pass(now time.Time, bytes int) time.Duration {
	if l == nil {
		return 0
	}
	busy := time.Duration(float64(bytes*bitsPerByte) / l.bitsPerSecond * float64(time.Second))
	wait := l.queue(now) + busy
	l.free = now.Add(wait)
	return wait
}

// bandwidth is what is known of the hosts' links. Hosts without a lane have no limit.
type bandwidth struct {
	outgoing, incoming map[string]*lane
	sent               map[direction]int64
}

func newBandwidth() bandwidth {
	return bandwidth{outgoing: map[string]*lane{}, incoming: map[string]*lane{}, sent: map[direction]int64{}}
}

// SetBandwidth limits the link of a host to so many bits a second in each direction.
// All connections and datagrams of the host share it; what the host sends to itself
// does not pass it. Zero means no limit.
func (f *Fabric) SetBandwidth(host string, bitsPerSecond float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.bandwidth.outgoing, host)
	delete(f.bandwidth.incoming, host)
	if bitsPerSecond > 0 {
		f.bandwidth.outgoing[host] = &lane{bitsPerSecond: bitsPerSecond}
		f.bandwidth.incoming[host] = &lane{bitsPerSecond: bitsPerSecond}
	}
}

// Sent returns how many bytes the host gave to its link, in streams and datagrams and
// without headers of the network. What it sent to itself does not count.
func (f *Fabric) Sent(host string) int64 {
	return f.SentWhere(func(from, _ string) bool { return from == host })
}

// SentWhere returns how many bytes hosts sent, as Sent does, of the pairs of hosts that
// the function picks.
func (f *Fabric) SentWhere(picks func(from, to string) bool) int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	total := int64(0)
	for pair, bytes := range f.bandwidth.sent {
		if picks(pair.from, pair.to) {
			total += bytes
		}
	}
	return total
}

// limited returns whether bytes between the hosts pass a link with a limit.
func (f *Fabric) limited(from, to string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return from != to && (f.bandwidth.outgoing[from] != nil || f.bandwidth.incoming[to] != nil)
}

// passStream queues bytes of a stream on both links and returns the time until they
// have passed the slower one.
func (f *Fabric) passStream(from, to string, bytes int) time.Duration {
	if from == to {
		return 0
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	f.bandwidth.sent[direction{from, to}] += int64(bytes)
	return max(f.bandwidth.outgoing[from].pass(now, bytes), f.bandwidth.incoming[to].pass(now, bytes))
}

// admit queues a datagram and returns the time until it has passed, or false if the lane
// drops it, as too much is queued ahead.
func (l *lane) admit(now time.Time, bytes int) (time.Duration, bool) {
	if l.queue(now) > datagramPatience {
		return 0, false
	}
	return l.pass(now, bytes), true
}

// sendDatagram queues a datagram on the sender's link. It returns the time until it
// has passed, and false if it is dropped. The caller holds the mutex.
func (f *Fabric) sendDatagram(from, to string, bytes int) (time.Duration, bool) {
	if from == to {
		return 0, true
	}
	wait, admitted := f.bandwidth.outgoing[from].admit(time.Now(), bytes)
	if admitted {
		f.bandwidth.sent[direction{from, to}] += int64(bytes)
	}
	return wait, admitted
}

// receiveDatagram queues a datagram on the receiver's link, as sendDatagram does.
func (f *Fabric) receiveDatagram(from, to string, bytes int) (time.Duration, bool) {
	if from == to {
		return 0, true
	}
	return f.bandwidth.incoming[to].admit(time.Now(), bytes)
}

// writePieces writes over limited links, one piece after the other.
func (e *end) writePieces(content []byte) (int, error) {
	select {
	case e.turn <- struct{}{}:
	case <-e.deadline.done():
		return 0, os.ErrDeadlineExceeded
	case <-e.link.closed:
		return 0, io.ErrClosedPipe
	}
	defer func() { <-e.turn }()
	written := 0
	for written < len(content) {
		piece := content[written:min(written+pieceBytes, len(content))]
		if err := e.passLinks(len(piece)); err != nil {
			return written, err
		}
		count, err := e.deliver(piece)
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// passLinks waits until the bytes have passed the links of both hosts.
func (e *end) passLinks(bytes int) error {
	if err := e.ended(); err != nil {
		return err
	}
	passed := time.NewTimer(e.fabric.passStream(e.local, e.remote, bytes))
	defer passed.Stop()
	select {
	case <-passed.C:
		return nil
	case <-e.deadline.done():
	case <-e.link.closed:
	}
	return e.ended()
}

// ended returns why nothing can be written any more, or nil.
func (e *end) ended() error {
	select {
	case <-e.link.closed:
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
