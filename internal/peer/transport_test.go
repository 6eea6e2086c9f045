package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/peer"
)

type message struct {
	Text string `cbor:"1,keyasint"`
}

func newTransport(t *testing.T, authority *fake.Authority, name string, handlers map[peer.Method]peer.Handler) *peer.Transport {
	t.Helper()
	certificate, err := authority.Issue(name, peer.ServerName)
	if err != nil {
		t.Fatal(err)
	}
	transport, err := peer.New(peer.Config{
		Listen:            "127.0.0.1:0",
		TLS:               peer.NewTLS(certificate, authority.Pool()),
		HeartbeatInterval: 20 * time.Millisecond,
		HeartbeatTimeout:  200 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	for method, handler := range handlers {
		transport.Handle(method, handler)
	}
	if err := transport.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(transport.Stop)
	return transport
}

func newAuthority(t *testing.T) *fake.Authority {
	t.Helper()
	authority, err := fake.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func echo(_ context.Context, from peer.Identity, s peer.Stream) {
	var m message
	if s.Recv(&m) == nil {
		_ = s.Send(message{Text: from.Name + ":" + m.Text})
	}
}

// blocker has a handler that replies once and then blocks until the stream ends.
type blocker struct {
	ended chan struct{}
}

func newBlocker() *blocker {
	return &blocker{ended: make(chan struct{}, 1)}
}

func (b *blocker) handle(ctx context.Context, _ peer.Identity, s peer.Stream) {
	var m message
	_ = s.Recv(&m)
	_ = s.Send(m)
	<-ctx.Done()
	b.ended <- struct{}{}
}

// start opens a blocking call and returns once its handler has replied.
func (b *blocker) start(t *testing.T, from *peer.Transport, address string) peer.Stream {
	t.Helper()
	s, err := from.Open(t.Context(), address, "block")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Send(message{}); err != nil {
		t.Fatal(err)
	}
	var m message
	if err := s.Recv(&m); err != nil {
		t.Fatal(err)
	}
	return s
}

func exchange(t *testing.T, from *peer.Transport, address, text string) (string, error) {
	t.Helper()
	s, err := from.Open(t.Context(), address, "echo")
	if err != nil {
		return "", err
	}
	defer s.Cancel()
	if err := s.Send(message{Text: text}); err != nil {
		return "", err
	}
	var m message
	if err := s.Recv(&m); err != nil {
		return "", err
	}
	if err := s.Recv(&m); !errors.Is(err, io.EOF) {
		t.Errorf("after the reply: %v, want EOF", err)
	}
	return m.Text, nil
}

func TestHandlerReceivesPeerIdentity(t *testing.T) {
	authority := newAuthority(t)
	server := newTransport(t, authority, "b", map[peer.Method]peer.Handler{"echo": echo})
	client := newTransport(t, authority, "a", nil)
	got, err := exchange(t, client, server.Address(), "x")
	if err != nil || got != "a:x" {
		t.Fatalf("got %q, %v", got, err)
	}
}

func TestCertificateOfOtherAuthorityIsRejected(t *testing.T) {
	var served atomic.Int64
	count := func(context.Context, peer.Identity, peer.Stream) { served.Add(1) }
	server := newTransport(t, newAuthority(t), "b", map[peer.Method]peer.Handler{"echo": count})
	foreign := newTransport(t, newAuthority(t), "a", nil)
	if _, err := exchange(t, foreign, server.Address(), "x"); err == nil {
		t.Fatal("a client with a certificate of another authority got a response")
	}
	if served.Load() != 0 {
		t.Fatal("a client with a certificate of another authority reached a handler")
	}
}

func TestCancelReachesHandler(t *testing.T) {
	authority := newAuthority(t)
	blocker := newBlocker()
	server := newTransport(t, authority, "b", map[peer.Method]peer.Handler{"block": blocker.handle})
	client := newTransport(t, authority, "a", nil)
	blocker.start(t, client, server.Address()).Cancel()
	<-blocker.ended
}

func TestMalformedMessageClosesOnlyItsConnection(t *testing.T) {
	authority := newAuthority(t)
	blocker := newBlocker()
	server := newTransport(t, authority, "b", map[peer.Method]peer.Handler{"echo": echo, "block": blocker.handle})
	bad := newTransport(t, authority, "bad", nil)
	good := newTransport(t, authority, "good", nil)
	defer blocker.start(t, bad, server.Address()).Cancel()
	s, err := bad.Open(t.Context(), server.Address(), "echo")
	if err != nil {
		t.Fatal(err)
	}
	_ = s.Send([]string{"not", "a", "message"})
	<-blocker.ended
	if got, err := exchange(t, good, server.Address(), "x"); err != nil || got != "good:x" {
		t.Fatalf("another daemon got %q, %v", got, err)
	}
}

// TestStalledConnectionIsReplaced relays UDP and then drops all packets of the
// ports used so far, like a network device that lost its state of a connection.
func TestStalledConnectionIsReplaced(t *testing.T) {
	authority := newAuthority(t)
	blocker := newBlocker()
	server := newTransport(t, authority, "b", map[peer.Method]peer.Handler{"echo": echo, "block": blocker.handle})
	client := newTransport(t, authority, "a", nil)
	relay := newRelay(t, server.Address())
	s := blocker.start(t, client, relay.address())
	defer s.Cancel()
	relay.dropCurrentFlows()
	var m message
	var lost *peer.Error
	if err := s.Recv(&m); !errors.As(err, &lost) || lost.Kind != peer.Lost {
		t.Fatalf("call on a stalled connection: %v, want lost", err)
	}
	if got, err := exchange(t, client, relay.address(), "x"); err != nil || got != "a:x" {
		t.Fatalf("new connection: %q, %v", got, err)
	}
}

// relay forwards UDP packets between clients and a server. Flows of an earlier
// epoch are dropped.
type relay struct {
	clientSide *net.UDPConn
	target     *net.UDPAddr
	epoch      atomic.Int64
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	clientSide, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{clientSide: clientSide, target: address}
	t.Cleanup(func() { _ = clientSide.Close() })
	go r.run()
	return r
}

func (r *relay) address() string { return r.clientSide.LocalAddr().String() }

func (r *relay) dropCurrentFlows() { r.epoch.Add(1) }

func (r *relay) run() {
	type flow struct {
		serverSide *net.UDPConn
		epoch      int64
	}
	flows := make(map[string]*flow)
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := r.clientSide.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		f, ok := flows[from.String()]
		if !ok {
			serverSide, err := net.DialUDP("udp", nil, r.target)
			if err != nil {
				return
			}
			f = &flow{serverSide: serverSide, epoch: r.epoch.Load()}
			flows[from.String()] = f
			go r.forwardReplies(serverSide, from, f.epoch)
		}
		if f.epoch == r.epoch.Load() {
			_, _ = f.serverSide.Write(bytes.Clone(buffer[:n]))
		}
	}
}

func (r *relay) forwardReplies(serverSide *net.UDPConn, to *net.UDPAddr, epoch int64) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := serverSide.Read(buffer)
		if err != nil {
			return
		}
		if epoch == r.epoch.Load() {
			_, _ = r.clientSide.WriteToUDP(buffer[:n], to)
		}
	}
}
