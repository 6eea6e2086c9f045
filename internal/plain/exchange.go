package plain

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/profile"
	"github.com/barleylift/barleylift/internal/upstream"
)

const (
	// maxAttempts limits the attempts of one call.
	maxAttempts = 4
	// retryPause is the mean pause between two attempts of one call.
	retryPause = 50 * time.Millisecond
	// retryAfterService is the Retry-After of a call that did not run.
	retryAfterService = time.Second
)

// exchange is one call and its response.
type exchange struct {
	route    *servedRoute
	w        http.ResponseWriter
	r        *http.Request
	customer catalog.Customer
	profile  profile.Profile
	deadline time.Time
	body     *requestBody
	tried    []string
	// inDoubtCode is the code of an attempt after which the call may have run;
	// empty if there was none.
	inDoubtCode call.Code
}

func newExchange(route *servedRoute, w http.ResponseWriter, r *http.Request, customer catalog.Customer, prof profile.Profile) *exchange {
	tolerance := prof.DelayTolerance
	if tolerance <= 0 {
		tolerance = defaultTolerance
	}
	return &exchange{
		route: route, w: w, r: r, customer: customer, profile: prof,
		deadline: time.Now().Add(tolerance),
	}
}

// serve serves the call. A call without a key on a keyed route is sent at most
// once.
func (e *exchange) serve() {
	if e.r.ContentLength > e.route.maxBody() {
		e.fail(e.tooLarge())
		return
	}
	key := ""
	if e.route.IdempotencyHeader != "" && !e.route.Repeatable {
		key = e.r.Header.Get(e.route.IdempotencyHeader)
	}
	if key != "" {
		e.serveKeyed(key)
		return
	}
	body, err := newRequestBody(e.w, e.r, e.route.maxBody())
	if err != nil {
		e.fail(e.bodyErrorResult(err, false))
		return
	}
	e.body = body
	e.serveStream()
}

// fail writes a failed result as the response.
func (e *exchange) fail(result call.Result) {
	e.route.observe(e.customer.Name, e.profile.Name, result)
	call.WriteResult(e.w, result)
}

func (e *exchange) tooLarge() call.Result {
	return call.Failed(call.Rejected, call.CodeTooLarge, "the request body exceeds the route's bound")
}

// bodyErrorResult returns the result of a call whose body could not be read
// completely. Once part of it was sent, only a repeatable call can be reported
// as rejected.
func (e *exchange) bodyErrorResult(err error, sent bool) call.Result {
	switch {
	case sent && !e.route.Repeatable:
		return call.Failed(call.Unknown, call.CodeCancelled, "the request body broke off after part of it was sent")
	case tooLarge(err):
		return e.tooLarge()
	default:
		return call.Failed(call.Rejected, call.CodeBadRequest, "the request body could not be read")
	}
}

// serveStream sends the call, retries it as far as the route allows, and
// forwards the response.
func (e *exchange) serveStream() {
	var result call.Result
	for attempt := 1; ; attempt++ {
		response, err := e.attempt()
		if err == nil && !response.NotExecuted && !(attempt < maxAttempts && e.shouldRetryStatus(response)) {
			e.forward(response)
			return
		}
		again := false
		result, again = e.classify(response, err)
		if !again || attempt == maxAttempts || !e.waitBeforeRetry() {
			break
		}
		e.route.handler.config.Metrics.Retry(string(result.Code))
	}
	e.fail(e.finalResult(result))
}

// attempt sends the call once. A short response is read completely. Once all
// replicas were tried, all may be tried again.
func (e *exchange) attempt() (*bufferedResponse, error) {
	request := upstream.ServiceRequest{
		Service:       e.route.Service,
		Method:        e.r.Method,
		Target:        e.r.URL.RequestURI(),
		Header:        upstream.RequestHeader(e.r.Header, e.customer.Name),
		Body:          e.body.reader(),
		ContentLength: e.body.length,
		Timeout:       e.route.Timeout,
		Repeatable:    e.route.Repeatable,
		Tried:         e.tried,
	}
	services := e.route.handler.config.Services
	response, err := services.Attempt(e.r.Context(), request)
	var failure *upstream.ServiceError
	if errors.As(err, &failure) && failure.Code == call.CodeNoUpstream && len(e.tried) > 0 {
		e.tried = nil
		request.Tried = nil
		response, err = services.Attempt(e.r.Context(), request)
	}
	if err != nil {
		return nil, err
	}
	return bufferShort(response)
}

// shouldRetryStatus reports whether the call should be retried because of the
// status of the response. Without budget or time left the response is forwarded.
func (e *exchange) shouldRetryStatus(response *bufferedResponse) bool {
	if !e.route.Repeatable || !e.body.replayable(true) {
		return false
	}
	switch response.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		now := time.Now()
		return now.Add(2*retryPause).Before(e.deadline) && e.route.budget.Allow(now)
	default:
		return false
	}
}

// classify returns the result of a failed attempt and whether another attempt
// may follow.
func (e *exchange) classify(response *bufferedResponse, err error) (result call.Result, again bool) {
	if err == nil {
		return e.classifyResponse(response)
	}
	var truncated *truncatedResponseError
	if errors.As(err, &truncated) {
		e.tried = append(e.tried, truncated.replica)
		e.inDoubtCode = call.CodeConnectionLost
		again = e.route.Repeatable && e.body.replayable(true) && e.route.budget.Allow(time.Now())
		return call.Failed(call.Incomplete, call.CodeConnectionLost, truncated.Error()), again
	}
	var failure *upstream.ServiceError
	if !errors.As(err, &failure) {
		return call.Failed(call.Unknown, call.CodeUpstreamError, err.Error()), false
	}
	e.tried = append(e.tried, failure.Replica)
	switch {
	case failure.BodyErr != nil:
		return e.bodyErrorResult(failure.BodyErr, failure.Sent), false
	case failure.Sent:
		e.inDoubtCode = failure.Code
		result = call.Failed(call.Unknown, failure.Code, "the connection to the service failed after the call was sent")
		again = e.route.Repeatable && failure.Code != call.CodeCancelled &&
			e.body.replayable(failure.BodyRead) && e.route.budget.Allow(time.Now())
		return result, again
	default:
		result = notRun(failure.Code, "the call was not sent")
		again = failure.Code != call.CodeCancelled && failure.Code != call.CodeNoUpstream && failure.Code != call.CodeBadRequest
		return result, again && e.body.replayable(failure.BodyRead)
	}
}

// classifyResponse is classify for a response that is not forwarded.
func (e *exchange) classifyResponse(response *bufferedResponse) (result call.Result, again bool) {
	response.close()
	e.tried = append(e.tried, response.Replica)
	if response.NotExecuted {
		result = notRun(call.CodeUpstreamError, "the service refused the call before executing it")
		return result, e.body.replayable(true)
	}
	e.inDoubtCode = call.CodeUpstreamError
	return call.Failed(call.Unknown, call.CodeUpstreamError, http.StatusText(response.Status)), true
}

// finalResult returns the call's result, given the last attempt's: not run only
// if no attempt can have run.
func (e *exchange) finalResult(result call.Result) call.Result {
	if result.Outcome == call.NotRun && e.inDoubtCode != "" {
		return call.Failed(call.Unknown, e.inDoubtCode, "an earlier attempt may have run")
	}
	return result
}

// waitBeforeRetry waits before the next attempt. It returns false if the delay
// tolerance would be exceeded or the caller has disconnected.
func (e *exchange) waitBeforeRetry() bool {
	return waitBeforeRetry(e.r.Context(), e.deadline)
}

// waitBeforeRetry waits for a random time between 0.5 and 1.5 times retryPause.
// It returns false if the deadline would pass or ctx is done.
func waitBeforeRetry(ctx context.Context, deadline time.Time) bool {
	d := retryPause/2 + rand.N(retryPause)
	if time.Until(deadline) < d {
		return false
	}
	return clock.Sleep(ctx, d)
}

func notRun(code call.Code, message string) call.Result {
	return call.Failed(call.NotRun, code, message).WithRetryAfter(retryAfterService)
}
