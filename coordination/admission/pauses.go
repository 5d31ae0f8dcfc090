package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/structs"
)

// A replica that turns a request away may ask the node that sent it to pause. Other nodes may go on.

// asker is a node that asks for places at a service.
type asker struct{ node, service string }

// pauses has, by replica, until when an asker sends nothing there.
type pauses map[string]structs.Instant

// SetPauses replaces the pauses of a node at the replicas of a service.
func (s *Scheduler) SetPauses(now structs.Instant, node, service string, notes []pushback.Report) {
	who := asker{node, service}
	delete(s.pauses, who)
	for _, note := range notes {
		if note.Pause > 0 {
			s.pause(who, note.Life.Replica, now+note.Pause)
		}
	}
}

// pause begins one pause of an asker.
func (s *Scheduler) pause(who asker, replica string, until structs.Instant) {
	if s.pauses[who] == nil {
		s.pauses[who] = pauses{}
	}
	s.pauses[who][replica] = until
}

// dropPauses forgets the pauses of a node that ended.
func (s *Scheduler) dropPauses(node string) {
	for who := range s.pauses {
		if who.node == node {
			delete(s.pauses, who)
		}
	}
}

// hold returns whether nothing is to be sent to the replica now.
func (p pauses) hold(now structs.Instant, replica string) bool { return now < p[replica] }

// soonest returns the time until the first of the options may be sent to again.
func (p pauses) soonest(now structs.Instant, options []*option) time.Duration {
	shortest := maximumRetry
	for _, choice := range options {
		if left := p[choice.state.replica.ID] - now; left > 0 {
			shortest = min(shortest, left)
		}
	}
	return shortest
}
