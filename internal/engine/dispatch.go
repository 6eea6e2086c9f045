package engine

import (
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/placement"
)

// HasCapacity reports whether one more call may be dispatched to some slot.
func (e *Engine) HasCapacity() bool {
	return e.maySend() && len(e.pins) < e.config.MaxRunning
}

// maySend reports whether this owner may send calls and orders at all.
func (e *Engine) maySend() bool {
	return e.tenure.synced && !e.tenure.fenced
}

// CanRun reports whether a call for the adapter could be dispatched now, apart
// from the engine's capacity.
func (e *Engine) CanRun(adapter call.AdapterRef) bool {
	slot := e.find(adapter)
	return e.maySend() && slot != nil && slot.State == Ready && !e.barred[adapter]
}

// Dispatch pins the adapter for a call that is about to be sent.
func (e *Engine) Dispatch(attempt string, adapter call.AdapterRef, now time.Time) error {
	switch {
	case e.tenure.fenced:
		return ErrFenced
	case !e.CanRun(adapter):
		return ErrNotReady
	case !e.HasCapacity():
		return ErrBusy
	}
	slot := e.find(adapter)
	slot.recordUse(now)
	slot.Pins++
	e.pins[attempt] = pin{adapter: adapter, changedAt: now}
	return nil
}

// recordUse counts a use of the adapter at now.
func (s *Slot) recordUse(now time.Time) {
	s.Uses = placement.DecayUses(s.Uses, now.Sub(s.LastUse)) + 1
	s.LastUse = now
}

// EndCall releases a call's pin: the engine has confirmed that the call is not
// running, or the call certainly never reached it. Repeated calls of EndCall have
// no effect.
func (e *Engine) EndCall(attempt string, now time.Time) {
	if _, ok := e.pins[attempt]; !ok {
		return
	}
	e.releasePin(attempt)
	e.endedAt[attempt] = now
}

// MarkCallLost records that a call may or may not still run. Its pin stays until
// a report made more than MaxDeliveryDelay later does not list the call.
func (e *Engine) MarkCallLost(attempt string, now time.Time) {
	p, ok := e.pins[attempt]
	if !ok || p.fromPredecessor {
		return
	}
	p.lost = true
	p.changedAt = now
	e.pins[attempt] = p
}

// MarkDoubtful records that a response named a model other than the adapter, or
// that the engine denied having the adapter. Nothing is dispatched to the slot
// until a report made later settles it.
func (e *Engine) MarkDoubtful(adapter call.AdapterRef, now time.Time) {
	slot := e.find(adapter)
	if slot == nil || slot.State != Ready {
		return
	}
	slot.State = Doubtful
	slot.doubt = doubtContent
	slot.reportAfter = now
}

// MarkFenced records that the engine refused this owner's token.
func (e *Engine) MarkFenced() {
	e.tenure.fenced = true
}

func (e *Engine) releasePin(attempt string) {
	p := e.pins[attempt]
	delete(e.pins, attempt)
	if slot := e.find(p.adapter); slot != nil && slot.Pins > 0 {
		slot.Pins--
	}
}
