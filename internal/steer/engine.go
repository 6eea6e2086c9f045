package steer

import (
	"cmp"
	"slices"

	"github.com/barleylift/barleylift/internal/placement"
	"github.com/barleylift/barleylift/internal/topology"
)

// Constants of the choice of an engine.
const (
	// spreadQueue is the number of requests that wait for their turn at the
	// least loaded holder from which on the adapter is spread: a quarter of a
	// second of prompts.
	spreadQueue = 3
	// spreadGain is how many fewer must wait at another engine for it to be
	// worth loading the adapter there.
	spreadGain = 2
	// longLoads is the number of adapters that wait for a load at an engine at
	// which a cold adapter goes to the next engine: about a second of loads.
	longLoads = 8
	// ranks bounds how far from its home an adapter is loaded.
	ranks = 4
	// busyQueue is how many more requests than at the next engine must wait at
	// a home for a cold adapter to be loaded at the next one.
	busyQueue = 8
	// runningPerQueued weighs running requests against waiting ones: they
	// share the steps, but only prompts stretch these.
	runningPerQueued = 16
)

// Engine is what is known of an engine at the moment of a choice.
type Engine struct {
	ID string
	// Running is the number of requests in flight there, from all entries.
	Running int
	// Slots is the number of requests that run at once.
	Slots int
	// Holds tells that the adapter is ready there in the right version.
	Holds bool
	// HoldsUsableOlder tells that it is ready there in an older version that may still
	// be used for a short while.
	HoldsUsableOlder bool
	// HoldsOlder tells that it holds the adapter in an older version: a newer one is
	// loaded there only after the requests on the older one have ended, and no
	// other order is carried out until then.
	HoldsOlder bool
	// LoadsPaused tells that nobody can order the engine at present.
	LoadsPaused bool
	// PendingLoads is the number of adapters that wait for a load there.
	PendingLoads int
	// Queued is the number of requests that wait for their turn there.
	Queued int
	// Suspect tells that requests to the engine have failed lately.
	Suspect bool
}

// Choice is an engine for a request.
type Choice struct {
	Engine string
	// NeedsLoad tells that the adapter must be loaded there first.
	NeedsLoad bool
	// SpreadTo names an engine to which the adapter should be loaded as well,
	// for later requests; empty for none.
	SpreadTo string
}

// PickEngine chooses the engine for a request for an adapter, or for the base model
// if its name is empty. It returns false if there is no engine. The lot is any
// number of the request's own; it shares the work of spreading a hot adapter
// out among the requests that wait for it.
func PickEngine(adapter topology.Adapter, engines []Engine, lot uint64) (Choice, bool) {
	engines = without(engines, isSuspect)
	if len(engines) == 0 {
		return Choice{}, false
	}
	if adapter.Name == "" {
		return Choice{Engine: least(engines).ID}, true
	}
	var holders, outdated []Engine
	for _, e := range engines {
		switch {
		case e.Holds:
			holders = append(holders, e)
		case e.HoldsUsableOlder:
			outdated = append(outdated, e)
		}
	}
	if len(holders) == 0 && len(outdated) == 0 {
		return Choice{Engine: home(adapter, without(engines, isOlder)), NeedsLoad: true}, true
	}
	best := leastOf(holders, outdated)
	choice := Choice{Engine: best.ID}
	if len(holders) < len(outdated) {
		choice.SpreadTo = successor(adapter, engines, len(outdated), lot)
	} else {
		choice.SpreadTo = spread(adapter, engines, best, len(holders)+len(outdated), lot)
	}
	return choice, true
}

// leastOf returns the least loaded holder of the version in force, or one of
// the older version if that has clearly less load.
func leastOf(holders, outdated []Engine) Engine {
	if len(outdated) == 0 {
		return least(holders)
	}
	older := least(outdated)
	if len(holders) == 0 {
		return older
	}
	newer := least(holders)
	if older.load()+1 < newer.load() {
		return older
	}
	return newer
}

// without leaves engines out if others are left. It returns a new list.
func without(engines []Engine, unwanted func(Engine) bool) []Engine {
	list := slices.DeleteFunc(slices.Clone(engines), unwanted)
	if len(list) == 0 {
		return slices.Clone(engines)
	}
	return list
}

func isOlder(e Engine) bool     { return e.HoldsOlder }
func isSuspect(e Engine) bool   { return e.Suspect }
func isOrderless(e Engine) bool { return e.LoadsPaused }

// successor returns an engine on which a new version is loaded while the older
// one still serves: one of n without the older version, which would first have
// to end its requests. So many engines take a hot adapter's place in time that
// its requests find as many as before when the older version is over.
func successor(adapter topology.Adapter, engines []Engine, n int, lot uint64) string {
	free := slices.DeleteFunc(without(engines, isOlder), isOrderless)
	if len(free) == 0 {
		return home(adapter, engines)
	}
	chosen := order(adapter, free, n)
	return chosen[lot%uint64(len(chosen))].ID
}

// least returns the engine with the least load.
func least(engines []Engine) Engine {
	return slices.MinFunc(engines, func(a, b Engine) int {
		if c := cmp.Compare(a.load(), b.load()); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
}

// load is the engine's load in waiting requests.
func (e Engine) load() float64 {
	load := float64(e.Queued) + float64(e.Running)/runningPerQueued
	if e.Slots > 0 && e.Running >= e.Slots {
		load += float64(e.Running - e.Slots + 1)
	}
	return load
}

// order returns the first n engines in the adapter's rendezvous order.
func order(adapter topology.Adapter, engines []Engine, n int) []Engine {
	byID := make(map[string]Engine, len(engines))
	candidates := make([]placement.Candidate, len(engines))
	for i, e := range engines {
		byID[e.ID] = e
		candidates[i] = placement.Candidate{Engine: e.ID}
	}
	ranked := placement.Rank(candidates, adapter.String(), n)
	ordered := make([]Engine, len(ranked))
	for i, c := range ranked {
		ordered[i] = byID[c.Engine]
	}
	return ordered
}

// home returns where a cold adapter is loaded: the first engine of its order
// that can be ordered, has few loads to do and is not far more loaded than the
// next.
func home(adapter topology.Adapter, engines []Engine) string {
	ordered := order(adapter, engines, ranks)
	for i, e := range ordered {
		if e.LoadsPaused || e.PendingLoads >= longLoads {
			continue
		}
		if i+1 < len(ordered) {
			next := ordered[i+1]
			overloaded := e.load() > next.load()+busyQueue
			if overloaded && !next.LoadsPaused && next.PendingLoads < longLoads {
				continue
			}
		}
		return e.ID
	}
	shortest := slices.MinFunc(ordered, func(a, b Engine) int {
		if a.LoadsPaused != b.LoadsPaused {
			if b.LoadsPaused {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.PendingLoads, b.PendingLoads)
	})
	return shortest.ID
}

// spread returns the engine to which a hot adapter should be loaded as well;
// best is the least loaded of its holders. Up to as many engines as hold the
// adapter are chosen at a time, so that it doubles its holders with each load
// while they all have requests waiting.
func spread(adapter topology.Adapter, engines []Engine, best Engine, holders int, lot uint64) string {
	if best.Queued < spreadQueue {
		return ""
	}
	var free []Engine
	for _, e := range engines {
		if !e.Holds && !e.HoldsOlder && !e.LoadsPaused && e.PendingLoads < longLoads && e.load()+spreadGain <= best.load() {
			free = append(free, e)
		}
	}
	// The first in the adapter's order, so that all entries choose alike.
	at := min(best.Queued/spreadQueue, holders)
	chosen := order(adapter, free, at)
	if len(chosen) == 0 {
		return ""
	}
	return chosen[lot%uint64(len(chosen))].ID
}
