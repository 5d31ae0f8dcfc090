package emulator

import (
	"container/heap"
	"time"
)

// event is a function to be run at a time. Events with the same time run in the order
// in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventLoop is the event queue of a simulation. Times are relative to its start.
type eventLoop struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

// after schedules run after the delay.
func (l *eventLoop) after(delay time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, event{at: l.now + delay, sequence: l.sequence, run: run})
}

// every schedules run at each interval until the given time.
func (l *eventLoop) every(interval, until time.Duration, run func()) {
	var tick func()
	tick = func() {
		run()
		if l.now+interval <= until {
			l.after(interval, tick)
		}
	}
	l.after(interval, tick)
}

// runUntil runs the events up to the given time in order.
func (l *eventLoop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last].run = nil
	*h = (*h)[:last]
	return popped
}
