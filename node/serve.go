package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/thornwalk/thornwalk/transport/network"
	"github.com/thornwalk/thornwalk/transport/peer"
)

// Bounds of the HTTP servers against slow and large callers.
const (
	readHeaderTimeout = 10 * time.Second
	// readTimeout bounds the reading of a whole request.
	readTimeout    = 60 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// peerNetwork is the network to other nodes' peer interface.
func (n *Node) peerNetwork() network.Network {
	if n.config.PeerTLS == nil {
		return n.deps.Network
	}
	return network.TLS{Inner: n.deps.Network, Server: n.config.PeerTLS, Client: n.config.PeerTLS}
}

// callerNetwork is the network to other nodes' callers' interface.
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

// serve starts the servers of the three interfaces.
func (n *Node) serve() {
	server := peer.NewServer(n.traffic)
	n.handlePeers(server)
	n.group.Go(func() { server.Serve(n.ctx, n.peerListener) })
	listener := n.callerListener
	if n.config.CallerTLS != nil {
		listener = tls.NewListener(listener, n.config.CallerTLS)
	}
	n.serveHTTP(listener, n.callerHandler())
	n.serveHTTP(n.operatorListener, n.operatorHandler())
}

// serveHTTP serves until the node's context ends, which cuts all connections.
func (n *Node) serveHTTP(listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return n.ctx },
		ErrorLog:    discardLog,
	}
	n.group.Go(func() { _ = server.Serve(listener) }) // always returns an error; it ends with Close
	n.group.Go(func() {
		<-n.ctx.Done()
		_ = server.Close()
	})
}
