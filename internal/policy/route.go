package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/placement"
)

// route returns the engines that a call tries, best first.
func (r *replay) route(now time.Time, adapter call.AdapterRef) []*engine {
	if r.policy.Routing == RouteLeastLoaded {
		return r.leastLoaded(now, adapter)
	}
	if r.policy.Routing == RouteHash {
		return r.candidatesOf(adapter, 1)
	}
	candidates := r.candidatesOf(adapter, r.home.CandidateCount(adapter))
	loads := make([]placement.EngineLoad, len(candidates))
	for i, e := range candidates {
		loads[i] = e.engineLoad(now, adapter)
	}
	r.home.Observe(now, adapter, 1)
	names := r.home.Locate(now, adapter, loads)
	engines := make([]*engine, len(names))
	for i, name := range names {
		engines[i] = r.enginesByName[name]
	}
	return engines
}

// candidatesOf returns the first k engines by rank for an adapter. Unlike a
// daemon, which ranks for each call, it caches the ranking.
func (r *replay) candidatesOf(adapter call.AdapterRef, k int) []*engine {
	engines := r.candidates[adapter.Name]
	k = min(k, len(r.engines))
	if len(engines) >= k {
		return engines[:k]
	}
	engines = nil
	for _, c := range placement.Rank(r.workload.Fleet.Engines, adapter.Name, k) {
		engines = append(engines, r.enginesByName[c.Engine])
	}
	r.candidates[adapter.Name] = engines
	return engines
}

// leastLoaded returns the engines for RouteLeastLoaded.
func (r *replay) leastLoaded(now time.Time, adapter call.AdapterRef) []*engine {
	best := slices.MinFunc(r.engines, func(a, b *engine) int { return compareLoad(a, b) })
	holder := r.leastLoadedHolder(adapter)
	if holder == nil {
		return []*engine{best}
	}
	if holder.running+holder.queue.Len() >= holder.max && best.freeSlots(now) > 0 {
		return []*engine{best, holder}
	}
	return []*engine{holder, best}
}

func (r *replay) leastLoadedHolder(adapter call.AdapterRef) *engine {
	var holder *engine
	for _, e := range r.engines {
		_, held := e.slots[adapter]
		_, loading := e.loads[adapter]
		if (held || loading) && (holder == nil || compareLoad(e, holder) < 0) {
			holder = e
		}
	}
	return holder
}

func compareLoad(a, b *engine) int {
	return cmp.Or(cmp.Compare(a.running+a.queue.Len(), b.running+b.queue.Len()), cmp.Compare(a.index, b.index))
}

func sortResidents(residents []placement.Resident) {
	slices.SortFunc(residents, func(a, b placement.Resident) int { return cmp.Compare(a.Adapter.Name, b.Adapter.Name) })
}
