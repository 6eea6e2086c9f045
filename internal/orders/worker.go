package orders

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/admission"
	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/fleet"
	"github.com/barleylift/barleylift/internal/ratelimit"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// Limits for unreachable engines.
const (
	// unreachableAfterCalls is the number of consecutive calls that did not reach
	// the engine after which its requests are sent to other engines. It is above 1
	// because an engine that restarts at its address refuses connections for a
	// moment.
	unreachableAfterCalls = 3
	// minRetryPause doubles with each such call up to maxRetryPause: a returning
	// engine is detected soon, and a removed one costs few calls.
	minRetryPause = 20 * time.Millisecond
	maxRetryPause = 320 * time.Millisecond
)

// mayOrderCheckInterval is the time between two checks while a worker may not
// send orders.
const mayOrderCheckInterval = 100 * time.Millisecond

// maxStepPause is the longest time between two steps: demands for loads expire.
const maxStepPause = time.Second

// runningCountTTL is how long an entry's count of running requests is used.
const runningCountTTL = 3 * time.Second

// recentUserTTL is how long after its last request an entry still receives the
// engine's state, so that its next request there decides on a recent one.
const recentUserTTL = 3 * time.Second

// worker sends orders to one engine.
type worker struct {
	pool *Pool
	log  *slog.Logger
	wake chan struct{}
	// wakeAdmissions wakes the goroutine that admits requests whose time has come.
	wakeAdmissions chan struct{}
	stopped        chan struct{}
	stopOnce       sync.Once

	// mu guards the fields below; it is not held during I/O.
	mu             sync.Mutex
	upstream       topology.Upstream
	engine         *residency.Engine
	gate           *admission.Gate
	token          fleet.Token
	allowed        bool
	runningByEntry map[string]entryRunning
	// unreachableCalls is the number of consecutive calls that did not reach the
	// engine, and retryAt the earliest time of the next one.
	unreachableCalls int
	retryAt          time.Duration
	// pausedUntil is the end of the pause that the engine asked this VM for.
	pausedUntil time.Duration
	// limiter keeps the admissions below the engine's rate limit.
	limiter ratelimit.Limiter
	// lastUsedAt maps entries to their last use of the engine.
	lastUsedAt map[string]time.Duration
}

// entryRunning is an entry's number of running requests and when it was
// reported.
type entryRunning struct {
	requests   int
	reportedAt time.Duration
}

func newWorker(pool *Pool, a Assignment) *worker {
	w := &worker{
		pool:           pool,
		log:            pool.log.With("engine", a.Engine.ID),
		wake:           make(chan struct{}, 1),
		wakeAdmissions: make(chan struct{}, 1),
		stopped:        make(chan struct{}),
		upstream:       a.Engine,
		engine:         residency.NewEngine(a.Spec),
		gate:           admission.NewGate(),
		runningByEntry: make(map[string]entryRunning),
		lastUsedAt:     make(map[string]time.Duration),
		pausedUntil:    pool.config.PausedUntil(a.Engine.ID),
	}
	w.engine.Reset(a.Engine.Incarnation)
	return w
}

func (w *worker) stop() {
	w.stopOnce.Do(func() { close(w.stopped) })
}

func (w *worker) signal() {
	wake(w.wake)
	wake(w.wakeAdmissions)
}

// wake wakes a goroutine that waits on a channel with a buffer of one.
func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (w *worker) update(a Assignment) {
	w.mu.Lock()
	if a.Engine.Incarnation > w.engine.Incarnation() {
		w.log.Info("engine restarted, its state is reset", "born", a.Engine.Incarnation)
		w.pausedUntil = w.pool.config.PausedUntil(a.Engine.ID)
		w.engine.Reset(a.Engine.Incarnation)
	}
	if a.Engine.Incarnation > w.upstream.Incarnation {
		w.limiter = ratelimit.Limiter{}
	}
	if a.Engine.Incarnation >= w.upstream.Incarnation {
		w.upstream = a.Engine
	}
	w.engine.SetSpec(a.Spec)
	w.mu.Unlock()
	w.signal()
}

// pause ends the pause that the engine asks for no earlier than until.
func (w *worker) pause(until time.Duration) {
	w.mu.Lock()
	w.pausedUntil = max(w.pausedUntil, until)
	w.mu.Unlock()
	w.signal()
}

// recordRateLimit records what is known of the rate limit of a process.
func (w *worker) recordRateLimit(now time.Duration, incarnation int64, known ratelimit.Knowledge) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if incarnation == w.upstream.Incarnation {
		w.limiter.Apply(now, known)
	}
}

// requestAdmission returns the status of a request.
func (w *worker) requestAdmission(now time.Duration, request admission.Request) AdmissionStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastUsedAt[request.Key.Entry] = now
	return w.statusMessage(now, request.Key.Ticket, w.tryAdmit(now, request))
}

// statusMessage returns the status of a request as its entry gets it. The caller
// holds mu.
func (w *worker) statusMessage(now time.Duration, ticket uint64, status residency.Status) AdmissionStatus {
	message := AdmissionStatus{Engine: w.upstream.ID, Ticket: ticket, Status: status, Waiting: w.gate.WaitingForBatch(w.status), Incarnation: w.engine.Incarnation()}
	message.WaitingWork, message.PrefillPerToken = w.gate.WaitingWork(now, w.status), w.gate.PrefillPerToken()
	if status == residency.NoRoom {
		message.RoomIn = w.turnIn(now, 0)
	}
	return message
}

// noGrantsRoomIn is when an entry should ask again for a request to an engine with
// a rate limit, while this daemon may not admit any: another one may do so.
const noGrantsRoomIn = 300 * time.Millisecond

// turnIn returns after which time the engine's rate limit admits a request with
// others ahead of it. The caller holds mu.
func (w *worker) turnIn(now time.Duration, ahead int) time.Duration {
	if !w.allowed {
		return noGrantsRoomIn
	}
	return w.limiter.TurnIn(now, ahead)
}

// admissible returns how many requests the engine can run in addition, and its
// rate limit allows. Only a daemon that may send orders admits requests to an
// engine with a rate limit: of two daemons, each would admit the whole rate. The
// caller holds mu.
func (w *worker) admissible(now time.Duration) int {
	free := w.upstream.Slots - w.engine.Running()
	switch {
	case !w.limiter.Limited():
		return free
	case !w.allowed:
		return 0
	default:
		// Those that wait for a load keep their turns.
		return min(free, max(w.limiter.Available(now)-w.gate.WaitingForLoad(w.status), 0))
	}
}

// tryAdmit queues a request for admission, unless the engine can't take it,
// admits it at once if possible, and returns its status. The caller holds mu.
func (w *worker) tryAdmit(now time.Duration, request admission.Request) residency.Status {
	if w.gate.Admitted(request.Key) {
		return residency.Ready
	}
	status := w.status(request.Adapter, request.Version)
	if status == residency.Declined || status == residency.Unreachable {
		return status
	}
	w.gate.Enqueue(now, request)
	if status == residency.Waiting {
		w.engine.RequestLoad(now, request.Adapter, request.Version)
		w.signal()
		return status
	}
	own := w.admitWaiting(now, request.Key)
	if own == residency.Waiting {
		wake(w.wakeAdmissions) // its time may come before that of the others
	}
	return own
}

// requestLoad requests a load, unless the adapter is ready, and reports whether
// it is.
func (w *worker) requestLoad(now time.Duration, adapter topology.Adapter, version int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.status(adapter, version) == residency.Ready {
		return true
	}
	w.engine.RequestLoad(now, adapter, version)
	w.signal()
	return false
}

func (w *worker) handleProgress(now time.Duration, key admission.Key, progress AdmissionProgress) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if adapter, ok := w.gate.AdmittedAdapter(key); ok && progress.Refused {
		w.log.Info("engine refused an admitted request, requesting its report", "adapter", adapter.String())
		w.engine.MarkDoubtful(now, adapter)
	}
	if progress.Ended {
		w.engine.RecordEnd(now, key.Entry, key.Ticket)
	}
	if progress.Ended || progress.Refused {
		w.gate.Withdraw(key)
	} else {
		w.gate.Release(now, key)
	}
	w.admitWaiting(now, admission.Key{})
	w.signal()
}

// status returns the status of an adapter, or of the base model if the adapter
// has no name. While this daemon may not send orders, only adapters that the
// engine already holds can be used. The caller holds mu.
func (w *worker) status(adapter topology.Adapter, version int64) residency.Status {
	if w.upstream.Leaving || clock.Boot() < w.pausedUntil {
		return residency.Declined
	}
	if w.unreachableCalls >= unreachableAfterCalls {
		return residency.Unreachable
	}
	if !w.engine.Synced() && !w.allowed {
		if held, ok := w.upstream.VersionOf(adapter); ok && held >= version || adapter.Name == "" && w.upstream.Holds(adapter.Model) {
			return residency.Ready
		}
	} else if adapter.Name == "" && w.engine.HasModel() {
		return residency.Ready
	}
	status := w.engine.Status(adapter, version)
	if status == residency.Waiting && (!w.allowed || adapter.Name == "") {
		return residency.Declined
	}
	return status
}

// admitWaiting decides on waiting requests and reports each decision to the
// request's entry, except for the request with callerKey, whose status it returns.
// The caller holds mu; reporting does no blocking I/O.
func (w *worker) admitWaiting(now time.Duration, callerKey admission.Key) residency.Status {
	own := residency.Waiting
	decisions := w.gate.Next(now, w.admissible(now), w.status)
	for _, d := range decisions {
		if d.Status == residency.Ready {
			w.engine.RecordAdmission(now, d.Key.Entry, d.Key.Ticket, d.Adapter)
			w.limiter.Take(now, 1)
		}
	}
	if w.limiter.Limited() {
		decisions = append(decisions, w.gate.DeclineLate(now, func(ahead int) time.Duration { return w.turnIn(now, ahead) })...)
	}
	for _, d := range decisions {
		if d.Key == callerKey {
			own = d.Status
			continue
		}
		w.pool.config.ReportStatus(d.Key.Entry, w.statusMessage(now, d.Key.Ticket, d.Status))
	}
	return own
}

func (w *worker) recordUse(now time.Duration, entry string, running int, uses []residency.AdapterUse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engine.RecordUse(now, entry, uses)
	w.runningByEntry[entry] = entryRunning{requests: running, reportedAt: now}
	if len(uses) > 0 {
		w.lastUsedAt[entry] = now
	}
}

// engineState returns the state to report to entries. It returns false while
// the state is unknown or this daemon may not send orders.
func (w *worker) engineState(now time.Duration) (EngineState, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.engine.Synced() || !w.allowed {
		return EngineState{}, false
	}
	state := EngineState{
		Engine:       w.upstream.ID,
		Incarnation:  w.engine.Incarnation(),
		PendingLoads: w.engine.PendingLoads(),
		Held:         w.engine.HeldAdapters(),
		RateLimit:    w.limiter.Known(),
	}
	state.Waiting = w.gate.WaitingForBatch(w.status)
	state.WaitingWork, state.PrefillPerToken = w.gate.WaitingWork(now, w.status), w.gate.PrefillPerToken()
	for _, r := range w.runningByEntry {
		if now-r.reportedAt < runningCountTTL {
			state.Running += r.requests
		}
	}
	state.RecentUsers = w.recentUsers(now)
	return state, true
}

// recentUsers returns the entries that have used the engine within
// recentUserTTL, and drops the others. The caller holds mu.
func (w *worker) recentUsers(now time.Duration) []string {
	var entries []string
	for entry, usedAt := range w.lastUsedAt {
		if now-usedAt > recentUserTTL {
			delete(w.lastUsedAt, entry)
			continue
		}
		entries = append(entries, entry)
	}
	return entries
}

func (w *worker) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.runAdmissions(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.stopped:
			return
		case <-w.wake:
		case <-timer.C:
		}
		timer.Reset(w.step(ctx))
	}
}

// step performs all due actions and returns the time until the next step.
func (w *worker) step(ctx context.Context) time.Duration {
	for ctx.Err() == nil {
		allowed := w.checkAllowed()
		now := clock.Boot()
		w.mu.Lock()
		w.gate.WaitingAdapters(now, w.engine.ExpectedLoadTime(), func(adapter topology.Adapter, version int64, demand residency.Demand) {
			if adapter.Name != "" {
				w.engine.RequestLoad(now, adapter, version)
				w.engine.SetDemand(adapter, demand)
			}
		})
		w.admitWaiting(now, admission.Key{})
		if !allowed {
			w.mu.Unlock()
			return mayOrderCheckInterval
		}
		if pause := max(w.retryAt, w.pausedUntil) - now; pause > 0 {
			w.mu.Unlock()
			return min(pause, maxStepPause)
		}
		action := w.engine.Next(now)
		upstream := w.upstream
		token := w.token
		w.mu.Unlock()
		switch {
		case action.FetchReport:
			w.fetchReport(ctx, upstream)
		case action.Order != nil:
			w.sendOrder(ctx, upstream, *action.Order, token)
		default:
			return min(action.Wait, maxStepPause)
		}
	}
	return mayOrderCheckInterval
}

// runAdmissions admits requests when their time has come. It is apart from the steps, which
// may wait for an answer of the engine while prompts could be admitted.
func (w *worker) runAdmissions(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wakeAdmissions:
		case <-timer.C:
		}
		now := clock.Boot()
		w.mu.Lock()
		w.admitWaiting(now, admission.Key{})
		delay := w.nextAdmissionDelay(now)
		w.mu.Unlock()
		timer.Reset(delay)
	}
}

// nextAdmissionDelay returns the time until waiting requests may be admitted. The
// caller holds mu.
func (w *worker) nextAdmissionDelay(now time.Duration) time.Duration {
	delay := w.gate.NextCheckDelay(now)
	if turn := w.limiter.TurnIn(now, 0); turn > 0 && w.gate.HasWaiting() {
		delay = min(delay, turn)
	}
	return delay
}

// checkAllowed reports whether orders may be sent. If the fencing token has
// changed, it discards the engine's state: other daemons may have sent orders
// in the meantime.
func (w *worker) checkAllowed() bool {
	token, allowed := w.pool.config.MayOrder(w.upstreamID())
	w.mu.Lock()
	defer w.mu.Unlock()
	if allowed && token != w.token {
		w.engine.Invalidate()
		w.token = token
	}
	allowed = allowed && !w.upstream.Leaving
	if allowed != w.allowed {
		w.log.Info("permission to send orders changed", "allowed", allowed, "leaving", w.upstream.Leaving, "token", int64(token))
	}
	w.allowed = allowed
	return allowed
}

func (w *worker) upstreamID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstream.ID
}

func (w *worker) fetchReport(ctx context.Context, upstream topology.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := w.pool.config.Client.Report(ctx, upstream)
	now := clock.Boot()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordReachability(now, err)
	if err != nil {
		w.pool.config.CountReport("failed")
		w.log.Info("engine report failed, retrying later", "error", err)
		w.engine.RecordFailedCall(now)
		return
	}
	w.pool.config.CountReport("ok")
	w.engine.ApplyReport(now, report)
}

// recordReachability records whether a call reached the engine, and schedules
// the next attempt if it did not. The caller holds mu.
func (w *worker) recordReachability(now time.Duration, err error) {
	if !errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrOtherProcess) {
		w.unreachableCalls = 0
		return
	}
	w.retryAt = now + min(minRetryPause<<min(w.unreachableCalls, 8), maxRetryPause)
	w.unreachableCalls++
	if w.unreachableCalls == unreachableAfterCalls {
		w.log.Info("engine unreachable, its requests are sent to other engines", "error", err)
	}
}

func (w *worker) sendOrder(ctx context.Context, upstream topology.Upstream, order residency.Order, token fleet.Token) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	precheck := func() error {
		if current, ok := w.pool.config.MayOrder(upstream.ID); !ok || current != token {
			return ErrNotAllowed
		}
		return nil
	}
	started := clock.Boot()
	result, err := w.pool.config.Client.Order(ctx, upstream, order, Sender{Holder: w.pool.config.Holder, Token: token}, precheck)
	now := clock.Boot()
	w.mu.Lock()
	defer w.mu.Unlock()
	if errors.Is(err, ErrNotAllowed) {
		w.log.Info("order not sent, permission was lost meanwhile", "kind", order.Kind.String(), "adapter", order.Adapter.String(), "token", int64(token))
		return
	}
	level := slog.LevelInfo
	if order.Kind == residency.CheckLoad && result == residency.Accepted {
		level = slog.LevelDebug // the load still runs, which decides nothing
	}
	w.log.Log(ctx, level, "order sent", "kind", order.Kind.String(), "adapter", order.Adapter.String(), "version", order.Version,
		"precondition", order.Precondition, "token", int64(token), "result", result.String(), "took_ms", (now - started).Milliseconds(), "error", err)
	w.pool.config.CountOrder(order.Kind.String(), result.String())
	w.recordReachability(now, err)
	switch {
	case errors.Is(err, ErrUnreachable):
		w.engine.RecordFailedCall(now)
	case errors.Is(err, ErrOtherProcess):
		w.engine.RecordFailedCall(now)
		w.engine.Invalidate()
	default:
		w.engine.ApplyOrderResult(now, order, result)
	}
}
