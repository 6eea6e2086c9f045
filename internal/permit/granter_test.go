package permit

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func newTestGranter(t testing.TB, cfg Config) *Granter {
	t.Helper()
	g, err := NewGranter(start, cfg, start)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func ids(requests []Request) string {
	text := ""
	for _, r := range requests {
		text += r.ID
	}
	return text
}

func TestGrantsMostUrgentFirstWithinTheStoresLimits(t *testing.T) {
	g := newTestGranter(t, Config{LoadsPerSecond: 2, Concurrent: 1})
	g.Submit(start, Request{ID: "a", Pressure: 1})
	g.Submit(start, Request{ID: "b", Pressure: 9})
	if got := ids(g.Grant(start)); got != "b" {
		t.Fatalf("granted %q, want b", got)
	}
	if got := ids(g.Grant(start.Add(time.Second))); got != "" {
		t.Errorf("granted %q beyond the store's concurrency", got)
	}
	g.Submit(start.Add(time.Second), Request{ID: "c", Pressure: 3})
	g.Release("b")
	if got := ids(g.Grant(start.Add(time.Second))); got != "c" {
		t.Errorf("granted %q, want c", got)
	}
	g.Release("c")
	if got := ids(g.Grant(start.Add(1100 * time.Millisecond))); got != "" {
		t.Errorf("granted %q beyond the store's rate", got)
	}
	next, ok := g.NextWakeup(start.Add(1100 * time.Millisecond))
	if got := ids(g.Grant(next)); !ok || got != "a" {
		t.Errorf("at the returned wakeup time granted %q, want a", got)
	}
}

func TestPressureGrowsWhileWaiting(t *testing.T) {
	g := newTestGranter(t, Config{LoadsPerSecond: 100, Concurrent: 1})
	g.Submit(start, Request{ID: "old", Pressure: 0})
	now := start
	for i := range 100 {
		now = now.Add(time.Second)
		g.Submit(now, Request{ID: fmt.Sprint(i), Pressure: 50})
		for _, r := range g.Grant(now) {
			if r.ID == "old" {
				return
			}
			g.Release(r.ID)
		}
	}
	t.Error("a request with an initial pressure of 0 was never granted")
}

func TestExpiredLeaseFreesThePermit(t *testing.T) {
	g := newTestGranter(t, Config{LoadsPerSecond: 10, Concurrent: 1, Lease: time.Second})
	g.Submit(start, Request{ID: "a"})
	g.Submit(start, Request{ID: "b"})
	g.Grant(start)
	if !g.Renew(start.Add(500*time.Millisecond), "a") {
		t.Fatal("a held permit was not renewed")
	}
	if got := ids(g.Grant(start.Add(1400 * time.Millisecond))); got != "" {
		t.Fatalf("granted %q while the renewed permit was held", got)
	}
	next, _ := g.NextWakeup(start.Add(1400 * time.Millisecond))
	if got := ids(g.Grant(next)); got != "b" {
		t.Errorf("granted %q after the holder was lost, want b", got)
	}
	if g.Renew(next, "a") {
		t.Error("an expired permit was renewed")
	}
}

func TestSuccessorWaitsForAndCountsEarlierPermits(t *testing.T) {
	g, err := NewGranter(start, Config{LoadsPerSecond: 10, Concurrent: 1, Lease: 5 * time.Second}, start.Add(2*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	g.Submit(start, Request{ID: "new"})
	if got := ids(g.Grant(start.Add(time.Second))); got != "" {
		t.Fatalf("granted %q while earlier permits may be outstanding", got)
	}
	g.AddHeld(start.Add(time.Second), Request{ID: "former"})
	if got := ids(g.Grant(start.Add(3 * time.Second))); got != "" {
		t.Fatalf("granted %q beside a registered earlier permit", got)
	}
	g.Release("former")
	if got := ids(g.Grant(start.Add(3 * time.Second))); got != "new" {
		t.Errorf("granted %q, want new", got)
	}
}

func TestConfigErrorsNameTheField(t *testing.T) {
	for field, cfg := range map[string]Config{
		"LoadsPerSecond": {Concurrent: 1},
		"Concurrent":     {LoadsPerSecond: 1},
	} {
		var invalid *ConfigError
		if _, err := NewGranter(start, cfg, start); !errors.As(err, &invalid) || invalid.Field != field {
			t.Errorf("NewGranter(%+v) = %v, want an error for %s", cfg, err, field)
		}
	}
}

// TestGrantsStayWithinTheStoresLimits checks under random events that held
// permits stay within the store's concurrency and grants within its rate.
func TestGrantsStayWithinTheStoresLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{LoadsPerSecond: 3, Concurrent: rapid.IntRange(1, 3).Draw(t, "concurrent"), Lease: time.Second}
		g, _ := NewGranter(start, cfg, start)
		now, total, next := start, 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				next++
				g.Submit(now, Request{ID: fmt.Sprint(next), Pressure: rapid.Float64Range(0, 10).Draw(t, "pressure")})
			},
			"release": func(t *rapid.T) { g.Release(fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id"))) },
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "elapsed")) * time.Millisecond)
			},
			"": func(*rapid.T) {
				total += len(g.Grant(now))
				allowed := float64(cfg.Concurrent) + now.Sub(start).Seconds()*cfg.LoadsPerSecond
				if g.Held() > cfg.Concurrent || float64(total) > allowed+1e-6 {
					t.Fatalf("%d held, %d granted in %v", g.Held(), total, now.Sub(start))
				}
			},
		})
	})
}

func BenchmarkGrant(b *testing.B) {
	g := newTestGranter(b, Config{LoadsPerSecond: 1e9, Concurrent: 1})
	for i := range 1000 {
		g.Submit(start, Request{ID: fmt.Sprint(i), Pressure: float64(i)})
	}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		for _, r := range g.Grant(now) {
			g.Release(r.ID)
			g.Submit(now, r)
		}
	}
}
