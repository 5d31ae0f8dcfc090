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
