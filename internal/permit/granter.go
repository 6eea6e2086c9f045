package permit

import (
	"fmt"
	"math"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// Order is the order in which waiting requests are granted.
type Order int

// The grant orders.
const (
	// OrderPressure grants the request with the greatest pressure first.
	OrderPressure Order = iota
	// OrderArrival grants the oldest request first. It is a baseline for
	// comparisons.
	OrderArrival
)

const (
	defaultLease      = 5 * time.Second
	pressurePerSecond = 1.0 // growth of a waiting request's pressure between updates
)

// Config sets the limits of one weight store.
type Config struct {
	// LoadsPerSecond is the rate at which the store serves loads.
	LoadsPerSecond float64
	// Concurrent is the number of loads that the store serves at full speed.
	Concurrent int
	// Lease is how long a permit is valid without a renewal; 0 means 5 s.
	Lease time.Duration
	Order Order
}

// ConfigError reports a field of a Config or ClientConfig that is not valid.
type ConfigError struct {
	Field  string
	Reason string
}

// Error names the field and the reason.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("permit: %s %s", e.Field, e.Reason)
}

// Request asks for a permit to load one adapter on one engine.
type Request struct {
	// ID identifies the request; a second request with the same ID replaces
	// the pressure of the first.
	ID string
	// Holder is the name of the daemon that requests the permit.
	Holder  string
	Engine  string
	Adapter call.AdapterRef
	// Pressure is the sum of (urgency + 1) × seconds waited over the calls
	// that wait for the adapter.
	Pressure float64
}

// Granter decides which requests may load from one weight store. It is not safe
// for concurrent use.
type Granter struct {
	cfg     Config
	waiting map[string]*waitingRequest
	held    map[string]*heldPermit
	// grantNotBefore is the end of the time in which permits of a previous
	// granter may be outstanding that are not yet registered here.
	grantNotBefore time.Time
	tokens         float64
	refilledAt     time.Time
	sequence       uint64
}

type waitingRequest struct {
	Request
	updatedAt time.Time
	sequence  uint64
}

type heldPermit struct {
	Request
	expiresAt time.Time
}

// NewGranter returns a granter for one store. A granter that succeeds another
// grants nothing before grantNotBefore, the last time at which a permit of its
// predecessor may be outstanding and not registered; it counts the permits that
// holders register with AddHeld.
func NewGranter(now time.Time, cfg Config, grantNotBefore time.Time) (*Granter, error) {
	if !(cfg.LoadsPerSecond > 0) || math.IsInf(cfg.LoadsPerSecond, 0) {
		return nil, &ConfigError{Field: "LoadsPerSecond", Reason: "must be a positive number"}
	}
	if cfg.Concurrent < 1 {
		return nil, &ConfigError{Field: "Concurrent", Reason: "must be at least 1"}
	}
	if cfg.Lease <= 0 {
		cfg.Lease = defaultLease
	}
	return &Granter{
		cfg:            cfg,
		waiting:        make(map[string]*waitingRequest),
		held:           make(map[string]*heldPermit),
		grantNotBefore: grantNotBefore,
		tokens:         float64(cfg.Concurrent),
		refilledAt:     now,
	}, nil
}

// Submit adds a request or updates the pressure of a waiting one. It has no
// effect on a request that already holds a permit.
func (g *Granter) Submit(now time.Time, r Request) {
	if _, ok := g.held[r.ID]; ok {
		return
	}
	if w, ok := g.waiting[r.ID]; ok {
		w.Pressure = r.Pressure
		w.updatedAt = now
		return
	}
	g.sequence++
	g.waiting[r.ID] = &waitingRequest{Request: r, updatedAt: now, sequence: g.sequence}
}

// AddHeld counts a permit that a previous granter granted.
func (g *Granter) AddHeld(now time.Time, r Request) {
	delete(g.waiting, r.ID)
	g.held[r.ID] = &heldPermit{Request: r, expiresAt: now.Add(g.cfg.Lease)}
}

// Renew extends the lease of a permit; it returns false if the permit is no
// longer held.
func (g *Granter) Renew(now time.Time, id string) bool {
	h, ok := g.held[id]
	if !ok || h.expiresAt.Before(now) {
		return false
	}
	h.expiresAt = now.Add(g.cfg.Lease)
	return true
}

// Release removes the permit or request with the ID.
func (g *Granter) Release(id string) {
	delete(g.waiting, id)
	delete(g.held, id)
}

// Grant grants the permits that the store's limits allow now, in the configured
// order, and returns them.
func (g *Granter) Grant(now time.Time) []Request {
	g.refill(now)
	g.expire(now)
	if now.Before(g.grantNotBefore) {
		return nil
	}
	var granted []Request
	for len(g.waiting) > 0 && len(g.held) < g.cfg.Concurrent && g.tokens >= 1 {
		w := g.next(now)
		g.tokens--
		delete(g.waiting, w.ID)
		g.held[w.ID] = &heldPermit{Request: w.Request, expiresAt: now.Add(g.cfg.Lease)}
		granted = append(granted, w.Request)
	}
	return granted
}

// refill adds the rate tokens earned since the last refill, up to one for each
// concurrent load.
func (g *Granter) refill(now time.Time) {
	earned := now.Sub(g.refilledAt).Seconds() * g.cfg.LoadsPerSecond
	if earned <= 0 {
		return
	}
	g.tokens = min(g.tokens+earned, float64(g.cfg.Concurrent))
	g.refilledAt = now
}

func (g *Granter) expire(now time.Time) {
	for id, h := range g.held {
		if h.expiresAt.Before(now) {
			delete(g.held, id)
		}
	}
}

// next returns the waiting request to grant next.
func (g *Granter) next(now time.Time) *waitingRequest {
	var best *waitingRequest
	for _, w := range g.waiting {
		if best == nil || g.precedes(now, w, best) {
			best = w
		}
	}
	return best
}

func (g *Granter) precedes(now time.Time, a, b *waitingRequest) bool {
	if g.cfg.Order == OrderPressure {
		pa, pb := a.pressureAt(now), b.pressureAt(now)
		if pa != pb {
			return pa > pb
		}
	}
	return a.sequence < b.sequence
}

// pressureAt returns the pressure at now, which grows between two updates.
func (w *waitingRequest) pressureAt(now time.Time) float64 {
	return w.Pressure + pressurePerSecond*now.Sub(w.updatedAt).Seconds()
}

// NextWakeup returns the next time at which Grant may grant or expire a permit
// without another event; false if only an event can lead to a grant.
func (g *Granter) NextWakeup(now time.Time) (time.Time, bool) {
	if len(g.waiting) == 0 {
		return time.Time{}, false
	}
	if now.Before(g.grantNotBefore) {
		return g.grantNotBefore, true
	}
	if len(g.held) >= g.cfg.Concurrent {
		return g.earliestExpiry(), true
	}
	missing := max(1-g.tokens, 0) / g.cfg.LoadsPerSecond
	return g.refilledAt.Add(time.Duration(math.Ceil(missing * float64(time.Second)))), true
}

// earliestExpiry returns the earliest time at which a held permit has expired.
func (g *Granter) earliestExpiry() time.Time {
	var first time.Time
	for _, h := range g.held {
		if first.IsZero() || h.expiresAt.Before(first) {
			first = h.expiresAt
		}
	}
	return first.Add(time.Nanosecond)
}

// Waiting returns the number of waiting requests.
func (g *Granter) Waiting() int { return len(g.waiting) }

// Held returns the number of held permits.
func (g *Granter) Held() int { return len(g.held) }

// SetLimits changes the store's rate and concurrency. Held permits stay held,
// even if they exceed the new concurrency.
func (g *Granter) SetLimits(now time.Time, loadsPerSecond float64, concurrent int) {
	g.refill(now)
	g.cfg.LoadsPerSecond = loadsPerSecond
	g.cfg.Concurrent = max(concurrent, 1)
	g.tokens = min(g.tokens, float64(g.cfg.Concurrent))
}
