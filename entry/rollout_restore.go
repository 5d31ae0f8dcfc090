package entry

import (
	"context"

	"github.com/thornwalk/thornwalk/state/rollouts"
)

// lostRollouts returns the services whose records the restored store lacks, as far as this node
// knows; nil if this node is not the active scheduler.
func (n *Node) lostRollouts() []string {
	if !n.isActiveScheduler() {
		return nil
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.rollouts.ServicesToRewrite(n.era.current)
}

// restoreRollout writes a record again that the restored store lacks or has from its backup, unless it has
// been written there since. Until then the roll-out is not stepped, as the record's position may belong to
// another value in the restored store.
func (n *Node) restoreRollout(service string) {
	ctx, cancel := context.WithTimeout(n.ctx, rolloutWriteTimeout)
	defer cancel()
	stored, readAt, err := n.dependencies.Rollouts.ReadRollout(ctx, service)
	if err != nil {
		n.counter("rollouts.reads_failed").Inc(1)
		return
	}
	n.mutex.Lock()
	now := n.now()
	record, known := n.rollouts.Record(service)
	if !n.checkEra(readAt) || !known {
		n.mutex.Unlock()
		return
	}
	if stored.Position > 0 && !stored.IsOlderThan(record) {
		n.rollouts.OverwriteRecord(now, stored, readAt)
		record, _ = n.rollouts.Record(service)
	}
	isDue := n.rollouts.NeedsRewrite(service, n.era.current)
	record.Elapsed = n.rollouts.Elapsed(now, service)
	n.mutex.Unlock()
	n.applyPolicies()
	if !isDue {
		return
	}
	record.Position = stored.Position
	written, err := n.dependencies.Rollouts.WriteRollout(ctx, record)
	if err != nil {
		n.counter("rollouts.writes_failed").Inc(1)
		return // read again in the next round
	}
	n.counter("rollouts.restored").Inc(1)
	record.Position = written
	n.applyRollouts(nil, []rollouts.Record{record}, 0)
}
