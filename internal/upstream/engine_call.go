package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/barleylift/barleylift/internal/call"
)

// Errors that end the response on one connection.
var (
	errForeignResponse = errors.New("the answer belongs to another request")
	errUnidentified    = errors.New("the engine's failure has no identifier and its connection has carried other calls")
	errWrongModel      = errors.New("the answer comes from another model")
	errMissingEvents   = errors.New("events are missing from the stream")
	errNoFinish        = errors.New("the stream ended without a finish reason")
	errEngineReported  = errors.New("the engine reported an error")
	errSinkFailed      = errors.New("the receiver of the answer is gone")
)

// attempt is the state of one attempt of a call across all connections that
// carry it.
type attempt struct {
	client *EngineClient
	call   EngineCall
	body   []byte
	sink   call.Sink

	result      EngineResult
	partID      string
	lastEventID string
	// deliveredParts is read by the watchdog while the response is being read.
	deliveredParts  atomic.Int64
	finished        bool
	responseStarted bool
	connected       atomic.Bool
	// reused is set while the connection is one that has carried other calls.
	reused atomic.Bool
}

// Complete sends the call and delivers its parts to the sink until the response
// is complete, the call fails or ctx is done. A broken stream is resumed if the
// engine supports it. If ctx is done first, the call is cancelled at the
// engine.
func (c *EngineClient) Complete(ctx context.Context, ec EngineCall, sink call.Sink) EngineResult {
	body, err := c.engineBody(ec)
	if err != nil {
		return EngineResult{Result: call.Failed(call.Rejected, call.CodeBadRequest, err.Error())}
	}
	a := &attempt{client: c, call: ec, body: body, sink: sink}
	err = a.exchange(ctx)
	for resumes := 0; a.resumable(ctx, err) && resumes < c.config.MaxResumes; resumes++ {
		err = a.exchange(ctx)
	}
	return a.finish(ctx, err)
}

// resumable reports whether a failed exchange may be continued.
func (a *attempt) resumable(ctx context.Context, err error) bool {
	if err == nil || a.finished || ctx.Err() != nil {
		return false
	}
	for _, final := range []error{errWrongModel, errEngineReported, errSinkFailed, errNoFinish} {
		if errors.Is(err, final) {
			return false
		}
	}
	return a.client.config.Engine.ResumesStreams && a.call.Request.Stream && a.lastEventID != ""
}

// exchange sends the request, or resumes the stream, and reads the response
// until it ends or fails. A nil error means that the call has its final result.
func (a *attempt) exchange(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	guard := a.client.newWatchdog(a, cancel)
	defer guard.stop()
	response, err := a.client.config.Client.Do(a.request(ctx))
	if err != nil {
		return guard.wrapError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := a.checkIdentity(response); err != nil {
		a.client.config.OnResponseDropped("attempt")
		return err
	}
	if response.StatusCode != http.StatusOK {
		a.handleErrorStatus(response)
		return nil
	}
	a.responseStarted = true
	body := &activityReader{reader: response.Body, onRead: guard.recordActivity}
	if a.call.Request.Stream {
		return guard.wrapError(a.readStream(body))
	}
	return guard.wrapError(a.readWhole(body))
}

// checkIdentity returns an error if a response may belong to another call. The
// parts of a successful response are checked as they are read.
func (a *attempt) checkIdentity(response *http.Response) error {
	switch id := response.Header.Get(HeaderRequestID); {
	case id != "" && id != a.call.Request.Attempt:
		return errForeignResponse
	case id == "" && response.StatusCode != http.StatusOK && a.reused.Load():
		return errUnidentified
	default:
		return nil
	}
}

// request builds the HTTP request. Its body cannot be rewound, so net/http
// never sends it twice.
func (a *attempt) request(ctx context.Context) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.connected.Store(true)
		a.reused.Store(info.Reused)
	}}
	ctx = httptrace.WithClientTrace(ctx, trace)
	body := nonRewindableReader{bytes.NewReader(a.body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.client.baseURL+a.call.Request.Path, body)
	if err != nil {
		panic("upstream: engine URL was checked before: " + err.Error())
	}
	request.ContentLength = int64(len(a.body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderRequestID, a.call.Request.Attempt)
	setToken(request.Header, a.call.Token)
	if a.lastEventID != "" {
		request.Header.Set(HeaderLastEventID, a.lastEventID)
	}
	return request
}

// finish returns the call's result, given the error of the last exchange.
func (a *attempt) finish(ctx context.Context, err error) EngineResult {
	a.result.DeliveredParts = int(a.deliveredParts.Load())
	if err == nil {
		return a.result
	}
	if !a.connected.Load() {
		a.setFailure(call.NotRun, call.CodeConnectionLost, err)
		a.result.Execution = ExecutionNotStarted
		return a.result
	}
	switch {
	case errors.Is(err, errWrongModel):
		a.setFailure(call.Incomplete, call.CodeWrongModel, err)
		a.result.WrongModel = true
	case errors.Is(err, errSinkFailed), ctx.Err() != nil:
		a.setFailure(call.Incomplete, call.CodeCancelled, err)
	case errors.Is(err, errNoFinish), errors.Is(err, errEngineReported):
		a.setFailure(call.Incomplete, call.CodeUpstreamError, err)
		a.result.Execution = ExecutionEnded
		return a.result
	default:
		a.setFailure(call.Incomplete, call.CodeConnectionLost, err)
	}
	a.result.Execution = a.cancelAtEngine(ctx)
	return a.result
}

func (a *attempt) setFailure(outcome call.Outcome, code call.Code, err error) {
	a.result.Outcome = outcome
	a.result.Code = code
	a.result.Message = err.Error()
}

// cancelAtEngine cancels the call at the engine on a new connection and returns
// the resulting execution state. An engine that never responded to the call may
// still receive it.
func (a *attempt) cancelAtEngine(ctx context.Context) ExecutionState {
	found, err := a.client.Cancel(context.WithoutCancel(ctx), a.call.Request.Attempt, a.call.Token)
	if err != nil {
		return ExecutionUncertain
	}
	if found || a.responseStarted {
		return ExecutionEnded
	}
	return ExecutionUncertain
}

// handleErrorStatus sets the result for a response with an error status.
func (a *attempt) handleErrorStatus(response *http.Response) {
	message := readMessage(response.Body)
	resumed := a.lastEventID != ""
	a.result.Execution = ExecutionNotStarted
	switch status := response.StatusCode; {
	case status == http.StatusConflict:
		a.result.Fenced = true
		a.result.Result = call.Failed(call.NotRun, call.CodeNotOwner, message)
	case status == http.StatusNotFound:
		a.result.NotResident = !resumed
		a.result.Result = call.Failed(call.NotRun, call.CodeUpstreamError, message)
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		a.result.Result = call.Failed(call.NotRun, call.CodeNoUpstream, message)
	case status >= http.StatusInternalServerError:
		a.result.Execution = ExecutionEnded
		a.result.Result = call.Failed(call.Incomplete, call.CodeUpstreamError, message)
	default:
		a.result.Result = call.Failed(call.Rejected, call.CodeBadRequest, message)
	}
	if resumed {
		a.result.Execution = a.executionAfterRefusedResume(response.StatusCode)
		a.result.Result = call.Failed(call.Incomplete, call.CodeConnectionLost, "the engine did not resume: "+message)
	}
}

// executionAfterRefusedResume returns the execution state of a call whose
// resume was refused: an engine that does not know the call no longer runs it.
func (a *attempt) executionAfterRefusedResume(status int) ExecutionState {
	if status == http.StatusNotFound {
		return ExecutionEnded
	}
	return ExecutionUncertain
}

// maxMessageBytes limits how much is read of an error response.
const maxMessageBytes = 4 << 10

func readMessage(body io.Reader) string {
	text, _ := io.ReadAll(io.LimitReader(body, maxMessageBytes))
	return strings.TrimSpace(string(text))
}
