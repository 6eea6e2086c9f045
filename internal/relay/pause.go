package relay

import (
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/pausing"
	"github.com/barleylift/barleylift/internal/steer"
	"github.com/cespare/xxhash/v2"
)

// random returns a number of the request that is the same for each choice.
func (e *exchange) random() uint64 {
	return xxhash.Sum64String(e.call.ID)
}

// awaitNextTurn waits, at most once a request, for an upstream that pauses or has no
// room within its rate limit, if it takes the request within pausing.MaxWait. If
// others would take the request after they have loaded its adapter, only a holder is
// worth a wait. It returns false if it did not wait.
func (e *exchange) awaitNextTurn(othersCanLoad bool) bool {
	wait, _, ok := e.relay.config.Locator.NextTurn(e.need(), othersCanLoad)
	if !ok || e.waitedForTurn || wait > pausing.MaxWait || wait >= e.timeLeft() || !e.mayRunAgain() {
		return false
	}
	e.waitedForTurn = true
	e.tried = nil
	return clock.Sleep(e.ctx, wait)
}

// maxPlaceWait is how long a request waits, at most, for places at fragile replicas.
const maxPlaceWait = 250 * time.Millisecond

// acquirePlace waits for a place at one of the replicas of a service that is fragile, the best
// of those that are asked. It returns false if there was none.
func (e *exchange) acquirePlace(replicas []steer.Replica) (Place, bool) {
	ids := make([]string, 0, len(replicas))
	for _, replica := range replicas {
		ids = append(ids, replica.ID)
	}
	started := time.Now()
	place, ok := e.relay.config.Places.AcquirePlace(e.ctx, ids, maxPlaceWait-e.placeWait)
	waited := time.Since(started)
	e.placeWait += waited
	e.relay.config.Metrics.WaitedForPlace(e.service.Name, ok)
	e.relay.log.Info("waited for a place at a fragile replica", "id", e.call.ID, "replicas", len(ids), "upstream", place.Upstream, "took_ms", waited.Milliseconds())
	return place, ok
}

// giveUpForNow ends a request that no upstream takes now. If all pause or have no
// room, its caller is told to come back when the first takes requests again.
func (e *exchange) giveUpForNow(reason string) {
	retryAfter := retryAfterBusy
	if _, returnAfter, ok := e.relay.config.Locator.NextTurn(e.need(), false); ok {
		retryAfter, reason = max(returnAfter, retryAfterBusy), "the upstreams have asked for a pause or fewer requests"
	}
	e.giveUp(http.StatusBadGateway, retryAfter, reason)
}
