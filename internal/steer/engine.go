package steer

import (
	"cmp"
	"slices"

	"github.com/barleylift/barleylift/internal/placement"
	"github.com/barleylift/barleylift/internal/topology"
)

// Constants of the choice of an engine.
const (
	// spreadFactor and spreadOffset tell when an adapter's engines count as
	// overloaded: above the mean of all engines by that factor and offset, in
	// running requests.
	spreadFactor = 1.5
	spreadOffset = 6
	// spreadGain is the load of another engine, relative to that of the least
	// loaded holder, below which it is worth loading the adapter there too.
	spreadGain = 0.6
	// longQueue is the number of adapters that wait for a load at an engine at
	// which a cold adapter goes to the next engine: about a second of loads.
	longQueue = 4
	// ranks bounds how far from its home an adapter is loaded.
	ranks = 4
	// busyMargin is how much more loaded than the next engine a home must be,
	// beyond the spread factor, to be passed over for a cold adapter.
	busyMargin = 10
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
	// Outdated tells that it is ready there in an older version that may still
	// be used for a short while.
	Outdated bool
	// Orderless tells that nobody can order the engine at present.
	Orderless bool
	// Queue is the number of adapters that wait for a load there.
	Queue int
	// Suspect tells that requests to the engine have failed lately.
	Suspect bool
}

// Choice is an engine for a request.
type Choice struct {
	Engine string
	// Load tells that the adapter must be loaded there first.
	Load bool
	// Spread names an engine to which the adapter should be loaded as well,
	// for later requests; empty for none.
	Spread string
}

// Pick chooses the engine for a request for an adapter, or for the base model
// if its name is empty. It returns false if there is no engine.
func Pick(adapter topology.Adapter, engines []Engine) (Choice, bool) {
	engines = preferSound(engines)
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
		case e.Outdated:
			outdated = append(outdated, e)
		}
	}
	switch {
	case len(holders) > 0:
		best := least(holders)
		return Choice{Engine: best.ID, Spread: spread(adapter, engines, best)}, true
	case len(outdated) > 0:
		return Choice{Engine: least(outdated).ID, Spread: successor(adapter, engines)}, true
	default:
		return Choice{Engine: home(adapter, engines), Load: true}, true
	}
}

// successor returns the engine on which a new version is loaded while the
// older one still serves: one without the older version, which would first
// have to end its requests.
func successor(adapter topology.Adapter, engines []Engine) string {
	var free []Engine
	for _, e := range engines {
		if !e.Outdated && !e.Orderless {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return home(adapter, engines)
	}
	return home(adapter, free)
}

// preferSound leaves suspect engines out if others are left.
func preferSound(engines []Engine) []Engine {
	sound := make([]Engine, 0, len(engines))
	for _, e := range engines {
		if !e.Suspect {
			sound = append(sound, e)
		}
	}
	if len(sound) == 0 {
		return engines
	}
	return sound
}

// least returns the engine with the fewest running requests for its slots.
func least(engines []Engine) Engine {
	return slices.MinFunc(engines, func(a, b Engine) int {
		if c := cmp.Compare(a.Running*max(b.Slots, 1), b.Running*max(a.Slots, 1)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
}

// order returns the engines in the adapter's rendezvous order.
func order(adapter topology.Adapter, engines []Engine) []Engine {
	byID := make(map[string]Engine, len(engines))
	candidates := make([]placement.Candidate, len(engines))
	for i, e := range engines {
		byID[e.ID] = e
		candidates[i] = placement.Candidate{Engine: e.ID}
	}
	ranked := placement.Rank(candidates, adapter.String(), ranks)
	ordered := make([]Engine, len(ranked))
	for i, c := range ranked {
		ordered[i] = byID[c.Engine]
	}
	return ordered
}

// home returns where a cold adapter is loaded: the first engine of its order
// that can be ordered, has no long queue and is not far more loaded than the next.
func home(adapter topology.Adapter, engines []Engine) string {
	ordered := order(adapter, engines)
	for i, e := range ordered {
		if e.Orderless || e.Queue >= longQueue {
			continue
		}
		if i+1 < len(ordered) {
			next := ordered[i+1]
			overloaded := float64(e.Running) > spreadFactor*float64(next.Running)+busyMargin
			if overloaded && !next.Orderless && next.Queue < longQueue {
				continue
			}
		}
		return e.ID
	}
	shortest := slices.MinFunc(ordered, func(a, b Engine) int {
		if a.Orderless != b.Orderless {
			if b.Orderless {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Queue, b.Queue)
	})
	return shortest.ID
}

// spread returns the engine to which a hot adapter should be loaded as well.
func spread(adapter topology.Adapter, engines []Engine, best Engine) string {
	total := 0
	for _, e := range engines {
		total += e.Running
	}
	mean := float64(total) / float64(len(engines))
	if float64(best.Running) <= spreadFactor*mean+spreadOffset {
		return ""
	}
	for _, e := range order(adapter, engines) {
		if !e.Holds && !e.Orderless && e.Queue < longQueue && float64(e.Running) < spreadGain*float64(best.Running) {
			return e.ID
		}
	}
	return ""
}
