package fake

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Network connects HTTP clients to one server in memory, so that both can run
// in a testing/synctest bubble. It is the server's net.Listener.
type Network struct {
	conns  chan net.Conn
	closed chan struct{}

	mu        sync.Mutex
	connCount int
}

// NewNetwork returns a network without connections.
func NewNetwork() *Network {
	return &Network{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (n *Network) Accept() (net.Conn, error) {
	select {
	case c := <-n.conns:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (n *Network) Close() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.closed:
	default:
		close(n.closed)
	}
	return nil
}

// Addr implements net.Listener.
func (n *Network) Addr() net.Addr {
	return networkAddr("memory")
}

// Transport returns a transport whose connections all lead to the server.
func (n *Network) Transport() *http.Transport {
	return &http.Transport{DialContext: n.dial, MaxIdleConnsPerHost: 64}
}

func (n *Network) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	n.mu.Lock()
	n.connCount++
	address := networkAddr(fmt.Sprintf("client-%d", n.connCount))
	n.mu.Unlock()
	select {
	case n.conns <- &networkConn{Conn: server, remote: address}:
		return client, nil
	case <-n.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// networkConn gives each connection a unique remote address.
type networkConn struct {
	net.Conn
	remote networkAddr
}

// RemoteAddr implements net.Conn.
func (c *networkConn) RemoteAddr() net.Addr { return c.remote }

type networkAddr string

// Network implements net.Addr.
func (networkAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a networkAddr) String() string { return string(a) }
