package steer

import (
	"slices"

	"github.com/barleylift/barleylift/internal/topology"
)

func pickEngineToday(adapter topology.Adapter, engines []Engine, random uint64) (Choice, bool) {
	engines = excludeIfPossible(engines, isSuspect)
	if len(engines) == 0 {
		return Choice{}, false
	}
	if adapter.Name == "" {
		return Choice{Engine: leastLoaded(engines, random).ID}, true
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
		return Choice{Engine: loadTarget(adapter, excludeIfPossible(engines, holdsOlder)), NeedsLoad: true}, true
	}
	// A limited engine's turns go to requests for adapters that no other one holds.
	if others := slices.DeleteFunc(slices.Concat(holders, olderHolders), isRateLimited); len(others) > 0 {
		holders, olderHolders = excludeIfPossible(holders, isRateLimited), excludeIfPossible(olderHolders, isRateLimited)
	}
	best := leastLoadedHolder(holders, olderHolders, random)
	choice := Choice{Engine: best.ID}
	if len(holders) < len(olderHolders) {
		choice.SpreadTo = newVersionTarget(adapter, engines, len(olderHolders), random)
	} else {
		choice.SpreadTo = spreadTarget(adapter, engines, best, len(holders)+len(olderHolders), random)
	}
	return choice, true
}
