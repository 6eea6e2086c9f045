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
	// tickInterval is the time between two periodic checks of a queue by its
	// engine's owner.
	tickInterval = 100 * time.Millisecond
	// defaultMaxLoads is the default of Policy.MaxLoads.
	defaultMaxLoads = 4
	// pressureInterval is the time between two updates of a request's pressure.
	pressureInterval = time.Second
	// permitLease is longer than any load, because the replay does not model the
	// renewal of permits.
	permitLease = time.Minute
)

// epoch is the virtual time at which traces start.
var epoch = time.Unix(1_700_000_000, 0)

// callState is one call with its progress and outcome.
type callState struct {
	Arrival
	id                string
	engine            *engine
	arrivedAt         time.Time
	awaitingLoad      bool
	hit               bool
	stall             time.Duration
	wait              time.Duration
	firstTokenLatency time.Duration
	outcome           outcome
	deadline          time.Time
	endedAt           time.Time
	reservation       *limit.Reservation
}

// outcome is the result of a call.
type outcome int

const (
	pending outcome = iota
	completed
	refused
	expired
)

// replay is one run of a policy over a workload.
type replay struct {
	workload      Workload
	policy        Policy
	now           time.Time
	engines       []*engine
	enginesByName map[string]*engine
	candidates    map[string][]*engine
	home          *placement.Home
	granter       *permit.Granter
	ledger        *queue.Ledger
	limiter       *limit.Limiter
	requests      map[string]*engine
	calls         []*callState
	waiting       map[string]*callState
	events        eventHeap
	sequence      int
	nextGrantAt   time.Time
	loads         int
	evictions     int
}

// Run replays a workload under a policy.
func Run(w Workload, p Policy) Result {
	r := newReplay(w, p)
	r.preload()
	for _, a := range w.Arrivals {
		r.runUntil(epoch.Add(a.At))
		r.handleArrival(a)
	}
	r.runUntil(epoch.Add(w.Until))
	return r.result()
}

func newReplay(w Workload, p Policy) *replay {
	r := &replay{
		workload:      w,
		policy:        p,
		now:           epoch,
		enginesByName: make(map[string]*engine),
		candidates:    make(map[string][]*engine),
		home:          placement.NewHome(p.Home),
		ledger:        queue.NewLedger(),
		limiter:       limit.NewLimiter(),
		requests:      make(map[string]*engine),
		waiting:       make(map[string]*callState),
	}
	granter, err := permit.NewGranter(epoch, permit.Config{
		LoadsPerSecond: w.Fleet.LoadsPerSecond, Concurrent: w.Fleet.Concurrent, Lease: permitLease, Order: p.PermitOrder,
	}, epoch)
	if err != nil {
		panic("policy: workload " + w.Name + ": " + err.Error())
	}
	r.granter = granter
	for i, c := range w.Fleet.Engines {
		e := &engine{
			name: c.Engine, index: i, queue: queue.New(p.Queue), slotCount: w.Fleet.Slots, max: w.Fleet.MaxRunning,
			slots: make(map[call.AdapterRef]*slot), loads: make(map[call.AdapterRef]*load), updatedAt: epoch,
			wholeBacklog: p.WholeBacklog,
		}
		r.engines = append(r.engines, e)
		r.enginesByName[e.name] = e
		r.schedule(epoch.Add(tickInterval*time.Duration(i)/time.Duration(len(w.Fleet.Engines))), event{kind: tickEvent, engine: e})
	}
	return r
}

// preload loads the workload's warm adapters, each on the first engine in the
// policy's order that has an empty slot.
func (r *replay) preload() {
	for i, adapter := range r.workload.Warm {
		engines := r.candidatesOf(adapter, max(r.policy.Home.MinCandidates, 1))
		if r.policy.Routing == RouteLeastLoaded {
			engines = r.engines[i%len(r.engines):]
		}
		for _, e := range engines {
			if len(e.slots) < e.slotCount {
				e.slots[adapter] = &slot{ready: true, lastUse: r.now}
				break
			}
		}
	}
}

// handleArrival offers a call to the engines that the policy chooses until one
// accepts it.
func (r *replay) handleArrival(a Arrival) {
	c := &callState{Arrival: a, id: strconv.Itoa(len(r.calls)), arrivedAt: r.now, deadline: r.now.Add(a.Tolerance)}
	r.calls = append(r.calls, c)
	reservation, _, ok := r.limiter.Acquire(r.now, a.Customer, profile.Profile{Name: "default", MaxInFlight: r.workload.MaxInFlight})
	if !ok {
		c.outcome = refused
		c.endedAt = r.now
		return
	}
	c.reservation = reservation
	engines := r.route(r.now, a.Adapter)
	for i, e := range engines {
		if i >= r.policy.Attempts {
			break
		}
		if r.push(e, c) {
			return
		}
	}
	c.outcome = refused
	c.endedAt = r.now
	c.reservation.Release()
}

// push offers a call to an engine's owner.
func (r *replay) push(e *engine, c *callState) bool {
	item := queue.Item{
		ID: c.id, Customer: c.Customer, Weight: 1, Urgency: c.Urgency, Adapter: c.Adapter, Cost: c.cost(),
		EnqueuedAt: r.now, Deadline: c.deadline, LoadWait: e.loadWait(r.now, c.Adapter),
		ServedElsewhere: r.servedElsewhere(c.Customer, e.name),
	}
	_, ok := e.queue.Push(r.now, item)
	r.finishUnserved(e.queue.DrainShed(), refused)
	if !ok {
		return false
	}
	c.engine = e
	c.hit = e.ready(c.Adapter)
	c.awaitingLoad = !c.hit
	r.waiting[c.id] = c
	r.dispatch(e)
	return true
}

// servedElsewhere returns what the ledger reports to the engine, 0 if the policy
// has no ledger.
func (r *replay) servedElsewhere(customer, engine string) int {
	if !r.policy.Ledger {
		return 0
	}
	return r.ledger.ServedElsewhere(customer, engine)
}

// loadWait estimates the time until an adapter is ready, in the same way as
// owners.
func (e *engine) loadWait(now time.Time, adapter call.AdapterRef) time.Duration {
	if e.ready(adapter) {
		return 0
	}
	estimate := e.stall.At(now)
	if l, ok := e.loads[adapter]; ok {
		return max(estimate-now.Sub(l.requestedAt), 0)
	}
	return estimate
}

// dispatch starts the calls that can run and requests the loads that waiting
// calls need.
func (r *replay) dispatch(e *engine) {
	e.advance(r.now, r.measuring())
	for e.queue.Len() > 0 && e.running < e.max {
		item, ok := e.queue.Pop(r.now, e.ready)
		if !ok {
			break
		}
		c := r.waiting[item.ID]
		delete(r.waiting, item.ID)
		c.wait = r.now.Sub(c.arrivedAt)
		e.startCall(r.now, c)
	}
	r.requestLoads(e)
	r.scheduleMilestone(e)
}

// requestLoads requests permits for the adapters that calls wait for, the
// greatest pressure first, while there are free slots.
func (r *replay) requestLoads(e *engine) {
	demands := slices.DeleteFunc(e.queue.Demands(r.now), func(d queue.Demand) bool { return e.slots[d.Adapter] != nil })
	if len(demands) == 0 {
		return
	}
	slices.SortFunc(demands, func(a, b queue.Demand) int {
		return cmp.Or(cmp.Compare(b.Pressure, a.Pressure), cmp.Compare(a.Adapter.Name, b.Adapter.Name))
	})
	for _, d := range demands {
		l, ok := e.loads[d.Adapter]
		if ok && (l.running || !r.policy.UpdatePressure || r.now.Sub(l.pressureSentAt) < pressureInterval) {
			continue
		}
		if !ok {
			if len(e.loads) >= r.policy.maxLoads() || e.freeSlots(r.now) <= 0 {
				continue
			}
			l = &load{adapter: d.Adapter, requestedAt: r.now}
			e.loads[d.Adapter] = l
		}
		l.pressureSentAt = r.now
		r.requestPermit(e, d)
	}
	r.grantPermits()
}

func (r *replay) requestPermit(e *engine, d queue.Demand) {
	id := e.name + "/" + d.Adapter.Name
	r.requests[id] = e
	r.granter.Submit(r.now, permit.Request{ID: id, Holder: e.name, Engine: e.name, Adapter: d.Adapter, Pressure: r.policy.pressure(r.now, d)})
}

// releasePermit removes a permit request or a held permit.
func (r *replay) releasePermit(e *engine, adapter call.AdapterRef) {
	id := e.name + "/" + adapter.Name
	delete(r.requests, id)
	delete(e.loads, adapter)
	r.granter.Release(id)
}

// grantPermits starts the loads that the weight store allows now.
func (r *replay) grantPermits() {
	for _, request := range r.granter.Grant(r.now) {
		r.startLoad(r.requests[request.ID], request.Adapter)
	}
	next, ok := r.granter.NextWakeup(r.now)
	if ok && (r.nextGrantAt.IsZero() || next.Before(r.nextGrantAt) || !r.nextGrantAt.After(r.now)) {
		r.nextGrantAt = next
		r.schedule(next, event{kind: grantEvent})
	}
}

// startLoad occupies a slot for a permitted load, or returns the permit if no
// call waits for the adapter any more or no slot is free.
func (r *replay) startLoad(e *engine, adapter call.AdapterRef) {
	if !e.demanded(r.now)[adapter] || !r.makeRoom(e) {
		r.releasePermit(e, adapter)
		return
	}
	e.loads[adapter].running = true
	e.slots[adapter] = &slot{lastUse: r.now}
	r.loads++
	r.schedule(r.now.Add(r.workload.Fleet.loadTime()), event{kind: loadedEvent, engine: e, adapter: adapter})
}

func (r *replay) makeRoom(e *engine) bool {
	if len(e.slots) < e.slotCount {
		return true
	}
	residents := e.evictable(r.now, r.workload.Fleet.loadTime())
	i, ok := r.policy.Eviction(r.now, residents)
	if !ok {
		return false
	}
	delete(e.slots, residents[i].Adapter)
	r.evictions++
	return true
}

// finishLoad makes an adapter ready and dispatches its calls.
func (r *replay) finishLoad(e *engine, adapter call.AdapterRef) {
	e.stall.Observe(r.now, r.now.Sub(e.loads[adapter].requestedAt))
	e.slots[adapter].ready = true
	r.releasePermit(e, adapter)
	for _, c := range r.waiting {
		if c.engine == e && c.awaitingLoad && c.Adapter == adapter {
			c.awaitingLoad = false
			c.stall = r.now.Sub(c.arrivedAt)
		}
	}
	r.dispatch(e)
	r.grantPermits()
}

// finishUnserved records the outcome of calls that were not run: o, or refused
// if their deadline has not passed.
func (r *replay) finishUnserved(items []queue.Item, o outcome) {
	for _, item := range items {
		c := r.waiting[item.ID]
		delete(r.waiting, item.ID)
		c.reservation.Release()
		c.outcome = o
		if r.now.Before(c.deadline) {
			c.outcome = refused
		}
		c.endedAt = r.now
		c.wait = r.now.Sub(c.arrivedAt)
		if c.awaitingLoad {
			c.stall = c.wait
		}
	}
}

// tick expires calls and retries loads that had no free slot before.
func (r *replay) tick(e *engine) {
	if e.queue.Len() > 0 {
		r.finishUnserved(e.queue.Expire(r.now), expired)
		r.dispatch(e)
	}
	r.schedule(r.now.Add(tickInterval), event{kind: tickEvent, engine: e})
}

// handleMilestones handles the milestones that the engine's calls have reached.
func (r *replay) handleMilestones(e *engine) {
	e.advance(r.now, r.measuring())
	for len(e.milestones) > 0 && e.milestones[0].progress <= e.progress+1e-9 {
		m := heap.Pop(&e.milestones).(milestone)
		if !m.final {
			m.call.firstTokenLatency = r.now.Sub(m.call.arrivedAt)
			continue
		}
		m.call.reservation.Release()
		m.call.outcome = completed
		m.call.endedAt = r.now
		e.endCall(m.call)
		r.ledger.RecordServed(m.call.Customer, e.name, m.call.cost())
	}
	r.dispatch(e)
}

// scheduleMilestone schedules the engine's next milestone; events scheduled
// earlier become stale.
func (r *replay) scheduleMilestone(e *engine) {
	e.generation++
	if next, ok := e.nextMilestone(); ok {
		r.schedule(next, event{kind: milestoneEvent, engine: e, generation: e.generation})
	}
}

func (r *replay) measuring() bool {
	at := r.now.Sub(epoch)
	return at >= r.workload.MeasureFrom && at <= r.workload.lastArrival()
}
