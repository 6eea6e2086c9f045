package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// OrderKind is the kind of an order.
type OrderKind int

// The kinds of orders.
const (
	// LoadModel brings the base model in.
	LoadModel OrderKind = iota
	// LoadAdapter brings an adapter in, or a newer version of one.
	LoadAdapter
	// UnloadAdapter takes an adapter out.
	UnloadAdapter
)

// String returns the name of the kind.
func (k OrderKind) String() string {
	switch k {
	case LoadModel:
		return "load model"
	case LoadAdapter:
		return "load adapter"
	default:
		return "unload adapter"
	}
}

// Order is an order to the engine.
type Order struct {
	Kind    OrderKind
	Adapter topology.Adapter
	// Version is the version to load; 0 for the newest.
	Version int64
	// Precondition is the number of accepted orders on which the order was decided.
	Precondition int64
}

// Action is what is to be done next at an engine.
type Action struct {
	// FetchReport asks for the engine's own report.
	FetchReport bool
	// Order is the order to send; nil for none.
	Order *Order
	// Wait is how long nothing is to be done, if neither is set.
	Wait time.Duration
}

// idleWait is the wait when nothing is due.
const idleWait = time.Second

// Next decides what is to be done at the engine.
func (e *Engine) Next(now time.Duration) Action {
	e.expire(now)
	if now < e.notUntil {
		return Action{Wait: e.notUntil - now}
	}
	if !e.known || e.reportDue(now) {
		return Action{FetchReport: true}
	}
	if order := e.nextOrder(now); order != nil {
		order.Precondition = e.orders
		return Action{Order: order}
	}
	return Action{Wait: e.wait(now)}
}

func (e *Engine) expire(now time.Duration) {
	for adapter, w := range e.wants {
		p := e.places[adapter]
		done := p != nil && p.phase == ready && p.version >= w.version
		if done || now-w.asked > wantExpiry {
			delete(e.wants, adapter)
		}
	}
	isOld := func(sent time.Duration) bool { return now-sent > lateFor }
	maps.DeleteFunc(e.unanswered, func(_ int64, sent time.Duration) bool { return isOld(sent) })
	e.reserved = slices.DeleteFunc(e.reserved, isOld)
	for entry, at := range e.heard {
		if now-at > entrySilence {
			e.RemoveEntry(entry)
		}
	}
}

// entrySilence is how long an entry's running requests count without a notice
// of it. Its requests end with its connections when it has died.
const entrySilence = 5 * time.Second

// reportDue reports whether an order's effect is to be looked up.
func (e *Engine) reportDue(now time.Duration) bool {
	if e.modelLoading && now >= e.modelCheck() {
		return true
	}
	for _, p := range e.places {
		if p.phase != ready && now >= p.check {
			return true
		}
	}
	return false
}

// modelCheck is when the load of the base model is to be looked up.
func (e *Engine) modelCheck() time.Duration {
	return e.modelOrdered + reportLag
}

// wait returns the time to the next look at the engine.
func (e *Engine) wait(now time.Duration) time.Duration {
	wait := idleWait
	for _, p := range e.places {
		if p.phase != ready {
			wait = min(wait, p.check-now)
		}
	}
	if e.modelLoading {
		wait = min(wait, e.modelCheck()-now)
	}
	if !e.modelLoading && !e.HasModel() && e.spec.Model != "" {
		wait = min(wait, e.spec.ModelLoadNotBefore-now)
	}
	if e.PendingLoads() > 0 {
		wait = min(wait, maxRecheck/5)
	}
	return max(wait, time.Millisecond)
}

func (e *Engine) nextOrder(now time.Duration) *Order {
	if e.spec.Model == "" || e.modelLoading || e.waitsForRuns() {
		return nil
	}
	if !e.HasModel() {
		if now < e.spec.ModelLoadNotBefore {
			return nil
		}
		return &Order{Kind: LoadModel, Adapter: topology.Adapter{Model: e.spec.Model}}
	}
	for _, wanted := range e.byWeight(now) {
		if order := e.orderFor(now, wanted); order != nil {
			return order
		}
	}
	return nil
}

// waitsForRuns reports whether an unload waits for its runs, or a newer version
// for those on the older one. The engine refuses all other orders until then.
func (e *Engine) waitsForRuns() bool {
	for adapter, p := range e.places {
		if p.phase == leaving || p.phase == replacing && e.runs(adapter) > 0 {
			return true
		}
	}
	return false
}

// byWeight lists the wanted adapters, the one for which most value has waited
// for longest first.
func (e *Engine) byWeight(now time.Duration) []topology.Adapter {
	list := make([]topology.Adapter, 0, len(e.wants))
	for adapter := range e.wants {
		list = append(list, adapter)
	}
	pressure := func(a topology.Adapter) float64 {
		w := e.wants[a]
		return w.weight * (0.1 + (now - w.since).Seconds())
	}
	slices.SortFunc(list, func(a, b topology.Adapter) int {
		if c := cmp.Compare(pressure(b), pressure(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.String(), b.String())
	})
	return list
}

// orderFor returns the order that brings a wanted adapter nearer, if one can
// be given now.
func (e *Engine) orderFor(now time.Duration, adapter topology.Adapter) *Order {
	w := e.wants[adapter]
	w.stuck = false
	p := e.places[adapter]
	load := &Order{Kind: LoadAdapter, Adapter: adapter, Version: w.version}
	switch {
	case adapter.Model != e.spec.Model:
		w.stuck = true
		return nil
	case !e.mayLoad():
		w.stuck = p == nil && now-w.since > stuckAfter
		return nil
	case p != nil && p.phase == ready:
		return load // a newer version replaces the one that is held
	case p != nil:
		return nil
	case e.inTransit() >= transitLimit:
		return nil
	case len(e.places)+len(e.reserved) < e.spec.Capacity:
		return load
	}
	victim, ok := e.victim(now)
	if !ok {
		w.stuck = now-w.since > stuckAfter
		return nil
	}
	return &Order{Kind: UnloadAdapter, Adapter: victim}
}

// mayLoad reports whether one more load may stay without an answer. After a
// restart the engine might carry out all of those, whatever they replaced, so
// they must never be more than its slots.
func (e *Engine) mayLoad() bool {
	if _, again := e.unanswered[e.orders]; again {
		return true
	}
	return len(e.unanswered)+len(e.reserved) < e.spec.Capacity
}

func (e *Engine) inTransit() int {
	n := 0
	for _, p := range e.places {
		if p.phase == loading || p.phase == replacing {
			n++
		}
	}
	return n
}

// victim returns the adapter with the least aged use among those that nothing
// uses or asks for; of equals, the one that was used least recently.
func (e *Engine) victim(now time.Duration) (topology.Adapter, bool) {
	var best topology.Adapter
	bestUse, bestLast := math.Inf(1), time.Duration(math.MaxInt64)
	for adapter, p := range e.places {
		if p.phase != ready || e.wants[adapter] != nil || now-p.lastUse < minIdle || e.runs(adapter) > 0 {
			continue
		}
		use := p.aged(now)
		better := use < bestUse || use == bestUse && (p.lastUse < bestLast || p.lastUse == bestLast && adapter.Name < best.Name)
		if better {
			best, bestUse, bestLast = adapter, use, p.lastUse
		}
	}
	return best, best.Name != ""
}

// halve returns the factor by which a count has aged.
func halve(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / usageHalfLife.Seconds())
}
