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
	// burstSeconds is the size of a token bucket in seconds of its rate.
	burstSeconds = 2
	// inFlightRetryAfter is the retry delay for a call refused because too many
	// are in flight.
	inFlightRetryAfter = time.Second
	// sweepSlack is added to twice the number of entries that a sweep keeps;
	// the next sweep runs at that size.
	sweepSlack = 256
)

// Limiter bounds calls in flight and tokens per second for each customer and
// profile. Idle entries, those without calls in flight and with a full bucket,
// limit nothing and are dropped. It is safe for concurrent use.
type Limiter struct {
	// mu guards all below; it is held for a few steps and never during I/O.
	mu      sync.Mutex
	entries map[usageKey]*usage
	// sweepAt is the number of entries at which a new one triggers a sweep.
	sweepAt int
}

type usageKey struct {
	customer, profile string
}

type usage struct {
	inFlight int
	bucket   *rate.Limiter
}

// NewLimiter returns a limiter without entries.
func NewLimiter() *Limiter {
	return &Limiter{entries: make(map[usageKey]*usage), sweepAt: sweepSlack}
}

// Reservation is the place of one admitted call. The caller calls Charge as
// tokens are generated and Release when the call has ended.
type Reservation struct {
	limiter  *Limiter
	usage    *usage
	released bool
}

// Acquire admits a call, or returns false and a result with the reason and a
// retry delay. A profile's token rate admits calls while the bucket holds a
// token; tokens that a call generates beyond the bucket become a debt, and
// later calls are refused until the bucket holds a token again.
func (l *Limiter) Acquire(now time.Time, customer string, p profile.Profile) (*Reservation, call.Result, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.entry(now, usageKey{customer, p.Name})
	u.setRate(now, p.TokensPerSecond)
	if p.MaxInFlight > 0 && u.inFlight >= p.MaxInFlight {
		return nil, refused("too many calls in flight", inFlightRetryAfter), false
	}
	if after := u.tokenWait(now); after > 0 {
		return nil, refused("token rate exceeded", after), false
	}
	u.inFlight++
	return &Reservation{limiter: l, usage: u}, call.Result{}, true
}

func refused(message string, after time.Duration) call.Result {
	return call.Failed(call.NotRun, call.CodeLimit, message).WithRetryAfter(after)
}

// entry returns the usage for a key, creating it if needed; a new entry may
// trigger a sweep. The caller holds l.mu.
func (l *Limiter) entry(now time.Time, k usageKey) *usage {
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

// sweep drops idle entries and schedules the next sweep so that the amortized
// cost per new entry is constant. The caller holds l.mu.
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

// setRate adjusts the bucket to the profile's current rate; 0 or less means no
// limit.
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

// tokenWait returns the time until the bucket holds a token.
func (u *usage) tokenWait(now time.Time) time.Duration {
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

// Charge deducts generated tokens from the bucket, whose balance may become
// negative.
func (r *Reservation) Charge(now time.Time, tokens int) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	bucket := r.usage.bucket
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
func (r *Reservation) Release() {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	r.usage.inFlight--
}
