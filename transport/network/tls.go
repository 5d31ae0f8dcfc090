package network

import (
	"context"
	"crypto/tls"
	"net"
)

// TLS adds TLS to another network. Listeners use the Server configuration, dials the Client
// configuration; for mutual TLS, Server requires a certificate and Client has one.
type TLS struct {
	Inner          Network
	Server, Client *tls.Config
}

// Dial implements Network. It returns after the handshake, so an error proves that no application
// data was sent.
func (t TLS) Dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := t.Inner.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	config := t.Client.Clone()
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address) // with an invalid address the handshake fails
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
