package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/mesh"
)

const (
	// repeatAfter is when an ask without an answer is sent again, and giveUpAfter when a new
	// one takes its place.
	repeatAfter = 60 * time.Millisecond
	giveUpAfter = 200 * time.Millisecond
	// MaxWait is how long a request waits for tokens.
	MaxWait = 250 * time.Millisecond
	// answerTime is what an answer takes at most as a rule.
	answerTime = 40 * time.Millisecond
	// retryUndecided is the Retry-After of a request for which no coordinator answered: the
	// next coordinator takes over within about a second.
	retryUndecided = 300 * time.Millisecond
	// maxCosts and maxNeeds bound an ask to one datagram.
	maxCosts = 8
	maxNeeds = 12
	// maxWaiting bounds the requests of one customer that wait on one VM.
	maxWaiting = 1024
	// maxRefusalTime is how long an answer that a customer is over its quota refuses further
	// requests, and minRefusalTime the least, so that the asks of one VM are few.
	maxRefusalTime = 200 * time.Millisecond
	minRefusalTime = 10 * time.Millisecond
)

// Outcome is the decision on a request for tokens.
type Outcome int

const (
	// Waiting requests are decided later.
	Waiting Outcome = iota
	// Admitted requests have their tokens.
	Admitted
	// OverQuota means that the customer has no room.
	OverQuota
	// Undecided means that it is not known whether the customer has room.
	Undecided
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"waiting", "admitted", "over quota", "undecided"}[o]
}

// Request asks for the tokens of one request.
type Request struct {
	ID       uint64
	Customer uint64
	// Cost is in tokens, and Priority 0 is the most urgent.
	Cost     int64
	Priority int

	arrivedAt time.Duration
	// askedAgainAt is when it may be asked for again, after an answer that room comes soon; 0
	// if there was no answer.
	askedAgainAt time.Duration
}

// Decision is the decision on a request.
type Decision struct {
	ID      uint64
	Outcome Outcome
	// RetryAfter is set unless the request was admitted.
	RetryAfter time.Duration
	// ExpiresAt is until when the tokens of an admitted request may be returned, and Own is
	// set if they are of the VM's own entitlement.
	ExpiresAt time.Duration
	Own       bool
	// Waited is how long the request waited.
	Waited time.Duration
	// Seen is the last answer for the customer.
	Seen Seen
}

// Seen is what a VM knows of a customer's token bucket.
type Seen struct {
	// By is the coordinator's VM; empty if none has answered yet.
	By string
	// Level is the level of the bucket in tokens, and At when the answer arrived.
	Level int64
	At    time.Duration
}

// SentAsk is an ask to send to a coordinator.
type SentAsk struct {
	To  Process
	Ask mesh.QuotaAsk
}

// pendingAsk is an ask that may still be answered.
type pendingAsk struct {
	ask     mesh.QuotaAsk
	to      Process
	firstAt time.Duration
	lastAt  time.Duration
	// requests are the IDs of the requests whose costs are asked for, by customer.
	requests map[uint64][]uint64
}

// cacheGroup is the state of one group of customers.
type cacheGroup struct {
	coordinator    Process
	hasCoordinator bool
	seq            uint64
	// current is the ask in flight, and former are those given up whose answers still count.
	current *pendingAsk
	former  []*pendingAsk
	// next is the customer with which the next ask begins, so that each gets its turn.
	next uint64
}

// TokenCache holds one VM's tokens and the requests that wait for some.
type TokenCache struct {
	bounds      Bounds
	entitlement *Entitlement
	groups      [Groups]cacheGroup
	accounts    map[uint64]*account
	// active are the customers with requests of the last while, in the order of their IDs.
	active []*account
	random uint64
}

// NewTokenCache returns a TokenCache without customers and coordinators.
func NewTokenCache(bounds Bounds, entitlement *Entitlement) *TokenCache {
	return &TokenCache{bounds: bounds, entitlement: entitlement, accounts: make(map[uint64]*account), random: 1}
}

// SetCustomers replaces the customers with a limit. Requests of others that wait are decided
// with the next Tick.
func (w *TokenCache) SetCustomers(customers []Customer) {
	accounts := make(map[uint64]*account, len(customers))
	for _, c := range customers {
		a := w.accounts[c.ID()]
		if a == nil {
			a = &account{id: c.ID()}
		}
		a.Customer = c
		accounts[a.id] = a
	}
	w.accounts = accounts
}

// SetCoordinator sets the coordinator of a group; false for none.
func (w *TokenCache) SetCoordinator(now time.Duration, group int, coordinator Process, ok bool) {
	g := &w.groups[group]
	if g.hasCoordinator == ok && g.coordinator == coordinator {
		return
	}
	if g.current != nil {
		g.former = append(g.former, g.current)
		g.current = nil
	}
	g.coordinator, g.hasCoordinator = coordinator, ok
	target := int64(0)
	if ok {
		target = coordinator.Incarnation
	}
	w.entitlement.SetTarget(now, group, target)
}

// Request decides on a request, or lets it wait until a later decision. Customers without a
// limit are admitted.
func (w *TokenCache) Request(now time.Duration, r Request) Decision {
	a := w.accounts[r.Customer]
	if a == nil {
		return Decision{ID: r.ID, Outcome: Admitted}
	}
	r.arrivedAt = now
	w.activate(a)
	a.demand.add(now, r.Cost)
	if !a.isWaiting(r.Priority) {
		if expiresAt, ok := a.take(now, r.Cost); ok {
			return a.admitted(now, r, expiresAt)
		}
	}
	switch {
	case now < a.refusedUntil && r.Priority >= a.refusedPriority:
		return w.refuse(now, a, r)
	case len(a.waiting) >= maxWaiting:
		return a.undecided(now, r)
	}
	if !w.groups[GroupOf(a.id)].hasCoordinator && w.takeOwn(now, a, r.Cost) {
		return Decision{ID: r.ID, Outcome: Admitted, Own: true, Seen: a.seen}
	}
	a.enqueue(r)
	return Decision{ID: r.ID, Outcome: Waiting}
}

// activate adds an account to active.
func (w *TokenCache) activate(a *account) {
	i, _ := slices.BinarySearchFunc(w.active, a.id, func(b *account, id uint64) int { return cmp.Compare(b.id, id) })
	if i < len(w.active) && w.active[i] == a {
		return
	}
	w.active = slices.Insert(w.active, i, a)
}

// Cancel withdraws a request that waits.
func (w *TokenCache) Cancel(customer, id uint64) {
	if a := w.accounts[customer]; a != nil {
		a.remove(id)
	}
}

// Return gives back the tokens of a request that was admitted and has not run.
func (w *TokenCache) Return(now time.Duration, customer uint64, cost int64, d Decision) {
	a := w.accounts[customer]
	switch {
	case a == nil:
	case d.Own:
		w.returnOwn(now, a, cost)
	default:
		a.add(now, cost, d.ExpiresAt)
	}
}

// Grant handles an answer to an ask and returns the requests that it decides. Answers to asks
// that are unknown or older than the validity of tokens are dropped.
func (w *TokenCache) Grant(now time.Duration, from Process, grant mesh.QuotaGrant) []Decision {
	if grant.Group < 0 || grant.Group >= Groups {
		return nil
	}
	p := w.groups[grant.Group].answered(from, grant.Seq)
	if p == nil || now-p.firstAt >= w.bounds.TokenValidity() {
		return nil
	}
	var decisions []Decision
	for _, granted := range grant.Grants {
		a := w.accounts[granted.Customer]
		i := slices.IndexFunc(p.ask.Needs, func(n mesh.QuotaNeed) bool { return n.Customer == granted.Customer })
		if a == nil || i < 0 {
			continue
		}
		decisions = append(decisions, w.apply(now, a, p, p.ask.Needs[i], granted)...)
	}
	return decisions
}

// answered removes and returns the ask with the number that was sent to the process, or nil.
func (g *cacheGroup) answered(from Process, seq uint64) *pendingAsk {
	if p := g.current; p != nil && p.ask.Seq == seq && p.to == from {
		g.current = nil
		return p
	}
	for i, p := range g.former {
		if p.ask.Seq == seq && p.to == from {
			g.former = slices.Delete(g.former, i, i+1)
			return p
		}
	}
	return nil
}

// apply adds granted tokens to an account and decides on its requests.
func (w *TokenCache) apply(now time.Duration, a *account, p *pendingAsk, need mesh.QuotaNeed, granted mesh.QuotaGrantedNeed) []Decision {
	a.seen = Seen{By: p.to.VM, Level: granted.Level, At: now}
	admitted := min(max(granted.Admitted, 0), len(need.Costs))
	tokens := max(granted.Extra, 0)
	for _, cost := range need.Costs[:admitted] {
		tokens += cost
	}
	a.add(now, tokens, p.firstAt+w.bounds.TokenValidity())
	decisions := a.settle(now)
	if admitted == len(need.Costs) {
		return decisions
	}
	retryAfter := time.Duration(granted.RetryAfter) * time.Millisecond
	for _, id := range p.requests[a.id][admitted:] {
		i := a.find(id)
		if i < 0 {
			continue
		}
		if r := a.waiting[i]; now-r.arrivedAt+retryAfter < MaxWait-answerTime {
			// There is room while the request can still wait.
			a.waiting[i].askedAgainAt = now + retryAfter
			continue
		}
		return append(decisions, w.refuseFrom(now, a, i, retryAfter)...)
	}
	return decisions
}

// refuseFrom refuses the requests of an account that are not before the i-th.
func (w *TokenCache) refuseFrom(now time.Duration, a *account, i int, retryAfter time.Duration) []Decision {
	a.refusedPriority = a.waiting[i].Priority
	a.refusedAt, a.retryAfter = now, retryAfter
	a.refusedUntil = now + min(max(retryAfter, minRefusalTime), maxRefusalTime)
	var decisions []Decision
	for _, r := range a.waiting[i:] {
		decisions = append(decisions, w.refuse(now, a, r))
	}
	a.waiting = slices.Delete(a.waiting, i, len(a.waiting))
	return decisions
}

// refuse refuses a request by the last answer. The times to come back are spread over half of
// the time that the answer tells.
func (w *TokenCache) refuse(now time.Duration, a *account, r Request) Decision {
	w.random = w.random*6364136223846793005 + 1442695040888963407
	spread := float64(w.random>>40) / (1 << 24) / 2
	left := max(a.refusedAt+a.retryAfter-now, minRetryAfter)
	return Decision{ID: r.ID, Outcome: OverQuota, RetryAfter: left + time.Duration(spread*float64(left)), Waited: now - r.arrivedAt, Seen: a.seen}
}

// UndecidedNow returns the decision on a request that can't wait any longer.
func UndecidedNow(r Request) Decision {
	return Decision{ID: r.ID, Outcome: Undecided, RetryAfter: retryUndecided}
}
