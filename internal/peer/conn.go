package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

var heartbeatPayload = []byte{1}

// conn is one connection with its heartbeat. Connections without open calls send
// no heartbeats, so idle pairs of daemons cause no traffic.
type conn struct {
	cfg Config
	raw *quic.Conn
	// openStreams is the number of open streams that this side opened.
	openStreams atomic.Int64
	// lastReceived is when data was last received, in nanoseconds since start.
	lastReceived atomic.Int64
	start        time.Time
}

func newConn(cfg Config, raw *quic.Conn) *conn {
	return &conn{cfg: cfg, raw: raw, start: time.Now()}
}

func (c *conn) recordReceived() {
	c.lastReceived.Store(int64(time.Since(c.start)))
}

func (c *conn) timeSinceReceived() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastReceived.Load())
}

// streamOpened counts an open stream. The first one after a period without
// streams restarts the measurement of time without data.
func (c *conn) streamOpened() {
	if c.openStreams.Add(1) == 1 {
		c.recordReceived()
	}
}

func (c *conn) streamClosed() {
	c.openStreams.Add(-1)
}

func (c *conn) closeMalformed() {
	_ = c.raw.CloseWithError(codeProtocol, "malformed message")
}

// probe sends heartbeats while calls are open and no data is received, and closes
// the connection after HeartbeatTimeout without data.
func (c *conn) probe(address string) {
	ticker := time.NewTicker(c.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.raw.Context().Done():
			return
		case <-ticker.C:
			c.probeOnce(address)
		}
	}
}

func (c *conn) probeOnce(address string) {
	elapsed := c.timeSinceReceived()
	switch {
	case c.openStreams.Load() == 0:
	case elapsed >= c.cfg.HeartbeatTimeout:
		c.cfg.Log.Warn("connection is silent", "address", address, "silence", elapsed)
		_ = c.raw.CloseWithError(codeHeartbeatTimeout, "silent")
	case elapsed >= c.cfg.HeartbeatInterval:
		_ = c.raw.SendDatagram(heartbeatPayload)
	}
}

// receiveHeartbeats records the arrival of heartbeat replies.
func (c *conn) receiveHeartbeats(ctx context.Context) {
	for {
		if _, err := c.raw.ReceiveDatagram(ctx); err != nil {
			return
		}
		c.recordReceived()
	}
}

// answerHeartbeats replies to heartbeats of the peer.
func (c *conn) answerHeartbeats(ctx context.Context) {
	for {
		if _, err := c.raw.ReceiveDatagram(ctx); err != nil {
			return
		}
		_ = c.raw.SendDatagram(heartbeatPayload)
	}
}
