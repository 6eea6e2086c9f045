package quota

import (
	"slices"
	"sort"
	"time"
)

// tokenGrant is an amount of tokens that expires.
type tokenGrant struct {
	tokens    int64
	expiresAt time.Duration
}

// account is what a VM's TokenCache holds of one customer.
type account struct {
	Customer
	id uint64
	// grants are the tokens, those that expire first at the front.
	grants []tokenGrant
	// waiting are the requests that wait, the most urgent first and then by arrival.
	waiting []Request
	demand  demand
	seen    Seen
	// Until refusedUntil requests of refusedPriority and of less urgent ones are refused by
	// the answer that arrived at refusedAt with retryAfter.
	refusedUntil    time.Duration
	refusedPriority int
	refusedAt       time.Duration
	retryAfter      time.Duration
	extraAskedAt    time.Duration
	// own is the balance of the VM's own entitlement, as of the sum and epoch of
	// localAccrual.
	own      float64
	ownSum   float64
	ownEpoch int
}

// add adds tokens that expire at expiresAt.
func (a *account) add(now time.Duration, tokens int64, expiresAt time.Duration) {
	if tokens <= 0 || now >= expiresAt {
		return
	}
	i := sort.Search(len(a.grants), func(i int) bool { return a.grants[i].expiresAt > expiresAt })
	a.grants = slices.Insert(a.grants, i, tokenGrant{tokens, expiresAt})
}

// balance returns the tokens that have not expired.
func (a *account) balance(now time.Duration) int64 {
	expired := 0
	for expired < len(a.grants) && now >= a.grants[expired].expiresAt {
		expired++
	}
	a.grants = slices.Delete(a.grants, 0, expired)
	sum := int64(0)
	for _, l := range a.grants {
		sum += l.tokens
	}
	return sum
}

// take takes tokens, those that expire first, and returns when the first of them expire.
func (a *account) take(now time.Duration, cost int64) (expiresAt time.Duration, ok bool) {
	if a.balance(now) < cost || cost > 0 && len(a.grants) == 0 {
		return 0, false
	}
	if len(a.grants) > 0 {
		expiresAt = a.grants[0].expiresAt
	}
	for cost > 0 {
		part := min(cost, a.grants[0].tokens)
		cost -= part
		a.grants[0].tokens -= part
		if a.grants[0].tokens == 0 {
			a.grants = slices.Delete(a.grants, 0, 1)
		}
	}
	return expiresAt, true
}

// isWaiting reports whether a request waits that goes before a new one of the priority.
func (a *account) isWaiting(priority int) bool {
	return len(a.waiting) > 0 && a.waiting[0].Priority <= priority
}

func (a *account) enqueue(r Request) {
	i := sort.Search(len(a.waiting), func(i int) bool { return a.waiting[i].Priority > r.Priority })
	a.waiting = slices.Insert(a.waiting, i, r)
}

func (a *account) find(id uint64) int {
	return slices.IndexFunc(a.waiting, func(r Request) bool { return r.ID == id })
}

func (a *account) remove(id uint64) {
	if i := a.find(id); i >= 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
	}
}

// settle admits the requests that wait, in their order, while the tokens last.
func (a *account) settle(now time.Duration) []Decision {
	var decisions []Decision
	for len(a.waiting) > 0 {
		r := a.waiting[0]
		expiresAt, ok := a.take(now, r.Cost)
		if !ok {
			break
		}
		decisions = append(decisions, a.admitted(now, r, expiresAt))
		a.waiting = slices.Delete(a.waiting, 0, 1)
	}
	return decisions
}

func (a *account) admitted(now time.Duration, r Request, expiresAt time.Duration) Decision {
	return Decision{ID: r.ID, Outcome: Admitted, ExpiresAt: expiresAt, Waited: now - r.arrivedAt, Seen: a.seen}
}

func (a *account) undecided(now time.Duration, r Request) Decision {
	return Decision{ID: r.ID, Outcome: Undecided, RetryAfter: retryUndecided, Waited: now - r.arrivedAt, Seen: a.seen}
}
