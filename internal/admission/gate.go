package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// Constants of the admissions at one engine.
const (
	// prefillPauseShare is the share of the pause objective that prompts admitted
	// together may take to prefill; the rest is left to the steps between them.
	prefillPauseShare = 0.6
	// defaultPauseObjective applies to routes without a pause objective.
	defaultPauseObjective = 300 * time.Millisecond
	// admissionGap is the time between the end of some prefills and the next
	// admissions: two steps of about 9 ms, so that an event of three tokens is
	// delayed by prefills only once.
	admissionGap = 20 * time.Millisecond
	// lostAdmissionGrace is added to the overhead and twice the expected prefill time;
	// after that an admission without a report of its end is released.
	lostAdmissionGrace = 220 * time.Millisecond
	// maxPromptTokens bounds the prompt lengths that entries state, so that sums of
	// prefill times don't overflow.
	maxPromptTokens = 1 << 20
	// requestExpiry is how long a request stays queued unless its entry repeats it.
	requestExpiry = 600 * time.Millisecond
	// priorityDelay is how much later the first event of a request may be for
	// each level of lower priority.
	priorityDelay = 150 * time.Millisecond
	// lateInterval is the number of admissions of which one goes to a request
	// that can't meet its objective any more.
	lateInterval = 4
)

// Key identifies a request: a ticket is unique at its entry.
type Key struct {
	Entry  string
	Ticket uint64
}

// Request is a request for admission.
type Request struct {
	Key
	Adapter topology.Adapter
	Version int64
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Priority 0 is the most urgent.
	Priority int
	// PauseObjective is the pause objective of the request's route; 0 for the
	// default.
	PauseObjective time.Duration
	// FirstEventDue is when the first event should arrive. After Deadline the
	// request is no longer sent.
	FirstEventDue time.Duration
	Deadline      time.Duration
	// TurnBy is until when the request waits for its turn at an engine with a rate
	// limit.
	TurnBy time.Duration
	// Customer identifies the customer, and Weight is its share of capacity relative to
	// others; 0 without a customer.
	Customer uint64
	Weight   float64
}

// waiter is a request that waits for admission.
type waiter struct {
	Request
	lastRequestedAt time.Duration
}

// prefill is an admitted request until its first event.
type prefill struct {
	adapter    topology.Adapter
	tokens     int
	admittedAt time.Duration
	// alone is set if no other prompt has been prefilled at the same time.
	alone bool
}

// Gate admits requests to one engine. It is not safe for concurrent use.
type Gate struct {
	waiting  map[Key]*waiter
	prefills map[Key]prefill
	model    PrefillModel
	// lastEndedAt is when the last prefill ended; 0 if none has.
	lastEndedAt time.Duration
	// admittedCount counts admissions, for the share of late requests.
	admittedCount int
}

// NewGate returns a gate without requests.
func NewGate() *Gate {
	return &Gate{waiting: make(map[Key]*waiter), prefills: make(map[Key]prefill), model: NewPrefillModel()}
}

// Enqueue adds a request or renews one that still waits. It ignores a request
// that is admitted.
func (g *Gate) Enqueue(now time.Duration, r Request) {
	if _, admitted := g.prefills[r.Key]; admitted {
		return
	}
	r.PromptTokens = min(max(r.PromptTokens, 0), maxPromptTokens)
	w := g.waiting[r.Key]
	if w == nil {
		w = &waiter{}
		g.waiting[r.Key] = w
	}
	w.Request = r
	w.lastRequestedAt = now
}

// Admitted reports whether a request is admitted and not yet released. If its
// entry asks again, the reply that admitted it was lost.
func (g *Gate) Admitted(key Key) bool {
	_, admitted := g.prefills[key]
	return admitted
}

// AdmittedAdapter returns the adapter of a request that is admitted and not yet
// released.
func (g *Gate) AdmittedAdapter(key Key) (topology.Adapter, bool) {
	p, ok := g.prefills[key]
	return p.adapter, ok
}

// Release ends a request's admission, because its first event has arrived. It removes a
// request that still waits.
func (g *Gate) Release(now time.Duration, key Key) {
	p, ok := g.prefills[key]
	if !ok {
		delete(g.waiting, key)
		return
	}
	delete(g.prefills, key)
	g.lastEndedAt = now
	if p.alone {
		g.model.Observe(p.tokens, now-p.admittedAt)
	}
}

// Withdraw ends a request that waits, or is admitted and has ended, perhaps without a first
// event: then the time that it took says nothing about prefills.
func (g *Gate) Withdraw(now time.Duration, key Key) {
	delete(g.waiting, key)
	if _, ok := g.prefills[key]; ok {
		delete(g.prefills, key)
		g.lastEndedAt = now
	}
}

// WaitingForBatch returns the number of requests that wait for room in the
// engine's batch. Those that wait for their adapter's load are not counted: they
// don't delay requests for adapters that the engine holds.
func (g *Gate) WaitingForBatch(status func(topology.Adapter, int64) residency.Status) int {
	return g.countWaiting(status, residency.Ready)
}

// WaitingForLoad returns the number of requests that wait for their adapter's load.
func (g *Gate) WaitingForLoad(status func(topology.Adapter, int64) residency.Status) int {
	return g.countWaiting(status, residency.Waiting)
}

// WaitingWork returns the time that the engine needs for the prompts that it has yet to
// prefill: those that were admitted and those that wait for room in its batch.
func (g *Gate) WaitingWork(now time.Duration, status func(topology.Adapter, int64) residency.Status) time.Duration {
	work := time.Duration(0)
	for _, p := range g.prefills {
		work += g.prefillTime(p.tokens)
	}
	for _, w := range g.waiting {
		if status(w.Adapter, w.Version) == residency.Ready {
			work += g.prefillTime(w.PromptTokens)
		}
	}
	return work
}

// PrefillPerToken returns the learned time to prefill one token of a prompt.
func (g *Gate) PrefillPerToken() time.Duration {
	return g.model.PerToken()
}

// countWaiting returns the number of waiting requests whose adapter has a status.
func (g *Gate) countWaiting(status func(topology.Adapter, int64) residency.Status, want residency.Status) int {
	n := 0
	for _, w := range g.waiting {
		if status(w.Adapter, w.Version) == want {
			n++
		}
	}
	return n
}

func (g *Gate) prefillTime(tokens int) time.Duration {
	return g.model.Prefill(tokens)
}

// WaitingAdapters calls yield for each adapter version that requests wait for,
// with the demand for it if a load takes loadTime from now on.
func (g *Gate) WaitingAdapters(now, loadTime time.Duration, yield func(adapter topology.Adapter, version int64, demand residency.Demand)) {
	type adapterVersion struct {
		adapter topology.Adapter
		version int64
	}
	demands := make(map[adapterVersion]residency.Demand)
	for _, w := range g.waiting {
		key := adapterVersion{w.Adapter, w.Version}
		demand := demands[key]
		switch {
		case !g.isLate(now+loadTime, w):
			if demand.Timely == 0 || w.FirstEventDue < demand.Due {
				demand.Due = w.FirstEventDue
			}
			demand.Timely += weight(w.Priority)
		case now+loadTime < w.Deadline:
			demand.Late += weight(w.Priority)
		}
		demands[key] = demand
	}
	for key, demand := range demands {
		yield(key.adapter, key.version, demand)
	}
}

// isLate reports whether a request that is admitted at the given time misses its
// objective.
func (g *Gate) isLate(admittedAt time.Duration, w *waiter) bool {
	return admittedAt+g.prefillTime(w.PromptTokens)+g.model.Overhead() > w.FirstEventDue
}

// weight returns the weight in load requests of a request with the priority.
func weight(priority int) float64 {
	const lowest = 4
	return float64(1 + max(lowest-priority, 0))
}

// Decision is the status to report to the request's entry.
type Decision struct {
	Request
	Status residency.Status
}

// Next removes expired requests and returns those it admits and those it
// declines. The status function returns an adapter's status, and freeSlots is
// the number of requests that the engine can run in addition to the running
// ones: more would queue at the engine and preempt each other, which repeats
// prefills.
func (g *Gate) Next(now time.Duration, freeSlots int, status func(topology.Adapter, int64) residency.Status) []Decision {
	g.expire(now)
	var decisions []Decision
	var ready []*waiter
	for key, w := range g.waiting {
		adapterStatus := status(w.Adapter, w.Version)
		switch adapterStatus {
		case residency.Ready:
			ready = append(ready, w)
		case residency.Declined, residency.Unreachable:
			decisions = append(decisions, Decision{Request: w.Request, Status: adapterStatus})
			delete(g.waiting, key)
		}
	}
	if len(g.prefills) > 0 || now < g.lastEndedAt+admissionGap {
		return decisions
	}
	for ; len(ready) > 0 && freeSlots > 0; freeSlots-- {
		i := g.pick(now, ready)
		if !g.fits(ready[i].Request) {
			break
		}
		g.admit(now, ready[i].Request)
		decisions = append(decisions, Decision{Request: ready[i].Request, Status: residency.Ready})
		ready = slices.Delete(ready, i, i+1)
	}
	return decisions
}

// HasWaiting reports whether requests wait for admission.
func (g *Gate) HasWaiting() bool {
	return len(g.waiting) > 0
}

// DeclineLate removes the requests whose turn comes too late, and returns them.
// turnIn returns after which time a request with others ahead of it has its turn,
// in the order of admissions.
func (g *Gate) DeclineLate(now time.Duration, turnIn func(ahead int) time.Duration) []Decision {
	isLate := func(w *waiter) bool { return g.isLate(now, w) }
	queue := slices.SortedFunc(maps.Values(g.waiting), func(a, b *waiter) int { return compare(a, b, isLate, false) })
	var declined []Decision
	ahead := 0
	for _, w := range queue {
		if now+turnIn(ahead) <= w.TurnBy {
			ahead++
			continue
		}
		delete(g.waiting, w.Key)
		declined = append(declined, Decision{Request: w.Request, Status: residency.NoRoom})
	}
	return declined
}

func (g *Gate) expire(now time.Duration) {
	for key, w := range g.waiting {
		if now-w.lastRequestedAt > requestExpiry || now >= w.Deadline {
			delete(g.waiting, key)
		}
	}
	for key, p := range g.prefills {
		if now-p.admittedAt > g.maxTimeToFirstEvent(p) {
			delete(g.prefills, key)
			g.lastEndedAt = now
		}
	}
}

// maxTimeToFirstEvent returns how long after its admission a request without a report is
// taken for lost.
func (g *Gate) maxTimeToFirstEvent(p prefill) time.Duration {
	return g.model.Overhead() + 2*g.prefillTime(p.tokens) + lostAdmissionGrace
}

// fits reports whether the prefill of a request fits into the pause objective
// together with those in progress.
func (g *Gate) fits(r Request) bool {
	if len(g.prefills) == 0 {
		return true
	}
	objective := r.PauseObjective
	if objective <= 0 {
		objective = defaultPauseObjective
	}
	total := g.prefillTime(r.PromptTokens)
	for _, p := range g.prefills {
		total += g.prefillTime(p.tokens)
	}
	return total <= time.Duration(prefillPauseShare*float64(objective))
}

// pick returns the index of the request to admit next: of those that can still
// meet their objective the one due first, adjusted by priority. Every
// lateInterval-th admission goes to the first due of those that can't.
func (g *Gate) pick(now time.Duration, ready []*waiter) int {
	isLate := func(w *waiter) bool { return g.isLate(now, w) }
	lateFirst := g.admittedCount%lateInterval == lateInterval-1
	best := 0
	for i := range ready {
		if compare(ready[i], ready[best], isLate, lateFirst) < 0 {
			best = i
		}
	}
	return best
}

func compare(a, b *waiter, isLate func(*waiter) bool, lateFirst bool) int {
	if isLate(a) != isLate(b) {
		if isLate(a) == lateFirst {
			return -1
		}
		return 1
	}
	due := func(w *waiter) time.Duration { return w.FirstEventDue + time.Duration(w.Priority)*priorityDelay }
	if c := cmp.Compare(due(a), due(b)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Entry, b.Entry); c != 0 {
		return c
	}
	return cmp.Compare(a.Ticket, b.Ticket)
}

func (g *Gate) admit(now time.Duration, r Request) {
	delete(g.waiting, r.Key)
	for key, p := range g.prefills {
		p.alone = false
		g.prefills[key] = p
	}
	g.prefills[r.Key] = prefill{adapter: r.Adapter, tokens: r.PromptTokens, admittedAt: now, alone: len(g.prefills) == 0}
	g.admittedCount++
}

// NextCheckDelay returns the time until requests may be admitted again or an
// admission expires.
func (g *Gate) NextCheckDelay(now time.Duration) time.Duration {
	wait := time.Second
	if len(g.prefills) == 0 && len(g.waiting) > 0 && g.lastEndedAt+admissionGap > now {
		wait = g.lastEndedAt + admissionGap - now
	}
	for _, p := range g.prefills {
		wait = min(wait, p.admittedAt+g.maxTimeToFirstEvent(p)-now)
	}
	return max(wait, time.Millisecond)
}
