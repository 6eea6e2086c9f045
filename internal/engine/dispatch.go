package engine

import (
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/placement"
)

// HasCapacity reports whether one more call may be dispatched to some slot.
func (e *Engine) HasCapacity() bool {
	return e.open() && len(e.pins) < e.config.MaxRunning
}

// open reports whether this owner may send calls and orders at all.
func (e *Engine) open() bool {
	return e.tenure.synced && !e.tenure.fenced
}

// CanRun reports whether a call for the adapter could be dispatched now, apart
// from the engine's capacity.
func (e *Engine) CanRun(adapter call.AdapterRef) bool {
	slot := e.find(adapter)
	return e.open() && slot != nil && slot.State == Ready && !e.barred[adapter]
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
	slot.use(now)
	slot.Pins++
	e.pins[attempt] = pin{adapter: adapter, since: now}
	return nil
}

// use counts one use at the time now.
func (s *Slot) use(now time.Time) {
	s.Uses = placement.DecayUses(s.Uses, now.Sub(s.LastUse)) + 1
	s.LastUse = now
}

// EndCall releases a call's pin: the engine has confirmed that the call does not
// run, or the call surely never reached it. Repeated calls have no effect.
func (e *Engine) EndCall(attempt string, now time.Time) {
	if _, ok := e.pins[attempt]; !ok {
		return
	}
	e.release(attempt)
	e.ended[attempt] = now
}

// MarkCallLost tells that it is not known whether a call still runs. Its pin stays
// until a report made later than the horizon does not list the call.
func (e *Engine) MarkCallLost(attempt string, now time.Time) {
	p, ok := e.pins[attempt]
	if !ok || p.foreign {
		return
	}
	p.lost = true
	p.since = now
	e.pins[attempt] = p
}

// MarkDoubtful tells that an answer named another model than the adapter, or
// that the engine denied having it. Nothing is dispatched to the slot until a
// report made later settles it.
func (e *Engine) MarkDoubtful(adapter call.AdapterRef, now time.Time) {
	slot := e.find(adapter)
	if slot == nil || slot.State != Ready {
		return
	}
	slot.State = Doubtful
	slot.doubt = doubtContent
	slot.since = now
}

// MarkFenced records that the engine refused this owner's token.
func (e *Engine) MarkFenced() {
	e.tenure.fenced = true
}

func (e *Engine) release(attempt string) {
	p := e.pins[attempt]
	delete(e.pins, attempt)
	if slot := e.find(p.adapter); slot != nil && slot.Pins > 0 {
		slot.Pins--
	}
}
