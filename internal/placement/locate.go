package placement

import (
	"math"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// CandidateCount returns the number of candidates whose loads should be passed
// to Locate: MinCandidates, or twice the adapter's replicas if that is more.
func (h *Home) CandidateCount(adapter call.AdapterRef) int {
	if element, ok := h.records[adapter]; ok {
		return max(h.cfg.MinCandidates, 2*element.Value.(*adapterRecord).replicas)
	}
	return h.cfg.MinCandidates
}

// Locate returns the engines to try for one call, best first. The loads are
// those of the adapter's candidates in rank order. The first engine is the
// less loaded of two randomly chosen replicas, or a new replica; the other
// replicas follow, then the rest in rank order. The result contains each of
// the given engines.
func (h *Home) Locate(now time.Time, adapter call.AdapterRef, loads []EngineLoad) []string {
	if len(loads) == 0 {
		return nil
	}
	h.expireIdle(now)
	record := h.touch(now, adapter)
	replicas := replicaIndexes(loads)
	if len(replicas) == 0 {
		replicas = []int{h.firstReplica(loads)}
	}
	if next, ok := h.spread(now, record, loads, replicas); ok {
		return preferenceOrder(loads, replicas, next)
	}
	h.shrink(now, record)
	replicas = replicas[:min(len(replicas), record.replicas)]
	return preferenceOrder(loads, replicas, h.pickReplica(loads, replicas))
}

// replicaIndexes returns the indexes of the engines that hold the adapter: those
// where it is resident, in rank order, then those where it is loading.
func replicaIndexes(loads []EngineLoad) []int {
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

// spread decides whether the adapter gets another replica, and returns its
// index: all replicas are full, the demand is worth a load, and an engine has
// room. The call is routed to the new replica, which triggers the load.
func (h *Home) spread(now time.Time, record *adapterRecord, loads []EngineLoad, replicas []int) (int, bool) {
	if len(replicas) >= min(len(loads), h.cfg.MaxReplicas) || now.Sub(record.lastSpread) < h.cfg.SpreadInterval/time.Duration(len(replicas)) {
		return 0, false
	}
	if h.demandAt(now, record) < h.cfg.SpreadDemand*float64(len(replicas)) {
		return 0, false
	}
	minFill := math.Inf(1)
	for _, i := range replicas {
		if !loads[i].Resident || loads[i].fill() < h.cfg.SpreadFill {
			return 0, false
		}
		minFill = min(minFill, loads[i].fill())
	}
	next, ok := nextReplica(loads)
	if !ok || loads[next].FreeSlots == 0 || loads[next].fill() >= max(h.cfg.SpreadFill, maxRelativeFill*minFill) {
		return 0, false
	}
	record.lastSpread = now
	record.replicas = len(replicas) + 1
	return next, true
}

// shrink drops a replica when the demand has been low for ShrinkDelay. The
// engine keeps the adapter loaded until it needs the slot.
func (h *Home) shrink(now time.Time, record *adapterRecord) {
	rest := float64(record.replicas - 1)
	if record.replicas <= 1 || h.demandAt(now, record) >= rest*h.cfg.SpreadDemand/2 {
		record.lowSince = time.Time{}
		return
	}
	if record.lowSince.IsZero() {
		record.lowSince = now
		return
	}
	if now.Sub(record.lowSince) >= h.cfg.ShrinkDelay {
		record.replicas--
		record.lowSince = now
	}
}

// nextReplica returns the index of the least filled engine that does not hold
// the adapter, preferring those with a free slot; false if all hold it.
func nextReplica(loads []EngineLoad) (int, bool) {
	best := -1
	for i, l := range loads {
		if !l.holds() && (best < 0 || hasMoreRoom(l, loads[best])) {
			best = i
		}
	}
	return best, best >= 0
}

func hasMoreRoom(a, b EngineLoad) bool {
	if (a.FreeSlots > 0) != (b.FreeSlots > 0) {
		return a.FreeSlots > 0
	}
	return a.fill() < b.fill()
}

// firstReplica returns the index of the engine for an adapter that no candidate
// holds: the first in rank order with a free slot and a fill within the bound
// (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads",
// 2018), else the one with the most room.
func (h *Home) firstReplica(loads []EngineLoad) int {
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
		if hasMoreRoom(l, loads[best]) {
			best = i
		}
	}
	return best
}

// pickReplica returns the index of the less filled of two replicas drawn at
// random (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
// 2001), preferring one where the adapter is resident.
func (h *Home) pickReplica(loads []EngineLoad, replicas []int) int {
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

// preferenceOrder returns the engine names: the chosen one, the other replicas,
// then the rest in rank order.
func preferenceOrder(loads []EngineLoad, replicas []int, first int) []string {
	names := make([]string, 0, len(loads))
	added := make([]bool, len(loads))
	add := func(i int) {
		if !added[i] {
			added[i] = true
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
