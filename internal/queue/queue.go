package queue

import (
	"container/heap"
	"math"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/profile"
)

// Item is one waiting call.
type Item struct {
	// ID is the attempt identifier of the call.
	ID       string
	Customer string
	// Weight is the customer's share relative to others in its band.
	Weight  float64
	Urgency profile.Urgency
	Adapter call.AdapterRef
	// Cost estimates the tokens that the call will occupy, prompt included.
	Cost       int
	EnqueuedAt time.Time
	// Deadline is the last moment at which the call may be dispatched.
	Deadline time.Time
	// ServedElsewhere is the tokens that the customer was served at other
	// engines since its last call to this one, as a Ledger counts them.
	ServedElsewhere int
	// LoadWait estimates the time until the adapter is ready; 0 if it is
	// ready or there is no estimate.
	LoadWait time.Duration
}

// Demand summarizes the calls that wait for one adapter.
type Demand struct {
	Adapter          call.AdapterRef
	Waiting          int
	OldestEnqueuedAt time.Time
	MaxUrgency       profile.Urgency
	// Pressure is the sum of (urgency + 1) × seconds waited over the waiting calls.
	Pressure float64
}

// Refusal is the reason why a call was not accepted and when to retry it.
type Refusal struct {
	Code       call.Code
	RetryAfter time.Duration
}

// Queue holds the calls that wait at one engine.
type Queue struct {
	cfg       Config
	entries   map[string]*entry
	bands     [profile.UrgencyCount]band
	adapters  map[call.AdapterRef]*adapterEntries
	deadlines deadlineHeap
	rate      rateMeter
	epoch     time.Time
	sequence  uint64
	shed      []Item
}

// New returns an empty queue. Zero fields of the configuration take defaults.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{
		cfg:      cfg,
		entries:  make(map[string]*entry),
		adapters: make(map[call.AdapterRef]*adapterEntries),
		rate:     rateMeter{halfLife: cfg.RateHalfLife},
	}
	for i := range q.bands {
		q.bands[i].customers = make(map[string]*customer)
	}
	return q
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int {
	return len(q.entries)
}

// Push accepts the item, or refuses it at once when its expected wait exceeds
// its tolerance or the queue is full. An accepted item may displace waiting
// items of lower urgency, which DrainShed returns. Push panics if an item with
// the same ID is waiting.
func (q *Queue) Push(now time.Time, item Item) (Refusal, bool) {
	if _, ok := q.entries[item.ID]; ok {
		panic("queue: item " + item.ID + " is already waiting")
	}
	item = normalize(item)
	if refusal, ok := q.accept(now, item); !ok {
		return refusal, false
	}
	q.insert(now, item)
	q.shedLessUrgent(now, item.Urgency)
	return Refusal{}, true
}

func normalize(item Item) Item {
	if item.Weight <= 0 {
		item.Weight = 1
	}
	item.Cost = max(item.Cost, 1)
	item.ServedElsewhere = max(item.ServedElsewhere, 0)
	item.Urgency = min(max(item.Urgency, profile.Background), profile.Critical)
	return item
}

func (q *Queue) insert(now time.Time, item Item) {
	if q.epoch.IsZero() {
		q.epoch = now
	}
	q.sequence++
	e := &entry{Item: item, sequence: q.sequence}
	q.entries[item.ID] = e
	heap.Push(&q.deadlines, e)
	waiting := q.entriesFor(item.Adapter)
	waiting.add(e, q.epoch)
	b := &q.bands[item.Urgency]
	b.add(e)
	if waiting.blocked {
		b.blockedCost += e.Cost
	}
}

func (q *Queue) entriesFor(ref call.AdapterRef) *adapterEntries {
	waiting, ok := q.adapters[ref]
	if !ok {
		waiting = &adapterEntries{ref: ref}
		q.adapters[ref] = waiting
	}
	return waiting
}

// Pop removes and returns the item to serve next among those whose adapter is
// ready. It calls ready at most once for each adapter. It ignores deadlines:
// only Push and Expire shed items, and their caller collects them before it
// waits.
func (q *Queue) Pop(now time.Time, ready func(call.AdapterRef) bool) (Item, bool) {
	readiness := make(map[call.AdapterRef]bool)
	checkReady := func(ref call.AdapterRef) bool {
		isReady, ok := readiness[ref]
		if !ok {
			isReady = ready(ref)
			readiness[ref] = isReady
			q.setBlocked(q.adapters[ref], !isReady)
		}
		return isReady
	}
	e := q.choose(checkReady)
	if e == nil {
		q.rate.recordIdle()
		return Item{}, false
	}
	q.charge(e)
	q.detach(e)
	q.rate.recordDispatch(now, e.Cost, len(q.entries) > 0)
	return e.Item, true
}

// choose returns the fairest ready entry of the least urgent band whose credit
// covers it, else that of the most urgent band that has a ready entry.
func (q *Queue) choose(ready func(call.AdapterRef) bool) *entry {
	for i := range q.bands {
		b := &q.bands[i]
		if b.count == 0 || b.credit <= 0 {
			continue
		}
		if e := b.fairest(ready); e != nil && b.credit >= float64(e.Cost) {
			b.credit -= float64(e.Cost)
			return e
		}
	}
	for i := len(q.bands) - 1; i >= 0; i-- {
		if e := q.bands[i].fairest(ready); e != nil {
			return e
		}
	}
	return nil
}

// charge adds the item's cost to its customer's counter and credits each lower
// band that has waiting entries with its minimum share of that cost.
func (q *Queue) charge(e *entry) {
	cost := float64(e.Cost)
	if q.cfg.Order == OrderRoundRobin {
		cost = 1
	}
	q.bands[e.Urgency].serve(e.customer, cost/e.Weight)
	for i := range int(e.Urgency) {
		b := &q.bands[i]
		if b.count > 0 {
			b.credit += q.cfg.MinShare[i] * float64(e.Cost)
		}
	}
}

// detach removes the entry from every index.
func (q *Queue) detach(e *entry) {
	delete(q.entries, e.ID)
	heap.Remove(&q.deadlines, e.heapIndex)
	waiting := q.adapters[e.Adapter]
	waiting.remove(e, q.epoch)
	if waiting.entries.count == 0 {
		delete(q.adapters, e.Adapter)
	}
	b := &q.bands[e.Urgency]
	if waiting.blocked {
		b.blockedCost -= e.Cost
	}
	b.remove(e)
}

// Remove drops a waiting call, for example a cancelled one.
func (q *Queue) Remove(id string) bool {
	e, ok := q.entries[id]
	if ok {
		q.detach(e)
	}
	return ok
}

// Expire removes and returns the items whose deadline has passed, those that
// are expected to miss it, and those that were shed and not yet collected by
// DrainShed. Owners call it several times a second.
func (q *Queue) Expire(now time.Time) []Item {
	q.shedLate(now)
	expired := q.DrainShed()
	for len(q.deadlines) > 0 && q.deadlines[0].Deadline.Before(now) {
		e := q.deadlines[0]
		q.detach(e)
		expired = append(expired, e.Item)
	}
	return expired
}

// DrainShed returns and clears the items that more urgent arrivals displaced
// since the last call of DrainShed or Expire. Each has left the queue and was
// not run.
func (q *Queue) DrainShed() []Item {
	shed := q.shed
	q.shed = nil
	return shed
}

// AdjustCharge corrects a customer's counter after a call: tokens is what the
// call used beyond the Cost that Pop charged, negative if it used less.
func (q *Queue) AdjustCharge(customer string, weight float64, urgency profile.Urgency, tokens int) {
	if q.cfg.Order == OrderRoundRobin || tokens == 0 {
		return
	}
	if weight <= 0 {
		weight = 1
	}
	urgency = min(max(urgency, profile.Background), profile.Critical)
	b := &q.bands[urgency]
	if c, ok := b.customers[customer]; ok {
		b.charge(c, float64(tokens)/weight)
	}
}

// Backlog returns the number of waiting calls, counting those of each customer
// only up to its share of a batch. Otherwise one customer's long queue would
// make the engine look full to customers that are served before it.
func (q *Queue) Backlog(batch int) int {
	weight := 0.0
	for i := range q.bands {
		weight += q.bands[i].activeWeight
	}
	backlog := 0
	for i := range q.bands {
		for _, c := range q.bands[i].active {
			share := int(math.Ceil(float64(batch) * c.weight / weight))
			backlog += min(c.count, share)
		}
	}
	return backlog
}

// Waiting returns the number of calls that wait for an adapter.
func (q *Queue) Waiting(adapter call.AdapterRef) int {
	if waiting, ok := q.adapters[adapter]; ok {
		return waiting.entries.count
	}
	return 0
}

// Demands returns the demand for each adapter that calls wait for, in no
// particular order.
func (q *Queue) Demands(now time.Time) []Demand {
	demands := make([]Demand, 0, len(q.adapters))
	for _, waiting := range q.adapters {
		demands = append(demands, waiting.demand(now, q.epoch))
	}
	return demands
}
