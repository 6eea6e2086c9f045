package plain

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/claim"
	"github.com/barleylift/barleylift/internal/limit"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
	"github.com/barleylift/barleylift/internal/profile"
	"github.com/barleylift/barleylift/internal/upstream"
)

// The retry budget of each service.
const (
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	minRetries  = 3
)

// defaultTolerance applies to profiles that state no delay tolerance.
const defaultTolerance = 10 * time.Second

// Config holds the dependencies of a Handler.
type Config struct {
	Caller   peer.Caller
	View     ownership.View
	Claims   *claim.Pool
	Services *upstream.ServiceClient
	Metrics  *metrics.Set
	Log      *slog.Logger
	// Authenticate returns the customer and the profile of a request. The request
	// is refused unless the result's outcome is empty or call.Done.
	Authenticate func(*http.Request) (catalog.Customer, profile.Profile, call.Result)
	// Limiter limits the calls in flight of each customer and profile; nil for a
	// limiter that counts only the calls of this handler.
	Limiter *limit.Limiter
}

func (c Config) check() error {
	switch {
	case c.Caller == nil:
		return errors.New("plain: Caller is missing")
	case c.View == nil:
		return errors.New("plain: View is missing")
	case c.Claims == nil:
		return errors.New("plain: Claims is missing")
	case c.Services == nil:
		return errors.New("plain: Services is missing")
	case c.Metrics == nil:
		return errors.New("plain: Metrics is missing")
	case c.Log == nil:
		return errors.New("plain: Log is missing")
	case c.Authenticate == nil:
		return errors.New("plain: Authenticate is missing")
	}
	return nil
}

// Handler serves the routes of the last applied snapshot. Calls in flight keep
// the route that they started with. A server's Shutdown lets them finish; the
// Handler keeps no call after ServeHTTP has returned.
type Handler struct {
	config Config
	log    *slog.Logger
	mux    atomic.Pointer[http.ServeMux]

	// mu guards budgets, which Apply extends. It is never held during I/O.
	mu      sync.Mutex
	budgets map[string]*limit.RetryBudget
}

// NewHandler returns a handler without routes.
func NewHandler(config Config) (*Handler, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	if config.Limiter == nil {
		config.Limiter = limit.NewLimiter()
	}
	h := &Handler{config: config, log: config.Log.With("part", "plain"), budgets: make(map[string]*limit.RetryBudget)}
	h.mux.Store(http.NewServeMux())
	return h, nil
}

// Apply replaces all routes by those of a snapshot. If a pattern is invalid,
// the routes in force stay and the error names the route.
func (h *Handler) Apply(snapshot *catalog.Snapshot) error {
	mux := http.NewServeMux()
	for _, route := range snapshot.Routes {
		budget, err := h.budget(route.Service)
		if err != nil {
			return err
		}
		served := &servedRoute{Route: route, handler: h, budget: budget, generation: snapshot.Generation}
		if err := handle(mux, route, served); err != nil {
			return err
		}
	}
	h.mux.Store(mux)
	return nil
}

// handle registers a route. The mux panics on a pattern that is malformed or
// conflicts with another; the catalog normally rejects such configurations
// earlier.
func handle(mux *http.ServeMux, route catalog.Route, served *servedRoute) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("plain: route %q: pattern %q: %v", route.Name, route.Pattern, cause)
		}
	}()
	mux.Handle(route.Pattern, served)
	return nil
}

func (h *Handler) budget(service string) (*limit.RetryBudget, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b := h.budgets[service]; b != nil {
		return b, nil
	}
	b, err := limit.NewRetryBudget(limit.RetryBudgetConfig{Ratio: retryRatio, Window: retryWindow, MinRetries: minRetries})
	if err != nil {
		return nil, err
	}
	h.budgets[service] = b
	return b, nil
}

// ServeHTTP serves one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := h.mux.Load()
	if _, pattern := mux.Handler(r); pattern == "" {
		call.WriteResult(w, call.Failed(call.Rejected, call.CodeUnknownRoute, "no route matches the method and path"))
		return
	}
	// Set for the mux's own redirects to a clean path; routes replace it.
	w.Header().Set(call.OutcomeHeader, string(call.Rejected))
	mux.ServeHTTP(w, r)
}

// servedRoute is a route of one snapshot.
type servedRoute struct {
	catalog.Route
	handler    *Handler
	budget     *limit.RetryBudget
	generation uint64
}

// ServeHTTP authenticates the caller and serves the call as the route allows.
func (s *servedRoute) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Del(call.OutcomeHeader)
	customer, prof, result := s.handler.config.Authenticate(r)
	if result.Outcome != "" && result.Outcome != call.Done {
		s.observe(customer.Name, prof.Name, result)
		call.WriteResult(w, result)
		return
	}
	reservation, refusal, ok := s.handler.config.Limiter.Acquire(time.Now(), customer.Name, prof)
	if !ok {
		s.observe(customer.Name, prof.Name, refusal)
		call.WriteResult(w, refusal)
		return
	}
	defer reservation.Release()
	e := newExchange(s, w, r, customer, prof)
	e.serve()
}

func (s *servedRoute) observe(customer, profile string, result call.Result) {
	s.handler.config.Metrics.Outcome(customer, profile, string(result.Outcome), string(result.Code))
}

// maxBody returns the limit of the request body in bytes.
func (s *servedRoute) maxBody() int64 {
	if s.MaxBody <= 0 {
		return catalog.DefaultRouteMaxBody
	}
	return s.MaxBody
}
