package entry

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/ownership"
)

const (
	// retryPause is the time between two rounds over an adapter's engines.
	retryPause = 100 * time.Millisecond
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 32
	// retryAfterNoEngine advises callers when no engine could take the call.
	retryAfterNoEngine = time.Second
)

// attempts is the course of one model call over several engines.
type attempts struct {
	handler  *Handler
	call     call.ModelRequest
	deadline time.Time
	writer   *answer
	// mayHaveRun tells that an earlier attempt may have begun at an engine, so
	// that the call as a whole is not known not to have run.
	mayHaveRun bool
	made       int
	last       call.Result
	// advice is the shortest time after which an engine advised to come back.
	advice time.Duration
}

// runModel tries the adapter's engines until one has delivered something, the
// call is refused, or its tolerance is used up.
func (h *Handler) runModel(ctx context.Context, m call.ModelRequest, deadline time.Time, writer *answer) call.Result {
	a := &attempts{handler: h, call: m, deadline: deadline, writer: writer}
	a.last = call.Failed(call.NotRun, call.CodeNoUpstream, "no engine of the adapter can be reached")
	for {
		result, ended := a.round(ctx)
		if ended {
			return result
		}
		if !a.pause(ctx) {
			return a.giveUp()
		}
	}
}

// round tries each engine of the adapter once.
func (a *attempts) round(ctx context.Context) (call.Result, bool) {
	engines := a.handler.cfg.Locator.Locate(ctx, a.call.Adapter)
	for _, engine := range a.handler.usable(engines) {
		remaining := time.Until(a.deadline)
		if remaining <= 0 || a.made >= maxAttempts {
			return a.giveUp(), true
		}
		result, reached := a.try(ctx, engine, remaining)
		if !reached {
			continue
		}
		if a.settles(ctx, result) {
			return a.conclude(result), true
		}
	}
	return call.Result{}, false
}

// try makes one attempt; false if the engine's owner could not be reached.
func (a *attempts) try(ctx context.Context, engine string, remaining time.Duration) (call.Result, bool) {
	owner, ok := a.handler.cfg.View.Owner(ownership.KindEngine, engine)
	if !ok {
		return call.Result{}, false
	}
	m := a.call
	m.Attempt = call.NewID()
	m.Engine = engine
	m.Tolerance = remaining
	m.ServedElsewhere = a.handler.service.elsewhere(m.Customer, engine)
	a.made++
	before := a.writer.tokens
	result, reached := a.run(ctx, owner, m)
	a.handler.service.served(m.Customer, engine, a.writer.tokens-before)
	return result, reached
}

// run executes an attempt here or at the daemon that owns the engine.
func (a *attempts) run(ctx context.Context, owner ownership.Owner, m call.ModelRequest) (call.Result, bool) {
	if owner.Member == a.handler.cfg.View.Self().Name {
		return a.handler.cfg.Runner.Run(ctx, m, a.writer), true
	}
	result, reached := a.handler.runAtPeer(ctx, owner, m, a.writer)
	if !reached {
		a.handler.cfg.Locator.Forget(a.call.Adapter)
	}
	return result, reached
}

// settles reports whether a result ends the call. A model call has no side
// effect, so that it may run again until something was delivered.
func (a *attempts) settles(ctx context.Context, result call.Result) bool {
	a.last = result
	if result.RetryAfter > 0 && (a.advice == 0 || result.RetryAfter < a.advice) {
		a.advice = result.RetryAfter
	}
	if result.Outcome == call.Done || result.Outcome == call.Rejected {
		return true
	}
	if a.writer.parts > 0 || ctx.Err() != nil {
		return true
	}
	if result.Outcome == call.NotRun {
		return a.moves(result)
	}
	a.mayHaveRun = true
	if !a.handler.budget.Allow(time.Now()) {
		return true
	}
	a.handler.cfg.Metrics.Retry(string(result.Code))
	return false
}

// moves notes that a refused call goes on to the next engine. It never ends
// the call: another engine may have room or hold the adapter.
func (a *attempts) moves(result call.Result) bool {
	a.handler.cfg.Metrics.Retry(string(result.Code))
	if result.Code == call.CodeNotOwner || result.Code == call.CodeDraining {
		a.handler.cfg.Locator.Forget(a.call.Adapter)
	}
	return false
}

// conclude turns the last attempt's result into the call's.
func (a *attempts) conclude(result call.Result) call.Result {
	switch {
	case result.Outcome == call.Done:
		a.handler.budget.Deposit(time.Now())
		return result
	case a.writer.parts > 0:
		result.Outcome = call.Incomplete
		return result
	case result.Outcome == call.NotRun && a.mayHaveRun:
		result.Outcome = call.Unknown
	}
	return result
}

// pause waits before the next round. It is false when no further round could
// succeed in time: every engine has refused by its expected wait, or the
// tolerance is used up.
func (a *attempts) pause(ctx context.Context) bool {
	if final(a.last.Code) || time.Until(a.deadline) <= retryPause {
		return false
	}
	return clock.Sleep(ctx, retryPause)
}

// final reports whether waiting a little longer cannot help a call that all
// engines have refused for this reason.
func final(code call.Code) bool {
	switch code {
	case call.CodeExpectedWait, call.CodeDeadline, call.CodeLimit, call.CodeLoadFailed:
		return true
	default:
		return false
	}
}

// giveUp ends a call that no engine took in time.
func (a *attempts) giveUp() call.Result {
	result := a.last
	if result.Outcome == call.NotRun && result.RetryAfter == 0 {
		result.RetryAfter = max(a.advice, retryAfterNoEngine)
	}
	return a.conclude(result)
}
