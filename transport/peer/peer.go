// Package peer carries typed calls between nodes over the peerwire protocol.
// A failed call proves nothing about its effect, unless the error says that
// no connection could be made.
package peer

import (
	"context"
	"errors"
	"fmt"
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
	// silenceCheck is the time between looks whether a connection with waiting calls is
	// silent. One that is silent for pingAfter is sent a ping, and is broken if nothing
	// comes for pingPatience after that: connections may fall silent for good while new
	// ones work, and the kernel breaks them only after seconds. A place is granted within
	// 20 ms where one is free; a reply of 1 MB takes 0.4 s on a link of 20 Mbit/s, but its
	// bytes are heard as they come.
	silenceCheck = 100 * time.Millisecond
	pingAfter    = 200 * time.Millisecond
	pingPatience = 400 * time.Millisecond
)

// SilenceTime is how long a connection has been silent at least when it is given up.
const SilenceTime = pingAfter + pingPatience

// kindPing is a kind that every version replies to, if only that it has no handler.
const kindPing = peerwire.KindProbe

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
	// silent is called when a connection was given up because nothing came from it.
	silent func(address string)
}

// OnSilence sets what is called when a connection to the address was given up because
// nothing came from it. It is set before the first call.
func (c *Client) OnSilence(handle func(address string)) { c.silent = handle }

// NewClient returns a client on the network.
func NewClient(network network.Network, traffic Traffic) *Client {
	return &Client{network: network, traffic: traffic, links: map[string]*link{}, silent: func(string) {}}
}

// link is one connection to a peer.
type link struct {
	writer  *connectionWriter
	call    atomic.Uint64
	mutex   sync.Mutex
	pending map[uint64]chan *peerwire.Envelope
	broken  bool
	// heard is when bytes came last and pinged when the last ping went out, as time since
	// opened.
	opened        time.Time
	heard, pinged time.Duration
	// silent is called when the link is given up for its silence.
	silent func()
}

// ErrLinkBroken is matched by the errors of calls whose connection broke after it had
// been opened. Another call opens a new one.
var ErrLinkBroken = errors.New("the connection to the peer broke")

// Call sends the message and decodes the answer into reply. Errors: kind
// PeerUnavailable if the peer can't be reached or does not answer in time, in
// which case it may have acted on the message, and ErrLinkBroken as well if an open
// connection broke; else the kind of the peer's error.
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
		return callError(kind, address, err)
	}
	if answer.Code != "" {
		return remoteError(answer)
	}
	return peerwire.Unmarshal(answer.Body, reply)
}

func callError(kind peerwire.Kind, address string, cause error) error {
	err := errkind.New(errkind.PeerUnavailable, "%s to %s: %v", kind, address, cause)
	if errors.Is(cause, ErrLinkBroken) {
		return fmt.Errorf("%w: %w", ErrLinkBroken, err)
	}
	return err
}

// Ping returns an error unless the peer replies within the context, over the open
// connection or a new one.
func (c *Client) Ping(ctx context.Context, address string) error {
	connection, err := c.link(ctx, address)
	if err != nil {
		return err
	}
	if _, err := connection.exchange(ctx, kindPing, nil); err != nil {
		return callError(kindPing, address, err)
	}
	return nil
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
	created := &link{
		pending: map[uint64]chan *peerwire.Envelope{}, writer: newConnectionWriter(connection, c.traffic),
		opened: time.Now(), silent: func() { c.silent(address) },
	}
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
		return nil, ErrLinkBroken
	}
	defer l.forget(call)
	if err := l.writer.write(ctx, &peerwire.Envelope{Call: call, Kind: kind, Body: body}); err != nil {
		if errors.Is(err, errNoTurn) || ctx.Err() != nil {
			return nil, err
		}
		l.fail()
		return nil, ErrLinkBroken
	}
	return l.await(ctx, answers)
}

// await waits for the answer to a call that was written, as long as the connection is
// not silent.
func (l *link) await(ctx context.Context, answers chan *peerwire.Envelope) (*peerwire.Envelope, error) {
	check := time.NewTicker(silenceCheck)
	defer check.Stop()
	for {
		select {
		case answer, open := <-answers:
			if !open {
				return nil, ErrLinkBroken
			}
			return answer, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-check.C:
			l.checkSilence()
		}
	}
}

// checkSilence pings a peer that nothing came from for a while, and ends the link if
// nothing comes after that either.
func (l *link) checkSilence() {
	l.mutex.Lock()
	now := time.Since(l.opened)
	if l.broken || now-l.heard < pingAfter {
		l.mutex.Unlock()
		return
	}
	pings := l.pinged <= l.heard
	if pings {
		l.pinged = now
	}
	dead := now-l.pinged > pingPatience
	l.mutex.Unlock()
	switch {
	case dead:
		l.fail()
		l.silent()
	case pings:
		go l.ping()
	}
}

// ping asks for any reply.
func (l *link) ping() {
	ctx, cancel := context.WithTimeout(context.Background(), pingPatience)
	defer cancel()
	// A ping that can't be written is missing like one that is not answered.
	_ = l.writer.write(ctx, &peerwire.Envelope{Call: l.call.Add(1), Kind: kindPing})
}

// Read implements io.Reader and notes that the peer was heard.
func (l *link) Read(into []byte) (int, error) {
	count, err := l.writer.connection.Read(into)
	if count > 0 {
		l.mutex.Lock()
		l.heard = time.Since(l.opened)
		l.mutex.Unlock()
	}
	return count, err
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
		envelope, size, err := peerwire.ReadFrame(l)
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
