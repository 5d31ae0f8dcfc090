package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Guards against several nodes that schedule, and each grant complete quotas, after all nodes
// started at once and know just a few others.
func TestNodesThatStartTogetherAgreeOnTheScheduler(t *testing.T) {
	const nodes = 40
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fabric := memnet.New()
		var names []string
		for i := range nodes {
			names = append(names, fmt.Sprintf("n%02d", i))
		}
		deployment, err := entrylab.Start(entrylab.Options{
			Hosts: names, Zones: []string{"east", "west"}, StoreHost: "store",
			Network:   func(host string) network.Network { return fabric.Host(host) },
			Datagrams: fabric.Datagrams,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(300 * time.Millisecond)
		scheduler := deployment.Node(names[0]).Status().Scheduler
		for _, name := range names {
			status := deployment.Node(name).Status()
			g.Expect(status.Live).To(gomega.HaveLen(nodes-1), name)
			g.Expect(status.Scheduler).To(gomega.Equal(scheduler), name)
		}
		deployment.Stop()
		time.Sleep(time.Minute) // lets all goroutines end
	})
}
