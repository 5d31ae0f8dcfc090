package incarnations

import "github.com/thornwalk/thornwalk/structs"

// row is a time covered by connections without a break: each was opened less than minReplacementTime after one that came
// before was alive, so that one process was at the other end of all of them. It ran from since until until.
type row struct{ since, until structs.Instant }

// extend returns the row with a connection that was alive at an instant after its opening. A connection after a break begins
// another row, and one before the row has no effect.
func (r row) extend(openedAt, aliveAt structs.Instant) row {
	switch {
	case openedAt > r.until+minReplacementTime:
		return row{since: openedAt, until: aliveAt}
	case aliveAt+minReplacementTime < r.since:
		return r
	}
	return row{since: min(r.since, openedAt), until: max(r.until, aliveAt)}
}

// extendRow records that the connection was alive at the instant, wherever it leads.
func (t *Tracker) extendRow(at structs.Instant, connection Connection) {
	if at < connection.OpenedAt {
		return
	}
	known, found := t.rows[connection.Incarnation]
	if !found {
		known = row{since: connection.OpenedAt, until: at}
	}
	t.rows[connection.Incarnation] = known.extend(connection.OpenedAt, at)
}

// provenRow returns the latest row of connections for the incarnation if it leads to it: no successor had started when the
// row began, or the process was the incarnation at a later instant of the row. isListed is as for Verdict.
func (t *Tracker) provenRow(incarnation Incarnation, isListed bool) (row, bool) {
	known, found := t.rows[incarnation]
	if !found {
		return row{}, false
	}
	if isListed && t.hasCover && known.since <= t.coversUntil {
		return known, true
	}
	confirmed := t.known[incarnation]
	return known, confirmed.proof != ProofNone && known.since <= confirmed.confirmedAt && confirmed.confirmedAt <= known.until
}
