package locator

import "github.com/barleylift/barleylift/internal/ratelimit"

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
	known := v.rateLimit
	v.rateLimit = known.Merged(answer)
	return !known.Same(v.rateLimit)
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
