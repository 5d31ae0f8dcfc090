package admission

import "slices"

// Requests name the replicas that their nodes find failing. Hundreds wait while a quarter
// of 700 replicas is down, and a round comes every 2 ms: searched by name for each request
// and replica a round took up to 290 ms. So requests of one node share one list for as long
// as it is the same; its replicas are looked up once, and a round goes through each list
// once.

// doubtList names the replicas that a node finds failing, sorted.
type doubtList struct {
	ids []string
	// states are those of the replicas that were known when the scheduler's states had
	// changed so many times.
	states  []*replicaState
	changes int
}

// shareDoubt returns the list of the request, the one of the node's last request if it is
// the same, or nil if it is empty.
func (s *Scheduler) shareDoubt(request *Request) *doubtList {
	if len(request.Doubted) == 0 {
		return nil
	}
	// A replica may be named twice: as failing, and as one of a zone that is cut off.
	slices.Sort(request.Doubted)
	request.Doubted = slices.Compact(request.Doubted)
	last := s.doubts[request.Node]
	if last == nil || !slices.Equal(last.ids, request.Doubted) {
		last = &doubtList{ids: request.Doubted, changes: -1}
		s.doubts[request.Node] = last
	}
	return last
}

// lookUp finds the states of the list's replicas if these may have changed.
func (s *Scheduler) lookUp(doubt *doubtList) []*replicaState {
	if doubt.changes == s.changes {
		return doubt.states
	}
	doubt.states, doubt.changes = doubt.states[:0], s.changes
	for _, id := range doubt.ids {
		if state, known := s.states[id]; known {
			doubt.states = append(doubt.states, state)
		}
	}
	return doubt.states
}

// trust says which replicas of a room the requests with one list trust: those that nothing
// speaks against.
type trust struct {
	// states are those of the list.
	states []*replicaState
	// free counts the free places at trusted replicas, and trusted these replicas.
	free, trusted int
	// marks is by the number of the option; it is made when it is asked for.
	marks []bool
}

// trustOf returns what requests with the list trust. It holds until the next round.
func (s *Scheduler) trustOf(room *room, doubt *doubtList) *trust {
	if known, found := room.views[doubt]; found {
		return known
	}
	view := &trust{free: room.free, trusted: room.undoubted}
	if doubt != nil {
		view.states = s.lookUp(doubt)
	}
	for _, state := range view.states {
		if choice := room.optionOf(state); choice != nil && !choice.doubted {
			view.trusted--
			view.free -= max(0, choice.places-choice.used)
		}
	}
	room.views[doubt] = view
	return view
}

// optionOf returns the replica's option, or nil if the room has none for it.
func (r *room) optionOf(state *replicaState) *option {
	if state.number < len(r.options) && r.options[state.number].state == state {
		return r.options[state.number]
	}
	return nil
}

// trusts returns whether nothing speaks against sending a request to the option.
func (r *room) trusts(view *trust, choice *option) bool {
	if choice.doubted {
		return false
	}
	if len(view.states) == 0 {
		return true
	}
	if view.marks == nil {
		view.marks = make([]bool, len(r.options))
		for _, state := range view.states {
			if doubted := r.optionOf(state); doubted != nil {
				view.marks[doubted.number] = true
			}
		}
	}
	return !view.marks[choice.number]
}

// taken enters that a place at the option was given.
func (r *room) taken(choice *option) {
	if choice.doubted {
		return
	}
	r.free--
	if choice.isLimited {
		r.banked--
	}
	for _, view := range r.views {
		if r.trusts(view, choice) {
			view.free--
		}
	}
}

// noneFree returns whether surely no trusted place is free for a request that doubts so
// many replicas: in an overload nearly all that wait are looked at in vain.
func (r *room) noneFree(doubted int) bool { return r.free <= 0 && r.undoubted > doubted }
