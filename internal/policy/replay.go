package policy

import (
	"cmp"
	"container/heap"
	"slices"
	"strconv"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/limit"
	"github.com/barleylift/barleylift/internal/permit"
	"github.com/barleylift/barleylift/internal/placement"
	"github.com/barleylift/barleylift/internal/profile"
	"github.com/barleylift/barleylift/internal/queue"
)

const (
	// tickInterval is the time between two looks of an owner at its queue.
	tickInterval = 100 * time.Millisecond
	// defaultMaxLoads bounds the loads that one engine prepares at once.
	defaultMaxLoads = 4
	// pressureInterval is the time between two updates of a request's pressure.
	pressureInterval = time.Second
	// permitLease is longer than any load, as holders renew their permits.
	permitLease = time.Minute
)

// epoch is the virtual time at which traces start.
var epoch = time.Unix(1_700_000_000, 0)

// callState is one call and what became of it.
type callState struct {
	Arrival
	id       string
	engine   *engine
	arrived  time.Time
	cold     bool
	hit      bool
	stall    time.Duration
	wait     time.Duration
	first    time.Duration
	outcome  outcome
	deadline time.Time
	ended    time.Time
	lease    *limit.Reservation
}

// outcome is what a call was told.
type outcome int

const (
	pending outcome = iota
	completed
	refusedAtOnce
	expired
)

// replay is one run of a policy over a workload.
type replay struct {
	workload   Workload
	policy     Policy
	now        time.Time
	engines    []*engine
	byName     map[string]*engine
	candidates map[string][]*engine
	home       *placement.Home
	granter    *permit.Granter
	ledger     *queue.Ledger
	limiter    *limit.Limiter
	requests   map[string]*engine
	calls      []*callState
	waiting    map[string]*callState
	events     eventHeap
	sequence   int
	grantAt    time.Time
	loads      int
	evictions  int
	// wasted counts permits that were given back without a load.
	wasted int
}

// Run replays a workload under a policy.
func Run(w Workload, p Policy) Result {
	r := newReplay(w, p)
	r.warm()
	for _, a := range w.Arrivals {
		r.runUntil(epoch.Add(a.At))
		r.arrive(a)
	}
	r.runUntil(epoch.Add(w.Until))
	return r.result()
}

func newReplay(w Workload, p Policy) *replay {
	r := &replay{
		workload:   w,
		policy:     p,
		now:        epoch,
		byName:     make(map[string]*engine),
		candidates: make(map[string][]*engine),
		home:       placement.NewHome(p.Home),
		ledger:     queue.NewLedger(),
		limiter:    limit.NewLimiter(),
		requests:   make(map[string]*engine),
		waiting:    make(map[string]*callState),
	}
	granter, err := permit.NewGranter(epoch, permit.Config{
		LoadsPerSecond: w.Fleet.LoadsPerSecond, Concurrent: w.Fleet.Concurrent, Lease: permitLease, Order: p.Permits,
	}, epoch)
	if err != nil {
		panic("policy: workload " + w.Name + ": " + err.Error())
	}
	r.granter = granter
	for i, c := range w.Fleet.Engines {
		e := &engine{
			name: c.Engine, index: i, queue: queue.New(p.Queue), size: w.Fleet.Slots, max: w.Fleet.MaxRunning,
			slots: make(map[call.AdapterRef]*slot), loads: make(map[call.AdapterRef]*load), updated: epoch,
			wholeBacklog: p.WholeBacklog,
		}
		r.engines = append(r.engines, e)
		r.byName[e.name] = e
		r.at(epoch.Add(tickInterval*time.Duration(i)/time.Duration(len(w.Fleet.Engines))), event{kind: tickEvent, engine: e})
	}
	return r
}

// warm loads adapters where the policy would look for them first and a slot
// is empty.
func (r *replay) warm() {
	for i, adapter := range r.workload.Warm {
		engines := r.candidatesOf(adapter, max(r.policy.Home.MinCandidates, 1))
		if r.policy.Routing == RouteLeastLoaded {
			engines = r.engines[i%len(r.engines):]
		}
		for _, e := range engines {
			if len(e.slots) < e.size {
				e.slots[adapter] = &slot{ready: true, lastUse: r.now}
				break
			}
		}
	}
}

// arrive sends a call to the engines that the policy chooses until one
// accepts it.
func (r *replay) arrive(a Arrival) {
	c := &callState{Arrival: a, id: strconv.Itoa(len(r.calls)), arrived: r.now, deadline: r.now.Add(a.Tolerance)}
	r.calls = append(r.calls, c)
	lease, _, ok := r.limiter.Acquire(r.now, a.Customer, profile.Profile{Name: "default", MaxInFlight: r.workload.MaxInFlight})
	if !ok {
		c.outcome = refusedAtOnce
		c.ended = r.now
		return
	}
	c.lease = lease
	engines := r.route(r.now, a.Adapter)
	for i, e := range engines {
		if i >= r.policy.Attempts {
			break
		}
		if r.push(e, c) {
			return
		}
	}
	c.outcome = refusedAtOnce
	c.ended = r.now
	c.lease.Release()
}

// push offers a call to an engine's owner.
func (r *replay) push(e *engine, c *callState) bool {
	item := queue.Item{
		ID: c.id, Customer: c.Customer, Weight: 1, Urgency: c.Urgency, Adapter: c.Adapter, Cost: c.cost(),
		EnqueuedAt: r.now, Deadline: c.deadline, LoadWait: e.loadWait(r.now, c.Adapter),
		ServedElsewhere: r.elsewhere(c.Customer, e.name),
	}
	_, ok := e.queue.Push(r.now, item)
	r.finishUnserved(e.queue.DrainShed(), refusedAtOnce)
	if !ok {
		return false
	}
	c.engine = e
	c.hit = e.ready(c.Adapter)
	c.cold = !c.hit
	r.waiting[c.id] = c
	r.pump(e)
	return true
}

// elsewhere is what the entry tells the engine, unless the policy does without.
func (r *replay) elsewhere(customer, engine string) int {
	if !r.policy.Ledger {
		return 0
	}
	return r.ledger.ServedElsewhere(customer, engine)
}

// loadWait estimates the time until an adapter is ready, as owners do.
func (e *engine) loadWait(now time.Time, adapter call.AdapterRef) time.Duration {
	if e.ready(adapter) {
		return 0
	}
	estimate := e.stall.At(now)
	if l, ok := e.loads[adapter]; ok {
		return max(estimate-now.Sub(l.began), 0)
	}
	return estimate
}

// pump dispatches what may run and starts the loads that waiting calls need.
func (r *replay) pump(e *engine) {
	e.advance(r.now, r.measured())
	for e.queue.Len() > 0 && e.running < e.max {
		item, ok := e.queue.Pop(r.now, e.ready)
		if !ok {
			break
		}
		c := r.waiting[item.ID]
		delete(r.waiting, item.ID)
		c.wait = r.now.Sub(c.arrived)
		e.start(r.now, c)
	}
	r.startLoads(e)
	r.scheduleMark(e)
}

// startLoads asks for permits for the adapters that calls wait for, the
// greatest pressure first, as far as there is room.
func (r *replay) startLoads(e *engine) {
	demands := slices.DeleteFunc(e.queue.Demands(r.now), func(d queue.Demand) bool { return e.slots[d.Adapter] != nil })
	if len(demands) == 0 {
		return
	}
	slices.SortFunc(demands, func(a, b queue.Demand) int {
		return cmp.Or(cmp.Compare(b.Pressure, a.Pressure), cmp.Compare(a.Adapter.Name, b.Adapter.Name))
	})
	for _, d := range demands {
		l, ok := e.loads[d.Adapter]
		if ok && (l.running || !r.policy.UpdatePressure || r.now.Sub(l.asked) < pressureInterval) {
			continue
		}
		if !ok {
			if len(e.loads) >= r.policy.maxLoads() || e.room(r.now) <= 0 {
				continue
			}
			l = &load{adapter: d.Adapter, began: r.now}
			e.loads[d.Adapter] = l
		}
		l.asked = r.now
		r.ask(e, d)
	}
	r.grant()
}

func (r *replay) ask(e *engine, d queue.Demand) {
	id := e.name + "/" + d.Adapter.Name
	r.requests[id] = e
	r.granter.Submit(r.now, permit.Request{ID: id, Holder: e.name, Engine: e.name, Adapter: d.Adapter, Pressure: r.policy.pressure(r.now, d)})
}

// release ends a request or a permit.
func (r *replay) release(e *engine, adapter call.AdapterRef) {
	id := e.name + "/" + adapter.Name
	delete(r.requests, id)
	delete(e.loads, adapter)
	r.granter.Release(id)
}

// grant starts the loads that the store allows now.
func (r *replay) grant() {
	for _, request := range r.granter.Grant(r.now) {
		r.beginLoad(r.requests[request.ID], request.Adapter)
	}
	next, ok := r.granter.NextWakeup(r.now)
	if ok && (r.grantAt.IsZero() || next.Before(r.grantAt) || !r.grantAt.After(r.now)) {
		r.grantAt = next
		r.at(next, event{kind: grantEvent})
	}
}

// beginLoad takes a slot for a permitted load, or gives the permit back when
// nobody waits for it any more or no slot is free.
func (r *replay) beginLoad(e *engine, adapter call.AdapterRef) {
	if !e.demanded(r.now)[adapter] || !r.makeRoom(e) {
		r.wasted++
		r.release(e, adapter)
		return
	}
	e.loads[adapter].running = true
	e.slots[adapter] = &slot{lastUse: r.now}
	r.loads++
	r.at(r.now.Add(r.workload.Fleet.loadTime()), event{kind: loadedEvent, engine: e, adapter: adapter})
}

func (r *replay) makeRoom(e *engine) bool {
	if len(e.slots) < e.size {
		return true
	}
	residents := e.victims(r.now, r.workload.Fleet.loadTime())
	i, ok := r.policy.Victim(r.now, residents)
	if !ok {
		return false
	}
	delete(e.slots, residents[i].Adapter)
	r.evictions++
	return true
}

// loaded makes an adapter ready and lets its calls run.
func (r *replay) loaded(e *engine, adapter call.AdapterRef) {
	e.stall.Observe(r.now, r.now.Sub(e.loads[adapter].began))
	e.slots[adapter].ready = true
	r.release(e, adapter)
	for _, c := range r.waiting {
		if c.engine == e && c.cold && c.Adapter == adapter {
			c.cold = false
			c.stall = r.now.Sub(c.arrived)
		}
	}
	r.pump(e)
	r.grant()
}

// finishUnserved notes calls that end as not run.
func (r *replay) finishUnserved(items []queue.Item, o outcome) {
	for _, item := range items {
		c := r.waiting[item.ID]
		delete(r.waiting, item.ID)
		c.lease.Release()
		c.outcome = o
		if r.now.Before(c.deadline) {
			c.outcome = refusedAtOnce
		}
		c.ended = r.now
		c.wait = r.now.Sub(c.arrived)
		if c.cold {
			c.stall = c.wait
		}
	}
}

// tick expires calls and goes on with loads that had no room before.
func (r *replay) tick(e *engine) {
	if e.queue.Len() > 0 {
		r.finishUnserved(e.queue.Expire(r.now), expired)
		r.pump(e)
	}
	r.at(r.now.Add(tickInterval), event{kind: tickEvent, engine: e})
}

// reach handles the marks that the engine's calls have come to.
func (r *replay) reach(e *engine) {
	e.advance(r.now, r.measured())
	for len(e.marks) > 0 && e.marks[0].at <= e.progress+1e-9 {
		m := heap.Pop(&e.marks).(mark)
		if !m.final {
			m.call.first = r.now.Sub(m.call.arrived)
			continue
		}
		m.call.lease.Release()
		m.call.outcome = completed
		m.call.ended = r.now
		e.end(m.call)
		r.ledger.RecordServed(m.call.Customer, e.name, m.call.cost())
	}
	r.pump(e)
}

// scheduleMark replaces the engine's next event; earlier ones lapse.
func (r *replay) scheduleMark(e *engine) {
	e.schedule++
	if next, ok := e.nextMark(); ok {
		r.at(next, event{kind: markEvent, engine: e, schedule: e.schedule})
	}
}

func (r *replay) measured() bool {
	at := r.now.Sub(epoch)
	return at >= r.workload.MeasureFrom && at <= r.workload.lastArrival()
}
