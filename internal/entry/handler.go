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

// retryAfterBusy advises callers that met the daemon's own bound.
const retryAfterBusy = time.Second

// The retry budget of model calls that may have begun to run.
const (
	retryShare  = 0.2
	retryWindow = 10 * time.Second
	retryFloor  = 10
)

// Handler serves callers. It implements http.Handler.
type Handler struct {
	cfg      Config
	log      *slog.Logger
	mux      *http.ServeMux
	budget   *limit.RetryBudget
	suspects *suspects
	service  *service
	inFlight atomic.Int64
	leaving  atomic.Bool
}

// New returns a handler. Errors name the field.
func New(cfg Config) (*Handler, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	budget, err := limit.NewRetryBudget(limit.RetryBudgetConfig{Ratio: retryShare, Window: retryWindow, MinRetries: retryFloor})
	if err != nil {
		return nil, err
	}
	h := &Handler{
		cfg:      cfg,
		log:      cfg.Log.With("part", "entry"),
		mux:      http.NewServeMux(),
		budget:   budget,
		suspects: newSuspects(),
		service:  newService(),
	}
	h.mux.HandleFunc("POST "+completionsPath, h.serveModel)
	h.mux.HandleFunc("POST "+chatPath, h.serveModel)
	h.mux.HandleFunc("GET /v1/entries", h.serveEntries)
	h.mux.HandleFunc("GET "+status.Path, h.serveStatus)
	h.mux.HandleFunc("/v1/", h.serveUnknown)
	h.mux.Handle("/", cfg.Plain)
	return h, nil
}

// Drain lets every answer from now on tell its caller to use another connection.
func (h *Handler) Drain() {
	h.leaving.Store(true)
}

// ServeHTTP serves one call within the daemon's bounds.
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
	if refused, ok := h.unusable(); ok {
		h.refuse(w, "", "", refused)
		return
	}
	h.mux.ServeHTTP(w, r)
}

// unusable reports why the daemon takes no calls, if it takes none.
func (h *Handler) unusable() (call.Result, bool) {
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
	// The caller is gone if this fails; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(value)
}
