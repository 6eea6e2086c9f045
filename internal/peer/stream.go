package peer

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// stream is one call on a connection.
type stream struct {
	conn   *conn
	raw    *quic.Stream
	method Method
	client bool
	// begun tells that the header message was sent.
	begun bool
	ended atomic.Bool
}

// Send writes the method, if this is the first message of a client, and the message.
func (s *stream) Send(message any) error {
	if s.client && !s.begun {
		s.begun = true
		if err := s.write(header{Method: s.method}); err != nil {
			return err
		}
	}
	return s.write(message)
}

func (s *stream) write(message any) error {
	n, err := writeFrame(s.raw, message)
	s.conn.cfg.ObserveBytes(s.method, "out", n)
	if err != nil {
		return s.failed(err)
	}
	return nil
}

// Recv reads one message. It returns io.EOF after the peer's CloseSend. A
// malformed message closes the connection.
func (s *stream) Recv(message any) error {
	n, err := readFrame(s.raw, message)
	if err != nil {
		return s.recvFailed(err)
	}
	s.conn.received()
	s.conn.cfg.ObserveBytes(s.method, "in", n)
	return nil
}

// recvHeader reads the first message of a served stream, which names its method.
func (s *stream) recvHeader() error {
	var head header
	n, err := readFrame(s.raw, &head)
	if err != nil {
		return s.recvFailed(err)
	}
	s.method = head.Method
	s.conn.cfg.ObserveBytes(s.method, "in", n)
	return nil
}

func (s *stream) recvFailed(err error) error {
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	return s.failed(err)
}

func (s *stream) failed(err error) error {
	kind := Lost
	if errors.Is(err, errMalformed) {
		kind = Malformed
		s.conn.closeMalformed()
	}
	return &Error{Kind: kind, Address: s.conn.raw.RemoteAddr().String(), Err: err}
}

// CloseSend ends this side's direction.
func (s *stream) CloseSend() error {
	return s.raw.Close()
}

// finish ends a served call: it closes the sending direction and waits until
// the caller has taken the answer, which the caller tells by Cancel. A process
// that exits afterwards cuts off nothing.
func (s *stream) finish() {
	if err := s.CloseSend(); err != nil {
		s.Cancel()
		return
	}
	_ = s.raw.SetReadDeadline(time.Now().Add(s.conn.cfg.HeartbeatTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(s.raw, MaxMessageSize))
	s.ended.Store(true)
	s.raw.CancelRead(codeCancelled)
}

// Cancel ends both directions. A client calls it once it needs no more of the
// answer, also after a complete one.
func (s *stream) Cancel() {
	if s.ended.Swap(true) {
		return
	}
	s.raw.CancelRead(codeCancelled)
	s.raw.CancelWrite(codeCancelled)
	if s.client {
		s.conn.streamClosed()
	}
}
