package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/settingsync"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/transport/peer"
)

// While a peer sends the settings over a slow link, heartbeats must not block and
// must not start further pulls.
func TestSettingsPullsDoNotOverlapOrBlockHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		fabric := memnet.New()
		listener, err := fabric.Host("ahead").Listen("ahead:7600")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var pulls atomic.Int64
		server := peer.NewServer(nil)
		peer.Handle(server, peerwire.KindSettingsPull, func(context.Context, *settingsPull) (*settingsReply, error) {
			pulls.Add(1)
			time.Sleep(300 * time.Millisecond) // a long document on a slow link
			return &settingsReply{}, nil
		})
		go server.Serve(ctx, listener)
		n := &Node{ctx: ctx, peers: peer.NewClient(fabric.Host("n"), nil)}
		n.settings, err = settingsync.NewCurrent(&settingsync.Document{}, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		started := time.Now()
		for range 5 {
			n.pullSettings("ahead:7600")
		}
		g.Expect(time.Since(started)).To(gomega.BeZero(), "pulling does not block the heartbeat")
		time.Sleep(200 * time.Millisecond)
		g.Expect(pulls.Load()).To(gomega.Equal(int64(1)))
		time.Sleep(200 * time.Millisecond)
		n.pullSettings("ahead:7600")
		time.Sleep(time.Second)
		g.Expect(pulls.Load()).To(gomega.Equal(int64(2)), "a second pull starts after the first has ended")
		cancel()
		n.peers.Close()
		time.Sleep(time.Second)
	})
}
