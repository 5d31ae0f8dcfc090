package liveness

import (
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
type Relays struct {
	zones map[string]*zoneRelay
	// random returns a number from zero up to but excluding its argument.
	random func(int) int
}

// zoneRelay is the state of relaying into one zone.
type zoneRelay struct {
	// name is the node that confirmed last. awaitsConfirmation is true if it has not confirmed
	// the latest heartbeat, or no node has confirmed any.
	name               string
	awaitsConfirmation bool
	// unconfirmedHeartbeats counts the heartbeats since the last confirmation.
	unconfirmedHeartbeats int
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
}

// Recipients returns the addresses for one heartbeat from a node of ownZone to the live members.
// In a large fleet only the delegates of a zone can be its relays, as they alone know all its
// nodes; a zone without a live delegate gets direct heartbeats.
func (r *Relays) Recipients(now structs.Instant, ownZone string, live []*Member, isLarge bool) Recipients {
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
		relays := members
		if isLarge {
			relays = Delegates(members)
		}
		if len(relays) == 0 || !isLarge && len(members) < minZoneNodesForRelay || isLarge && r.shouldSendDirectly(zone) {
			recipients.Direct = append(recipients.Direct, addresses(members)...)
			continue
		}
		recipients.Relays = append(recipients.Relays, addresses(r.chooseRelays(now, zone, relays, zoneSize(members)))...)
	}
	return recipients
}

func addresses(members []*Member) []string {
	result := make([]string, 0, len(members))
	for _, member := range members {
		result = append(result, member.Address)
	}
	return result
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

// chooseRelays returns the confirmed relay of the zone, or some candidates if there is none.
func (r *Relays) chooseRelays(now structs.Instant, zone string, members []*Member, zoneSize int) []*Member {
	state, found := r.zones[zone]
	if !found {
		state = &zoneRelay{awaitsConfirmation: true}
		r.zones[zone] = state
	}
	state.nodeCount, state.wideLinkNames = zoneSize, namesWithWideLinks(members)
	state.unconfirmedHeartbeats++
	if !state.awaitsConfirmation {
		state.awaitsConfirmation = true
		for _, member := range members {
			if member.Name == state.name {
				return []*Member{member}
			}
		}
	}
	return r.pickCandidates(now, state, members)
}

// shouldSendDirectly reports whether a heartbeat goes directly to the zone's nodes because no
// relay confirms any more: all delegates of the zone may have failed. It counts a direct heartbeat.
func (r *Relays) shouldSendDirectly(zone string) bool {
	state, found := r.zones[zone]
	if !found || state.unconfirmedHeartbeats < relayFailureThreshold {
		return false
	}
	if (state.unconfirmedHeartbeats+1)%relayRetryHeartbeats == 0 {
		return false // chooseRelays counts it
	}
	state.unconfirmedHeartbeats++
	return true
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

// pickCandidates returns one of the members with a wide link and some of those with the most
// recent heartbeats, without the relay that failed to confirm.
func (r *Relays) pickCandidates(now structs.Instant, state *zoneRelay, members []*Member) []*Member {
	var wide, recent []*Member
	for _, member := range members {
		switch {
		case member.Name == state.name:
		case slices.Contains(state.wideLinkNames, member.Name):
			wide = append(wide, member)
		default:
			recent = append(recent, member)
		}
	}
	slices.SortStableFunc(recent, func(a, b *Member) int { return int(a.SinceHeartbeat(now) - b.SinceHeartbeat(now)) })
	recent = recent[:min(max(relayCandidateCount, len(members)/recentNodesDivisor), len(recent))]
	drawn := r.pickRandom(wide, 1)
	return append(drawn, r.pickRandom(recent, relayCandidateCount-len(drawn))...)
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
// others yet.
func (r *Relays) Confirmed(zone, name string, reached int) {
	state, found := r.zones[zone]
	if !found || 2*reached < state.nodeCount {
		return
	}
	state.unconfirmedHeartbeats = 0
	if state.awaitsConfirmation || slices.Contains(state.wideLinkNames, name) {
		state.name, state.awaitsConfirmation = name, false
	}
}
