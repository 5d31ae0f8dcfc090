package liveness

import (
	"slices"

	"github.com/thornwalk/thornwalk/structs"
)

// What crosses a zone's border is paid for. Of 295 nodes in five zones each sent 236
// heartbeats to other zones in a round. With relays a round costs a node one heartbeat for
// each other zone, whatever that zone's size; a node there passes it on and confirms that.
// On a day of 57 s with a zone cut and a start of all nodes 0.5 GB crossed in place of 1.7.
const (
	// relayFrom is the least number of live nodes of a zone for which a relay is used:
	// with fewer, little is saved and each lost relay counts for much.
	relayFrom = 8
	// relayCandidates is how many relays a heartbeat goes to while none is known to work:
	// with half of the nodes just killed, seven in eight such heartbeats still arrive.
	relayCandidates = 3
	// relayPatience is how many heartbeats in a row no delegate of a zone confirms until the zone
	// is sent to directly, and relayRetry how many go there so for one that tries relays again.
	relayPatience = 3
	relayRetry    = 4
	// recentShare is the part of a zone's nodes, those heard of last, among which a new
	// relay is looked for: after many died at once these are the likeliest to live.
	recentShare = 4
)

// Relays remembers by which node of each other zone heartbeats get there. The zero value
// is not usable; it is not safe for concurrent use.
type Relays struct {
	zones map[string]*relay
	// random returns a number from zero up to but without the given one.
	random func(int) int
}

// relay is the way into one zone.
type relay struct {
	// name is the node that confirmed last, and waiting is true while it has not confirmed
	// the heartbeat that it was given since.
	name    string
	waiting bool
	// unconfirmed counts the heartbeats that were given out since the last confirmation.
	unconfirmed int
	// nodes is how many live nodes the zone had when a heartbeat went there last, and wide
	// names those with about the widest link.
	nodes int
	wide  []string
}

// NewRelays returns relays that know no way yet and draw lots by the function.
func NewRelays(random func(int) int) *Relays {
	return &Relays{zones: map[string]*relay{}, random: random}
}

// Recipients says whom a heartbeat goes to: directly, or to be passed on to their zone.
type Recipients struct {
	Direct, Relays []string
}

// Recipients returns the addresses for one heartbeat from a node of the zone to the live
// members. In a large fleet the delegates of a zone are its relays, which alone know all its
// nodes; a zone where none is heard of is sent to directly.
func (r *Relays) Recipients(now structs.Instant, own string, live []*Member, isLarge bool) Recipients {
	var routes Recipients
	zones := map[string][]*Member{}
	for _, member := range live {
		if member.Zone == own || !member.CanRelay {
			routes.Direct = append(routes.Direct, member.Address)
			continue
		}
		zones[member.Zone] = append(zones[member.Zone], member)
	}
	for zone, members := range zones {
		relays := members
		if isLarge {
			relays = Delegates(members)
		}
		if len(relays) == 0 || !isLarge && len(members) < relayFrom || isLarge && r.isLost(zone) {
			routes.Direct = append(routes.Direct, addresses(members)...)
			continue
		}
		routes.Relays = append(routes.Relays, addresses(r.choose(now, zone, relays))...)
	}
	return routes
}

func addresses(members []*Member) []string {
	all := make([]string, 0, len(members))
	for _, member := range members {
		all = append(all, member.Address)
	}
	return all
}

// choose returns the relay that works, or some that may.
func (r *Relays) choose(now structs.Instant, zone string, members []*Member) []*Member {
	known, found := r.zones[zone]
	if !found {
		known = &relay{waiting: true}
		r.zones[zone] = known
	}
	known.nodes, known.wide = len(members), widest(members)
	known.unconfirmed++
	if !known.waiting {
		known.waiting = true
		for _, member := range members {
			if member.Name == known.name {
				return []*Member{member}
			}
		}
	}
	return r.candidates(now, known, members)
}

// isLost returns whether none of a zone's relays confirms any more: its delegates may all have died,
// and its other nodes hear of it by nobody else. Each relayRetry-th heartbeat tries them again.
func (r *Relays) isLost(zone string) bool {
	known, found := r.zones[zone]
	if !found || known.unconfirmed < relayPatience {
		return false
	}
	known.unconfirmed++
	return known.unconfirmed%relayRetry != 0
}

// widest returns the names of the members with about the widest link. A relay whose link
// is full of other things loses heartbeats of many.
func widest(members []*Member) []string {
	var names []string
	for _, beat := range strongest(Heartbeats(members), func(beat *Heartbeat) float64 { return beat.LinkMbps }) {
		names = append(names, beat.Name)
	}
	return names
}

// candidates draws one of the members with a wide link and some of those heard of last,
// without the one that failed.
func (r *Relays) candidates(now structs.Instant, known *relay, members []*Member) []*Member {
	var wide, recent []*Member
	for _, member := range members {
		switch {
		case member.Name == known.name:
		case slices.Contains(known.wide, member.Name):
			wide = append(wide, member)
		default:
			recent = append(recent, member)
		}
	}
	slices.SortStableFunc(recent, func(a, b *Member) int { return int(a.SinceHeartbeat(now) - b.SinceHeartbeat(now)) })
	recent = recent[:min(max(relayCandidates, len(members)/recentShare), len(recent))]
	drawn := r.draw(wide, 1)
	return append(drawn, r.draw(recent, relayCandidates-len(drawn))...)
}

// draw returns so many of the members by lot.
func (r *Relays) draw(members []*Member, count int) []*Member {
	count = min(count, len(members))
	for i := range count {
		other := i + r.random(len(members)-i)
		members[i], members[other] = members[other], members[i]
	}
	return members[:count:count]
}

// Confirmed records that the node of the zone passed a heartbeat on to so many nodes. One
// that reaches few has not heard of the others yet and is not used for now.
func (r *Relays) Confirmed(zone, name string, reached int) {
	known, found := r.zones[zone]
	if !found || 2*reached < known.nodes {
		return
	}
	known.unconfirmed = 0
	if known.waiting || slices.Contains(known.wide, name) {
		known.name, known.waiting = name, false
	}
}
