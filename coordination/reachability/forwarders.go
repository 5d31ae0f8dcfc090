package reachability

// Forwarder is a peer that forwards connections to replicas.
type Forwarder struct {
	Name, Address, Zone string
	// Free is the number of further connections that it forwards.
	Free int
}

// minPreferredFree is the number of free connections below which a forwarder in a preferred zone is
// not preferred to others.
const minPreferredFree = 32

// ChooseForwarder returns one of the candidates for which isTried returns false. It prefers forwarders in
// the node's or the replica's zone, over which the bytes cross the boundary of zones at most once, while
// these have room, and takes the one with more room of two random ones. Choosing the best of all would send
// the connections of all nodes to one forwarder until its next heartbeat.
func ChooseForwarder(candidates []Forwarder, nodeZone, replicaZone string, isTried func(name string) bool, random func(n int) int) (Forwarder, bool) {
	var preferred, others []Forwarder
	for _, candidate := range candidates {
		isNear := candidate.Zone == nodeZone || candidate.Zone == replicaZone
		switch {
		case candidate.Free <= 0 || isTried(candidate.Name):
		case isNear && candidate.Free >= minPreferredFree:
			preferred = append(preferred, candidate)
		default:
			others = append(others, candidate)
		}
	}
	if len(preferred) == 0 {
		preferred = others
	}
	if len(preferred) == 0 {
		return Forwarder{}, false
	}
	first, second := preferred[random(len(preferred))], preferred[random(len(preferred))]
	if second.Free > first.Free {
		return second, true
	}
	return first, true
}
