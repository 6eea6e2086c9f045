package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// errEventTooLarge is returned if an event exceeds the reader's limit.
var errEventTooLarge = errors.New("server-sent event exceeds the size bound")

// sseEvent is one server-sent event. Data is valid until the next call of Next.
type sseEvent struct {
	ID   string
	Data []byte
}

// sseReader reads server-sent events as defined by the WHATWG HTML standard,
// section 9.2.6, with LF or CRLF line endings. Events without data are skipped.
// Memory use is limited to twice the maximum size of an event.
type sseReader struct {
	lines         *bufio.Reader
	maxEventBytes int
	data          []byte
	line          []byte
}

// newSSEReader returns a reader that fails on events larger than maxEventBytes.
func newSSEReader(r io.Reader, maxEventBytes int) *sseReader {
	return &sseReader{lines: bufio.NewReader(r), maxEventBytes: maxEventBytes}
}

// Next returns the next event. An event that is truncated by the end of the
// stream is dropped: the error is then io.EOF or that of the underlying reader.
func (s *sseReader) Next() (sseEvent, error) {
	event := sseEvent{}
	s.data = s.data[:0]
	lines := 0
	for {
		line, err := s.readLine()
		if err != nil {
			return sseEvent{}, err
		}
		if len(line) == 0 {
			if lines > 0 {
				event.Data = s.data
				return event, nil
			}
			continue
		}
		field, value := splitField(line)
		switch string(field) {
		case "data":
			if lines > 0 {
				s.data = append(s.data, '\n')
			}
			s.data = append(s.data, value...)
			lines++
		case "id":
			event.ID = string(value)
		}
		if len(s.data)+len(event.ID) > s.maxEventBytes {
			return sseEvent{}, errEventTooLarge
		}
	}
}

// readLine returns one line without its line ending. It is valid until the next
// call.
func (s *sseReader) readLine() ([]byte, error) {
	s.line = s.line[:0]
	for {
		piece, err := s.lines.ReadSlice('\n')
		if err == nil && len(s.line) == 0 {
			return trimLineEnd(piece), s.checkLine(piece)
		}
		s.line = append(s.line, piece...)
		if boundErr := s.checkLine(s.line); boundErr != nil {
			return nil, boundErr
		}
		if err == nil {
			return trimLineEnd(s.line), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func (s *sseReader) checkLine(line []byte) error {
	if len(line) > s.maxEventBytes {
		return errEventTooLarge
	}
	return nil
}

func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'})
}

// splitField splits a line at its first colon and drops one leading space of the
// value.
func splitField(line []byte) (field, value []byte) {
	field, value, _ = bytes.Cut(line, []byte{':'})
	return field, bytes.TrimPrefix(value, []byte{' '})
}
