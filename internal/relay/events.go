package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const maxEventBytes = 256 << 10

// eventBufferBytes is the read buffer size of a stream; events are a few
// hundred bytes long.
const eventBufferBytes = 2 << 10

var errEventTooLarge = errors.New("an event of the stream is too large for the room that there is")

// event is one complete event of a stream. raw holds the bytes as the upstream
// sent them and is valid until the next read.
type event struct {
	raw []byte
	// id is the event's identifier; empty if absent.
	id string
}

// eventReader splits a stream into complete server-sent events (WHATWG HTML,
// section 9.2.6) without changing a byte.
type eventReader struct {
	source *bufio.Reader
	raw    []byte
	held   *heldBytes
}

func newEventReader(source io.Reader, held *heldBytes) *eventReader {
	return &eventReader{source: bufio.NewReaderSize(source, eventBufferBytes), held: held}
}

// next returns the next complete event. At the end of the stream, rest holds
// the bytes after the last complete event.
func (r *eventReader) next() (e event, rest []byte, err error) {
	r.raw = r.raw[:0]
	id := ""
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			return event{}, r.raw, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 && start > 0 {
			return event{raw: r.raw, id: id}, nil, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// readLine appends one line, including its line ending, to raw.
func (r *eventReader) readLine() error {
	for {
		piece, err := r.source.ReadSlice('\n')
		if !r.append(piece) {
			return errEventTooLarge
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// append appends a piece to raw, and reports whether there was room for it.
func (r *eventReader) append(piece []byte) bool {
	size := len(r.raw) + len(piece)
	if size > maxEventBytes {
		return false
	}
	if size > cap(r.raw) {
		size = min(max(size, 2*cap(r.raw)), maxEventBytes)
		if !r.held.grow(size) {
			return false
		}
		r.raw = append(make([]byte, 0, size), r.raw...)
	}
	r.raw = append(r.raw, piece...)
	return true
}
