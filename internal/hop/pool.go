package hop

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the connections to one upstream.
const (
	// connectTimeout is far above a round trip between zones, and below the second
	// after which a lost SYN is retransmitted.
	connectTimeout = 500 * time.Millisecond
	// maxIdle limits how long an idle connection is kept.
	maxIdle = 10 * time.Second
	// idleMargin is how long before the upstream's own idle timeout a connection
	// is closed, to avoid sending a request while the upstream closes it.
	idleMargin = 1500 * time.Millisecond
	// maxHeadBytes limits the head of a response.
	maxHeadBytes    = 64 << 10
	readBufferBytes = 4 << 10
)

// Errors of Send if nothing was written.
var (
	ErrPoolExhausted = errors.New("the share of connections to the upstream is used up")
	ErrConnect       = errors.New("no connection to the upstream")
	errPoolClosed    = errors.New("the connection pool to the upstream is closed")
)

// Dialer opens connections to upstreams.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Dial is the Dialer for TCP. Its errors wrap those of the system.
func Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
	return dialer.DialContext(ctx, "tcp4", address.String())
}

// Pool is a pool of connections to one upstream. It is safe for concurrent use.
type Pool struct {
	address netip.AddrPort
	dialer  Dialer
	// activity records when bytes arrive; it may be nil.
	activity *Activity
	limit    atomic.Int64

	// mu guards the fields below; it is not held during I/O.
	mu     sync.Mutex
	idle   []*conn
	open   int64
	closed bool
}

// ConnID identifies a connection within this process; 0 for none.
type ConnID uint64

// lastConnID is the ID of the connection that was opened last.
var lastConnID atomic.Uint64

// Activity records when bytes last arrived on any connection of several pools. It is safe
// for concurrent use.
type Activity struct {
	began time.Time
	// receivedAt is counted from began, in nanoseconds.
	receivedAt atomic.Int64
}

// NewActivity returns an Activity that counts from now.
func NewActivity() *Activity {
	return &Activity{began: time.Now()}
}

// SinceReceived returns how long ago bytes last arrived.
func (a *Activity) SinceReceived() time.Duration {
	return time.Since(a.began) - time.Duration(a.receivedAt.Load())
}

// NewPool returns a pool without connections, which the dialer opens. activity, if not
// nil, records when bytes arrive. limit is the maximum number of open connections.
func NewPool(address netip.AddrPort, dialer Dialer, activity *Activity, limit int) *Pool {
	p := &Pool{address: address, dialer: dialer, activity: activity}
	p.SetLimit(limit)
	return p
}

// SetLimit changes the maximum number of open connections; 0 or less means no
// limit.
func (p *Pool) SetLimit(limit int) {
	if limit <= 0 {
		limit = math.MaxInt32
	}
	p.limit.Store(int64(limit))
}

// Close closes the idle connections; those in use are closed after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var kept, expired []*conn
	for _, c := range p.idle {
		if now.Before(c.usableUntil) {
			kept = append(kept, c)
		} else {
			expired = append(expired, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// get returns an idle connection that has received nothing, was idle for no
// longer than maxAge and is not one of avoid, or a new connection.
func (p *Pool) get(ctx context.Context, maxAge time.Duration, avoid []ConnID) (*conn, error) {
	for {
		c, err := p.claimIdle(time.Now(), maxAge, avoid)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if nothingReceived(c.Conn) {
			c.reused = true
			return c, nil
		}
		c.close()
	}
	return p.dial(ctx)
}

// claimIdle removes the most recently used idle connection that may be reused
// from the pool. If there is none, it reserves a slot for a new connection and
// returns nil.
func (p *Pool) claimIdle(now time.Time, maxAge time.Duration, avoid []ConnID) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errPoolClosed
	}
	for i, c := range slices.Backward(p.idle) {
		if now.Before(c.usableUntil) && now.Sub(c.lastUsed) <= maxAge && !slices.Contains(avoid, c.id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, nil
		}
	}
	if p.open >= p.limit.Load() {
		if len(p.idle) == 0 {
			return nil, ErrPoolExhausted
		}
		// Close an unusable idle connection to make room for a new one.
		evicted := p.idle[0]
		p.idle = p.idle[1:]
		p.open--
		evicted.pool = nil
		defer evicted.close()
	}
	p.open++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	raw, err := p.dialer(ctx, p.address)
	if err != nil {
		p.connClosed()
		return nil, errors.Join(ErrConnect, err)
	}
	limited := &limitedReader{source: raw, remaining: math.MaxInt64, activity: p.activity}
	return &conn{Conn: raw, id: ConnID(lastConnID.Add(1)), pool: p, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes)}, nil
}

func (p *Pool) connClosed() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put returns a connection to the pool after an exchange that ended cleanly.
func (p *Pool) put(c *conn, keep time.Duration) {
	now := time.Now()
	c.lastUsed = now
	c.usableUntil = now.Add(keep)
	p.mu.Lock()
	usable := !p.closed && p.open <= p.limit.Load() && keep > 0
	if usable {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !usable {
		c.close()
	}
}

// conn is one connection. It is used by one exchange at a time.
type conn struct {
	net.Conn
	id          ConnID
	pool        *Pool
	limited     *limitedReader
	reader      *bufio.Reader
	lastUsed    time.Time
	usableUntil time.Time
	reused      bool
	once        sync.Once
}

func (c *conn) close() {
	c.once.Do(func() {
		// An error on close is irrelevant to the exchange.
		_ = c.Conn.Close()
		if c.pool != nil {
			c.pool.connClosed()
		}
	})
}

// limitedReader limits how much is read of a response head.
type limitedReader struct {
	source    net.Conn
	remaining int64
	activity  *Activity
}

var errHeadTooLarge = errors.New("the head of the answer is too large")

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	if n > 0 && l.activity != nil {
		l.activity.receivedAt.Store(int64(time.Since(l.activity.began)))
	}
	return n, err
}
