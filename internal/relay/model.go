package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/ratelimit"
	"github.com/barleylift/barleylift/internal/routing"
	"github.com/barleylift/barleylift/internal/steer"
	"github.com/barleylift/barleylift/internal/topology"
)

// Limits of model requests.
const (
	// maxAdmissionWait is how long a request waits for admission at one engine
	// that holds its adapter before another one is considered: a batch of prompts or
	// two. An entry knows the queue of an engine that it rarely uses only once it has
	// asked there.
	maxAdmissionWait = 200 * time.Millisecond
	// minMoveGain is how much less work must wait at another engine to make a request
	// move there: its message and the steps between prompts take some 50 ms.
	minMoveGain = 100 * time.Millisecond
	// unknownWork is the work that is assumed at an engine whose owner has reported none
	// to this entry: a batch of prompts.
	unknownWork = 100 * time.Millisecond
	// maxTooLate is the number of engines without room before a request's deadline after
	// which it is refused: the second one was chosen as the best of the others.
	maxTooLate = 2
	// tooLateSpread is the part of the time until there is room over which the callers of
	// such requests are spread.
	tooLateSpread = 0.5
	// declinedBackoff is the pause before the next choice of an engine after an
	// engine's owner declined; it doubles up to maxDeclinedBackoff.
	declinedBackoff    = 30 * time.Millisecond
	maxDeclinedBackoff = 240 * time.Millisecond
	// sendDeadlineShare is the fraction of a caller's patience for the first event
	// after which a request that is not yet sent is refused, so that its caller
	// receives a Retry-After instead of disconnecting without a response.
	sendDeadlineShare = 0.65
	// Callers disconnect from a stream without a first event after the longest of
	// these: a fixed time, and multiples of the route's objectives.
	minFirstEventPatience    = 2 * time.Second
	firstEventPatienceFactor = 4
	pausePatienceFactor      = 8
	// maxIdleRepeatable is the longest idle time of a connection that is reused
	// for a request that may be repeated.
	maxIdleRepeatable = 10 * time.Second
	// maxIdleOnce is the same for a request that runs at most once, which would be
	// lost on a connection that the upstream has just closed.
	maxIdleOnce = time.Second
)

// maxIdle returns the longest idle time of a connection that is reused for this
// request, 0 for none. An upstream that has refused the request may write the refusal
// once more on any connection that it keeps, and nothing tells it from the answer to a
// later send.
func (e *exchange) maxIdle() time.Duration {
	if slices.Contains(e.refusedBy, e.upstreamID) {
		return 0
	}
	if e.route.Idempotent() {
		return maxIdleRepeatable
	}
	return maxIdleOnce
}

// serveModel sends the request to engines until one has responded or the
// request has ended.
func (e *exchange) serveModel() {
	e.estimateCost()
	for !e.endIfExpired() && !e.endIfTooLateToSend() && !e.endIfKeyRevoked() {
		if handled, ended := e.passOn(); ended {
			return
		} else if handled {
			continue
		}
		if e.endIfOverQuota() {
			return
		}
		if e.sends == 0 && time.Now().After(e.sendDeadline()) {
			e.giveUp(http.StatusBadGateway, retryAfterLate, "the request could not begin in time")
			return
		}
		choice, ok := e.pickEngine()
		if (!ok || choice.NeedsLoad) && e.awaitNextTurn(ok) {
			continue
		}
		if !ok {
			e.giveUpForNow(e.noEngineReason())
			return
		}
		if choice.SpreadTo != "" {
			e.relay.config.Locator.RequestLoad(choice.SpreadTo, e.call.Adapter)
		}
		if e.sends > 0 && !e.allowResend("engine") {
			e.giveUp(http.StatusBadGateway, retryAfterBudget, e.resendRefusal())
			return
		}
		ticket, admitted := e.awaitAdmission(choice)
		if e.tooLateCount >= maxTooLate {
			e.giveUp(http.StatusBadGateway, e.roomIn, "no engine has room before the request's deadline")
			return
		}
		if admitted && e.tryEngine(choice.Engine, ticket) {
			return
		}
	}
}

func (e *exchange) noEngineReason() string {
	if e.lastEventID != "" {
		return "no engine of the software version that began the stream can take the request"
	}
	return "no engine can take the request"
}

// awaitAdmission waits until the request is admitted at the selected engine,
// with its adapter loaded. The ticket is 0 if the engine has no owner that
// grants admissions.
func (e *exchange) awaitAdmission(choice steer.Choice) (ticket uint64, admitted bool) {
	engines := e.relay.config.Locator
	if !choice.NeedsLoad && !engines.MayHaveOwner(choice.Engine) {
		return 0, e.admitUnowned(choice.Engine)
	}
	started := time.Now()
	now := clock.Boot()
	ticket = engines.NewTicket()
	ctx, cancel := e.admissionContext()
	defer cancel()
	defer e.cancelWhenTooLateToSend(ctx, cancel)()
	reconsiderAfter := maxAdmissionWait
	if choice.NeedsLoad {
		reconsiderAfter = 0
	}
	admission, roomIn := engines.AwaitAdmission(ctx, choice.Engine, locator.AdmissionRequest{
		Ticket:         ticket,
		Adapter:        e.call.Adapter,
		PromptTokens:   e.call.PromptTokens,
		Priority:       e.priority(),
		PauseObjective: e.route.PauseObjective,
		FirstEventDue:  now + e.route.LatencyObjective - time.Since(e.arrivedAt),
		Deadline:       now + e.timeToSend(),
		NeedsLoad:      choice.NeedsLoad,
		TurnBy:         now + e.maxTurnWait(choice.NeedsLoad),

		ReconsiderAfter: reconsiderAfter,
		MayStay:         func() bool { return e.mayStay(choice.Engine) },

		Customer: e.customerHash(),
		Weight:   e.customerWeight(),
		Resumes:  e.lastEventID != "",
	})
	if admission == locator.Declined || admission == locator.Unowned && choice.NeedsLoad {
		e.backOff()
	}
	waited := time.Since(started)
	e.admissionWait += waited
	e.relay.config.Metrics.LoadWait(e.route.Name, waited)
	e.relay.log.Info("waited for admission", "id", e.call.ID, "engine", choice.Engine, "adapter", e.call.Adapter.String(),
		"version", engines.NeededVersion(e.call.Adapter), "load", choice.NeedsLoad, "spread", choice.SpreadTo, "turn", admission.String(), "took_ms", waited.Milliseconds())
	switch admission {
	case locator.NoRoom:
		e.relay.config.Metrics.TurnDeclined(e.service.Name)
		return 0, false
	case locator.TooLate:
		e.recordTooLate(choice.Engine, roomIn)
		return 0, false
	case locator.Admitted:
		return ticket, true
	case locator.Unowned:
		return 0, !choice.NeedsLoad && e.admitUnowned(choice.Engine)
	default:
		return 0, false
	}
}

// recordTooLate records that an engine has room for the request only after its deadline. The
// callers of such requests come back one by one, spread by a random number of each.
func (e *exchange) recordTooLate(engine string, roomIn time.Duration) {
	roomIn += time.Duration(float64(roomIn) * tooLateSpread * float64(e.random()%1000) / 1000)
	if e.tooLateCount == 0 || roomIn < e.roomIn {
		e.roomIn = roomIn
	}
	e.tooLateCount++
	e.tried = append(e.tried, engine)
}

// admitUnowned reports whether the request may be sent to an engine without an
// owner. One with a rate limit, or one that is fragile, is left out: nobody keeps the requests
// of all daemons below what it takes.
func (e *exchange) admitUnowned(engine string) bool {
	engines := e.relay.config.Locator
	if !engines.RateLimited(engine) && !engines.IsFragile(e.service.Name) {
		return true
	}
	e.relay.log.Info("engine with a rate limit or fragile engine has no owner, leaving it out", "id", e.call.ID, "engine", engine)
	e.tried = append(e.tried, engine)
	return false
}

// maxTurnWait returns how long the request waits for its turn at an engine with a
// rate limit: a moment, if other engines may serve it.
func (e *exchange) maxTurnWait(needsLoad bool) time.Duration {
	switch {
	case e.onlyEngine:
		return e.timeToSend()
	case needsLoad:
		return min(ratelimit.MaxLoadWait, e.timeToSend())
	default:
		return min(ratelimit.MaxWait, e.timeToSend())
	}
}

// backOff waits before the next choice after an engine could not accept the
// request. The delay doubles with each call, up to maxDeclinedBackoff.
func (e *exchange) backOff() {
	clock.Sleep(e.ctx, min(declinedBackoff<<min(e.declines, 10), maxDeclinedBackoff))
	e.declines++
}

// sendDeadline returns the time by which the request must have been sent.
func (e *exchange) sendDeadline() time.Time {
	patience := max(minFirstEventPatience, firstEventPatienceFactor*e.route.LatencyObjective, pausePatienceFactor*e.route.PauseObjective)
	return e.arrivedAt.Add(time.Duration(sendDeadlineShare * float64(patience)))
}

// timeToSend returns the time that is left to send the request.
func (e *exchange) timeToSend() time.Duration {
	if e.sends > 0 {
		return e.timeLeft()
	}
	return min(e.timeLeft(), time.Until(e.sendDeadline()))
}

// admissionContext limits the wait for admission.
func (e *exchange) admissionContext() (context.Context, context.CancelFunc) {
	deadline := e.deadline
	if e.sends == 0 {
		deadline = e.sendDeadline()
	}
	return context.WithDeadline(e.ctx, deadline)
}

// mayStay reports whether a request that waits at an engine that holds its adapter keeps its
// place there: unless another engine that holds it by now has clearly less work waiting. At an
// engine of which that is unknown, for example as its owner is of an earlier build, the request
// gives its place up and the engine is selected anew.
func (e *exchange) mayStay(engine string) bool {
	engines := e.relay.config.Locator
	work, ok := engines.WaitingWork(engine)
	if !ok {
		return false
	}
	other, ok := steer.PickEngine(e.call.Adapter, engines.Engines(e.need(), e.tried), e.random())
	if !ok || other.NeedsLoad || other.Engine == engine {
		return true
	}
	otherWork, ok := engines.WaitingWork(other.Engine)
	if !ok {
		otherWork = unknownWork
	}
	return otherWork+minMoveGain > work
}

// tryEngine sends the request to an engine and forwards its response. It
// reports whether the request has ended.
func (e *exchange) tryEngine(id string, ticket uint64) bool {
	engines := e.relay.config.Locator
	e.setAdmission(id, ticket)
	defer e.reportRequestEnded()
	if e.withholdIfBlocked() {
		return true
	}
	upstream, ok := engines.Upstream(id, ticket != 0)
	if !ok {
		e.tried = append(e.tried, id)
		return false
	}
	version, allowed := engines.VersionToSend(id, e.call.Adapter)
	if !allowed {
		e.relay.log.Info("engine holds too old a version of the adapter, choosing again", "id", e.call.ID, "engine", id, "adapter", e.call.Adapter.String(),
			"held", version, "version", engines.NeededVersion(e.call.Adapter))
		return false
	}
	e.upstreamID = id
	engines.BeginRequest(id, e.call.Adapter, ticket != 0)
	engines.RecordPrompt(id, e.expected.links)
	defer engines.EndRequest(id, e.call.Adapter, ticket != 0)
	ctx, end := e.beginSend(e.ctx)
	defer end()
	result := e.send(ctx, upstream, ticket != 0, SendParams{
		AdapterVersion: version,
		Priority:       e.priority(),
		LastEventID:    e.lastEventID,
	})
	e.countSend(result)
	if result.err != nil {
		return e.handleSendFailure(upstream, result)
	}
	if result.head.NotRun || result.head.Misdirected {
		e.handleRefusal(upstream, result)
		return false
	}
	return e.forward(upstream, result)
}

// setAdmission records the admission whose progress is reported to the engine's
// owner.
func (e *exchange) setAdmission(engine string, ticket uint64) {
	e.admissionEngine = engine
	e.admissionTicket = ticket
	e.admissionOver = false
}

// reportAdmissionOver reports to the engine's owner, once, that the admission
// is over: the request has started or was refused.
func (e *exchange) reportAdmissionOver(refused bool) {
	if e.admissionTicket != 0 && !e.admissionOver {
		e.admissionOver = true
		e.relay.config.Locator.ReportProgress(e.admissionEngine, e.admissionTicket, orders.AdmissionProgress{Refused: refused})
	}
}

// reportRequestEnded reports to the engine's owner that the request has ended
// at the engine.
func (e *exchange) reportRequestEnded() {
	if e.admissionTicket != 0 {
		e.relay.config.Locator.ReportProgress(e.admissionEngine, e.admissionTicket, orders.AdmissionProgress{Ended: true})
		e.admissionTicket = 0
	}
}

// countSend updates the counters that decide on later sends.
func (e *exchange) countSend(result sendResult) {
	if result.written {
		e.sends++
		e.carriers = append(e.carriers, result.conn)
	}
	if result.skipped > 0 {
		e.relay.config.Metrics.ResponsesSkipped(e.service.Name, result.skipped)
	}
	if result.mayHaveRun {
		e.possibleRuns++
	} else if result.written {
		e.refusedBy = append(e.refusedBy, e.upstreamID)
	}
}

// resendRefusal returns the reason why the request is not resent.
func (e *exchange) resendRefusal() string {
	if e.reason != "" {
		return e.reason
	}
	return "the request may have run and is not sent again"
}

// handleSendFailure handles a send without a usable response and reports
// whether the request has ended.
func (e *exchange) handleSendFailure(upstream topology.Upstream, result sendResult) bool {
	if e.ctx.Err() != nil {
		return e.endIfExpired()
	}
	if e.isCanceledByBlock() || errors.Is(result.err, errWithheld) {
		return e.withholdIfBlocked()
	}
	if errors.Is(result.err, errKeyRevoked) {
		e.refuseKey(errKeyRevoked.Error())
		return true
	}
	if errors.Is(result.err, errKeysChanged) || errors.Is(result.err, errNotFresh) || errors.Is(result.err, errTokensOld) {
		return false
	}
	if errors.Is(result.err, errEnding) {
		return e.endIfTooLateToSend()
	}
	if errors.Is(result.err, errBudgetUsed) {
		e.giveUp(http.StatusBadGateway, retryAfterBudget, reasonBudgetUsed)
		return true
	}
	if errors.Is(result.err, errNotTaken) {
		e.relay.log.Info("upstream takes no request any more, choosing another", "id", e.call.ID, "upstream", upstream.ID)
		e.tried = append(e.tried, upstream.ID)
		return false
	}
	e.relay.log.Info("send failed", "id", e.call.ID, "upstream", upstream.ID, "written", result.written, "error", result.err, result.logAttributes(), "fingerprint", e.subject.Fingerprint.String(), e.promptAttribute())
	e.relay.config.Locator.RecordFailure(upstream.ID)
	if result.written && !errors.Is(context.Cause(e.sendCtx), errTryTimeout) {
		e.recordEngineFailure(upstream, result.begun)
	}
	e.tried = append(e.tried, upstream.ID)
	e.reason = ""
	if !e.mayRunAgain() {
		e.giveUp(http.StatusBadGateway, 0, "the upstream did not answer: "+result.err.Error())
		return true
	}
	return e.giveUpIfEndingEngines()
}

// handleRefusal records that an engine did not run the request.
func (e *exchange) handleRefusal(upstream topology.Upstream, result sendResult) {
	e.relay.log.Info("engine refused a request", "id", e.call.ID, "upstream", upstream.ID, "status", result.response.StatusCode,
		"adapter", e.call.Adapter.String(), result.logAttributes())
	e.relay.config.Metrics.Refusal(e.service.Name, result.head.RequestID != "")
	if result.head.Misdirected {
		e.reportAdmissionOver(true)
		e.relay.config.Locator.MarkNotHeld(upstream.ID, e.call.Adapter)
		if result.head.UpstreamID != "" && result.head.UpstreamID != upstream.ID {
			e.relay.config.Locator.RecordFailure(upstream.ID)
			e.tried = append(e.tried, upstream.ID)
		}
	} else {
		e.tried = append(e.tried, upstream.ID)
	}
	drain(result)
}

// maxRefusalBytes and maxRefusalTime limit the body of a refusal that is read in
// order to reuse the connection.
const (
	maxRefusalBytes = 4 << 10
	maxRefusalTime  = 50 * time.Millisecond
)

// drain reads the short body of a response that is not forwarded.
func drain(result sendResult) {
	timeout := time.AfterFunc(maxRefusalTime, result.response.Discard)
	n, err := io.Copy(io.Discard, io.LimitReader(result.response.Body, maxRefusalBytes+1))
	if !timeout.Stop() || err != nil || n > maxRefusalBytes {
		result.response.Discard()
		return
	}
	result.response.Release()
}

// forward forwards an engine's response and reports whether the request has
// ended.
func (e *exchange) forward(upstream topology.Upstream, result sendResult) bool {
	if result.response.StatusCode/100 != 2 {
		return e.forwardFailure(upstream, result)
	}
	if e.route.Kind != routing.Streaming {
		return e.forwardBody(upstream, result)
	}
	return e.forwardStream(upstream, result)
}

// forwardFailure forwards an upstream's error response, unless the request may
// be resent to another upstream. It reports whether the request has ended.
func (e *exchange) forwardFailure(upstream topology.Upstream, result sendResult) bool {
	if result.response.StatusCode >= 500 {
		e.relay.config.Locator.RecordFailure(upstream.ID)
	}
	again := result.response.StatusCode >= 500 && e.mayRunAgain()
	if again || e.headSent {
		e.relay.log.Info("upstream responded with an error status", "id", e.call.ID, "upstream", upstream.ID, "status", result.response.StatusCode)
		e.tried = append(e.tried, upstream.ID)
		if e.headSent || e.resendBudgetAvailable() {
			drain(result)
			return e.headSent && !again && e.endBroken("no engine could go on with the stream")
		}
	}
	return e.forwardBody(upstream, result)
}

// resendBudgetAvailable reports whether the retry budget allows one more send,
// without consuming it.
func (e *exchange) resendBudgetAvailable() bool {
	return e.relay.config.Budget(e.service.Name).Available(e.relay.config.Now())
}

func (e *exchange) endBroken(reason string) bool {
	e.outcome = outcomeBroken
	e.reason = reason
	return true
}
