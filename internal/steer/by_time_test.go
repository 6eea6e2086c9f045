package steer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// pacedEngines returns idle engines whose owners have just reported an equal pace.
func pacedEngines(n int) []Engine {
	engines := testEngines(n)
	for i := range engines {
		engines[i].PrefillPerToken, engines[i].PromptTokens = 50*time.Microsecond, 1000
	}
	return engines
}

// chosen returns how many of some requests go to each engine.
func chosen(adapter topology.Adapter, engines []Engine) map[string]int {
	random := rand.New(rand.NewPCG(3, 4))
	counts := make(map[string]int)
	for range 1000 {
		choice := pickByTime(adapter, engines, random.Uint64())
		counts[choice.Engine]++
	}
	return counts
}

// Guards against a choice by time that ignores work, pace or loads, or the rules that hold
// for the choice by counts too. least and most bound the requests of 1,000 at engine 0.
func TestShareOfAnEngineByTime(t *testing.T) {
	tests := []struct {
		name        string
		adapter     topology.Adapter
		setup       func(engines []Engine)
		least, most int
	}{
		{"idle engines share the base model", topology.Adapter{Model: "m"}, func([]Engine) {}, 200, 300},
		{"holders share a hot adapter", hot, func(e []Engine) { e[0].Holds, e[1].Holds = true, true }, 450, 550},
		{"a faster holder gets more", hot, func(e []Engine) { e[0].Holds, e[1].Holds, e[0].PrefillPerToken = true, true, 30*time.Microsecond }, 600, 900},
		{"one with a second of work gets hardly any", hot, func(e []Engine) { e[0].Holds, e[1].Holds, e[0].WaitingWork = true, true, time.Second }, 0, 10},
		{"an old report of it counts less", hot, func(e []Engine) {
			e[0].Holds, e[1].Holds, e[0].WaitingWork, e[0].WorkAge = true, true, time.Second, 5*time.Second
		}, 300, 600},
		{"own sends count at once", hot, func(e []Engine) { e[0].Holds, e[1].Holds, e[0].OwnWork = true, true, 200*time.Millisecond }, 0, 150},
		{"a kept prompt attracts", hot, func(e []Engine) { e[0].Holds, e[1].Holds, e[0].PromptTokens, e[1].PromptTokens = true, true, 100, 6000 }, 950, 1000},
		{"an engine with as many waiting as slots is avoided", hot, func(e []Engine) { e[0].Holds, e[1].Holds, e[0].Running = true, true, 128 }, 0, 20},
		{"an engine without a pace counts with its queue", hot, func(e []Engine) {
			e[0].Holds, e[1].Holds, e[0].PrefillPerToken, e[0].Queued = true, true, 0, 20
		}, 0, 10},
		{"an engine without a pace that is idle is used", hot, func(e []Engine) { e[0].Holds, e[1].Holds, e[0].PrefillPerToken = true, true, 0 }, 400, 600},
		{"a suspect engine is avoided", hot, func(e []Engine) { e[0].Holds, e[1].Holds, e[0].Suspect = true, true, true }, 0, 0},
		{"a limited engine is left to others", hot, func(e []Engine) { e[0].Holds, e[1].Holds, e[0].RateLimited = true, true, true }, 0, 0},
		{"a usable older version serves meanwhile", hot, func(e []Engine) { e[0].HoldsUsableOlder, e[0].HoldsOlder = true, true }, 1000, 1000},
		{"the version in force is preferred", hot, func(e []Engine) { e[0].HoldsUsableOlder, e[0].HoldsOlder, e[1].Holds = true, true, true }, 0, 0},
		{"a cold adapter goes where it was held lately", hot, func(e []Engine) {
			e[0].HeldLately = true
			for i := range e[1:] {
				e[i+1].PendingLoads = 1
			}
		}, 1000, 1000},
		{"a cold adapter isn't loaded where loads pause", hot, func(e []Engine) { e[0].HeldLately, e[0].LoadsPaused = true, true }, 0, 0},
		{"a cold adapter isn't loaded where many loads wait", hot, func(e []Engine) { e[0].PendingLoads = 8 }, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engines := pacedEngines(4)
			test.setup(engines)
			if n := chosen(test.adapter, engines)[engines[0].ID]; n < test.least || n > test.most {
				t.Errorf("%d of 1,000 requests at the engine, want %d to %d", n, test.least, test.most)
			}
		})
	}
}

// Guards against loads of one cold adapter at several engines: all VMs, whatever their
// random numbers, must choose one.
func TestColdAdapterHasOneHomeByTime(t *testing.T) {
	if counts := chosen(hot, pacedEngines(90)); len(counts) != 1 {
		t.Errorf("a cold adapter is loaded at %d engines", len(counts))
	}
}

// pickByTime chooses by time as in a fleet of many engines.
func pickByTime(adapter topology.Adapter, engines []Engine, random uint64) Choice {
	engines = excludeIfPossible(engines, isSuspect)
	return newFleetWork(engines).pick(adapter, engines, random)
}

// Guards against a change for fleets of few engines, where the choice by counts serves more in
// time: it must hold although the owners report the pace.
func TestFewEnginesAreChosenByCounts(t *testing.T) {
	engines := pacedEngines(minEnginesByTime - 1)
	engines[0].Holds, engines[1].Holds, engines[0].WaitingWork, engines[1].Queued = true, true, time.Second, 3
	want := pickByCounts(hot, engines, 1)
	if got, ok := PickEngine(hot, engines, 1); !ok || got != want {
		t.Errorf("%d engines: choice %v, want that by counts: %v", len(engines), got, want)
	}
}

// Guards against a spread by the count of requests: a queue of short prompts needs none, and
// one long prompt does.
func TestSpreadByExpectedWait(t *testing.T) {
	for _, test := range []struct {
		name   string
		queued int
		work   time.Duration
		spread bool
	}{
		{"many short prompts", 8, 20 * time.Millisecond, false},
		{"few long prompts", 1, 300 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			engines := pacedEngines(4)
			engines[0].Holds, engines[0].Queued, engines[0].WaitingWork = true, test.queued, test.work
			choice := pickByTime(hot, engines, 1)
			if spread := choice.SpreadTo != ""; spread != test.spread || choice.SpreadTo == engines[0].ID {
				t.Errorf("spread to %q, want a spread: %v", choice.SpreadTo, test.spread)
			}
		})
	}
}

// Guards against a change for owners of the last build: without any pace the choice is the
// one by counts.
func TestWithoutPaceTheChoiceIsByCounts(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 2000 {
		engines := testEngines(6)
		for i := range engines {
			e := &engines[i]
			e.Holds, e.HoldsUsableOlder = random.IntN(3) == 0, random.IntN(5) == 0
			e.HoldsOlder = e.HoldsUsableOlder && !e.Holds
			e.LoadsPaused, e.RateLimited, e.Suspect = random.IntN(6) == 0, random.IntN(6) == 0, random.IntN(6) == 0
			e.PendingLoads, e.Queued, e.Running = random.IntN(12), random.IntN(9), random.IntN(80)
			e.OwnWork, e.PromptTokens, e.WorkAge = time.Duration(random.IntN(1e9)), random.IntN(9000), time.Duration(random.IntN(2e9))
		}
		number := random.Uint64()
		want, _ := pickEngineToday(hot, slices.Clone(engines), number)
		if got, _ := PickEngine(hot, engines, number); got != want {
			t.Fatalf("chose %+v, by counts %+v", got, want)
		}
	}
}
