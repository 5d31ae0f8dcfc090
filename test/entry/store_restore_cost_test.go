package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
	"github.com/thornwalk/thornwalk/transport/network"
)

// costWindow is the time after a copy, or in calm, in which calls and bytes are counted: until
// what the store lists counts again.
const costWindow = 6 * time.Second

// followers is how many nodes call the store at most: those that follow it and those that look
// whether it is back.
const maxStoreReaders = 16

// After a copy not every node reads everything at once: the nodes that follow the store do, all
// others hear of it from them.
func TestFewNodesReadTheStoreAfterARestore(t *testing.T) {
	for _, nodes := range []int{9, 100} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				fabric := memnet.New()
				var names []string
				for i := range nodes {
					names = append(names, fmt.Sprintf("n%03d", i))
				}
				lab, err := entrylab.Start(entrylab.Options{
					Hosts: names, Zones: []string{"east", "west", "south"}, StoreHost: "store",
					Network:   func(host string) network.Network { return fabric.Host(host) },
					Datagrams: fabric.Datagrams,
				})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				base := &scenario{WithT: g, fabric: fabric, deployment: lab}
				base.configure(nil)
				for i := range nodes {
					replica := &platformsim.Replica{ID: fmt.Sprint("i-", i), Service: "registry", Zone: "east", Slots: 4, Step: time.Millisecond}
					g.Expect(lab.AddReplica(fmt.Sprint("r", i), replica)).To(gomega.Succeed())
				}
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				g.Expect(lab.AwaitReady(ctx)).To(gomega.BeTrue())
				time.Sleep(10 * time.Second)
				measure := func() (calls int, kilobytes int64) {
					calls, bytes := lab.Store.Calls(), fabric.SentWhere(func(from, to string) bool { return from[0] == 'n' && to[0] == 'n' })
					time.Sleep(costWindow)
					return lab.Store.Calls() - calls, (fabric.SentWhere(func(from, to string) bool { return from[0] == 'n' && to[0] == 'n' }) - bytes) >> 10
				}
				calmCalls, calmBytes := measure()
				copied := lab.Store.Copy()
				lab.Store.Put("other/key", []byte("x"))
				lab.Store.Restore(copied)
				calls, bytes := measure()
				t.Logf("%d nodes: %d calls and %d kB between nodes in calm, %d and %d after a copy", nodes, calmCalls, calmBytes, calls, bytes)
				for _, name := range names {
					g.Expect(lab.Node(name).Status().Era).To(gomega.Equal(int64(2)), name)
					g.Expect(lab.Node(name).Status().Replicas).To(gomega.HaveLen(nodes), name)
				}
				g.Expect(calls-calmCalls).To(gomega.BeNumerically("<=", 4*maxStoreReaders), "a read of the copy, a watch, a read when it counts again, a watch")
				lab.Stop()
				time.Sleep(time.Minute) // virtual time, in which everything ends
			})
		})
	}
}
