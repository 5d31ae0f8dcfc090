package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/platform"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
	"github.com/thornwalk/thornwalk/structs"
)

// Guards against a replacement that counts as no sign as an entry that the replica wrote before it ended, or that a
// restored store lists under another position, is read after its address refused a connection.
func TestEntryFromBeforeARefusalDoesNotEndIt(t *testing.T) {
	for name, change := range map[string]func(*replicas.Replica){
		"it wrote that it drains": func(r *replicas.Replica) { r.Draining = true },
		"the store was restored": func(r *replicas.Replica) {
			r.Position, _ = structs.NewStorePosition(1, 8)
		},
	} {
		for _, startedAt := range []int64{0, 1} {
			t.Run(fmt.Sprint(name, ", start ", startedAt), func(t *testing.T) {
				log := eventlog.New("self", nil)
				defer log.Close()
				n := New(&Settings{Name: "self"}, Dependencies{Network: &refusingNetwork{}, Log: log})
				replica := engine("first", "v1")
				replica.StartedAt = startedAt
				n.table.Put(replica)
				_, _ = n.dialReplica(t.Context(), replica, time.Second)
				earlier := replica
				earlier.Position = 8
				change(&earlier)
				n.applyReplicaLocked(earlier)
				n.recordConnect(earlier, nil, time.Millisecond)
				gomega.NewWithT(t).Expect(n.identities.isChurning(n.now(), "engines")).To(gomega.BeTrue())
			})
		}
	}
}

// Guards against a sign of churn that stays young as nodes pass it on to each other: each hop takes time that is not part
// of its age.
func TestSignOfChurnEndsWhereHeartbeatsTakeTime(t *testing.T) {
	for _, course := range []struct {
		nodes    int
		transfer time.Duration
	}{{3, 5 * time.Millisecond}, {20, 5 * time.Millisecond}, {20, 20 * time.Millisecond}, {50, 20 * time.Millisecond}} {
		t.Run(fmt.Sprint(course.nodes, " nodes, ", course.transfer), func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := time.Duration(0)
			var nodes []*Node
			for i := range course.nodes {
				nodes = append(nodes, New(&Settings{Name: fmt.Sprint("n", i)}, Dependencies{Now: func() time.Duration { return now }}))
			}
			nodes[0].identities.churn.Observe(now, "engines")
			type message struct {
				at   time.Duration
				from int
				ages map[string]int64
			}
			var underway []message
			interval := heartbeatIntervalFor(course.nodes)
			end := now
			for ; now < time.Minute; now += time.Millisecond {
				for len(underway) > 0 && underway[0].at <= now {
					for i, n := range nodes {
						if i != underway[0].from {
							n.recordFreshness(now, liveness.Heartbeat{Name: fmt.Sprint("n", underway[0].from), ReplicasAgeMS: -1, ConfigurationAgeMS: -1, ChurnAgesMS: underway[0].ages})
						}
					}
					underway = underway[1:]
				}
				isAny := false
				for i, n := range nodes {
					isAny = isAny || n.identities.isChurning(now, "engines")
					if phase := interval * time.Duration(i) / time.Duration(course.nodes); (now-phase)%interval < time.Millisecond {
						n.identities.ObserveView(now)
						if ages := n.churnAges(now); ages != nil {
							underway = append(underway, message{now + course.transfer, i, ages})
						}
					}
				}
				if isAny {
					end = now
				}
			}
			g.Expect(end).To(gomega.BeNumerically("<", 2*incarnations.EntryDelay), "time for which the one sign holds")
		})
	}
}

// Guards against a replica that counts as ended as its report is longer than this node takes: it answered.
func TestReportThatIsTooLongIsNoDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		replica := replicas.Replica{ID: "first", Service: "engines", Version: "v1", Address: "a:1", StartedAt: 7}
		body := `{"born":7,"notes":"` + strings.Repeat("x", maxReportBytes) + `"}`
		network := reportNetwork{answer: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)}
		log := eventlog.New("self", nil)
		defer log.Close()
		n := New(&Settings{Name: "self", Zone: "east"}, Dependencies{
			Network: &network, Log: log, Headers: platform.Headers(), ReportPath: platform.ReportPath, ParseReport: platform.ParseReport,
		})
		n.table.Put(replica)
		n.identities.ObserveView(n.now())
		c := &call{node: n, ctx: t.Context()}
		_, _ = c.connectProven(&grant{assignReply: &assignReply{Replica: replica}, origin: streamorigins.Origin{Service: "engines", Version: "v1"}}, time.Second)
		g.Expect(n.doubtAge(replica)).To(gomega.BeZero())
	})
}

// Guards against a version that counts as the only one of a service although a replica that states no start was of another
// one while the view was old: the former and the later process of the same version count as one incarnation, which is then
// taken to have run all the time.
func TestReplicaWithoutAStartClosesNoGap(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Duration(0)
	n := New(&Settings{Name: "self"}, Dependencies{Now: func() time.Duration { return now }})
	replica := engine("first", "v1")
	replica.StartedAt = 0
	n.table.Put(replica)
	n.versionHistory.Update(now, n.table.All())
	n.routingHistory.Update(now, []time.Duration{10 * time.Second})
	until := func(end time.Duration, hasView bool) {
		for ; now < end; now += time.Second {
			if hasView {
				n.identities.ObserveView(now)
				n.replicaFreshness.Observe(now)
			}
			n.confirmVersionHistory()
		}
	}
	until(40*time.Second, true)
	n.identities.Interrupt(now)
	until(60*time.Second, false) // v2 is at the address for a part of it, then v1 again, which the store lists at the end
	until(75*time.Second, true)
	c := &call{node: n, route: &catalog.Route{Timeout: 10 * time.Second}}
	version, isOnly := c.onlyVersion("engines")
	g.Expect(isOnly).To(gomega.BeFalse(), version)
}

// Guards against an assumption that counts again a while after replicas of the service were replaced although the store
// could not be read since: it may list the former incarnations for as long as it is away.
func TestServiceChurnsUntilTheStoreIsReadAgain(t *testing.T) {
	for name, isAway := range map[string]bool{"the store is up": false, "the store is away": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := time.Duration(0)
			log := eventlog.New("self", nil)
			defer log.Close()
			n := New(&Settings{Name: "self"}, Dependencies{Now: func() time.Duration { return now }, Log: log})
			replica, other := engine("first", "v1"), engine("second", "v1")
			n.table.Put(replica)
			n.table.Put(other)
			for ; now < 20*time.Second; now += 100 * time.Millisecond {
				n.identities.ObserveView(now)
			}
			// The first replica has just been replaced, which nothing shows; so is the second, which a 421 shows.
			connection := incarnations.Connection{Incarnation: incarnations.Of(replica), OpenedAt: now}
			n.identities.Opened(connection, true)
			n.recordOtherServer(other)
			if isAway {
				n.identities.Interrupt(now)
			}
			for end := now + 2*incarnations.EntryDelay; now < end; now += 100 * time.Millisecond {
				n.identities.Alive(now, connection, true)
				if !isAway {
					n.identities.ObserveView(now)
				}
			}
			opened := incarnations.Connection{Incarnation: incarnations.Of(replica), OpenedAt: now}
			n.identities.Opened(opened, true)
			verdict := n.identities.Verdict(now, opened, true)
			g.Expect(n.mayRelyOn(verdict, "engines")).To(gomega.Equal(!isAway), "proof %s, %v after the sign", verdict.Proof, 2*incarnations.EntryDelay)
		})
	}
}

// Guards against a replacement that counts as no sign as one node's connection was refused and another one's accepted.
func TestRefusalThatAPeerHeardAndOwnConnectionAreASign(t *testing.T) {
	g := gomega.NewWithT(t)
	replica := engine("first", "v1")
	log := eventlog.New("self", nil)
	defer log.Close()
	peer := New(&Settings{Name: "a"}, Dependencies{Network: &refusingNetwork{}, Log: log})
	self := New(&Settings{Name: "b"}, Dependencies{Network: &refusingNetwork{}, Log: log})
	peer.table.Put(replica)
	self.table.Put(replica)
	_, _ = peer.dialReplica(t.Context(), replica, time.Second)
	doubted := peer.doubtOf(replica)
	g.Expect(doubted).NotTo(gomega.BeNil())
	_, err := self.serveFinish(t.Context(), &finishRequest{Doubted: doubted})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	self.recordConnect(replica, nil, time.Millisecond)
	g.Expect(self.identities.isChurning(self.now(), "engines")).To(gomega.BeTrue())
}

// Guards against a replacement that counts as no sign at a node that learns of the refusal with an assignment, and against
// refusals that nodes tell each other for ever, or that count again after the sign.
func TestRefusalsComeWithAssignments(t *testing.T) {
	g := gomega.NewWithT(t)
	now := 10 * time.Second
	replica := engine("first", "v1")
	log := eventlog.New("self", nil)
	defer log.Close()
	var nodes []*Node
	for _, name := range []string{"a", "b", "c"} {
		n := New(&Settings{Name: name}, Dependencies{Now: func() time.Duration { return now }, Network: &refusingNetwork{}, Log: log})
		n.table.Put(replica)
		nodes = append(nodes, n)
	}
	refused, scheduling, sending := nodes[0], nodes[1], nodes[2]
	_, _ = refused.dialReplica(t.Context(), replica, time.Second)
	now += 10 * time.Millisecond
	_, err := scheduling.serveFinish(t.Context(), &finishRequest{Doubted: refused.doubtOf(replica)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(scheduling.doubtOf(replica).RefusalAge).To(gomega.BeZero(), "the peer's is told with assignments only")
	reply := &assignReply{Replica: replica, DoubtAge: scheduling.doubtAge(replica), RefusalAge: scheduling.refusalAge(replica)}
	sending.recordGrant(&grant{assignReply: reply, id: "g"})
	g.Expect(sending.doubtOf(replica).RefusalAge).To(gomega.BeZero(), "what comes with assignments is not told back")
	now += 10 * time.Millisecond
	sending.recordConnect(replica, nil, time.Millisecond)
	g.Expect(sending.churnAges(sending.now())).To(gomega.Equal(map[string]int64{"engines": 0}))
	now += time.Second
	sending.recordGrant(&grant{assignReply: &assignReply{Replica: replica, RefusalAge: scheduling.refusalAge(replica)}, id: "h"})
	sending.recordConnect(replica, nil, time.Millisecond)
	g.Expect(sending.churnAges(sending.now())).To(gomega.Equal(map[string]int64{"engines": 1000}), "the same refusal")
	now += maxToldRefusalAge
	g.Expect(scheduling.refusalAge(replica)).To(gomega.BeZero())
	g.Expect(refused.doubtOf(replica).RefusalAge).To(gomega.BeZero())
}

// Guards against a doubt that is taken for a new one as the message that tells of it was sent again: the incarnation was
// known to live in between.
func TestDoubtThatIsToldLateIsAsOldAsItIs(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	replica := engine("first", "v1")
	peer, self := New(&Settings{Name: "a"}, Dependencies{Now: clock}), New(&Settings{Name: "b"}, Dependencies{Now: clock})
	peer.table.Put(replica)
	self.table.Put(replica)
	peer.identities.Doubt(now, incarnations.Of(replica))
	now += time.Millisecond
	unacked := unackedFinish{message: &finishRequest{Doubted: peer.doubtOf(replica)}, since: now}
	g.Expect(unacked.message.Doubted).NotTo(gomega.BeNil())
	now += time.Second
	self.identities.ConfirmByReport(now, incarnations.Of(replica))
	now += time.Second // the message was lost and is sent again
	_, err := self.serveFinish(t.Context(), unacked.messageAt(now))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(self.doubtAge(replica)).To(gomega.BeZero())
}

// cutReportNetwork connects to a replica that ends in the middle of a report whose head states no length.
type cutReportNetwork struct{ reportNetwork }

func (*cutReportNetwork) Dial(context.Context, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go func() {
		defer func() { _ = theirs.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
			_, _ = io.WriteString(theirs, "HTTP/1.1 200 OK\r\n\r\n{\"bo")
		}
	}()
	return ours, nil
}

// Guards against a service whose replicas are not asked for reports any more as one of them ended within its report.
func TestReportThatIsCutShortIsNotOneWithoutAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		replica, other := engine("first", "v1"), engine("second", "v1")
		log := eventlog.New("self", nil)
		defer log.Close()
		n := New(&Settings{Name: "self"}, Dependencies{
			Network: &cutReportNetwork{}, Log: log, Headers: platform.Headers(), ReportPath: platform.ReportPath, ParseReport: platform.ParseReport,
		})
		n.table.Put(replica)
		n.table.Put(other)
		c := &call{node: n, ctx: t.Context()}
		_, err := c.connectProven(&grant{assignReply: &assignReply{Replica: replica}, origin: streamorigins.Origin{Service: "engines", Version: "v1"}}, time.Second)
		g.Expect(errors.Is(err, errUnproven)).To(gomega.BeTrue())
		n.mutex.Lock()
		defer n.mutex.Unlock()
		g.Expect(n.givesReportsLocked(other)).To(gomega.BeTrue())
	})
}
