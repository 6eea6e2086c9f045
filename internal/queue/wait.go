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
// wait if that is longer. It is 0 until a rate was observed.
func (q *Queue) ExpectedWait(now time.Time, item Item) time.Duration {
	item = normalize(item)
	b := &q.bands[item.Urgency]
	before, weight := 0.0, b.weight+item.Weight
	if c, ok := b.customers[item.Customer]; ok {
		before = max(c.counter-b.virtual, 0) + float64(c.cost)/item.Weight
		if c.count > 0 {
			weight = b.weight
		}
	}
	return max(q.waitBehind(item.Urgency, before*weight), item.LoadWait)
}

// waitBehind estimates the wait of an item that its band's fair order puts
// behind the given tokens, if the band has as many.
func (q *Queue) waitBehind(u profile.Urgency, tokens float64) time.Duration {
	rate := q.rate.perSecond()
	if rate == 0 {
		return 0
	}
	inBand := min(q.runnable(u), tokens)
	ahead := inBand
	for above := u + 1; int(above) < len(q.bands); above++ {
		ahead += q.runnable(above)
	}
	if share := q.cfg.MinShare[u]; share > 0 {
		ahead = min(ahead, inBand*(1+1/share))
	}
	return seconds(ahead / rate)
}

// runnable returns the waiting tokens of a band without those whose adapter
// was not ready when Pop last asked.
func (q *Queue) runnable(u profile.Urgency) float64 {
	return float64(q.bands[u].cost - q.bands[u].blockedCost)
}

// setBlocked notes whether an adapter was ready.
func (q *Queue) setBlocked(state *adapterState, blocked bool) {
	if state.blocked == blocked {
		return
	}
	state.blocked = blocked
	for u, cost := range state.cost {
		if !blocked {
			cost = -cost
		}
		q.bands[u].blockedCost += cost
	}
}

// admit decides whether an item may wait. A full queue makes room for it by
// displacing the newest item of the least urgent band below its own.
func (q *Queue) admit(now time.Time, item Item) (Refusal, bool) {
	wait := q.ExpectedWait(now, item)
	tolerance := item.Deadline.Sub(now)
	if q.cfg.Refusal == RefuseEarly && wait > tolerance {
		return refusal(wait - tolerance), false
	}
	if len(q.entries) < q.cfg.MaxWaiting || q.displace(item.Urgency) {
		return Refusal{}, true
	}
	return refusal(wait), false
}

func refusal(after time.Duration) Refusal {
	return Refusal{Code: call.CodeExpectedWait, RetryAfter: max(after, minRetryAfter)}
}

// displace sheds the newest item of the least urgent band below u.
func (q *Queue) displace(u profile.Urgency) bool {
	for i := range int(u) {
		if e := q.bands[i].items.tail; e != nil {
			q.shedEntry(e)
			return true
		}
	}
	return false
}

// shedLower sheds, from the least urgent band up, the newest items that a
// more urgent arrival has pushed beyond their tolerance.
func (q *Queue) shedLower(now time.Time, u profile.Urgency) {
	if q.cfg.Refusal != RefuseEarly {
		return
	}
	for i := range int(u) {
		b := &q.bands[i]
		for e := b.items.tail; e != nil && q.late(now, e); e = b.items.tail {
			q.shedEntry(e)
		}
	}
}

// late reports whether a waiting entry, the newest of its customer, is expected
// to be served only after its deadline.
func (q *Queue) late(now time.Time, e *entry) bool {
	if q.adapters[e.Adapter].blocked {
		return false
	}
	b := &q.bands[e.Urgency]
	before := max(e.owner.counter-b.virtual, 0) + float64(e.owner.cost-e.Cost)/e.Weight
	return q.waitBehind(e.Urgency, before*b.weight) > e.Deadline.Sub(now)
}

// shedLate sheds each customer's newest items as long as they are expected to
// be served only after their deadline, from the least urgent band up.
func (q *Queue) shedLate(now time.Time) {
	if q.cfg.Refusal != RefuseEarly {
		return
	}
	blocked := func(ref call.AdapterRef) bool { return q.adapters[ref].blocked }
	for i := range q.bands {
		for _, c := range slices.Clone(q.bands[i].active) {
			for e := c.newest(blocked); e != nil && q.late(now, e); e = c.newest(blocked) {
				q.shedEntry(e)
			}
		}
	}
}

func (q *Queue) shedEntry(e *entry) {
	q.detach(e)
	q.shed = append(q.shed, e.Item)
}

// rateMeter observes the tokens dispatched a second while the engine is
// saturated: it counts the time between two dispatches only if calls waited
// all the while and no Pop between found the engine idle.
type rateMeter struct {
	halfLife  time.Duration
	tokens    float64
	elapsed   float64
	last      time.Time
	saturated bool
	measuring bool
}

// idle notes that a free engine found nothing to run.
func (m *rateMeter) idle() {
	m.saturated = false
	m.measuring = false
}

// dispatched notes a dispatch. The first burst that fills an idle engine is
// not counted: it tells the engine's size, not its rate.
func (m *rateMeter) dispatched(now time.Time, cost int, waiting bool) {
	if m.saturated {
		m.observe(now.Sub(m.last).Seconds(), float64(cost))
	}
	m.saturated = waiting
	m.measuring = m.measuring && waiting
	m.last = now
}

func (m *rateMeter) observe(elapsed, tokens float64) {
	if elapsed > 0 {
		m.measuring = true
		keep := math.Exp2(-elapsed / m.halfLife.Seconds())
		m.tokens *= keep
		m.elapsed = m.elapsed*keep + elapsed
	}
	if m.measuring {
		m.tokens += tokens
	}
}

// perSecond returns the observed rate in tokens a second, 0 if none.
func (m *rateMeter) perSecond() float64 {
	if m.elapsed == 0 {
		return 0
	}
	return m.tokens / m.elapsed
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
