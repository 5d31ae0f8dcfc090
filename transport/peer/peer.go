// Package peer carries typed calls between nodes over the peerwire protocol.
// A failed call proves nothing about its effect, unless the error says that
// no connection could be made.
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
	"github.com/thornwalk/thornwalk/transport/network"
)

// dialTimeout and writeTimeout bound a stuck peer.
const (
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	// idleTimeout closes a connection that a peer leaves silent; heartbeats are
	// far more frequent for any connection in use.
	idleTimeout = 5 * time.Minute
	// handlersPerConnection bounds the calls of one peer that run at once.
	handlersPerConnection = 4096
)

// Traffic counts bytes by kind of message. It is safe for concurrent use.
type Traffic interface {
	Count(kind peerwire.Kind, out bool, bytes int)
}

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
}

// NewServer returns a server with no handlers. Handlers are added before Serve.
func NewServer(traffic Traffic) *Server {
	return &Server{handlers: map[peerwire.Kind]handler{}, traffic: traffic, sending: map[peerwire.Kind]*atomic.Int64{}}
}

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
	for {
		_ = connection.SetReadDeadline(time.Now().Add(idleTimeout))
		envelope, size, err := peerwire.ReadFrame(connection)
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
	if !known {
		reply.Code, reply.Detail = errkind.BadFrame.Code, "no handler for "+envelope.Kind.String()
	} else {
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

// connectionWriter writes whole frames from several goroutines.
type connectionWriter struct {
	// turn holds one token; who has it may write. Unlike a mutex it can be
	// waited for within a context, since a write to a stuck peer takes long.
	turn       chan struct{}
	connection net.Conn
	traffic    Traffic
}

// errNoTurn means that nothing was written: others kept the connection busy.
var errNoTurn = errors.New("the connection was busy")

func newConnectionWriter(connection net.Conn, traffic Traffic) *connectionWriter {
	return &connectionWriter{turn: make(chan struct{}, 1), connection: connection, traffic: traffic}
}

func (w *connectionWriter) write(ctx context.Context, envelope *peerwire.Envelope) error {
	select {
	case w.turn <- struct{}{}:
	case <-ctx.Done():
		return errNoTurn
	}
	defer func() { <-w.turn }()
	_ = w.connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	// A peer that stands still does not hold up a caller that gave up; a frame
	// that was cut ends the connection.
	stop := context.AfterFunc(ctx, func() { _ = w.connection.SetWriteDeadline(time.Unix(1, 0)) })
	defer stop()
	size, err := peerwire.WriteFrame(w.connection, envelope)
	if w.traffic != nil {
		w.traffic.Count(envelope.Kind, true, size)
	}
	return err
}

// Client calls peers over one connection each.
type Client struct {
	network network.Network
	traffic Traffic
	mutex   sync.Mutex
	links   map[string]*link
	closed  bool
}

// NewClient returns a client on the network.
func NewClient(network network.Network, traffic Traffic) *Client {
	return &Client{network: network, traffic: traffic, links: map[string]*link{}}
}

// link is one connection to a peer.
type link struct {
	writer  *connectionWriter
	call    atomic.Uint64
	mutex   sync.Mutex
	pending map[uint64]chan *peerwire.Envelope
	broken  bool
}

// Call sends the message and decodes the answer into reply. Errors: kind
// PeerUnavailable if the peer can't be reached or does not answer in time, in
// which case it may have acted on the message; else the kind of the peer's error.
func (c *Client) Call(ctx context.Context, address string, kind peerwire.Kind, message, reply any) error {
	body, err := peerwire.Marshal(message)
	if err != nil {
		return err
	}
	connection, err := c.link(ctx, address)
	if err != nil {
		return err
	}
	answer, err := connection.exchange(ctx, kind, body)
	if err != nil {
		return errkind.New(errkind.PeerUnavailable, "%s to %s: %v", kind, address, err)
	}
	if answer.Code != "" {
		return remoteError(answer)
	}
	return peerwire.Unmarshal(answer.Body, reply)
}

func remoteError(answer *peerwire.Envelope) error {
	kind, known := errkind.ByCode(answer.Code)
	if !known {
		kind = errkind.PeerUnavailable
	}
	return errkind.New(kind, "peer: %s", answer.Detail)
}

// Close ends all connections.
func (c *Client) Close() {
	c.mutex.Lock()
	links := c.links
	c.links = map[string]*link{}
	c.closed = true
	c.mutex.Unlock()
	for _, connection := range links {
		connection.fail()
	}
}

func (c *Client) link(ctx context.Context, address string) (*link, error) {
	c.mutex.Lock()
	existing, found := c.links[address]
	closed := c.closed
	c.mutex.Unlock()
	if found && !existing.isBroken() {
		return existing, nil
	}
	if closed {
		return nil, errkind.New(errkind.PeerUnavailable, "this node is stopping")
	}
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, err := c.network.Dial(dialContext, address)
	if err != nil {
		return nil, errkind.New(errkind.PeerUnavailable, "connect to %s: %v", address, err)
	}
	return c.keep(address, connection), nil
}

// keep enters a new connection, unless another call was faster.
func (c *Client) keep(address string, connection net.Conn) *link {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if existing, found := c.links[address]; found && !existing.isBroken() {
		_ = connection.Close()
		return existing
	}
	created := &link{pending: map[uint64]chan *peerwire.Envelope{}, writer: newConnectionWriter(connection, c.traffic)}
	if c.closed {
		created.fail()
		return created
	}
	c.links[address] = created
	go created.read(c.traffic)
	return created
}

func (l *link) isBroken() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.broken
}

func (l *link) exchange(ctx context.Context, kind peerwire.Kind, body msgpack.RawMessage) (*peerwire.Envelope, error) {
	call := l.call.Add(1)
	answers := make(chan *peerwire.Envelope, 1)
	if !l.expect(call, answers) {
		return nil, errors.New("connection is broken")
	}
	defer l.forget(call)
	if err := l.writer.write(ctx, &peerwire.Envelope{Call: call, Kind: kind, Body: body}); err != nil {
		if !errors.Is(err, errNoTurn) {
			l.fail()
		}
		return nil, err
	}
	select {
	case answer, open := <-answers:
		if !open {
			return nil, errors.New("connection broke before the answer")
		}
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *link) expect(call uint64, answers chan *peerwire.Envelope) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.broken {
		return false
	}
	l.pending[call] = answers
	return true
}

func (l *link) forget(call uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.pending, call)
}

// read hands answers to their callers; an answer to a call that was given up,
// or a second answer, finds none and is dropped.
func (l *link) read(traffic Traffic) {
	defer l.fail()
	for {
		envelope, size, err := peerwire.ReadFrame(l.writer.connection)
		if err != nil {
			return
		}
		if traffic != nil {
			traffic.Count(envelope.Kind, false, size)
		}
		l.mutex.Lock()
		answers, found := l.pending[envelope.Call]
		delete(l.pending, envelope.Call)
		l.mutex.Unlock()
		if found {
			answers <- envelope
		}
	}
}

func (l *link) fail() {
	l.mutex.Lock()
	pending := l.pending
	l.pending = nil
	l.broken = true
	l.mutex.Unlock()
	_ = l.writer.connection.Close()
	for _, answers := range pending {
		close(answers)
	}
}
