package locator

import (
	"time"

	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// Time constants of an entry's knowledge.
const (
	// stateAge is how long the state that an engine's owner told is believed
	// over the engine's own registration.
	stateAge = 2 * time.Second
	// ownerSilence is how long an owner that did not answer is passed over.
	ownerSilence = time.Second
	// failureHalfLife ages the failures of requests to an upstream.
	failureHalfLife = 4 * time.Second
	// suspectFailures is the aged number of failures, less successes, at which
	// an engine is avoided while others can serve.
	suspectFailures = 1.5
)

// view is what is known of one engine or replica.
type view struct {
	upstream topology.Upstream
	// held lists the adapters that serve requests, with their versions.
	held map[topology.Adapter]int64
	// state is what the owner told last, at stateAt.
	state   orders.EngineState
	stateAt time.Duration
	told    bool
	// running is the number of this entry's requests there; reported is what
	// of it the owner had been told at its last state.
	running  int
	reported int
	// asking is the number of this entry's requests that wait for a turn
	// there, and askedBefore what it was at the owner's last state.
	asking      int
	askedBefore int
	uses        map[topology.Adapter]*use
	// unusedNews is how often the owner is still to be told of no use.
	unusedNews int
	// orderlessUntil is when the owner may be asked again.
	orderlessUntil time.Duration
	// unownedUntil is until when requests are sent without a turn.
	unownedUntil time.Duration
	failures     aged
	latency      time.Duration
}

// use is an adapter's use since the last notice to the owner.
type use struct {
	count int
	// running is the number of requests without a turn, turned of those with one.
	running int
	turned  int
}

func (u *use) add(turned bool, n int) {
	if turned {
		u.turned += n
		return
	}
	u.running += n
}

func newView(upstream topology.Upstream) *view {
	v := &view{upstream: upstream, uses: make(map[topology.Adapter]*use)}
	v.takeRegistered()
	return v
}

// takeRegistered takes the held adapters from the engine's registration.
func (v *view) takeRegistered() {
	v.held = make(map[topology.Adapter]int64)
	for _, model := range v.upstream.Models {
		for _, adapter := range model.Adapters {
			v.held[topology.Adapter{Model: model.Name, Name: adapter.Name}] = adapter.Version
		}
	}
}

// update takes over a newer registration.
func (v *view) update(now time.Duration, upstream topology.Upstream) {
	restarted := upstream.Incarnation > v.upstream.Incarnation
	v.upstream = upstream
	if restarted {
		v.told = false
	}
	if restarted || !v.told || now-v.stateAt > stateAge {
		v.takeRegistered()
	}
}

// takeState takes over what the owner told.
func (v *view) takeState(now time.Duration, state orders.EngineState) {
	if state.Incarnation != v.upstream.Incarnation {
		return
	}
	v.state = state
	v.stateAt = now
	v.told = true
	v.reported = v.running
	v.askedBefore = v.asking
	v.held = make(map[topology.Adapter]int64, len(state.Held))
	for _, held := range state.Held {
		v.held[held.Adapter] = held.Version
	}
}

// load estimates the number of requests that run at the engine: this entry's
// own, and the others' as the owner told.
func (v *view) load(now time.Duration) int {
	if !v.told || now-v.stateAt > stateAge {
		return v.running
	}
	return v.running + max(v.state.Running-v.reported, 0)
}

// queued estimates the number of requests that wait for their turn.
func (v *view) queued(now time.Duration) int {
	if !v.told || now-v.stateAt > stateAge {
		return v.asking
	}
	return max(v.state.Waiting+v.asking-v.askedBefore, v.asking)
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

func (v *view) use(adapter topology.Adapter) *use {
	u := v.uses[adapter]
	if u == nil {
		u = &use{}
		v.uses[adapter] = u
	}
	return u
}

// takeUses returns the use of adapters since the last call.
func (v *view) takeUses() []residency.AdapterUse {
	var list []residency.AdapterUse
	for adapter, u := range v.uses {
		if u.count == 0 && u.running == 0 && u.turned == 0 {
			delete(v.uses, adapter)
			continue
		}
		list = append(list, residency.AdapterUse{Adapter: adapter, Count: u.count, Running: u.running, Admitted: u.turned})
		u.count = 0
	}
	return list
}
