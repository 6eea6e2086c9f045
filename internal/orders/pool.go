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

// Sender identifies the sender of an order to the engine.
type Sender struct {
	// Holder is the VM's name.
	Holder string
	Token  fleet.Token
}

// ErrOtherProcess means that a process other than the addressed one answered.
var ErrOtherProcess = errors.New("another process listens at the engine's address")

// ErrUnreachable means that no byte of a call was accepted at the engine's
// address.
var ErrUnreachable = errors.New("engine unreachable at its address")

// ErrNotAllowed cancels an order that this daemon is no longer allowed to send.
var ErrNotAllowed = errors.New("this daemon is not allowed to send orders to the engine")

// Client calls engines. It attempts each call once.
type Client interface {
	Report(ctx context.Context, engine topology.Upstream) (topology.EngineReport, error)
	// Order sends an order. It calls precheck just before it writes the first
	// byte; if precheck fails, the order is not sent and its error is returned.
	// Order returns ErrOtherProcess if another process answers at the engine's
	// address, and ErrUnreachable if no process accepts the call.
	Order(ctx context.Context, engine topology.Upstream, order residency.Order, sender Sender, precheck func() error) (residency.OrderResult, error)
}

// Config holds the dependencies of a Pool.
type Config struct {
	Client Client
	// Holder is this VM's name.
	Holder string
	// MayOrder returns the fencing token for an order to an engine, and whether
	// this daemon may send one at this moment.
	MayOrder func(engine string) (fleet.Token, bool)
	// PausedUntil returns the end of the pause that an engine has asked this VM for, by
	// clock.Boot; 0 for none. It may be nil.
	PausedUntil func(engine string) time.Duration
	// ReportStatus sends the status of an admission request to its entry.
	ReportStatus func(entry string, status AdmissionStatus)
	// CountOrder and CountReport count calls to engines; they may be nil.
	CountOrder  func(kind, result string)
	CountReport func(result string)
	Log         *slog.Logger
}

// AdmissionStatus is the status of an admission request at an engine.
type AdmissionStatus struct {
	Engine string
	Ticket uint64
	Status residency.Status
	// Waiting is the number of requests that wait for room in the engine's batch.
	Waiting int
	// Incarnation is that of the engine's process, as its owner knows it.
	Incarnation int64
	// RoomIn is when the engine's rate limit leaves room for another request, if
	// Status is residency.NoRoom, or when the engine has room for this one, if it is
	// residency.TooLate.
	RoomIn time.Duration
	// WaitingWork and PrefillPerToken are those of EngineState.
	WaitingWork     time.Duration
	PrefillPerToken time.Duration
}

// Assignment is an engine that this daemon owns and sends orders to.
type Assignment struct {
	Engine topology.Upstream
	Spec   residency.Spec
}

// EngineState is the state of an engine as its owner reports it to the entries.
type EngineState struct {
	Engine      string
	Incarnation int64
	// Running is the number of requests that run there, of all entries.
	Running int
	// PendingLoads is the number of adapters that are being loaded or wait for it.
	PendingLoads int
	// Waiting is the number of requests that wait for room in the engine's batch.
	Waiting int
	// WaitingWork is the time that the engine needs for the prompts that it has yet to
	// prefill: those that were admitted, and those that wait for room in its batch.
	WaitingWork time.Duration
	// PrefillPerToken is the learned time to prefill one token of a prompt; 0 if the
	// engine's owner is of a build that doesn't report it.
	PrefillPerToken time.Duration
	Held            []residency.HeldAdapter
	// RateLimit is what is known of the engine's rate limit.
	RateLimit ratelimit.Knowledge
	// RecentUsers lists the entries that have used the engine within recentUserTTL.
	RecentUsers []string
}

// Pool runs the workers of the engines that this daemon owns. It is safe for
// concurrent use.
type Pool struct {
	config Config
	log    *slog.Logger

	// mu guards workers; it is held for lookups and updates only.
	mu      sync.RWMutex
	workers map[string]*worker
}

// New returns a Pool without engines.
func New(config Config) (*Pool, error) {
	if config.Client == nil || config.MayOrder == nil || config.ReportStatus == nil || config.Log == nil {
		return nil, errors.New("orders: Client, MayOrder, ReportStatus and Log are required")
	}
	if config.CountOrder == nil {
		config.CountOrder = func(string, string) {}
	}
	if config.PausedUntil == nil {
		config.PausedUntil = func(string) time.Duration { return 0 }
	}
	if config.CountReport == nil {
		config.CountReport = func(string) {}
	}
	return &Pool{config: config, log: config.Log.With("part", "orders"), workers: make(map[string]*worker)}, nil
}

// Assign replaces the set of engines that this daemon sends orders to. Workers
// of all other engines stop.
func (p *Pool) Assign(ctx context.Context, assignments []Assignment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make(map[string]*worker, len(assignments))
	for _, a := range assignments {
		w := p.workers[a.Engine.ID]
		if w == nil {
			w = newWorker(p, a)
			go w.run(ctx)
		} else {
			w.update(a)
		}
		kept[a.Engine.ID] = w
	}
	for id, w := range p.workers {
		if kept[id] == nil {
			w.stop()
		}
	}
	p.workers = kept
}

func (p *Pool) worker(engine string) *worker {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.workers[engine]
}

// RequestAdmission adds a request that waits for admission to an engine, or
// refreshes it, and returns its status. Config.ReportStatus reports later
// changes.
func (p *Pool) RequestAdmission(engine string, request admission.Request) AdmissionStatus {
	status := AdmissionStatus{Engine: engine, Ticket: request.Ticket, Status: residency.Declined}
	if w := p.worker(engine); w != nil {
		status = w.requestAdmission(clock.Boot(), request)
	}
	return status
}

// RecordRateLimit records what an entry knows of the rate limit of an engine's
// process.
func (p *Pool) RecordRateLimit(process ratelimit.Process, known ratelimit.Knowledge) {
	if w := p.worker(process.ID); w != nil {
		w.recordRateLimit(clock.Boot(), process.Incarnation, known)
	}
}

// RequestLoad requests that an engine load an adapter for later requests. It
// reports whether the adapter is ready there already.
func (p *Pool) RequestLoad(engine string, adapter topology.Adapter, version int64) bool {
	w := p.worker(engine)
	return w != nil && w.requestLoad(clock.Boot(), adapter, version)
}

// AdmissionProgress reports on a request that was admitted.
type AdmissionProgress struct {
	// Refused is set when the engine lacks the adapter that it was expected to hold.
	Refused bool
	// Ended is set when the request has ended; otherwise its first event has
	// arrived.
	Ended bool
}

// HandleProgress records that an admitted request has received its first event,
// was refused or has ended, and releases its admission.
func (p *Pool) HandleProgress(engine string, key admission.Key, progress AdmissionProgress) {
	if w := p.worker(engine); w != nil {
		w.handleProgress(clock.Boot(), key, progress)
	}
}

// Pause makes an engine get no orders and no requests for reports until a reading
// of clock.Boot. Requests that wait for admission there are declined.
func (p *Pool) Pause(engine string, until time.Duration) {
	if w := p.worker(engine); w != nil {
		w.pause(until)
	}
}

// RecordUse records an entry's use of an engine.
func (p *Pool) RecordUse(entry, engine string, running int, uses []residency.AdapterUse) {
	if w := p.worker(engine); w != nil {
		w.recordUse(clock.Boot(), entry, running, uses)
	}
}

// EngineStates returns the states of this daemon's engines, without those that
// are unknown or to which it may not send orders.
func (p *Pool) EngineStates() []EngineState {
	p.mu.RLock()
	workers := make([]*worker, 0, len(p.workers))
	for _, w := range p.workers {
		workers = append(workers, w)
	}
	p.mu.RUnlock()
	var states []EngineState
	now := clock.Boot()
	for _, w := range workers {
		if state, ok := w.engineState(now); ok {
			states = append(states, state)
		}
	}
	return states
}

// callTimeout bounds a report or an order. Engines answer within a few
// milliseconds. An unanswered order has no effect once a later one with the
// same precondition is accepted, so retrying soon is safe.
const callTimeout = 150 * time.Millisecond
