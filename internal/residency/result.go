package residency

import (
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// OrderResult is how the engine answered an order.
type OrderResult int

// The answers to an order.
const (
	// Accepted: the order is being carried out.
	Accepted OrderResult = iota
	// Done: the order has been carried out, or already held.
	Done
	// Conflict: another order is in progress, or the precondition does not hold.
	Conflict
	// Refused: the order is not possible.
	Refused
	// Unanswered: the order may have been carried out, or may be later.
	Unanswered
)

// String returns the name of the result.
func (r OrderResult) String() string {
	return [...]string{"accepted", "done", "conflict", "refused", "unanswered"}[r]
}

// refusedPause follows an order that the engine calls impossible.
const refusedPause = 500 * time.Millisecond

// ApplyOrderResult takes over the answer to an order.
func (e *Engine) ApplyOrderResult(now time.Duration, order Order, result OrderResult) {
	switch result {
	case Accepted, Done:
		e.carriedOut(now, order, result)
	case Conflict:
		e.known = false
		e.notUntil = now + conflictPause
	case Refused:
		e.known = false
		e.notUntil = now + refusedPause
	case Unanswered:
		// The state stays: whatever is ordered next has the same precondition.
		e.notUntil = now + unansweredPause
		if order.Kind == LoadAdapter {
			e.unanswered[order.Precondition] = now
		}
	}
}

func (e *Engine) carriedOut(now time.Duration, order Order, result OrderResult) {
	held := e.places[order.Adapter]
	if result == Done && order.Kind != UnloadAdapter {
		// The engine holds it already, contrary to the state here.
		e.known = false
		return
	}
	e.orders++
	e.accepted = now
	switch order.Kind {
	case LoadModel:
		e.modelLoading = true
		e.modelOrdered = now
	case LoadAdapter:
		e.startLoad(now, order, held)
	case UnloadAdapter:
		if result == Done {
			delete(e.places, order.Adapter)
			e.remember(order.Adapter)
			return
		}
		if held != nil {
			held.phase = leaving
			held.order = e.orders
			held.schedule(now, maxRecheck/2)
		}
	}
}

func (e *Engine) startLoad(now time.Duration, order Order, held *place) {
	p := held
	if p == nil {
		p = &place{phase: loading, lastUse: now, agedAt: now}
		e.places[order.Adapter] = p
	} else {
		p.phase = replacing
	}
	p.target = order.Version
	p.order = e.orders
	p.schedule(now, e.expectedLoad(order.Adapter))
}

// schedule sets when the engine is first asked about the place's order.
func (p *place) schedule(now, expected time.Duration) {
	p.since = now
	p.check = now + expected + reportLag
	p.recheck = firstRecheck
}

func (e *Engine) expectedLoad(adapter topology.Adapter) time.Duration {
	if slices.Contains(e.recent, adapter) {
		return time.Duration(float64(e.loadTime) * reloadShare)
	}
	return e.loadTime
}

func (e *Engine) remember(adapter topology.Adapter) {
	if i := slices.Index(e.recent, adapter); i >= 0 {
		e.recent = slices.Delete(e.recent, i, i+1)
	}
	e.recent = append(e.recent, adapter)
	if len(e.recent) > recentLimit {
		e.recent = slices.Delete(e.recent, 0, 1)
	}
}

// MarkDoubtful takes over that the engine refused a request for an adapter that
// should be ready. The adapter keeps its place, but serves no request until a
// report tells how it stands.
func (e *Engine) MarkDoubtful(now time.Duration, adapter topology.Adapter) {
	p := e.places[adapter]
	if p == nil || p.phase != ready {
		return
	}
	p.phase = loading
	p.target = p.version
	p.order = e.orders
	p.since = now
	p.check = now
	p.recheck = firstRecheck
}

// RecordFailedCall takes over that the engine did not answer the question for a report.
func (e *Engine) RecordFailedCall(now time.Duration) {
	e.notUntil = now + unansweredPause
}

// ApplyReport takes over the engine's report. A report that lags behind accepted
// orders changes nothing.
func (e *Engine) ApplyReport(now time.Duration, report topology.EngineReport) {
	if report.Incarnation != 0 && report.Incarnation < e.born {
		e.postpone(now)
		return
	}
	if report.Incarnation > e.born {
		e.Reset(report.Incarnation)
	}
	if report.AcceptedOrders < e.orders && now-e.accepted < staleReport {
		e.postpone(now)
		return
	}
	if report.AcceptedOrders > e.orders {
		e.strangeOrders()
	}
	e.orders = report.AcceptedOrders
	e.known = true
	e.takeModels(now, report)
	e.takePlaces(now, report)
	e.postpone(now)
}

// strangeOrders takes over that the engine has accepted orders of which nothing
// is known here: of another daemon, or one of its earlier process's that came
// late. They may have undone what is under way, so the report decides what
// still is.
func (e *Engine) strangeOrders() {
	for _, p := range e.places {
		if p.phase == replacing || p.phase == leaving {
			p.phase = ready
			p.target = 0
		}
	}
}

// postpone sets the next question about orders that are still under way.
func (e *Engine) postpone(now time.Duration) {
	for _, p := range e.places {
		if p.phase != ready && now >= p.check {
			p.check = now + p.recheck
			p.recheck = min(p.recheck*3/2, maxRecheck)
		}
	}
	if e.modelLoading && now >= e.modelCheck() {
		e.modelOrdered = now
	}
	if !e.known {
		e.notUntil = now + conflictPause
	}
}

func (e *Engine) takeModels(now time.Duration, report topology.EngineReport) {
	clear(e.models)
	for _, model := range report.Models {
		e.models[model.Name] = model.Version
	}
	if e.HasModel() || !report.BaseModelChanging && now-e.accepted > staleReport {
		e.modelLoading = false
	} else if report.BaseModelChanging {
		e.modelLoading = true
	}
}

func (e *Engine) takePlaces(now time.Duration, report topology.EngineReport) {
	seen := make(map[topology.Adapter]bool)
	for _, model := range report.Models {
		for _, held := range model.Adapters {
			adapter := topology.Adapter{Model: model.Name, Name: held.Name}
			seen[adapter] = true
			e.takeHeld(now, adapter, held.Version)
		}
	}
	for _, l := range report.Loading {
		seen[l.Adapter] = true
		e.takeLoading(now, l)
	}
	for adapter, p := range e.places {
		if !seen[adapter] && report.AcceptedOrders >= p.order {
			delete(e.places, adapter)
			e.remember(adapter)
		}
	}
}

// takeLoading takes over an adapter on its way. It may come from an order
// without an answer, or from the daemon that ordered the engine before.
func (e *Engine) takeLoading(now time.Duration, l topology.LoadingAdapter) {
	p := e.places[l.Adapter]
	switch {
	case p == nil:
		p = &place{phase: loading, lastUse: now, agedAt: now}
		e.places[l.Adapter] = p
	case p.phase == ready:
		p.phase = replacing
	default:
		return
	}
	p.target = l.Version
	p.order = e.orders
	p.schedule(now, firstRecheck)
}

func (e *Engine) takeHeld(now time.Duration, adapter topology.Adapter, version int64) {
	p := e.places[adapter]
	if p == nil {
		// Found at a take-over: its use is unknown, so it gets the benefit of the doubt.
		e.places[adapter] = &place{phase: ready, version: version, lastUse: now, agedAt: now}
		return
	}
	arrived := version >= p.target && p.target != 0 || p.phase == loading
	if (p.phase == loading || p.phase == replacing) && arrived {
		if p.phase == loading && !slices.Contains(e.recent, adapter) {
			e.measured(now - p.since)
		}
		p.phase = ready
		p.lastUse = now
	}
	p.version = version
}

// measured takes over the duration of a load, less the lag of reports.
func (e *Engine) measured(duration time.Duration) {
	const weight = 0.2
	sample := max(duration-reportLag, 10*time.Millisecond)
	e.loadTime += time.Duration(weight * float64(sample-e.loadTime))
}
