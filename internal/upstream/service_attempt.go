package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// defaultServiceTimeout bounds the silence of an attempt on a route that states no timeout.
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
	// Timeout bounds the time without progress in either direction.
	Timeout time.Duration
	// Repeatable allows a pooled connection and replays by the transport.
	Repeatable bool
	// Tried lists the replicas that must not be chosen again.
	Tried []string
}

// ServiceResponse is the answer of a plain service. Its body streams; the caller
// must close it.
type ServiceResponse struct {
	Status int
	Header http.Header
	// ContentLength is the length of Body in bytes; -1 if unknown.
	ContentLength int64
	Body          io.ReadCloser
	// NotExecuted tells that the service refused the call before executing it.
	NotExecuted bool
	// Replica is the address that answered.
	Replica string
}

// ServiceError tells why an attempt brought no answer.
type ServiceError struct {
	// Replica is the address that was tried; empty if there was none to try.
	Replica string
	// Sent tells that bytes of the call may have reached the replica.
	Sent bool
	// BodyRead tells that bytes were taken from the request's Body.
	BodyRead bool
	// BodyErr is the error of reading the request's Body, if that ended the attempt.
	BodyErr error
	Code    call.Code
	Err     error
}

// Error describes the replica, whether the call was sent, and the cause.
func (e *ServiceError) Error() string {
	return fmt.Sprintf("service replica %q: %s (sent: %t): %v", e.Replica, e.Code, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *ServiceError) Unwrap() error {
	return e.Err
}

// Attempt sends a request to one replica and returns when the answer's header
// has arrived. Errors are *ServiceError values.
func (s *ServiceClient) Attempt(ctx context.Context, request ServiceRequest) (*ServiceResponse, error) {
	r, err := s.pick(request.Service, request.Tried)
	if err != nil {
		return nil, &ServiceError{Code: call.CodeNoUpstream, Err: err}
	}
	if request.Timeout <= 0 {
		request.Timeout = defaultServiceTimeout
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := newProgressTimer(request.Timeout, cancel)
	trace := &sendTrace{}
	body := &onceBody{reader: request.Body, timer: timer}
	outgoing, err := newOutgoing(trace.attach(ctx), r, request, body)
	if err != nil {
		timer.stop()
		cancel()
		return nil, &ServiceError{Replica: r.address, Code: call.CodeBadRequest, Err: err}
	}
	r.inFlight.Add(1)
	response, err := r.transport(request.Repeatable).RoundTrip(outgoing)
	if err != nil {
		timer.stop()
		cancel()
		r.inFlight.Add(-1)
		return nil, s.failed(r, trace, body, timer, err)
	}
	timer.progress()
	return &ServiceResponse{
		Status:        response.StatusCode,
		Header:        ResponseHeader(response.Header),
		ContentLength: response.ContentLength,
		Body:          &answerBody{body: response.Body, timer: timer, cancel: cancel, replica: r},
		NotExecuted:   notExecuted(response),
		Replica:       r.address,
	}, nil
}

func (r *replica) transport(repeatable bool) *http.Transport {
	if repeatable {
		return r.pooled
	}
	return r.single
}

// failed turns a transport error into a ServiceError. A replica that failed on
// its own account is suspected; one whose caller left is not.
func (s *ServiceClient) failed(r *replica, trace *sendTrace, body *onceBody, timer *progressTimer, err error) *ServiceError {
	failure := &ServiceError{
		Replica:  r.address,
		Sent:     trace.sent(),
		BodyRead: body.read.Load() > 0,
		Code:     call.CodeConnectionLost,
		Err:      err,
	}
	bodyErr := body.failure.Load()
	switch {
	case bodyErr != nil:
		failure.BodyErr = *bodyErr
		failure.Code = call.CodeCancelled
		return failure
	case timer.expired.Load():
		failure.Code = call.CodeTimeout
	case isContextError(err):
		failure.Code = call.CodeCancelled
		return failure
	}
	r.suspect(s.now())
	s.log.Debug("attempt failed", "replica", r.address, "sent", failure.Sent, "error", err)
	return failure
}

func newOutgoing(ctx context.Context, r *replica, request ServiceRequest, body *onceBody) (*http.Request, error) {
	target, err := r.url(request.Target)
	if err != nil {
		return nil, err
	}
	outgoing := &http.Request{
		Method:     request.Method,
		URL:        target,
		Host:       target.Host,
		Header:     request.Header.Clone(),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if outgoing.Header == nil {
		outgoing.Header = make(http.Header)
	}
	if _, ok := outgoing.Header["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own.
		outgoing.Header.Set("User-Agent", "")
	}
	if body.reader == nil || request.ContentLength == 0 {
		body.reader = http.NoBody
	} else {
		outgoing.ContentLength = request.ContentLength
	}
	if !request.Repeatable || body.reader != http.NoBody {
		outgoing.Body = body
	}
	return outgoing.WithContext(ctx), nil
}

func notExecuted(response *http.Response) bool {
	refusal := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	return refusal && response.Header.Get(call.NotExecutedHeader) == "true"
}

// answerBody is the body of an answer. Reading counts as progress; closing ends the attempt.
type answerBody struct {
	body    io.ReadCloser
	timer   *progressTimer
	cancel  context.CancelFunc
	replica *replica
	once    sync.Once
}

// Read reads from the replica's answer.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.timer.progress()
	}
	return n, err
}

// Close ends the attempt. A body that was not read to its end costs the connection.
func (b *answerBody) Close() error {
	var err error
	b.once.Do(func() {
		b.timer.stop()
		err = b.body.Close()
		b.cancel()
		b.replica.inFlight.Add(-1)
	})
	return err
}
