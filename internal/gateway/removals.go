package gateway

import (
	"time"

	"github.com/barleylift/barleylift/internal/clock"
)

// registrationGrace is how long after the recovery of the key-value service a
// missing registration may still be renewed: those that expired during the
// outage are renewed within about 2 s.
const registrationGrace = 2200 * time.Millisecond

// removal is the removal of an upstream that has no valid registration.
type removal struct {
	// due is when the upstream counts as gone, by clock.Boot.
	due time.Duration
	// needsProof is set shortly after an outage: that the registration has not been renewed is
	// known once the copy is complete as of due.
	needsProof bool
}

// newRemoval returns the removal of an upstream whose registration is missing at now. regainedAt is
// when the service was last found back. While it is disconnected, another daemon has forwarded
// the removal as the service came back.
func newRemoval(now, regainedAt time.Duration, disconnected bool) removal {
	due := max(regainedAt+registrationGrace, now)
	if disconnected {
		due = now + registrationGrace
	}
	return removal{due: due, needsProof: due > now}
}

// isOver reports whether the upstream counts as gone, given that the copy is complete as of asOf.
func (r removal) isOver(now, asOf time.Duration) bool {
	return now >= r.due && (!r.needsProof || asOf >= r.due)
}

// lacksProof reports whether the removal waits for a proof only.
func (r removal) lacksProof(now, asOf time.Duration) bool {
	return now >= r.due && !r.isOver(now, asOf)
}

// applyRemoval schedules the removal of an upstream without a valid registration.
func (g *Gateway) applyRemoval(id string) {
	now := clock.Boot()
	r := newRemoval(now, time.Duration(g.storeRegainedAt.Load()), g.storeDisconnected())
	g.mu.Lock()
	_, registered := g.upstreams[id]
	if registered {
		g.removals[id] = r
	}
	g.mu.Unlock()
	if !registered {
		return
	}
	g.log.Info("upstream has no valid registration, removal scheduled", "upstream", id, "counts_as_gone_in_ms", (r.due - now).Milliseconds(), "needs_proof", r.needsProof)
	g.removeExpired()
	if r.needsProof {
		time.AfterFunc(r.due-now, g.proveRemovals)
	}
}

// copyAsOf returns a reading of clock.Boot as of which the copy of the key-value service is known to
// be complete but for the engines' periodic updates.
func (g *Gateway) copyAsOf() time.Duration {
	return max(g.mirror.AsOf(), g.completeness.asOf())
}

// removeExpired removes upstreams whose removal is over.
func (g *Gateway) removeExpired() {
	now, asOf := clock.Boot(), g.copyAsOf()
	g.mu.Lock()
	var expired []string
	for id, r := range g.removals {
		if r.isOver(now, asOf) {
			expired = append(expired, id)
			delete(g.removals, id)
			delete(g.modelLoadNotBefore, processKey{id, g.upstreams[id].Incarnation})
			delete(g.upstreams, id)
		}
	}
	g.mu.Unlock()
	for _, id := range expired {
		g.locator.RemoveUpstream(id)
		g.pools.remove(id)
		g.log.Info("upstream removed", "upstream", id)
	}
	if len(expired) > 0 {
		g.signalReassign()
	}
}

// minRefreshInterval is the least time between two refreshes for removals: many become due at once.
const minRefreshInterval = sweepInterval

// proveRemovals removes upstreams whose removal is over, and asks the key-value service for a proof if
// others lack it.
func (g *Gateway) proveRemovals() {
	g.removeExpired()
	if g.storeDisconnected() {
		return
	}
	now, asOf := clock.Boot(), g.copyAsOf()
	waiting := 0
	g.mu.Lock()
	for _, r := range g.removals {
		if r.lacksProof(now, asOf) {
			waiting++
		}
	}
	isDue := waiting > 0 && now-g.refreshedAt >= minRefreshInterval
	if isDue {
		g.refreshedAt = now
	}
	g.mu.Unlock()
	if isDue {
		g.log.Info("removals wait until the copy of the key-value service is known to be complete, refreshing it", "upstreams", waiting, "complete_as_of_ms_ago", (now - asOf).Milliseconds())
		g.mirror.Refresh()
	}
}
