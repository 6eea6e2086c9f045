package engine

import (
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// Report is the part of an engine's load report that the aggregate uses.
type Report struct {
	// Poll is the number of the request for the report; responses to earlier
	// requests are ignored.
	Poll   uint64
	BootID string
	// Sequence is the number of the report within one engine process; 0 if the
	// engine does not number its reports.
	Sequence uint64
	// NotBefore is the earliest time at which the report can have been made.
	NotBefore time.Time
	Running   map[string]call.AdapterRef
	Resident  []call.AdapterRef
}

// Apply updates the aggregate from a report. It returns whether the engine has
// restarted.
func (e *Engine) Apply(r Report, now time.Time) (restarted bool) {
	if r.Poll <= e.lastPoll || e.outdated(r) {
		return false
	}
	e.lastPoll = r.Poll
	e.lastSequence = r.Sequence
	e.lastNotBefore = r.NotBefore
	restarted = e.bootID != "" && r.BootID != e.bootID
	if restarted {
		e.handleRestart(now)
	}
	e.bootID = r.BootID
	resident := make(map[call.AdapterRef]bool, len(r.Resident))
	for _, adapter := range r.Resident {
		resident[adapter] = true
	}
	e.settleSlots(r, resident, now)
	e.addUnknownResidents(r, now)
	e.settlePins(r, now)
	e.advanceTenure(r)
	e.prune(r)
	return restarted
}

// outdated reports whether a newer report of the same engine process was applied.
func (e *Engine) outdated(r Report) bool {
	if r.BootID != e.bootID {
		return false
	}
	return r.Sequence < e.lastSequence || r.NotBefore.Before(e.lastNotBefore)
}

// handleRestart empties the slots: a new engine process has nothing loaded.
// Outstanding orders may have reached either process, and so may calls that were
// dispatched before the restart was noticed; their pins stay until they end.
func (e *Engine) handleRestart(now time.Time) {
	for attempt, p := range e.pins {
		if p.fromPredecessor {
			delete(e.pins, attempt)
		}
	}
	clear(e.endedAt)
	clear(e.unloadedAt)
	if e.config.ChecksFencing {
		e.tenure.reset()
	}
	for i := range e.slots {
		e.slots[i].handleRestart(now)
	}
	for i := range e.slots {
		e.countPins(&e.slots[i])
	}
}

// handleRestart updates the slot for a new engine process. An outstanding order
// keeps its slot until it has ended: on an open connection it may reach the new
// process at any time.
func (s *Slot) handleRestart(now time.Time) {
	switch s.State {
	case Loading, Unloading:
		s.spansRestart = true
	case Doubtful:
		s.effectAfter = s.reportAfter
	default:
		s.clear(now)
	}
}

// settleSlots updates the slots that the report is late enough to describe.
func (e *Engine) settleSlots(r Report, resident map[call.AdapterRef]bool, now time.Time) {
	for i := range e.slots {
		slot := &e.slots[i]
		if !r.NotBefore.After(slot.settledAfter(resident[slot.Adapter])) {
			continue
		}
		switch slot.State {
		case Ready:
			if !resident[slot.Adapter] {
				e.handleMissing(slot, now)
			}
		case Doubtful:
			e.settleDoubt(slot, resident[slot.Adapter], now)
		}
	}
}

// settledAfter returns the time after which a report that does, or does not, list
// the adapter describes the slot. A report that shows the effect of a lost order
// only has to be made after the order began: an order takes effect once.
func (s *Slot) settledAfter(resident bool) time.Time {
	effectShown := s.doubt == doubtLoad && resident || s.doubt == doubtUnload && !resident
	if s.State == Doubtful && effectShown {
		return s.effectAfter
	}
	return s.reportAfter
}

// handleMissing handles an adapter that the engine no longer has.
func (e *Engine) handleMissing(slot *Slot, now time.Time) {
	if slot.Pins == 0 {
		slot.clear(now)
		return
	}
	slot.State = Doubtful
	slot.doubt = doubtContent
	slot.reportAfter = now
}

func (e *Engine) settleDoubt(slot *Slot, resident bool, now time.Time) {
	switch {
	case resident:
		slot.State = Ready
		slot.reportAfter = now
	case slot.Pins == 0:
		e.unloadedAt[slot.Adapter] = now
		slot.clear(now)
	}
}

// addUnknownResidents assigns empty slots to resident adapters without a slot.
func (e *Engine) addUnknownResidents(r Report, now time.Time) {
	for _, adapter := range r.Resident {
		unloadedAt, unloaded := e.unloadedAt[adapter]
		if e.find(adapter) != nil || unloaded && !r.NotBefore.After(unloadedAt) {
			continue
		}
		slot := e.emptySlot()
		if slot == nil {
			return
		}
		*slot = Slot{State: Ready, Adapter: adapter, reportAfter: r.NotBefore, LastUse: now}
		e.countPins(slot)
	}
}

// countPins sets the slot's count of pins on its adapter.
func (e *Engine) countPins(slot *Slot) {
	slot.Pins = 0
	for _, p := range e.pins {
		if p.adapter == slot.Adapter {
			slot.Pins++
		}
	}
}

// settlePins releases the pins of lost calls and of predecessors' calls that the
// report does not list, and pins the adapters of listed calls that this owner did
// not send.
func (e *Engine) settlePins(r Report, now time.Time) {
	for attempt, p := range e.pins {
		_, listed := r.Running[attempt]
		if !listed && (p.lost || p.fromPredecessor) && r.NotBefore.After(e.pinSettledAfter(p)) {
			e.releasePin(attempt)
		}
	}
	for attempt, adapter := range r.Running {
		_, pinned := e.pins[attempt]
		endedAt, ended := e.endedAt[attempt]
		if pinned || ended && !r.NotBefore.After(endedAt) {
			continue
		}
		e.pins[attempt] = pin{adapter: adapter, fromPredecessor: true, changedAt: r.NotBefore}
		if slot := e.find(adapter); slot != nil {
			slot.Pins++
		}
	}
}

func (e *Engine) pinSettledAfter(p pin) time.Time {
	if p.fromPredecessor {
		return p.changedAt
	}
	return p.changedAt.Add(e.config.MaxDeliveryDelay)
}

// prune drops the ended calls and unloaded adapters that only reports made before
// this one could still list.
func (e *Engine) prune(r Report) {
	for attempt, at := range e.endedAt {
		if r.NotBefore.After(at) {
			delete(e.endedAt, attempt)
		}
	}
	for adapter, at := range e.unloadedAt {
		if r.NotBefore.After(at) {
			delete(e.unloadedAt, adapter)
		}
	}
}
