package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Guards against a store that is slow, but answers, and is never read, because each read is given up before all its
// pages have arrived and begins with the first one again.
func TestSlowStoreWithManyPagesIsRead(t *testing.T) {
	const (
		pages = 5
		limit = 30 * time.Second
	)
	for _, delay := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(fmt.Sprint(delay, " for each page"), func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				for i := range (pages - 1) * 500 {
					replica := &platformsim.Replica{ID: fmt.Sprintf("i-x%04d", i), Service: "others", Zone: "east", Address: fmt.Sprintf("x%d:1", i), Slots: 1}
					replica.Register(s.deployment.Store, "ready")
				}
				for _, host := range hosts {
					s.deployment.Node(host).Kill()
				}
				s.deployment.Store.SetDelay(delay)
				for i, host := range hosts {
					s.Expect(s.deployment.StartNode(host, []string{"east", "west"}[i%2])).To(gomega.Succeed())
				}
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				defer cancel()
				s.Expect(s.deployment.AwaitReady(ctx)).To(gomega.BeTrue(), "nodes are ready")
				s.deployment.Store.SetDelay(0)
			})
		})
	}
}
