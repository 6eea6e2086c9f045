package ratelimit

import (
	"math"
	"time"
)

const (
	// burstTime bounds the requests that are admitted at once, as the time in
	// which the rate allows them; at least one.
	burstTime = 250 * time.Millisecond
	// probeRate is the least rate in requests a second. An upstream that takes
	// less must still get a request now and then: only an answer can say that it
	// takes more again.
	probeRate = 0.1
	// MaxWait is how long a request waits for its turn while other upstreams may
	// serve it.
	MaxWait = 200 * time.Millisecond
	// MaxLoadWait is the same for a request whose adapter must be loaded first, which
	// takes about a quarter of a second.
	MaxLoadWait = 500 * time.Millisecond
	// minRamp and maxRamp bound the time over which the callers of refused
	// requests come back.
	minRamp = 300 * time.Millisecond
	maxRamp = 5 * time.Second
)

// Limiter admits requests to one process of an upstream, from all daemons, at the
// rate that the process names: a token bucket, which begins empty when a limit is
// learned. The zero value knows no limit. It is not safe for concurrent use.
type Limiter struct {
	known     Knowledge
	tokens    float64
	updatedAt time.Duration
}

// Apply adds what an answer has said, or what another daemon knows.
func (l *Limiter) Apply(now time.Duration, known Knowledge) {
	l.refill(now)
	merged := l.known.Merged(known)
	if merged.Limited && !l.known.Limited {
		l.tokens, l.updatedAt = 0, now
	}
	l.known = merged
}

// Limited reports whether a limit is known.
func (l *Limiter) Limited() bool {
	return l.known.Limited
}

// Known returns what is known of the limit.
func (l *Limiter) Known() Knowledge {
	return l.known
}

// Available returns how many requests may be sent now.
func (l *Limiter) Available(now time.Duration) int {
	if !l.known.Limited {
		return math.MaxInt
	}
	l.refill(now)
	// The rounding error of a refill must not cost a request its turn.
	const tolerance = 1e-6
	return max(int(l.tokens+tolerance), 0)
}

// Take counts requests that are admitted. They may be admitted in advance, for a
// time that TurnIn has returned.
func (l *Limiter) Take(now time.Duration, requests int) {
	if l.known.Limited {
		l.refill(now)
		l.tokens -= float64(requests)
	}
}

// TurnIn returns after which time a request may be sent if others are ahead of it.
func (l *Limiter) TurnIn(now time.Duration, ahead int) time.Duration {
	if !l.known.Limited {
		return 0
	}
	l.refill(now)
	missing := float64(ahead+1) - l.tokens
	return max(time.Duration(missing/l.rate()*float64(time.Second)), 0)
}

func (l *Limiter) refill(now time.Duration) {
	if !l.known.Limited {
		return
	}
	rate := l.rate()
	l.tokens = min(l.tokens+rate*(now-l.updatedAt).Seconds(), max(rate*burstTime.Seconds(), 1))
	l.updatedAt = now
}

func (l *Limiter) rate() float64 {
	return max(l.known.Rate, probeRate)
}

// ReturnAfter returns when the caller of a refused request should come back, if
// the upstream has room again in roomIn: callers come back one by one, spread over
// a ramp by a random number of the request.
func (k Knowledge) ReturnAfter(roomIn time.Duration, random uint64) time.Duration {
	ramp := min(max(time.Duration(float64(time.Second)/max(k.Rate, probeRate)), minRamp), maxRamp)
	return roomIn + time.Duration(float64(random)/math.MaxUint64*float64(ramp))
}
