package locator

import (
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/pausing"
	"github.com/barleylift/barleylift/internal/topology"
)

// RecordPause records that a process of an upstream wants nothing from this VM
// for a time, and returns the end of its pause by clock.Boot; 0 if the process is
// not the current one.
func (l *Locator) RecordPause(id string, incarnation int64, length time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[id]
	if v == nil || v.upstream.Incarnation != incarnation {
		return 0
	}
	v.pause = v.pause.Extended(clock.Boot(), length)
	return v.pause.Until()
}

// ForgetEndedPauses forgets the pauses after which the upstream gets all requests
// again, and returns the upstreams.
func (l *Locator) ForgetEndedPauses() []string {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, v := range l.views {
		if v.pause.Until() > 0 && v.pause.Over(now) {
			v.pause = pausing.Pause{}
			ids = append(ids, id)
		}
	}
	return ids
}

// PauseEnd returns how long it takes until an upstream of a service that pauses
// takes a request, and after which time the request's caller should come back if
// it is refused. Only upstreams that hold the adapter count if needHeld is set. It
// returns false unless all of them pause.
func (l *Locator) PauseEnd(service string, adapter topology.Adapter, needHeld bool, random uint64) (wait, returnAfter time.Duration, ok bool) {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.services[service] {
		if !v.mayServe(adapter, needHeld) {
			continue
		}
		if v.pause.Takes(now, random) {
			return 0, 0, false
		}
		if takesIn := v.pause.TakesAt(random) - now; !ok || takesIn < wait {
			wait, returnAfter, ok = takesIn, v.pause.ReturnAt(random)-now, true
		}
	}
	return wait, returnAfter, ok
}

// mayServe reports whether an upstream that does not pause could take requests for
// an adapter, or for a plain service if there is none.
func (v *view) mayServe(adapter topology.Adapter, needHeld bool) bool {
	if v.upstream.Leaving || adapter.Model != "" && !v.holdsModel(adapter.Model) {
		return false
	}
	_, held := v.held[adapter]
	return held || !needHeld
}
