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

// costWindow is the time in which calls and bytes are counted, before and after the restore. It
// covers the restore window.
const costWindow = 6 * time.Second

// maxStoreReaders bounds the nodes that call the store: those that watch it and those that probe
// an unhealthy store.
const maxStoreReaders = 16

// Guards against a restore after which every node reads the complete store, instead of just those
// that watch it.
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
				deployment, err := entrylab.Start(entrylab.Options{
					Hosts: names, Zones: []string{"east", "west", "south"}, StoreHost: "store",
					Network:   func(host string) network.Network { return fabric.Host(host) },
					Datagrams: fabric.Datagrams,
				})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				s := &scenario{WithT: g, fabric: fabric, deployment: deployment}
				s.configure(nil)
				for i := range nodes {
					replica := &platformsim.Replica{ID: fmt.Sprint("i-", i), Service: "registry", Zone: "east", Slots: 4, Step: time.Millisecond}
					g.Expect(deployment.AddReplica(fmt.Sprint("r", i), replica)).To(gomega.Succeed())
				}
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				g.Expect(deployment.AwaitReady(ctx)).To(gomega.BeTrue())
				time.Sleep(10 * time.Second)
				measure := func() (calls int, kilobytes int64) {
					calls, bytes := deployment.Store.Calls(), fabric.SentBytesWhere(func(from, to string) bool { return from[0] == 'n' && to[0] == 'n' })
					time.Sleep(costWindow)
					return deployment.Store.Calls() - calls, (fabric.SentBytesWhere(func(from, to string) bool { return from[0] == 'n' && to[0] == 'n' }) - bytes) >> 10
				}
				baselineCalls, baselineKilobytes := measure()
				backup := deployment.Store.Backup()
				deployment.Store.Put("other/key", []byte("x"))
				deployment.Store.Restore(backup)
				calls, kilobytes := measure()
				t.Logf("%d nodes: %d store calls and %d kB between nodes before the restore, %d and %d after it", nodes, baselineCalls, baselineKilobytes, calls, kilobytes)
				for _, name := range names {
					g.Expect(deployment.Node(name).Status().Era).To(gomega.Equal(int64(2)), name)
					g.Expect(deployment.Node(name).Status().Replicas).To(gomega.HaveLen(nodes), name)
				}
				g.Expect(calls-baselineCalls).To(gomega.BeNumerically("<=", 4*maxStoreReaders), "each reader reads and watches once after the restore and once after the restore window")
				deployment.Stop()
				time.Sleep(time.Minute) // lets all goroutines end
			})
		})
	}
}
