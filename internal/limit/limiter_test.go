package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/profile"
)

var limiterStart = time.Unix(1_700_000_000, 0)

func TestInFlightIsBoundedForEachCustomer(t *testing.T) {
	l := NewLimiter()
	p := profile.Profile{Name: "p", MaxInFlight: 1}
	first, _, ok := l.Acquire(limiterStart, "a", p)
	if !ok {
		t.Fatal("the first call was refused")
	}
	_, result, ok := l.Acquire(limiterStart, "a", p)
	if ok || result.Outcome != call.NotRun || result.Code != call.CodeLimit || result.RetryAfter <= 0 {
		t.Errorf("the second call got %v, %v", result, ok)
	}
	if _, _, ok := l.Acquire(limiterStart, "b", p); !ok {
		t.Error("one customer's calls counted against another")
	}
	first.Release()
	first.Release()
	if _, _, ok := l.Acquire(limiterStart, "a", p); !ok {
		t.Error("refused after the release")
	}
	if _, _, ok := l.Acquire(limiterStart, "a", p); ok {
		t.Error("a second release freed another place")
	}
}

func TestTokenDebtDelaysTheNextCall(t *testing.T) {
	l := NewLimiter()
	p := profile.Profile{Name: "p", TokensPerSecond: 100}
	reservation, _, _ := l.Acquire(limiterStart, "a", p)
	reservation.Charge(limiterStart, 1200)
	reservation.Release()
	_, result, ok := l.Acquire(limiterStart, "a", p)
	if ok || result.RetryAfter < 10*time.Second || result.RetryAfter > 11*time.Second {
		t.Fatalf("with 1000 tokens of debt at 100/s got %v, %v", result.RetryAfter, ok)
	}
	if _, _, ok := l.Acquire(limiterStart.Add(result.RetryAfter), "a", p); !ok {
		t.Error("refused after the returned retry delay")
	}
}

func TestIdleEntriesAreDropped(t *testing.T) {
	l := NewLimiter()
	p := profile.Profile{Name: "p", TokensPerSecond: 100}
	held, _, _ := l.Acquire(limiterStart, "held", p)
	now := limiterStart
	for i := range 100_000 {
		now = now.Add(time.Second)
		reservation, _, ok := l.Acquire(now, fmt.Sprint(i), p)
		if !ok {
			t.Fatal("refused")
		}
		reservation.Charge(now, 10)
		reservation.Release()
	}
	if n := l.Len(); n > 4*sweepSlack {
		t.Errorf("%d entries are kept with one call in flight", n)
	}
	if held.usage != l.entries[usageKey{"held", "p"}] {
		t.Error("the entry of a call in flight was dropped")
	}
}

func BenchmarkAcquire(b *testing.B) {
	l := NewLimiter()
	p := profile.Profile{Name: "p", MaxInFlight: 10, TokensPerSecond: 1e9}
	b.ReportAllocs()
	for b.Loop() {
		reservation, _, _ := l.Acquire(limiterStart, "a", p)
		reservation.Charge(limiterStart, 10)
		reservation.Release()
	}
}
