package entry

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/ownership"
)

const (
	// retryPause is the pause between two rounds over an adapter's engines.
	retryPause = 100 * time.Millisecond
	// maxAttempts limits the attempts of one call.
	maxAttempts = 32
	// retryAfterNoEngine is the shortest Retry-After if no engine accepted the
	// call and the last refusal had none.
	retryAfterNoEngine = time.Second
)

// modelCall is the state of one model call across its attempts at several
// engines.
type modelCall struct {
	handler  *Handler
	call     call.ModelRequest
	deadline time.Time
	writer   *responseSink
	// mayHaveRun is set if an attempt may have started at an engine; the call must
	// then not be reported as not run.
	mayHaveRun bool
	attempts   int
	lastResult call.Result
	// minRetryAfter is the shortest retry delay that an engine's owner returned.
	minRetryAfter time.Duration
}

// runModel tries the adapter's engines until one has delivered a part, the call
// is refused, or its delay tolerance is exceeded.
func (h *Handler) runModel(ctx context.Context, m call.ModelRequest, deadline time.Time, writer *responseSink) call.Result {
	c := &modelCall{handler: h, call: m, deadline: deadline, writer: writer}
	c.lastResult = call.Failed(call.NotRun, call.CodeNoUpstream, "no engine of the adapter can be reached")
	for {
		result, ended := c.round(ctx)
		if ended {
			return result
		}
		if !c.waitForNextRound(ctx) {
			return c.giveUp()
		}
	}
}

// round tries each engine of the adapter once.
func (c *modelCall) round(ctx context.Context) (call.Result, bool) {
	engines := c.handler.cfg.Locator.Locate(ctx, c.call.Adapter)
	for _, engine := range c.handler.suspectsLast(engines) {
		remaining := time.Until(c.deadline)
		if remaining <= 0 || c.attempts >= maxAttempts {
			return c.giveUp(), true
		}
		result, reached := c.try(ctx, engine, remaining)
		if !reached {
			continue
		}
		if c.endsCall(ctx, result) {
			return c.callResult(result), true
		}
	}
	return call.Result{}, false
}

// try makes one attempt. It returns false if the engine's owner could not be
// reached.
func (c *modelCall) try(ctx context.Context, engine string, remaining time.Duration) (call.Result, bool) {
	owner, ok := c.handler.cfg.View.Owner(ownership.KindEngine, engine)
	if !ok {
		return call.Result{}, false
	}
	m := c.call
	m.Attempt = call.NewID()
	m.Engine = engine
	m.Tolerance = remaining
	m.ServedElsewhere = c.handler.served.servedElsewhere(m.Customer, engine)
	c.attempts++
	before := c.writer.tokens
	result, reached := c.run(ctx, owner, m)
	c.handler.served.recordServed(m.Customer, engine, c.writer.tokens-before)
	return result, reached
}

// run executes an attempt at this daemon if it owns the engine, or else at the
// owner.
func (c *modelCall) run(ctx context.Context, owner ownership.Owner, m call.ModelRequest) (call.Result, bool) {
	if owner.Member == c.handler.cfg.View.Self().Name {
		return c.handler.cfg.Runner.Run(ctx, m, c.writer), true
	}
	result, reached := c.handler.runAtPeer(ctx, owner, m, c.writer)
	if !reached {
		c.handler.cfg.Locator.Invalidate(c.call.Adapter)
	}
	return result, reached
}

// endsCall reports whether a result ends the call. A model call has no side
// effects and may run again as long as nothing was delivered.
func (c *modelCall) endsCall(ctx context.Context, result call.Result) bool {
	c.lastResult = result
	if result.RetryAfter > 0 && (c.minRetryAfter == 0 || result.RetryAfter < c.minRetryAfter) {
		c.minRetryAfter = result.RetryAfter
	}
	if result.Outcome == call.Done || result.Outcome == call.Rejected {
		return true
	}
	if c.writer.parts > 0 || ctx.Err() != nil {
		return true
	}
	if result.Outcome == call.NotRun {
		return c.recordRefusal(result)
	}
	c.mayHaveRun = true
	if !c.handler.budget.Allow(time.Now()) {
		return true
	}
	c.handler.cfg.Metrics.Retry(string(result.Code))
	return false
}

// recordRefusal records that a refused call is retried at the next engine. It
// always returns false, since a refusal never ends the call: another engine may
// have capacity or hold the adapter.
func (c *modelCall) recordRefusal(result call.Result) bool {
	c.handler.cfg.Metrics.Retry(string(result.Code))
	if result.Code == call.CodeNotOwner || result.Code == call.CodeDraining {
		c.handler.cfg.Locator.Invalidate(c.call.Adapter)
	}
	return false
}

// callResult returns the result of the call, given the last attempt's. A call
// that is Done adds to the retry budget.
func (c *modelCall) callResult(result call.Result) call.Result {
	switch {
	case result.Outcome == call.Done:
		c.handler.budget.Deposit(time.Now())
		return result
	case c.writer.parts > 0:
		result.Outcome = call.Incomplete
		return result
	case result.Outcome == call.NotRun && c.mayHaveRun:
		result.Outcome = call.Unknown
	}
	return result
}

// waitForNextRound waits before the next round. It returns false if no further
// round could succeed in time: the last refusal is final, the delay tolerance
// would be exceeded, or ctx ended.
func (c *modelCall) waitForNextRound(ctx context.Context) bool {
	if isFinalCode(c.lastResult.Code) || time.Until(c.deadline) <= retryPause {
		return false
	}
	return clock.Sleep(ctx, retryPause)
}

// isFinalCode reports whether a retry after a short wait cannot help a call
// that all engines have refused with this code.
func isFinalCode(code call.Code) bool {
	switch code {
	case call.CodeExpectedWait, call.CodeDeadline, call.CodeLimit, call.CodeLoadFailed:
		return true
	default:
		return false
	}
}

// giveUp ends a call that no engine accepted in time.
func (c *modelCall) giveUp() call.Result {
	result := c.lastResult
	if result.Outcome == call.NotRun && result.RetryAfter == 0 {
		result.RetryAfter = max(c.minRetryAfter, retryAfterNoEngine)
	}
	return c.callResult(result)
}
