package queue

import (
	"math"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/profile"
)

// ExpectedWait estimates how long the item would wait if it were pushed now:
// the tokens served before it over the observed service rate, or its load
// wait if that is longer. Until a rate is observed, it is the load wait.
func (q *Queue) ExpectedWait(now time.Time, item Item) time.Duration {
	item = normalize(item)
	b := &q.bands[item.Urgency]
	virtualAhead, weight := 0.0, b.activeWeight+item.Weight
	if c, ok := b.customers[item.Customer]; ok {
		virtualAhead = max(c.counter-float64(b.virtualTime), 0) + float64(c.cost)/item.Weight
		if c.count > 0 {
			weight = b.activeWeight
		}
	}
	return max(q.waitBehind(item.Urgency, virtualAhead*weight), item.LoadWait)
}

// waitBehind estimates the wait of an item that its band serves after the given
// number of tokens, or after all runnable tokens of the band if they are fewer.
func (q *Queue) waitBehind(u profile.Urgency, tokens float64) time.Duration {
	rate := q.rate.perSecond()
	if rate == 0 {
		return 0
	}
	inBand := min(q.runnableTokens(u), tokens)
	ahead := inBand
	for above := u + 1; int(above) < len(q.bands); above++ {
		ahead += q.runnableTokens(above)
	}
	if share := q.cfg.MinShare[u]; share > 0 {
		ahead = min(ahead, inBand*(1+1/share))
	}
	return seconds(ahead / rate)
}

// runnableTokens returns the waiting tokens of a band without those whose
// adapter was not ready when Pop last checked.
func (q *Queue) runnableTokens(u profile.Urgency) float64 {
	return float64(q.bands[u].cost - q.bands[u].blockedCost)
}

// setBlocked records whether an adapter was ready.
func (q *Queue) setBlocked(waiting *adapterEntries, blocked bool) {
	if waiting.blocked == blocked {
		return
	}
	waiting.blocked = blocked
	for u, cost := range waiting.cost {
		if !blocked {
			cost = -cost
		}
		q.bands[u].blockedCost += cost
	}
}

// accept decides whether an item may wait. A full queue makes room for it by
// displacing the newest item of the least urgent band below its own.
func (q *Queue) accept(now time.Time, item Item) (Refusal, bool) {
	wait := q.ExpectedWait(now, item)
	tolerance := item.Deadline.Sub(now)
	if q.cfg.Refusal == RefuseEarly && wait > tolerance {
		return newRefusal(wait - tolerance), false
	}
	if len(q.entries) < q.cfg.MaxWaiting || q.displace(item.Urgency) {
		return Refusal{}, true
	}
	return newRefusal(wait), false
}

func newRefusal(after time.Duration) Refusal {
	return Refusal{Code: call.CodeExpectedWait, RetryAfter: max(after, minRetryAfter)}
}

// displace sheds the newest item of the least urgent band below u.
func (q *Queue) displace(u profile.Urgency) bool {
	for i := range int(u) {
		if e := q.bands[i].entries.tail; e != nil {
			q.shedEntry(e)
			return true
		}
	}
	return false
}

// shedLessUrgent sheds, from the least urgent band up, the newest items of
// bands below u that are expected to miss their deadline after an arrival at u.
func (q *Queue) shedLessUrgent(now time.Time, u profile.Urgency) {
	if q.cfg.Refusal != RefuseEarly {
		return
	}
	for i := range int(u) {
		b := &q.bands[i]
		for e := b.entries.tail; e != nil && q.missesDeadline(now, e); e = b.entries.tail {
			q.shedEntry(e)
		}
	}
}

// missesDeadline reports whether a waiting entry, the newest of its customer,
// is expected to be served after its deadline.
func (q *Queue) missesDeadline(now time.Time, e *entry) bool {
	if q.adapters[e.Adapter].blocked {
		return false
	}
	b := &q.bands[e.Urgency]
	virtualAhead := max(e.customer.counter-float64(b.virtualTime), 0) + float64(e.customer.cost-e.Cost)/e.Weight
	return q.waitBehind(e.Urgency, virtualAhead*b.activeWeight) > e.Deadline.Sub(now)
}

// shedLate sheds, from the least urgent band up, each customer's newest items
// while they are expected to be served after their deadline.
func (q *Queue) shedLate(now time.Time) {
	if q.cfg.Refusal != RefuseEarly {
		return
	}
	blocked := func(ref call.AdapterRef) bool { return q.adapters[ref].blocked }
	for i := range q.bands {
		for _, c := range slices.Clone(q.bands[i].active) {
			for e := c.newest(blocked); e != nil && q.missesDeadline(now, e); e = c.newest(blocked) {
				q.shedEntry(e)
			}
		}
	}
}

func (q *Queue) shedEntry(e *entry) {
	q.detach(e)
	q.shed = append(q.shed, e.Item)
}

// rateMeter observes the tokens dispatched per second while the engine is
// saturated: it counts the time between two dispatches only if calls waited
// throughout and no Pop in between returned without an item.
type rateMeter struct {
	halfLife     time.Duration
	tokens       float64
	elapsed      float64
	lastDispatch time.Time
	saturated    bool
	measuring    bool
}

// recordIdle records that Pop, which is called while the engine has capacity,
// returned no item.
func (m *rateMeter) recordIdle() {
	m.saturated = false
	m.measuring = false
}

// recordDispatch records a dispatch. The first burst that fills an idle engine
// is not counted: it reflects the engine's capacity, not its rate.
func (m *rateMeter) recordDispatch(now time.Time, cost int, waiting bool) {
	if m.saturated {
		m.observe(now.Sub(m.lastDispatch).Seconds(), float64(cost))
	}
	m.saturated = waiting
	m.measuring = m.measuring && waiting
	m.lastDispatch = now
}

func (m *rateMeter) observe(elapsed, tokens float64) {
	if elapsed > 0 {
		m.measuring = true
		decay := math.Exp2(-elapsed / m.halfLife.Seconds())
		m.tokens *= decay
		m.elapsed = m.elapsed*decay + elapsed
	}
	if m.measuring {
		m.tokens += tokens
	}
}

// perSecond returns the observed rate in tokens per second, 0 if none.
func (m *rateMeter) perSecond() float64 {
	if m.elapsed == 0 {
		return 0
	}
	return m.tokens / m.elapsed
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
