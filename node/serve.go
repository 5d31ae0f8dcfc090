package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/thornwalk/thornwalk/transport/keptconn"
	"github.com/thornwalk/thornwalk/transport/network"
	"github.com/thornwalk/thornwalk/transport/peer"
	"github.com/thornwalk/thornwalk/transport/unframed"
)

// Bounds of the HTTP servers against slow callers and large headers.
const (
	readHeaderTimeout = 10 * time.Second
	// readTimeout bounds reading a request with its body.
	readTimeout    = 60 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// peerNetwork returns the network for the peer protocol.
func (n *Node) peerNetwork() network.Network {
	if n.config.PeerTLS == nil {
		return n.deps.Network
	}
	return network.TLS{Inner: n.deps.Network, Server: n.config.PeerTLS, Client: n.config.PeerTLS}
}

// callerNetwork returns the network to the callers' interface of other nodes.
func (n *Node) callerNetwork() network.Network {
	if n.config.CallerTLS == nil {
		return n.deps.Network
	}
	client := n.config.PeerTLS
	if client == nil {
		client = n.config.CallerTLS
	}
	return network.TLS{Inner: n.deps.Network, Client: client}
}

// serve starts the servers for peers, callers and operators.
func (n *Node) serve() {
	server := peer.NewServer(n.traffic)
	n.handlePeers(server)
	n.group.Go(func() { server.Serve(n.ctx, n.peerListener) })
	n.callerServer = n.serveHTTP(n.callerListener, n.config.CallerTLS, n.callerHandler())
	n.serveHTTP(n.operatorListener, nil, n.operatorHandler())
}

// serveHTTP starts a server, with TLS if config is not nil. It closes all connections when the node's context ends.
func (n *Node) serveHTTP(listener net.Listener, config *tls.Config, handler http.Handler) *keptconn.Server {
	var responses unframed.Connections
	server := keptconn.NewServer(&http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return n.ctx },
		ConnContext: responses.Add,
		ErrorLog:    discardLog,
	})
	listener = server.Listen(listener)
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	n.group.Go(func() { _ = server.Server.Serve(listener) }) // always returns an error, also after Close
	n.group.Go(func() {
		<-n.ctx.Done()
		responses.Abort()
		_ = server.Close()
	})
	return server
}
