package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// frameHeaderSize is the size in bytes of the length prefix of a frame.
const frameHeaderSize = 4

// MaxMessageSize bounds one encoded message in bytes.
const MaxMessageSize = 16 << 20

// errMalformed means that a frame is too large or cannot be decoded.
var errMalformed = errors.New("malformed message")

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// writeFrame writes a length prefix and the CBOR encoding of the message in one
// call to Write, and returns the number of bytes written.
func writeFrame(w io.Writer, message any) (int, error) {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	if len(payload) > MaxMessageSize {
		return 0, fmt.Errorf("message of %d bytes exceeds %d", len(payload), MaxMessageSize)
	}
	frame := make([]byte, frameHeaderSize+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	copy(frame[frameHeaderSize:], payload)
	return w.Write(frame)
}

// readFrame reads one frame into the message. It returns io.EOF when the
// stream ends between frames and errMalformed for a frame that is too large or
// does not decode.
func readFrame(r io.Reader, message any) (int, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxMessageSize {
		return 0, fmt.Errorf("%w: %d bytes", errMalformed, size)
	}
	payload, err := readPayload(r, int(size))
	if err != nil {
		return 0, err
	}
	if err := decMode.Unmarshal(payload, message); err != nil {
		return 0, fmt.Errorf("%w: %v", errMalformed, err)
	}
	return frameHeaderSize + int(size), nil
}

// payloadChunkSize is the number of bytes by which the buffer of a payload
// grows. It limits the memory that a peer can make this side allocate without
// sending data.
const payloadChunkSize = 64 << 10

func readPayload(r io.Reader, size int) ([]byte, error) {
	payload := make([]byte, 0, min(size, payloadChunkSize))
	for len(payload) < size {
		start := len(payload)
		step := min(size-start, payloadChunkSize)
		payload = append(payload, make([]byte, step)...)
		if _, err := io.ReadFull(r, payload[start:]); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	return payload, nil
}

// unexpectedEOF replaces io.EOF, which readFrame returns only for an end between
// two frames.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
