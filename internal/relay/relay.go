package relay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/limit"
	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/quarantine"
	"github.com/barleylift/barleylift/internal/routing"
	"github.com/barleylift/barleylift/internal/topology"
	"golang.org/x/sync/semaphore"
)

// Pools provides the connections to upstreams.
type Pools interface {
	// RequestPool returns the connections for requests to an upstream's process.
	RequestPool(upstream topology.Upstream) *hop.Pool
}

// Metrics records the results and times of requests.
type Metrics interface {
	RequestEnded(route, outcome string, took time.Duration)
	FirstEvent(route string, took time.Duration)
	// FirstEventEstimate compares the time from the choice of an engine to the first event
	// with the one that was expected.
	FirstEventEstimate(route string, expected, seen time.Duration)
	LoadWait(route string, took time.Duration)
	RepeatedSend(service, reason string)
	// Refusal counts an upstream's response that the request has not run, and
	// whether it names the request.
	Refusal(service string, identified bool)
	// ResponsesSkipped counts responses to other requests on a connection.
	ResponsesSkipped(service string, n int)
	// TurnDeclined counts a request that has found no room within an upstream's
	// rate limit.
	TurnDeclined(service string)
	// RequestWithheld counts a request that no engine gets because engines crash on it or
	// on a part of its prompt.
	RequestWithheld(service string)
	// WaitedForPlace counts a wait for a place at fragile replicas, and RepeatDecided a
	// decision of the retry budget on a repeated send.
	WaitedForPlace(service string, granted bool)
	RepeatDecided(service string, allowed bool)
	// RequestPassedOn counts a request that is passed on to another VM.
	RequestPassedOn(service string)
	// StreamTakenUp counts a stream that a caller takes up, and whether it is known
	// which software version began it.
	StreamTakenUp(service string, known bool)
}

// Origins remembers over all daemons which software version began a stream.
type Origins interface {
	// RecordOrigin records which version of a service began the stream of a request. It
	// does not block.
	RecordOrigin(service, request, softwareVersion string, ttl time.Duration)
	// FindOrigin returns the version that began the stream of a request, if any
	// daemon that can be reached knows it.
	FindOrigin(ctx context.Context, request string) (softwareVersion string, ok bool)
	// OnlySoftwareVersion returns the software version of all engines that a service has had
	// for as long as any stream lasts that callers take up, if there was only one. named is
	// set if the caller names an attempt whose origin is unknown: then the daemons must have
	// started too lately to know it.
	OnlySoftwareVersion(ctx context.Context, service string, named bool) (softwareVersion string, ok bool)
}

// Quarantine knows the prompt parts and the requests under which engines crash.
type Quarantine interface {
	// Judge decides whether a new request may reach an engine.
	Judge(request quarantine.Request) quarantine.Verdict
	// Recheck decides whether a request that may reach an engine by an earlier verdict
	// still may.
	Recheck(request quarantine.Request, earlier quarantine.Verdict) quarantine.Verdict
	// EngineAnswered records that an engine has just answered a request whole.
	EngineAnswered(id string, request quarantine.Request)
	// EngineFailed records that an engine failed a request, and reports whether the
	// engine's process has ended.
	EngineFailed(ctx context.Context, id string, upstream topology.Upstream, failure quarantine.Failure) (ended bool)
}

// Place is a place at a fragile replica. Release gives it up; ended is unset if the replica may
// still be at work on the request.
type Place struct {
	Upstream string
	Release  func(ended bool)
}

// Places hands out the places of replicas that fall over when they refuse too many requests.
type Places interface {
	// AcquirePlace waits until one of several replicas has a place for a request. It returns
	// false if there was none in time.
	AcquirePlace(ctx context.Context, upstreams []string, maxWait time.Duration) (Place, bool)
}

// Peers are the other VMs, to which requests are passed on while this VM reaches no
// upstream.
type Peers interface {
	// CutOff reports whether this VM reaches no upstream.
	CutOff() bool
	// ChooseVM returns a VM that reaches upstreams, other than those named, and the
	// connections to it; false if there is none.
	ChooseVM(except []string) (vm string, pool *hop.Pool, ok bool)
}

// Config holds the dependencies of a Relay.
type Config struct {
	Protocol Protocol
	Locator  *locator.Locator
	Pools    Pools
	// Budget returns the retry budget of a service. Now is the clock of its windows; nil for
	// clock.Boot, which changes of the wall clock don't affect.
	Budget     func(service string) *limit.RetryBudget
	Now        func() time.Time
	Metrics    Metrics
	Origins    Origins
	Quarantine Quarantine
	Peers      Peers
	Freshness  Freshness
	Quotas     Quotas
	Places     Places
	// Observe records what an upstream's answer says about later requests. sentAt is
	// when the request was sent, by clock.Boot, or 0 if the answer is a refusal or may
	// not be the upstream's own. answer names the answer in the log.
	Observe func(upstream topology.Upstream, statement topology.Statement, sentAt time.Duration, answer string)
	// MaxHeldBytes bounds what all requests together hold of upstreams' answers; 0 for
	// defaultMaxHeldBytes.
	MaxHeldBytes int64
	Log          *slog.Logger
}

// Relay serves callers' requests according to the routing table in force.
type Relay struct {
	config   Config
	log      *slog.Logger
	table    atomic.Pointer[routing.Table]
	draining atomic.Bool
	refusing atomic.Bool
	inFlight atomic.Int64
	// sending is the number of sends in progress, and passedOn that of requests of other
	// VMs in flight.
	sending    atomic.Int64
	passedOn   atomic.Int64
	beginnings beginnings
	estimates  estimates
	ending     *ending
	runTimes   runTimes
	// held bounds heldBytes.
	held *semaphore.Weighted
}

// New returns a Relay without a routing table.
func New(config Config) (*Relay, error) {
	if config.Protocol == nil || config.Locator == nil || config.Pools == nil || config.Budget == nil || config.Metrics == nil || config.Origins == nil || config.Quarantine == nil || config.Peers == nil || config.Freshness == nil || config.Quotas == nil || config.Places == nil || config.Observe == nil || config.Log == nil {
		return nil, errors.New("relay: a dependency is missing")
	}
	if config.Now == nil {
		config.Now = monotonicNow
	}
	held := semaphore.NewWeighted(cmp.Or(config.MaxHeldBytes, defaultMaxHeldBytes))
	return &Relay{config: config, log: config.Log.With("part", "relay"), estimates: newEstimates(), ending: newEnding(), held: held, runTimes: runTimes{byRoute: make(map[string]time.Duration)}}, nil
}

// SetTable puts a table in force for requests that arrive from now on. It
// returns false, and changes nothing, unless the table's version is newer than
// the one in force.
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

// InFlight returns the number of requests in flight.
func (r *Relay) InFlight() int64 {
	return r.inFlight.Load()
}

// retryAfterEnding is short: callers of a daemon that shuts down should retry
// at another one immediately.
const retryAfterEnding = 50 * time.Millisecond

// retryAfterNoConfig is sent while the daemon has no configuration.
const retryAfterNoConfig = 300 * time.Millisecond

// defaultCallTimeout applies to callers that state no timeout.
const defaultCallTimeout = 30 * time.Second

// Sending returns the number of sends to upstreams in progress.
func (r *Relay) Sending() int64 {
	return r.sending.Load()
}

// ServeHTTP implements http.Handler for requests of callers.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.serve(w, request, false)
}

func (r *Relay) serve(w http.ResponseWriter, request *http.Request, passedOn bool) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	arrived := time.Now()
	limitWriting(w, time.Time{}) // the connection may have carried another request
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	call, err := r.config.Protocol.DecodeRequest(request)
	if err != nil {
		r.log.Info("request rejected: can't decode the request", "error", err)
		r.config.Protocol.WriteError(w, &Call{}, http.StatusBadRequest, 0, err.Error())
		return
	}
	table := r.table.Load()
	body, status, err := readBodyUntil(w, request, table, arrived.Add(call.timeout()))
	if err != nil {
		r.log.Info("request rejected: can't read the body", "id", call.ID, "status", status, "error", err)
		if request.Context().Err() != nil && !errors.Is(err, errBodyLate) {
			panic(http.ErrAbortHandler)
		}
		r.config.Protocol.WriteError(w, call, status, 0, err.Error())
		return
	}
	// The body may have taken a while to arrive.
	table = r.table.Load()
	switch {
	case table == nil:
		r.log.Info("request refused: the daemon has no configuration yet", "id", call.ID)
		markUnreachable(w, passedOn)
		r.config.Protocol.WriteError(w, call, http.StatusServiceUnavailable, retryAfterNoConfig, "no configuration is known yet")
		return
	case r.refusing.Load():
		r.log.Info("request refused: the daemon is shutting down", "id", call.ID)
		markUnreachable(w, passedOn)
		r.config.Protocol.WriteError(w, call, http.StatusServiceUnavailable, retryAfterEnding, "the daemon is ending")
		return
	}
	route := table.Match(call.Host, call.Path)
	if route == nil {
		r.log.Info("request rejected: no route matches", "id", call.ID, "host", call.Host, "path", call.Path, "version", table.Version())
		r.config.Protocol.WriteError(w, call, http.StatusNotFound, 0, "no route matches")
		return
	}
	e := newExchange(r, w, request, call, table, route, body, arrived, passedOn)
	limitWriting(w, e.deadline.Add(lastWriteTime))
	defer e.finish()
	e.serve()
}

// lastWriteTime is how long after a request's deadline its answer may still be written.
const lastWriteTime = time.Second

// limitWriting sets the time until which an answer may be written; zero for no limit. A caller that
// has vanished, or reads nothing, would hold its request for many minutes otherwise.
func limitWriting(w http.ResponseWriter, until time.Time) {
	// Writers without a connection of their own, as in tests, have no deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(until)
}

var errBodyTooLarge = errors.New("the body exceeds the limit")

// readBodyUntil reads the complete body of a request like readBody, until the caller's time is
// over: one that sends a byte now and then would hold the request for as long as it likes.
func readBodyUntil(w http.ResponseWriter, request *http.Request, table *routing.Table, deadline time.Time) ([]byte, int, error) {
	if request.ContentLength == 0 {
		return nil, 0, nil
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return readBody(w, request, table) // no connection of its own, as in tests
	}
	body, status, err := readBody(w, request, table)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The rest of the body may follow, so the connection can't be used again.
		w.Header().Set("Connection", "close")
		return nil, http.StatusRequestTimeout, errBodyLate
	}
	if err != nil {
		return nil, status, err
	}
	return body, status, controller.SetReadDeadline(time.Time{})
}

var errBodyLate = errors.New("the body has not arrived within the request's time")

// readBody reads the complete body of a request, up to the limit in force.
func readBody(w http.ResponseWriter, request *http.Request, table *routing.Table) ([]byte, int, error) {
	limit := int64(defaultMaxBodyBytes)
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

// defaultMaxBodyBytes applies while no configuration states a limit.
const defaultMaxBodyBytes = 1 << 20

func callerDisconnected(request *http.Request) bool {
	return errors.Is(request.Context().Err(), context.Canceled)
}
