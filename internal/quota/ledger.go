package quota

import (
	"math"
	"time"

	"github.com/barleylift/barleylift/internal/mesh"
)

const (
	// defaultBurst is the burst of a customer without one, in seconds at its rate, for the
	// decision on extra tokens.
	defaultBurst = 0.2
	// minRetryAfter and maxRetryAfter bound RetryAfter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// maxPromised bounds the refused tokens for which later room counts as taken, in
	// seconds at the customer's rate: callers of refused requests may not come back.
	maxPromised = 5.0
	// youngShare is the share of all VMs below which a coordinator does not know how much room
	// there is: it has just begun, or is cut off. It has credit after about 1.5 s, and after
	// 4 s where all VMs have restarted. Callers have one retry as a rule, so youngRetryAfter
	// makes it count; with 100 ms both were refused.
	youngShare      = 0.5
	youngRetryAfter = 3 * time.Second
	// largeShare is a VM's share from which on each of its messages changes the room at
	// once. With more VMs the room changes little with each, and computing it takes longer.
	largeShare = 0.01
	// largestTime is how long the largest cost of a customer counts for its store.
	largestTime = 10 * time.Second
)

// bucket is the token bucket of one customer.
type bucket struct {
	Customer
	level float64
	// credit is that of the group when the level was last updated.
	credit float64
	// promised is the sum of the tokens refused lately whose callers got a time to come
	// back, less what has accrued since.
	promised float64
	// largest is the largest cost asked for until largestUntil.
	largest      float64
	largestUntil time.Duration
}

// answeredAsk is the last ask of a VM for a group.
type answeredAsk struct {
	seq   uint64
	grant mesh.QuotaGrant
	at    time.Duration
}

type askKey struct {
	from  Process
	group int
}

// Ledger holds the token buckets of a coordinator. Levels begin at 0 with the process and get
// only what VMs have delegated to it.
type Ledger struct {
	bounds      Bounds
	incarnation int64
	groups      [Groups]*delegates
	buckets     [Groups]map[uint64]*bucket
	answered    map[askKey]*answeredAsk
	sweptAt     time.Duration
}

// NewLedger returns the Ledger of the process with the incarnation, without customers.
func NewLedger(bounds Bounds, incarnation int64) *Ledger {
	l := &Ledger{bounds: bounds, incarnation: incarnation, answered: make(map[askKey]*answeredAsk)}
	for g := range Groups {
		l.groups[g] = newDelegates()
		l.buckets[g] = make(map[uint64]*bucket)
	}
	return l
}

// SetCustomers replaces the customers. Levels are kept up to what the new limits allow.
func (l *Ledger) SetCustomers(now time.Duration, customers []Customer) {
	var buckets [Groups]map[uint64]*bucket
	for g := range Groups {
		buckets[g] = make(map[uint64]*bucket)
	}
	for _, c := range customers {
		id := c.ID()
		g := GroupOf(id)
		b := l.buckets[g][id]
		if b == nil {
			b = &bucket{credit: l.groups[g].credit}
		} else {
			l.update(now, g, b)
		}
		b.Customer = c
		buckets[g][id] = b
	}
	l.buckets = buckets
	for g := range Groups {
		for _, b := range l.buckets[g] {
			l.update(now, g, b)
		}
	}
}

// settleTime is how long a VM must have delegated to one process alone so that no other
// coordinator that it delegated to can have run into debt within the same window.
func (l *Ledger) settleTime() time.Duration {
	return l.bounds.Window + maxSilence
}

// Hear credits a delegation. It returns false if the message is for another process.
func (l *Ledger) Hear(now time.Duration, from Process, message mesh.Delegation) bool {
	isValid := message.Group >= 0 && message.Group < Groups && message.Share >= 0 && message.Share <= 1 && message.Total >= 0 && message.Since >= 0
	if message.To != l.incarnation || !isValid {
		return false
	}
	// Levels fall with the time in which no VM was heard of, before it is heard of again.
	l.refresh(now, message.Group)
	d := l.groups[message.Group]
	d.hear(now, sentAt(now, message), from, message, l.bounds.jitter())
	if message.Share >= largeShare {
		// The room as of before would cut off what was just credited.
		d.refreshedAt = 0
	}
	return true
}

// sentAt returns when a delegation was sent at the earliest. Without that knowledge the VM
// counts as silent until its next message.
func sentAt(now time.Duration, message mesh.Delegation) time.Duration {
	return min(time.Duration(message.SentAt)*time.Millisecond, now)
}

// refresh updates the room of a group and the levels of its customers, if it is due.
func (l *Ledger) refresh(now time.Duration, group int) {
	d := l.groups[group]
	if !d.isStale(now) {
		return
	}
	d.refresh(now, l.settleTime())
	for _, b := range l.buckets[group] {
		l.update(now, group, b)
	}
	l.expireAnswers(now)
}

// update adds the credit since the last update to a level, up to the room.
func (l *Ledger) update(now time.Duration, group int, b *bucket) {
	d := l.groups[group]
	added := (d.credit - b.credit) * b.Rate
	b.credit = d.credit
	b.promised = max(b.promised-added, 0)
	if now >= b.largestUntil {
		b.largest = 0
	}
	b.level = min(b.level+added, d.roomOf(l.bounds.store(b.Customer, b.largest))*b.Rate)
}

// answersTime is how long answers are kept for repeated asks.
const answersTime = 2 * time.Second

func (l *Ledger) expireAnswers(now time.Duration) {
	if now-l.sweptAt < answersTime {
		return
	}
	l.sweptAt = now
	for key, a := range l.answered {
		if now-a.at > answersTime {
			delete(l.answered, key)
		}
	}
}

// Ask decides on an ask. The same one gets the same grant again; an older one gets none.
// Customers that are unknown here are left out of the grant.
func (l *Ledger) Ask(now time.Duration, from Process, ask mesh.QuotaAsk) (mesh.QuotaGrant, bool) {
	if ask.Group < 0 || ask.Group >= Groups {
		return mesh.QuotaGrant{}, false
	}
	l.refresh(now, ask.Group)
	key := askKey{from, ask.Group}
	if last := l.answered[key]; last != nil && ask.Seq <= last.seq {
		return last.grant, ask.Seq == last.seq
	}
	grant := mesh.QuotaGrant{Seq: ask.Seq, Group: ask.Group}
	for _, need := range ask.Needs {
		if b := l.buckets[ask.Group][need.Customer]; b != nil {
			l.update(now, ask.Group, b)
			grant.Grants = append(grant.Grants, l.grant(now, l.groups[ask.Group], b, need))
		}
	}
	l.answered[key] = &answeredAsk{ask.Seq, grant, now}
	return grant, true
}

// grant decides on a need. A cost is admitted while the level is above 0 and may take it below,
// as far as the debt allows.
func (l *Ledger) grant(now time.Duration, d *delegates, b *bucket, need mesh.QuotaNeed) mesh.QuotaGrantedNeed {
	granted := mesh.QuotaGrantedNeed{Customer: need.Customer}
	debt := l.bounds.maxDebt() * d.settled
	refused := 0.0
	for i, cost := range need.Costs {
		c := float64(max(cost, 0))
		if c >= b.largest {
			b.largest, b.largestUntil = c, now+largestTime
		}
		if refused == 0 && b.level > 0 && b.level-c >= -debt {
			b.level -= c
			granted.Admitted = i + 1
			continue
		}
		if refused == 0 {
			granted.RetryAfter = l.retryAfter(d, b, c, debt).Milliseconds()
		}
		refused += c
	}
	if d.share >= youngShare {
		b.promised = min(b.promised+refused, maxPromised*b.Rate)
	}
	spare := b.level - max(b.Burst, defaultBurst*b.Rate)/2
	if refused == 0 && spare > 0 && need.Extra > 0 {
		granted.Extra = min(need.Extra, int64(spare))
		b.level -= float64(granted.Extra)
	}
	granted.Level = int64(math.Floor(b.level))
	return granted
}

// retryAfter returns when there is room for a cost that is refused now, after those that were
// refused before it.
func (l *Ledger) retryAfter(d *delegates, b *bucket, cost, debt float64) time.Duration {
	if d.share < youngShare {
		return youngRetryAfter
	}
	missing := max(-b.level, cost-debt-b.level, 0) + b.promised
	perSecond := b.Rate * d.share
	seconds := missing / perSecond
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// Share returns the part of the customers' rates of a group that VMs delegate to this process.
func (l *Ledger) Share(now time.Duration, group int) float64 {
	l.refresh(now, group)
	return l.groups[group].share
}
