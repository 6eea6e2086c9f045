package relay

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/limit"
	"github.com/barleylift/barleylift/internal/quarantine"
	"github.com/barleylift/barleylift/internal/routing"
	"github.com/barleylift/barleylift/internal/topology"
)

// exchange is one request and its response.
type exchange struct {
	relay   *Relay
	w       http.ResponseWriter
	request *http.Request
	call    *Call
	table   *routing.Table
	route   *routing.Route
	service *routing.Service
	body    []byte
	// subject is what the request is known by when engines crash under it.
	subject   quarantine.Request
	arrivedAt time.Time
	// keysRequired is set if callers need API keys. customer holds the request's key, nil if
	// nobody does, and cost is what the request counts for the customer's quota.
	keysRequired bool
	customer     *routing.Customer
	cost         int64
	// keyTable is the table against which the API key was checked last.
	keyTable *routing.Table
	// tokens are those that the request has taken from the customer's quota; nil for none.
	tokens *takenTokens
	// ctx is done when the caller disconnects, the deadline passes or the daemon ends.
	ctx    context.Context
	cancel context.CancelFunc
	// deadline is the earlier of the caller's and the route's timeout.
	deadline time.Time

	// sends counts the sends of which bytes may have reached an upstream, and
	// possibleRuns the sends after which the request may have run.
	sends        int
	possibleRuns int
	// deposited is set once the request counts for the retry budget.
	deposited bool
	// reservation is the next send's in the retry budget, decided at reservedAt by clock.Boot;
	// nil if it needs none or is not decided.
	reservation *limit.ReservedRetry
	reservedAt  time.Duration
	// carriers lists the connections of earlier sends.
	carriers []hop.ConnID
	// refusedBy lists the upstreams that have refused the request.
	refusedBy []string
	// tried lists the upstreams that must not be selected again.
	tried []string
	// admissionEngine and admissionTicket identify the admission whose progress is
	// reported to the engine's owner; the ticket is 0 if there is none.
	admissionEngine string
	admissionTicket uint64
	admissionOver   bool
	// waitedForTurn is set once the request has waited for the end of a pause or for
	// room within a rate limit.
	waitedForTurn bool
	// placeWait is how long the request has waited for places at fragile replicas.
	placeWait time.Duration
	// upstreamDone is set if the upstream of the last send has ended its answer.
	upstreamDone bool
	// onlyEngine is set if the last choice had one engine to choose from.
	onlyEngine bool
	// passedOn is set if another VM has passed the request on. triedVMs lists the VMs to
	// which this one has, and viaVM is set while the current send is to one of them.
	passedOn bool
	triedVMs []string
	viaVM    bool
	// notFresh is set once the request needed an API key and this VM had no proof that its
	// configuration is the newest.
	notFresh bool
	// tooLateCount counts the engines with no room before the request's deadline, and roomIn
	// is the shortest time in which one has room.
	tooLateCount int
	roomIn       time.Duration
	// declines counts the engines that could not accept the request.
	declines int
	// expected is what was expected of the request when its engine was chosen.
	expected expectation
	// admissionWait is the time spent waiting for adapter loads and admissions.
	admissionWait time.Duration
	// held is what is held of the upstream's answer.
	held heldBytes
	// headSent is set once the head of a response was sent to the caller.
	headSent bool
	// lastEventID is the identifier of the last complete event that was forwarded.
	lastEventID string
	events      int
	// softwareVersion is the version of the engine that began the stream, of which
	// lastEventID is the last event; empty if it is unknown.
	softwareVersion string
	// verdict is the decision on the new request, and enginesEnded counts the engines that
	// have ended when they had begun to answer the request, or may have run it.
	verdict      quarantine.Verdict
	enginesEnded atomic.Int32
	// sendCtx is that of the current send, which began at sentAt by clock.Boot. It ends
	// early if the request is blocked.
	sendCtx context.Context
	sentAt  time.Duration
	// pastBeginning is set once the stream of the current send has got past its beginning,
	// and engineAnswered once its answer was whole.
	pastBeginning, engineAnswered bool
	// engineEvents is the number of events of the current send, and engineBeganAt when
	// its first event arrived.
	engineEvents  int
	engineBeganAt time.Time
	// timeToFirstEvent is counted from the arrival of the request, maxEventGap is
	// the longest time between two events, and lastEventAt is when the last event
	// arrived.
	timeToFirstEvent time.Duration
	maxEventGap      time.Duration
	lastEventAt      time.Time
	// outcome, status, reason and upstreamID are logged when the request ends.
	outcome    string
	status     int
	reason     string
	upstreamID string
}

func newExchange(relay *Relay, w http.ResponseWriter, request *http.Request, call *Call, table *routing.Table, route *routing.Route, body []byte, arrived time.Time, passedOn bool) *exchange {
	timeout := call.timeout()
	e := &exchange{
		relay: relay, w: w, request: request, call: call, table: table, route: route, body: body, arrivedAt: arrived, passedOn: passedOn, held: heldBytes{bound: relay.held},
		deadline:    arrived.Add(min(timeout, route.Timeout)),
		lastEventID: call.LastEventID,
	}
	e.service = table.Service(route.PickService(call.ID))
	ctx, cancel := context.WithDeadline(request.Context(), e.deadline)
	stop := context.AfterFunc(relay.ending.over, cancel)
	e.ctx, e.cancel = ctx, func() {
		stop()
		cancel()
	}
	return e
}

// accept prepares the request of a caller that may use the route.
func (e *exchange) accept() {
	call := e.call
	e.subject = quarantine.Request{
		Fingerprint: quarantine.NewFingerprint(call.Method, call.Host, call.Target, e.callerText(), e.body), Prompt: call.PromptParts,
	}
	if !e.passedOn && !e.relay.config.Peers.CutOff() && e.keysUsable() {
		e.deposit()
	}
}

// deposit counts the request for the retry budget, once. The VM that sends it to upstreams
// does so, because it makes the repeated sends. One that is asked for another VM's request
// may refuse it, and further VMs are asked then, so it counts the request when it sends it.
func (e *exchange) deposit() {
	if !e.deposited {
		e.deposited = true
		e.relay.config.Budget(e.service.Name).Deposit(e.relay.config.Now())
	}
}

// finish logs and counts the request. It closes the caller's connection if the
// response is incomplete.
func (e *exchange) finish() {
	e.cancel()
	e.reservation.Cancel()
	e.held.release()
	e.learnCost()
	e.returnTokens()
	took := time.Since(e.arrivedAt)
	if e.outcome == outcomeAnswered && e.status/100 == 2 {
		e.relay.runTimes.record(e.route.Name, clock.Boot()-e.sentAt)
	}
	e.relay.config.Metrics.RequestEnded(e.route.Name, e.outcome, took)
	if e.call.LastEventID != "" {
		e.relay.log.Info("request resumes a stream", "id", e.call.ID, "first_try", e.call.FirstTry, "last_event", e.call.LastEventID, "software", e.softwareVersion)
	}
	e.relay.log.Info("request ended", "id", e.call.ID, "route", e.route.Name, "customer", e.customerName(), "version", e.table.Version(), "outcome", e.outcome,
		"status", e.status, "reason", e.reason, "upstream", e.upstreamID, "adapter", e.call.Adapter.String(), "sends", e.sends, "runs", e.possibleRuns, "passed_on", e.passedOn,
		"events", e.events, "first_ms", e.timeToFirstEvent.Milliseconds(), "pause_ms", e.maxEventGap.Milliseconds(), "waited_ms", e.admissionWait.Milliseconds(), "took_ms", took.Milliseconds())
	if e.outcome == outcomeBroken || e.outcome == outcomeCallerLeft {
		panic(http.ErrAbortHandler)
	}
}

// Outcomes of a request, in logs and metrics.
const (
	outcomeAnswered     = "answered"
	outcomeRefused      = "refused"
	outcomeUnauthorized = "unauthorized"
	outcomeMalformed    = "malformed"
	outcomeOverQuota    = "over quota"
	outcomeUnknown      = "unknown"
	outcomeBroken       = "broken"
	outcomeCallerLeft   = "caller left"
)

func (e *exchange) serve() {
	if e.refuseCaller() {
		return
	}
	e.accept()
	if e.refuseIfBlocked() || e.refusePassedOn() {
		return
	}
	if e.lastEventID != "" && e.route.Kind == routing.Streaming && !e.findOrigin() {
		return
	}
	if e.service.Engines != nil {
		e.serveModel()
		return
	}
	e.servePlain()
}

// timeLeft returns the time until the request's deadline.
func (e *exchange) timeLeft() time.Duration {
	return time.Until(e.deadline)
}

// endIfExpired ends the request if the caller has disconnected, the deadline has
// passed or the daemon ends, and reports whether it did.
func (e *exchange) endIfExpired() bool {
	if callerDisconnected(e.request) {
		e.outcome = outcomeCallerLeft
		return true
	}
	if e.relay.ending.over.Err() != nil {
		e.giveUp(http.StatusBadGateway, retryAfterEnding, errEnding.Error())
		return true
	}
	if e.timeLeft() > 0 {
		return false
	}
	e.giveUp(http.StatusGatewayTimeout, retryAfterTimeout, "the time is over")
	return true
}

// Retry-After values sent to callers.
const (
	// retryAfterTimeout is for a request whose deadline has passed.
	retryAfterTimeout = time.Second
	// retryAfterLate is for a request that could not start in time: its adapter is
	// waiting for a load or a free slot, which takes about a second.
	retryAfterLate = time.Second
	// retryAfterBusy is for a request that no upstream could accept.
	retryAfterBusy = 400 * time.Millisecond
	// retryAfterBudget is for a request that may not be resent now.
	retryAfterBudget = 200 * time.Millisecond
)

// giveUp ends a request without an upstream's response. If the request
// certainly did not run, it is refused with Retry-After; otherwise status is
// sent, which must not imply that the request did not run.
func (e *exchange) giveUp(status int, retryAfter time.Duration, reason string) {
	e.reason = reason
	if e.headSent {
		e.outcome = outcomeBroken
		return
	}
	if e.possibleRuns == 0 {
		e.outcome = outcomeRefused
		e.status = http.StatusServiceUnavailable
		e.relay.config.Protocol.WriteError(e.w, e.call, e.status, retryAfter, reason)
		return
	}
	e.outcome = outcomeUnknown
	e.status = status
	e.relay.config.Protocol.WriteError(e.w, e.call, status, 0, reason)
}

// mayRunAgain reports whether the route allows the request to run again.
func (e *exchange) mayRunAgain() bool {
	return e.possibleRuns == 0 || e.route.Idempotent() && e.possibleRuns < e.route.MaxAttempts
}

// allowResend reports whether the request may be sent again. If bytes of the request may have
// reached an upstream before, it reserves the send in the retry budget, unless a send that was
// reserved has not been made.
func (e *exchange) allowResend(reason string) bool {
	if !e.mayRunAgain() {
		return false
	}
	if e.sends == 0 || e.reservation != nil {
		return true
	}
	budget := e.relay.config.Budget(e.service.Name)
	now := e.relay.config.Now()
	e.reservation = budget.Reserve(now)
	e.reservedAt = clock.Boot()
	allowed := e.reservation != nil
	e.relay.config.Metrics.RepeatDecided(e.service.Name, allowed)
	e.relay.log.Info("request is to be sent again", "id", e.call.ID, "service", e.service.Name, "to", reason, "sends", e.sends, "allowed", allowed,
		budgetAttribute(budget.Usage(now)))
	if !allowed {
		e.reason = reasonBudgetUsed
		return false
	}
	e.relay.config.Metrics.RepeatedSend(e.service.Name, reason)
	return true
}

const reasonBudgetUsed = "the budget for repeated sends is used up"

// errBudgetUsed ends a send before its first byte: the retry budget no longer allows it.
var errBudgetUsed = errors.New(reasonBudgetUsed)

// useReservation counts a repeated send in the retry budget, just before its first byte.
func (e *exchange) useReservation() error {
	reservation := e.reservation
	if reservation == nil {
		return nil
	}
	e.reservation = nil
	now := e.relay.config.Now()
	allowed := reservation.Use(now)
	e.relay.log.Info("request is sent again", "id", e.call.ID, "service", e.service.Name, "sends", e.sends, "waited_ms", (clock.Boot() - e.reservedAt).Milliseconds(),
		"allowed", allowed, budgetAttribute(e.relay.config.Budget(e.service.Name).Usage(now)))
	if !allowed {
		return errBudgetUsed
	}
	return nil
}

func budgetAttribute(usage limit.Usage) slog.Attr {
	return slog.Group("budget", "requests", usage.Deposits, "repeats", usage.Retries, "reserved", usage.Reserved, "bound", usage.Allowed)
}

// monotonicNow returns a time for budget windows that is unaffected by changes
// of the wall clock.
func monotonicNow() time.Time {
	return time.Unix(0, int64(clock.Boot()))
}

type sendResult struct {
	response *hop.Response
	head     ResponseHead
	err      error
	// mayHaveRun is set if the request may have run or may still run.
	mayHaveRun bool
	// written is set if bytes may have reached the upstream.
	written bool
	// conn identifies the connection, and reused is set if it had served an
	// earlier request.
	conn   hop.ConnID
	reused bool
	// skipped is the number of responses to other requests on the connection.
	skipped int
	// begun is set if the upstream had begun to answer the request.
	begun bool
}

// logAttributes returns what tells sends of one request apart in the log.
func (s sendResult) logAttributes() slog.Attr {
	return slog.Group("send", "connection", uint64(s.conn), "reused", s.reused, "skipped", s.skipped, "identified", s.head.RequestID != "")
}

// errNotTaken ends a send before its first byte: the upstream leaves or pauses since it was
// selected.
var errNotTaken = errors.New("the upstream takes no request any more")

// send sends the request to an upstream and reads the head of the response. granted is set
// if the request has a turn there.
func (e *exchange) send(ctx context.Context, upstream topology.Upstream, granted bool, params SendParams) sendResult {
	protocol := e.relay.config.Protocol
	params.UpstreamID = upstream.ID
	params.TimeLeft = e.timeLeft()
	params.KeysRequired, params.Customer = e.keysRequired, e.customerName()
	request := &hop.Request{
		Method: e.call.Method,
		Target: e.call.Target,
		Host:   e.call.Host,
		Header: protocol.RequestHeader(e.call, params),
		Body:   e.body,
	}
	e.deposit()
	sentAt := clock.Boot()
	response, failed := e.exchangeOver(ctx, e.relay.config.Pools.RequestPool(upstream), request, func() error { return e.lastCheck(upstream, granted) })
	if response == nil {
		return failed
	}
	head := protocol.DecodeResponseHead(response.StatusCode, response.Header)
	result := sendResult{
		response: response, head: head, written: true, conn: response.Conn(), reused: response.Reused(), skipped: response.Skipped,
	}
	if !head.NotRun && !head.Misdirected {
		result.mayHaveRun, result.begun = true, true
		result.err = e.checkHead(head, response.StatusCode)
	}
	if !head.Misdirected || head.UpstreamID == upstream.ID {
		if result.err != nil || !result.mayHaveRun {
			sentAt = 0
		}
		e.relay.config.Observe(upstream, head.Statement, sentAt, "request "+e.call.ID)
	}
	if result.err != nil {
		response.Discard()
		result.response = nil
	}
	return result
}

// lastCheck returns why the request must not be sent to an upstream any more, just before the
// first byte: there was none when the upstream was selected, but the connection may have
// taken a while.
func (e *exchange) lastCheck(upstream topology.Upstream, granted bool) error {
	if e.endsTooSoon() {
		return errEnding
	}
	if !e.keysUsable() {
		return errNotFresh
	}
	if err := e.checkKey(); err != nil {
		return err
	}
	if e.tokensAreOld() {
		return errTokensOld
	}
	if e.relay.config.Quarantine.Recheck(e.subject, e.verdict).Blocked {
		return errWithheld
	}
	if _, ok := e.relay.config.Locator.Upstream(upstream.ID, granted); !ok {
		return errNotTaken
	}
	return e.useReservation()
}

// exchangeOver sends a request over a connection of a pool and reads the head of the
// response. If there is none, it returns the failed send. beforeWrite, if not nil, is called
// once there is a connection; the request isn't sent if it returns an error.
func (e *exchange) exchangeOver(ctx context.Context, pool *hop.Pool, request *hop.Request, beforeWrite func() error) (*hop.Response, sendResult) {
	protocol := e.relay.config.Protocol
	e.engineEvents, e.engineBeganAt, e.pastBeginning, e.engineAnswered = 0, time.Time{}, false, false
	response, err := pool.Send(ctx, request, hop.Options{
		MaxIdle:     e.maxIdle(),
		Avoid:       e.carriers,
		BeforeWrite: beforeWrite,
		ID:          e.call.ID,
		ResponseID: func(header http.Header) string {
			return protocol.DecodeResponseHead(0, header).RequestID
		},
	})
	if err == nil {
		return response, sendResult{}
	}
	var failure *hop.Error
	written := errors.As(err, &failure) && failure.Written
	result := sendResult{err: err, written: written, mayHaveRun: written}
	if written {
		result.conn, result.reused, result.skipped = failure.Conn, failure.Reused, failure.Skipped
	}
	return nil, result
}

// checkHead returns an error if the response to a request that may have run
// must not be forwarded.
func (e *exchange) checkHead(head ResponseHead, status int) error {
	switch {
	case head.ContentEncoded || head.RequestID != e.call.ID || status/100 == 2 && !head.Signed:
		return errForeignResponse
	case head.StatusImpliesNotRun:
		return errUnfoundedRefusal
	default:
		return nil
	}
}

var (
	// errUnfoundedRefusal reports a response whose status implies that the request
	// did not run, which the upstream did not state.
	errUnfoundedRefusal = errors.New("the upstream refused the request and did not state that it has not run")
	errForeignResponse  = errors.New("the answer is not the upstream's to this request")
)
