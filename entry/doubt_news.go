package entry

import (
	"context"
	"time"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// The scheduling node hears of failed sends of all nodes, and of reports that name another start. It tells the node that
// gets an assignment how long ago the replica was doubted, so that a stream does not go on at a replica that another node
// found ended.

func (n *Node) serveAssign(ctx context.Context, request *assignRequest) (*assignReply, error) {
	reply := n.scheduling.assign(ctx, request)
	if reply.Reason == "" {
		reply.DoubtAge, reply.RefusalAge = n.doubtAge(reply.Replica), n.refusalAge(reply.Replica)
	}
	return reply, nil
}

func (n *Node) serveFinish(_ context.Context, request *finishRequest) (*finishReply, error) {
	if doubted := request.Doubted; doubted != nil {
		n.mutex.Lock()
		incarnation := n.incarnationOfDoubt(doubted)
		n.identities.Doubt(n.now()-max(doubted.Age, 0), incarnation)
		n.observeRefusal(doubted.RefusalAge, incarnation)
		n.mutex.Unlock()
		n.counter("streams.identity_doubts_heard").Inc(1)
	}
	n.scheduling.finish(request)
	return &finishReply{}, nil
}

// reportDoubt tells the scheduling node of the doubt of the replica's incarnation, if there is one.
func (n *Node) reportDoubt(replica replicas.Replica) {
	doubted := n.doubtOf(replica)
	if _, address := n.currentScheduler(); doubted != nil && address != "" {
		n.sendFinish(unackedFinish{address: address, message: &finishRequest{Doubted: doubted}, since: n.now()})
	}
}

// incarnationOfDoubt returns the incarnation that a peer doubts. If it states no start, it counts as the known one. The
// caller holds the mutex.
func (n *Node) incarnationOfDoubt(doubted *doubtedIncarnation) incarnations.Incarnation {
	if known, found := n.table.Get(doubted.Replica); found && known.StartedAt == doubted.StartedAt {
		return incarnations.Of(known)
	}
	return incarnations.Incarnation{Replica: doubted.Replica, StartedAt: doubted.StartedAt}
}

// doubtAge is doubtAgeLocked for callers that do not hold the mutex.
func (n *Node) doubtAge(replica replicas.Replica) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.doubtAgeLocked(replica)
}

// refusalAge returns the time since the replica's address refused a connection, here or at a peer, or zero if it did not
// lately.
func (n *Node) refusalAge(replica replicas.Replica) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.toldRefusalAge(n.identities.refusals.Latest(incarnations.Of(replica)))
}

// ownRefusalAge is refusalAge for connections of this node.
func (n *Node) ownRefusalAge(replica replicas.Replica) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.toldRefusalAge(n.identities.refusals.LatestOwn(incarnations.Of(replica)))
}

// maxToldRefusalAge bounds the age of a refusal that is told to peers. Each node that connects afterwards for the first time
// takes it for a sign of a replacement, also if the replica refused for another reason.
const maxToldRefusalAge = 2 * incarnations.EntryDelay

func (n *Node) toldRefusalAge(at structs.Instant, isRefused bool) time.Duration {
	if age := n.now() - at; isRefused && age <= maxToldRefusalAge {
		return max(age, 1)
	}
	return 0
}

// observeRefusal records a refusal of the age that a peer told of; zero means none. The caller holds the mutex.
func (n *Node) observeRefusal(age time.Duration, incarnation incarnations.Incarnation) {
	if age > 0 {
		n.identities.refusals.ObserveReported(n.now()-age, incarnation)
	}
}

// doubtOf returns the doubt of the replica's incarnation, or nil if there is none.
func (n *Node) doubtOf(replica replicas.Replica) *doubtedIncarnation {
	age := n.doubtAge(replica)
	if age == 0 {
		return nil
	}
	return &doubtedIncarnation{Replica: replica.ID, StartedAt: replica.StartedAt, Age: age, RefusalAge: n.ownRefusalAge(replica)}
}
