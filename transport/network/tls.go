package network

import (
	"context"
	"crypto/tls"
	"net"
)

// TLS adds TLS to another network. Server is used by listeners, Client by
// dials; for mutual TLS, Server requires and Client carries a certificate.
type TLS struct {
	Inner          Network
	Server, Client *tls.Config
}

// Dial implements Network. It returns after the handshake, so that an error
// proves that nothing but the handshake was sent.
func (t TLS) Dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := t.Inner.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	config := t.Client.Clone()
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address) // an odd address fails the handshake
	}
	secured := tls.Client(connection, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = connection.Close()
		return nil, err
	}
	return secured, nil
}

// Listen implements Network.
func (t TLS) Listen(address string) (net.Listener, error) {
	listener, err := t.Inner.Listen(address)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(listener, t.Server), nil
}
