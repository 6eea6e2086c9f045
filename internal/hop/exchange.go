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

// asyncWriteBytes is the size above which a request is written concurrently
// with reading its response, because an upstream may respond before it has read
// a long body.
const asyncWriteBytes = 4 << 10

// maxStaleResponses limits the responses to earlier requests that are skipped.
const maxStaleResponses = 2

// maxStaleBodyBytes limits the body of a response that is skipped.
const maxStaleBodyBytes = 256 << 10

// maxInformational limits the informational responses before a response.
const maxInformational = 16

// maxWriteLinger is how long after the end of a response without a length the request may
// still be on its way to an upstream that reads on.
const maxWriteLinger = 500 * time.Millisecond

// Request is one request, sent without changes.
type Request struct {
	Method string
	// Target is the path and query as written on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Options configure how a request is sent.
type Options struct {
	// MaxIdle is the longest idle time of a connection that is reused; 0 forces a
	// new connection.
	MaxIdle time.Duration
	// Avoid lists the connections that have carried the same request before. None
	// of them is reused: an upstream may repeat its response to the earlier send,
	// and nothing tells that from the response to this one.
	Avoid []ConnID
	// ID is the request's identifier, and ResponseID returns the identifier that a
	// response states, or "". Responses with another identifier are skipped. One
	// without an identifier is accepted only on a connection that has carried
	// nothing else. If ResponseID is nil, every response is accepted.
	ID         string
	ResponseID func(http.Header) string
	// BeforeWrite is called just before the first byte is written; if it returns
	// an error the request is not sent. May be nil.
	BeforeWrite func() error
}

// Error describes how a request failed.
type Error struct {
	// Written is set if bytes of the request may have reached the upstream.
	Written bool
	// Reused is set if the connection had served an earlier request.
	Reused bool
	// Conn identifies the connection; 0 if there was none.
	Conn ConnID
	// Skipped is the number of responses to other requests that were skipped.
	Skipped int
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%v (written: %t, connection reused: %t, responses skipped: %d)", e.Err, e.Written, e.Reused, e.Skipped)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Err
}

var (
	// errForeignResponse is returned if the responses on a connection belong to
	// other requests.
	errForeignResponse = errors.New("the answer belongs to another request")
	// errTooManyInformational is returned if informational responses don't end.
	errTooManyInformational = errors.New("too many informational responses before the answer")
	// errUnidentifiedResponse is returned if a response may belong to any request
	// that the connection has carried.
	errUnidentifiedResponse = errors.New("the answer has no identifier and the connection has carried other requests")
)

// Response is the response to a request. The caller reads its Body and must
// then call Release or Discard.
type Response struct {
	*http.Response
	// Skipped is the number of responses to other requests that were skipped.
	Skipped int
	conn    *conn
	// respondedEarly is set if the response arrived before the request was
	// completely written.
	respondedEarly   bool
	body             *trackedBody
	stopContextWatch func() bool
}

// Send sends a request over one connection and returns the response once its
// head has arrived. Errors are *Error values. The connection is closed when ctx
// is done.
func (p *Pool) Send(ctx context.Context, request *Request, options Options) (*Response, error) {
	c, err := p.get(ctx, options.MaxIdle, options.Avoid)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if options.BeforeWrite != nil {
		if err := options.BeforeWrite(); err != nil {
			keep := maxIdle
			if c.reused {
				keep = time.Until(c.usableUntil)
			}
			p.put(c, keep)
			return nil, &Error{Err: err}
		}
	}
	stop := context.AfterFunc(ctx, c.close)
	written, err := c.write(request)
	if err != nil {
		stop()
		c.close()
		return nil, &Error{Written: true, Reused: c.reused, Conn: c.id, Err: contextCause(ctx, err)}
	}
	response, skipped, err := c.readHead(request, options)
	if err != nil {
		stop()
		c.close()
		return nil, &Error{Written: true, Reused: c.reused, Conn: c.id, Skipped: skipped, Err: contextCause(ctx, err)}
	}
	r := &Response{Response: response, Skipped: skipped, conn: c, respondedEarly: !written.succeeded(0), stopContextWatch: stop}
	r.body = &trackedBody{source: response.Body, framed: r.Framed(), written: written}
	response.Body = r.body
	return r, nil
}

// contextCause returns the cause of ctx's end if ctx is done, and otherwise
// err, because the end of ctx closes the connection and so produces an error
// itself.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// requestWrite is the writing of a request.
type requestWrite struct {
	// done is closed when it is over, and err is set before.
	done chan struct{}
	err  error
}

// succeeded reports whether the request was written completely, within a time from now.
func (w *requestWrite) succeeded(within time.Duration) bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
	}
	if within <= 0 {
		return false
	}
	select {
	case <-w.done:
		return w.err == nil
	case <-time.After(within):
		return false
	}
}

// write sends the request. A long request is sent by a separate goroutine,
// which ends at the latest when the connection is closed.
func (c *conn) write(request *Request) (*requestWrite, error) {
	message := encodeRequest(request)
	w := &requestWrite{done: make(chan struct{})}
	send := func() {
		defer close(w.done)
		_, w.err = c.Write(message)
	}
	if len(message) <= asyncWriteBytes {
		send()
		return w, w.err
	}
	go send()
	return w, nil
}

func encodeRequest(request *Request) []byte {
	var message bytes.Buffer
	message.Grow(512 + len(request.Body))
	fmt.Fprintf(&message, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	// Writing to a buffer cannot fail.
	_ = request.Header.Write(&message)
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		fmt.Fprintf(&message, "Content-Length: %d\r\n", len(request.Body))
	}
	message.WriteString("\r\n")
	message.Write(request.Body)
	return message.Bytes()
}

// readHead reads response heads until one is the final response to the request.
// It returns how many responses to other requests it has skipped.
func (c *conn) readHead(request *Request, options Options) (final *http.Response, skipped int, err error) {
	informational := 0
	for {
		c.limited.remaining = maxHeadBytes
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, skipped, err
		}
		if err := checkHead(response); err != nil {
			return nil, skipped, err
		}
		c.limited.remaining = math.MaxInt64
		if response.StatusCode/100 == 1 {
			if informational++; informational > maxInformational {
				return nil, skipped, errTooManyInformational
			}
			continue
		}
		own, err := c.isOwn(response, options)
		if err != nil {
			return nil, skipped, err
		}
		if own {
			return response, skipped, nil
		}
		skipped++
		if skipped > maxStaleResponses || response.Close || response.ContentLength < 0 && !chunked(response) {
			return nil, skipped, errForeignResponse
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBodyBytes+1)); err != nil || n > maxStaleBodyBytes {
			return nil, skipped, errForeignResponse
		}
	}
}

// isOwn reports whether a response belongs to the request that was just sent.
func (c *conn) isOwn(response *http.Response, options Options) (bool, error) {
	if options.ResponseID == nil {
		return true, nil
	}
	id := options.ResponseID(response.Header)
	if id == "" && c.reused {
		return false, errUnidentifiedResponse
	}
	return id == "" || id == options.ID, nil
}

func chunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// Framed reports whether the response has a Content-Length or is chunked. If
// so, the closing of the connection does not end it.
func (r *Response) Framed() bool {
	return isFramed(r.Response)
}

func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || chunked(response)
}

// Release ends an exchange whose body was read to its end. It keeps the
// connection for reuse if the exchange ended cleanly.
func (r *Response) Release() {
	if !r.stopContextWatch() {
		r.conn.close()
		return
	}
	keep := idleTimeout(r.Response)
	clean := r.body.reachedEOF && r.Framed() && !r.respondedEarly && !r.Close && r.conn.reader.Buffered() == 0
	if !clean || keep <= 0 {
		r.conn.close()
		return
	}
	r.conn.pool.put(r.conn, keep)
}

// Discard ends an exchange and closes its connection.
func (r *Response) Discard() {
	r.stopContextWatch()
	r.conn.close()
}

// Reused reports whether the connection had served an earlier request.
func (r *Response) Reused() bool {
	return r.conn.reused
}

// Conn identifies the connection of the exchange.
func (r *Response) Conn() ConnID {
	return r.conn.id
}

// idleTimeout returns how long the connection of a response may stay idle,
// according to the upstream's Keep-Alive header.
func idleTimeout(response *http.Response) time.Duration {
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

// trackedBody records whether a body was read to its end.
type trackedBody struct {
	source io.ReadCloser
	// framed is Response.Framed, and written the writing of the request.
	framed     bool
	written    *requestWrite
	reachedEOF bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	// The kernel reports a reset once. If the writer has got it, the reader sees the end of
	// the connection, which ends a body without a length.
	if err == io.EOF && !b.framed && !b.written.succeeded(maxWriteLinger) {
		return n, io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		b.reachedEOF = true
	}
	return n, err
}

// Close implements io.Closer. Release or Discard ends the exchange.
func (b *trackedBody) Close() error {
	return nil
}
