package owner

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/profile"
	"github.com/barleylift/barleylift/internal/queue"
	"github.com/barleylift/barleylift/internal/upstream"
)

// maxRequeues bounds how often a call that is known not to have started is
// queued again at the same engine.
const maxRequeues = 2

// waiter is one call from its arrival to its result. Its fields are guarded by
// tenure.mu.
type waiter struct {
	item queue.Item
	// decided receives the call's dispatch or refusal, once for each time it is
	// queued.
	decided chan decision
	// lastEnqueuedAt is when the call was last queued.
	lastEnqueuedAt time.Time
	// stall is the total time that the call waited while its adapter was not
	// ready.
	stall time.Duration
}

// decision ends a wait. A nil refusal means that the call was dispatched.
type decision struct {
	refusal *call.Result
}

// runningCall is a dispatched call.
type runningCall struct {
	cancel context.CancelFunc
	// cancelRequested is set if the call must be cancelled as soon as it
	// begins.
	cancelRequested bool
}

// requestCancel cancels the call, even if it has not begun yet. The caller
// holds tenure.mu.
func (r *runningCall) requestCancel() {
	r.cancelRequested = true
	if r.cancel != nil {
		r.cancel()
	}
}

// Run executes a model call on an engine that this daemon owns and delivers its
// response to the sink. It blocks until the call has ended. When ctx ends first,
// the call is cancelled at the engine.
func (p *Pool) Run(ctx context.Context, m call.ModelRequest, sink call.Sink) call.Result {
	t, ok := p.tenureOf(m.Engine)
	if !ok {
		return p.notServedResult(m.Engine)
	}
	arrived := time.Now()
	w := t.newWaiter(m, arrived)
	result := t.run(ctx, w, m, sink)
	result.LoadStall = w.stall
	p.config.Metrics.LoadStall(m.Customer, m.Profile, w.stall)
	p.config.Metrics.QueueWait(m.Customer, m.Profile, result.QueueWait)
	return result
}

func (p *Pool) notServedResult(engine string) call.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return call.Failed(call.NotRun, call.CodeDraining, "the daemon is draining").WithRetryAfter(shortRetryAfter)
	}
	return notOwner(engine)
}

func (t *tenure) newWaiter(m call.ModelRequest, now time.Time) *waiter {
	item := queue.Item{
		ID:              m.Attempt,
		Customer:        m.Customer,
		Weight:          1,
		Urgency:         profile.Normal,
		Adapter:         m.Adapter,
		Cost:            m.PromptTokens + m.MaxTokens,
		ServedElsewhere: m.ServedElsewhere,
		EnqueuedAt:      now,
		Deadline:        now.Add(m.Tolerance),
	}
	snapshot := t.pool.config.Snapshot()
	if customer, ok := snapshot.Customer(m.Customer); ok && customer.Weight > 0 {
		item.Weight = customer.Weight
	}
	if callProfile, ok := snapshot.Profile(m.Profile); ok {
		item.Urgency = callProfile.Urgency
	}
	return &waiter{item: item, decided: make(chan decision, 1)}
}

// run waits for dispatch and executes the call. It queues the call again when
// it is known not to have started and its deadline has not passed.
func (t *tenure) run(ctx context.Context, w *waiter, m call.ModelRequest, sink call.Sink) call.Result {
	for requeues := 0; ; requeues++ {
		if refusal := t.wait(ctx, w); refusal != nil {
			refusal.QueueWait = time.Since(w.item.EnqueuedAt)
			return *refusal
		}
		waited := time.Since(w.item.EnqueuedAt)
		result := t.execute(ctx, w, m, sink)
		result.QueueWait = waited
		if requeues >= maxRequeues || !t.mayRequeue(ctx, w, result) {
			return result.Result
		}
		t.pool.config.Metrics.Retry(string(result.Code))
	}
}

// mayRequeue reports whether the call is known not to have started and may be
// queued again.
func (t *tenure) mayRequeue(ctx context.Context, w *waiter, result upstream.EngineResult) bool {
	if result.Outcome != call.NotRun || result.Execution != upstream.ExecutionNotStarted || result.Fenced {
		return false
	}
	return ctx.Err() == nil && time.Now().Before(w.item.Deadline)
}

// wait queues the call and blocks until it is dispatched or refused. It returns
// nil if the call was dispatched.
func (t *tenure) wait(ctx context.Context, w *waiter) *call.Result {
	if refusal := t.enqueue(w, time.Now()); refusal != nil {
		return refusal
	}
	deadline := time.NewTimer(time.Until(w.item.Deadline))
	defer deadline.Stop()
	select {
	case d := <-w.decided:
		return d.refusal
	case <-deadline.C:
		return t.withdraw(w, call.Failed(call.NotRun, call.CodeDeadline, "the call waited as long as it may").WithRetryAfter(t.retryAfter()))
	case <-ctx.Done():
		return t.withdraw(w, call.Failed(call.NotRun, call.CodeCancelled, "the caller is gone"))
	}
}

// withdraw removes a call from the queue with the given result, unless its wait
// has already been decided.
func (t *tenure) withdraw(w *waiter, result call.Result) *call.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.queue.Remove(w.item.ID) {
		t.refuse(w, result)
	}
	d := <-w.decided
	return d.refusal
}

// retryAfter returns the retry delay for a call that could not be served.
func (t *tenure) retryAfter() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.stall.At(time.Now()), shortRetryAfter)
}

// enqueue adds the call to the queue, or returns an immediate refusal.
func (t *tenure) enqueue(w *waiter, now time.Time) *call.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	if result, closed := t.closedResult(); closed {
		return &result
	}
	if t.waiting[w.item.ID] != nil || t.running[w.item.ID] != nil {
		result := call.Failed(call.Rejected, call.CodeBadRequest, "the attempt is already under way")
		return &result
	}
	if until, failed := t.failedUntil[w.item.Adapter]; failed && now.Before(until) && !t.agg.CanRun(w.item.Adapter) {
		result := loadFailed(w.item.Adapter, until.Sub(now))
		return &result
	}
	if t.isLoadBlocked(w.item.Adapter) {
		result := call.Failed(call.NotRun, call.CodePlatformDown, "engine "+t.name+" can not evict now").WithRetryAfter(shortRetryAfter)
		return &result
	}
	w.item.LoadWait = t.loadWait(w.item.Adapter, now)
	refusal, ok := t.queue.Push(now, w.item)
	if !ok {
		result := call.Failed(call.NotRun, refusal.Code, "the expected wait exceeds the delay tolerance").WithRetryAfter(refusal.RetryAfter)
		return &result
	}
	t.addWaiter(w, now)
	t.shed()
	t.schedule(now)
	return nil
}

// shed refuses the calls that were displaced by more urgent ones. The caller
// holds t.mu.
func (t *tenure) shed() {
	for _, item := range t.queue.DrainShed() {
		if w := t.waiting[item.ID]; w != nil {
			t.refuse(w, call.Failed(call.NotRun, call.CodeExpectedWait, "more urgent calls came first").WithRetryAfter(shortRetryAfter))
		}
	}
}

// refuse ends the wait of a call that has left the queue. The caller holds
// t.mu.
func (t *tenure) refuse(w *waiter, result call.Result) {
	t.removeWaiter(w)
	w.decided <- decision{refusal: &result}
}

// execute sends a dispatched call and applies its end to the aggregate and the
// queue.
func (t *tenure) execute(ctx context.Context, w *waiter, m call.ModelRequest, sink call.Sink) upstream.EngineResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.setCancel(m.Attempt, cancel)
	result := t.client.Complete(ctx, upstream.EngineCall{
		Request:  m,
		Priority: -int(w.item.Urgency),
		Token:    int64(t.token),
	}, sink)
	t.finish(w, result, m.PromptTokens)
	return result
}

func (t *tenure) setCancel(attempt string, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := t.running[attempt]
	running.cancel = cancel
	if running.cancelRequested {
		cancel()
	}
}

// finish updates the aggregate and the queue after a call has ended at this
// daemon.
func (t *tenure) finish(w *waiter, result upstream.EngineResult, promptTokens int) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, w.item.ID)
	if result.Execution == upstream.ExecutionUncertain {
		t.agg.MarkCallLost(w.item.ID, now)
	} else {
		t.agg.EndCall(w.item.ID, now)
	}
	if result.WrongModel || result.NotResident {
		t.log.Warn("engine's response contradicts the recorded state of the adapter; requesting a report", "adapter", w.item.Adapter.String(), "code", string(result.Code))
		t.agg.MarkDoubtful(w.item.Adapter, now)
		t.readReport()
	}
	if result.Fenced {
		t.handleFenced()
	}
	t.queue.AdjustCharge(w.item.Customer, w.item.Weight, w.item.Urgency, promptTokens+result.Tokens-w.item.Cost)
	t.schedule(now)
}

// handleFenced refuses all waiting calls, because the engine has a newer owner.
// The caller holds t.mu.
func (t *tenure) handleFenced() {
	t.log.Warn("engine has seen a newer fencing token; refusing waiting calls")
	t.agg.MarkFenced()
	t.refuseWaiting(notOwner(t.name))
}
