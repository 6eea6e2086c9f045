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
	codeClosed    = 0
	codeProtocol  = 1
	codeSilent    = 2
	codeCancelled = 3
)

// Config configures a Transport. Zero durations and counts take the defaults.
type Config struct {
	// Listen is the UDP host:port to listen on.
	Listen string
	TLS    *tls.Config
	Log    *slog.Logger
	// ObserveBytes is told the bytes of each message by method and direction ("in" or "out").
	ObserveBytes func(method Method, direction string, n int)
	// HeartbeatInterval is the time without received data after which a
	// connection with open calls is probed.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time without received data after which a connection
	// with open calls is given up.
	HeartbeatTimeout time.Duration
	// IdleTimeout is how long a connection without calls is kept.
	IdleTimeout      time.Duration
	HandshakeTimeout time.Duration
	// MaxStreams bounds the calls that one peer may have open on a connection.
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
	conns  map[string]*dialing
	closed bool
}

// dialing is one connection to a peer, perhaps still being made. done is
// closed when conn or err is set.
type dialing struct {
	done chan struct{}
	conn *conn
	err  error
}

// New binds the UDP socket. Errors name the field.
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
		conns:    make(map[string]*dialing),
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

// Start accepts connections until Stop.
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
	for _, d := range t.conns {
		if d.conn != nil {
			_ = d.conn.raw.CloseWithError(codeClosed, "stopped")
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
		t.cfg.Log.Warn("unknown peer method", "peer", from.Name, "method", s.method)
		c.closeMalformed()
		return
	}
	handler(raw.Context(), from, s)
	s.finish()
}

// Open returns a stream to the peer, over an existing connection if one is
// there. The peer learns of the stream with the first Send.
func (t *Transport) Open(ctx context.Context, address string, method Method) (Stream, error) {
	for {
		c, fresh, err := t.connect(ctx, address)
		if err != nil {
			return nil, &Error{Kind: NotSent, Address: address, Err: err}
		}
		raw, err := c.raw.OpenStreamSync(ctx)
		if err == nil {
			c.streamOpened()
			return &stream{conn: c, raw: raw, method: method, client: true}, nil
		}
		t.forget(address, c)
		if fresh || ctx.Err() != nil {
			return nil, &Error{Kind: NotSent, Address: address, Err: err}
		}
	}
}

// connect returns a live connection to the address and whether it was made
// just now. Concurrent callers share one handshake.
func (t *Transport) connect(ctx context.Context, address string) (*conn, bool, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, false, errors.New("transport is stopped")
	}
	d, found := t.conns[address]
	if found && d.conn != nil && d.conn.raw.Context().Err() != nil {
		found = false
	}
	if !found {
		d = &dialing{done: make(chan struct{})}
		t.conns[address] = d
	}
	t.mu.Unlock()
	if !found {
		go t.dial(address, d)
	}
	select {
	case <-d.done:
		return d.conn, !found, d.err
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

// dial makes the connection on its own context, since later callers share it.
// Each connection has a UDP socket of its own: whatever has lost track of an
// old connection's ports lets a new one through.
func (t *Transport) dial(address string, d *dialing) {
	ctx, cancel := context.WithTimeout(context.Background(), t.cfg.HandshakeTimeout)
	defer cancel()
	made, err := t.dialConn(ctx, address)
	t.mu.Lock()
	d.conn = made
	d.err = err
	if err != nil && t.conns[address] == d {
		delete(t.conns, address)
	}
	t.mu.Unlock()
	close(d.done)
}

func (t *Transport) dialConn(ctx context.Context, address string) (*conn, error) {
	raw, err := quic.DialAddr(ctx, address, t.cfg.TLS, t.quicConfig())
	if err != nil {
		return nil, err
	}
	c := newConn(t.cfg, raw)
	go c.probe(address)
	go c.receiveDatagrams(raw.Context())
	return c, nil
}

func (t *Transport) forget(address string, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.conns[address]; ok && d.conn == c {
		delete(t.conns, address)
	}
}
