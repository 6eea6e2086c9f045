package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/dissemination"
	"github.com/barleylift/barleylift/internal/knownred"
	"github.com/barleylift/barleylift/internal/mesh"
)

var testBounds = Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 11000}

// event is something that happens in a simulation.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// memberKey is a member key in the simulated key-value service.
type memberKey struct {
	Member
	revision int64
	renewed  time.Duration
}

// usage is one admitted request that has run.
type usage struct {
	at   time.Duration
	cost int64
}

// sim is a simulated fleet with a key-value service and a network. Its time is that of the
// world; each VM's clock differs by a constant.
type sim struct {
	random *rand.Rand
	now    time.Duration
	queue  eventQueue
	seq    int
	vms    []*simVM
	byName map[string]*simVM

	keys     map[string]*memberKey
	revision int64
	kvDown   bool
	// inUse is the key without a lease that quotas are in use.
	inUse  bool
	copied snapshot

	// loss, duplication and delay are those of datagrams.
	loss, duplication float64
	maxDelay          time.Duration
	// tries is how often callers send a request that is refused.
	tries int
	// returned is the part of the admitted requests that turn out not to have run.
	returned float64

	customers []Customer
	used      map[uint64][]usage
	outcomes  map[Outcome]int
	datagrams int
}

// simVM is one VM. While it is frozen, what happens on it is kept in backlog.
type simVM struct {
	sim         *sim
	name        string
	offset      time.Duration
	incarnation int64
	alive       bool
	frozen      bool
	backlog     []func()
	// muted is set while the datagrams of the VM are lost, and those to it are not.
	muted bool
	// mutedFor are the VMs to which its datagrams are lost.
	mutedFor map[string]bool
	// side is the VM's side of a partition of the network, and kvCut is set while it
	// doesn't reach the key-value service.
	side  int
	kvCut bool

	memberCount *MemberCount
	entitlement *Entitlement
	ledger      *Ledger
	tokenCache  *TokenCache
	coords      *dissemination.Coordinators
	copy        snapshot
	copiedAt    time.Duration
	rank        uint64
	announced   int
	requests    map[uint64]func(Decision)
	nextRequest uint64
	tickAt      time.Duration
}

// snapshot is a copy of the member keys at a revision, and the candidates for coordinators.
type snapshot struct {
	revision int64
	inUse    bool
	members  []Member
	byName   map[string]memberKey
	ranked   []dissemination.Coordinator
}

func (s *sim) snapshot() snapshot {
	if s.copied.byName != nil && s.copied.revision == s.revision {
		return s.copied
	}
	c := snapshot{revision: s.revision, inUse: s.inUse, byName: make(map[string]memberKey, len(s.keys))}
	for _, vm := range s.vms {
		if key := s.keys[vm.name]; key != nil {
			c.members = append(c.members, key.Member)
			c.byName[vm.name] = *key
			c.ranked = append(c.ranked, dissemination.Coordinator{VM: vm.name, Incarnation: key.Incarnation})
		}
	}
	sort.Slice(c.ranked, func(i, j int) bool { return s.byName[c.ranked[i].VM].rank < s.byName[c.ranked[j].VM].rank })
	c.ranked = c.ranked[:min(len(c.ranked), 12)]
	s.copied = c
	return c
}

func newSim(seed uint64, customers []Customer) *sim {
	return &sim{
		random: rand.New(rand.NewPCG(seed, 1)), byName: make(map[string]*simVM), keys: make(map[string]*memberKey),
		customers: customers, used: make(map[uint64][]usage), outcomes: make(map[Outcome]int), maxDelay: 3 * time.Millisecond, tries: 4,
	}
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, run})
}

func (s *sim) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.random.Int64N(int64(b-a)+1))
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// addVM adds a VM and starts it.
func (s *sim) addVM() *simVM {
	vm := &simVM{sim: s, name: fmt.Sprint("vm-", len(s.vms)), offset: s.between(time.Minute, time.Hour), rank: s.random.Uint64()}
	s.vms = append(s.vms, vm)
	s.byName[vm.name] = vm
	vm.start()
	return vm
}

func (vm *simVM) now() time.Duration { return vm.sim.now + vm.offset }

func (vm *simVM) start() {
	s := vm.sim
	vm.alive, vm.frozen, vm.backlog = true, false, nil
	vm.incarnation = s.random.Int64N(1 << 50)
	vm.memberCount = NewMemberCount(vm.name)
	vm.entitlement = NewEntitlement(vm.memberCount)
	vm.ledger = NewLedger(testBounds, vm.incarnation)
	vm.ledger.SetCustomers(vm.now(), s.customers)
	vm.tokenCache = NewTokenCache(testBounds, vm.entitlement)
	vm.tokenCache.SetCustomers(s.customers)
	vm.coords = dissemination.NewCoordinators(vm.name)
	vm.copy, vm.copiedAt, vm.announced = snapshot{}, 0, 0
	vm.requests = make(map[uint64]func(Decision))
	vm.tickAt = 0
	vm.poll(vm.incarnation)
	vm.every(600*time.Millisecond, vm.renew)
	vm.every(250*time.Millisecond, vm.exchange)
}

// do runs something on the VM: now, when it thaws, or not at all if the process is another one
// by then.
func (vm *simVM) do(incarnation int64, run func()) {
	switch {
	case !vm.alive || vm.incarnation != incarnation:
	case vm.frozen:
		vm.backlog = append(vm.backlog, func() { vm.do(incarnation, run) })
	default:
		run()
	}
}

func (vm *simVM) every(d time.Duration, run func()) {
	incarnation := vm.incarnation
	var step func()
	step = func() {
		vm.do(incarnation, func() {
			run()
			vm.sim.after(vm.sim.between(d*9/10, d*11/10), step)
		})
	}
	vm.sim.after(vm.sim.between(0, d), step)
}

func (vm *simVM) kill() { vm.alive = false }

func (vm *simVM) freeze() {
	if vm.alive {
		vm.frozen = true
	}
}

// thaw lets the VM go on: its timers and the datagrams in its socket run in any order.
func (vm *simVM) thaw() {
	if !vm.frozen {
		return
	}
	vm.frozen = false
	backlog := vm.backlog
	vm.backlog = nil
	if vm.sim.random.IntN(2) == 0 {
		slices.Reverse(backlog)
	}
	for _, run := range backlog {
		run()
	}
}

// reachesKV reports whether the VM reaches the key-value service.
func (vm *simVM) reachesKV() bool { return !vm.sim.kvDown && !vm.kvCut }

// renew renews the lease of the member key, and writes the key if it is absent or out of date.
// The first read shows the key of the process before.
func (vm *simVM) renew() {
	if !vm.reachesKV() || vm.copiedAt == 0 {
		return
	}
	s := vm.sim
	if !s.inUse {
		s.inUse = true
		s.revision++
	}
	key := s.keys[vm.name]
	if counted := vm.countedToAnnounce(); key == nil || key.Incarnation != vm.incarnation || key.Counted != counted {
		s.revision++
		vm.announced = counted
		key = &memberKey{Member: Member{VM: vm.name, Incarnation: vm.incarnation, Counted: counted}, revision: s.revision}
		s.keys[vm.name] = key
	}
	key.renewed = s.now
}

// countedToAnnounce returns the number that the member key is to have.
func (vm *simVM) countedToAnnounce() int {
	now := vm.now()
	if !vm.entitlement.Entitled(now) {
		return vm.announced
	}
	if n := vm.entitlement.N(); n > vm.announced {
		return n
	}
	return vm.announced
}

// poll copies the member keys, again and again.
func (vm *simVM) poll(incarnation int64) {
	s := vm.sim
	if !vm.reachesKV() {
		s.after(100*time.Millisecond, func() { vm.do(incarnation, func() { vm.poll(incarnation) }) })
		return
	}
	asOf, copied := vm.now(), s.snapshot()
	s.after(s.between(time.Millisecond, 30*time.Millisecond), func() {
		vm.do(incarnation, func() {
			vm.copiedAt = asOf
			vm.applyCopy(copied)
			s.after(s.between(200*time.Millisecond, 1500*time.Millisecond), func() { vm.do(incarnation, func() { vm.poll(incarnation) }) })
		})
	})
}

func (vm *simVM) applyCopy(copied snapshot) {
	now := vm.now()
	vm.entitlement.Advance(now)
	if vm.copy.byName == nil || vm.copy.revision != copied.revision {
		vm.memberCount.SetMembers(now, copied.members, copied.inUse)
	}
	vm.copy = copied
	vm.memberCount.RecordCopy(now, vm.copiedAt)
	vm.memberCount.HearRevision(vm.name, vm.incarnation, copied.revision)
	own, ok := copied.byName[vm.name]
	if ok {
		vm.entitlement.RecordProof(now, vm.copiedAt)
	}
	vm.entitlement.SetOwnKey(now, own.revision, own.Counted, copied.inUse)
}

// exchange runs the exchanges that are due.
func (vm *simVM) exchange() {
	now := vm.now()
	asks := vm.coords.Next(now, vm.copy.ranked, nil, nil)
	for g := range Groups {
		c, ok := vm.coords.Of(g)
		vm.tokenCache.SetCoordinator(now, g, Process{c.VM, c.Incarnation}, ok)
	}
	for _, ask := range asks {
		if ask.FreshnessOnly {
			continue
		}
		var delegations []mesh.Delegation
		for g := range Groups {
			d := vm.entitlement.Delegation(now, g, ask.To.Incarnation)
			d.Revision = vm.copy.revision
			delegations = append(delegations, d)
		}
		from := vm.process()
		vm.send(ask.To.VM, func(to *simVM) { to.handleExchange(from, ask.SentAt, delegations) })
	}
	vm.tick()
}

func (vm *simVM) process() Process { return Process{vm.name, vm.incarnation} }

func (vm *simVM) handleExchange(from Process, askedAt time.Duration, delegations []mesh.Delegation) {
	now := vm.now()
	for _, d := range delegations {
		if vm.ledger.Hear(now, from, d) {
			vm.memberCount.HearRevision(from.VM, from.Incarnation, d.Revision)
		}
	}
	state := mesh.QuotaState{SentAt: now.Milliseconds(), Confirmed: vm.memberCount.Confirmed(now), Members: vm.memberCount.N()}
	incarnation := vm.incarnation
	vm.send(from.VM, func(to *simVM) {
		if to.incarnation != from.Incarnation || !to.coords.RecordReply(to.now(), vm.name, askedAt) {
			return
		}
		to.entitlement.HearClock(to.now(), incarnation, time.Duration(state.SentAt)*time.Millisecond)
		to.entitlement.Confirm(to.now(), state.Confirmed, state.Members)
	})
}

// send sends a datagram, which may be lost, late and duplicated.
func (vm *simVM) send(name string, deliver func(to *simVM)) {
	s := vm.sim
	to := s.byName[name]
	if to == vm {
		deliver(vm)
		return
	}
	s.datagrams++
	copies := 1
	if s.random.Float64() < s.duplication {
		copies = 2
	}
	for range copies {
		if to == nil || vm.muted || vm.mutedFor[name] || vm.side != to.side || s.random.Float64() < s.loss {
			continue
		}
		delay := s.between(200*time.Microsecond, max(s.maxDelay, time.Millisecond))
		if s.random.IntN(20) == 0 {
			delay *= 4
		}
		s.after(delay, func() {
			if to.side == vm.side {
				to.do(to.incarnation, func() { deliver(to) })
			}
		})
	}
}

// tick sends the tokenCache's asks.
func (vm *simVM) tick() {
	now := vm.now()
	asks, decisions, next := vm.tokenCache.Tick(now)
	vm.record(decisions)
	for _, ask := range asks {
		from := vm.process()
		vm.send(ask.To.VM, func(to *simVM) { to.handleAsk(from, ask) })
	}
	if next != 0 && (vm.tickAt <= now || next < vm.tickAt) {
		vm.tickAt = next
		incarnation := vm.incarnation
		vm.sim.after(next-now, func() { vm.do(incarnation, vm.tick) })
	}
}

func (vm *simVM) handleAsk(from Process, ask SentAsk) {
	grant, ok := vm.ledger.Ask(vm.now(), from, ask.Ask)
	if !ok {
		return
	}
	by := vm.process()
	vm.send(from.VM, func(to *simVM) {
		to.record(to.tokenCache.Grant(to.now(), by, grant))
		to.tick()
	})
}

// request lets a customer send a request to the VM. Its caller comes back after the stated time,
// a few times.
func (vm *simVM) request(c Customer, cost int64, tries int) {
	if !vm.alive || vm.frozen {
		return
	}
	vm.nextRequest++
	r := Request{ID: vm.nextRequest, Customer: c.ID(), Cost: cost}
	vm.requests[r.ID] = func(d Decision) {
		if d.Outcome != Admitted && tries > 1 {
			vm.sim.after(d.RetryAfter, func() { vm.request(c, cost, tries-1) })
		}
		vm.recordOne(r, d)
	}
	vm.record([]Decision{vm.tokenCache.Request(vm.now(), r)})
	vm.tick()
}

func (vm *simVM) record(decisions []Decision) {
	for _, d := range decisions {
		if d.Outcome != Waiting {
			done := vm.requests[d.ID]
			delete(vm.requests, d.ID)
			done(d)
		}
	}
}

func (vm *simVM) recordOne(r Request, d Decision) {
	s := vm.sim
	s.outcomes[d.Outcome]++
	switch {
	case d.Outcome != Admitted:
	case s.random.Float64() < s.returned:
		incarnation := vm.incarnation
		s.after(s.between(0, 700*time.Millisecond), func() {
			vm.do(incarnation, func() { vm.tokenCache.Return(vm.now(), r.Customer, r.Cost, d) })
		})
	default:
		s.used[r.Customer] = append(s.used[r.Customer], usage{s.now, r.Cost})
	}
}

// checkBound checks the upper bound in each window, and returns the largest part of it that was
// used.
func (s *sim) checkBound(t testing.TB, name string) float64 {
	t.Helper()
	worst := 0.0
	for _, c := range s.customers {
		bound := (c.Rate*testBounds.Window.Seconds()+c.Burst)*(1+testBounds.Overshoot) + testBounds.Slack
		used := s.used[c.ID()]
		sum, first := 0.0, 0
		for _, u := range used {
			sum += float64(u.cost)
			for used[first].at < u.at-testBounds.Window {
				sum -= float64(used[first].cost)
				first++
			}
			worst = max(worst, sum/bound)
			if sum > bound {
				t.Errorf("%s: customer %s of rate %.0f used %.0f in the window that ends at %v, want at most %.0f", name, c.Name, c.Rate, sum, u.at, bound)
				break
			}
		}
	}
	return worst
}

// expireKeys lets leases expire.
func (s *sim) expireKeys() {
	if !s.kvDown {
		for name, key := range s.keys {
			if s.now-key.renewed > 3*time.Second {
				delete(s.keys, name)
				s.revision++
			}
		}
	}
	s.after(200*time.Millisecond, s.expireKeys)
}

// watch checks, ten times a second, what the proof of the bound builds on: the shares of all VMs
// together are at most 1, and what all coordinators and VMs together have stored of a customer is
// at most its store.
func (s *sim) watch(t testing.TB, name string) {
	t.Helper()
	shares := 0.0
	for _, vm := range s.vms {
		if vm.alive && !vm.frozen {
			vm.entitlement.Advance(vm.now())
			shares += vm.entitlement.share()
		}
	}
	if shares > 1+1e-9 {
		if knownred.Listed(t, t.Name()+"/shares") {
			t.Logf("KNOWN-RED: "+"%s: the shares add up to %.4f at %v", name, shares, s.now)
		} else {
			t.Errorf("%s: the shares add up to %.4f at %v", name, shares, s.now)
		}
		return
	}
	for _, c := range s.customers {
		stored, largest := 0.0, 0.0
		for _, vm := range s.vms {
			if vm.alive && !vm.frozen {
				level, cost := vm.stored(c)
				stored += level
				largest = max(largest, cost)
			}
		}
		allowed := c.Rate * (testBounds.store(c, largest) + (testBounds.jitter() + refreshInterval).Seconds())
		if stored > allowed {
			t.Errorf("%s: %.0f tokens of %s are stored at %v, want at most %.0f", name, stored, c.Name, s.now, allowed)
			return
		}
	}
	s.after(100*time.Millisecond, func() { s.watch(t, name) })
}

// stored returns what a VM has stored of a customer, and the largest cost for which it does.
func (vm *simVM) stored(c Customer) (tokens, largest float64) {
	now, id := vm.now(), c.ID()
	group := GroupOf(id)
	vm.ledger.refresh(now, group)
	b := vm.ledger.buckets[group][id]
	vm.ledger.update(now, group, b)
	a := vm.tokenCache.accounts[id]
	vm.tokenCache.updateOwn(now, a, 0)
	return max(b.level, 0) + max(a.own, 0), b.largest
}
