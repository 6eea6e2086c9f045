package permit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/owner"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
)

const (
	// retryInterval is the time between two attempts to reach a granter.
	retryInterval = 200 * time.Millisecond
	// fallbackDelay is how long a store's granter must be unreachable before a
	// daemon loads at its own share of the store's rate.
	fallbackDelay = 3 * time.Second
	// fallbackRecheckInterval is the time after which a request that waits at the
	// fallback granter tries the store's owner again.
	fallbackRecheckInterval = 5 * time.Second
)

// PressureFunc returns the sum of (urgency + 1) × seconds waited over the
// calls that wait for an adapter on an engine now.
type PressureFunc func(engine string, adapter call.AdapterRef) float64

// ClientConfig holds what a Client needs. Only Pressure may be nil.
type ClientConfig struct {
	View   ownership.View
	Caller peer.Caller
	// Service is that of this daemon, which grants for the stores it owns.
	Service *Service
	Stores  StoreFunc
	Logger  *slog.Logger
	// Pressure returns the current pressure of a waiting request, for updates
	// to the granter; if it is nil, a request's pressure grows by 1 per second.
	Pressure PressureFunc
}

func (c ClientConfig) check() error {
	for _, required := range []struct {
		field   string
		missing bool
	}{
		{"View", c.View == nil},
		{"Caller", c.Caller == nil},
		{"Service", c.Service == nil},
		{"Stores", c.Stores == nil},
		{"Logger", c.Logger == nil},
	} {
		if required.missing {
			return &ConfigError{Field: required.field, Reason: "is required"}
		}
	}
	return nil
}

// Client acquires permits from the daemon that owns a weight store. It
// implements owner.Permits and is safe for concurrent use.
type Client struct {
	cfg    ClientConfig
	logger *slog.Logger

	// mu guards all below. It is locked before a storeGranter's mu.
	mu               sync.Mutex
	fallbackGranters map[string]*storeGranter
	// unreachableSince is, by store, when its granter became unreachable.
	unreachableSince map[string]time.Time
}

var _ owner.Permits = (*Client)(nil)

// NewClient returns a client, or an error that names the field.
func NewClient(cfg ClientConfig) (*Client, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Client{
		cfg:              cfg,
		logger:           cfg.Logger.With("part", "permit"),
		fallbackGranters: make(map[string]*storeGranter),
		unreachableSince: make(map[string]time.Time),
	}, nil
}

// Stop stops the fallback granters. Held permits stay valid.
func (c *Client) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range c.fallbackGranters {
		g.stop()
	}
}

// Acquire waits for a permit. If the granter is lost, the request registers at
// its successor; it loses its place among equals but keeps its pressure. When no
// granter has been reachable for fallbackDelay, the request waits at a fallback
// granter of this daemon, which grants at the store's rate divided by the number
// of members. The only error is that of ctx.
func (c *Client) Acquire(ctx context.Context, r owner.PermitRequest) (owner.Permit, error) {
	startedAt := time.Now()
	initial := r.Pressure
	for {
		r.Pressure = c.pressure(r, initial, startedAt)
		permit, err := c.attempt(ctx, r)
		if permit != nil || err != nil {
			return permit, err
		}
		if !clock.Sleep(ctx, retryInterval) {
			return nil, ctx.Err()
		}
	}
}

// pressure returns a request's pressure now, given an earlier value and its time.
func (c *Client) pressure(r owner.PermitRequest, earlier float64, at time.Time) float64 {
	if c.cfg.Pressure != nil {
		return c.cfg.Pressure(r.Engine, r.Adapter)
	}
	return earlier + pressurePerSecond*time.Since(at).Seconds()
}

// attempt registers at the store's granter or, if that granter has been
// unreachable for fallbackDelay, at the fallback granter, and waits there. It
// returns neither a permit nor an error if there was nowhere to register, the
// registration was lost or the wait at the fallback reached
// fallbackRecheckInterval.
func (c *Client) attempt(ctx context.Context, r owner.PermitRequest) (owner.Permit, error) {
	startedAt := time.Now()
	if reg := c.registerAtOwner(ctx, r, false); reg != nil {
		permit, err := c.await(ctx, reg, r, 0)
		c.recordReachability(r.Store, permit != nil || time.Since(startedAt) >= retryInterval)
		return permit, err
	}
	if ctx.Err() != nil || !c.recordReachability(r.Store, false) {
		return nil, ctx.Err()
	}
	g := c.fallbackGranter(r.Store)
	if g == nil {
		return nil, nil
	}
	return c.await(ctx, registerLocally(g, c.cfg.View.Self().Name, r, false), r, fallbackRecheckInterval)
}

// recordReachability records whether a store's granter was reached, and reports
// whether it has been unreachable for fallbackDelay.
func (c *Client) recordReachability(store string, reached bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reached {
		delete(c.unreachableSince, store)
		return false
	}
	since, ok := c.unreachableSince[store]
	if !ok {
		c.unreachableSince[store] = time.Now()
		return false
	}
	return time.Since(since) >= fallbackDelay
}

// registerAtOwner registers at the store's owner. It returns nil if there is
// none or it is unreachable.
func (c *Client) registerAtOwner(ctx context.Context, r owner.PermitRequest, held bool) registration {
	if g, ok := c.cfg.Service.granter(r.Store); ok {
		return registerLocally(g, c.cfg.View.Self().Name, r, held)
	}
	storeOwner, ok := c.cfg.View.Owner(ownership.KindPermits, r.Store)
	if !ok || storeOwner.Member == c.cfg.View.Self().Name {
		return nil
	}
	reg, err := registerRemotely(ctx, c.cfg.Caller, storeOwner.PeerAddress, r, held)
	if err != nil {
		c.logger.Debug("permit granter not reachable", "store", r.Store, "owner", storeOwner.Member, "error", err)
		return nil
	}
	return reg
}

// fallbackGranter returns this daemon's fallback granter for a store, creating
// it if needed; nil if the store's limits are missing or not valid.
func (c *Client) fallbackGranter(name string) *storeGranter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g, ok := c.fallbackGranters[name]; ok {
		return g
	}
	g, err := newStoreGranter(c.fallbackLimits(name), leaseDuration, 0)
	if err != nil {
		return nil
	}
	c.logger.Warn("no permit granter reachable; loading at this daemon's share of the store's rate", "store", name)
	c.fallbackGranters[name] = g
	return g
}

// fallbackLimits returns the limits of a fallback granter: the store's rate
// divided by the number of members, and one load at a time.
func (c *Client) fallbackLimits(name string) limitsFunc {
	return func() (float64, int, bool) {
		configured, ok := c.cfg.Stores(name)
		members := max(len(c.cfg.View.Members()), 1)
		return configured.LoadsPerSecond / float64(members), 1, ok
	}
}

// await waits until the permit is granted, and returns the held permit. It ends
// the registration if that is lost, maxWait (0 for none) has passed or ctx has
// ended; the error is that of ctx.
func (c *Client) await(ctx context.Context, reg registration, r owner.PermitRequest, maxWait time.Duration) (owner.Permit, error) {
	startedAt := time.Now()
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	var timeout <-chan time.Time
	if maxWait > 0 {
		timer := time.NewTimer(maxWait)
		defer timer.Stop()
		timeout = timer.C
	}
	for {
		select {
		case <-reg.granted():
			return c.hold(r, reg), nil
		case <-reg.lost():
			reg.end()
			return nil, nil
		case <-timeout:
			reg.end()
			return nil, nil
		case <-ctx.Done():
			reg.end()
			return nil, ctx.Err()
		case <-renew.C:
			reg.renew(c.pressure(r, r.Pressure, startedAt))
		}
	}
}
