package placement

import (
	"math"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// CandidateCount returns the number of candidates whose loads Locate wants to see
// for the adapter: the least number, or twice its replicas if that is more.
func (h *Home) CandidateCount(adapter call.AdapterRef) int {
	if element, ok := h.states[adapter]; ok {
		return max(h.cfg.MinCandidates, 2*element.Value.(*homeState).replicas)
	}
	return h.cfg.MinCandidates
}

// Locate returns the engines to try for one call, best first. The loads are
// those of the adapter's candidates in rank order. The first engine is the
// less loaded of two of the adapter's replicas, or a new replica; the other
// replicas follow, then the rest in rank order. The result covers all the
// given loads.
func (h *Home) Locate(now time.Time, adapter call.AdapterRef, loads []EngineLoad) []string {
	if len(loads) == 0 {
		return nil
	}
	h.forget(now)
	state := h.touch(now, adapter)
	replicas := holders(loads)
	if len(replicas) == 0 {
		replicas = []int{h.coldest(loads)}
	}
	if next, ok := h.spread(now, state, loads, replicas); ok {
		return order(loads, replicas, next)
	}
	h.shrink(now, state)
	replicas = replicas[:min(len(replicas), state.replicas)]
	return order(loads, replicas, h.pick(loads, replicas))
}

// holders returns the indexes of loads that hold the adapter: those where it
// is resident in rank order, then those where it is loading.
func holders(loads []EngineLoad) []int {
	var resident, loading []int
	for i, l := range loads {
		switch {
		case l.Resident:
			resident = append(resident, i)
		case l.Loading:
			loading = append(loading, i)
		}
	}
	return append(resident, loading...)
}

// spread decides whether the adapter gets another replica: all that it has
// are full, it brings enough calls to be worth a load, and there is room. The
// call that causes it goes to the new replica, so that it is loaded.
func (h *Home) spread(now time.Time, state *homeState, loads []EngineLoad, holders []int) (int, bool) {
	if len(holders) >= min(len(loads), h.cfg.MaxReplicas) || now.Sub(state.spread) < h.cfg.SpreadInterval/time.Duration(len(holders)) {
		return 0, false
	}
	if h.demandAt(now, state) < h.cfg.SpreadDemand*float64(len(holders)) {
		return 0, false
	}
	least := math.Inf(1)
	for _, i := range holders {
		if !loads[i].Resident || loads[i].fill() < h.cfg.SpreadFill {
			return 0, false
		}
		least = min(least, loads[i].fill())
	}
	next, ok := nextReplica(loads)
	if !ok || loads[next].FreeSlots == 0 || loads[next].fill() >= max(h.cfg.SpreadFill, spreadGain*least) {
		return 0, false
	}
	state.spread = now
	state.replicas = len(holders) + 1
	return next, true
}

// shrink drops a replica when the demand has been low for long enough. The
// dropped engine keeps the adapter until it needs the slot.
func (h *Home) shrink(now time.Time, state *homeState) {
	rest := float64(state.replicas - 1)
	if state.replicas <= 1 || h.demandAt(now, state) >= rest*h.cfg.SpreadDemand/2 {
		state.lowSince = time.Time{}
		return
	}
	if state.lowSince.IsZero() {
		state.lowSince = now
		return
	}
	if now.Sub(state.lowSince) >= h.cfg.ShrinkDelay {
		state.replicas--
		state.lowSince = now
	}
}

// nextReplica returns the least filled engine that does not hold the adapter,
// preferring one with a free slot, false if all hold it.
func nextReplica(loads []EngineLoad) (int, bool) {
	best := -1
	for i, l := range loads {
		if !l.holds() && (best < 0 || roomier(l, loads[best])) {
			best = i
		}
	}
	return best, best >= 0
}

func roomier(a, b EngineLoad) bool {
	if (a.FreeSlots > 0) != (b.FreeSlots > 0) {
		return a.FreeSlots > 0
	}
	return a.fill() < b.fill()
}

// coldest returns the engine for an adapter that no candidate holds: the first
// in rank order with a free slot and a load within the bound (Mirrokni,
// Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018),
// else the roomiest.
func (h *Home) coldest(loads []EngineLoad) int {
	total := 0.0
	for _, l := range loads {
		total += l.fill()
	}
	bound := h.cfg.LoadBound * (total + 1) / float64(len(loads))
	best := 0
	for i, l := range loads {
		if l.FreeSlots > 0 && l.fill() <= bound {
			return i
		}
		if roomier(l, loads[best]) {
			best = i
		}
	}
	return best
}

// pick returns the less filled of two replicas drawn at random (Mitzenmacher,
// "The Power of Two Choices in Randomized Load Balancing", 2001), preferring
// one where the adapter is resident.
func (h *Home) pick(loads []EngineLoad, replicas []int) int {
	if len(replicas) == 1 {
		return replicas[0]
	}
	a := h.rand.IntN(len(replicas))
	b := h.rand.IntN(len(replicas) - 1)
	if b >= a {
		b++
	}
	first, second := replicas[min(a, b)], replicas[max(a, b)]
	if loads[first].Resident != loads[second].Resident {
		if loads[second].Resident {
			return second
		}
		return first
	}
	if loads[second].fill() < loads[first].fill() {
		return second
	}
	return first
}

// order returns engine names: the chosen one, the other replicas, then the
// rest in rank order.
func order(loads []EngineLoad, replicas []int, first int) []string {
	names := make([]string, 0, len(loads))
	used := make([]bool, len(loads))
	add := func(i int) {
		if !used[i] {
			used[i] = true
			names = append(names, loads[i].Engine)
		}
	}
	add(first)
	for _, i := range replicas {
		add(i)
	}
	for i := range loads {
		add(i)
	}
	return names
}
