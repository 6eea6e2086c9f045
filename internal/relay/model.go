package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/routing"
	"github.com/barleylift/barleylift/internal/steer"
	"github.com/barleylift/barleylift/internal/topology"
	"github.com/cespare/xxhash/v2"
)

// Constants of model requests.
const (
	// turnPatience is how long a request waits for its turn at one engine that
	// holds its adapter: several batches of prompts.
	turnPatience = 500 * time.Millisecond
	// declinedSleep is kept between two choices when an engine's owner declined;
	// it doubles up to maxDeclinedSleep.
	declinedSleep    = 30 * time.Millisecond
	maxDeclinedSleep = 240 * time.Millisecond
	// beginShare is the part of a caller's patience for the first event after
	// which a request that was not sent yet is refused: its caller learns when
	// to come back, in place of leaving without an answer.
	beginShare = 0.65
	// Callers leave a stream without its first event after the longest of
	// these: a fixed time, and multiples of the route's objectives.
	leastFirstPatience    = 2 * time.Second
	objectivesUntilLeft   = 4
	pauseObjectivesToLeft = 8
	// reuseAge is how long a connection may have been idle for a request that
	// may be repeated.
	reuseAge = 10 * time.Second
	// reuseAgeOnce is the same for a request that runs at most once: a
	// connection that the upstream has just dropped would lose it.
	reuseAgeOnce = time.Second
)

// reuse is how long a connection for this request may have been idle.
func (e *exchange) reuse() time.Duration {
	if e.route.Idempotent() {
		return reuseAge
	}
	return reuseAgeOnce
}

// serveModel sends the request to engines until one has answered it.
func (e *exchange) serveModel() {
	for !e.over() {
		if e.sends == 0 && time.Now().After(e.beginBy()) {
			e.giveUp(http.StatusBadGateway, retryAfterLate, "the request could not begin in time")
			return
		}
		choice, ok := e.pickEngine()
		if !ok {
			e.giveUp(http.StatusBadGateway, retryAfterBusy, "no engine can take the request")
			return
		}
		if choice.SpreadTo != "" {
			e.relay.config.Locator.RequestLoad(choice.SpreadTo, e.call.Adapter)
		}
		if e.sends > 0 && !e.mayRepeat("engine") {
			e.giveUp(http.StatusBadGateway, retryAfterBudget, e.repeatRefused())
			return
		}
		ticket, granted := e.awaitTurn(choice)
		if granted && e.tryEngine(choice.Engine, ticket) {
			return
		}
	}
}

// pickEngine chooses an engine. When all were tried, those that only refused
// are tried again.
func (e *exchange) pickEngine() (steer.Choice, bool) {
	engines := e.relay.config.Locator.Engines(e.service.Name, e.call.Adapter, e.tried)
	if len(engines) == 0 && len(e.tried) > 0 {
		if !clock.Sleep(e.ctx, declinedSleep) {
			return steer.Choice{}, false
		}
		e.tried = nil
		engines = e.relay.config.Locator.Engines(e.service.Name, e.call.Adapter, nil)
	}
	return steer.PickEngine(e.call.Adapter, engines, xxhash.Sum64String(e.call.ID))
}

// awaitTurn waits until the request may begin at the chosen engine: its
// adapter is there, and it has its turn. The ticket is 0 if nobody hands out
// turns there.
func (e *exchange) awaitTurn(choice steer.Choice) (ticket uint64, granted bool) {
	engines := e.relay.config.Locator
	if !choice.NeedsLoad && !engines.MayHaveOwner(choice.Engine) {
		return 0, true
	}
	started := time.Now()
	now := clock.Boot()
	ticket = engines.NewTicket()
	ctx, cancel := e.turnContext(choice)
	defer cancel()
	turn := engines.AwaitAdmission(ctx, choice.Engine, locator.AdmissionRequest{
		Ticket:         ticket,
		Adapter:        e.call.Adapter,
		PromptTokens:   e.call.PromptTokens,
		Priority:       e.route.Priority,
		PauseObjective: e.route.PauseObjective,
		FirstEventDue:  now + e.route.LatencyObjective - time.Since(e.arrived),
		Deadline:       now + e.timeLeft(),
	})
	if turn == locator.Declined || turn == locator.Unowned && choice.NeedsLoad {
		e.rest()
	}
	waited := time.Since(started)
	e.waited += waited
	e.relay.config.Metrics.LoadWait(e.route.Name, waited)
	e.relay.log.Info("waited for a turn", "id", e.call.ID, "engine", choice.Engine, "adapter", e.call.Adapter.String(),
		"version", engines.NeededVersion(e.call.Adapter), "load", choice.NeedsLoad, "spread", choice.SpreadTo, "turn", turn.String(), "took_ms", waited.Milliseconds())
	switch turn {
	case locator.Admitted:
		return ticket, true
	case locator.Unowned:
		return 0, !choice.NeedsLoad
	default:
		return 0, false
	}
}

// rest is kept before the next choice when an engine can't take the request.
func (e *exchange) rest() {
	clock.Sleep(e.ctx, min(declinedSleep<<min(e.declined, 10), maxDeclinedSleep))
	e.declined++
}

// beginBy is when the request must have been sent.
func (e *exchange) beginBy() time.Time {
	patience := max(leastFirstPatience, objectivesUntilLeft*e.route.LatencyObjective, pauseObjectivesToLeft*e.route.PauseObjective)
	return e.arrived.Add(time.Duration(beginShare * float64(patience)))
}

// turnContext bounds the wait for a turn. At an engine that holds the adapter
// the choice is made anew after turnPatience: another engine may hold the
// adapter by then, or have fewer requests waiting. The order of turns goes by
// when a request is due, so nothing is lost if it is the same engine again.
func (e *exchange) turnContext(choice steer.Choice) (context.Context, context.CancelFunc) {
	deadline := e.deadline
	if e.sends == 0 {
		deadline = e.beginBy()
	}
	if again := time.Now().Add(turnPatience); !choice.NeedsLoad && again.Before(deadline) {
		deadline = again
	}
	return context.WithDeadline(e.ctx, deadline)
}

// tryEngine sends the request to an engine and passes its answer on. It
// returns true when the request has ended.
func (e *exchange) tryEngine(id string, ticket uint64) bool {
	engines := e.relay.config.Locator
	e.begin(id, ticket)
	defer e.ended()
	upstream, ok := engines.Upstream(id)
	if !ok {
		e.tried = append(e.tried, id)
		return false
	}
	e.upstream = id
	engines.BeginRequest(id, e.call.Adapter, ticket != 0)
	defer engines.EndRequest(id, e.call.Adapter, ticket != 0)
	result := e.send(e.ctx, upstream, SendParams{
		AdapterVersion: engines.HeldVersion(id, e.call.Adapter),
		Priority:       e.route.Priority,
		LastEventID:    e.lastEvent,
	}, e.reuse())
	e.count(result)
	if result.err != nil {
		return e.sendFailed(id, result)
	}
	if result.head.NotRun || result.head.Misdirected {
		e.refusedBy(upstream, result)
		return false
	}
	return e.passOn(upstream, result)
}

// begin notes the turn of which the owner is to be told.
func (e *exchange) begin(engine string, ticket uint64) {
	e.turnEngine = engine
	e.turnTicket = ticket
	e.turnOver = false
}

// begun tells the owner of the engine that the turn is over, once.
func (e *exchange) begun(refused bool) {
	if e.turnTicket != 0 && !e.turnOver {
		e.turnOver = true
		e.relay.config.Locator.ReportProgress(e.turnEngine, e.turnTicket, orders.AdmissionProgress{Refused: refused})
	}
}

// ended tells the owner of the engine that the request has ended there.
func (e *exchange) ended() {
	if e.turnTicket != 0 {
		e.relay.config.Locator.ReportProgress(e.turnEngine, e.turnTicket, orders.AdmissionProgress{Ended: true})
		e.turnTicket = 0
	}
}

// count takes over what a send means for later ones.
func (e *exchange) count(result sent) {
	if result.written {
		e.sends++
	}
	if result.ran {
		e.runs++
	}
}

// repeatRefused names why the request is not sent again.
func (e *exchange) repeatRefused() string {
	if e.reason != "" {
		return e.reason
	}
	return "the request may have run and is not sent again"
}

// sendFailed judges a send without an answer and reports whether the request
// has ended.
func (e *exchange) sendFailed(id string, result sent) bool {
	if e.ctx.Err() != nil {
		return e.over()
	}
	e.relay.log.Info("send failed", "id", e.call.ID, "upstream", id, "written", result.written, "error", result.err)
	e.relay.config.Locator.RecordFailure(id)
	e.tried = append(e.tried, id)
	e.reason = ""
	if !e.mayRunAgain() {
		e.giveUp(http.StatusBadGateway, 0, "the upstream did not answer: "+result.err.Error())
		return true
	}
	return false
}

// refusedBy takes over that an engine did not run the request.
func (e *exchange) refusedBy(upstream topology.Upstream, result sent) {
	e.relay.log.Info("engine refused a request", "id", e.call.ID, "upstream", upstream.ID, "status", result.response.StatusCode,
		"adapter", e.call.Adapter.String())
	if result.head.Misdirected {
		e.begun(true)
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

// maxRefusal bounds the body of a refusal that is read to keep its connection.
const maxRefusal = 4 << 10

// drain reads the short body of an answer that is not passed on.
func drain(result sent) {
	n, err := io.Copy(io.Discard, io.LimitReader(result.response.Body, maxRefusal+1))
	if err != nil || n > maxRefusal {
		result.response.Discard()
		return
	}
	result.response.Release()
}

// passOn passes an engine's answer on and reports whether the request has ended.
func (e *exchange) passOn(upstream topology.Upstream, result sent) bool {
	if result.response.StatusCode/100 != 2 {
		return e.passFailure(upstream, result)
	}
	if e.route.Kind != routing.Streaming {
		return e.passBody(upstream, result)
	}
	return e.passStream(upstream, result)
}

// passFailure passes an engine's failure on, unless the request may be
// repeated elsewhere.
func (e *exchange) passFailure(upstream topology.Upstream, result sent) bool {
	if result.response.StatusCode >= 500 {
		e.relay.config.Locator.RecordFailure(upstream.ID)
	}
	again := result.response.StatusCode >= 500 && e.mayRunAgain()
	if again || e.headSent {
		e.relay.log.Info("engine failed a request", "id", e.call.ID, "upstream", upstream.ID, "status", result.response.StatusCode)
		e.tried = append(e.tried, upstream.ID)
		if e.headSent || e.budgetLeft() {
			drain(result)
			return e.headSent && !again && e.broken("no engine could go on with the stream")
		}
	}
	return e.passBody(upstream, result)
}

// budgetLeft reports whether the budget has room for one more send, without
// drawing on it.
func (e *exchange) budgetLeft() bool {
	return e.relay.config.Budget(e.service.Name).Available(steadyNow())
}

func (e *exchange) broken(reason string) bool {
	e.outcome = outcomeBroken
	e.reason = reason
	return true
}
