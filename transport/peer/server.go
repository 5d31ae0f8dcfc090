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

// handler answers calls of one kind.
type handler func(ctx context.Context, body msgpack.RawMessage) (encodedReply, error)

// encodedReply is an encoded reply. If sent is not nil, it is called after the reply was written or
// the write failed.
type encodedReply struct {
	body msgpack.RawMessage
	sent func()
}

// SendObserver is implemented by replies whose handler must know when they have been sent, as that
// may take long over a slow link. Sent is called once the reply was written or the write failed.
type SendObserver interface{ Sent() }

// Server answers calls of peers.
type Server struct {
	handlers map[peerwire.Kind]handler
	traffic  Traffic
	// sendingBytes counts the bytes of replies that are queued or being written, by kind.
	sendingBytes map[peerwire.Kind]*atomic.Int64
	inbound      inbound
}

// NewServer returns a server without handlers. All handlers must be added before Serve. traffic may
// be nil.
func NewServer(traffic Traffic) *Server {
	return &Server{handlers: map[peerwire.Kind]handler{}, traffic: traffic, sendingBytes: map[peerwire.Kind]*atomic.Int64{}, inbound: newInbound()}
}

// OnReplaced sets the function that is called when a peer opens a connection while another of its
// connections has been silent for SilenceTime, which shows that the peer gave that one up. It must
// be set before Serve.
func (s *Server) OnReplaced(handle func()) { s.inbound.onReplaced = handle }

// Sending returns the bytes of replies of the kind that are queued or being written.
func (s *Server) Sending(kind peerwire.Kind) int64 {
	if bytes, known := s.sendingBytes[kind]; known {
		return bytes.Load()
	}
	return 0
}

// Handle adds the handler for a kind of call. The messages are encoded and decoded by their types.
func Handle[Request, Reply any](server *Server, kind peerwire.Kind, serve func(context.Context, *Request) (*Reply, error)) {
	server.sendingBytes[kind] = &atomic.Int64{}
	server.handlers[kind] = func(ctx context.Context, body msgpack.RawMessage) (encodedReply, error) {
		request := new(Request)
		if err := peerwire.Unmarshal(body, request); err != nil {
			return encodedReply{}, err
		}
		reply, err := serve(ctx, request)
		if err != nil {
			return encodedReply{}, err
		}
		var encoded encodedReply
		if tracked, isObserver := any(reply).(SendObserver); isObserver {
			encoded.sent = tracked.Sent
		}
		encoded.body, err = peerwire.Marshal(reply)
		return encoded, err
	}
}

// Serve accepts connections until the context ends or the listener fails. It returns after all its
// connections are closed and all handlers have returned.
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
	writer := newConnectionWriter(connection, s.traffic)
	slots := make(chan struct{}, maxHandlersPerConnection)
	var group sync.WaitGroup
	defer group.Wait()
	defer connection.Close()
	lastReceived := s.inbound.add(remoteHost(connection))
	defer s.inbound.remove(remoteHost(connection), lastReceived)
	for {
		_ = connection.SetReadDeadline(time.Now().Add(idleTimeout))
		envelope, size, err := peerwire.ReadFrame(connection)
		s.inbound.recordReceived(lastReceived)
		if err != nil {
			if errors.Is(err, errkind.BadFrame) {
				klog.ErrorS(err, "closing peer connection after an invalid frame", "remote", connection.RemoteAddr().String())
			}
			cancel()
			return
		}
		s.count(envelope.Kind, false, size)
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			s.respond(ctx, writer, envelope)
		})
	}
}

func (s *Server) respond(ctx context.Context, writer *connectionWriter, envelope *peerwire.Envelope) {
	reply := &peerwire.Envelope{Call: envelope.Call, Kind: envelope.Kind, Reply: true}
	serve, known := s.handlers[envelope.Kind]
	switch {
	case !known && envelope.Kind == kindPing:
		// An empty reply suffices.
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
		sending := s.sendingBytes[envelope.Kind]
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
