package ratelimit

import "time"

// Process identifies a process of an upstream.
type Process struct {
	ID          string
	Incarnation int64
}

// Request asks for the admission of one request to an upstream.
type Request struct {
	Process Process
	// Entry and Ticket identify the request. It may be repeated if the answer was
	// lost.
	Entry  string
	Ticket uint64
	// Known is what the entry knows of the limit.
	Known Knowledge
	// MaxWait is how long the request can wait for its turn.
	MaxWait time.Duration
}

// Grant is the answer to a Request.
type Grant struct {
	// Granted is set if the request may be sent, after Wait. Otherwise the upstream
	// has room for another request after Wait.
	Granted bool
	Wait    time.Duration
}

const (
	// grantTTL is how long a grant is remembered, for repetitions of its request.
	grantTTL = 2 * time.Second
	// limiterTTL is how long an unused limiter is kept.
	limiterTTL = time.Minute
)

type grantKey struct {
	process Process
	entry   string
	ticket  uint64
}

type processLimiter struct {
	Limiter
	usedAt time.Duration
}

// Granter admits requests to the upstreams that have no owner, in the order in
// which they are asked for. It is not safe for concurrent use.
type Granter struct {
	limiters map[Process]*processLimiter
	// grants holds when the recent grants take effect.
	grants map[grantKey]time.Duration
}

// NewGranter returns a Granter that knows no limits.
func NewGranter() *Granter {
	return &Granter{limiters: make(map[Process]*processLimiter), grants: make(map[grantKey]time.Duration)}
}

// Grant decides on a request.
func (g *Granter) Grant(now time.Duration, r Request) Grant {
	g.expire(now)
	key := grantKey{r.Process, r.Entry, r.Ticket}
	if at, ok := g.grants[key]; ok {
		return Grant{Granted: true, Wait: max(at-now, 0)}
	}
	l := g.limiters[r.Process]
	if l == nil {
		l = &processLimiter{}
		g.limiters[r.Process] = l
	}
	l.usedAt = now
	l.Apply(now, r.Known)
	wait := l.TurnIn(now, 0)
	if wait > r.MaxWait {
		return Grant{Wait: wait}
	}
	l.Take(now, 1)
	g.grants[key] = now + wait
	return Grant{Granted: true, Wait: wait}
}

func (g *Granter) expire(now time.Duration) {
	for key, at := range g.grants {
		if now-at > grantTTL {
			delete(g.grants, key)
		}
	}
	for process, l := range g.limiters {
		if now-l.usedAt > limiterTTL {
			delete(g.limiters, process)
		}
	}
}
