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
	// headerSent is set when the header message is sent.
	headerSent bool
	finished   atomic.Bool
}

// Send writes the message, and before the first message of a client the header.
func (s *stream) Send(message any) error {
	if s.client && !s.headerSent {
		s.headerSent = true
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
	s.conn.recordReceived()
	s.conn.cfg.ObserveBytes(s.method, "in", n)
	return nil
}

// recvHeader reads the first message of a served stream, which states its method.
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

// CloseSend closes the sending direction.
func (s *stream) CloseSend() error {
	return s.raw.Close()
}

// finish ends a served call: it closes the sending direction and waits up to
// HeartbeatTimeout until the client has received the response, which it confirms
// by Cancel. A process that exits afterwards truncates no response.
func (s *stream) finish() {
	if err := s.CloseSend(); err != nil {
		s.Cancel()
		return
	}
	_ = s.raw.SetReadDeadline(time.Now().Add(s.conn.cfg.HeartbeatTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(s.raw, MaxMessageSize))
	s.finished.Store(true)
	s.raw.CancelRead(codeCancelled)
}

// Cancel closes both directions. A client calls it when it needs no more of the
// response, also after a complete one.
func (s *stream) Cancel() {
	if s.finished.Swap(true) {
		return
	}
	s.raw.CancelRead(codeCancelled)
	s.raw.CancelWrite(codeCancelled)
	if s.client {
		s.conn.streamClosed()
	}
}
