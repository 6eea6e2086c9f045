package locator

import (
	"time"

	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// Time constants of an entry's knowledge.
const (
	// stateTTL is how long the state that an engine's owner told is believed
	// over the engine's own registration.
	stateTTL = 2 * time.Second
	// silentOwnerPause is how long an owner that did not answer is passed over.
	silentOwnerPause = time.Second
	// failureHalfLife ages the failures of requests to an upstream.
	failureHalfLife = 4 * time.Second
	// suspectThreshold is the aged number of failures, less successes, at which
	// an engine is avoided while others can serve.
	suspectThreshold = 1.5
)

// view is what is known of one engine or replica.
type view struct {
	upstream topology.Upstream
	// held lists the adapters that serve requests, with their versions.
	held map[topology.Adapter]int64
	// state is what the owner told last, at stateAt.
	state           orders.EngineState
	stateReceivedAt time.Duration
	hasState        bool
	// running is the number of this entry's requests there; reported is what
	// of it the owner had been told at its last state.
	running        int
	runningAtState int
	// waiting is the number of this entry's requests that wait for a turn
	// there, and askedBefore what it was at the owner's last state.
	waiting        int
	waitingAtState int
	uses           map[topology.Adapter]*use
	// unusedReportsLeft is how often the owner is still to be told of no use.
	unusedReportsLeft int
	// orderlessUntil is when the owner may be asked again.
	orderlessUntil time.Duration
	// unownedUntil is until when requests are sent without a turn.
	unownedUntil time.Duration
	failures     decayingCount
	latency      time.Duration
}

// use is an adapter's use since the last notice to the owner.
type use struct {
	count int
	// running is the number of requests without a turn, turned of those with one.
	running  int
	admitted int
}

func (u *use) add(turned bool, n int) {
	if turned {
		u.admitted += n
		return
	}
	u.running += n
}

func newView(upstream topology.Upstream) *view {
	v := &view{upstream: upstream, uses: make(map[topology.Adapter]*use)}
	v.setHeldFromRegistration()
	return v
}

// setHeldFromRegistration takes the held adapters from the engine's registration.
func (v *view) setHeldFromRegistration() {
	v.held = make(map[topology.Adapter]int64)
	for _, model := range v.upstream.Models {
		for _, adapter := range model.Adapters {
			v.held[topology.Adapter{Model: model.Name, Name: adapter.Name}] = adapter.Version
		}
	}
}

// update takes over a newer registration.
func (v *view) update(now time.Duration, upstream topology.Upstream) {
	restarted := upstream.Born > v.upstream.Born
	v.upstream = upstream
	if restarted {
		v.hasState = false
	}
	if restarted || !v.hasState || now-v.stateReceivedAt > stateTTL {
		v.setHeldFromRegistration()
	}
}

// applyState takes over what the owner told.
func (v *view) applyState(now time.Duration, state orders.EngineState) {
	if state.Incarnation != v.upstream.Born {
		return
	}
	v.state = state
	v.stateReceivedAt = now
	v.hasState = true
	v.runningAtState = v.running
	v.waitingAtState = v.waiting
	v.held = make(map[topology.Adapter]int64, len(state.Held))
	for _, held := range state.Held {
		v.held[held.Adapter] = held.Version
	}
}

// estimateRunning estimates the number of requests that run at the engine: this entry's
// own, and the others' as the owner told.
func (v *view) estimateRunning(now time.Duration) int {
	if !v.hasState || now-v.stateReceivedAt > stateTTL {
		return v.running
	}
	return v.running + max(v.state.Running-v.runningAtState, 0)
}

// estimateWaiting estimates the number of requests that wait for their turn.
func (v *view) estimateWaiting(now time.Duration) int {
	if !v.hasState || now-v.stateReceivedAt > stateTTL {
		return v.waiting
	}
	return max(v.state.Waiting+v.waiting-v.waitingAtState, v.waiting)
}

// holdsModel reports whether the base model is there: by the registration,
// which lags, or because adapters of it serve.
func (v *view) holdsModel(model string) bool {
	if v.upstream.Holds(model) {
		return true
	}
	for adapter := range v.held {
		if adapter.Model == model {
			return true
		}
	}
	return false
}

func (v *view) useOf(adapter topology.Adapter) *use {
	u := v.uses[adapter]
	if u == nil {
		u = &use{}
		v.uses[adapter] = u
	}
	return u
}

// drainUses returns the use of adapters since the last call.
func (v *view) drainUses() []residency.AdapterUse {
	var list []residency.AdapterUse
	for adapter, u := range v.uses {
		if u.count == 0 && u.running == 0 && u.admitted == 0 {
			delete(v.uses, adapter)
			continue
		}
		list = append(list, residency.AdapterUse{Adapter: adapter, Count: u.count, Running: u.running, Admitted: u.admitted})
		u.count = 0
	}
	return list
}
