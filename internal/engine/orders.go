package engine

import (
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// Reply is what is known about an order after its reply or the lack of one.
type Reply int

// The kinds of replies.
const (
	// ReplyConfirmed means that the engine is in the ordered state.
	ReplyConfirmed Reply = iota
	// ReplyRefused means that the engine answered with an error.
	ReplyRefused
	// ReplyNotSent means that the order surely did not reach the engine.
	ReplyNotSent
	// ReplyLost means that the order may yet take effect.
	ReplyLost
	// ReplyFenced means that the engine has seen a newer token.
	ReplyFenced
)

// BeginLoad reserves an empty slot for an adapter that no slot holds. The
// caller sends the load and hands its end to EndLoad.
func (e *Engine) BeginLoad(adapter call.AdapterRef, now time.Time) (OrderID, bool) {
	if !e.open() || e.barred[adapter] || e.find(adapter) != nil {
		return 0, false
	}
	slot := e.emptySlot()
	if slot == nil {
		return 0, false
	}
	e.orders++
	*slot = Slot{State: Loading, Adapter: adapter, Order: e.orders, since: now, sent: now, LastUse: now}
	e.repin(slot)
	return e.orders, true
}

func (e *Engine) emptySlot() *Slot {
	for i := range e.slots {
		if e.slots[i].State == Empty {
			return &e.slots[i]
		}
	}
	return nil
}

// EndLoad takes the end of a load. The boot identifier is that of the reply,
// or empty if the engine does not send it. Late and repeated ends of an order
// that was settled otherwise have no effect.
func (e *Engine) EndLoad(order OrderID, reply Reply, boot string, now time.Time) {
	slot := e.byOrder(order)
	if slot == nil || slot.State != Loading {
		return
	}
	slot.Order = 0
	slot.since = now
	switch {
	case reply == ReplyNotSent:
		slot.clear(now)
	case reply == ReplyFenced:
		e.tenure.fenced = true
		slot.clear(now)
	case reply == ReplyConfirmed && e.confirms(slot, boot):
		slot.State = Ready
		slot.crossed = false
		slot.LoadTime = now.Sub(slot.sent)
		slot.LastUse = now
		delete(e.unloaded, slot.Adapter)
	default:
		e.doubtOrder(slot, doubtLoad, reply, now)
	}
}

// confirms reports whether a confirmation with the boot identifier tells of the
// engine process whose state the slots describe.
func (e *Engine) confirms(slot *Slot, boot string) bool {
	return e.sameBoot(boot) && (boot != "" || !slot.crossed)
}

// doubtOrder leaves the effect of an ended order to a later report. After a
// restart the adapter may be absent for another reason than the order, so that
// no report made before the doubt tells of the order's effect.
func (e *Engine) doubtOrder(slot *Slot, reason doubt, reply Reply, now time.Time) {
	slot.State = Doubtful
	slot.doubt = reason
	slot.since = e.doubtFrom(reply, now)
	if slot.crossed {
		slot.sent = slot.since
		slot.crossed = false
	}
}

// sameBoot reports whether a reply came from the engine process whose state
// the slots describe.
func (e *Engine) sameBoot(boot string) bool {
	return boot == "" || boot == e.boot
}

// doubtFrom returns the moment after which a report settles an order: at once
// after an answer, later than the horizon when the order may still be on its way.
func (e *Engine) doubtFrom(reply Reply, now time.Time) time.Time {
	if reply == ReplyLost {
		return now.Add(e.config.MaxDeliveryDelay)
	}
	return now
}

func (s *Slot) clear(now time.Time) {
	*s = Slot{State: Empty, since: now}
}

// MayUnload reports whether this owner may unload anything now. The lease
// must be known valid unless the engine refuses a stale owner's orders itself.
func (e *Engine) MayUnload(leaseValid bool) bool {
	if !e.open() || !e.tenure.quiet {
		return false
	}
	return leaseValid || e.config.ChecksFencing
}

// Evictable returns the adapters that could be unloaded now: ready, without
// pins and not barred.
func (e *Engine) Evictable(leaseValid bool) []Slot {
	if !e.MayUnload(leaseValid) {
		return nil
	}
	var slots []Slot
	for i := range e.slots {
		if e.evictable(&e.slots[i]) {
			slots = append(slots, e.slots[i])
		}
	}
	return slots
}

func (e *Engine) evictable(slot *Slot) bool {
	return slot.State == Ready && slot.Pins == 0 && !e.barred[slot.Adapter]
}

// BeginUnload decides to unload an adapter: from now on nothing is dispatched
// to its slot. The caller sends the order and hands its end to EndUnload.
func (e *Engine) BeginUnload(adapter call.AdapterRef, leaseValid bool, now time.Time) (OrderID, bool) {
	slot := e.find(adapter)
	if slot == nil || !e.evictable(slot) || !e.MayUnload(leaseValid) {
		return 0, false
	}
	e.orders++
	slot.State = Unloading
	slot.Order = e.orders
	slot.since = now
	slot.sent = now
	return e.orders, true
}

// EndUnload takes the end of an unload. Late and repeated ends of an order
// that was settled otherwise have no effect.
func (e *Engine) EndUnload(order OrderID, reply Reply, boot string, now time.Time) {
	slot := e.byOrder(order)
	if slot == nil || slot.State != Unloading {
		return
	}
	slot.Order = 0
	slot.since = now
	switch {
	case reply == ReplyNotSent:
		e.keep(slot, now)
	case reply == ReplyFenced:
		e.tenure.fenced = true
		e.keep(slot, now)
	case reply == ReplyConfirmed && e.confirms(slot, boot):
		e.unloaded[slot.Adapter] = now
		slot.clear(now)
	default:
		e.doubtOrder(slot, doubtUnload, reply, now)
	}
}

// keep takes back an unload that had no effect. The adapter is still there
// unless the engine restarted meanwhile.
func (e *Engine) keep(slot *Slot, now time.Time) {
	if slot.crossed {
		e.doubtOrder(slot, doubtContent, ReplyRefused, now)
		return
	}
	slot.State = Ready
}

// Unsettled reports whether an order is outstanding or its effect is not known.
func (e *Engine) Unsettled() bool {
	for i := range e.slots {
		if s := e.slots[i].State; s != Empty && s != Ready {
			return true
		}
	}
	return false
}
