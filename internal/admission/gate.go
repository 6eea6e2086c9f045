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
	// Resumes is set if the request goes on with a stream: it comes before new ones of its
	// class, and is never late, as what its caller has got is lost otherwise.
	Resumes bool
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
	work       time.Duration
	admittedAt time.Duration
	// dueAt is when its first event is expected.
	dueAt time.Duration
	// sharedTokens is an upper bound of the tokens of other prompts that the engine
	// prefilled between the admission and the first event.
	sharedTokens int
}

// Gate admits requests to one engine. It is not safe for concurrent use.
type Gate struct {
	waiting  map[Key]*waiter
	prefills map[Key]prefill
	pacer    pacer
	// fair orders requests while any that waits has a customer.
	fair fairOrder
	// reportedAt is when the last first event was reported.
	reportedAt time.Duration
	// hopelessCheckedAt is when requests that are too late were last looked for.
	hopelessCheckedAt time.Duration
	// admittedCount counts admissions, for the share of late requests.
	admittedCount int
}

// NewGate returns a gate without requests.
func NewGate() *Gate {
	return &Gate{waiting: make(map[Key]*waiter), prefills: make(map[Key]prefill), pacer: newPacer()}
}

// Enqueue adds a request or renews one that still waits. It ignores a request
// that is admitted.
func (g *Gate) Enqueue(now time.Duration, r Request) {
	if _, admitted := g.prefills[r.Key]; admitted {
		return
	}
	r.PromptTokens = min(max(r.PromptTokens, 0), maxPromptTokens)
	r.Weight = boundedWeight(r.Weight)
	w := g.waiting[r.Key]
	isNew := w == nil
	if isNew {
		w = &waiter{}
		g.waiting[r.Key] = w
	}
	w.Request = r
	if isNew {
		g.fair.arrive(now, w)
	}
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
	g.pacer.end(p.work)
	g.reportedAt = now
	g.learn(p, now-p.admittedAt)
	g.pacer.reported(now, p.dueAt)
}

// learn updates the model by the time from an admission to the first event. If other prompts
// were prefilled meanwhile, the time tells something only if it is out of the range that
// these leave open.
func (g *Gate) learn(p prefill, took time.Duration) {
	model := &g.pacer.model
	shortest := model.Overhead() + model.Prefill(p.tokens)
	longest := shortest + model.Prefill(p.sharedTokens)
	switch {
	case p.sharedTokens == 0 || took < shortest:
		model.Observe(p.tokens, took)
	case took > longest:
		model.Observe(p.tokens+p.sharedTokens, took)
	}
}

// Withdraw ends a request that waits, or is admitted and has ended, perhaps without a first
// event: then the time that it took says nothing about prefills.
func (g *Gate) Withdraw(key Key) {
	delete(g.waiting, key)
	if p, ok := g.prefills[key]; ok {
		delete(g.prefills, key)
		g.pacer.end(p.work)
	}
}

func (g *Gate) prefillTime(tokens int) time.Duration {
	return g.pacer.model.Prefill(tokens)
}

// isLate reports whether a request that is admitted at the given time misses its
// objective.
func (g *Gate) isLate(admittedAt time.Duration, w *waiter) bool {
	return !w.Resumes && max(admittedAt, g.pacer.busyUntil)+g.prefillTime(w.PromptTokens)+g.pacer.model.Overhead() > w.FirstEventDue
}

// Decision is the status to report to the request's entry.
type Decision struct {
	Request
	Status residency.Status
	// RoomIn is when there is room for the request, if Status is residency.TooLate.
	RoomIn time.Duration
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
	hopeless := g.hopeless(now, ready)
	for _, d := range hopeless {
		delete(g.waiting, d.Key)
		decisions = append(decisions, d)
	}
	if len(hopeless) > 0 {
		ready = slices.DeleteFunc(ready, func(w *waiter) bool { return g.waiting[w.Key] == nil })
	}
	if !g.mayJoin(now, ready) {
		return decisions
	}
	for ; len(ready) > 0 && freeSlots > 0; freeSlots-- {
		i, picked := g.pick(now, ready)
		r := ready[i].Request
		if !g.pacer.fits(now, r.PromptTokens, r.PauseObjective) {
			break
		}
		if picked.w != nil {
			g.fair.admit(now, picked, ready, func(w *waiter) bool { return g.isLate(now, w) })
		}
		g.admit(now, r)
		decisions = append(decisions, Decision{Request: r, Status: residency.Ready})
		ready = slices.Delete(ready, i, i+1)
	}
	g.fair.resetIdle(g.waiting)
	return decisions
}

// mayJoin reports whether prompts may be admitted now. Between the end of a batch's prefills and
// the next batch, prompts join the former only if none remains: each would put the next batch off.
func (g *Gate) mayJoin(now time.Duration, ready []*waiter) bool {
	if now < g.pacer.busyUntil || now >= g.pacer.nextBatchAt() {
		return true
	}
	work := time.Duration(0)
	for _, w := range ready {
		work += g.prefillTime(w.PromptTokens)
	}
	return len(ready) > 0 && g.pacer.batchWork+work <= batchLimit(ready[0].PauseObjective)
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
			g.pacer.end(p.work)
			g.pacer.silent = g.pacer.silent || p.admittedAt >= g.reportedAt
		}
	}
}

// maxTimeToFirstEvent returns how long after its admission a request without a report is
// taken for lost.
func (g *Gate) maxTimeToFirstEvent(p prefill) time.Duration {
	return p.dueAt - p.admittedAt + p.work + lostAdmissionGrace
}

// pick returns the index of the request to admit next. Where requests have customers, these
// decide. Otherwise it is, of those that can still meet their objective, the one due first,
// adjusted by priority, and every lateInterval-th admission goes to the first due of those
// that can't.
func (g *Gate) pick(now time.Duration, ready []*waiter) (int, choice) {
	isLate := func(w *waiter) bool { return g.isLate(now, w) }
	if slices.ContainsFunc(ready, func(w *waiter) bool { return w.Customer != 0 }) {
		picked := g.fair.pick(ready, isLate)
		return slices.Index(ready, picked.w), picked
	}
	lateFirst := g.admittedCount%lateInterval == lateInterval-1
	best := 0
	for i := range ready {
		if compare(ready[i], ready[best], isLate, lateFirst) < 0 {
			best = i
		}
	}
	return best, choice{}
}

func compare(a, b *waiter, isLate func(*waiter) bool, lateFirst bool) int {
	if isLate(a) != isLate(b) {
		if isLate(a) == lateFirst {
			return -1
		}
		return 1
	}
	due := func(w *waiter) time.Duration { return w.FirstEventDue + time.Duration(w.Priority)*priorityDelay }
	return cmp.Or(compareResumes(a, b), cmp.Compare(due(a), due(b)), compareKeys(a, b))
}

// compareResumes orders requests that go on with a stream before new ones.
func compareResumes(a, b *waiter) int {
	switch {
	case a.Resumes == b.Resumes:
		return 0
	case a.Resumes:
		return -1
	default:
		return 1
	}
}

// compareDue orders requests by when their first events are due.
func compareDue(a, b *waiter) int {
	return cmp.Or(compareResumes(a, b), cmp.Compare(a.FirstEventDue, b.FirstEventDue), compareKeys(a, b))
}

func compareKeys(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Ticket, b.Ticket))
}

func (g *Gate) admit(now time.Duration, r Request) {
	delete(g.waiting, r.Key)
	overhead := g.pacer.model.Overhead()
	shared := int(g.pacer.backlog(now) / g.pacer.model.PerToken())
	work := g.pacer.admit(now, r.PromptTokens, r.PauseObjective)
	dueAt := g.pacer.busyUntil + overhead
	for key, p := range g.prefills {
		p.sharedTokens += r.PromptTokens
		if p.dueAt > now+overhead {
			// Not yet prefilled; the engine may prefill both in one step.
			p.dueAt = dueAt
		}
		g.prefills[key] = p
	}
	g.prefills[r.Key] = prefill{adapter: r.Adapter, tokens: r.PromptTokens, work: work, admittedAt: now, dueAt: dueAt, sharedTokens: shared}
	g.admittedCount++
}

// NextCheckDelay returns the time until requests may be admitted again or an
// admission expires.
func (g *Gate) NextCheckDelay(now time.Duration) time.Duration {
	wait := time.Second
	if next := g.pacer.nextBatchAt(); len(g.waiting) > 0 && next > now {
		wait = min(wait, next-now)
	}
	for _, p := range g.prefills {
		wait = min(wait, p.admittedAt+g.maxTimeToFirstEvent(p)-now)
	}
	return max(wait, time.Millisecond)
}
