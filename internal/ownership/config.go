package ownership

import (
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
)

// The defaults of a Config.
const (
	DefaultLeaseTTL       = 15 * time.Second
	DefaultMargin         = 3 * time.Second
	DefaultTakeoverStep   = time.Second
	DefaultFleetWriteRate = 200
	DefaultGroupSize      = 32
	// renewalsPerTTL is the number of renewals in one time to live.
	renewalsPerTTL = 3
	// maxGroupSize keeps a transaction, with the member key, below the 128
	// operations that an etcd service allows.
	maxGroupSize = 100
)

// Config configures a Manager. Zero durations and sizes mean the defaults.
type Config struct {
	KV   infra.KV
	Self Member
	// LeaseTTL is the time to live of the daemon's lease, in whole seconds.
	LeaseTTL time.Duration
	// Margin is how long before its expiry the daemon treats its lease as
	// invalid.
	Margin time.Duration
	// RenewInterval is the least time between renewals; up to a tenth is added at
	// random. 0 means a third of LeaseTTL.
	RenewInterval time.Duration
	// TakeoverStep is the unit of the delay before a member creates the key of a
	// free resource: a member of rank r, counted from 0, waits log2(1+r) steps.
	TakeoverStep time.Duration
	// FleetWriteRate limits the rate at which all daemons together create keys,
	// in writes a second.
	FleetWriteRate float64
	// GroupSize is the greatest number of owner keys in one transaction.
	GroupSize int
	// RegionOf returns the region of a zone; nil means that regions are learned
	// from the members.
	RegionOf func(zone string) string
	Listener Listener
	// Log receives the messages; nil means slog.Default.
	Log *slog.Logger
}

func (c Config) withDefaults() Config {
	if c.LeaseTTL == 0 {
		c.LeaseTTL = DefaultLeaseTTL
	}
	if c.Margin == 0 {
		c.Margin = min(DefaultMargin, c.LeaseTTL/renewalsPerTTL)
	}
	if c.RenewInterval == 0 {
		c.RenewInterval = c.LeaseTTL / renewalsPerTTL
	}
	if c.TakeoverStep == 0 {
		c.TakeoverStep = DefaultTakeoverStep
	}
	if c.FleetWriteRate == 0 {
		c.FleetWriteRate = DefaultFleetWriteRate
	}
	if c.GroupSize == 0 {
		c.GroupSize = DefaultGroupSize
	}
	if c.Log == nil {
		c.Log = slog.Default()
	}
	return c
}

// validate returns an error that names the first invalid field.
func (c Config) validate() error {
	switch {
	case c.KV == nil:
		return errors.New("kv: is required")
	case c.Listener == nil:
		return errors.New("listener: is required")
	case c.Self.Name == "" || strings.Contains(c.Self.Name, "/"):
		return errors.New("self.name: must be non-empty and without a slash")
	case c.LeaseTTL < time.Second || c.LeaseTTL%time.Second != 0:
		return errors.New("lease ttl: must be whole seconds")
	case c.Margin < 0 || c.RenewInterval <= 0 || c.RenewInterval+c.Margin >= c.LeaseTTL:
		return errors.New("margin: must not be negative and, added to a positive renewal interval, must be below the lease ttl")
	case c.TakeoverStep < 0:
		return errors.New("takeover step: must not be negative")
	case c.FleetWriteRate < 0:
		return errors.New("fleet write rate: must not be negative")
	case c.GroupSize < 1 || c.GroupSize > maxGroupSize:
		return errors.New("group size: must be between 1 and 100")
	}
	return nil
}
