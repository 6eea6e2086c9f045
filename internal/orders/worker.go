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
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// Constants of engines that can't be reached.
const (
	// absentAfter is the number of calls in a row that reach nobody after which
	// requests are sent elsewhere: an engine that starts again under its address
	// refuses connections for a moment.
	absentAfter = 3
	// firstAbsentPause doubles with each such call up to maxAbsentPause, so that
	// an engine that is back is found soon and one that is gone costs little.
	firstAbsentPause = 20 * time.Millisecond
	maxAbsentPause   = 320 * time.Millisecond
)

// notAllowedWait is how soon a worker looks again whether it may order.
const notAllowedWait = 100 * time.Millisecond

// runningSilence is how long an entry's count of running requests is believed.
const runningSilence = 3 * time.Second

// userMemory is how long after its last request an entry is told about the
// engine: its next request there finds a state that is not old.
const userMemory = 3 * time.Second

// worker orders one engine.
type worker struct {
	pool  *Pool
	log   *slog.Logger
	wake  chan struct{}
	ended chan struct{}
	once  sync.Once

	// mu guards the fields below; it is not held during I/O.
	mu       sync.Mutex
	upstream topology.Upstream
	engine   *residency.Engine
	gate     *admission.Gate
	token    fleet.Token
	allowed  bool
	running  map[string]entryRunning
	// missed counts the calls in a row that reached nobody, and retryAt is when
	// the next one may be made.
	missed  int
	retryAt time.Duration
	// users maps entries to when they last used the engine.
	users map[string]time.Duration
}

// entryRunning is an entry's number of running requests and when it was told.
type entryRunning struct {
	requests int
	at       time.Duration
}

func newWorker(pool *Pool, a Assignment) *worker {
	w := &worker{
		pool:     pool,
		log:      pool.log.With("engine", a.Engine.ID),
		wake:     make(chan struct{}, 1),
		ended:    make(chan struct{}),
		upstream: a.Engine,
		engine:   residency.NewEngine(a.Spec),
		gate:     admission.NewGate(),
		running:  make(map[string]entryRunning),
		users:    make(map[string]time.Duration),
	}
	w.engine.Reset(a.Engine.Incarnation)
	return w
}

func (w *worker) stop() {
	w.once.Do(func() { close(w.ended) })
}

func (w *worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) update(a Assignment) {
	w.mu.Lock()
	if a.Engine.Incarnation > w.engine.Incarnation() {
		w.log.Info("engine started anew", "born", a.Engine.Incarnation)
		w.engine.Reset(a.Engine.Incarnation)
	}
	if a.Engine.Incarnation >= w.upstream.Incarnation {
		w.upstream = a.Engine
	}
	w.engine.SetSpec(a.Spec)
	w.mu.Unlock()
	w.signal()
}

// ask returns how a request stands and how many wait at the engine.
func (w *worker) ask(now time.Duration, request admission.Request) (residency.Status, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.users[request.Key.Entry] = now
	status := w.answer(now, request)
	return status, w.gate.Waiting()
}

// answer takes a request over. The caller holds mu.
func (w *worker) answer(now time.Duration, request admission.Request) residency.Status {
	if w.gate.Admitted(request.Key) {
		return residency.Ready
	}
	status := w.status(request.Adapter, request.Version)
	if status == residency.Declined || status == residency.Unreachable {
		return status
	}
	w.gate.Enqueue(now, request)
	if status == residency.Waiting {
		w.engine.RequestLoad(now, request.Adapter, request.Version, 1)
		w.signal()
		return status
	}
	w.decide(now, request.Key)
	if w.gate.Admitted(request.Key) {
		return residency.Ready
	}
	return residency.Waiting
}

func (w *worker) want(now time.Duration, adapter topology.Adapter, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engine.RequestLoad(now, adapter, version, 1)
	w.signal()
}

func (w *worker) begun(now time.Duration, key admission.Key, progress AdmissionProgress) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if adapter, ok := w.gate.AdmittedAdapter(key); ok && progress.Refused {
		w.log.Info("engine refused a request that had its turn, asking for its report", "adapter", adapter.String())
		w.engine.MarkDoubtful(now, adapter)
	}
	if progress.Ended {
		w.engine.RecordEnd(now, key.Entry, key.Ticket)
	}
	w.gate.Release(now, key)
	w.decide(now, admission.Key{})
	w.signal()
}

// status tells how an adapter stands, the base model's included. Without the
// right to order, only what is held can be used. The caller holds mu.
func (w *worker) status(adapter topology.Adapter, version int64) residency.Status {
	if w.upstream.Leaving {
		return residency.Declined
	}
	if w.missed >= absentAfter {
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

// decide hands out turns and tells the entries, but for the request that is
// just being answered. The caller holds mu; telling does no I/O that blocks.
func (w *worker) decide(now time.Duration, answering admission.Key) {
	free := w.upstream.Slots - w.engine.Running()
	for _, d := range w.gate.Next(now, free, w.status) {
		if d.Status == residency.Ready {
			w.engine.RecordAdmission(now, d.Key.Entry, d.Key.Ticket, d.Adapter)
		}
		if d.Key == answering {
			continue
		}
		w.pool.config.ReportStatus(d.Key.Entry, AdmissionStatus{Engine: w.upstream.ID, Ticket: d.Key.Ticket, Status: d.Status, Waiting: w.gate.Waiting()})
	}
}

func (w *worker) use(now time.Duration, entry string, running int, uses []residency.AdapterUse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engine.RecordUse(now, entry, uses)
	w.running[entry] = entryRunning{requests: running, at: now}
	if len(uses) > 0 {
		w.users[entry] = now
	}
}

// state returns what entries are told; false while the engine's state is unknown.
func (w *worker) state(now time.Duration) (EngineState, bool) {
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
	}
	state.Waiting = w.gate.Waiting()
	for _, r := range w.running {
		if now-r.at < runningSilence {
			state.Running += r.requests
		}
	}
	state.RecentUsers = w.recentUsers(now)
	return state, true
}

// recentUsers returns the entries that have used the engine lately. The caller
// holds mu.
func (w *worker) recentUsers(now time.Duration) []string {
	var list []string
	for entry, used := range w.users {
		if now-used > userMemory {
			delete(w.users, entry)
			continue
		}
		list = append(list, entry)
	}
	return list
}

func (w *worker) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.ended:
			return
		case <-w.wake:
		case <-timer.C:
		}
		timer.Reset(w.step(ctx))
	}
}

// step does what is due and returns the time to the next step.
func (w *worker) step(ctx context.Context) time.Duration {
	for ctx.Err() == nil {
		allowed := w.checkAllowed()
		now := clock.Boot()
		w.mu.Lock()
		w.gate.WaitingAdapters(func(adapter topology.Adapter, version int64, weight float64) {
			if adapter.Name != "" {
				w.engine.RequestLoad(now, adapter, version, weight)
			}
		})
		w.decide(now, admission.Key{})
		turnWait := w.gate.NextCheckDelay(now)
		if !allowed {
			w.mu.Unlock()
			return min(notAllowedWait, turnWait)
		}
		if pause := w.retryAt - now; pause > 0 {
			w.mu.Unlock()
			return min(pause, turnWait)
		}
		action := w.engine.Next(now)
		upstream := w.upstream
		token := w.token
		w.mu.Unlock()
		switch {
		case action.FetchReport:
			w.report(ctx, upstream)
		case action.Order != nil:
			w.order(ctx, upstream, *action.Order, token)
		default:
			return min(action.Wait, turnWait)
		}
	}
	return notAllowedWait
}

// checkAllowed reports whether orders may be sent. With another token, other
// daemons may have given orders meanwhile.
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
		w.log.Info("right to order changed", "allowed", allowed, "leaving", w.upstream.Leaving, "token", int64(token))
	}
	w.allowed = allowed
	return allowed
}

func (w *worker) upstreamID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstream.ID
}

func (w *worker) report(ctx context.Context, upstream topology.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := w.pool.config.Client.Report(ctx, upstream)
	now := clock.Boot()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reached(now, err)
	if err != nil {
		w.pool.config.CountReport("failed")
		w.log.Info("engine did not report", "error", err)
		w.engine.RecordFailedCall(now)
		return
	}
	w.pool.config.CountReport("ok")
	w.engine.ApplyReport(now, report)
}

// reached takes over whether a call reached the engine. The caller holds mu.
func (w *worker) reached(now time.Duration, err error) {
	if !errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrOtherProcess) {
		w.missed = 0
		return
	}
	w.retryAt = now + min(firstAbsentPause<<min(w.missed, 8), maxAbsentPause)
	w.missed++
	if w.missed == absentAfter {
		w.log.Info("engine can't be reached, its requests go elsewhere", "error", err)
	}
}

func (w *worker) order(ctx context.Context, upstream topology.Upstream, order residency.Order, token fleet.Token) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	gate := func() error {
		if current, ok := w.pool.config.MayOrder(upstream.ID); !ok || current != token {
			return ErrNotAllowed
		}
		return nil
	}
	started := clock.Boot()
	result, err := w.pool.config.Client.Order(ctx, upstream, order, Sender{Holder: w.pool.config.Holder, Token: token}, gate)
	now := clock.Boot()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log.Info("order sent", "kind", order.Kind.String(), "adapter", order.Adapter.String(), "version", order.Version,
		"precondition", order.Precondition, "token", int64(token), "result", result.String(), "took_ms", (now - started).Milliseconds(), "error", err)
	w.pool.config.CountOrder(order.Kind.String(), result.String())
	if errors.Is(err, ErrNotAllowed) {
		return
	}
	w.reached(now, err)
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
