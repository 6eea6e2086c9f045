package engine

import (
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// tenure is how far this owner has come in taking the engine over.
type tenure struct {
	// opened is set once nothing that a predecessor still sends can change an
	// adapter that this owner uses: the fence is raised, or the predecessors'
	// intents are known and barred.
	opened   bool
	openedAt time.Time
	// cleared is set once no predecessor can send anything any more.
	cleared   bool
	clearedAt time.Time
	// synced tells that the slots are known from a report made after opening.
	synced bool
	// quiet tells that calls of predecessors are known from a report made
	// after clearing, so that unloads may begin.
	quiet bool
	// fenced tells that the engine has seen a newer owner.
	fenced bool
}

// RecordFence tells that the engine process with the given boot identifier has
// accepted an order with this owner's token, so that it refuses all that
// predecessors still send. The identifier is empty if the engine does not send it.
func (e *Engine) RecordFence(boot string, now time.Time) {
	if !e.config.ChecksFencing || !e.sameBoot(boot) && e.boot != "" {
		return
	}
	if boot != "" {
		e.boot = boot
	}
	e.tenure.open(now)
	e.tenure.clear(now)
}

// NeedsFence reports whether the fence is still to be raised.
func (e *Engine) NeedsFence() bool {
	return e.config.ChecksFencing && !e.tenure.opened && !e.tenure.fenced
}

// RecordPredecessorIntents tells which unloads predecessors that may still be running
// have written down. Their adapters are barred until Cleared. It applies to
// engines that ignore fencing tokens.
func (e *Engine) RecordPredecessorIntents(intents []call.AdapterRef, now time.Time) {
	if e.config.ChecksFencing || e.tenure.opened {
		return
	}
	for _, adapter := range intents {
		e.barred[adapter] = true
	}
	e.tenure.open(now)
}

// NeedsPredecessorIntents reports whether the predecessors are still to be read.
func (e *Engine) NeedsPredecessorIntents() bool {
	return !e.config.ChecksFencing && !e.tenure.opened
}

// RecordPredecessorsStopped tells that no predecessor can send anything any more: each has
// acknowledged the end of its tenure or is gone. Unloads begin, and bars are
// lifted, with a report made after it.
func (e *Engine) RecordPredecessorsStopped(now time.Time) {
	if !e.config.ChecksFencing && e.tenure.opened {
		e.tenure.clear(now)
	}
}

// NeedsPredecessorsStopped reports whether predecessors still keep this owner from unloading.
func (e *Engine) NeedsPredecessorsStopped() bool {
	return !e.config.ChecksFencing && !e.tenure.cleared
}

func (t *tenure) open(now time.Time) {
	if t.opened {
		return
	}
	t.opened = true
	t.openedAt = now
}

func (t *tenure) clear(now time.Time) {
	if t.cleared {
		return
	}
	t.cleared = true
	t.clearedAt = now
}

// reopen begins the takeover anew: a restarted engine has forgotten the
// highest token that it had seen.
func (t *tenure) reopen() {
	*t = tenure{fenced: t.fenced}
}

// settleTenure ends the steps of a takeover that the report is late enough for.
func (e *Engine) settleTenure(r Report) {
	t := &e.tenure
	if t.opened && r.NotBefore.After(t.openedAt) {
		t.synced = true
	}
	if !t.cleared || t.quiet || !t.synced {
		return
	}
	if r.NotBefore.After(e.quietFrom()) {
		t.quiet = true
		clear(e.barred)
	}
}

// quietFrom returns the moment after which a report shows every call that
// predecessors have sent. What they sent last may arrive within the horizon,
// unless the engine refuses it by its token.
func (e *Engine) quietFrom() time.Time {
	from := e.tenure.clearedAt
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
