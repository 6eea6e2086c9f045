package fake

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// EngineConfig describes a stand-in for a model engine.
type EngineConfig struct {
	Name      string
	BaseModel string
	// Slots is the number of adapters that the engine holds at once.
	Slots int
	// MaxRunning is the number of calls in one step.
	MaxRunning int
	// StepTime is the duration of one decoding step.
	StepTime time.Duration
	// LoadTime is the time that a load takes besides the weight store.
	LoadTime time.Duration
	// ReportInterval is the period between two reports, which is also their greatest age.
	ReportInterval  time.Duration
	ChecksFencing   bool
	ResumesStreams  bool
	HonoursPriority bool
	// Store is the weight store that loads come from; nil for none.
	Store *WeightStore
}

// EngineRecord is one thing that a stand-in did.
type EngineRecord struct {
	At time.Time
	// Kind is run, end, load or unload.
	Kind string
	// ID is the request that ran or ended.
	ID    string
	Model string
}

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	config EngineConfig

	mu         sync.Mutex
	boot       string
	resident   []string
	loading    int
	calls      map[string]*engineCall
	order      []*engineCall
	stepping   bool
	fence      int64
	sequence   uint64
	report     EngineReport
	reportAt   time.Time
	records    []EngineRecord
	violations []string
	conns      map[string]bool
	faults     engineFaults
}

// engineFaults are the failures that a test asked for.
type engineFaults struct {
	failLoads  int
	loseOrders int
	wrongModel int
	crossed    int
	cutAfter   int
	delay      time.Duration
}

// NewEngine returns an engine without resident adapters.
func NewEngine(config EngineConfig) *Engine {
	config.Slots = max(config.Slots, 1)
	config.MaxRunning = max(config.MaxRunning, 1)
	e := &Engine{config: config, calls: map[string]*engineCall{}, conns: map[string]bool{}}
	e.boot = call.NewID()
	return e
}

// Handler serves the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/load_lora_adapter", e.ordered(e.load))
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.ordered(e.unload))
	mux.HandleFunc("POST /v1/requests/{id}/cancel", e.ordered(e.cancel))
	mux.HandleFunc("GET /v1/requests/{id}", e.lookUp)
	mux.HandleFunc("GET /v1/models", e.models)
	mux.HandleFunc("GET /v1/report", e.serveReport)
	return e.throughConnection(mux)
}

// throughConnection applies the faults of the connection that a request came on.
func (e *Engine) throughConnection(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		silent := e.conns[r.RemoteAddr]
		e.conns[r.RemoteAddr] = silent
		delay := e.faults.delay
		w.Header().Set("X-Boot-Id", e.boot)
		e.mu.Unlock()
		if silent {
			// The server sees the end of a connection only after the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		time.Sleep(delay)
		next.ServeHTTP(w, r)
	})
}

// Restart kills all calls and starts cold under a new boot identifier, without
// memory of the highest fencing token.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot = call.NewID()
	e.sequence = 0
	e.fence = 0
	e.reportAt = time.Time{}
	e.resident = nil
	for _, c := range e.order {
		c.kill()
	}
	e.order = nil
	e.calls = map[string]*engineCall{}
}

// StallConnections stops all answers on the connections that exist now.
func (e *Engine) StallConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address := range e.conns {
		e.conns[address] = true
	}
}

// FailLoads lets the next n loads fail.
func (e *Engine) FailLoads(n int) { e.fault(func(f *engineFaults) { f.failLoads = n }) }

// LoseOrderResponses lets the next n orders take effect and loses their replies.
func (e *Engine) LoseOrderResponses(n int) { e.fault(func(f *engineFaults) { f.loseOrders = n }) }

// RunWrongModel lets the next n calls run on another model.
func (e *Engine) RunWrongModel(n int) { e.fault(func(f *engineFaults) { f.wrongModel = n }) }

// MisrouteResponses lets the next n calls get the answer to another request.
func (e *Engine) MisrouteResponses(n int) { e.fault(func(f *engineFaults) { f.crossed = n }) }

// CutNextStream breaks the next stream after the given number of parts.
func (e *Engine) CutNextStream(parts int) { e.fault(func(f *engineFaults) { f.cutAfter = parts }) }

// SetDelay delays every answer from now on.
func (e *Engine) SetDelay(d time.Duration) { e.fault(func(f *engineFaults) { f.delay = d }) }

func (e *Engine) fault(set func(*engineFaults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	set(&e.faults)
}

// take consumes one unit of a counted fault. The caller holds e.mu.
func take(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// Records returns what the engine did so far, in order.
func (e *Engine) Records() []EngineRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.records)
}

// CountRecords returns the number of records of a kind that name the model.
func (e *Engine) CountRecords(kind, model string) int {
	count := 0
	for _, r := range e.Records() {
		if r.Kind == kind && r.Model == model {
			count++
		}
	}
	return count
}

// Violations lists the broken promises that the engine saw.
func (e *Engine) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.violations)
}

// Resident returns the adapters that are loaded.
func (e *Engine) Resident() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.resident)
}

// Preload makes adapters resident without an order.
func (e *Engine) Preload(models ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resident = append(e.resident, models...)
}

// record notes what happened. The caller holds e.mu.
func (e *Engine) record(kind, id, model string) {
	e.records = append(e.records, EngineRecord{At: time.Now(), Kind: kind, ID: id, Model: model})
}

// violate notes a broken promise. The caller holds e.mu.
func (e *Engine) violate(format string, args ...any) {
	e.violations = append(e.violations, fmt.Sprintf(format, args...))
}
