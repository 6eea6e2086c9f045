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

// Sender is who sends an order, as the engine is told.
type Sender struct {
	// Holder is the VM's name.
	Holder string
	Token  fleet.Token
}

// ErrOtherProcess means that another process than the addressed one answered.
var ErrOtherProcess = errors.New("another process has the engine's address")

// ErrUnreachable means that a call did not reach anybody: no byte of it was
// taken at the engine's address.
var ErrUnreachable = errors.New("nobody answers at the engine's address")

// ErrNotAllowed stops an order that this daemon may not send any more.
var ErrNotAllowed = errors.New("this daemon may not order the engine now")

// Client speaks to engines. It makes each call once.
type Client interface {
	Report(ctx context.Context, engine topology.Upstream) (topology.EngineReport, error)
	// Order sends an order. The gate is asked just before the first byte is
	// written; its error is returned when it stops the order. ErrOtherProcess
	// is returned when the engine is gone from its address, ErrUnreachable when
	// nobody is there.
	Order(ctx context.Context, engine topology.Upstream, order residency.Order, sender Sender, gate func() error) (residency.OrderResult, error)
}

// Config holds the dependencies of a Pool.
type Config struct {
	Client Client
	// Holder is this VM's name.
	Holder string
	// MayOrder returns the token for an order to an engine at this moment.
	MayOrder func(engine string) (fleet.Token, bool)
	// ReportStatus passes an adapter's status on to an entry.
	ReportStatus func(entry string, news AdmissionStatus)
	// CountOrder and Reported count calls to engines; they may be nil.
	CountOrder  func(kind, result string)
	CountReport func(result string)
	Log         *slog.Logger
}

// AdmissionStatus is how a request stands that asked for a turn at an engine.
type AdmissionStatus struct {
	Engine string
	Ticket uint64
	Status residency.Status
	// Waiting is the number of requests that wait for their turn there.
	Waiting int
}

// Assignment is an engine that this daemon is to order.
type Assignment struct {
	Engine topology.Upstream
	Spec   residency.Spec
}

// EngineState is what the owner of an engine tells the entries about it.
type EngineState struct {
	Engine      string
	Incarnation int64
	// Running is the number of requests that all entries run there.
	Running int
	// PendingLoads is the number of adapters that wait for a load.
	PendingLoads int
	// Waiting is the number of requests that wait for their turn.
	Waiting int
	Held    []residency.HeldAdapter
	// RecentUsers lists the entries that have used the engine lately.
	RecentUsers []string
}

// Pool runs the workers of the engines that this daemon owns. It is safe for
// concurrent use.
type Pool struct {
	config Config
	log    *slog.Logger

	// mu guards workers; it is held for look-ups and changes only.
	mu      sync.RWMutex
	workers map[string]*worker
}

// New returns a Pool without engines.
func New(config Config) (*Pool, error) {
	if config.Client == nil || config.MayOrder == nil || config.ReportStatus == nil || config.Log == nil {
		return nil, errors.New("orders: Client, MayOrder, Tell and Log are required")
	}
	if config.CountOrder == nil {
		config.CountOrder = func(string, string) {}
	}
	if config.CountReport == nil {
		config.CountReport = func(string) {}
	}
	return &Pool{config: config, log: config.Log.With("part", "orders"), workers: make(map[string]*worker)}, nil
}

// Assign replaces the engines that this daemon orders. Workers of others end.
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

// RequestAdmission takes over that a request waits for its turn at an engine, and returns
// how it stands. Later changes are told by Config.Tell.
func (p *Pool) RequestAdmission(engine string, request admission.Request) AdmissionStatus {
	news := AdmissionStatus{Engine: engine, Ticket: request.Ticket, Status: residency.Declined}
	if w := p.worker(engine); w != nil {
		news.Status, news.Waiting = w.requestAdmission(clock.Boot(), request)
	}
	return news
}

// RequestLoad asks for an adapter at an engine for later requests.
func (p *Pool) RequestLoad(engine string, adapter topology.Adapter, version int64) {
	if w := p.worker(engine); w != nil {
		w.requestLoad(clock.Boot(), adapter, version)
	}
}

// AdmissionProgress is what became of a request that had its turn.
type AdmissionProgress struct {
	// Refused tells that the engine does not hold what it was expected to.
	Refused bool
	// Ended tells that the request has ended; else its first event has come.
	Ended bool
}

// HandleProgress takes over that a request's turn at an engine is over.
func (p *Pool) HandleProgress(engine string, key admission.Key, progress AdmissionProgress) {
	if w := p.worker(engine); w != nil {
		w.handleProgress(clock.Boot(), key, progress)
	}
}

// RecordUse takes over an entry's use of an engine.
func (p *Pool) RecordUse(entry, engine string, running int, uses []residency.AdapterUse) {
	if w := p.worker(engine); w != nil {
		w.recordUse(clock.Boot(), entry, running, uses)
	}
}

// EngineStates returns what is to be told about the engines of this daemon.
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

// callTimeout bounds a report or an order. Engines answer within some
// milliseconds. An order without an answer is void once a later one with the
// same precondition is accepted, so little is lost by asking again soon.
const callTimeout = 150 * time.Millisecond
