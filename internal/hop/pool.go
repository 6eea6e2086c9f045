package hop

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the connections to one upstream.
const (
	// connectTimeout is far above a round trip between zones, and below the
	// second after which a lost opening packet is sent again.
	connectTimeout = 500 * time.Millisecond
	// maxIdle bounds how long an idle connection is kept if the upstream states
	// no time-out.
	maxIdle = 10 * time.Second
	// idleMargin is how long before the upstream's own idle time-out a
	// connection is given up, so that the two ends do not cross.
	idleMargin = 1500 * time.Millisecond
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	readBuffer   = 4 << 10 // bytes
)

// Errors of Send before anything was written.
var (
	ErrPoolExhausted = errors.New("the share of connections to the upstream is used up")
	ErrConnect       = errors.New("no connection to the upstream")
	errClosed        = errors.New("the upstream is gone")
)

// Pool holds the connections to one upstream. It is safe for concurrent use.
type Pool struct {
	address netip.AddrPort
	limit   atomic.Int64

	// mu guards the fields below; it is not held during I/O.
	mu     sync.Mutex
	idle   []*conn
	open   int64
	closed bool
}

// NewPool returns a pool without connections. Limit bounds the open ones.
func NewPool(address netip.AddrPort, limit int) *Pool {
	p := &Pool{address: address}
	p.SetLimit(limit)
	return p
}

// SetLimit changes the bound on open connections; 0 or less means none.
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

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var kept, old []*conn
	for _, c := range p.idle {
		if now.Before(c.usableUntil) {
			kept = append(kept, c)
		} else {
			old = append(old, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// get returns an idle connection on which nothing has arrived and that was
// idle for no longer than maxAge, or a new one.
func (p *Pool) get(ctx context.Context, maxAge time.Duration) (*conn, error) {
	for {
		c, err := p.takeIdle(time.Now(), maxAge)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if quiet(c.Conn) {
			c.reused = true
			return c, nil
		}
		c.close()
	}
	return p.dial(ctx)
}

// takeIdle removes the connection that was used last, or reserves room for a new one.
func (p *Pool) takeIdle(now time.Time, maxAge time.Duration) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		if now.Before(c.usableUntil) && now.Sub(c.lastUsed) <= maxAge {
			p.idle = p.idle[:n-1]
			return c, nil
		}
	}
	if p.open >= p.limit.Load() {
		if len(p.idle) == 0 {
			return nil, ErrPoolExhausted
		}
		// An idle connection that may not be used makes room for a new one.
		old := p.idle[0]
		p.idle = p.idle[1:]
		p.open--
		old.pool = nil
		defer old.close()
	}
	p.open++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
	raw, err := dialer.DialContext(ctx, "tcp4", p.address.String())
	if err != nil {
		p.released()
		return nil, errors.Join(ErrConnect, err)
	}
	limited := &limitedReader{source: raw, left: math.MaxInt64}
	return &conn{Conn: raw, pool: p, limited: limited, reader: bufio.NewReaderSize(limited, readBuffer)}, nil
}

func (p *Pool) released() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put gives a connection back after an exchange that ended cleanly.
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

// conn is one connection. A single exchange uses it at a time.
type conn struct {
	net.Conn
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
		// The error of closing says nothing about the exchange.
		_ = c.Conn.Close()
		if c.pool != nil {
			c.pool.released()
		}
	})
}

// limitedReader bounds what is read of the head of an answer.
type limitedReader struct {
	source net.Conn
	left   int64
}

var errHeadTooLarge = errors.New("the head of the answer is too large")

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.source.Read(p)
	l.left -= int64(n)
	return n, err
}
