package plain

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// maxBufferedBytes limits the request bodies and responses that are buffered: a
// request so that it can be resent, a response so that it is known to be
// complete before its first byte is forwarded.
const maxBufferedBytes = 64 << 10

// requestBody is a caller's request body, buffered if it is short and of known
// length.
type requestBody struct {
	buffered []byte
	stream   io.Reader
	length   int64
}

// newRequestBody reads a short body completely. Longer bodies, and those of
// unknown length, are streamed to the service as they arrive.
func newRequestBody(w http.ResponseWriter, r *http.Request, maxBody int64) (*requestBody, error) {
	limited := http.MaxBytesReader(w, r.Body, maxBody)
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBytes {
		// The service may respond while the body is still being received.
		_ = http.NewResponseController(w).EnableFullDuplex()
		return &requestBody{stream: limited, length: r.ContentLength}, nil
	}
	buffered, err := io.ReadAll(limited)
	if err != nil {
		return nil, err
	}
	return &requestBody{buffered: buffered, length: int64(len(buffered))}, nil
}

// reader returns the body for one attempt.
func (b *requestBody) reader() io.Reader {
	if b.stream != nil {
		return b.stream
	}
	return bytes.NewReader(b.buffered)
}

// replayable reports whether reader returns the complete body again after an
// attempt; read states whether the attempt may have read from the body.
func (b *requestBody) replayable(read bool) bool {
	return b.stream == nil || !read
}

func tooLarge(err error) bool {
	var failure *http.MaxBytesError
	return errors.As(err, &failure)
}
