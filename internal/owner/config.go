package owner

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/queue"
	"github.com/barleylift/barleylift/internal/upstream"
)

// Defaults of a Config.
const (
	defaultWorkers          = 32
	defaultReportInterval   = 500 * time.Millisecond
	defaultMaxDeliveryDelay = 5 * time.Second
	defaultTakeoverMargin   = 2 * time.Second
	defaultVMListLag        = 60 * time.Second
	defaultMaxLoads         = 4
)

// Config configures a Pool.
type Config struct {
	KV   infra.KV
	View ownership.View
	// Permits grants load permits. If it is nil, loads need no permit.
	Permits Permits
	// Snapshot returns the current configuration.
	Snapshot func() *catalog.Snapshot
	Metrics  *metrics.Set
	Log      *slog.Logger
	// Workers is the number of goroutines that execute tasks.
	Workers int
	// ReportInterval is the time between two requests for an engine's report.
	ReportInterval time.Duration
	// MaxDeliveryDelay is the longest time after the loss of a connection at
	// which something sent on it can still take effect at the engine.
	MaxDeliveryDelay time.Duration
	// TakeoverMargin is the minimum time between a takeover and the first
	// unload.
	TakeoverMargin time.Duration
	// VMListLag bounds how late a new VM appears in the platform's list.
	VMListLag time.Duration
	// MaxLoads bounds the number of loads that are prepared or run at one
	// engine at the same time.
	MaxLoads int
	// Queue sets the rules of each engine's queue.
	Queue queue.Config
	// Release releases the ownership of an engine, so a successor can take over
	// while this daemon drains. If it is nil, the ownership is kept until the
	// lease ends.
	Release func(ctx context.Context, engine string) error
	// OwnerKey returns the key of an engine's owner in the key-value service.
	OwnerKey func(engine string) string
	// Client creates the client of an engine. If it is nil, a client with
	// default settings is created.
	Client func(engine catalog.Engine) (*upstream.EngineClient, error)
}

// ConfigError reports an invalid field of a Config.
type ConfigError struct {
	Field  string
	Reason string
}

// Error names the field and the reason.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("owner: %s %s", e.Field, e.Reason)
}

func (c *Config) check() error {
	required := []struct {
		field   string
		missing bool
	}{
		{"KV", c.KV == nil},
		{"View", c.View == nil},
		{"Snapshot", c.Snapshot == nil},
		{"Metrics", c.Metrics == nil},
		{"Log", c.Log == nil},
	}
	for _, r := range required {
		if r.missing {
			return &ConfigError{Field: r.field, Reason: "is required"}
		}
	}
	return nil
}

func (c *Config) setDefaults() {
	setDefault(&c.Workers, defaultWorkers)
	setDefault(&c.MaxLoads, defaultMaxLoads)
	setDefault(&c.ReportInterval, defaultReportInterval)
	setDefault(&c.MaxDeliveryDelay, defaultMaxDeliveryDelay)
	setDefault(&c.TakeoverMargin, defaultTakeoverMargin)
	setDefault(&c.VMListLag, defaultVMListLag)
	if c.OwnerKey == nil {
		c.OwnerKey = defaultOwnerKey
	}
	if c.Client == nil {
		c.Client = c.defaultClient
	}
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

func defaultOwnerKey(engine string) string {
	return "owners/" + string(ownership.KindEngine) + "/" + engine
}

func (c *Config) defaultClient(engine catalog.Engine) (*upstream.EngineClient, error) {
	return upstream.NewEngineClient(upstream.EngineClientConfig{Engine: engine, OnResponseDropped: c.Metrics.DroppedResponse})
}
