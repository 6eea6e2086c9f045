package engine

import (
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// Report is a load report as the aggregate reads it.
type Report struct {
	// Poll numbers the requests for reports; answers to older ones are ignored.
	Poll   uint64
	BootID string
	// Sequence numbers the reports of one engine process; 0 if it does not.
	Sequence uint64
	// NotBefore is the earliest moment at which the report can have been made.
	NotBefore time.Time
	Running   map[string]call.AdapterRef
	Resident  []call.AdapterRef
}

// Apply takes a report. It reports whether the engine has restarted.
func (e *Engine) Apply(r Report, now time.Time) (restarted bool) {
	if r.Poll <= e.poll || e.outdated(r) {
		return false
	}
	e.poll = r.Poll
	e.sequence = r.Sequence
	e.seen = r.NotBefore
	restarted = e.boot != "" && r.BootID != e.boot
	if restarted {
		e.restart(now)
	}
	e.boot = r.BootID
	resident := make(map[call.AdapterRef]bool, len(r.Resident))
	for _, adapter := range r.Resident {
		resident[adapter] = true
	}
	e.settleSlots(r, resident, now)
	e.adopt(r, now)
	e.settlePins(r, now)
	e.settleTenure(r)
	e.forget(r)
	return restarted
}

// outdated reports whether the same engine process has told something newer.
func (e *Engine) outdated(r Report) bool {
	if r.BootID != e.boot {
		return false
	}
	return r.Sequence < e.sequence || r.NotBefore.Before(e.seen)
}

// restart empties the slots: a new engine process has nothing loaded. Orders
// that are outstanding may have reached either process. So may calls that were
// dispatched before the restart was noticed: their pins stay until they end.
func (e *Engine) restart(now time.Time) {
	for attempt, p := range e.pins {
		if p.foreign {
			delete(e.pins, attempt)
		}
	}
	clear(e.ended)
	clear(e.unloaded)
	if e.config.ChecksFencing {
		e.tenure.reopen()
	}
	for i := range e.slots {
		e.slots[i].restart(now)
	}
	for i := range e.slots {
		e.repin(&e.slots[i])
	}
}

// restart notes that a new engine process was seen. An outstanding order keeps
// its slot until it has ended: on a connection that is alive it may reach the
// new process at any time.
func (s *Slot) restart(now time.Time) {
	switch s.State {
	case Loading, Unloading:
		s.crossed = true
	case Doubtful:
		s.sent = s.since
	default:
		s.clear(now)
	}
}

// settleSlots compares each slot with a report that was made after its last change.
func (e *Engine) settleSlots(r Report, resident map[call.AdapterRef]bool, now time.Time) {
	for i := range e.slots {
		slot := &e.slots[i]
		if !r.NotBefore.After(slot.settledBy(resident[slot.Adapter])) {
			continue
		}
		switch slot.State {
		case Ready:
			if !resident[slot.Adapter] {
				e.vanished(slot, now)
			}
		case Doubtful:
			e.settleDoubt(slot, resident[slot.Adapter], now)
		}
	}
}

// settledBy returns the moment after which a report that does or does not
// list the adapter tells of the slot. A report that shows the effect of a lost
// order only has to be later than its sending: an order takes effect once.
func (s *Slot) settledBy(resident bool) time.Time {
	took := s.doubt == doubtLoad && resident || s.doubt == doubtUnload && !resident
	if s.State == Doubtful && took {
		return s.sent
	}
	return s.since
}

// vanished handles an adapter that the engine does not have any more.
func (e *Engine) vanished(slot *Slot, now time.Time) {
	if slot.Pins == 0 {
		slot.clear(now)
		return
	}
	slot.State = Doubtful
	slot.doubt = doubtContent
	slot.since = now
}

func (e *Engine) settleDoubt(slot *Slot, resident bool, now time.Time) {
	switch {
	case resident:
		slot.State = Ready
		slot.since = now
	case slot.Pins == 0:
		e.unloaded[slot.Adapter] = now
		slot.clear(now)
	}
}

// adopt puts adapters that the engine has, and no slot knows, into empty slots.
func (e *Engine) adopt(r Report, now time.Time) {
	for _, adapter := range r.Resident {
		gone, unloaded := e.unloaded[adapter]
		if e.find(adapter) != nil || unloaded && !r.NotBefore.After(gone) {
			continue
		}
		slot := e.emptySlot()
		if slot == nil {
			return
		}
		*slot = Slot{State: Ready, Adapter: adapter, since: r.NotBefore, LastUse: now}
		e.repin(slot)
	}
}

// repin counts the pins that calls hold on the adapter of a slot.
func (e *Engine) repin(slot *Slot) {
	slot.Pins = 0
	for _, p := range e.pins {
		if p.adapter == slot.Adapter {
			slot.Pins++
		}
	}
}

// settlePins releases the pins of lost and foreign calls that the report does
// not list, and pins the adapters of listed calls that this owner did not send.
func (e *Engine) settlePins(r Report, now time.Time) {
	for attempt, p := range e.pins {
		_, listed := r.Running[attempt]
		if !listed && (p.lost || p.foreign) && r.NotBefore.After(e.settledFrom(p)) {
			e.release(attempt)
		}
	}
	for attempt, adapter := range r.Running {
		_, pinned := e.pins[attempt]
		end, ended := e.ended[attempt]
		if pinned || ended && !r.NotBefore.After(end) {
			continue
		}
		e.pins[attempt] = pin{adapter: adapter, foreign: true, since: r.NotBefore}
		if slot := e.find(adapter); slot != nil {
			slot.Pins++
		}
	}
}

func (e *Engine) settledFrom(p pin) time.Time {
	if p.foreign {
		return p.since
	}
	return p.since.Add(e.config.MaxDeliveryDelay)
}

// forget drops what only reports older than this one could contradict.
func (e *Engine) forget(r Report) {
	for attempt, at := range e.ended {
		if r.NotBefore.After(at) {
			delete(e.ended, attempt)
		}
	}
	for adapter, at := range e.unloaded {
		if r.NotBefore.After(at) {
			delete(e.unloaded, adapter)
		}
	}
}
