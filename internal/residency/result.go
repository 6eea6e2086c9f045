package residency

import (
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// OrderResult is the engine's answer to an order.
type OrderResult int

// The values of OrderResult.
const (
	// Accepted: the order is being carried out.
	Accepted OrderResult = iota
	// Done: the order has been carried out, or had no effect as its outcome
	// already held.
	Done
	// Conflict: another order is in progress, or the precondition does not hold.
	Conflict
	// Refused: the engine can't carry out the order.
	Refused
	// Unanswered: no answer arrived; the order may have been carried out or may
	// still be.
	Unanswered
)

// String returns the name of the result.
func (r OrderResult) String() string {
	return [...]string{"accepted", "done", "conflict", "refused", "unanswered"}[r]
}

// refusedPause follows an order that the engine refused.
const refusedPause = 500 * time.Millisecond

// ApplyOrderResult updates the state with the engine's answer to an order.
func (e *Engine) ApplyOrderResult(now time.Duration, order Order, result OrderResult) {
	switch result {
	case Accepted, Done:
		e.applySuccess(now, order, result)
	case Conflict:
		e.synced = false
		e.backoffUntil = now + conflictPause
	case Refused:
		e.synced = false
		e.backoffUntil = now + refusedPause
	case Unanswered:
		// The state is kept, so the next order has the same precondition.
		e.backoffUntil = now + unansweredPause
		e.reportChecksUntil = now + reportChecksAfterUnanswered
		if order.Kind == LoadAdapter || order.Kind == CheckLoad {
			e.unanswered[order.Precondition] = now
		}
	}
}

func (e *Engine) applySuccess(now time.Duration, order Order, result OrderResult) {
	occupied := e.slots[order.Adapter]
	if order.Kind == CheckLoad {
		e.applyLoadCheck(now, occupied, result)
		return
	}
	if result == Done && order.Kind != UnloadAdapter {
		// The engine already holds it, so the recorded state is wrong.
		e.synced = false
		return
	}
	e.acceptedOrders++
	e.lastAcceptedAt = now
	switch order.Kind {
	case LoadModel:
		e.modelLoading = true
		e.modelCheckedAt = now
	case LoadAdapter:
		e.startLoad(now, order, occupied)
	case UnloadAdapter:
		if result == Done {
			delete(e.slots, order.Adapter)
			e.addRecent(order.Adapter)
			return
		}
		if occupied != nil {
			occupied.phase = unloading
			occupied.orderCount = e.acceptedOrders
			occupied.scheduleCheck(now, maxCheckInterval/2)
		}
	}
}

// applyLoadCheck updates a slot with the answer to a check of its load.
func (e *Engine) applyLoadCheck(now time.Duration, s *adapterSlot, result OrderResult) {
	switch {
	case s == nil || s.phase != loading:
	case result == Done:
		e.finishLoad(now, s, now-s.orderedAt)
		s.version = s.target
	default:
		s.checkAt = now + s.checkInterval
		s.checkInterval = min(s.checkInterval*5/4, maxLoadCheckInterval)
	}
}

// finishLoad marks an adapter as ready after a load that took loadTime.
func (e *Engine) finishLoad(now time.Duration, s *adapterSlot, loadTime time.Duration) {
	if s.isFetch {
		e.updateLoadTime(loadTime)
	}
	s.isReload, s.isFetch = false, false
	s.doubtful = false
	s.phase = ready
	s.readyAt = now
	s.lastUsedAt = now
}

func (e *Engine) startLoad(now time.Duration, order Order, occupied *adapterSlot) {
	e.loadCount++
	s := occupied
	if s == nil {
		s = &adapterSlot{phase: loading, lastUsedAt: now, decayedAt: now}
		e.slots[order.Adapter] = s
	} else {
		s.phase = replacing
	}
	s.target = order.Version
	s.orderCount = e.acceptedOrders
	s.isReload = e.heldRecently(order.Adapter)
	s.isFetch = occupied == nil && !s.isReload
	expected := e.expectedLoadTime(s.isReload)
	s.scheduleCheck(now, expected)
	if e.checkedByOrder(now, s) {
		s.checkAt = now + time.Duration(firstLoadCheckShare*float64(expected))
		s.checkInterval = minLoadCheckInterval
	}
}

// scheduleCheck sets when the effect of the slot's order is first looked up.
func (s *adapterSlot) scheduleCheck(now, expected time.Duration) {
	s.orderedAt = now
	s.checkAt = now + expected + typicalReportLag
	s.checkInterval = firstCheckInterval
}

func (e *Engine) expectedLoadTime(isReload bool) time.Duration {
	if isReload {
		return time.Duration(float64(e.estimatedLoadTime) * reloadFactor)
	}
	return e.estimatedLoadTime
}

// heldRecently reports whether the engine probably has a copy of the adapter
// from before.
func (e *Engine) heldRecently(adapter topology.Adapter) bool {
	return slices.Contains(e.recentAdapters, adapter)
}

func (e *Engine) addRecent(adapter topology.Adapter) {
	if i := slices.Index(e.recentAdapters, adapter); i >= 0 {
		e.recentAdapters = slices.Delete(e.recentAdapters, i, i+1)
	}
	e.recentAdapters = append(e.recentAdapters, adapter)
	if len(e.recentAdapters) > maxRecentAdapters {
		e.recentAdapters = slices.Delete(e.recentAdapters, 0, 1)
	}
}

// MarkDoubtful records that the engine refused a request for an adapter that
// should be ready. The adapter keeps its slot, but serves no requests until a
// report shows its status.
func (e *Engine) MarkDoubtful(now time.Duration, adapter topology.Adapter) {
	s := e.slots[adapter]
	if s == nil || s.phase != ready {
		return
	}
	s.phase = loading
	s.doubtful = true
	s.target = s.version
	s.orderCount = e.acceptedOrders
	s.orderedAt = now
	s.checkAt = now
	s.checkInterval = firstCheckInterval
}

// RecordFailedCall delays the next action after a call to the engine failed.
func (e *Engine) RecordFailedCall(now time.Duration) {
	e.backoffUntil = now + unansweredPause
}

// ApplyReport updates the state with the engine's report. A report that lags
// behind accepted orders is ignored.
func (e *Engine) ApplyReport(now time.Duration, report topology.EngineReport) {
	if report.Incarnation != 0 && report.Incarnation < e.incarnation {
		e.rescheduleChecks(now)
		return
	}
	if report.Incarnation > e.incarnation {
		e.Reset(report.Incarnation)
	}
	if report.AcceptedOrders < e.acceptedOrders && now-e.lastAcceptedAt < maxReportLag {
		e.rescheduleChecks(now)
		return
	}
	if report.AcceptedOrders > e.acceptedOrders {
		e.handleForeignOrders()
	}
	e.acceptedOrders = report.AcceptedOrders
	e.synced = true
	e.applyModels(now, report)
	e.applyAdapters(now, report)
	e.rescheduleChecks(now)
}

// handleForeignOrders handles orders accepted by the engine that are unknown
// here: those of another daemon, or one sent to an earlier incarnation and
// delivered late. They may have undone replacements and unloads in progress, so
// the report decides which still are.
func (e *Engine) handleForeignOrders() {
	for _, s := range e.slots {
		if s.phase == replacing || s.phase == unloading {
			s.phase = ready
			s.target = 0
		}
	}
}

// rescheduleChecks schedules the next checks of orders still in progress.
func (e *Engine) rescheduleChecks(now time.Duration) {
	for _, s := range e.slots {
		if s.phase != ready && now >= s.checkAt {
			s.checkAt = now + s.checkInterval
			s.checkInterval = min(s.checkInterval*3/2, maxCheckInterval)
		}
	}
	if e.modelLoading && now >= e.modelCheckAt() {
		e.modelCheckedAt = now
	}
	if !e.synced {
		e.backoffUntil = now + conflictPause
	}
}

func (e *Engine) applyModels(now time.Duration, report topology.EngineReport) {
	clear(e.models)
	for _, model := range report.Models {
		e.models[model.Name] = model.Version
	}
	if e.HasModel() || !report.BaseModelChanging && now-e.lastAcceptedAt > maxReportLag {
		e.modelLoading = false
	} else if report.BaseModelChanging {
		e.modelLoading = true
	}
}

func (e *Engine) applyAdapters(now time.Duration, report topology.EngineReport) {
	reported := make(map[topology.Adapter]bool)
	for _, model := range report.Models {
		for _, held := range model.Adapters {
			adapter := topology.Adapter{Model: model.Name, Name: held.Name}
			reported[adapter] = true
			e.applyHeld(now, adapter, held.Version)
		}
	}
	for _, l := range report.Loading {
		reported[l.Adapter] = true
		e.applyLoading(now, l)
	}
	for adapter, s := range e.slots {
		if !reported[adapter] && report.AcceptedOrders >= s.orderCount {
			delete(e.slots, adapter)
			e.addRecent(adapter)
		}
	}
}

// applyLoading records an adapter that is being loaded. The order may be an
// unanswered one, or one of the engine's previous owner.
func (e *Engine) applyLoading(now time.Duration, l topology.LoadingAdapter) {
	s := e.slots[l.Adapter]
	switch {
	case s == nil:
		s = &adapterSlot{phase: loading, lastUsedAt: now, decayedAt: now}
		e.slots[l.Adapter] = s
	case s.phase == ready && now-s.readyAt < maxReportLag && (s.version == 0 || l.Version <= s.version):
		return // the report is older than the end of the load
	case s.phase == ready:
		s.phase = replacing
	default:
		return
	}
	s.target = l.Version
	s.orderCount = e.acceptedOrders
	s.scheduleCheck(now, firstCheckInterval)
}

func (e *Engine) applyHeld(now time.Duration, adapter topology.Adapter, version int64) {
	s := e.slots[adapter]
	if s == nil {
		// Not recorded before, as after a failover of ownership: its use is unknown,
		// so it counts as just used.
		e.slots[adapter] = &adapterSlot{phase: ready, version: version, lastUsedAt: now, decayedAt: now}
		return
	}
	loaded := version >= s.target && s.target != 0 || s.phase == loading
	if (s.phase == loading || s.phase == replacing) && loaded {
		e.finishLoad(now, s, now-s.orderedAt-typicalReportLag)
	}
	s.version = version
}

// ExpectedLoadTime returns the expected time of a load from the weight store.
func (e *Engine) ExpectedLoadTime() time.Duration {
	return e.estimatedLoadTime
}

// updateLoadTime includes a measured load in the moving average of load times.
func (e *Engine) updateLoadTime(duration time.Duration) {
	const weight = 0.2
	sample := max(duration, 10*time.Millisecond)
	e.estimatedLoadTime += time.Duration(weight * float64(sample-e.estimatedLoadTime))
}
