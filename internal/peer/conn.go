package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// heartbeatPayload is the content of a heartbeat datagram.
var heartbeatPayload = []byte{1}

// conn is one connection with its heartbeat. Connections without open calls
// send nothing, so that idle pairs of daemons cost no bytes.
type conn struct {
	cfg Config
	raw *quic.Conn
	// open counts the calls that this side has open.
	open atomic.Int64
	// heard is the time of the last received data, in nanoseconds since start.
	heard atomic.Int64
	start time.Time
}

func newConn(cfg Config, raw *quic.Conn) *conn {
	return &conn{cfg: cfg, raw: raw, start: time.Now()}
}

func (c *conn) received() {
	c.heard.Store(int64(time.Since(c.start)))
}

func (c *conn) silence() time.Duration {
	return time.Since(c.start) - time.Duration(c.heard.Load())
}

// streamOpened counts an open call. The first one after an idle period starts
// the measurement of silence anew.
func (c *conn) streamOpened() {
	if c.open.Add(1) == 1 {
		c.received()
	}
}

func (c *conn) streamClosed() {
	c.open.Add(-1)
}

func (c *conn) closeMalformed() {
	_ = c.raw.CloseWithError(codeProtocol, "malformed message")
}

// probe sends heartbeats while calls are open and nothing was received, and
// closes the connection when it stays silent for longer than the bound.
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
	silence := c.silence()
	switch {
	case c.open.Load() == 0:
	case silence >= c.cfg.HeartbeatTimeout:
		c.cfg.Log.Warn("connection is silent", "address", address, "silence", silence)
		_ = c.raw.CloseWithError(codeSilent, "silent")
	case silence >= c.cfg.HeartbeatInterval:
		_ = c.raw.SendDatagram(heartbeatPayload)
	}
}

// receiveDatagrams notes the heartbeats' answers.
func (c *conn) receiveDatagrams(ctx context.Context) {
	for {
		if _, err := c.raw.ReceiveDatagram(ctx); err != nil {
			return
		}
		c.received()
	}
}

// answerHeartbeats echoes heartbeats of the peer.
func (c *conn) answerHeartbeats(ctx context.Context) {
	for {
		if _, err := c.raw.ReceiveDatagram(ctx); err != nil {
			return
		}
		_ = c.raw.SendDatagram(heartbeatPayload)
	}
}
