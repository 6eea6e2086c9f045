package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/routing"
	"github.com/barleylift/barleylift/internal/topology"
)

// exchange is one request with its answer.
type exchange struct {
	relay   *Relay
	w       http.ResponseWriter
	request *http.Request
	call    *Call
	table   *routing.Table
	route   *routing.Route
	service *routing.Service
	body    []byte
	arrived time.Time
	// ctx ends when the caller leaves or the time that the caller and the
	// route allow is over.
	ctx    context.Context
	cancel context.CancelFunc
	// deadline is when the time is over.
	deadline time.Time

	// sends counts the sends of which bytes may have reached an upstream, and
	// runs those after which the request may have run.
	sends int
	runs  int
	// tried lists upstreams that are not to be used again.
	tried []string
	// turnEngine and turnTicket name the turn of which the engine's owner is to
	// be told that it is over; 0 if there is none.
	turnEngine string
	turnTicket uint64
	turnOver   bool
	// declined counts the engines that could not take the request.
	declined int
	// waited is the time spent on waiting for adapters and turns.
	waited time.Duration
	// headSent tells that the caller has got the head of an answer.
	headSent bool
	// lastEvent is the last whole event that was passed on.
	lastEvent string
	events    int
	// first is the time to the first event, and pause the longest time
	// between two events; last is when the last event came.
	first time.Duration
	pause time.Duration
	last  time.Time
	// outcome, status and reason are for the log.
	outcome  string
	status   int
	reason   string
	upstream string
}

func newExchange(relay *Relay, w http.ResponseWriter, request *http.Request, call *Call, table *routing.Table, route *routing.Route, body []byte, arrived time.Time) *exchange {
	patience := call.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	e := &exchange{
		relay: relay, w: w, request: request, call: call, table: table, route: route, body: body, arrived: arrived,
		deadline:  arrived.Add(min(patience, route.Timeout)),
		lastEvent: call.LastEventID,
	}
	e.service = table.Service(route.PickService(call.ID))
	e.ctx, e.cancel = context.WithDeadline(request.Context(), e.deadline)
	relay.config.Budget(e.service.Name).Deposit(steadyNow())
	return e
}

// finish logs and counts the request. A broken answer closes the connection.
func (e *exchange) finish() {
	e.cancel()
	took := time.Since(e.arrived)
	e.relay.config.Metrics.RequestEnded(e.route.Name, e.outcome, took)
	e.relay.log.Info("request ended", "id", e.call.ID, "route", e.route.Name, "version", e.table.Version(), "outcome", e.outcome,
		"status", e.status, "reason", e.reason, "upstream", e.upstream, "adapter", e.call.Adapter.String(), "sends", e.sends, "runs", e.runs,
		"events", e.events, "first_ms", e.first.Milliseconds(), "pause_ms", e.pause.Milliseconds(), "waited_ms", e.waited.Milliseconds(), "took_ms", took.Milliseconds())
	if e.outcome == outcomeBroken || e.outcome == outcomeLeft {
		panic(http.ErrAbortHandler)
	}
}

// The outcomes of a request, for logs and metrics.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeUnknown  = "unknown"
	outcomeBroken   = "broken"
	outcomeLeft     = "caller left"
)

func (e *exchange) serve() {
	if e.service.Engines != nil {
		e.serveModel()
		return
	}
	e.servePlain()
}

// timeLeft is how long the request may still take.
func (e *exchange) timeLeft() time.Duration {
	return time.Until(e.deadline)
}

// over reports whether the request has ended by its caller or its time, and
// answers it in that case.
func (e *exchange) over() bool {
	if callerGone(e.request) {
		e.outcome = outcomeLeft
		return true
	}
	if e.timeLeft() > 0 {
		return false
	}
	e.giveUp(http.StatusGatewayTimeout, retryAfterTimeout, "the time is over")
	return true
}

// Advice to callers on when to come back.
const (
	// retryAfterTimeout follows a request for which there was no time left.
	retryAfterTimeout = time.Second
	// retryAfterLate follows a request that could not begin in time: its
	// adapter waits for a load or a place, which takes about a second.
	retryAfterLate = time.Second
	// retryAfterBusy follows a request that no upstream could take at once.
	retryAfterBusy = 400 * time.Millisecond
	// retryAfterBudget follows a request that must not be sent again now.
	retryAfterBudget = 200 * time.Millisecond
)

// giveUp ends a request without an upstream's answer: as not run, with advice
// on when to come back, if that is certain; else with a status that promises
// nothing.
func (e *exchange) giveUp(status int, retryAfter time.Duration, reason string) {
	e.reason = reason
	if e.headSent {
		e.outcome = outcomeBroken
		return
	}
	if e.runs == 0 {
		e.outcome = outcomeRefused
		e.status = http.StatusServiceUnavailable
		e.relay.config.Protocol.WriteError(e.w, e.call, e.status, retryAfter, reason)
		return
	}
	e.outcome = outcomeUnknown
	e.status = status
	e.relay.config.Protocol.WriteError(e.w, e.call, status, 0, reason)
}

// mayRunAgain reports whether the route allows the request to run once more.
func (e *exchange) mayRunAgain() bool {
	return e.runs == 0 || e.route.Idempotent() && e.runs < e.route.MaxAttempts
}

// mayRepeat reports whether the request may be sent once more, and draws on
// the budget if bytes of it have reached an upstream before.
func (e *exchange) mayRepeat(reason string) bool {
	if !e.mayRunAgain() {
		return false
	}
	if e.sends == 0 {
		return true
	}
	if !e.relay.config.Budget(e.service.Name).Allow(steadyNow()) {
		e.reason = "the budget for repeated sends is used up"
		return false
	}
	e.relay.config.Metrics.RepeatedSend(e.service.Name, reason)
	return true
}

// steadyNow is a time that setting the clock does not move, for windows.
func steadyNow() time.Time {
	return time.Unix(0, int64(clock.Boot()))
}

// sent is the result of one send.
type sent struct {
	response *hop.Response
	head     ResponseHead
	err      error
	// ran tells that the request may have run, or may still run.
	ran bool
	// written tells that bytes may have reached the upstream.
	written bool
}

// send sends the request to an upstream and reads the head of the answer.
func (e *exchange) send(ctx context.Context, upstream topology.Upstream, sending SendParams, maxIdle time.Duration) sent {
	protocol := e.relay.config.Protocol
	sending.UpstreamID = upstream.ID
	sending.TimeLeft = e.timeLeft()
	request := &hop.Request{
		Method: e.call.Method,
		Target: e.call.Target,
		Host:   e.call.Host,
		Header: protocol.RequestHeader(e.call, sending),
		Body:   e.body,
	}
	response, err := e.relay.config.Pools.RequestPool(upstream).Send(ctx, request, hop.Options{
		MaxIdle: maxIdle,
		Matches: func(header http.Header) bool {
			id := protocol.DecodeResponseHead(0, header).RequestID
			return id == "" || id == e.call.ID
		},
	})
	if err != nil {
		var failure *hop.Error
		written := errors.As(err, &failure) && failure.Written
		return sent{err: err, written: written, ran: written}
	}
	head := protocol.DecodeResponseHead(response.StatusCode, response.Header)
	if head.NotRun || head.Misdirected {
		return sent{response: response, head: head, written: true}
	}
	if err := e.check(head, response.StatusCode); err != nil {
		response.Discard()
		return sent{err: err, written: true, ran: true}
	}
	return sent{response: response, head: head, written: true, ran: true}
}

// check returns why an answer to a request that may have run can't be passed on.
func (e *exchange) check(head ResponseHead, status int) error {
	switch {
	case head.ContentEncoded || head.RequestID != e.call.ID || status/100 == 2 && !head.Signed:
		return errForeignAnswer
	case head.StatusImpliesNotRun:
		return errUnfoundedRefusal
	default:
		return nil
	}
}

var (
	// errUnfoundedRefusal stands for an answer whose status would promise the
	// caller what the upstream does not state.
	errUnfoundedRefusal = errors.New("the upstream refused the request and did not state that it has not run")
	errForeignAnswer    = errors.New("the answer is not the upstream's to this request")
)
