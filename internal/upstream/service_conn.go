package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Limits of the connections to plain services.
const (
	serviceConnectTimeout         = time.Second
	serviceIdleTimeout            = 30 * time.Second
	serviceMaxIdlePerReplica      = 64
	serviceMaxResponseHeaderBytes = 64 << 10
)

// serviceKeepAlive closes a dead idle connection within 5 s, so that calls are
// rarely sent on one.
var serviceKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// writeCountingConn counts the calls of Write, so that an attempt can prove
// that none of its bytes were written to the connection.
type writeCountingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write counts before it writes: a count that has not changed after the
// connection was closed means that nothing was written.
func (c *writeCountingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// newServiceTransport returns a transport for one replica. Without reuse each
// call uses a new connection, which cannot have stalled or been closed by the
// replica before the call.
func newServiceTransport(reuse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: serviceConnectTimeout, KeepAliveConfig: serviceKeepAlive}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &writeCountingConn{Conn: conn}, nil
		},
		DisableKeepAlives:      !reuse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    serviceMaxIdlePerReplica,
		IdleConnTimeout:        serviceIdleTimeout,
		MaxResponseHeaderBytes: serviceMaxResponseHeaderBytes,
	}
}

// sendTrace records whether any byte of one attempt was written to a
// connection.
type sendTrace struct {
	conn         atomic.Pointer[writeCountingConn]
	writesBefore atomic.Int64
	untraceable  atomic.Bool
}

// attach returns a context that reports the attempt's connection to the trace.
func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*writeCountingConn)
	if !ok || t.conn.Load() != nil {
		// A TLS connection, or a second one after a replay by the transport.
		t.untraceable.Store(true)
		return
	}
	t.writesBefore.Store(conn.writes.Load())
	t.conn.Store(conn)
}

// sent reports whether bytes may have reached the replica. It is exact after
// RoundTrip failed, because the transport has closed the connection by then.
func (t *sendTrace) sent() bool {
	if t.untraceable.Load() {
		return true
	}
	conn := t.conn.Load()
	return conn != nil && conn.writes.Load() != t.writesBefore.Load()
}

// progressTimer cancels an attempt that makes no progress for the duration of
// the timeout.
type progressTimer struct {
	timeout time.Duration
	timer   *time.Timer
	expired atomic.Bool
}

func newProgressTimer(timeout time.Duration, cancel context.CancelFunc) *progressTimer {
	p := &progressTimer{timeout: timeout}
	p.timer = time.AfterFunc(timeout, func() {
		p.expired.Store(true)
		cancel()
	})
	return p
}

func (p *progressTimer) recordProgress() {
	if !p.expired.Load() {
		p.timer.Reset(p.timeout)
	}
}

func (p *progressTimer) stop() {
	p.timer.Stop()
}

// nonReplayableBody is a request body that the transport cannot replay: it
// hides all methods except Read and Close. A bytes.Reader would give the
// request a GetBody function, and a nil body would make an empty request with
// an idempotency key replayable.
type nonReplayableBody struct {
	reader io.Reader
	timer  *progressTimer
	// bytesRead counts the bytes read from reader.
	bytesRead atomic.Int64
	// readErr is the error of reader, if it is not io.EOF.
	readErr atomic.Pointer[error]
}

// Read reads from the caller's body and counts as progress.
func (b *nonReplayableBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if n > 0 {
		b.bytesRead.Add(int64(n))
		b.timer.recordProgress()
	}
	if err != nil && err != io.EOF {
		b.readErr.Store(&err)
	}
	return n, err
}

// Close does nothing; the caller's body is owned by the entry.
func (b *nonReplayableBody) Close() error {
	return nil
}
