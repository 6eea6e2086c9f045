package locator

import (
	"math"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/steer"
	"github.com/barleylift/barleylift/internal/topology"
)

const (
	// noReport is the age of what has never been reported.
	noReport = time.Duration(math.MaxInt64)
	// maxHeldLately bounds the adapters that an engine is assumed to load again without the
	// weight store: as many as its owner assumes.
	maxHeldLately = 96
)

// estimateWaitingWork estimates the time that the engine needs for the prompts that it has
// yet to prefill, and the time to prefill one token. It returns false if its owner has
// reported no such times lately, for example because it is of an earlier build.
func (v *view) estimateWaitingWork(now time.Duration) (work, perToken time.Duration, ok bool) {
	if v.workAt == 0 || now-v.workAt > stateTTL || v.prefillPerToken <= 0 {
		return 0, 0, false
	}
	own := time.Duration(v.waitingTokens) * v.prefillPerToken
	return max(v.state.WaitingWork+v.workSinceReport(), own), v.prefillPerToken, true
}

// workSinceReport is the prefill time of this entry's prompts that have begun to wait since
// the owner's last report, less that of those which no longer wait.
func (v *view) workSinceReport() time.Duration {
	return time.Duration(v.waitingTokens-v.waitingTokensAtState) * v.prefillPerToken
}

// WaitingWork estimates the time that an engine needs for the prompts that it has yet to
// prefill. It returns false if that is unknown, or does not tell how long a request waits
// there: all of the engine's slots are taken.
func (l *Locator) WaitingWork(engine string) (time.Duration, bool) {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[engine]
	if v == nil || v.upstream.Slots > 0 && v.estimateRunning(now) >= v.upstream.Slots {
		return 0, false
	}
	work, _, ok := v.estimateWaitingWork(now)
	return work, ok
}

// addWork adds to a snapshot what is known of the engine's pace and of its work.
func (v *view) addWork(now time.Duration, e *steer.Engine, need Need) {
	e.WorkAge = noReport
	if v.workAt > 0 {
		e.WorkAge = now - v.workAt
	}
	e.PrefillPerToken = v.prefillPerToken
	if work, _, ok := v.estimateWaitingWork(now); ok {
		e.OwnWork = max(v.workSinceReport(), 0)
		e.WaitingWork = work - e.OwnWork
	} else {
		e.OwnWork = time.Duration(v.waitingTokens) * v.prefillPerToken
	}
	e.PromptTokens = v.prompts.Unread(now, need.PromptTokens, need.Links)
	e.HeldLately = !e.Holds && slices.Contains(v.lately.adapters, need.Adapter)
}

// heldLately lists adapters that an engine has ceased to hold, the latest last.
type heldLately struct {
	adapters []topology.Adapter
}

// update adds the adapters that an engine held and holds no longer.
func (h *heldLately) update(before map[topology.Adapter]int64, now []residency.HeldAdapter) {
	holds := make(map[topology.Adapter]bool, len(now))
	for _, held := range now {
		holds[held.Adapter] = true
	}
	for adapter := range before {
		if holds[adapter] {
			continue
		}
		h.adapters = append(slices.DeleteFunc(h.adapters, func(a topology.Adapter) bool { return a == adapter }), adapter)
	}
	if extra := len(h.adapters) - maxHeldLately; extra > 0 {
		h.adapters = slices.Delete(h.adapters, 0, extra)
	}
}
