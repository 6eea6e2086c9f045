package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Defaults of Config.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultHeartbeatTimeout  = 2 * time.Second
	DefaultIdleTimeout       = 30 * time.Second
	DefaultHandshakeTimeout  = 2 * time.Second
	DefaultMaxStreams        = 4096
)

// Application error codes of closed connections and streams.
const (
	codeClosed           = 0
	codeProtocol         = 1
	codeHeartbeatTimeout = 2
	codeCancelled        = 3
)

// Config configures a Transport. Zero durations and counts mean the defaults.
type Config struct {
	// Listen is the UDP host:port to listen on.
	Listen string
	TLS    *tls.Config
	Log    *slog.Logger
	// ObserveBytes is called with the size in bytes of each message, its method and
	// its direction ("in" or "out").
	ObserveBytes func(method Method, direction string, n int)
	// HeartbeatInterval is the time without received data after which heartbeats
	// are sent on a connection with open calls.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time without received data after which a connection
	// with open calls is closed.
	HeartbeatTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept open.
	IdleTimeout      time.Duration
	HandshakeTimeout time.Duration
	// MaxStreams bounds the open calls of a peer on one connection.
	MaxStreams int64
}

// Transport carries calls to and from other daemons. It implements Caller and
// Registrar.
type Transport struct {
	cfg      Config
	socket   net.PacketConn
	quic     *quic.Transport
	listener *quic.Listener
	handlers map[Method]Handler
	serving  sync.WaitGroup

	// mu guards conns and closed; it is never held during I/O.
	mu     sync.Mutex
	conns  map[string]*connFuture
	closed bool
}

// connFuture is a connection to a peer that may still be in the handshake. done is
// closed when conn or err is set.
type connFuture struct {
	done chan struct{}
	conn *conn
	err  error
}

// New returns a Transport with a bound UDP socket. Errors name the field.
func New(cfg Config) (*Transport, error) {
	if cfg.TLS == nil {
		return nil, errors.New("peer transport: TLS is required")
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.ObserveBytes == nil {
		cfg.ObserveBytes = func(Method, string, int) {}
	}
	cfg.HeartbeatInterval = orDefault(cfg.HeartbeatInterval, DefaultHeartbeatInterval)
	cfg.HeartbeatTimeout = orDefault(cfg.HeartbeatTimeout, DefaultHeartbeatTimeout)
	cfg.IdleTimeout = orDefault(cfg.IdleTimeout, DefaultIdleTimeout)
	cfg.HandshakeTimeout = orDefault(cfg.HandshakeTimeout, DefaultHandshakeTimeout)
	if cfg.MaxStreams == 0 {
		cfg.MaxStreams = DefaultMaxStreams
	}
	address, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer transport: Listen %q: %w", cfg.Listen, err)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("peer transport: Listen %q: %w", cfg.Listen, err)
	}
	return &Transport{
		cfg:      cfg,
		socket:   socket,
		quic:     &quic.Transport{Conn: socket},
		handlers: make(map[Method]Handler),
		conns:    make(map[string]*connFuture),
	}, nil
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// Address returns the bound UDP host:port.
func (t *Transport) Address() string {
	return t.socket.LocalAddr().String()
}

// Handle registers the handler of a method. It must be called before Start.
func (t *Transport) Handle(method Method, handler Handler) {
	t.handlers[method] = handler
}

// Start accepts connections until Stop is called.
func (t *Transport) Start() error {
	listener, err := t.quic.Listen(t.cfg.TLS, t.quicConfig())
	if err != nil {
		return fmt.Errorf("peer transport: listen: %w", err)
	}
	t.listener = listener
	t.serving.Go(t.acceptConns)
	return nil
}

// Stop closes all connections and waits until every handler has returned.
func (t *Transport) Stop() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	if t.listener != nil {
		_ = t.listener.Close()
	}
	t.closeConns()
	_ = t.quic.Close()
	_ = t.socket.Close()
	t.serving.Wait()
}

func (t *Transport) closeConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, future := range t.conns {
		if future.conn != nil {
			_ = future.conn.raw.CloseWithError(codeClosed, "stopped")
		}
	}
}

func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  t.cfg.HandshakeTimeout,
		MaxIdleTimeout:        t.cfg.IdleTimeout,
		MaxIncomingStreams:    t.cfg.MaxStreams,
		MaxIncomingUniStreams: -1,
		EnableDatagrams:       true,
	}
}

func (t *Transport) acceptConns() {
	for {
		accepted, err := t.listener.Accept(context.Background())
		if err != nil {
			return
		}
		t.serving.Go(func() { t.serveConn(accepted) })
	}
}

func (t *Transport) serveConn(accepted *quic.Conn) {
	identity, err := identityOf(accepted.ConnectionState().TLS)
	if err != nil {
		_ = accepted.CloseWithError(codeProtocol, "identity")
		return
	}
	c := newConn(t.cfg, accepted)
	t.serving.Go(func() { c.answerHeartbeats(accepted.Context()) })
	for {
		stream, err := accepted.AcceptStream(accepted.Context())
		if err != nil {
			return
		}
		t.serving.Go(func() { t.serveStream(c, identity, stream) })
	}
}

// header is the first message of each stream.
type header struct {
	Method Method `cbor:"1,keyasint"`
}

func (t *Transport) serveStream(c *conn, from Identity, raw *quic.Stream) {
	s := &stream{conn: c, raw: raw}
	defer s.Cancel()
	if s.recvHeader() != nil {
		return
	}
	handler, ok := t.handlers[s.method]
	if !ok {
		t.cfg.Log.Warn("peer opened a stream with an unknown method; closing the connection", "peer", from.Name, "method", s.method)
		c.closeMalformed()
		return
	}
	handler(raw.Context(), from, s)
	s.finish()
}

// Open returns a stream to the peer, over an existing connection if there is one.
// The peer accepts the stream when the first Send reaches it.
func (t *Transport) Open(ctx context.Context, address string, method Method) (Stream, error) {
	for {
		c, dialed, err := t.connect(ctx, address)
		if err != nil {
			return nil, &Error{Kind: NotSent, Address: address, Err: err}
		}
		raw, err := c.raw.OpenStreamSync(ctx)
		if err == nil {
			c.streamOpened()
			return &stream{conn: c, raw: raw, method: method, client: true}, nil
		}
		t.removeConn(address, c)
		if dialed || ctx.Err() != nil {
			return nil, &Error{Kind: NotSent, Address: address, Err: err}
		}
	}
}

// connect returns an open connection to the address, and whether this call
// started its handshake. Concurrent calls share one handshake.
func (t *Transport) connect(ctx context.Context, address string) (*conn, bool, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, false, errors.New("transport is stopped")
	}
	future, found := t.conns[address]
	if found && future.conn != nil && future.conn.raw.Context().Err() != nil {
		found = false
	}
	if !found {
		future = &connFuture{done: make(chan struct{})}
		t.conns[address] = future
	}
	t.mu.Unlock()
	if !found {
		go t.dial(address, future)
	}
	select {
	case <-future.done:
		return future.conn, !found, future.err
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

// dial establishes the connection on its own context, since concurrent calls share
// it. Each connection has its own UDP socket: a network device that dropped the
// state of an old connection's ports passes packets of the new ones.
func (t *Transport) dial(address string, future *connFuture) {
	ctx, cancel := context.WithTimeout(context.Background(), t.cfg.HandshakeTimeout)
	defer cancel()
	c, err := t.dialConn(ctx, address)
	t.mu.Lock()
	future.conn = c
	future.err = err
	if err != nil && t.conns[address] == future {
		delete(t.conns, address)
	}
	t.mu.Unlock()
	close(future.done)
}

func (t *Transport) dialConn(ctx context.Context, address string) (*conn, error) {
	raw, err := quic.DialAddr(ctx, address, t.cfg.TLS, t.quicConfig())
	if err != nil {
		return nil, err
	}
	c := newConn(t.cfg, raw)
	go c.probe(address)
	go c.receiveHeartbeats(raw.Context())
	return c, nil
}

func (t *Transport) removeConn(address string, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if future, ok := t.conns[address]; ok && future.conn == c {
		delete(t.conns, address)
	}
}
