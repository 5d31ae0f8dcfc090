package entry

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/streamorigins"
	"github.com/thornwalk/thornwalk/structs"
)

// All nodes may end at the same moment, with all records of origins. While replicas of several versions of a service serve,
// the scheduling node writes the origins of its streams to the store, in batches, and a node that finds no record elsewhere
// reads them. An origin that is missing there refuses the stream; none is ever waited for.

const (
	// originArchiveInterval is the time between two batches. Origins of streams that began within it are lost.
	originArchiveInterval = time.Second
	// A lease of originLeaseTTL keeps the batches of originLeaseTime, so that each is kept for longer than
	// streamorigins.RefreshInterval and Retention.
	originLeaseTime = 30 * time.Second
	originLeaseTTL  = 2 * time.Minute
	// maxArchiveAge is the age from which on a batch does not count, as one from a copy of the store. Times of day of
	// machines differ.
	maxArchiveAge = 2 * originLeaseTTL
	// maxArchiveBacklog bounds the records that wait for the store.
	maxArchiveBacklog = 4096
	// originArchiveTimeout bounds the calls for one batch, and a read.
	originArchiveTimeout = 800 * time.Millisecond
	// archiveReadInterval is the least time between two reads, and archiveIdleInterval that after a read which brought
	// nothing new.
	archiveReadInterval = time.Second
	archiveIdleInterval = 10 * time.Second
)

// originArchive is this node's part in keeping origins in the store. The node's mutex guards it.
type originArchive struct {
	// backlog has the records that are not written, and dropped counts those that were dropped from it.
	backlog []streamorigins.Record
	dropped int64
	// readEnded is closed when the read that is under way ends; nil if none is. The next one may begin at nextReadAt.
	readEnded  chan struct{}
	nextReadAt structs.Instant
	// wasUsed is true once a read brought an origin that this process did not know.
	wasUsed bool
}

// archiveOriginLocked adds the record to the backlog if this node writes origins to the store and the service has several versions.
func (n *Node) archiveOriginLocked(record streamorigins.Record) {
	if n.dependencies.StreamOrigins == nil || record.Origin.Version == "" || n.scheduler != n.settings.Load().Name || !n.hasSeveralVersionsLocked(record.Origin.Service) {
		return
	}
	archive := &n.originArchive
	if len(archive.backlog) == maxArchiveBacklog {
		archive.backlog = archive.backlog[1:]
		archive.dropped++
	}
	archive.backlog = append(archive.backlog, record)
}

// hasSeveralVersionsLocked reports whether the service had replicas of several versions lately.
func (n *Node) hasSeveralVersionsLocked(service string) bool {
	return n.versionHistory.HasSeveralVersions(n.now(), service, streamorigins.Retention)
}

// originWriter writes the batches of one process.
type originWriter struct {
	node *Node
	// lease is zero if there is none. It was granted at leasedAt.
	lease    outside.LeaseID
	leasedAt structs.Instant
	// count is the number of batches begun, and underway the records of the last one if it may not be written.
	count    int
	underway []streamorigins.Record
}

// originArchiveLoop writes the origins that the scheduling node hears of.
func (n *Node) originArchiveLoop() {
	if n.dependencies.StreamOrigins == nil {
		return
	}
	writer := originWriter{node: n}
	for n.sleep(originArchiveInterval) {
		writer.writeNext()
	}
}

// writeNext writes the backlog. A batch whose outcome is unknown is written again under the same name, so that it is written
// once.
func (w *originWriter) writeNext() {
	n := w.node
	n.mutex.Lock()
	isStoreDown := n.isStoreDown
	if len(w.underway) == 0 && !isStoreDown && len(n.originArchive.backlog) > 0 {
		w.underway, n.originArchive.backlog = n.originArchive.backlog, nil
		w.count++
	}
	n.mutex.Unlock()
	if isStoreDown || len(w.underway) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, originArchiveTimeout)
	defer cancel()
	err := w.write(ctx)
	if err == nil {
		n.counter("streams.archive_writes").Inc(1)
		w.underway = nil
		return
	}
	n.counter("streams.archive_writes_failed").Inc(1)
	if !errors.Is(err, errkind.StoreUnknown) {
		w.lease = 0 // it may be over
	}
}

func (w *originWriter) write(ctx context.Context) error {
	n := w.node
	if now := n.now(); w.lease == 0 || now-w.leasedAt >= originLeaseTime {
		lease, err := n.dependencies.StreamOrigins.GrantLease(ctx, originLeaseTTL)
		if err != nil {
			return err
		}
		w.lease, w.leasedAt = lease, now
	}
	batch := streamorigins.BatchOf(time.Now().UnixMilli(), w.underway)
	return n.dependencies.StreamOrigins.WriteStreamOrigins(ctx, n.process()+"/"+strconv.Itoa(w.count), batch, w.lease)
}

// findArchivedOrigin looks for the stream's origin in the store, for a service that had several versions lately. It may wait
// for a read.
func (c *call) findArchivedOrigin(key streamorigins.Key) streamorigins.Finding {
	n := c.node
	if n.dependencies.StreamOrigins == nil || !c.hasSeveralVersions() {
		return streamorigins.Finding{}
	}
	n.readOriginArchive(c.ctx)
	origin, knowledge := n.knownOrigin(key)
	if knowledge == streamorigins.Known {
		n.counter("streams.archive_found").Inc(1)
	}
	return streamorigins.Finding{Origin: origin, Knowledge: knowledge}
}

// hasSeveralVersions reports whether a service to which the route leads had replicas of several versions lately.
func (c *call) hasSeveralVersions() bool {
	c.node.mutex.Lock()
	defer c.node.mutex.Unlock()
	for _, service := range c.route.Services() {
		if c.node.hasSeveralVersionsLocked(service) {
			return true
		}
	}
	return false
}

// readOriginArchive reads the origins in the store if that is due, or waits for the read that is under way.
func (n *Node) readOriginArchive(ctx context.Context) {
	n.mutex.Lock()
	archive := &n.originArchive
	if underway := archive.readEnded; underway != nil {
		n.mutex.Unlock()
		select {
		case <-underway:
		case <-ctx.Done():
		}
		return
	}
	if n.isStoreDown || n.now() < max(archive.nextReadAt, minArchiveReadAge) {
		n.mutex.Unlock()
		return
	}
	ended := make(chan struct{})
	archive.readEnded = ended
	n.mutex.Unlock()

	readContext, cancel := context.WithTimeout(n.ctx, originArchiveTimeout)
	defer cancel()
	batches, err := n.dependencies.StreamOrigins.ReadStreamOrigins(readContext)
	n.counter("streams.archive_reads").Inc(1)
	if err != nil {
		n.counter("streams.archive_reads_failed").Inc(1)
	}
	n.mutex.Lock()
	isAnyNew := n.applyArchiveLocked(batches)
	archive.wasUsed = archive.wasUsed || isAnyNew
	archive.nextReadAt = n.now() + archiveIdleInterval
	if isAnyNew || err != nil {
		archive.nextReadAt = n.now() + archiveReadInterval
	}
	archive.readEnded = nil
	n.mutex.Unlock()
	close(ended)
}

// applyArchiveLocked adds what the batches say to the known origins. It reports whether any stream was unknown.
func (n *Node) applyArchiveLocked(batches []streamorigins.Batch) bool {
	now, isAnyNew := time.Now().UnixMilli(), false
	for _, batch := range batches {
		if age := time.Duration(now-batch.WrittenAt) * time.Millisecond; age > maxArchiveAge || age < -maxArchiveAge {
			continue
		}
		for _, record := range batch.Records() {
			if n.streamOrigins.Put(n.now(), record) {
				isAnyNew = true
				n.observeArchivedLocked(record.Origin.Service)
			}
		}
	}
	return isAnyNew
}

// observeArchivedLocked records that origins of the service were found in the store only. If no node ran until lately, replicas
// may have been replaced unseen.
func (n *Node) observeArchivedLocked(service string) {
	if n.wasUnattendedLocked() {
		n.identities.churn.Observe(n.attendedSince, service)
	}
}

// wasUnattendedLocked reports whether, as far as this node knows, no node ran until lately.
func (n *Node) wasUnattendedLocked() bool { return n.now()-n.attendedSince < minAttendedTime }

const (
	// minAttendedTime is the time after which the store lists what was replaced while no node ran: that for an entry to be
	// written, and a margin for the store's delays.
	minAttendedTime = 2 * incarnations.EntryDelay
	// minAttendanceAge is the age of this process from which on it takes part in what its peers say: what it hears before may have
	// been sent before all of them ended.
	minAttendanceAge = 300 * time.Millisecond
	// minArchiveReadAge is the age of this process from which on it has heard of its peers.
	minArchiveReadAge = 2 * minAttendanceAge
)

// observeAttended records for how long at least one node had run as a peer sent a heartbeat. The caller holds the mutex.
func (n *Node) observeAttended(now, sentAt structs.Instant, attendedMS int64) {
	if attendedMS > 0 && now >= minAttendanceAge {
		n.attendedSince = min(n.attendedSince, sentAt-time.Duration(attendedMS)*time.Millisecond)
	}
}
