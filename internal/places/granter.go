package places

import (
	"errors"
	"slices"
	"sync"
	"time"
)

var errTooManyTickets = errors.New("places: a claim has too many tickets")

// Granter hands out the places of upstreams. It is safe for concurrent use.
type Granter struct {
	mu        sync.Mutex // guards processes; held for decisions only
	processes map[Process]*allotment
}

// allotment is how the places of one process are taken.
type allotment struct {
	// settlesAt is until when the granter only listens.
	settlesAt, lastClaimAt time.Duration
	vms                    map[string]*claimant
	// queue lists the waiting requests in the order in which they were first claimed.
	queue []waiter
}

// claimant is a VM and its requests that have a place.
type claimant struct {
	incarnation int64
	sequence    uint64
	claimedAt   time.Duration
	held        []uint64
}

type waiter struct {
	vm     string
	ticket uint64
}

// NewGranter returns a Granter without claims.
func NewGranter() *Granter {
	return &Granter{processes: make(map[Process]*allotment)}
}

// Claim applies a claim of a VM's process and returns the grants to send, by VM. The claimant
// gets one in any case, which tells it that the granter lives. slots is the number of requests
// that the upstream runs at once.
func (g *Granter) Claim(now time.Duration, vm string, incarnation int64, slots int, claim Claim) (map[string]Grant, error) {
	if len(claim.Held) > maxTickets || len(claim.Wanted) > maxTickets {
		return nil, errTooManyTickets
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	process := Process{claim.Upstream, claim.Incarnation}
	g.forget(now)
	a := g.processes[process]
	if a == nil {
		a = &allotment{settlesAt: now + settleTime, vms: make(map[string]*claimant)}
		g.processes[process] = a
	}
	a.lastClaimAt = now
	a.expire(now)
	granted := map[string][]uint64{vm: a.apply(now, vm, incarnation, claim)}
	if now >= a.settlesAt {
		a.grant(slots, granted)
	}
	grants := make(map[string]Grant, len(granted))
	for name, tickets := range granted {
		grants[name] = Grant{Upstream: process.ID, Incarnation: process.Incarnation, Tickets: tickets}
	}
	return grants, nil
}

// Restart makes the granter listen before it hands out places again: another one may have done
// so since the members have changed.
func (g *Granter) Restart(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.processes {
		a.settlesAt = now + settleTime
	}
}

// apply takes over a VM's claim and returns the tickets that it still waits for although they
// have a place: their grant was lost or is on its way.
func (a *allotment) apply(now time.Duration, vm string, incarnation int64, claim Claim) (granted []uint64) {
	c := a.vms[vm]
	if c == nil || c.incarnation != incarnation {
		c = &claimant{incarnation: incarnation}
		a.vms[vm] = c
		a.dropWaiters(vm, nil)
	}
	if claim.Sequence <= c.sequence {
		return nil
	}
	c.sequence, c.claimedAt = claim.Sequence, now
	for _, ticket := range c.held {
		if slices.Contains(claim.Wanted, ticket) {
			granted = append(granted, ticket)
		}
	}
	c.held = append(slices.Clone(claim.Held), granted...)
	a.dropWaiters(vm, claim.Wanted)
	for _, ticket := range claim.Wanted {
		if w := (waiter{vm, ticket}); !slices.Contains(c.held, ticket) && !slices.Contains(a.queue, w) {
			a.queue = append(a.queue, w)
		}
	}
	return granted
}

// dropWaiters removes the waiting requests of a VM that it doesn't want any more.
func (a *allotment) dropWaiters(vm string, wanted []uint64) {
	a.queue = slices.DeleteFunc(a.queue, func(w waiter) bool { return w.vm == vm && !slices.Contains(wanted, w.ticket) })
}

// grant gives the free places to the requests that wait, and adds them to granted.
func (a *allotment) grant(slots int, granted map[string][]uint64) {
	taken := 0
	for _, c := range a.vms {
		taken += len(c.held)
	}
	for ; taken < slots && len(a.queue) > 0; taken++ {
		w := a.queue[0]
		a.queue = a.queue[1:]
		a.vms[w.vm].held = append(a.vms[w.vm].held, w.ticket)
		granted[w.vm] = append(granted[w.vm], w.ticket)
	}
}

// expire removes the VMs that have not claimed lately.
func (a *allotment) expire(now time.Duration) {
	for name, c := range a.vms {
		if now-c.claimedAt > claimTTL {
			delete(a.vms, name)
			a.dropWaiters(name, nil)
		}
	}
}

// forget removes the processes without claims.
func (g *Granter) forget(now time.Duration) {
	for process, a := range g.processes {
		if now-a.lastClaimAt > processTTL {
			delete(g.processes, process)
		}
	}
}
