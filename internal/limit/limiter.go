package limit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/profile"
)

const (
	// burstSeconds is the time for which a full bucket pays for tokens.
	burstSeconds = 2
	// inFlightRetryAfter is the advice to a caller with too many calls in flight.
	inFlightRetryAfter = time.Second
	// sweepSlack is the number of idle entries kept before the next sweep.
	sweepSlack = 256
)

// Limiter bounds calls in flight and tokens a second for each customer and
// profile. Entries exist only while they bind: one without calls in flight and
// with a full bucket is dropped. It is safe for concurrent use.
type Limiter struct {
	// mu guards all below; it is held for a few steps and never during I/O.
	mu      sync.Mutex
	entries map[key]*usage
	// sweepAt is the number of entries from which idle ones are looked for.
	sweepAt int
}

type key struct {
	customer, profile string
}

type usage struct {
	inFlight int
	bucket   *rate.Limiter
}

// NewLimiter returns a limiter without entries.
func NewLimiter() *Limiter {
	return &Limiter{entries: make(map[key]*usage), sweepAt: sweepSlack}
}

// Reservation is one admitted call. Its owner calls Charge as tokens are generated
// and Release once when the call has ended.
type Reservation struct {
	limiter  *Limiter
	entry    *usage
	released bool
}

// Acquire admits a call or tells why not and when to come back. A profile's
// token rate admits calls as long as tokens are left in the bucket; what a
// call generates beyond them is a debt that later calls wait for.
func (l *Limiter) Acquire(now time.Time, customer string, p profile.Profile) (*Reservation, call.Result, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.entry(now, key{customer, p.Name})
	u.setRate(now, p.TokensPerSecond)
	if p.MaxInFlight > 0 && u.inFlight >= p.MaxInFlight {
		return nil, refused("too many calls in flight", inFlightRetryAfter), false
	}
	if after := u.shortage(now); after > 0 {
		return nil, refused("token rate exceeded", after), false
	}
	u.inFlight++
	return &Reservation{limiter: l, entry: u}, call.Result{}, true
}

func refused(message string, after time.Duration) call.Result {
	return call.Failed(call.NotRun, call.CodeLimit, message).WithRetryAfter(after)
}

// entry returns the usage for a key, sweeping idle ones now and then.
// l.mu is held.
func (l *Limiter) entry(now time.Time, k key) *usage {
	if u, ok := l.entries[k]; ok {
		return u
	}
	if len(l.entries) >= l.sweepAt {
		l.sweep(now)
	}
	u := &usage{}
	l.entries[k] = u
	return u
}

// sweep drops idle entries and sets the next sweep so that its cost is
// constant for each new entry. l.mu is held.
func (l *Limiter) sweep(now time.Time) {
	for k, u := range l.entries {
		if u.idle(now) {
			delete(l.entries, k)
		}
	}
	l.sweepAt = 2*len(l.entries) + sweepSlack
}

// Len returns the number of entries.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// setRate adapts the bucket to the profile in force.
func (u *usage) setRate(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		u.bucket = nil
		return
	}
	if u.bucket != nil && u.bucket.Limit() == rate.Limit(perSecond) {
		return
	}
	burst := int(math.Ceil(perSecond * burstSeconds))
	if u.bucket == nil {
		u.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	u.bucket.SetLimitAt(now, rate.Limit(perSecond))
	u.bucket.SetBurstAt(now, burst)
}

// shortage returns the time until the bucket holds a token.
func (u *usage) shortage(now time.Time) time.Duration {
	if u.bucket == nil {
		return 0
	}
	missing := 1 - u.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(u.bucket.Limit()) * float64(time.Second))
}

func (u *usage) idle(now time.Time) bool {
	full := u.bucket == nil || u.bucket.TokensAt(now) >= float64(u.bucket.Burst())
	return u.inFlight == 0 && full
}

// Charge takes generated tokens from the bucket, into debt if need be.
func (s *Reservation) Charge(now time.Time, tokens int) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	bucket := s.entry.bucket
	if bucket == nil {
		return
	}
	for tokens > 0 {
		n := min(tokens, bucket.Burst())
		bucket.ReserveN(now, n)
		tokens -= n
	}
}

// Release ends the call. Further calls have no effect.
func (s *Reservation) Release() {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	s.entry.inFlight--
}
