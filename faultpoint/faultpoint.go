// Package faultpoint defines the points in the code at which tests inject delays, crashes and errors.
// It injects nothing itself: without an injector, reaching a point costs one comparison.
package faultpoint

import "context"

// Point identifies a step at which a fault can be injected.
type Point string

// Points of a request, in the order in which it reaches them.
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

// Points of a settings change, in this order.
const (
	ChangeRead   Point = "change-read"
	ChangeWrite  Point = "change-write"
	ChangeSwap   Point = "change-swap"
	ChangeSpread Point = "change-spread"
)

// Points of a placement order, in this order.
const (
	OrderLease Point = "order-lease"
	OrderCheck Point = "order-check"
	OrderSend  Point = "order-send"
	OrderDone  Point = "order-done"
)

// RequestPoints, ChangePoints and OrderPoints list the points of each operation.
var (
	RequestPoints = []Point{Accept, Register, Queue, Reserve, Claim, Gate, Connect, FirstByte, Stream, Finish}
	ChangePoints  = []Point{ChangeRead, ChangeWrite, ChangeSwap, ChangeSpread}
	OrderPoints   = []Point{OrderLease, OrderCheck, OrderSend, OrderDone}
)

// Injector injects faults. Reach may block, and its error makes the step fail like a real fault.
// The subject identifies the operation, such as by a request ID.
type Injector interface {
	Reach(ctx context.Context, point Point, subject string) error
}

// Reach calls the injector and returns its error, or returns nil if there is no injector.
func Reach(ctx context.Context, injector Injector, point Point, subject string) error {
	if injector == nil {
		return nil
	}
	return injector.Reach(ctx, point, subject)
}
