package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// FencingHeader holds the sender's fencing token.
const FencingHeader = "Barleylift-Fencing-Token"

// EngineReport is the response of GET /v1/report.
type EngineReport struct {
	BootID   string `json:"boot_id"`
	Sequence uint64 `json:"sequence"`
	// AgeMillis is the age of the report when it was sent.
	AgeMillis  int64           `json:"age_ms"`
	Requests   []ActiveRequest `json:"requests"`
	Resident   []string        `json:"resident"`
	Running    int             `json:"running"`
	Waiting    int             `json:"waiting"`
	MaxRunning int             `json:"max_running"`
}

// ActiveRequest is one request in a report.
type ActiveRequest struct {
	ID    string `json:"id"`
	Model string `json:"model"`
}

type loraOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

type requestStatus struct {
	BootID   string `json:"boot_id"`
	Running  bool   `json:"running"`
	Produced int    `json:"produced"`
}

// orderHandler checks the fencing token of an order, executes the order and
// responds, unless the response is to be lost.
func (e *Engine) orderHandler(execute func(r *http.Request) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		allowed := e.acceptFencingToken(r)
		e.mu.Unlock()
		if !allowed {
			writeEngineError(w, http.StatusConflict, "old fencing token")
			return
		}
		status, message := execute(r)
		e.mu.Lock()
		lost := consumeFault(&e.faults.loseOrders)
		e.mu.Unlock()
		if lost {
			panic(http.ErrAbortHandler)
		}
		if status != http.StatusOK {
			writeEngineError(w, status, message)
			return
		}
		_, _ = w.Write([]byte("{}"))
	}
}

// acceptFencingToken reports whether the engine accepts a request's fencing
// token, and records the highest one. It accepts requests without a token, and
// all requests if it does not check fencing. The caller holds e.mu.
func (e *Engine) acceptFencingToken(r *http.Request) bool {
	token, err := strconv.ParseInt(r.Header.Get(FencingHeader), 10, 64)
	if err != nil || !e.config.ChecksFencing {
		return true
	}
	if token < e.fencingToken {
		return false
	}
	e.fencingToken = token
	return true
}

func (e *Engine) load(r *http.Request) (int, string) {
	var order loraOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Name == "" {
		return http.StatusBadRequest, "lora_name is missing"
	}
	if status, message := e.beginLoad(order.Name); status != http.StatusOK {
		return status, message
	}
	time.Sleep(e.config.LoadTime)
	if e.config.Store != nil {
		_ = e.config.Store.Fetch(r.Context())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading--
	if consumeFault(&e.faults.failLoads) {
		return http.StatusInternalServerError, "load failed"
	}
	e.resident = append(e.resident, order.Name)
	e.record("load", "", order.Name)
	return http.StatusOK, ""
}

func (e *Engine) beginLoad(name string) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.resident, name) {
		return http.StatusBadRequest, "already loaded"
	}
	if len(e.resident)+e.loading >= e.config.Slots {
		return http.StatusBadRequest, "no free slot"
	}
	e.loading++
	return http.StatusOK, ""
}

func (e *Engine) unload(r *http.Request) (int, string) {
	var order loraOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.resident, order.Name) {
		return http.StatusNotFound, "not loaded"
	}
	for _, c := range slices.Clone(e.queue) {
		if c.model == order.Name {
			e.recordViolation("unloaded %s while %s ran on it", order.Name, c.id)
			e.removeCall(c)
		}
	}
	e.resident = slices.DeleteFunc(e.resident, func(name string) bool { return name == order.Name })
	e.record("unload", "", order.Name)
	return http.StatusOK, ""
}

func (e *Engine) cancel(r *http.Request) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.calls[r.PathValue("id")]
	if c == nil {
		return http.StatusNotFound, "no such request"
	}
	e.removeCall(c)
	return http.StatusOK, ""
}

func (e *Engine) lookUp(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	status := requestStatus{BootID: e.bootID}
	c := e.calls[r.PathValue("id")]
	if c != nil {
		status.Running = !c.ended
		status.Produced = c.produced
	}
	e.mu.Unlock()
	if c == nil {
		writeEngineError(w, http.StatusNotFound, "no such request")
		return
	}
	_ = json.NewEncoder(w).Encode(status)
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID string `json:"id"`
	}
	response := struct {
		Data []model `json:"data"`
	}{Data: []model{{e.config.BaseModel}}}
	for _, name := range e.Resident() {
		response.Data = append(response.Data, model{name})
	}
	_ = json.NewEncoder(w).Encode(response)
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) >= e.config.ReportInterval {
		e.refreshReport(now)
	}
	report := e.report
	report.AgeMillis = now.Sub(e.reportedAt).Milliseconds() + 1
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}

// refreshReport builds a new report. The caller holds e.mu.
func (e *Engine) refreshReport(now time.Time) {
	e.reportSequence++
	e.reportedAt = now
	running := min(len(e.queue), e.config.MaxRunning)
	e.report = EngineReport{
		BootID: e.bootID, Sequence: e.reportSequence, Resident: append([]string{}, e.resident...),
		Running: running, Waiting: len(e.queue) - running, MaxRunning: e.config.MaxRunning,
	}
	for _, c := range e.queue {
		e.report.Requests = append(e.report.Requests, ActiveRequest{ID: c.id, Model: c.model})
	}
}

func writeEngineError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}{Error: struct {
		Message string `json:"message"`
	}{message}})
}
