package entry

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
)

// Planned stops of a node on which other nodes depend, and several stops at once.

// courseReply is the reply to one request of a steady load.
type courseReply struct {
	reply
	node   string
	sentAt time.Time
}

// steadyLoad sends a request on the path to one of the nodes every interval until stop is closed, and returns the replies.
func (s *scenario) steadyLoad(nodes []string, path string, interval time.Duration, stop <-chan bool) []courseReply {
	var group sync.WaitGroup
	var mutex sync.Mutex
	var replies []courseReply
	for number := 0; ; number++ {
		select {
		case <-stop:
			group.Wait()
			return replies
		default:
		}
		group.Go(func() {
			sent := courseReply{node: nodes[number%len(nodes)], sentAt: time.Now()}
			sent.reply = s.do(sent.node, http.MethodPost, path, deadline("4000"))
			mutex.Lock()
			defer mutex.Unlock()
			replies = append(replies, sent)
		})
		time.Sleep(interval)
	}
}

// Guards against requests that a node without a path to replicas sends, late in a stop, over connections that the stopping
// node forwards: they would be lost at its end, although other nodes forward connections too.
func TestNoRequestIsSentOverConnectionsThatALeavingNodeForwards(t *testing.T) {
	for _, work := range []time.Duration{30 * time.Millisecond, time.Second} {
		t.Run(work.String(), func(t *testing.T) {
			runPathScenario(t, func(s *pathScenario) {
				s.configure(func(configuration *entrylab.Configuration) {
					for i := range configuration.Routes {
						configuration.Routes[i].Target, configuration.Routes[i].TargetGap = slowTarget, 0
					}
				})
				s.cutAndDetect(fleetHosts[:1], memnet.CutReset)
				for _, replica := range s.plainReplicas {
					replica.Slots = 64
					replica.SetStep(work)
					replica.Register(s.deployment.Store, "ready")
				}
				done := make(chan bool)
				var replies []courseReply
				var group sync.WaitGroup
				group.Go(func() {
					replies = s.steadyLoad(fleetHosts[:1], "/once/", 30*time.Millisecond, done)
				})
				time.Sleep(2 * time.Second)
				var forwarders []string
				for _, node := range fleetHosts[1:] {
					if s.deployment.Node(node).Status().Forwarding > 0 {
						forwarders = append(forwarders, node)
					}
				}
				s.Expect(len(forwarders)).To(gomega.BeNumerically(">", 1))
				signalAt := time.Now()
				for _, node := range forwarders[:len(forwarders)/2] {
					group.Go(s.deployment.Node(node).Stop)
				}
				time.Sleep(9 * time.Second)
				close(done)
				group.Wait()
				late, unserved := 0, 0
				for _, got := range replies {
					if got.sentAt.After(signalAt) {
						late++
						if got.status != http.StatusOK {
							unserved++
						}
					}
				}
				lost := 0
				for _, event := range s.loggedEvents("request.sent") {
					if event.Reason == "forwarder-lost" {
						lost++
					}
				}
				t.Logf("%d of %d forwarders stopped: %d requests after the signal, not served %d, lost %d", len(forwarders)/2, len(forwarders), late, unserved, lost)
				s.Expect(lost).To(gomega.BeZero())
			})
		})
	}
}
