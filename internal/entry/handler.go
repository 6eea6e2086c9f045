package entry

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/limit"
	"github.com/barleylift/barleylift/internal/status"
)

// retryAfterBusy is sent while the daemon is at its limit or has no usable
// configuration.
const retryAfterBusy = time.Second

// The retry budget of model calls that may have started to run.
const (
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	minRetries  = 10
)

// Handler serves callers. It implements http.Handler.
type Handler struct {
	cfg      Config
	log      *slog.Logger
	mux      *http.ServeMux
	budget   *limit.RetryBudget
	suspects *suspects
	served   *servedTokens
	inFlight atomic.Int64
	leaving  atomic.Bool
}

// New returns a handler. An error names the missing field.
func New(cfg Config) (*Handler, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	budget, err := limit.NewRetryBudget(limit.RetryBudgetConfig{Ratio: retryRatio, Window: retryWindow, MinRetries: minRetries})
	if err != nil {
		return nil, err
	}
	h := &Handler{
		cfg:      cfg,
		log:      cfg.Log.With("part", "entry"),
		mux:      http.NewServeMux(),
		budget:   budget,
		suspects: newSuspects(),
		served:   newServedTokens(),
	}
	h.mux.HandleFunc("POST "+completionsPath, h.serveModel)
	h.mux.HandleFunc("POST "+chatPath, h.serveModel)
	h.mux.HandleFunc("GET /v1/entries", h.serveEntries)
	h.mux.HandleFunc("GET "+status.Path, h.serveStatus)
	h.mux.HandleFunc("/v1/", h.serveUnknown)
	h.mux.Handle("/", cfg.Plain)
	return h, nil
}

// Drain makes all further responses close the caller's connection.
func (h *Handler) Drain() {
	h.leaving.Store(true)
}

// ServeHTTP serves one call, subject to the daemon's limits.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == status.Path {
		h.serveStatus(w, r)
		return
	}
	defer h.inFlight.Add(-1)
	if h.inFlight.Add(1) > int64(h.cfg.MaxInFlight) {
		refused := call.Failed(call.NotRun, call.CodeLimit, "too many calls in flight at this daemon")
		h.refuse(w, "", "", refused.WithRetryAfter(retryAfterBusy))
		return
	}
	if refused, ok := h.unavailable(); ok {
		h.refuse(w, "", "", refused)
		return
	}
	h.mux.ServeHTTP(w, r)
}

// unavailable returns the refusal of all calls and true if the daemon can't
// accept any.
func (h *Handler) unavailable() (call.Result, bool) {
	if h.cfg.Snapshot() == nil {
		return call.Failed(call.NotRun, call.CodeStale, "no configuration is in force yet").WithRetryAfter(retryAfterBusy), true
	}
	if !h.cfg.ConfigFresh() {
		return call.Failed(call.NotRun, call.CodeStale, "the configuration may be out of date").WithRetryAfter(retryAfterBusy), true
	}
	return call.Result{}, false
}

func (h *Handler) refuse(w http.ResponseWriter, customer, profile string, result call.Result) {
	h.cfg.Metrics.Outcome(customer, profile, string(result.Outcome), string(result.Code))
	call.WriteResult(w, result)
}

func (h *Handler) serveUnknown(w http.ResponseWriter, _ *http.Request) {
	h.refuse(w, "", "", call.Failed(call.Rejected, call.CodeUnknownRoute, "no such path under /v1/"))
}

func (h *Handler) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, h.cfg.Status())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
