package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/engine"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/placement"
	"github.com/barleylift/barleylift/internal/queue"
	"github.com/barleylift/barleylift/internal/upstream"
)

// shortRetryAfter is the retry delay for calls that another daemon or engine
// can serve.
const shortRetryAfter = 250 * time.Millisecond

// tenure is this daemon's ownership of one engine under one fencing token.
type tenure struct {
	pool      *Pool
	name      string
	spec      catalog.Engine
	token     ownership.Token
	client    *upstream.EngineClient
	log       *slog.Logger
	startedAt time.Time

	// mu guards the fields below. Tasks and calls lock it for each event and
	// unlock it before any I/O.
	mu          sync.Mutex
	agg         *engine.Engine
	queue       *queue.Queue
	waiting     map[string]*waiter
	demands     map[call.AdapterRef]*demand
	running     map[string]*runningCall
	loads       map[call.AdapterRef]*load
	failedUntil map[call.AdapterRef]time.Time
	stall       queue.StallEstimate
	// evictNotBefore is the earliest time of the next eviction after a failed
	// one.
	evictNotBefore time.Time
	// tasks counts the tasks of this tenure that are queued or running.
	tasks        int
	polling      bool
	pollCount    uint64
	raisingFence bool
	record       recordState
	leaving      bool
	ended        bool
}

// newTenure returns the tenure of an engine whose ownership was just gained.
func newTenure(p *Pool, spec catalog.Engine, token ownership.Token) (*tenure, error) {
	client, err := p.config.Client(spec)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	aggregate := engine.New(engine.Config{
		Slots:               spec.Slots,
		MaxRunning:          spec.MaxRunning,
		ChecksFencing:       spec.ChecksFencing,
		MaxDeliveryDelay:    p.config.MaxDeliveryDelay,
		PredecessorLeaseEnd: now.Add(p.config.TakeoverMargin),
	})
	return &tenure{
		pool:        p,
		name:        spec.Name,
		spec:        spec,
		token:       token,
		client:      client,
		log:         p.config.Log.With("engine", spec.Name, "token", int64(token)),
		startedAt:   now,
		agg:         aggregate,
		queue:       queue.New(p.config.Queue),
		waiting:     map[string]*waiter{},
		demands:     map[call.AdapterRef]*demand{},
		running:     map[string]*runningCall{},
		loads:       map[call.AdapterRef]*load{},
		failedUntil: map[call.AdapterRef]time.Time{},
		record:      recordState{updateLock: make(chan struct{}, 1)},
	}, nil
}

// task submits work to the workers, which run it without t.mu. The caller holds
// t.mu.
func (t *tenure) task(slow bool, work func(ctx context.Context)) {
	t.tasks++
	t.pool.workers.submit(slow, func() {
		work(t.pool.ctx)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.tasks--
	})
}

// tick starts the periodic work that is due.
func (t *tenure) tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.raiseFence()
	t.readReport()
	t.startRecordStep()
	t.removeExpiredFailures(now)
	t.expire(now)
	t.schedule(now)
}

// expire refuses the waiting calls that cannot be dispatched in time, without
// waiting for their deadline. The caller holds t.mu.
func (t *tenure) expire(now time.Time) {
	for _, item := range t.queue.Expire(now) {
		w := t.waiting[item.ID]
		if w == nil {
			continue
		}
		code := call.CodeExpectedWait
		if !now.Before(item.Deadline) {
			code = call.CodeDeadline
		}
		result := call.Failed(call.NotRun, code, "the call can not be served within its delay tolerance")
		t.refuse(w, result.WithRetryAfter(max(t.stall.At(now), shortRetryAfter)))
	}
}

// removeExpiredFailures removes the failed loads that may be tried again. The
// caller holds t.mu.
func (t *tenure) removeExpiredFailures(now time.Time) {
	for adapter, until := range t.failedUntil {
		if !now.Before(until) {
			delete(t.failedUntil, adapter)
		}
	}
}

// end stops all new work. Waiting calls get the result, which also cancels
// loads that wait for a permit. Running calls continue.
func (t *tenure) end(result call.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.refuseWaiting(result)
}

// cancelAll cancels the running calls.
func (t *tenure) cancelAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, running := range t.running {
		running.requestCancel()
	}
}

// setLeaving sets whether the engine is leaving. A leaving engine gets no new
// calls.
func (t *tenure) setLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if leaving && !t.leaving {
		t.log.Info("engine is leaving")
	}
	t.leaving = leaving
	if leaving {
		t.refuseWaiting(leavingResult(t.name))
	}
}

func leavingResult(engine string) call.Result {
	return call.Failed(call.NotRun, call.CodeNoUpstream, "engine "+engine+" is leaving").WithRetryAfter(shortRetryAfter)
}

// refuseWaiting refuses all waiting calls. The caller holds t.mu.
func (t *tenure) refuseWaiting(result call.Result) {
	for _, w := range t.waiting {
		t.queue.Remove(w.item.ID)
		t.refuse(w, result)
	}
}

// closedResult returns the refusal of calls, and whether the tenure refuses
// them now. The caller holds t.mu.
func (t *tenure) closedResult() (call.Result, bool) {
	switch {
	case t.ended || t.agg.Fenced():
		return notOwner(t.name), true
	case t.leaving:
		return leavingResult(t.name), true
	default:
		return call.Result{}, false
	}
}

// idle reports whether no call waits or runs and no load is in progress.
func (t *tenure) idle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting) == 0 && len(t.running) == 0 && len(t.loads) == 0
}

// isReleasable reports whether no call waits and no load is in progress. Calls
// may still run.
func (t *tenure) isReleasable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting) == 0 && len(t.loads) == 0
}

// isFinished reports whether the tenure has ended, nothing is running and its
// end is acknowledged.
func (t *tenure) isFinished() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended && t.tasks == 0 && len(t.running) == 0 && t.record.acknowledged
}

// leaseValid reports whether this tenure's token is held under a valid lease.
func (t *tenure) leaseValid() bool {
	token, valid := t.pool.config.View.Holds(ownership.KindEngine, t.name)
	return valid && token == t.token
}

// engineLoad returns the load of the engine for placement. It returns false
// while the tenure takes no calls.
func (t *tenure) engineLoad(adapter call.AdapterRef) (placement.EngineLoad, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, closed := t.closedResult(); closed {
		return placement.EngineLoad{}, false
	}
	ready := t.agg.StateOf(adapter) == engine.Ready
	// An adapter that calls wait for counts as loading, so later calls are
	// placed here too instead of causing a second load elsewhere.
	expected := t.agg.StateOf(adapter) == engine.Loading || t.loads[adapter] != nil || t.demands[adapter] != nil
	return placement.EngineLoad{
		Engine:     t.name,
		Running:    t.agg.Running(),
		MaxRunning: t.spec.MaxRunning,
		Waiting:    t.queue.Backlog(t.spec.MaxRunning),
		FreeSlots:  t.freeSlots(),
		Resident:   ready,
		Loading:    expected && !ready,
	}, true
}

// freeSlots counts the slots that neither a running call, a waiting call nor a
// load in progress needs. The caller holds t.mu.
func (t *tenure) freeSlots() int {
	free := 0
	for _, slot := range t.agg.Slots() {
		if slot.State == engine.Empty || slot.State == engine.Ready && slot.Pins == 0 && t.demands[slot.Adapter] == nil {
			free++
		}
	}
	for adapter := range t.loads {
		if t.agg.StateOf(adapter) == engine.Empty {
			free--
		}
	}
	return max(free, 0)
}

// pressure returns the sum of (urgency + 1) × seconds waited over the calls
// that wait for an adapter.
func (t *tenure) pressure(adapter call.AdapterRef, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.demands[adapter]
	if d == nil {
		return 0
	}
	sum := 0.0
	for w := range d.waiters {
		sum += float64(w.item.Urgency+1) * now.Sub(w.item.EnqueuedAt).Seconds()
	}
	return sum
}
