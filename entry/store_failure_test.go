package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/structs"
)

// failingReadDirectory is a directory whose second read fails once: it ends the current watch with an
// update and fails while the node is between two watches. Everything else succeeds.
type failingReadDirectory struct {
	reads    atomic.Int64
	position atomic.Int64
	changed  chan struct{}
	// isFailing is false if the second read succeeds.
	isFailing bool
}

func (d *failingReadDirectory) Read(context.Context, outside.Scope, structs.StorePosition, int64) (*outside.Update, error) {
	if d.reads.Add(1) == 2 {
		d.changed <- struct{}{}
		time.Sleep(watchBatchTime / 4)
		if d.isFailing {
			return nil, errkind.New(errkind.StoreUnavailable, "read store: status 429")
		}
	}
	return &outside.Update{Position: structs.StorePosition(d.position.Load()), Complete: true, FullSnapshot: true, Calls: 1}, nil
}

func (d *failingReadDirectory) Watch(ctx context.Context, after structs.StorePosition, wait time.Duration) (*outside.Update, error) {
	select {
	case <-d.changed:
		return &outside.Update{Position: structs.StorePosition(d.position.Add(1))}, nil
	case <-time.After(wait):
		return &outside.Update{Position: after}, nil
	case <-ctx.Done():
		return nil, errkind.New(errkind.StoreUnavailable, "watch store: %v", ctx.Err())
	}
}

// Guards against a node that regards the store as down until its next watch ends, and reads nothing
// meanwhile, because a read failed between two watches.
func TestReadFailureBetweenWatchesIsRetried(t *testing.T) {
	for name, isFailing := range map[string]bool{"no failure": false, "one failed read": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				directory := &failingReadDirectory{changed: make(chan struct{}), isFailing: isFailing}
				directory.position.Store(int64(positionInEra(1, 10)))
				log := eventlog.New("n", nil)
				n := New(&Settings{Name: "n"}, Dependencies{Directory: directory, Log: log})
				n.loops.Go(n.watchLoop)
				n.loops.Go(n.readLoop)
				defer func() { n.cancel(); n.loops.Wait(); log.Close() }()
				for directory.reads.Load() < 2 {
					time.Sleep(readCheckInterval)
					synctest.Wait()
				}
				failedAt := time.Now()
				time.Sleep(readCheckInterval)
				for n.Status().StoreDown {
					time.Sleep(readCheckInterval)
				}
				g.Expect(time.Since(failedAt)).To(gomega.BeNumerically("<", 2*time.Second), "the store is still regarded as down")
				time.Sleep(2*time.Second - time.Since(failedAt))
				synctest.Wait()
				g.Expect(directory.reads.Load()).To(gomega.BeNumerically(">", int64(2)), "reads within two seconds")
			})
		})
	}
}

// positionInEra returns the store position of the revision in the era.
func positionInEra(era, revision int64) structs.StorePosition {
	position, err := structs.NewStorePosition(era, revision)
	if err != nil {
		panic(err)
	}
	return position
}
