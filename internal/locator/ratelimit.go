package locator

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/ratelimit"
)

// Time constants of upstreams with a rate limit.
const (
	// minRoomIn is the least time for which an upstream without room is left out.
	minRoomIn = 10 * time.Millisecond
	// turnRequestInterval is the time after which a request for a turn is repeated,
	// and turnAnswerTimeout how long its answer may take.
	turnRequestInterval = 50 * time.Millisecond
	turnAnswerTimeout   = 160 * time.Millisecond
	// silentGranterPause is how long an upstream is left out whose turns no daemon
	// grants.
	silentGranterPause = 500 * time.Millisecond
	// limitFreshness is how long after the last answer an engine with a rate limit
	// is left to requests that need it. Then it gets others too: only an answer can
	// say that the limit has ended.
	limitFreshness = 2 * time.Second
	// limitEndSpreadPeriod is how long the end of a rate limit is passed on.
	limitEndSpreadPeriod = 30 * time.Second
)

// RecordRateLimit records what an answer of an upstream's process says about its
// rate limit, and reports whether the rate that is known has changed. Answers of
// another process than the current one are ignored.
func (l *Locator) RecordRateLimit(id string, incarnation int64, answer ratelimit.Knowledge) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[id]
	if v == nil || v.upstream.Incarnation != incarnation {
		return false
	}
	return v.recordRateLimit(clock.Boot(), answer)
}

func (v *view) recordRateLimit(now time.Duration, known ratelimit.Knowledge) (changed bool) {
	before := v.rateLimit
	v.rateLimit = before.Merged(known)
	if before.Limited && !v.rateLimit.Limited {
		v.limitEndedAt, v.roomAt = now, 0
	}
	return !before.Same(v.rateLimit)
}

// RateLimits returns the rate limits that are known, by upstream.
func (l *Locator) RateLimits() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := make(map[string]float64)
	for id, v := range l.views {
		if v.rateLimit.Limited {
			limits[id] = v.rateLimit.Rate
		}
	}
	return limits
}

// RateLimited reports whether an upstream has a rate limit.
func (l *Locator) RateLimited(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[id]
	return v != nil && v.rateLimit.Limited
}

// RateLimitToSpread returns what other daemons should know of the rate limit of an
// upstream's current process. It returns false if there is nothing to pass on.
func (l *Locator) RateLimitToSpread(id string) (incarnation int64, known ratelimit.Knowledge, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[id]
	if v == nil {
		return 0, ratelimit.Knowledge{}, false
	}
	endedLately := v.limitEndedAt > 0 && clock.Boot()-v.limitEndedAt < limitEndSpreadPeriod
	return v.upstream.Incarnation, v.rateLimit, v.rateLimit.Limited || endedLately
}

// AwaitTurn waits for the turn of a request to an upstream that has no owner. It
// returns false if the upstream's rate limit leaves no room soon.
func (l *Locator) AwaitTurn(ctx context.Context, id string) bool {
	incarnation, known, ok := l.RateLimitToSpread(id)
	if !ok || !known.Limited {
		return true
	}
	request := ratelimit.Request{
		Process: ratelimit.Process{ID: id, Incarnation: incarnation},
		Entry:   l.config.Name, Ticket: l.NewTicket(), Known: known, MaxWait: ratelimit.MaxWait,
	}
	grant, ok := l.requestTurn(ctx, request)
	switch {
	case !ok && ctx.Err() != nil:
		return false
	case !ok:
		l.log.Info("no daemon grants turns at an upstream with a rate limit, leaving it out for a while", "upstream", id)
		l.markNoRoom(id, silentGranterPause)
		return false
	case !grant.Granted:
		l.markNoRoom(id, grant.Wait)
		return false
	}
	return grant.Wait <= 0 || clock.Sleep(ctx, grant.Wait)
}

// requestTurn asks for a turn until there is an answer. It returns false if there
// is none in time.
func (l *Locator) requestTurn(ctx context.Context, request ratelimit.Request) (ratelimit.Grant, bool) {
	key := waitKey{request.Process.ID, request.Ticket}
	answers := make(chan ratelimit.Grant, 1)
	l.mu.Lock()
	l.turns[key] = answers
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.turns, key)
		l.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, turnAnswerTimeout)
	defer cancel()
	ticker := time.NewTicker(turnRequestInterval)
	defer ticker.Stop()
	for {
		if !l.config.SendTurnRequest(request) {
			return ratelimit.Grant{}, false
		}
		select {
		case grant := <-answers:
			return grant, true
		case <-ticker.C:
		case <-ctx.Done():
			return ratelimit.Grant{}, false
		}
	}
}

// HandleGrant delivers the answer to a request for a turn.
func (l *Locator) HandleGrant(upstream string, ticket uint64, grant ratelimit.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case l.turns[waitKey{upstream, ticket}] <- grant:
	default:
		// The request has an answer already, or no longer waits.
	}
}

// markNoRoom leaves an upstream out for a time.
func (l *Locator) markNoRoom(id string, roomIn time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.views[id]; v != nil {
		v.roomAt = max(v.roomAt, clock.Boot()+max(roomIn, minRoomIn))
	}
}
