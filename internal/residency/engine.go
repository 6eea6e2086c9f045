package residency

import (
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// Time constants of one engine. Times are durations on any steady clock.
const (
	// wantExpiry drops a request for an adapter that nobody repeats.
	wantExpiry = time.Second
	// minIdle is how long an adapter must have been unused to be evicted.
	// Requests with a turn count from its grant to their end; this covers those
	// that are sent without one.
	minIdle = 400 * time.Millisecond
	// stuckAfter is how long an adapter waits for a place before its requests
	// are sent elsewhere. Requests run for some seconds, so that one of 17
	// places becomes free about each tenth of one.
	stuckAfter = 700 * time.Millisecond
	// usageHalfLife ages the count of uses; demand moves within some seconds.
	usageHalfLife = 8 * time.Second
	// staleReport is how long a report may lag behind an accepted order. One
	// that shows fewer orders after that corrects the count.
	staleReport = 700 * time.Millisecond
	// firstLoadGuess stands for the time of a load until one was measured.
	firstLoadGuess = 200 * time.Millisecond
	// reportLag is added to the expected end of a load before the engine is
	// asked: its reports are as of some hundred milliseconds ago.
	reportLag = 80 * time.Millisecond
	// firstRecheck and maxRecheck are the pauses between two questions about a
	// load that takes longer than expected.
	firstRecheck = 60 * time.Millisecond
	maxRecheck   = 500 * time.Millisecond
	// conflictPause follows a refused order.
	conflictPause = 40 * time.Millisecond
	// unansweredPause follows an order or report without an answer.
	unansweredPause = 20 * time.Millisecond
	// lateFor is how long an order without an answer may still be carried out.
	lateFor = 13 * time.Second
	// recentLimit bounds the memory of adapters that the engine held lately.
	recentLimit = 96
	// reloadShare is the time to load an adapter that the engine held lately,
	// against that of one from the weight store.
	reloadShare = 0.1
	// transitLimit is the number of adapters on their way into one engine.
	transitLimit = 2
)

// phase is the state of one place for an adapter.
type phase int

const (
	// ready: the adapter serves requests.
	ready phase = iota
	// loading: the adapter is on its way.
	loading
	// replacing: a newer version is on its way and waits for the runs on the older one.
	replacing
	// leaving: an unload waits for the runs on the adapter.
	leaving
)

// place is one adapter that takes a slot of the engine.
type place struct {
	phase   phase
	version int64
	// target is the version that is being loaded.
	target int64
	// order is the count of accepted orders after the place's last order.
	order int64
	// since is when that order was accepted, and check when the engine is to
	// be asked about it.
	since   time.Duration
	check   time.Duration
	recheck time.Duration
	lastUse time.Duration
	// uses is the aged count of requests as of agedAt.
	uses   float64
	agedAt time.Duration
}

// want is a request for an adapter that is not ready.
type want struct {
	version int64
	weight  float64
	since   time.Duration
	asked   time.Duration
	// stuck tells that the engine can't take the adapter at present.
	stuck bool
}

// Spec describes what an engine can hold.
type Spec struct {
	// Capacity is the number of adapters at once, those on their way included.
	Capacity int
	// Model is the base model that the engine is to hold.
	Model string
	// ModelLoadNotBefore is when a load of the base model may be ordered.
	ModelLoadNotBefore time.Duration
}

// Engine is the state of one engine as the daemon that orders it knows it. It
// is not safe for concurrent use.
type Engine struct {
	spec Spec
	born int64
	// known tells that the state below is that of the engine after orders
	// accepted orders.
	known    bool
	orders   int64
	accepted time.Duration
	notUntil time.Duration
	models   map[string]int64
	// modelOrdered is when a load of the base model was last accepted.
	modelOrdered time.Duration
	modelLoading bool
	places       map[topology.Adapter]*place
	wants        map[topology.Adapter]*want
	// running counts each entry's requests by its last notice: those that were
	// sent without a turn, and those with a turn that this daemon did not grant.
	running map[string]map[topology.Adapter]int
	// granted are the requests with a turn of this daemon that have not ended.
	granted  map[run]grantedRun
	heard    map[string]time.Duration
	recent   []topology.Adapter
	loadTime time.Duration
	// unanswered maps the preconditions of loads without an answer to when they
	// were sent. While the engine's process lives, a later order makes them
	// void. After a restart the new count may meet them by chance: reserved
	// holds those of earlier processes, and for each a place is kept free.
	unanswered map[int64]time.Duration
	reserved   []time.Duration
}

// NewEngine returns an engine of which nothing is known.
func NewEngine(spec Spec) *Engine {
	return &Engine{
		spec:     spec,
		models:   make(map[string]int64),
		places:   make(map[topology.Adapter]*place),
		wants:    make(map[topology.Adapter]*want),
		running:  make(map[string]map[topology.Adapter]int),
		granted:  make(map[run]grantedRun),
		heard:    make(map[string]time.Duration),
		loadTime: firstLoadGuess,

		unanswered: make(map[int64]time.Duration),
	}
}

// SetSpec replaces what the engine can hold.
func (e *Engine) SetSpec(spec Spec) {
	e.spec = spec
}

// Invalidate marks the state as unknown: another daemon may have given orders.
func (e *Engine) Invalidate() {
	e.known = false
}

// Reset drops everything: a new process of the engine holds nothing.
func (e *Engine) Reset(born int64) {
	for _, sent := range e.unanswered {
		e.reserved = append(e.reserved, sent)
	}
	clear(e.unanswered)
	e.born = born
	e.known = false
	e.orders = 0
	e.modelLoading = false
	clear(e.models)
	clear(e.places)
	clear(e.running)
	clear(e.granted)
}

// Incarnation returns the start of the engine's process in Unix milliseconds.
func (e *Engine) Incarnation() int64 {
	return e.born
}

// RequestLoad asks for an adapter in the version or a newer one. The weight adds up
// the value of the requests that wait for it at one entry.
func (e *Engine) RequestLoad(now time.Duration, adapter topology.Adapter, version int64, weight float64) {
	w := e.wants[adapter]
	if w == nil {
		w = &want{since: now}
		e.wants[adapter] = w
	}
	w.version = max(w.version, version)
	w.weight = max(w.weight, weight)
	w.asked = now
}

// run names a request by its entry and its ticket there.
type run struct {
	entry  string
	ticket uint64
}

// grantedRun is a request with a turn.
type grantedRun struct {
	adapter topology.Adapter
	since   time.Duration
}

// grantSettles is how long after its turn a request may be missing in its
// entry's notices, which were under way before.
const grantSettles = 500 * time.Millisecond

// RecordAdmission takes over that a request has its turn and is about to be sent.
func (e *Engine) RecordAdmission(now time.Duration, entry string, ticket uint64, adapter topology.Adapter) {
	e.granted[run{entry, ticket}] = grantedRun{adapter: adapter, since: now}
	if p := e.places[adapter]; p != nil {
		p.lastUse = now
	}
}

// RecordEnd takes over that a request with a turn has ended.
func (e *Engine) RecordEnd(now time.Duration, entry string, ticket uint64) {
	g, ok := e.granted[run{entry, ticket}]
	if !ok {
		return
	}
	delete(e.granted, run{entry, ticket})
	if p := e.places[g.adapter]; p != nil {
		p.lastUse = now
	}
}

// RecordUse takes over what one entry has sent to the engine since its last notice,
// and what of it still runs.
func (e *Engine) RecordUse(now time.Duration, entry string, uses []AdapterUse) {
	running := make(map[topology.Adapter]int, len(uses))
	turned := make(map[topology.Adapter]int, len(uses))
	for _, use := range uses {
		turned[use.Adapter] = use.Admitted
		if use.Running > 0 {
			running[use.Adapter] = use.Running
		}
		if p := e.places[use.Adapter]; p != nil && (use.Count > 0 || use.Running > 0) {
			p.lastUse = now
			p.uses = p.aged(now) + float64(use.Count)
			p.agedAt = now
		}
	}
	for r, g := range e.granted {
		switch {
		case r.entry != entry:
		case turned[g.adapter] > 0:
			turned[g.adapter]--
		case now-g.since > grantSettles:
			// The news of its end was lost.
			delete(e.granted, r)
		}
	}
	for adapter, n := range turned {
		running[adapter] += n
	}
	e.running[entry] = running
	e.heard[entry] = now
}

// AdapterUse is one adapter's use by one entry.
type AdapterUse struct {
	Adapter topology.Adapter
	// Count is the number of requests sent since the last notice.
	Count int
	// Running is the number of requests without a turn that have not ended,
	// Turned that of requests with one.
	Running  int
	Admitted int
}

// RemoveEntry forgets an entry that has gone.
func (e *Engine) RemoveEntry(entry string) {
	delete(e.running, entry)
	delete(e.heard, entry)
	for r := range e.granted {
		if r.entry == entry {
			delete(e.granted, r)
		}
	}
}

func (e *Engine) runs(adapter topology.Adapter) int {
	total := 0
	for _, running := range e.running {
		total += running[adapter]
	}
	for _, g := range e.granted {
		if g.adapter == adapter {
			total++
		}
	}
	return total
}

func (p *place) aged(now time.Duration) float64 {
	return p.uses * halve(now-p.agedAt)
}

// Running returns the number of requests that run at the engine, as far as it
// is known here.
func (e *Engine) Running() int {
	total := len(e.granted)
	for _, running := range e.running {
		for _, n := range running {
			total += n
		}
	}
	return total
}

// Status is what an entry is told about an adapter that it asked for.
type Status int

// The states of a wanted adapter.
const (
	// Waiting: the adapter is on its way or waits for its turn.
	Waiting Status = iota
	// Ready: the adapter serves requests.
	Ready
	// Declined: the engine can't take the adapter soon.
	Declined
	// Unreachable: nobody answers at the engine's address.
	Unreachable
)

// Status returns how an adapter stands.
func (e *Engine) Status(adapter topology.Adapter, version int64) Status {
	p := e.places[adapter]
	switch {
	case !e.known:
		return Waiting
	case p != nil && p.phase == ready && p.version >= version:
		return Ready
	case p != nil && (p.phase == leaving || p.phase == replacing) && e.runs(adapter) > 0:
		return Declined
	case p == nil && e.wants[adapter] != nil && e.wants[adapter].stuck:
		return Declined
	default:
		return Waiting
	}
}

// HeldAdapters lists the adapters that serve requests.
func (e *Engine) HeldAdapters() []HeldAdapter {
	list := make([]HeldAdapter, 0, len(e.places))
	for adapter, p := range e.places {
		if p.phase == ready {
			list = append(list, HeldAdapter{Adapter: adapter, Version: p.version})
		}
	}
	return list
}

// HeldAdapter is an adapter that serves requests.
type HeldAdapter struct {
	Adapter topology.Adapter
	Version int64
}

// HasModel reports whether the base model is held.
func (e *Engine) HasModel() bool {
	_, ok := e.models[e.spec.Model]
	return ok
}

// Synced reports whether the state is that of the engine.
func (e *Engine) Synced() bool {
	return e.known
}

// PendingLoads returns the number of adapters that wait for a load or are on their way.
func (e *Engine) PendingLoads() int {
	n := 0
	for adapter := range e.wants {
		if p := e.places[adapter]; p == nil || p.phase != ready {
			n++
		}
	}
	return n
}
