package liveness

import (
	"cmp"
	"slices"

	"github.com/thornwalk/thornwalk/structs"
)

// Traffic between zones is costly. With relays, a node sends one heartbeat to each large zone,
// whatever its size; a relay there sends it to the nodes of its zone and confirms that. With 295 nodes in five
// zones each node sent 236 heartbeats to other zones in a round before, and 1.7 GB crossed zones in 57 s, with
// relays 0.5 GB.
const (
	// minZoneNodesForRelay is the minimum number of live nodes in a zone for using a relay: in
	// smaller zones relays save little, and a lost relay affects a large share of the nodes.
	minZoneNodesForRelay = 8
	// relayCandidateCount is the number of nodes that a heartbeat is sent to for relaying while
	// there is no confirmed relay.
	relayCandidateCount = 3
	// A heartbeat to all nodes of a zone takes broadcastCost of the credit that grows by one with each
	// heartbeat. broadcastCost is less than missedHeartbeats, so that no more heartbeats in a row are
	// missed than that. The credit bounds the traffic if confirmations are lost on a congested link.
	broadcastCost      = 3
	maxBroadcastCredit = 2 * broadcastCost
	// maxAskedRounds is how often each live node of a zone is asked to relay until heartbeats to all of them
	// end. One request or confirmation may be lost or late.
	maxAskedRounds = 2
	// In a large fleet, once relayFailureThreshold heartbeats in a row are unconfirmed,
	// heartbeats go directly to the nodes of the zone, except when their count is a multiple of
	// relayRetryHeartbeats: those try relays again.
	relayFailureThreshold = 3
	relayRetryHeartbeats  = 4
	// New relays are picked from the most recently received 1/recentNodesDivisor of a zone's
	// nodes: after the loss of many nodes these are the most likely to be live.
	recentNodesDivisor = 4
)

// Relays remembers the relay into each other zone. Create it with NewRelays. It is not safe for
// concurrent use.
//
// In a small fleet it guarantees: of broadcastCost heartbeats in a row to a zone of
// minZoneNodesForRelay or more live members, at least one was confirmed by a relay or sent to all of
// them, until each of them was asked to relay maxAskedRounds times and none confirmed. A heartbeat of a live sender
// therefore reaches every node that can answer it before the sender's failure timeout, whichever
// relays fail. It does not hold if datagrams are lost, or for a node that the relay believes to
// have failed.
type Relays struct {
	zones map[string]*zoneRelay
	// random returns a number from zero up to but excluding its argument.
	random func(int) int
}

// zoneRelay is the state of relaying into one zone.
type zoneRelay struct {
	// name is the node that confirmed last, or empty.
	name string
	// unconfirmedHeartbeats counts the periodic heartbeats since the last confirmation.
	unconfirmedHeartbeats int
	// asked holds the nodes that were asked to relay since the last confirmation, or since no live node was left
	// to ask. askedRounds counts how often the latter was the case.
	asked       map[string]bool
	askedRounds int
	// broadcastCredit grows by one with each periodic heartbeat, up to maxBroadcastCredit.
	broadcastCredit int
	// nodeCount is the number of live nodes in the zone, and wideLinkNames lists those, of the nodes
	// that the relay was last chosen from, with close to the largest link bandwidth.
	nodeCount     int
	wideLinkNames []string
}

// NewRelays returns an empty set of relays. random returns a number from zero up to but excluding
// its argument.
func NewRelays(random func(int) int) *Relays {
	return &Relays{zones: map[string]*zoneRelay{}, random: random}
}

// Recipients are the addresses that a heartbeat is sent to, without or with a request to relay
// it.
type Recipients struct {
	Direct, Relays []string
	// Unconfirmed are the zones with overdue confirmations, and Broadcasts is the number of those zones
	// whose live nodes all get this heartbeat.
	Unconfirmed []UnconfirmedZone
	Broadcasts  int
}

// UnconfirmedZone is a zone for which no relay confirmed the previous heartbeat.
type UnconfirmedZone struct {
	// Relay is the node that confirmed last, or empty.
	Zone, Relay string
	// Heartbeats is the number of periodic heartbeats since then.
	Heartbeats int
}

// Recipients returns the addresses for a periodic heartbeat from a node of ownZone to the live members. It
// treats the confirmations of the previous one as overdue.
// In a large fleet only the delegates of a zone can be its relays, as they alone know all its
// nodes; a zone without a live delegate gets direct heartbeats.
func (r *Relays) Recipients(now structs.Instant, ownZone string, live []*Member, isLarge bool) Recipients {
	return r.recipients(heartbeatRound{now: now, isLarge: isLarge, isPeriodic: true}, ownZone, live)
}

// ExtraRecipients returns the addresses for a heartbeat between the periodic ones. Confirmations of the previous
// one may still arrive, so that it does not count as unconfirmed.
func (r *Relays) ExtraRecipients(now structs.Instant, ownZone string, live []*Member, isLarge bool) Recipients {
	return r.recipients(heartbeatRound{now: now, isLarge: isLarge}, ownZone, live)
}

// heartbeatRound is the sending of one heartbeat to all zones, in a large or a small fleet.
type heartbeatRound struct {
	now                 structs.Instant
	isLarge, isPeriodic bool
}

func (r *Relays) recipients(round heartbeatRound, ownZone string, live []*Member) Recipients {
	var recipients Recipients
	zones := map[string][]*Member{}
	for _, member := range live {
		if member.Zone == ownZone || !member.CanRelay {
			recipients.Direct = append(recipients.Direct, member.Address)
			continue
		}
		zones[member.Zone] = append(zones[member.Zone], member)
	}
	for zone, members := range zones {
		if relays := round.possibleRelays(members); len(relays) > 0 {
			r.addZone(&recipients, round, zone, members, relays)
		} else {
			recipients.Direct = append(recipients.Direct, addresses(members)...)
		}
	}
	return recipients
}

// possibleRelays returns those of a zone's live members that can relay heartbeats to it; none if the zone gets
// direct heartbeats.
func (r *heartbeatRound) possibleRelays(members []*Member) []*Member {
	switch {
	case r.isLarge:
		return Delegates(members)
	case len(members) < minZoneNodesForRelay:
		return nil
	default:
		return members
	}
}

// addZone adds the recipients in a zone with these live members.
func (r *Relays) addZone(recipients *Recipients, round heartbeatRound, zone string, members, relays []*Member) {
	state, found := r.zones[zone]
	if !found {
		state = &zoneRelay{asked: map[string]bool{}}
		r.zones[zone] = state
	}
	state.nodeCount, state.wideLinkNames = zoneSize(members), namesWithWideLinks(relays)
	isOverdue, sendsDirectly := state.isOverdue(round.isPeriodic), round.isLarge && state.sendsDirectly()
	if round.isPeriodic {
		if isOverdue {
			recipients.Unconfirmed = append(recipients.Unconfirmed, UnconfirmedZone{Zone: zone, Relay: state.name, Heartbeats: state.unconfirmedHeartbeats})
		}
		state.unconfirmedHeartbeats++
		state.broadcastCredit = min(state.broadcastCredit+1, maxBroadcastCredit)
	}
	if sendsDirectly {
		recipients.Direct = append(recipients.Direct, addresses(members)...)
		return
	}
	chosen := r.chooseRelays(round, state, relays, isOverdue)
	recipients.Relays = append(recipients.Relays, addresses(chosen)...)
	if round.isPeriodic && isOverdue && !round.isLarge && state.spendBroadcast() {
		recipients.Broadcasts++
		recipients.Direct = append(recipients.Direct, addresses(without(members, chosen))...)
	}
}

func addresses(members []*Member) []string {
	result := make([]string, 0, len(members))
	for _, member := range members {
		result = append(result, member.Address)
	}
	return result
}

// where returns the members for which keep returns true, in the same order.
func where(members []*Member, keep func(*Member) bool) []*Member {
	return slices.DeleteFunc(slices.Clone(members), func(member *Member) bool { return !keep(member) })
}

func without(members, excluded []*Member) []*Member {
	return where(members, func(member *Member) bool { return !slices.Contains(excluded, member) })
}

// zoneSize returns the number of live nodes in a zone: of a large fleet's zone the sender may know only
// the delegates, which report it.
func zoneSize(members []*Member) int {
	size := len(members)
	for _, member := range members {
		size = max(size, member.ZoneLive)
	}
	return size
}

// isOverdue reports whether a heartbeat before the last interval is unconfirmed. For a heartbeat between
// the periodic ones the latest periodic one doesn't count.
func (z *zoneRelay) isOverdue(isPeriodic bool) bool {
	if isPeriodic {
		return z.unconfirmedHeartbeats > 0
	}
	return z.unconfirmedHeartbeats > 1
}

// sendsDirectly reports whether a heartbeat goes directly to the nodes of a zone of a large fleet because no
// relay confirms any more: all delegates of the zone may have failed.
func (z *zoneRelay) sendsDirectly() bool {
	return z.unconfirmedHeartbeats >= relayFailureThreshold && (z.unconfirmedHeartbeats+1)%relayRetryHeartbeats != 0
}

// isUnanswered reports whether all live nodes of the zone were asked maxAskedRounds times without
// confirmation: those that run can't be reached, or can't answer, and are not worth much traffic.
func (z *zoneRelay) isUnanswered() bool { return z.askedRounds >= maxAskedRounds }

// spendBroadcast reports whether to send this heartbeat to all live nodes of the zone, and if so spends the
// credit for it.
func (z *zoneRelay) spendBroadcast() bool {
	if z.isUnanswered() || z.broadcastCredit < broadcastCost {
		return false
	}
	z.broadcastCredit -= broadcastCost
	return true
}

// chooseRelays returns the confirmed relay of the zone, or some candidates if there is none or its
// confirmation is overdue.
func (r *Relays) chooseRelays(round heartbeatRound, state *zoneRelay, members []*Member, isOverdue bool) []*Member {
	var chosen []*Member
	if index := slices.IndexFunc(members, func(member *Member) bool { return member.Name == state.name }); index >= 0 && !isOverdue {
		chosen = members[index : index+1]
	} else {
		count := relayCandidateCount
		if !round.isLarge && state.isUnanswered() {
			count = 1
		}
		chosen = r.pickCandidates(round.now, state, members, count)
	}
	for _, member := range chosen {
		state.asked[member.Name] = true
	}
	return chosen
}

// namesWithWideLinks returns the names of the members with close to the largest link bandwidth. A
// relay on a congested link would lose heartbeats of many nodes.
func namesWithWideLinks(members []*Member) []string {
	var names []string
	for _, heartbeat := range nearMaximum(Heartbeats(members), func(heartbeat *Heartbeat) float64 { return heartbeat.LinkMbps }) {
		names = append(names, heartbeat.Name)
	}
	return names
}

// pickCandidates returns count members, one with a wide link and others, all of them drawn from those
// with the most recent heartbeats. Members that were not asked since the last confirmation go first, so that
// each is asked after a bounded number of heartbeats.
func (r *Relays) pickCandidates(now structs.Instant, state *zoneRelay, members []*Member, count int) []*Member {
	members = slices.Clone(members)
	slices.SortStableFunc(members, func(a, b *Member) int { return cmp.Compare(a.SinceHeartbeat(now), b.SinceHeartbeat(now)) })
	notAsked := where(members, func(member *Member) bool { return !state.asked[member.Name] })
	if len(notAsked) == 0 {
		state.askedRounds++
		clear(state.asked)
		notAsked = members
	}
	drawn := r.drawRecent(where(notAsked, func(member *Member) bool { return slices.Contains(state.wideLinkNames, member.Name) }), 1)
	for _, others := range [][]*Member{notAsked, members} {
		drawn = append(drawn, r.drawRecent(without(others, drawn), count-len(drawn))...)
	}
	return drawn
}

// drawRecent returns up to count random members of the most recently received ones. The members are
// in the order of their latest heartbeats.
func (r *Relays) drawRecent(members []*Member, count int) []*Member {
	return r.pickRandom(members[:min(max(relayCandidateCount, len(members)/recentNodesDivisor), len(members))], count)
}

// pickRandom returns up to count random members. It reorders the given slice.
func (r *Relays) pickRandom(members []*Member, count int) []*Member {
	count = min(count, len(members))
	for i := range count {
		other := i + r.random(len(members)-i)
		members[i], members[other] = members[other], members[i]
	}
	return members[:count:count]
}

// Confirmed records that the node relayed a heartbeat to the given number of nodes of its zone.
// It is ignored if that is less than half of the zone's live nodes: such a node doesn't know the
// others yet, and may be asked again. It returns the number of overdue heartbeats that this ends.
func (r *Relays) Confirmed(zone, name string, reached int) int {
	state, found := r.zones[zone]
	if !found {
		return 0
	}
	if 2*reached < state.nodeCount {
		delete(state.asked, name)
		return 0
	}
	overdue := max(state.unconfirmedHeartbeats-1, 0)
	if state.name == "" || state.unconfirmedHeartbeats > 0 || slices.Contains(state.wideLinkNames, name) {
		state.name = name
	}
	state.unconfirmedHeartbeats, state.askedRounds = 0, 0
	clear(state.asked)
	return overdue
}
