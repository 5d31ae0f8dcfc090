package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/structs"
)

// slowWatchDirectory answers each watch at the end of its wait, with changes that take transferTime to arrive.
type slowWatchDirectory struct{ transferTime time.Duration }

func (d *slowWatchDirectory) Read(context.Context, outside.Scope, structs.StorePosition, int64) (*outside.Update, error) {
	return &outside.Update{Position: positionInEra(1, 10), Complete: true, FullSnapshot: true, Calls: 1}, nil
}

func (d *slowWatchDirectory) Watch(ctx context.Context, after structs.StorePosition, wait time.Duration) (*outside.Update, error) {
	time.Sleep(wait)
	for end := time.Now().Add(d.transferTime); time.Now().Before(end); {
		outside.ReportReadProgress(ctx)
		select {
		case <-ctx.Done():
			return nil, errkind.Wrap(errkind.StoreUnavailable, ctx.Err())
		case <-time.After(100 * time.Millisecond):
		}
	}
	return &outside.Update{Position: after + 1}, nil
}

// Guards against a store that counts as lost as a long answer of a watch is still arriving when its time is over.
func TestAnswerOfAWatchThatStillArrivesIsNoFailure(t *testing.T) {
	for name, transferTime := range map[string]time.Duration{"1 s": time.Second, "3 s": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				log := eventlog.New("n", nil)
				n := New(&Settings{Name: "n"}, Dependencies{Directory: &slowWatchDirectory{transferTime}, Log: log})
				n.loops.Go(n.watchLoop)
				defer func() { n.cancel(); n.loops.Wait(); log.Close() }()
				for range 200 {
					time.Sleep(100 * time.Millisecond)
					g.Expect(n.Status().StoreDown).To(gomega.BeFalse())
				}
			})
		})
	}
}
