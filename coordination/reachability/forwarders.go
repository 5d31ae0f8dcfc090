package reachability

// Forwarder is a peer that forwards connections to replicas.
type Forwarder struct {
	Name, Address, Zone string
	// Free is the number of further connections that it forwards.
	Free int
	// IsSlow is true if its machine is short of processor time.
	IsSlow bool
	// IsStopping is true in a planned stop, whose end breaks the connections that it still forwards.
	IsStopping bool
}

// minPreferredFree is the number of free connections below which a forwarder in a preferred zone is
// not preferred to others.
const minPreferredFree = 32

// ChooseForwarder returns one of the candidates for which isTried returns false. It prefers forwarders in
// the node's or the replica's zone, over which the bytes cross the boundary of zones at most once, while
// these have room, then others, then slow ones, and stopping ones last. It takes the one with more room of two
// random ones: choosing the best of all would send the connections of all nodes to one forwarder until its next
// heartbeat.
func ChooseForwarder(candidates []Forwarder, nodeZone, replicaZone string, isTried func(name string) bool, random func(n int) int) (Forwarder, bool) {
	var near, far, slow, stopping []Forwarder
	for _, candidate := range candidates {
		isNear := candidate.Zone == nodeZone || candidate.Zone == replicaZone
		switch {
		case candidate.Free <= 0 || isTried(candidate.Name):
		case candidate.IsStopping:
			stopping = append(stopping, candidate)
		case candidate.IsSlow:
			slow = append(slow, candidate)
		case isNear && candidate.Free >= minPreferredFree:
			near = append(near, candidate)
		default:
			far = append(far, candidate)
		}
	}
	for _, group := range [][]Forwarder{near, far, slow, stopping} {
		if len(group) == 0 {
			continue
		}
		first, second := group[random(len(group))], group[random(len(group))]
		if second.Free > first.Free {
			return second, true
		}
		return first, true
	}
	return Forwarder{}, false
}
