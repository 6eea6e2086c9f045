package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/limit"
	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/routing"
	"github.com/barleylift/barleylift/internal/topology"
)

// Pools gives the connections to upstreams.
type Pools interface {
	// RequestPool returns the pool of connections to an upstream's process.
	RequestPool(upstream topology.Upstream) *hop.Pool
}

// Metrics counts what happens to requests.
type Metrics interface {
	RequestEnded(route, outcome string, took time.Duration)
	FirstEvent(route string, took time.Duration)
	LoadWait(route string, took time.Duration)
	RepeatedSend(service, reason string)
}

// Config holds the dependencies of a Relay.
type Config struct {
	Protocol Protocol
	Locator  *locator.Locator
	Pools    Pools
	// Budget returns the budget of repeated sends to a service.
	Budget  func(service string) *limit.RetryBudget
	Metrics Metrics
	Log     *slog.Logger
}

// Relay serves callers' requests by the routing table in force.
type Relay struct {
	config   Config
	log      *slog.Logger
	table    atomic.Pointer[routing.Table]
	draining atomic.Bool
	refusing atomic.Bool
	inFlight atomic.Int64
}

// New returns a Relay without a routing table.
func New(config Config) (*Relay, error) {
	if config.Protocol == nil || config.Locator == nil || config.Pools == nil || config.Budget == nil || config.Metrics == nil || config.Log == nil {
		return nil, errors.New("relay: a dependency is missing")
	}
	return &Relay{config: config, log: config.Log.With("part", "relay")}, nil
}

// SetTable puts a table in force for the requests that arrive from now on. An
// older version than the one in force is ignored.
func (r *Relay) SetTable(table *routing.Table) bool {
	for {
		current := r.table.Load()
		if current != nil && current.Version() >= table.Version() {
			return false
		}
		if r.table.CompareAndSwap(current, table) {
			return true
		}
	}
}

// Table returns the table in force, or nil.
func (r *Relay) Table() *routing.Table {
	return r.table.Load()
}

// Drain makes answers tell callers to use another connection.
func (r *Relay) Drain() {
	r.draining.Store(true)
}

// RefuseNew makes the relay refuse requests from now on; those in flight go on.
func (r *Relay) RefuseNew() {
	r.refusing.Store(true)
}

// InFlight returns the number of requests that have not been answered.
func (r *Relay) InFlight() int64 {
	return r.inFlight.Load()
}

// drainRetryAfter sends callers of an ending daemon to another one at once.
const drainRetryAfter = 50 * time.Millisecond

// unknownRetryAfter is the advice of a daemon that knows no configuration yet.
const unknownRetryAfter = 300 * time.Millisecond

// defaultPatience stands for callers that do not say how long they wait.
const defaultPatience = 30 * time.Second

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	arrived := time.Now()
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	call, err := r.config.Protocol.DecodeRequest(request)
	if err != nil {
		r.log.Info("request rejected, it can't be read", "error", err)
		r.config.Protocol.WriteError(w, &Call{}, http.StatusBadRequest, 0, err.Error())
		return
	}
	table := r.table.Load()
	body, status, err := readBody(w, request, table)
	if err != nil {
		r.log.Info("request rejected, its body can't be read", "id", call.ID, "status", status, "error", err)
		if request.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		r.config.Protocol.WriteError(w, call, status, 0, err.Error())
		return
	}
	switch {
	case table == nil:
		r.log.Info("request refused, no configuration is known", "id", call.ID)
		r.config.Protocol.WriteError(w, call, http.StatusServiceUnavailable, unknownRetryAfter, "no configuration is known yet")
		return
	case r.refusing.Load():
		r.log.Info("request refused, the daemon is ending", "id", call.ID)
		r.config.Protocol.WriteError(w, call, http.StatusServiceUnavailable, drainRetryAfter, "the daemon is ending")
		return
	}
	route := table.Match(call.Host, call.Path)
	if route == nil {
		r.log.Info("request rejected, no route", "id", call.ID, "host", call.Host, "path", call.Path, "version", table.Version())
		r.config.Protocol.WriteError(w, call, http.StatusNotFound, 0, "no route matches")
		return
	}
	e := newExchange(r, w, request, call, table, route, body, arrived)
	defer e.finish()
	e.serve()
}

var errBodyTooLarge = errors.New("the body exceeds the limit")

// readBody reads a request's body whole, within the limit in force.
func readBody(w http.ResponseWriter, request *http.Request, table *routing.Table) ([]byte, int, error) {
	limit := int64(defaultBodyLimit)
	if table != nil && table.Limits().MaxBodyBytes > 0 {
		limit = table.Limits().MaxBodyBytes
	}
	if request.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge, errBodyTooLarge
	}
	if request.ContentLength == 0 {
		return nil, 0, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge, errBodyTooLarge
	}
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	return body, 0, nil
}

// defaultBodyLimit holds while no configuration states one, in bytes.
const defaultBodyLimit = 1 << 20

// callerGone reports whether the caller has closed its connection.
func callerGone(request *http.Request) bool {
	return errors.Is(request.Context().Err(), context.Canceled)
}
