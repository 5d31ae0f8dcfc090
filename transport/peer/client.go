package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Client calls peers, over one connection to each. It is safe for concurrent use.
type Client struct {
	network network.Network
	traffic Traffic
	mutex   sync.Mutex
	links   map[string]*link
	closed  bool
	// onSilence is called with the address of a peer whose silent connection was closed.
	onSilence func(address string)
}

// OnSilence sets the function that is called when a connection to the address was closed since
// nothing was received for SilenceTime. It must be set before the first call.
func (c *Client) OnSilence(handle func(address string)) { c.onSilence = handle }

// NewClient returns a client that uses the network. traffic may be nil.
func NewClient(network network.Network, traffic Traffic) *Client {
	return &Client{network: network, traffic: traffic, links: map[string]*link{}, onSilence: func(string) {}}
}

// ErrLinkBroken is matched by the errors of calls whose established connection broke. The next call
// opens a new one.
var ErrLinkBroken = errors.New("peer connection broke")

// Call sends the message and decodes the answer into reply. An error of the peer has its kind. If
// the peer can't be reached or doesn't answer within the context, the error is of kind
// PeerUnavailable, and the peer may have acted on the message; if an established connection broke,
// it also matches ErrLinkBroken.
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
	err := errkind.New(errkind.PeerUnavailable, "call %s at %s: %v", kind, address, cause)
	if errors.Is(cause, ErrLinkBroken) {
		return fmt.Errorf("%w: %w", ErrLinkBroken, err)
	}
	return err
}

// Open makes a call on a connection of its own and returns the connection, which belongs to the caller and
// carries bytes of both sides from then on. If it returns an error, of kind PeerUnavailable or the kind of
// the peer's error, the connection is closed.
func (c *Client) Open(ctx context.Context, address string, kind peerwire.Kind, message, reply any) (net.Conn, error) {
	body, err := peerwire.Marshal(message)
	if err != nil {
		return nil, err
	}
	connection, err := c.network.Dial(ctx, address)
	if err != nil {
		return nil, errkind.New(errkind.PeerUnavailable, "connect to %s: %v", address, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	err = c.openStream(ctx, connection, &peerwire.Envelope{Call: 1, Kind: kind, Body: body}, reply)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = connection.Close()
		return nil, callError(kind, address, err)
	}
	return connection, nil
}

// openStream makes the call on the connection.
func (c *Client) openStream(ctx context.Context, connection net.Conn, call *peerwire.Envelope, reply any) error {
	if err := newConnectionWriter(connection, c.traffic).write(ctx, call); err != nil {
		return err
	}
	_ = connection.SetWriteDeadline(time.Time{})
	answer, size, err := peerwire.ReadFrame(connection)
	if err != nil {
		return err
	}
	if c.traffic != nil {
		c.traffic.Count(answer.Kind, false, size)
	}
	if answer.Code != "" {
		return remoteError(answer)
	}
	return peerwire.Unmarshal(answer.Body, reply)
}

// Ping returns an error unless the peer replies within the context, over the established connection
// or a new one.
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
	return errkind.New(kind, "peer returned: %s", answer.Detail)
}

// Close closes all connections. Later calls fail.
func (c *Client) Close() {
	c.mutex.Lock()
	links := c.links
	c.links = map[string]*link{}
	c.closed = true
	c.mutex.Unlock()
	for _, connection := range links {
		connection.close()
	}
}

// link returns the established connection to the address, or opens one.
func (c *Client) link(ctx context.Context, address string) (*link, error) {
	c.mutex.Lock()
	existing, found := c.links[address]
	closed := c.closed
	c.mutex.Unlock()
	if found && !existing.isBroken() {
		return existing, nil
	}
	if closed {
		return nil, errkind.New(errkind.PeerUnavailable, "connect to peer: this node is stopping")
	}
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, err := c.network.Dial(dialContext, address)
	if err != nil {
		return nil, errkind.New(errkind.PeerUnavailable, "connect to %s: %v", address, err)
	}
	return c.addLink(address, connection), nil
}

// addLink registers a new connection, or closes it and returns the one that a concurrent call
// registered first.
func (c *Client) addLink(address string, connection net.Conn) *link {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if existing, found := c.links[address]; found && !existing.isBroken() {
		_ = connection.Close()
		return existing
	}
	created := &link{
		pending: map[uint64]chan *peerwire.Envelope{}, writer: newConnectionWriter(connection, c.traffic),
		opened: time.Now(), onSilence: func() { c.onSilence(address) },
	}
	if c.closed {
		created.close()
		return created
	}
	c.links[address] = created
	go created.readLoop(c.traffic)
	return created
}
