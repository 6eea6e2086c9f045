package locator

import (
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/topology"
)

// RecordFragility records what an answer of an upstream says about the refusals that the
// upstreams of its service bear, and reports whether that begins or ends their fragility.
// sentAt is when the request was sent; 0 if the answer need not say it.
func (l *Locator) RecordFragility(service string, statement topology.Statement, sentAt time.Duration) (changed bool) {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.fragile[service]
	before := known.Applies(now)
	switch {
	case statement.HasMaxRefusals:
		known = known.Stated(now, statement.MaxRefusals)
	case ok && sentAt > 0:
		known = known.Ended(now, sentAt)
	default:
		return false
	}
	l.fragile[service] = known
	return before != known.Applies(now)
}

// RecordFragilityElsewhere records that an answer at another daemon has named a maximum some
// time ago, and reports whether that begins the fragility of the upstreams of a service.
func (l *Locator) RecordFragilityElsewhere(service string, maxRefusals int, age time.Duration) (changed bool) {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services[service] == nil {
		return false
	}
	known := l.fragile[service]
	before := known.Applies(now)
	known = known.Stated(now-age, maxRefusals)
	l.fragile[service] = known
	return before != known.Applies(now)
}

// FragileService is a service whose upstreams are fragile.
type FragileService struct {
	Service     string
	MaxRefusals int
	// Age is how long ago an answer last said so.
	Age time.Duration
}

// FragileServices returns the services whose upstreams are fragile.
func (l *Locator) FragileServices() []FragileService {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	var services []FragileService
	for service, known := range l.fragile {
		if known.Applies(now) {
			services = append(services, FragileService{Service: service, MaxRefusals: known.MaxRefusals, Age: now - known.StatedAt()})
		}
	}
	return services
}

// FragilityPause returns how long all daemons should keep from an upstream that has refused
// a request, and the refusals that it bears; 0 if it is not fragile or that pause has begun.
func (l *Locator) FragilityPause(upstream topology.Upstream) (pause time.Duration, maxRefusals int) {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[upstream.ID]
	known := l.fragile[upstream.Service]
	if v == nil || v.upstream.Incarnation != upstream.Incarnation || !known.Applies(now) || v.pause.Active(now) {
		return 0, 0
	}
	return known.Pause(), known.MaxRefusals
}

// IsFragile reports whether the upstreams of a service are fragile.
func (l *Locator) IsFragile(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fragile[service].Applies(clock.Boot())
}
