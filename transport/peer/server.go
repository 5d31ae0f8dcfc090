package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
)

// handler answers one kind of call.
type handler func(ctx context.Context, body msgpack.RawMessage) (answer, error)

// answer is an encoded reply. Sent, if it is set, is called once the reply was written,
// or could not be.
type answer struct {
	body msgpack.RawMessage
	sent func()
}

// Tracked is a reply whose handler has to know when it has left this node: a slow link
// may take long to carry it. Sent is called once it was written, or could not be.
type Tracked interface{ Sent() }

// Server answers calls of peers.
type Server struct {
	handlers map[peerwire.Kind]handler
	traffic  Traffic
	// sending counts the bytes of replies that are being written or wait for it.
	sending map[peerwire.Kind]*atomic.Int64
	inbound inbound
}

// NewServer returns a server with no handlers. Handlers are added before Serve.
func NewServer(traffic Traffic) *Server {
	return &Server{handlers: map[peerwire.Kind]handler{}, traffic: traffic, sending: map[peerwire.Kind]*atomic.Int64{}, inbound: newInbound()}
}

// OnReplaced sets what is called when a peer opened a connection although an earlier one
// of it is open, from which nothing came for SilenceTime: it may have given that one up as
// silent. It is set before Serve.
func (s *Server) OnReplaced(handle func()) { s.inbound.replaced = handle }

// Sending returns the bytes of replies of the kind that are being written or wait
// for it.
func (s *Server) Sending(kind peerwire.Kind) int64 {
	if bytes, known := s.sending[kind]; known {
		return bytes.Load()
	}
	return 0
}

// Handle sets the handler of a kind of call with typed messages.
func Handle[Request, Reply any](server *Server, kind peerwire.Kind, serve func(context.Context, *Request) (*Reply, error)) {
	server.sending[kind] = &atomic.Int64{}
	server.handlers[kind] = func(ctx context.Context, body msgpack.RawMessage) (answer, error) {
		request := new(Request)
		if err := peerwire.Unmarshal(body, request); err != nil {
			return answer{}, err
		}
		reply, err := serve(ctx, request)
		if err != nil {
			return answer{}, err
		}
		var encoded answer
		if tracked, is := any(reply).(Tracked); is {
			encoded.sent = tracked.Sent
		}
		encoded.body, err = peerwire.Marshal(reply)
		return encoded, err
	}
}

// Serve accepts connections until the context ends, which closes them all.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		group.Go(func() { s.serveConnection(ctx, connection) })
	}
}

func (s *Server) serveConnection(ctx context.Context, connection net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	defer cancel()
	shared := newConnectionWriter(connection, s.traffic)
	slots := make(chan struct{}, handlersPerConnection)
	var group sync.WaitGroup
	defer group.Wait()
	defer connection.Close()
	heard := s.inbound.opened(remoteHost(connection))
	defer s.inbound.closed(remoteHost(connection), heard)
	for {
		_ = connection.SetReadDeadline(time.Now().Add(idleTimeout))
		envelope, size, err := peerwire.ReadFrame(connection)
		s.inbound.note(heard)
		if err != nil {
			if errors.Is(err, errkind.BadFrame) {
				klog.ErrorS(err, "peer connection dropped", "remote", connection.RemoteAddr().String())
			}
			cancel()
			return
		}
		s.count(envelope.Kind, false, size)
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			s.respond(ctx, shared, envelope)
		})
	}
}

func (s *Server) respond(ctx context.Context, writer *connectionWriter, envelope *peerwire.Envelope) {
	reply := &peerwire.Envelope{Call: envelope.Call, Kind: envelope.Kind, Reply: true}
	serve, known := s.handlers[envelope.Kind]
	switch {
	case !known && envelope.Kind == kindPing:
		// The reply itself is the answer.
	case !known:
		reply.Code, reply.Detail = errkind.BadFrame.Code, "no handler for "+envelope.Kind.String()
	default:
		encoded, err := serve(ctx, envelope.Body)
		if encoded.sent != nil {
			defer encoded.sent()
		}
		if err != nil {
			reply.Code, reply.Detail = errkind.Of(err).Code, err.Error()
		} else {
			reply.Body = encoded.body
		}
		length := int64(len(reply.Body))
		sending := s.sending[envelope.Kind]
		sending.Add(length)
		defer sending.Add(-length)
	}
	if err := writer.write(ctx, reply); err != nil {
		_ = writer.connection.Close()
	}
}

func (s *Server) count(kind peerwire.Kind, out bool, size int) {
	if s.traffic != nil {
		s.traffic.Count(kind, out, size)
	}
}
