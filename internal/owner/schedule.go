package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/engine"
	"github.com/barleylift/barleylift/internal/queue"
)

// loadWait estimates the time until an adapter is ready. The caller holds t.mu.
func (t *tenure) loadWait(adapter call.AdapterRef, now time.Time) time.Duration {
	if t.agg.CanRun(adapter) {
		return 0
	}
	estimate := t.stall.At(now)
	if l := t.loads[adapter]; l != nil {
		return max(estimate-now.Sub(l.startedAt), 0)
	}
	return estimate
}

// schedule dispatches queued calls that can run and starts the loads that
// waiting calls need. It is called after every event. The caller holds t.mu.
func (t *tenure) schedule(now time.Time) {
	t.updateStalls(now)
	if t.ended || t.leaving {
		return
	}
	for t.queue.Len() > 0 && t.agg.HasCapacity() {
		item, ok := t.queue.Pop(now, t.agg.CanRun)
		if !ok {
			break
		}
		t.dispatch(item, now)
	}
	if t.queue.Len() > 0 {
		t.startLoads(now)
	}
}

func (t *tenure) dispatch(item queue.Item, now time.Time) {
	if err := t.agg.Dispatch(item.ID, item.Adapter, now); err != nil {
		panic("owner: dispatch of a ready call: " + err.Error())
	}
	w := t.waiting[item.ID]
	t.removeWaiter(w)
	t.running[item.ID] = &runningCall{}
	w.decided <- decision{}
}

// demand holds the calls that wait for one adapter.
type demand struct {
	waiters map[*waiter]struct{}
	// notReadySince is when the adapter was first found not to be ready; zero
	// while it is ready.
	notReadySince time.Time
}

// stallOf returns how long a call has waited while the adapter was not ready, or
// 0 if it is ready. Earlier stalls are not included.
func (d *demand) stallOf(w *waiter, now time.Time) time.Duration {
	switch {
	case d.notReadySince.IsZero():
		return 0
	case d.notReadySince.Before(w.lastEnqueuedAt):
		return now.Sub(w.lastEnqueuedAt)
	default:
		return now.Sub(d.notReadySince)
	}
}

// addWaiter registers a waiting call. The caller holds t.mu.
func (t *tenure) addWaiter(w *waiter, now time.Time) {
	w.lastEnqueuedAt = now
	t.waiting[w.item.ID] = w
	d := t.demands[w.item.Adapter]
	if d == nil {
		d = &demand{waiters: map[*waiter]struct{}{}}
		t.demands[w.item.Adapter] = d
	}
	d.waiters[w] = struct{}{}
}

// removeWaiter removes a waiting call. If it was the last one for its adapter,
// the adapter's load is cancelled unless it already has its permit. The caller
// holds t.mu.
func (t *tenure) removeWaiter(w *waiter) {
	delete(t.waiting, w.item.ID)
	adapter := w.item.Adapter
	d := t.demands[adapter]
	w.stall += d.stallOf(w, time.Now())
	delete(d.waiters, w)
	if len(d.waiters) > 0 {
		return
	}
	delete(t.demands, adapter)
	if l := t.loads[adapter]; l != nil {
		l.cancel()
	}
}

// updateStalls updates which of the adapters that calls wait for are ready, and
// adds finished stalls to their waiters. The caller holds t.mu.
func (t *tenure) updateStalls(now time.Time) {
	for adapter, d := range t.demands {
		ready := t.agg.CanRun(adapter)
		switch {
		case ready && !d.notReadySince.IsZero():
			for w := range d.waiters {
				w.stall += d.stallOf(w, now)
			}
			d.notReadySince = time.Time{}
		case !ready && d.notReadySince.IsZero():
			d.notReadySince = now
		}
	}
}

// startLoads starts loads for the adapters that calls wait for, in descending
// order of pressure, as far as slots and MaxLoads allow. The caller holds t.mu.
func (t *tenure) startLoads(now time.Time) {
	room := min(t.countLoadableSlots(), t.pool.config.MaxLoads) - len(t.loads)
	if room <= 0 {
		return
	}
	demands := t.queue.Demands(now)
	slices.SortFunc(demands, func(a, b queue.Demand) int { return cmp.Compare(b.Pressure, a.Pressure) })
	for _, demand := range demands {
		if room <= 0 {
			return
		}
		if t.needsLoad(demand.Adapter) && t.loads[demand.Adapter] == nil {
			t.startLoad(demand, now)
			room--
		}
	}
}

// needsLoad reports whether calls wait for an adapter that no slot holds and
// that may be loaded. The caller holds t.mu.
func (t *tenure) needsLoad(adapter call.AdapterRef) bool {
	return t.demands[adapter] != nil && t.agg.Synced() && t.agg.StateOf(adapter) == engine.Empty && !t.agg.Barred(adapter)
}

// isLoadBlocked reports whether an adapter cannot be loaded as long as the
// lease is not valid or predecessors are not known to have stopped: no slot
// holds it, none is empty and nothing may be evicted. The caller holds t.mu.
func (t *tenure) isLoadBlocked(adapter call.AdapterRef) bool {
	leaseValid := t.leaseValid()
	if !t.agg.Synced() || t.agg.MayUnload(leaseValid) || leaseValid && !t.agg.NeedsPredecessorsStopped() {
		return false
	}
	for _, slot := range t.agg.Slots() {
		if slot.State == engine.Empty || slot.Adapter == adapter {
			return false
		}
	}
	return true
}

// countLoadableSlots counts the slots that loads can use: empty ones, those of
// orders in progress, and those whose adapter may be evicted.
func (t *tenure) countLoadableSlots() int {
	room := len(t.victims())
	for _, slot := range t.agg.Slots() {
		if slot.State == engine.Empty || slot.State == engine.Loading || slot.State == engine.Unloading {
			room++
		}
	}
	return room
}

// victims returns the slots that may be evicted and whose adapter no call waits
// for.
func (t *tenure) victims() []engine.Slot {
	if time.Now().Before(t.evictNotBefore) {
		return nil
	}
	slots := t.agg.Evictable(t.leaseValid())
	return slices.DeleteFunc(slots, func(s engine.Slot) bool { return t.demands[s.Adapter] != nil })
}
