package engine

import (
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// Reply is the outcome of sending an order.
type Reply int

// The kinds of replies.
const (
	// ReplyConfirmed means that the engine is in the ordered state.
	ReplyConfirmed Reply = iota
	// ReplyRefused means that the engine answered with an error.
	ReplyRefused
	// ReplyNotSent means that the order certainly did not reach the engine.
	ReplyNotSent
	// ReplyLost means that no reply came and the order may still take effect.
	ReplyLost
	// ReplyFenced means that the engine has seen a newer token.
	ReplyFenced
)

// BeginLoad reserves an empty slot for an adapter that no slot holds. The caller
// sends the load order and passes its outcome to EndLoad.
func (e *Engine) BeginLoad(adapter call.AdapterRef, now time.Time) (OrderID, bool) {
	if !e.maySend() || e.barred[adapter] || e.find(adapter) != nil {
		return 0, false
	}
	slot := e.emptySlot()
	if slot == nil {
		return 0, false
	}
	e.lastOrder++
	*slot = Slot{State: Loading, Adapter: adapter, Order: e.lastOrder, reportAfter: now, effectAfter: now, LastUse: now}
	e.countPins(slot)
	return e.lastOrder, true
}

func (e *Engine) emptySlot() *Slot {
	for i := range e.slots {
		if e.slots[i].State == Empty {
			return &e.slots[i]
		}
	}
	return nil
}

// EndLoad records the outcome of a load order. The boot identifier is that of
// the reply, or empty if the engine does not send it. Late and repeated outcomes
// of an order that is already settled have no effect.
func (e *Engine) EndLoad(order OrderID, reply Reply, bootID string, now time.Time) {
	slot := e.findOrder(order)
	if slot == nil || slot.State != Loading {
		return
	}
	slot.Order = 0
	slot.reportAfter = now
	switch {
	case reply == ReplyNotSent:
		slot.clear(now)
	case reply == ReplyFenced:
		e.tenure.fenced = true
		slot.clear(now)
	case reply == ReplyConfirmed && e.confirms(slot, bootID):
		slot.State = Ready
		slot.spansRestart = false
		slot.LoadTime = now.Sub(slot.effectAfter)
		slot.LastUse = now
		delete(e.unloadedAt, slot.Adapter)
	default:
		e.markOrderDoubtful(slot, doubtLoad, reply, now)
	}
}

// confirms reports whether a confirmation with the boot identifier is from the
// engine process whose state the slots describe.
func (e *Engine) confirms(slot *Slot, bootID string) bool {
	return e.sameBoot(bootID) && (bootID != "" || !slot.spansRestart)
}

// markOrderDoubtful lets a later report settle the effect of an ended order. If
// the engine restarted meanwhile, the adapter may be absent for another reason
// than the order, so reports made before reportAfter do not show the order's
// effect.
func (e *Engine) markOrderDoubtful(slot *Slot, reason doubtReason, reply Reply, now time.Time) {
	slot.State = Doubtful
	slot.doubt = reason
	slot.reportAfter = e.reportAfterReply(reply, now)
	if slot.spansRestart {
		slot.effectAfter = slot.reportAfter
		slot.spansRestart = false
	}
}

// sameBoot reports whether a reply came from the engine process whose state
// the slots describe.
func (e *Engine) sameBoot(bootID string) bool {
	return bootID == "" || bootID == e.bootID
}

// reportAfterReply returns the time after which a report settles an order: now if
// the engine replied, later by MaxDeliveryDelay if the order may still be in
// flight.
func (e *Engine) reportAfterReply(reply Reply, now time.Time) time.Time {
	if reply == ReplyLost {
		return now.Add(e.config.MaxDeliveryDelay)
	}
	return now
}

func (s *Slot) clear(now time.Time) {
	*s = Slot{State: Empty, reportAfter: now}
}

// MayUnload reports whether this owner may unload anything now. The lease must
// be known to be valid unless the engine refuses a stale owner's orders itself.
func (e *Engine) MayUnload(leaseValid bool) bool {
	if !e.maySend() || !e.tenure.callsSynced {
		return false
	}
	return leaseValid || e.config.ChecksFencing
}

// Evictable returns the slots that could be unloaded now: ready, without pins and
// not barred.
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

// BeginUnload starts to unload an adapter: from now on nothing is dispatched to
// its slot. The caller sends the order and passes its outcome to EndUnload.
func (e *Engine) BeginUnload(adapter call.AdapterRef, leaseValid bool, now time.Time) (OrderID, bool) {
	slot := e.find(adapter)
	if slot == nil || !e.evictable(slot) || !e.MayUnload(leaseValid) {
		return 0, false
	}
	e.lastOrder++
	slot.State = Unloading
	slot.Order = e.lastOrder
	slot.reportAfter = now
	slot.effectAfter = now
	return e.lastOrder, true
}

// EndUnload records the outcome of an unload order. Late and repeated outcomes of
// an order that is already settled have no effect.
func (e *Engine) EndUnload(order OrderID, reply Reply, bootID string, now time.Time) {
	slot := e.findOrder(order)
	if slot == nil || slot.State != Unloading {
		return
	}
	slot.Order = 0
	slot.reportAfter = now
	switch {
	case reply == ReplyNotSent:
		e.revertUnload(slot, now)
	case reply == ReplyFenced:
		e.tenure.fenced = true
		e.revertUnload(slot, now)
	case reply == ReplyConfirmed && e.confirms(slot, bootID):
		e.unloadedAt[slot.Adapter] = now
		slot.clear(now)
	default:
		e.markOrderDoubtful(slot, doubtUnload, reply, now)
	}
}

// revertUnload reverts an unload that had no effect. The adapter is still loaded
// unless the engine restarted meanwhile.
func (e *Engine) revertUnload(slot *Slot, now time.Time) {
	if slot.spansRestart {
		e.markOrderDoubtful(slot, doubtContent, ReplyRefused, now)
		return
	}
	slot.State = Ready
}

// Unsettled reports whether an order is outstanding or a slot is doubtful.
func (e *Engine) Unsettled() bool {
	for i := range e.slots {
		if s := e.slots[i].State; s != Empty && s != Ready {
			return true
		}
	}
	return false
}
