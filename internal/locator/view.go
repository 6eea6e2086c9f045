package locator

import (
	"time"

	"github.com/barleylift/barleylift/internal/cost"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/ratelimit"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// Time constants of an entry's view.
const (
	// stateTTL is how long the state that an engine's owner reported takes
	// precedence over the engine's own registration.
	stateTTL = 2 * time.Second
	// silentOwnerPause is how long an engine whose owner has not answered is
	// avoided for loads, and requests that need none are sent without admission.
	silentOwnerPause = time.Second
	// failureHalfLife is the half-life of the failure count of an upstream.
	failureHalfLife = 4 * time.Second
	// suspectThreshold is the decayed number of failures, less successes, from
	// which on an engine is avoided while others can serve.
	suspectThreshold = 1.5
)

// view is this entry's view of one engine or replica.
type view struct {
	upstream topology.Upstream
	// isReplica is set once a request to a plain service might have been sent there.
	isReplica bool
	// ownerIncarnation is the highest incarnation of which the engine's owner knows.
	ownerIncarnation int64
	// held lists the adapters that serve requests, with their versions.
	held map[topology.Adapter]int64
	// state is the last state that the owner reported, if hasState is set, and
	// stateReceivedAt when it arrived.
	state           orders.EngineState
	stateReceivedAt time.Duration
	hasState        bool
	// workAt is when the owner last reported the waiting work, with its state or with the
	// status of a request; 0 if it has not. prefillPerToken is the pace that it reported
	// then, which is kept when the report is old; 0 if it reports none.
	workAt          time.Duration
	prefillPerToken time.Duration
	// prompts remembers what was sent there lately, and lately the adapters that the engine
	// has ceased to hold, of the current process.
	prompts cost.Prompts
	lately  heldLately
	// running is the number of this entry's requests there, and runningAtState
	// what it was when the owner's last state arrived.
	running        int
	runningAtState int
	// waiting is the number of this entry's requests that wait for room in the
	// engine's batch, and waitingAtState what it was at the owner's last report.
	waiting        int
	waitingAtState int
	// waitingTokens is the number of prompt tokens of these requests, and
	// waitingTokensAtState what it was at the owner's last report.
	waitingTokens        int
	waitingTokensAtState int
	uses                 map[topology.Adapter]*use
	// unusedReportsLeft is how many more times the owner gets a report that the
	// engine is unused.
	unusedReportsLeft int
	// loadsPausedUntil is until when the engine is avoided for adapters that must
	// be loaded.
	loadsPausedUntil time.Duration
	// unownedUntil is until when requests that need no load are sent without
	// admission.
	unownedUntil time.Duration
	// pause is the pause that the upstream asked this VM for; the locator keeps it when
	// the view ends.
	pause *statedPause
	// rateLimit is what the upstream's answers have said about its rate limit.
	rateLimit ratelimit.Knowledge
	// limitEndedAt is when a rate limit ended; 0 if none has.
	limitEndedAt time.Duration
	// roomAt is when the upstream's rate limit leaves room for another request.
	roomAt   time.Duration
	failures decayingCount
	// pace is that of a replica, and progressAt when the last of this entry's requests ended
	// there, or the first of those that run began.
	pace       pace
	progressAt time.Duration
}

// use is an adapter's use since the last heartbeat to the owner.
type use struct {
	count int
	// running is the number of running requests that were sent without
	// admission, and admitted that of the others.
	running  int
	admitted int
}

func (u *use) add(admitted bool, n int) {
	if admitted {
		u.admitted += n
		return
	}
	u.running += n
}

func newView(upstream topology.Upstream, pause *statedPause) *view {
	v := &view{upstream: upstream, uses: make(map[topology.Adapter]*use), pause: pause}
	pause.beginProcess(upstream.Incarnation)
	v.setHeldFromRegistration()
	return v
}

// setHeldFromRegistration sets the held adapters to those that the engine
// registered.
func (v *view) setHeldFromRegistration() {
	v.held = make(map[topology.Adapter]int64)
	for _, model := range v.upstream.Models {
		for _, adapter := range model.Adapters {
			v.held[topology.Adapter{Model: model.Name, Name: adapter.Name}] = adapter.Version
		}
	}
}

// update applies a newer registration.
func (v *view) update(now time.Duration, upstream topology.Upstream) {
	restarted := upstream.Incarnation > v.upstream.Incarnation
	v.upstream = upstream
	v.pause.beginProcess(upstream.Incarnation)
	if restarted {
		v.hasState = false
		v.workAt, v.prefillPerToken = 0, 0
		v.prompts, v.lately = cost.Prompts{}, heldLately{}
		v.rateLimit, v.limitEndedAt, v.roomAt = ratelimit.Knowledge{}, 0, 0
		v.pace = pace{}
	}
	if restarted || !v.hasState || now-v.stateReceivedAt > stateTTL {
		v.setHeldFromRegistration()
	}
}

// applyState records the state that the owner reported. It ignores the state of
// another incarnation of the engine.
func (v *view) applyState(now time.Duration, state orders.EngineState) {
	v.ownerIncarnation = max(v.ownerIncarnation, state.Incarnation)
	if state.Incarnation != v.upstream.Incarnation {
		return
	}
	v.recordRateLimit(now, state.RateLimit)
	v.state = state
	v.stateReceivedAt = now
	v.hasState = true
	v.runningAtState = v.running
	v.waitingAtState, v.waitingTokensAtState = v.waiting, v.waitingTokens
	v.workAt, v.prefillPerToken = now, state.PrefillPerToken
	v.lately.update(v.held, state.Held)
	v.held = make(map[topology.Adapter]int64, len(state.Held))
	for _, held := range state.Held {
		v.held[held.Adapter] = held.Version
	}
}

// estimateRunning estimates the number of requests that run at the engine: this
// entry's own, and those of other entries as reported by the owner.
func (v *view) estimateRunning(now time.Duration) int {
	if !v.hasState || now-v.stateReceivedAt > stateTTL {
		return v.running
	}
	return v.running + max(v.state.Running-v.runningAtState, 0)
}

// estimateWaiting estimates the number of requests that wait for the batch.
func (v *view) estimateWaiting(now time.Duration) int {
	if !v.hasState || now-v.stateReceivedAt > stateTTL {
		return v.waiting
	}
	return max(v.state.Waiting+v.waiting-v.waitingAtState, v.waiting)
}

// applyStatus records the queue at the engine, which the owner reports with the status of
// a request; w is nil if that no longer waits. The work includes the prompt of an admitted
// request.
func (v *view) applyStatus(now time.Duration, status orders.AdmissionStatus, w *wait) {
	v.state.Waiting = status.Waiting
	if status.PrefillPerToken > 0 {
		// Otherwise the owner is of an earlier build, which its next state shows, or the
		// daemon that declined is no longer the owner and knows no work.
		v.state.WaitingWork, v.state.PrefillPerToken = status.WaitingWork, status.PrefillPerToken
		v.workAt, v.prefillPerToken = now, status.PrefillPerToken
	}
	v.waitingAtState, v.waitingTokensAtState = v.waiting, v.waitingTokens
	if w != nil && w.forBatch && status.Status == residency.Ready {
		v.waitingTokensAtState -= w.tokens
	}
}

// holdsModel reports whether the engine holds the base model: according to the
// registration, which lags, or because it holds adapters of the model.
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

// softwareVersion returns the version of the process's software; empty if it is
// unknown, or the registration is that of an earlier process.
func (v *view) softwareVersion() string {
	if v.ownerIncarnation > v.upstream.Incarnation {
		return ""
	}
	return v.upstream.SoftwareVersion
}

func (v *view) useOf(adapter topology.Adapter) *use {
	u := v.uses[adapter]
	if u == nil {
		u = &use{}
		v.uses[adapter] = u
	}
	return u
}

// drainUses returns the use of adapters since the last call and resets the
// counts.
func (v *view) drainUses() []residency.AdapterUse {
	var uses []residency.AdapterUse
	for adapter, u := range v.uses {
		if u.count == 0 && u.running == 0 && u.admitted == 0 {
			delete(v.uses, adapter)
			continue
		}
		uses = append(uses, residency.AdapterUse{Adapter: adapter, Count: u.count, Running: u.running, Admitted: u.admitted})
		u.count = 0
	}
	return uses
}
