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
	// OrderPressure grants the request with the greatest pressure.
	OrderPressure Order = iota
	// OrderArrival grants the oldest request. It is a baseline.
	OrderArrival
)

const (
	defaultLease    = 5 * time.Second
	pressurePerWait = 1.0 // pressure that a request gains each second by itself
)

// Config sets the limits of one weight store.
type Config struct {
	// LoadsPerSecond is the rate at which the store serves loads.
	LoadsPerSecond float64
	// Concurrent is the number of loads that the store serves at full speed.
	Concurrent int
	// Lease is how long a permit lives without a renewal; 0 means 5 s.
	Lease time.Duration
	Order Order
}

// ConfigError tells which field of a Config is not valid.
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
	// Holder names the daemon that asks.
	Holder  string
	Engine  string
	Adapter call.AdapterRef
	// Pressure is the sum of (urgency + 1) × seconds waited over the calls
	// that wait for the adapter.
	Pressure float64
}

// Granter decides who may load next from one weight store. It is not safe for
// concurrent use.
type Granter struct {
	cfg     Config
	waiting map[string]*waiting
	held    map[string]*held
	// blockedUntil ends the time in which a former granter's permits may be
	// outstanding without this granter knowing them.
	blockedUntil time.Time
	tokens       float64
	refilled     time.Time
	sequence     uint64
}

type waiting struct {
	Request
	asked    time.Time
	sequence uint64
}

type held struct {
	Request
	expires time.Time
}

// NewGranter returns a granter for one store. A granter that takes over from
// another grants nothing before quietUntil, the last moment at which a permit
// of the other may be outstanding, but counts permits that Adopt reports.
func NewGranter(now time.Time, cfg Config, quietUntil time.Time) (*Granter, error) {
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
		cfg:          cfg,
		waiting:      make(map[string]*waiting),
		held:         make(map[string]*held),
		blockedUntil: quietUntil,
		tokens:       float64(cfg.Concurrent),
		refilled:     now,
	}, nil
}

// Submit adds a request or updates the pressure of one that waits. A request
// that holds a permit already is left as it is.
func (g *Granter) Submit(now time.Time, r Request) {
	if _, ok := g.held[r.ID]; ok {
		return
	}
	if w, ok := g.waiting[r.ID]; ok {
		w.Pressure = r.Pressure
		w.asked = now
		return
	}
	g.sequence++
	g.waiting[r.ID] = &waiting{Request: r, asked: now, sequence: g.sequence}
}

// Adopt counts a permit that a former granter gave out.
func (g *Granter) Adopt(now time.Time, r Request) {
	delete(g.waiting, r.ID)
	g.held[r.ID] = &held{Request: r, expires: now.Add(g.cfg.Lease)}
}

// Renew extends the lease of a permit; false if it is not held any more.
func (g *Granter) Renew(now time.Time, id string) bool {
	h, ok := g.held[id]
	if !ok || h.expires.Before(now) {
		return false
	}
	h.expires = now.Add(g.cfg.Lease)
	return true
}

// Release ends a permit or a request, whichever the ID names.
func (g *Granter) Release(id string) {
	delete(g.waiting, id)
	delete(g.held, id)
}

// Grant gives out the permits that the store allows now, the most urgent
// first, and returns them.
func (g *Granter) Grant(now time.Time) []Request {
	g.refill(now)
	g.expire(now)
	if now.Before(g.blockedUntil) {
		return nil
	}
	var granted []Request
	for len(g.waiting) > 0 && len(g.held) < g.cfg.Concurrent && g.tokens >= 1 {
		w := g.first(now)
		g.tokens--
		delete(g.waiting, w.ID)
		g.held[w.ID] = &held{Request: w.Request, expires: now.Add(g.cfg.Lease)}
		granted = append(granted, w.Request)
	}
	return granted
}

// refill adds rate tokens up to one for each concurrent load.
func (g *Granter) refill(now time.Time) {
	earned := now.Sub(g.refilled).Seconds() * g.cfg.LoadsPerSecond
	if earned <= 0 {
		return
	}
	g.tokens = min(g.tokens+earned, float64(g.cfg.Concurrent))
	g.refilled = now
}

func (g *Granter) expire(now time.Time) {
	for id, h := range g.held {
		if h.expires.Before(now) {
			delete(g.held, id)
		}
	}
}

// first returns the waiting request to grant next.
func (g *Granter) first(now time.Time) *waiting {
	var best *waiting
	for _, w := range g.waiting {
		if best == nil || g.before(now, w, best) {
			best = w
		}
	}
	return best
}

func (g *Granter) before(now time.Time, a, b *waiting) bool {
	if g.cfg.Order == OrderPressure {
		pa, pb := a.pressureAt(now), b.pressureAt(now)
		if pa != pb {
			return pa > pb
		}
	}
	return a.sequence < b.sequence
}

// pressureAt lets a request grow more urgent between two updates.
func (w *waiting) pressureAt(now time.Time) float64 {
	return w.Pressure + pressurePerWait*now.Sub(w.asked).Seconds()
}

// NextWakeup returns when Grant may next give out a permit or expire one without
// another event, false if only an event can change anything.
func (g *Granter) NextWakeup(now time.Time) (time.Time, bool) {
	if len(g.waiting) == 0 {
		return time.Time{}, false
	}
	if now.Before(g.blockedUntil) {
		return g.blockedUntil, true
	}
	if len(g.held) >= g.cfg.Concurrent {
		return g.firstExpiry(), true
	}
	missing := max(1-g.tokens, 0) / g.cfg.LoadsPerSecond
	return g.refilled.Add(time.Duration(math.Ceil(missing * float64(time.Second)))), true
}

// firstExpiry returns the first moment at which a held permit has expired.
func (g *Granter) firstExpiry() time.Time {
	var first time.Time
	for _, h := range g.held {
		if first.IsZero() || h.expires.Before(first) {
			first = h.expires
		}
	}
	return first.Add(time.Nanosecond)
}

// Waiting returns the number of requests that wait.
func (g *Granter) Waiting() int { return len(g.waiting) }

// Held returns the number of permits that are out.
func (g *Granter) Held() int { return len(g.held) }

// SetLimits changes the store's rate and concurrency when the configuration
// in force says so. Permits that are out stay out.
func (g *Granter) SetLimits(now time.Time, loadsPerSecond float64, concurrent int) {
	g.refill(now)
	g.cfg.LoadsPerSecond = loadsPerSecond
	g.cfg.Concurrent = max(concurrent, 1)
	g.tokens = min(g.tokens, float64(g.cfg.Concurrent))
}
