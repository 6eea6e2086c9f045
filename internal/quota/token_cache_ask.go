package quota

import (
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/mesh"
)

// Tick decides on requests that have waited for too long and returns the asks to send. It is
// called after requests and grants, and at the returned time, which is 0 if nothing is due.
func (w *TokenCache) Tick(now time.Duration) (asks []SentAsk, decisions []Decision, next time.Duration) {
	due := func(at time.Duration) {
		if next == 0 || at < next {
			next = at
		}
	}
	active := w.active[:0]
	for _, a := range w.active {
		decisions = append(decisions, w.endWaits(now, a)...)
		if len(a.waiting) == 0 && (!a.demand.isRecent(now) || w.accounts[a.id] != a) {
			continue
		}
		active = append(active, a)
		for _, r := range a.waiting {
			due(r.arrivedAt + MaxWait)
			if r.askedAgainAt > now {
				due(r.askedAgainAt)
			}
		}
		if a.demand.isFrequent(now) {
			due(now + extraTime/4)
		}
	}
	clear(w.active[len(active):])
	w.active = active
	for group := range w.groups {
		g := &w.groups[group]
		if ask, ok := w.step(now, group); ok {
			asks = append(asks, ask)
		}
		if g.current != nil {
			due(min(g.current.lastAt+repeatAfter, g.current.firstAt+giveUpAfter))
		}
	}
	if next != 0 {
		next = max(next, now+time.Millisecond)
	}
	return asks, decisions, next
}

// endWaits decides on the requests of an account that have waited for too long, and on all if
// it has no limit any more.
func (w *TokenCache) endWaits(now time.Duration, a *account) []Decision {
	var decisions []Decision
	hasLimit := w.accounts[a.id] == a
	isAlone := !w.groups[GroupOf(a.id)].hasCoordinator
	kept := a.waiting[:0]
	for _, r := range a.waiting {
		isOver := now-r.arrivedAt >= MaxWait
		switch {
		case !hasLimit:
			decisions = append(decisions, Decision{ID: r.ID, Outcome: Admitted, Waited: now - r.arrivedAt})
		case (isOver || isAlone) && w.takeOwn(now, a, r.Cost):
			decisions = append(decisions, Decision{ID: r.ID, Outcome: Admitted, Own: true, Waited: now - r.arrivedAt, Seen: a.seen})
		case isOver && r.askedAgainAt != 0:
			decisions = append(decisions, w.refuse(now, a, r))
		case isOver:
			decisions = append(decisions, a.undecided(now, r))
		default:
			kept = append(kept, r)
		}
	}
	a.waiting = kept
	return decisions
}

// step returns the ask that a group sends now: the one in flight again, or a new one.
func (w *TokenCache) step(now time.Duration, group int) (SentAsk, bool) {
	g := &w.groups[group]
	validity := w.bounds.TokenValidity()
	g.former = slices.DeleteFunc(g.former, func(p *pendingAsk) bool { return now-p.firstAt >= validity })
	if p := g.current; p != nil && now-p.firstAt >= giveUpAfter {
		g.former = append(g.former, p)
		g.current = nil
	}
	if p := g.current; p != nil {
		if now-p.lastAt < repeatAfter {
			return SentAsk{}, false
		}
		p.lastAt = now
		return SentAsk{p.to, p.ask}, true
	}
	if !g.hasCoordinator {
		return SentAsk{}, false
	}
	p := &pendingAsk{to: g.coordinator, firstAt: now, lastAt: now, requests: make(map[uint64][]uint64)}
	for _, a := range w.turn(group) {
		if len(p.ask.Needs) == maxNeeds {
			break
		}
		if need, ids, ok := a.need(now); ok {
			p.ask.Needs = append(p.ask.Needs, need)
			p.requests[a.id] = ids
			g.next = a.id + 1
		}
	}
	if len(p.ask.Needs) == 0 {
		return SentAsk{}, false
	}
	g.seq++
	p.ask.Seq, p.ask.Group = g.seq, group
	g.current = p
	return SentAsk{p.to, p.ask}, true
}

// turn returns the active accounts of a group, beginning after the one asked for last.
func (w *TokenCache) turn(group int) []*account {
	next := w.groups[group].next
	var before, after []*account
	for _, a := range w.active {
		switch {
		case GroupOf(a.id) != group:
		case a.id < next:
			before = append(before, a)
		default:
			after = append(after, a)
		}
	}
	return append(after, before...)
}

// need returns what to ask for an account, and the IDs of the requests whose costs are asked
// for.
func (a *account) need(now time.Duration) (mesh.QuotaNeed, []uint64, bool) {
	need := mesh.QuotaNeed{Customer: a.id}
	var ids []uint64
	balance := a.balance(now)
	for _, r := range a.waiting {
		// Tokens that are granted go to the first that waits.
		if len(ids) == maxCosts || now < r.askedAgainAt {
			break
		}
		held := min(balance, r.Cost)
		balance -= held
		need.Costs = append(need.Costs, r.Cost-held)
		ids = append(ids, r.ID)
	}
	if now >= a.refusedUntil && now >= a.extraAskedAt+extraInterval {
		if wanted := a.demand.extra(now); wanted > 0 && a.balance(now) < wanted/2 {
			need.Extra = wanted - a.balance(now)
			a.extraAskedAt = now
		}
	}
	return need, ids, len(ids) > 0 || need.Extra > 0
}

// takeOwn takes tokens of the VM's own entitlement, if it covers the whole cost.
func (w *TokenCache) takeOwn(now time.Duration, a *account, cost int64) bool {
	w.updateOwn(now, a, cost)
	if a.own < float64(cost) {
		return false
	}
	a.own -= float64(cost)
	return true
}

func (w *TokenCache) returnOwn(now time.Duration, a *account, cost int64) {
	a.own += float64(cost)
	w.updateOwn(now, a, cost)
}

// updateOwn accrues the VM's own entitlement to a customer, which is only there while it isn't
// delegated.
func (w *TokenCache) updateOwn(now time.Duration, a *account, cost int64) {
	l := w.entitlement.local(now, GroupOf(a.id))
	if l.epoch != a.ownEpoch {
		a.own, a.ownSum, a.ownEpoch = 0, 0, l.epoch
	}
	a.own += (l.sum - a.ownSum) * a.Rate
	a.ownSum = l.sum
	a.own = min(a.own, l.share*a.Rate*min(w.bounds.store(a.Customer, float64(cost)), l.length.Seconds()))
}
