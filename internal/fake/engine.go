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
	// MaxRunning is the maximum number of calls in one decoding step.
	MaxRunning int
	// StepTime is the duration of one decoding step.
	StepTime time.Duration
	// LoadTime is the duration of a load in addition to fetching the weights.
	LoadTime time.Duration
	// ReportInterval is the period between two reports, which is also their
	// maximum age.
	ReportInterval  time.Duration
	ChecksFencing   bool
	ResumesStreams  bool
	HonoursPriority bool
	// Store is the weight store that adapters are loaded from; nil for none.
	Store *WeightStore
}

// EngineRecord is one action of a stand-in.
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

	mu               sync.Mutex
	bootID           string
	resident         []string
	loading          int
	calls            map[string]*engineCall
	queue            []*engineCall
	stepping         bool
	fencingToken     int64
	reportSequence   uint64
	report           EngineReport
	reportedAt       time.Time
	records          []EngineRecord
	violations       []string
	stalledByAddress map[string]bool
	faults           engineFaults
}

// engineFaults are the pending faults that a test requested.
type engineFaults struct {
	failLoads int
	// loseOrders is the number of orders whose responses are dropped.
	loseOrders    int
	runWrongModel int
	misroute      int
	cutAfter      int
	delay         time.Duration
}

// NewEngine returns an engine without resident adapters.
func NewEngine(config EngineConfig) *Engine {
	config.Slots = max(config.Slots, 1)
	config.MaxRunning = max(config.MaxRunning, 1)
	e := &Engine{config: config, calls: map[string]*engineCall{}, stalledByAddress: map[string]bool{}}
	e.bootID = call.NewID()
	return e
}

// Handler serves the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/load_lora_adapter", e.orderHandler(e.load))
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.orderHandler(e.unload))
	mux.HandleFunc("POST /v1/requests/{id}/cancel", e.orderHandler(e.cancel))
	mux.HandleFunc("GET /v1/requests/{id}", e.lookUp)
	mux.HandleFunc("GET /v1/models", e.models)
	mux.HandleFunc("GET /v1/report", e.serveReport)
	return e.withConnectionFaults(mux)
}

// withConnectionFaults applies the delay and the stall of the request's connection.
func (e *Engine) withConnectionFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		stalled := e.stalledByAddress[r.RemoteAddr]
		e.stalledByAddress[r.RemoteAddr] = stalled
		delay := e.faults.delay
		w.Header().Set("X-Boot-Id", e.bootID)
		e.mu.Unlock()
		if stalled {
			// The server detects a closed connection only after the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		time.Sleep(delay)
		next.ServeHTTP(w, r)
	})
}

// Restart kills all calls and restarts the engine under a new boot identifier,
// without adapters and without the highest fencing token that it had seen.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bootID = call.NewID()
	e.reportSequence = 0
	e.fencingToken = 0
	e.reportedAt = time.Time{}
	e.resident = nil
	for _, c := range e.queue {
		c.kill()
	}
	e.queue = nil
	e.calls = map[string]*engineCall{}
}

// StallConnections stops all responses on the connections that have carried a
// request so far.
func (e *Engine) StallConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address := range e.stalledByAddress {
		e.stalledByAddress[address] = true
	}
}

// FailLoads makes the next n loads fail.
func (e *Engine) FailLoads(n int) { e.setFault(func(f *engineFaults) { f.failLoads = n }) }

// LoseOrderResponses executes the next n orders and drops their responses.
func (e *Engine) LoseOrderResponses(n int) { e.setFault(func(f *engineFaults) { f.loseOrders = n }) }

// RunWrongModel runs the next n calls on another model.
func (e *Engine) RunWrongModel(n int) { e.setFault(func(f *engineFaults) { f.runWrongModel = n }) }

// MisrouteResponses gives the next n calls the response to another request.
func (e *Engine) MisrouteResponses(n int) { e.setFault(func(f *engineFaults) { f.misroute = n }) }

// CutNextStream truncates the next stream after the given number of chunks.
func (e *Engine) CutNextStream(chunks int) { e.setFault(func(f *engineFaults) { f.cutAfter = chunks }) }

// SetDelay sets the delay before the handling of each request.
func (e *Engine) SetDelay(d time.Duration) { e.setFault(func(f *engineFaults) { f.delay = d }) }

func (e *Engine) setFault(set func(*engineFaults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	set(&e.faults)
}

// consumeFault decrements a counted fault and reports whether one was left. The
// caller holds e.mu.
func consumeFault(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// Records returns the engine's actions so far, in order.
func (e *Engine) Records() []EngineRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.records)
}

// CountRecords returns the number of records with the kind and the model.
func (e *Engine) CountRecords(kind, model string) int {
	count := 0
	for _, r := range e.Records() {
		if r.Kind == kind && r.Model == model {
			count++
		}
	}
	return count
}

// Violations returns the violated guarantees that the engine detected.
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

// record appends a record. The caller holds e.mu.
func (e *Engine) record(kind, id, model string) {
	e.records = append(e.records, EngineRecord{At: time.Now(), Kind: kind, ID: id, Model: model})
}

// recordViolation records a violated guarantee. The caller holds e.mu.
func (e *Engine) recordViolation(format string, args ...any) {
	e.violations = append(e.violations, fmt.Sprintf(format, args...))
}
