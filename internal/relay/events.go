package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 256 << 10

// eventBuffer is the size of the reader of a stream, in bytes; events are
// some hundred bytes long.
const eventBuffer = 2 << 10

var errEventTooLarge = errors.New("an event of the stream is too large")

// event is one whole event of a stream, with the bytes as the upstream sent
// them. Raw is valid until the next read.
type event struct {
	raw []byte
	// id is the event's identifier; empty if it has none.
	id string
}

// eventReader cuts a stream into whole server-sent events (WHATWG HTML, section
// 9.2.6) without changing a byte.
type eventReader struct {
	source *bufio.Reader
	raw    []byte
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: bufio.NewReaderSize(source, eventBuffer)}
}

// next returns the next whole event. At the end of the stream, rest holds the
// bytes after the last whole event.
func (r *eventReader) next() (e event, rest []byte, err error) {
	r.raw = r.raw[:0]
	id := ""
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
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

// line appends one line with its end to raw.
func (r *eventReader) line() error {
	for {
		piece, err := r.source.ReadSlice('\n')
		r.raw = append(r.raw, piece...)
		if len(r.raw) > maxEvent {
			return errEventTooLarge
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}
