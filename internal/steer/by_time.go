package steer

import (
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// Constants of the choice by expected time.
const (
	// minSpreadWait is the mean wait at the holders of an adapter from which on it is spread,
	// half of a mean prompt: with 80 ms bursts and adapters that get hot are served worse in the
	// played loads.
	minSpreadWait = 30 * time.Millisecond
	// minSpreadTimeGain is how much shorter the wait must be at another engine to make loading
	// the adapter there worthwhile.
	minSpreadTimeGain = 30 * time.Millisecond
	// maxSpreadFactor is the number of engines to which an adapter is spread at a time, in
	// numbers of its holders. Reports show new holders only after a second; with 1 an adapter
	// that gets hot has too few for several seconds.
	maxSpreadFactor = 3
	// maxHomeDetour is how much longer the first event may take at an adapter's home than
	// at the next engine before a cold adapter is loaded at the next one.
	maxHomeDetour = 300 * time.Millisecond
	// olderVersionGain is how much shorter the wait must be at a holder of an older version
	// to prefer it.
	olderVersionGain = 80 * time.Millisecond
)

// pick chooses by the expected time to the first event.
func (f fleetWork) pick(adapter topology.Adapter, engines []Engine, random uint64) Choice {
	if adapter.Name == "" {
		return f.choose(f.sample(engines, random), false)
	}
	var holders, olderHolders []Engine
	for _, e := range engines {
		switch {
		case e.Holds:
			holders = append(holders, e)
		case e.HoldsUsableOlder:
			olderHolders = append(olderHolders, e)
		}
	}
	if len(holders) == 0 && len(olderHolders) == 0 {
		return f.choose(f.loadTarget(adapter, excludeIfPossible(engines, holdsOlder)), true)
	}
	if others := slices.DeleteFunc(slices.Concat(holders, olderHolders), isRateLimited); len(others) > 0 {
		holders, olderHolders = excludeIfPossible(holders, isRateLimited), excludeIfPossible(olderHolders, isRateLimited)
	}
	all := slices.Concat(holders, olderHolders)
	byHolders := f.among(all)
	choice := byHolders.choose(byHolders.sampleHolder(holders, olderHolders, random), false)
	if len(holders) < len(olderHolders) {
		choice.SpreadTo = newVersionTarget(adapter, engines, len(olderHolders), random)
		return choice
	}
	choice.SpreadTo = f.spreadTarget(adapter, engines, byHolders.meanWait(all), len(all), random)
	return choice
}

func (f fleetWork) choose(e Engine, needsLoad bool) Choice {
	return Choice{Engine: e.ID, NeedsLoad: needsLoad, Expected: f.expected(e, needsLoad)}
}

// sampleHolder returns a holder of the version in force, or one of the older version if
// that has clearly less to do.
func (f fleetWork) sampleHolder(holders, olderHolders []Engine, random uint64) Engine {
	if len(olderHolders) == 0 {
		return f.sample(holders, random)
	}
	older := f.sample(olderHolders, random)
	if len(holders) == 0 {
		return older
	}
	newer := f.sample(holders, random)
	if f.wait(older)+olderVersionGain < f.wait(newer) {
		return older
	}
	return newer
}

// loadTarget returns the engine on which to load a cold adapter: one that held it lately, or
// else the first in its rendezvous order where the first event comes hardly later than at
// the next ones.
func (f fleetWork) loadTarget(adapter topology.Adapter, engines []Engine) Engine {
	ordered := rendezvousOrder(adapter, engines, loadCandidates)
	for _, e := range engines {
		if e.HeldLately && !slices.ContainsFunc(ordered, func(o Engine) bool { return o.ID == e.ID }) {
			ordered = append(ordered, e)
		}
	}
	ordered = excludeIfPossible(ordered, loadsPaused)
	earliest := time.Duration(1<<63 - 1)
	for _, e := range ordered {
		earliest = min(earliest, f.expected(e, true).Total())
	}
	for _, e := range ordered {
		if f.expected(e, true).Total() <= earliest+maxHomeDetour {
			return e
		}
	}
	return ordered[0]
}

// meanWait returns the mean wait at some engines.
func (f fleetWork) meanWait(engines []Engine) time.Duration {
	var sum time.Duration
	for _, e := range engines {
		sum += f.wait(e)
	}
	return sum / time.Duration(max(len(engines), 1))
}

// spreadTarget returns the engine on which a hot adapter should also be loaded, or "" for
// none; wait is the mean wait at its holders. The adapter is spread to at most
// maxSpreadFactor times as many engines at a time as hold it.
func (f fleetWork) spreadTarget(adapter topology.Adapter, engines []Engine, wait time.Duration, holders int, random uint64) string {
	if wait < minSpreadWait {
		return ""
	}
	var available []Engine
	for _, e := range engines {
		if !e.Holds && !e.HoldsOlder && !e.LoadsPaused && !e.RateLimited && e.PendingLoads < pendingLoadLimit && f.wait(e)+minSpreadTimeGain <= wait {
			available = append(available, e)
		}
	}
	n := min(int(wait/minSpreadWait), maxSpreadFactor*holders)
	candidates := rendezvousOrder(adapter, available, n)
	if len(candidates) == 0 {
		return ""
	}
	return candidates[random%uint64(len(candidates))].ID
}
