package entry

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/retrybudget"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/transport/peer"
)

// cancelledRequests is the number of requests that are cancelled, and the slots of the only replica.
const cancelledRequests = 16

// Guards against a slot that stays occupied for a minute because a request for it and its cancellation
// arrive together, as after a pause of the scheduling node, and the cancellation is handled first. It uses
// loopback connections, since simulated ones buffer nothing and hand over one frame at a time.
func TestRequestCancelledBeforeItIsHandledHoldsNoSlot(t *testing.T) {
	for name, delay := range map[string]time.Duration{"one after the other": 20 * time.Millisecond, "together": 0} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			start := time.Now()
			service := newSchedulingService(func() time.Duration { return time.Since(start) }, retrybudget.Policy{Window: time.Second}, true)
			defer service.timer.Stop()
			service.update(func(scheduler *admission.Scheduler) {
				scheduler.SetReplicas(0, []replicas.Replica{{ID: "r", Service: "s", Slots: cancelledRequests}})
			})
			server := peer.NewServer(nil)
			peer.Handle(server, peerwire.KindAssign, func(ctx context.Context, request *assignRequest) (*assignReply, error) {
				return service.assign(ctx, request), nil
			})
			peer.Handle(server, peerwire.KindFinish, func(_ context.Context, request *finishRequest) (*finishReply, error) {
				service.finish(request)
				return &finishReply{}, nil
			})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			go server.Serve(t.Context(), listener)
			connection, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer connection.Close()

			for i := range cancelledRequests {
				id := fmt.Sprint("request-", i)
				assign := &assignRequest{Request: admission.Request{ID: id, Node: "n", Service: "s", Patience: time.Second, Target: time.Second, Deadline: time.Second}}
				var frames bytes.Buffer
				appendFrame(g, &frames, uint64(2*i+1), peerwire.KindAssign, assign)
				if delay > 0 {
					_, err = connection.Write(frames.Bytes())
					g.Expect(err).NotTo(gomega.HaveOccurred())
					frames.Reset()
					time.Sleep(delay)
				}
				appendFrame(g, &frames, uint64(2*i+2), peerwire.KindFinish, &finishRequest{ID: id, NotRun: true})
				_, err = connection.Write(frames.Bytes())
				g.Expect(err).NotTo(gomega.HaveOccurred())
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(1500 * time.Millisecond) // longer than any of the requests may take
			g.Expect(service.counts()["s"].InFlight["r"]).To(gomega.BeZero(), "occupied slots of %d", cancelledRequests)
		})
	}
}

// appendFrame appends the frame of one call.
func appendFrame(g *gomega.WithT, frames *bytes.Buffer, call uint64, kind peerwire.Kind, message any) {
	body, err := peerwire.Marshal(message)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = peerwire.WriteFrame(frames, &peerwire.Envelope{Call: call, Kind: kind, Body: body})
	g.Expect(err).NotTo(gomega.HaveOccurred())
}
