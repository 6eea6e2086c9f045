package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/limit"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
	"github.com/barleylift/barleylift/internal/status"
)

// Runner executes model calls on engines that this daemon owns.
type Runner interface {
	Run(ctx context.Context, m call.ModelRequest, sink call.Sink) call.Result
}

// Locator finds the engines that can serve a call.
type Locator interface {
	Locate(ctx context.Context, adapter call.AdapterRef) []string
	Invalidate(adapter call.AdapterRef)
}

// Config holds the dependencies of a Handler.
type Config struct {
	Snapshot func() *catalog.Snapshot
	// ConfigFresh reports whether the configuration is recent enough to serve
	// calls.
	ConfigFresh func() bool
	View        ownership.View
	Caller      peer.Caller
	Runner      Runner
	Locator     Locator
	// Plain serves the routes to plain services.
	Plain http.Handler
	// Limiter enforces the limits of each customer under each profile.
	Limiter *limit.Limiter
	Status  func() status.Daemon
	Metrics *metrics.Set
	Log     *slog.Logger
	// EntriesMaxAge is how long callers may cache a response of GET /v1/entries.
	EntriesMaxAge time.Duration
	// MaxBodyBytes limits the body of a model call.
	MaxBodyBytes int64
	// MaxInFlight limits the calls in flight at this daemon.
	MaxInFlight int
}

func (c Config) check() error {
	required := []struct {
		field   string
		missing bool
	}{
		{"Snapshot", c.Snapshot == nil},
		{"ConfigFresh", c.ConfigFresh == nil},
		{"View", c.View == nil},
		{"Caller", c.Caller == nil},
		{"Runner", c.Runner == nil},
		{"Locator", c.Locator == nil},
		{"Plain", c.Plain == nil},
		{"Limiter", c.Limiter == nil},
		{"Status", c.Status == nil},
		{"Metrics", c.Metrics == nil},
		{"Log", c.Log == nil},
		{"EntriesMaxAge", c.EntriesMaxAge <= 0},
		{"MaxBodyBytes", c.MaxBodyBytes <= 0},
		{"MaxInFlight", c.MaxInFlight <= 0},
	}
	for _, r := range required {
		if r.missing {
			return errors.New("entry: " + r.field + " is missing")
		}
	}
	return nil
}
