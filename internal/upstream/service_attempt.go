package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/hop"
)

// defaultServiceTimeout limits the time without progress on a route that states
// no timeout.
const defaultServiceTimeout = 30 * time.Second

// ServiceRequest is one attempt of a call to a plain service.
type ServiceRequest struct {
	Service string
	Method  string
	// Target is path and query.
	Target string
	// Header holds the fields to send, as RequestHeader returns them.
	Header http.Header
	// Body is read at most once; nil for none.
	Body io.Reader
	// ContentLength is the length of Body in bytes; -1 if unknown.
	ContentLength int64
	// Timeout limits the time without progress in either direction.
	Timeout time.Duration
	// Repeatable allows the use of a pooled connection and retries by the
	// transport.
	Repeatable bool
	// Tried lists the replicas that must not be selected again.
	Tried []string
}

// ServiceResponse is the response of a plain service. Its body is streamed; the
// caller must close it.
type ServiceResponse struct {
	Status int
	Header http.Header
	// ContentLength is the length of Body in bytes; -1 if unknown.
	ContentLength int64
	Body          io.ReadCloser
	// NotExecuted is set if the service refused the call before executing it.
	NotExecuted bool
	// Replica is the address of the replica that responded.
	Replica string
}

// ServiceError describes why an attempt got no response.
type ServiceError struct {
	// Replica is the address of the replica; empty if there was none to try.
	Replica string
	// Sent is set if bytes of the call may have reached the replica.
	Sent bool
	// BodyRead is set if bytes were read from the request's Body.
	BodyRead bool
	// BodyErr is the error of reading the request's Body, if that caused the
	// failure.
	BodyErr error
	Code    call.Code
	Err     error
}

// Error implements error.
func (e *ServiceError) Error() string {
	return fmt.Sprintf("service replica %q: %s (sent: %t): %v", e.Replica, e.Code, e.Sent, e.Err)
}

// Unwrap returns the underlying error.
func (e *ServiceError) Unwrap() error {
	return e.Err
}

// Attempt sends a request to one replica and returns once the response header
// has arrived. Errors are *ServiceError values.
func (s *ServiceClient) Attempt(ctx context.Context, request ServiceRequest) (*ServiceResponse, error) {
	r, err := s.pickReplica(request.Service, request.Tried)
	if err != nil {
		return nil, &ServiceError{Code: call.CodeNoUpstream, Err: err}
	}
	if request.Timeout <= 0 {
		request.Timeout = defaultServiceTimeout
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := newProgressTimer(request.Timeout, cancel)
	trace := &sendTrace{}
	body := &nonReplayableBody{reader: request.Body, timer: timer}
	httpRequest, err := newHTTPRequest(trace.attach(ctx), r, request, body)
	if err != nil {
		timer.stop()
		cancel()
		return nil, &ServiceError{Replica: r.address, Code: call.CodeBadRequest, Err: err}
	}
	r.inFlight.Add(1)
	response, err := hop.RoundTrip(r.transport(request.Repeatable), httpRequest)
	if err != nil {
		timer.stop()
		cancel()
		r.inFlight.Add(-1)
		return nil, s.newServiceError(r, trace, body, timer, err)
	}
	timer.recordProgress()
	return &ServiceResponse{
		Status:        response.StatusCode,
		Header:        ResponseHeader(response.Header),
		ContentLength: response.ContentLength,
		Body:          &responseBody{body: response.Body, timer: timer, cancel: cancel, replica: r},
		NotExecuted:   notExecuted(response),
		Replica:       r.address,
	}, nil
}

func (r *replica) transport(repeatable bool) *http.Transport {
	if repeatable {
		return r.pooledTransport
	}
	return r.singleUseTransport
}

// newServiceError converts a transport error into a ServiceError. It marks the
// replica as suspect unless the caller caused the failure.
func (s *ServiceClient) newServiceError(r *replica, trace *sendTrace, body *nonReplayableBody, timer *progressTimer, err error) *ServiceError {
	serviceErr := &ServiceError{
		Replica:  r.address,
		Sent:     trace.sent(),
		BodyRead: body.bytesRead.Load() > 0,
		Code:     call.CodeConnectionLost,
		Err:      err,
	}
	bodyErr := body.readErr.Load()
	switch {
	case bodyErr != nil:
		serviceErr.BodyErr = *bodyErr
		serviceErr.Code = call.CodeCancelled
		return serviceErr
	case timer.expired.Load():
		serviceErr.Code = call.CodeTimeout
	case isContextError(err):
		serviceErr.Code = call.CodeCancelled
		return serviceErr
	}
	r.markSuspect(s.now())
	s.log.Debug("attempt at a service replica failed", "replica", r.address, "sent", serviceErr.Sent, "error", err)
	return serviceErr
}

func newHTTPRequest(ctx context.Context, r *replica, request ServiceRequest, body *nonReplayableBody) (*http.Request, error) {
	target, err := r.url(request.Target)
	if err != nil {
		return nil, err
	}
	httpRequest := &http.Request{
		Method:     request.Method,
		URL:        target,
		Host:       target.Host,
		Header:     request.Header.Clone(),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if httpRequest.Header == nil {
		httpRequest.Header = make(http.Header)
	}
	if _, ok := httpRequest.Header["User-Agent"]; !ok {
		// An empty value prevents the transport from adding its own.
		httpRequest.Header.Set("User-Agent", "")
	}
	if body.reader == nil || request.ContentLength == 0 {
		body.reader = http.NoBody
	} else {
		httpRequest.ContentLength = request.ContentLength
	}
	if !request.Repeatable || body.reader != http.NoBody {
		httpRequest.Body = body
	}
	return httpRequest.WithContext(ctx), nil
}

func notExecuted(response *http.Response) bool {
	refusal := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	return refusal && response.Header.Get(call.NotExecutedHeader) == "true"
}

// responseBody is the body of a response. Reading counts as progress; closing
// ends the attempt.
type responseBody struct {
	body    io.ReadCloser
	timer   *progressTimer
	cancel  context.CancelFunc
	replica *replica
	once    sync.Once
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.timer.recordProgress()
	}
	return n, err
}

// Close ends the attempt. If the body was not read to its end, the connection
// is closed.
func (b *responseBody) Close() error {
	var err error
	b.once.Do(func() {
		b.timer.stop()
		err = b.body.Close()
		b.cancel()
		b.replica.inFlight.Add(-1)
	})
	return err
}
