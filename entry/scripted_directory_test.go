package entry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// directoryCall is one call that the watch loop made.
type directoryCall struct {
	kind             string
	started, ended   time.Duration
	position, answer structs.StorePosition
	err              error
}

// readAll is the kind of a complete read.
const readAll = "read all"

// scriptedDirectory answers reads after readTime with what it listed when they arrived, and watches
// as soon as its position is past theirs.
type scriptedDirectory struct {
	now func() time.Duration

	mutex    sync.Mutex
	calls    []*directoryCall
	position structs.StorePosition
	changed  chan struct{}
	readTime time.Duration
	// cancelTime is how long a watch takes to return after it was canceled.
	cancelTime time.Duration
	// removedAt is the position at which the replica's entry was removed, or zero.
	removedAt structs.StorePosition
	// problem, if set, is part of the next update of a watch, and of the next read if
	// reportsInRead is true.
	problem       error
	reportsInRead bool
	// beforeWatchReturns, if set, is called once, before the next watch returns an update.
	beforeWatchReturns func()
	// beforeReadReturns, if set, is called once, before the next read returns. Its position or error,
	// unless zero, replaces that of the read.
	beforeReadReturns func() (structs.StorePosition, error)
}

func (d *scriptedDirectory) begin(kind string, position structs.StorePosition) *directoryCall {
	call := &directoryCall{kind: kind, started: d.now(), ended: -1, position: position}
	d.calls = append(d.calls, call)
	return call
}

func (d *scriptedDirectory) end(call *directoryCall, answer structs.StorePosition, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	call.ended, call.answer, call.err = d.now(), answer, err
}

// Read implements outside.Directory.
func (d *scriptedDirectory) Read(ctx context.Context, scope outside.Scope, _ structs.StorePosition, _ int64) (*outside.Update, error) {
	d.mutex.Lock()
	call := d.begin("read "+scope.String(), 0)
	update := &outside.Update{
		Position: d.position, Complete: true, FullSnapshot: scope == outside.ScopeAll, Calls: 1,
		Replicas: []replicas.Replica{{ID: "r", Service: "s", Address: "r:1", Slots: 1, Position: positionInEra(2, 10)}},
	}
	if d.removedAt > 0 {
		update.Replicas = nil
	}
	if d.reportsInRead && d.problem != nil {
		update.Problems, d.problem = []error{d.problem}, nil
	}
	readTime := d.readTime
	d.mutex.Unlock()
	select {
	case <-time.After(readTime):
		d.mutex.Lock()
		hook := d.beforeReadReturns
		d.beforeReadReturns = nil
		d.mutex.Unlock()
		if hook != nil {
			position, err := hook()
			if err != nil {
				d.end(call, 0, err)
				return nil, err
			}
			if position != 0 {
				update.Position = position
			}
		}
		d.end(call, update.Position, nil)
		return update, nil
	case <-ctx.Done():
		err := errkind.Wrap(errkind.StoreUnavailable, ctx.Err())
		d.end(call, 0, err)
		return nil, err
	}
}

// Watch implements outside.Directory.
func (d *scriptedDirectory) Watch(ctx context.Context, after structs.StorePosition, wait time.Duration) (*outside.Update, error) {
	d.mutex.Lock()
	call := d.begin("watch", after)
	d.mutex.Unlock()
	timeout := time.After(wait)
	for isOver := false; ; {
		d.mutex.Lock()
		update := &outside.Update{Position: max(after, d.position)}
		isOver = isOver || d.position.Revision() > after.Revision()
		changed := d.changed
		var hook func()
		if isOver && d.position.Era() != after.Era() {
			d.mutex.Unlock()
			err := errkind.New(errkind.OtherEra, "watch store: a watch of era %d was answered in era %d", after.Era(), d.position.Era())
			d.end(call, 0, err)
			return nil, err
		}
		if isOver {
			if d.removedAt > after {
				update.Removed = []outside.RemovedReplica{{ID: "r", Position: d.removedAt}}
			}
			hook, d.beforeWatchReturns = d.beforeWatchReturns, nil
			if d.problem != nil && !d.reportsInRead {
				update.Problems, d.problem = []error{d.problem}, nil
			}
		}
		d.mutex.Unlock()
		if isOver {
			if hook != nil {
				hook()
			}
			d.end(call, update.Position, nil)
			return update, nil
		}
		select {
		case <-changed:
		case <-timeout:
			isOver = true
		case <-ctx.Done():
			d.mutex.Lock()
			cancelTime := d.cancelTime
			d.mutex.Unlock()
			time.Sleep(cancelTime)
			err := errkind.Wrap(errkind.StoreUnavailable, ctx.Err())
			d.end(call, 0, err)
			return nil, err
		}
	}
}

// set changes the script.
func (d *scriptedDirectory) set(change func(d *scriptedDirectory)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	change(d)
}

// change writes an entry, which ends the watch.
func (d *scriptedDirectory) change() { d.commit(false) }

// removeReplica removes the replica's entry.
func (d *scriptedDirectory) removeReplica() { d.commit(true) }

func (d *scriptedDirectory) commit(removes bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.position++
	if removes {
		d.removedAt = d.position
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// problemFunc is an error whose text is computed by the function. A node asks for it while it applies
// the update that contains the error.
type problemFunc func() string

// Error implements error.
func (f problemFunc) Error() string { return f() }

// inProgress returns the kind of the call in progress, or "" if there is none.
func (d *scriptedDirectory) inProgress() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if last := d.calls[len(d.calls)-1]; last.ended < 0 {
		return last.kind
	}
	return ""
}

// trace returns the calls in order of time. The caller holds the mutex.
func (d *scriptedDirectory) trace() string {
	var text strings.Builder
	for _, call := range d.calls {
		fmt.Fprintf(&text, "%8v to %8v  %s from %v: ", call.started, call.ended, call.kind, call.position)
		switch {
		case call.ended < 0:
			text.WriteString("in progress\n")
		case call.err != nil:
			fmt.Fprintf(&text, "%v\n", call.err)
		default:
			fmt.Fprintf(&text, "update to %v\n", call.answer)
		}
	}
	return text.String()
}
