// Package faultpoint names the places in the code where tests inject faults:
// a pause, a kill or an error just there. Outside tests no injector is set and
// reaching a point costs one comparison.
package faultpoint

import "context"

// Point names a place.
type Point string

// The points of a request, in the order in which it reaches them.
const (
	Accept    Point = "accept"
	Register  Point = "register"
	Queue     Point = "queue"
	Reserve   Point = "reserve"
	Claim     Point = "claim"
	Gate      Point = "gate"
	Connect   Point = "connect"
	FirstByte Point = "first-byte"
	Stream    Point = "stream"
	Finish    Point = "finish"
)

// The points of a settings change.
const (
	ChangeRead   Point = "change-read"
	ChangeWrite  Point = "change-write"
	ChangeSwap   Point = "change-swap"
	ChangeSpread Point = "change-spread"
)

// The points of a placement order.
const (
	OrderLease Point = "order-lease"
	OrderCheck Point = "order-check"
	OrderSend  Point = "order-send"
	OrderDone  Point = "order-done"
)

// RequestPoints, ChangePoints and OrderPoints list the points by path.
var (
	RequestPoints = []Point{Accept, Register, Queue, Reserve, Claim, Gate, Connect, FirstByte, Stream, Finish}
	ChangePoints  = []Point{ChangeRead, ChangeWrite, ChangeSwap, ChangeSpread}
	OrderPoints   = []Point{OrderLease, OrderCheck, OrderSend, OrderDone}
)

// Injector decides what happens at a point. Reach may block, and its error
// makes the step fail as the real fault would. The subject names what is under
// way, such as a request id.
type Injector interface {
	Reach(ctx context.Context, point Point, subject string) error
}

// Reach tells the injector, if there is one, that the point is reached.
func Reach(ctx context.Context, injector Injector, point Point, subject string) error {
	if injector == nil {
		return nil
	}
	return injector.Reach(ctx, point, subject)
}
