package locator

import (
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/fragility"
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
		known = known.Ended(sentAt)
	}
	if known == (fragility.Fragility{}) {
		delete(l.fragile, service)
	} else {
		l.fragile[service] = known
	}
	return before != known.Applies(now)
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
