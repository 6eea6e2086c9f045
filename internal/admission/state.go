package admission

import (
	"time"

	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// WaitingForBatch returns the number of requests that wait for room in the
// engine's batch. Those that wait for their adapter's load are not counted: they
// don't delay requests for adapters that the engine holds.
func (g *Gate) WaitingForBatch(status func(topology.Adapter, int64) residency.Status) int {
	return g.countWaiting(status, residency.Ready)
}

// WaitingForLoad returns the number of requests that wait for their adapter's load.
func (g *Gate) WaitingForLoad(status func(topology.Adapter, int64) residency.Status) int {
	return g.countWaiting(status, residency.Waiting)
}

// WaitingWork returns the time that the engine needs for the prompts that it has yet to
// prefill: those that were admitted and those that wait for room in its batch.
func (g *Gate) WaitingWork(now time.Duration, status func(topology.Adapter, int64) residency.Status) time.Duration {
	waiting := time.Duration(0)
	for _, w := range g.waiting {
		if status(w.Adapter, w.Version) == residency.Ready {
			waiting += g.prefillTime(w.PromptTokens)
		}
	}
	return g.pacer.backlog(now) + waiting
}

// PrefillPerToken returns the learned time to prefill one token of a prompt.
func (g *Gate) PrefillPerToken() time.Duration {
	return g.pacer.model.PerToken()
}

// countWaiting returns the number of waiting requests whose adapter has a status.
func (g *Gate) countWaiting(status func(topology.Adapter, int64) residency.Status, want residency.Status) int {
	n := 0
	for _, w := range g.waiting {
		if status(w.Adapter, w.Version) == want {
			n++
		}
	}
	return n
}

// WaitingAdapters calls yield for each adapter version that requests wait for,
// with the demand for it if a load takes loadTime from now on.
func (g *Gate) WaitingAdapters(now, loadTime time.Duration, yield func(adapter topology.Adapter, version int64, demand residency.Demand)) {
	type adapterVersion struct {
		adapter topology.Adapter
		version int64
	}
	demands := make(map[adapterVersion]residency.Demand)
	for _, w := range g.waiting {
		key := adapterVersion{w.Adapter, w.Version}
		demand := demands[key]
		switch {
		case !g.isLate(now+loadTime, w):
			if demand.Timely == 0 || w.FirstEventDue < demand.Due {
				demand.Due = w.FirstEventDue
			}
			demand.Timely += weight(w.Priority)
		case now+loadTime < w.Deadline:
			demand.Late += weight(w.Priority)
		}
		demands[key] = demand
	}
	for key, demand := range demands {
		yield(key.adapter, key.version, demand)
	}
}

// weight returns the weight in load requests of a request with the priority.
func weight(priority int) float64 {
	const lowest = 4
	return float64(1 + max(lowest-priority, 0))
}
