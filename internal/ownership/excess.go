package ownership

import (
	"cmp"
	"slices"
)

// Excess returns the holdings by which this daemon exceeds the load bound of
// one and a half times the mean, starting with those for which it ranks worst. It
// releases nothing itself: a daemon that can drain a resource without
// interrupting a call may then Release it, and the others acquire it by rank.
func (m *Manager) Excess() []Holding {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.table.excess()
}

func (t *table) excess() []Holding {
	surplus := -t.headroom()
	if surplus <= 0 {
		return nil
	}
	type ranked struct {
		holding Holding
		rank    int
	}
	var holdings []ranked
	for _, s := range t.resources {
		if s.phase != held {
			continue
		}
		rank := rankOf(s.resource, t.locationOf(s.resource), t.self, t.members)
		holdings = append(holdings, ranked{Holding{s.resource, s.token}, rank})
	}
	slices.SortFunc(holdings, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), compareResources(a.holding.Resource, b.holding.Resource))
	})
	var excess []Holding
	for _, h := range holdings[:min(surplus, len(holdings))] {
		excess = append(excess, h.holding)
	}
	return excess
}
