package admission

import "slices"

// Requests list the replicas that their nodes suspect. Searching these lists by ID for each of a
// thousand queued requests would dominate a round of decisions, so requests of one node share a list
// while it stays the same, and a round looks its replicas up once. Without that a round took up to 290 ms with a quarter of 700 replicas down.

// suspectList holds the replicas that a node suspects of failing.
type suspectList struct {
	// ids is sorted and has no duplicates.
	ids []string
	// states holds the states of the replicas in ids that were known at replicaSetVersion.
	states            []*replicaState
	replicaSetVersion int
}

// shareSuspects returns the list of the request's suspected replicas, or nil if there are none. It
// returns the list of the node's last request if that is equal. It sorts request.Doubted.
func (s *Scheduler) shareSuspects(request *Request) *suspectList {
	if len(request.Doubted) == 0 {
		return nil
	}
	// A replica may be listed twice: as failing and as one of an unreachable zone.
	slices.Sort(request.Doubted)
	request.Doubted = slices.Compact(request.Doubted)
	list := s.suspectsByNode[request.Node]
	if list == nil || !slices.Equal(list.ids, request.Doubted) {
		list = &suspectList{ids: request.Doubted, replicaSetVersion: -1}
		s.suspectsByNode[request.Node] = list
	}
	return list
}

// resolveSuspects returns the states of the list's known replicas, from its cache if no replica was
// added or removed since.
func (s *Scheduler) resolveSuspects(list *suspectList) []*replicaState {
	if list.replicaSetVersion == s.replicaSetVersion {
		return list.states
	}
	list.states, list.replicaSetVersion = list.states[:0], s.replicaSetVersion
	for _, id := range list.ids {
		if state, known := s.replicaStates[id]; known {
			list.states = append(list.states, state)
		}
	}
	return list.states
}

// suspectView is a pool snapshot as requests with one suspect list see it. They prefer replicas that
// are healthy and not on the list.
type suspectView struct {
	suspected []*replicaState
	// freeSlots counts the free slots at preferred replicas.
	freeSlots, preferredReplicas int
	// isSuspected is indexed by replicaSnapshot.index; it is nil until it is first needed.
	isSuspected []bool
}

// suspectView returns the view of requests with the list, which may be nil. It is valid for as long
// as the snapshot.
func (s *Scheduler) suspectView(snapshot *poolSnapshot, list *suspectList) *suspectView {
	if view, found := snapshot.suspectViews[list]; found {
		return view
	}
	view := &suspectView{freeSlots: snapshot.freeSlots, preferredReplicas: snapshot.healthyReplicas}
	if list != nil {
		view.suspected = s.resolveSuspects(list)
	}
	for _, state := range view.suspected {
		if replica := snapshot.find(state); replica != nil && !replica.isUnhealthy {
			view.preferredReplicas--
			view.freeSlots -= max(0, replica.maxInFlight-replica.inFlight)
		}
	}
	snapshot.suspectViews[list] = view
	return view
}

// find returns the replica with the state, or nil if the snapshot does not have it.
func (p *poolSnapshot) find(state *replicaState) *replicaSnapshot {
	if state.index < len(p.replicas) && p.replicas[state.index].state == state {
		return p.replicas[state.index]
	}
	return nil
}

// isPreferred reports whether the replica is healthy and not suspected in the view.
func (p *poolSnapshot) isPreferred(view *suspectView, replica *replicaSnapshot) bool {
	if replica.isUnhealthy {
		return false
	}
	if len(view.suspected) == 0 {
		return true
	}
	if replica.isBudgeted {
		return !slices.Contains(view.suspected, replica.state)
	}
	if view.isSuspected == nil {
		view.isSuspected = make([]bool, len(p.replicas))
		for _, state := range view.suspected {
			if suspected := p.find(state); suspected != nil {
				view.isSuspected[suspected.index] = true
			}
		}
	}
	return !view.isSuspected[replica.index]
}

// updateCounts updates the counts of the snapshot and its views after a request was assigned to the
// replica.
func (p *poolSnapshot) updateCounts(replica *replicaSnapshot) {
	if replica.isUnhealthy || replica.isBudgeted {
		return
	}
	p.freeSlots--
	if replica.isLimited {
		p.limitedTokens--
	}
	for _, view := range p.suspectViews {
		if p.isPreferred(view, replica) {
			view.freeSlots--
		}
	}
}

// hasNoPreferredSlot reports whether certainly no preferred replica has a free slot, for a request
// with that many suspected replicas. It is a cheap check for overload, where most queued requests
// can't be assigned; false means that it is not known.
func (p *poolSnapshot) hasNoPreferredSlot(suspects int) bool {
	return p.freeSlots <= 0 && p.healthyReplicas > suspects
}
