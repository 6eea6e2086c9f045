package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// FuzzReadFrame guards against input that makes readFrame panic, allocate far more
// than was received or report more bytes than it read. Every error must be
// errMalformed, io.ErrUnexpectedEOF or io.EOF.
func FuzzReadFrame(f *testing.F) {
	var good bytes.Buffer
	if _, err := writeFrame(&good, header{Method: MethodModelCall}); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 2, 0x9f, 0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		var head header
		n, err := readFrame(bytes.NewReader(data), &head)
		if err == nil && n > len(data) {
			t.Fatalf("read %d bytes of %d", n, len(data))
		}
		if err != nil && !errors.Is(err, errMalformed) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
			t.Fatalf("unexpected error: %v", err)
		}
	})
}
