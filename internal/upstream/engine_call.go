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

// Errors that end one connection's share of an answer.
var (
	errCrossed    = errors.New("the answer belongs to another request")
	errWrongModel = errors.New("the answer comes from another model")
	errGap        = errors.New("events are missing from the stream")
	errNoFinish   = errors.New("the stream ended without a finish reason")
	errEngine     = errors.New("the engine reported an error")
	errReceiver   = errors.New("the receiver of the answer is gone")
)

// answer is the state of one call over all connections that carry it.
type answer struct {
	client *EngineClient
	call   EngineCall
	body   []byte
	sink   call.Sink

	result    EngineResult
	partID    string
	lastEvent string
	// delivered is read by the watchdog while the answer is being read.
	delivered atomic.Int64
	finished  bool
	answered  bool
	connected atomic.Bool
}

// Complete sends the call and hands its parts to the sink until the answer is
// whole, the call fails or ctx ends. A broken stream is resumed if the engine
// resumes streams. When ctx ends first, the call is cancelled at the engine.
func (c *EngineClient) Complete(ctx context.Context, ec EngineCall, sink call.Sink) EngineResult {
	body, err := c.engineBody(ec)
	if err != nil {
		return EngineResult{Result: call.Failed(call.Rejected, call.CodeBadRequest, err.Error())}
	}
	a := &answer{client: c, call: ec, body: body, sink: sink}
	err = a.exchange(ctx)
	for resumes := 0; a.resumable(ctx, err) && resumes < c.config.MaxResumes; resumes++ {
		err = a.exchange(ctx)
	}
	return a.finish(ctx, err)
}

// resumable reports whether a failed exchange may be continued.
func (a *answer) resumable(ctx context.Context, err error) bool {
	if err == nil || a.finished || ctx.Err() != nil {
		return false
	}
	for _, final := range []error{errWrongModel, errEngine, errReceiver, errNoFinish} {
		if errors.Is(err, final) {
			return false
		}
	}
	return a.client.config.Engine.ResumesStreams && a.call.Request.Stream && a.lastEvent != ""
}

// exchange sends the request, or resumes it, and reads the answer until it
// ends or breaks. A nil error means that the call has its final result.
func (a *answer) exchange(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	guard := a.client.newWatchdog(a, cancel)
	defer guard.stop()
	response, err := a.client.config.Client.Do(a.request(ctx))
	if err != nil {
		return guard.explain(err)
	}
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get(HeaderRequestID); id != "" && id != a.call.Request.Attempt {
		a.client.config.OnResponseDropped("attempt")
		return errCrossed
	}
	if response.StatusCode != http.StatusOK {
		a.refused(response)
		return nil
	}
	a.answered = true
	body := &touchReader{reader: response.Body, touch: guard.touch}
	if a.call.Request.Stream {
		return guard.explain(a.readStream(body))
	}
	return guard.explain(a.readWhole(body))
}

// request builds the HTTP request. Its body can not be rewound, so net/http
// never sends it twice.
func (a *answer) request(ctx context.Context) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	body := oneShot{bytes.NewReader(a.body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.client.base+a.call.Request.Path, body)
	if err != nil {
		panic("upstream: engine URL was checked before: " + err.Error())
	}
	request.ContentLength = int64(len(a.body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderRequestID, a.call.Request.Attempt)
	setToken(request.Header, a.call.Token)
	if a.lastEvent != "" {
		request.Header.Set(HeaderLastEventID, a.lastEvent)
	}
	return request
}

// finish turns the end of the last exchange into the call's result.
func (a *answer) finish(ctx context.Context, err error) EngineResult {
	a.result.DeliveredParts = int(a.delivered.Load())
	if err == nil {
		return a.result
	}
	if !a.connected.Load() {
		a.fail(call.NotRun, call.CodeConnectionLost, err)
		a.result.Execution = ExecutionNotStarted
		return a.result
	}
	switch {
	case errors.Is(err, errWrongModel):
		a.fail(call.Incomplete, call.CodeWrongModel, err)
		a.result.WrongModel = true
	case errors.Is(err, errReceiver), ctx.Err() != nil:
		a.fail(call.Incomplete, call.CodeCancelled, err)
	case errors.Is(err, errNoFinish), errors.Is(err, errEngine):
		a.fail(call.Incomplete, call.CodeUpstreamError, err)
		a.result.Execution = ExecutionEnded
		return a.result
	default:
		a.fail(call.Incomplete, call.CodeConnectionLost, err)
	}
	a.result.Execution = a.settle(ctx)
	return a.result
}

func (a *answer) fail(outcome call.Outcome, code call.Code, err error) {
	a.result.Outcome = outcome
	a.result.Code = code
	a.result.Message = err.Error()
}

// settle cancels the call at the engine on a new connection and tells what is
// then known of it. An engine that never answered the call may still receive it.
func (a *answer) settle(ctx context.Context) ExecutionState {
	known, err := a.client.Cancel(context.WithoutCancel(ctx), a.call.Request.Attempt, a.call.Token)
	if err != nil {
		return ExecutionUncertain
	}
	if known || a.answered {
		return ExecutionEnded
	}
	return ExecutionUncertain
}

// refused sets the result for an answer with an error status.
func (a *answer) refused(response *http.Response) {
	message := readMessage(response.Body)
	resumed := a.lastEvent != ""
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
		a.result.Execution = a.fateOfRefusedResume(response.StatusCode)
		a.result.Result = call.Failed(call.Incomplete, call.CodeConnectionLost, "the engine did not resume: "+message)
	}
}

// fateOfRefusedResume tells what a refused resume says about the call: an
// engine that does not know it runs it no more.
func (a *answer) fateOfRefusedResume(status int) ExecutionState {
	if status == http.StatusNotFound {
		return ExecutionEnded
	}
	return ExecutionUncertain
}

// maxMessage bounds what is read of an error answer, in bytes.
const maxMessage = 4 << 10

func readMessage(body io.Reader) string {
	text, _ := io.ReadAll(io.LimitReader(body, maxMessage))
	return strings.TrimSpace(string(text))
}
