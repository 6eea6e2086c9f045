package hop

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// asyncWriteBytes is the size above which a request is written beside the
// reading of its answer, because an upstream may answer before it has read a
// long body.
const asyncWriteBytes = 4 << 10

// staleAnswers bounds the answers to earlier requests that are skipped.
const staleAnswers = 2

// staleBodyBytes bounds the body of an answer that is skipped.
const staleBodyBytes = 256 << 10

// Request is one request, sent as it stands here.
type Request struct {
	Method string
	// Target is the path and query as they go on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Options say how a request is sent.
type Options struct {
	// MaxIdle is how long a connection may have been idle to be used; 0 asks
	// for a new one.
	MaxIdle time.Duration
	// Matches reports whether the head of an answer belongs to this request. An
	// answer that does not is skipped.
	Matches func(http.Header) bool
	// BeforeWrite is asked just before the first byte is written, and stops the
	// request by its error; nil for none.
	BeforeWrite func() error
}

// Error tells how a request failed.
type Error struct {
	// Written tells that bytes of the request may have reached the upstream.
	Written bool
	// Reused tells that the connection had served a request before.
	Reused bool
	Err    error
}

// Error describes the cause and whether the request was written.
func (e *Error) Error() string {
	return fmt.Sprintf("%v (written: %t, connection reused: %t)", e.Err, e.Written, e.Reused)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// errForeign tells that the answers on a connection belong to other requests.
var errForeign = errors.New("the answer belongs to another request")

// Response is the answer to a request. Its Body is read by the caller, who
// ends the exchange by Release or Discard.
type Response struct {
	*http.Response
	conn    *conn
	written <-chan error
	// early tells that the answer came before the request was written whole.
	early bool
	body  *trackedBody
	stop  func() bool
}

// Send sends a request over one connection and returns the head of its answer.
// Errors are *Error values. The end of ctx closes the connection.
func (p *Pool) Send(ctx context.Context, request *Request, options Options) (*Response, error) {
	c, err := p.get(ctx, options.MaxIdle)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if options.BeforeWrite != nil {
		if err := options.BeforeWrite(); err != nil {
			p.put(c, maxIdle)
			return nil, &Error{Err: err}
		}
	}
	stop := context.AfterFunc(ctx, c.close)
	written, err := c.write(request)
	if err != nil {
		stop()
		c.close()
		return nil, &Error{Written: true, Reused: c.reused, Err: cause(ctx, err)}
	}
	response, err := c.readHead(request, options.Matches)
	if err != nil {
		stop()
		c.close()
		return nil, &Error{Written: true, Reused: c.reused, Err: cause(ctx, err)}
	}
	body := &trackedBody{source: response.Body}
	response.Body = body
	r := &Response{Response: response, conn: c, written: written, body: body, stop: stop}
	select {
	case err := <-written:
		r.early = err != nil
	default:
		r.early = true
	}
	return r, nil
}

// cause returns the reason of ctx's end rather than its effect on the connection.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// write sends the request. A long one is sent by a goroutine of its own, which
// ends at the latest when the connection is closed.
func (c *conn) write(request *Request) (<-chan error, error) {
	message := encode(request)
	done := make(chan error, 1)
	if len(message) <= asyncWriteBytes {
		_, err := c.Write(message)
		done <- err
		return done, err
	}
	go func() {
		_, err := c.Write(message)
		done <- err
	}()
	return done, nil
}

func encode(request *Request) []byte {
	var message bytes.Buffer
	message.Grow(512 + len(request.Body))
	fmt.Fprintf(&message, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	// Writing to a buffer does not fail.
	_ = request.Header.Write(&message)
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		fmt.Fprintf(&message, "Content-Length: %d\r\n", len(request.Body))
	}
	message.WriteString("\r\n")
	message.Write(request.Body)
	return message.Bytes()
}

// readHead reads heads until one is the final answer to the request.
func (c *conn) readHead(request *Request, ours func(http.Header) bool) (*http.Response, error) {
	stale := 0
	for {
		c.limited.left = maxHeadBytes
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		c.limited.left = math.MaxInt64
		if response.StatusCode/100 == 1 {
			continue
		}
		if ours == nil || ours(response.Header) {
			return response, nil
		}
		stale++
		if stale > staleAnswers || response.Close || response.ContentLength < 0 && !chunked(response) {
			return nil, errForeign
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, staleBodyBytes+1)); err != nil || n > staleBodyBytes {
			return nil, errForeign
		}
	}
}

func chunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// Framed reports whether the answer states where it ends, so that an end by
// closing the connection is not its end.
func (r *Response) Framed() bool {
	return r.ContentLength >= 0 || chunked(r.Response)
}

// Release ends an exchange whose body was read to its end. The connection is
// kept if nothing speaks against it.
func (r *Response) Release() {
	if !r.stop() {
		r.conn.close()
		return
	}
	keep := keepFor(r.Response)
	clean := r.body.ended && r.Framed() && !r.early && !r.Close && r.conn.reader.Buffered() == 0
	if !clean || keep <= 0 {
		r.conn.close()
		return
	}
	r.conn.pool.put(r.conn, keep)
}

// Discard ends an exchange and closes its connection.
func (r *Response) Discard() {
	r.stop()
	r.conn.close()
}

// Reused tells that the connection had served a request before.
func (r *Response) Reused() bool {
	return r.conn.reused
}

// keepFor returns how long the connection of an answer may stay idle, by the
// time-out that the upstream states.
func keepFor(response *http.Response) time.Duration {
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return min(time.Duration(seconds)*time.Second-idleMargin, maxIdle)
	}
	return maxIdle
}

// trackedBody notes whether a body was read to its end.
type trackedBody struct {
	source io.ReadCloser
	ended  bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Close implements io.Closer. The exchange is ended by Release or Discard.
func (b *trackedBody) Close() error {
	return nil
}
