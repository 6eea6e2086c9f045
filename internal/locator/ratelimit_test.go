package locator

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/ratelimit"
	"github.com/barleylift/barleylift/internal/residency"
)

func limitOf(rate float64) ratelimit.Knowledge {
	return ratelimit.Knowledge{Rate: rate, Limited: true, SentAt: clock.Boot(), ReceivedAt: clock.Boot()}
}

// An engine with a rate limit gets only requests that were granted a turn, and no
// adapters of other engines. The limit holds for one process.
func TestRateLimitHoldsForOneProcess(t *testing.T) {
	o := newOwner(t)
	first := engine("e", nil)
	second := first
	second.Incarnation = 2
	check := func(step string, limited bool) {
		t.Helper()
		_, ungranted := o.locator.Upstream("e", false)
		_, granted := o.locator.Upstream("e", true)
		engines := o.locator.Engines(Need{Service: "lm", Adapter: climb}, nil)
		if ungranted == limited || !granted || len(engines) != 1 || engines[0].RateLimited != limited {
			t.Errorf("%s: ungranted %t, granted %t, engines %+v; want limited %t", step, ungranted, granted, engines, limited)
		}
	}
	o.locator.SetUpstream(first)
	check("registered", false)
	o.locator.RecordRateLimit("e", 1, limitOf(2))
	check("names a limit", true)
	o.locator.SetUpstream(first)
	check("registered again", true)
	o.locator.SetUpstream(second)
	check("restarted", false)
	o.locator.RecordRateLimit("e", 1, limitOf(2))
	check("late answer of the first process", false)
	o.locator.ApplyState(orders.EngineState{Engine: "e", Incarnation: 2, RateLimit: limitOf(3), Held: []residency.HeldAdapter{{Adapter: climb, Version: 1}}})
	check("limit known from the owner", true)
	o.locator.RecordRateLimit("e", 2, ratelimit.Knowledge{SentAt: clock.Boot(), ReceivedAt: clock.Boot()})
	check("answer without a limit", false)
	if _, known, ok := o.locator.RateLimitToSpread("e"); !ok || known.Limited {
		t.Error("the end of the limit is not passed on")
	}
}

// While no engine has room, callers come back when the first one has, and an engine
// without room is left out while another has some.
func TestEngineWithoutRoomIsLeftOut(t *testing.T) {
	o := newOwner(t)
	for _, id := range []string{"a", "b"} {
		o.locator.SetUpstream(engine(id, nil))
		o.locator.RecordRateLimit(id, 1, limitOf(0.5))
	}
	o.locator.HandleStatus(orders.AdmissionStatus{Engine: "a", Status: residency.NoRoom, RoomIn: time.Minute})
	if engines := o.locator.Engines(Need{Service: "lm", Adapter: climb}, nil); len(engines) != 1 || engines[0].ID != "b" {
		t.Errorf("engines %+v, want b alone", engines)
	}
	if _, _, ok := o.locator.NextTurn(Need{Service: "lm", Adapter: climb}, false); ok {
		t.Error("callers are sent away although an engine has room")
	}
	o.locator.HandleStatus(orders.AdmissionStatus{Engine: "b", Status: residency.NoRoom, RoomIn: 2 * time.Minute})
	wait, after, ok := o.locator.NextTurn(Need{Service: "lm", Adapter: climb}, false)
	if !ok || wait > time.Minute || wait < time.Minute-time.Second || after < wait {
		t.Errorf("next turn in %v, return after %v, %t; want a minute", wait, after, ok)
	}
}

// A replica without an answer of the granting daemon is left out.
func TestReplicaWithoutGranterIsLeftOut(t *testing.T) {
	o := newOwner(t)
	o.locator.SetUpstream(engine("e", nil))
	if !o.locator.AwaitTurn(t.Context(), "e") {
		t.Error("a request to an upstream without a limit waits for a turn")
	}
	o.locator.RecordRateLimit("e", 1, limitOf(2))
	if o.locator.AwaitTurn(t.Context(), "e") || len(o.locator.Replicas("lm", nil, 0)) != 0 {
		t.Error("an upstream with a limit gets a request without a turn")
	}
}
