package engine

import (
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// tenure is the progress of this owner's takeover of the engine.
type tenure struct {
	// guarded is set once nothing that a predecessor still sends can change an
	// adapter that this owner uses: the fence is raised, or the adapters that
	// predecessors intend to unload are barred.
	guarded   bool
	guardedAt time.Time
	// predecessorsStopped is set once no predecessor can send anything, or the
	// engine refuses all that it sends.
	predecessorsStopped   bool
	predecessorsStoppedAt time.Time
	// synced is set once the slots reflect a report made after guardedAt.
	synced bool
	// callsSynced is set once the pins reflect a report made late enough to list
	// all calls of predecessors, so that unloads may begin.
	callsSynced bool
	// fenced is set if the engine has seen a newer owner.
	fenced bool
}

// RecordFence records that the engine process with the given boot identifier has
// accepted an order with this owner's token, and so refuses all that predecessors
// still send. The identifier is empty if the engine does not send it.
func (e *Engine) RecordFence(bootID string, now time.Time) {
	if !e.config.ChecksFencing || !e.sameBoot(bootID) && e.bootID != "" {
		return
	}
	if bootID != "" {
		e.bootID = bootID
	}
	e.tenure.markGuarded(now)
	e.tenure.clear(now)
}

// NeedsFence reports whether the fence has yet to be raised.
func (e *Engine) NeedsFence() bool {
	return e.config.ChecksFencing && !e.tenure.guarded && !e.tenure.fenced
}

// RecordPredecessorIntents bars the adapters for which predecessors that may
// still be running have recorded an intent to unload. The bars are lifted by a
// report made after RecordPredecessorsStopped (see callsSyncedAfter). It applies
// to engines that ignore fencing tokens.
func (e *Engine) RecordPredecessorIntents(intents []call.AdapterRef, now time.Time) {
	if e.config.ChecksFencing || e.tenure.guarded {
		return
	}
	for _, adapter := range intents {
		e.barred[adapter] = true
	}
	e.tenure.markGuarded(now)
}

// NeedsPredecessorIntents reports whether RecordPredecessorIntents has yet to be
// called.
func (e *Engine) NeedsPredecessorIntents() bool {
	return !e.config.ChecksFencing && !e.tenure.guarded
}

// RecordPredecessorsStopped records that no predecessor can send anything any
// more: each has acknowledged the end of its tenure or no longer exists. Unloads
// begin, and bars are lifted, with a later report (see callsSyncedAfter). It
// applies to engines that ignore fencing tokens.
func (e *Engine) RecordPredecessorsStopped(now time.Time) {
	if !e.config.ChecksFencing && e.tenure.guarded {
		e.tenure.clear(now)
	}
}

// NeedsPredecessorsStopped reports whether this owner may not unload because a
// predecessor may still send orders or calls.
func (e *Engine) NeedsPredecessorsStopped() bool {
	return !e.config.ChecksFencing && !e.tenure.predecessorsStopped
}

func (t *tenure) markGuarded(now time.Time) {
	if t.guarded {
		return
	}
	t.guarded = true
	t.guardedAt = now
}

// clear sets predecessorsStopped.
func (t *tenure) clear(now time.Time) {
	if t.predecessorsStopped {
		return
	}
	t.predecessorsStopped = true
	t.predecessorsStoppedAt = now
}

// reset restarts the takeover: a restarted engine has forgotten the highest token
// that it had seen.
func (t *tenure) reset() {
	*t = tenure{fenced: t.fenced}
}

// advanceTenure completes the steps of the takeover for which the report was made
// late enough.
func (e *Engine) advanceTenure(r Report) {
	t := &e.tenure
	if t.guarded && r.NotBefore.After(t.guardedAt) {
		t.synced = true
	}
	if !t.predecessorsStopped || t.callsSynced || !t.synced {
		return
	}
	if r.NotBefore.After(e.callsSyncedAfter()) {
		t.callsSynced = true
		clear(e.barred)
	}
}

// callsSyncedAfter returns the time after which a report lists every running call
// that predecessors have sent. What they sent last may arrive until
// MaxDeliveryDelay has passed, unless the engine refuses it by its token.
func (e *Engine) callsSyncedAfter() time.Time {
	from := e.tenure.predecessorsStoppedAt
	if !e.config.ChecksFencing {
		from = from.Add(e.config.MaxDeliveryDelay)
	}
	if e.config.PredecessorLeaseEnd.After(from) {
		return e.config.PredecessorLeaseEnd
	}
	return from
}

// Barred reports whether a predecessor may still unload the adapter.
func (e *Engine) Barred(adapter call.AdapterRef) bool {
	return e.barred[adapter]
}
