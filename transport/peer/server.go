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
	"github.com/thornwalk/thornwalk/state/memorybudget"
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

// streamHandler answers a call that turns its connection into a stream of bytes. If it returns a function,
// the stream begins after the reply; the connection is closed when the function returns.
type streamHandler func(ctx context.Context, body msgpack.RawMessage) (msgpack.RawMessage, func(net.Conn), error)

// Server answers calls of peers.
type Server struct {
	handlers map[peerwire.Kind]handler
	streams  map[peerwire.Kind]streamHandler
	traffic  Traffic
	// sendingBytes counts the bytes of replies that are queued or being written, by kind.
	sendingBytes map[peerwire.Kind]*atomic.Int64
	inbound      inbound
	// received bounds what the frames of all connections hold until their handlers have returned.
	received *memorybudget.Budget
}

const (
	// defaultReceivedBytes bounds received unless LimitReceived is called.
	defaultReceivedBytes = 64 << 20
	// heldPerByte is what a byte of a frame takes: in the buffer, which doubles as it grows, and in the message.
	heldPerByte = 3
	// minReceivedBytes lets one frame of any size pass.
	minReceivedBytes = heldPerByte * (peerwire.MaxFrameBytes + 1<<16)
)

// NewServer returns a server without handlers. All handlers must be added before Serve. traffic may
// be nil.
func NewServer(traffic Traffic) *Server {
	return &Server{handlers: map[peerwire.Kind]handler{}, streams: map[peerwire.Kind]streamHandler{}, traffic: traffic, sendingBytes: map[peerwire.Kind]*atomic.Int64{}, inbound: newInbound(), received: memorybudget.New(defaultReceivedBytes)}
}

// LimitReceived sets what the frames of all connections may hold until their handlers have returned. Above it, the
// connections that hold most are closed. A limit below that of one frame is raised.
func (s *Server) LimitReceived(bytes int64) { s.received.SetLimit(max(bytes, minReceivedBytes)) }

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

// HandleStream adds the handler for a kind of call that Client.Open makes. If it returns a function, this
// gets the connection after the reply and may use it until it returns.
func HandleStream[Request, Reply any](server *Server, kind peerwire.Kind, serve func(context.Context, *Request) (*Reply, func(net.Conn))) {
	server.streams[kind] = func(ctx context.Context, body msgpack.RawMessage) (msgpack.RawMessage, func(net.Conn), error) {
		request := new(Request)
		if err := peerwire.Unmarshal(body, request); err != nil {
			return nil, nil, err
		}
		reply, stream := serve(ctx, request)
		encoded, err := peerwire.Marshal(reply)
		return encoded, stream, err
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

// serveConnection serves calls until the connection ends. If the first one is for a stream, the connection
// is used for that alone.
func (s *Server) serveConnection(ctx context.Context, connection net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	defer cancel()
	defer connection.Close()
	frames := &frameReader{connection: connection, account: s.received.Open(func() { _ = connection.Close() })}
	defer frames.account.Close()
	first, held, err := s.readCall(frames)
	if err != nil {
		return
	}
	if serve, isStream := s.streams[first.Kind]; isStream {
		frames.account.Release(held)
		s.serveStream(ctx, connection, first, serve)
		return
	}
	s.serveCalls(ctx, cancel, frames, first, held)
}

// frameReader reads frames from a connection. What it has read of the current one is reserved.
type frameReader struct {
	connection net.Conn
	account    *memorybudget.Account
	held       int64
}

// Read implements io.Reader.
func (r *frameReader) Read(into []byte) (int, error) {
	count, err := r.connection.Read(into)
	held := int64(count) * heldPerByte
	if reserveErr := r.account.Reserve(held); reserveErr != nil {
		return 0, reserveErr
	}
	r.held += held
	return count, err
}

// readCall reads the next call and returns what it holds, to be released after its end. An error ends the connection.
func (s *Server) readCall(frames *frameReader) (*peerwire.Envelope, int64, error) {
	_ = frames.connection.SetReadDeadline(time.Now().Add(idleTimeout))
	frames.held = 0
	envelope, size, err := peerwire.ReadFrame(frames)
	if err != nil {
		if errors.Is(err, errkind.BadFrame) {
			klog.ErrorS(err, "closing peer connection after an invalid frame", "remote", frames.connection.RemoteAddr().String())
		}
		return nil, 0, err
	}
	s.count(envelope.Kind, false, size)
	return envelope, frames.held, nil
}

// serveCalls serves the first call and all others on the connection, concurrently.
func (s *Server) serveCalls(ctx context.Context, cancel context.CancelFunc, frames *frameReader, first *peerwire.Envelope, firstHeld int64) {
	connection := frames.connection
	writer := newConnectionWriter(connection, s.traffic)
	slots := make(chan struct{}, maxHandlersPerConnection)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	lastReceived := s.inbound.add(remoteHost(connection))
	defer s.inbound.remove(remoteHost(connection), lastReceived)
	for call, held, err := first, firstHeld, error(nil); err == nil; call, held, err = s.readCall(frames) {
		s.inbound.recordReceived(lastReceived)
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			defer frames.account.Release(held)
			s.respond(ctx, writer, call)
		})
	}
}

// serveStream answers the call and lets its handler use the connection.
func (s *Server) serveStream(ctx context.Context, connection net.Conn, call *peerwire.Envelope, serve streamHandler) {
	reply := &peerwire.Envelope{Call: call.Call, Kind: call.Kind, Reply: true}
	body, stream, err := serve(ctx, call.Body)
	if err != nil {
		reply.Code, reply.Detail = errkind.Of(err).Code, err.Error()
	}
	reply.Body = body
	writer := newConnectionWriter(connection, s.traffic)
	if err := writer.write(ctx, reply); err != nil || stream == nil {
		if stream != nil {
			_ = connection.Close()
			stream(connection) // it ends at once and frees what it holds
		}
		return
	}
	_ = connection.SetDeadline(time.Time{})
	stream(connection)
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
